//! A simulated world around the real decisions of `sched`: workers, controllers, the store and the
//! cloud, in steps of simulated time, with faults at random or on purpose.

use sched::config::{SchedulerConfig, Team};
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use sched::owner::{HeartbeatResponse, JobLookup, Owner};
use sched::placement::Resources;
use sched::ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::{MachineStatus, TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::store::{RosterRecord, StartedArraysRecord};
use wire::users::{Job, Priority, Shape};
use wire::workers::{Heartbeat, Order, Orders, ReportedTask, TaskState, Why};

mod cloud;
mod controllers;
mod defect;
mod dependencies;
mod election;
mod faults;
mod fixtures;
mod freeze;
mod heterogeneous;
mod jobs;
mod leadership;
mod outcomes;
mod rules;
mod scenario;
mod store;
mod trace;
mod transit;
mod workers;

use controllers::{controller_index, controller_name, Controller, StoreRead};
pub use defect::Defect;
use dependencies::DependencyView;
pub use faults::Fault;
use faults::{Partition, PlannedOutage};
use fixtures::random_job;
pub use fixtures::{
    config, config_without_deprovisioning, heartbeat, job, lone_leader, machine_status,
    machine_type, machine_types, owner_of_one_machine, roster, roster_record, task_requirements,
    task_status, unlimited_teams, EmptyJobLookup,
};
pub use heterogeneous::CloudEvent;
pub use jobs::JobTimes;
use jobs::{JobReplica, JobState};
use leadership::LeadingController;
use outcomes::Outcome;
use store::PendingWrite;
pub use trace::Trace;
use transit::{Connection, HeartbeatId, InTransit, Message};
use workers::{SimTask, TaskKey, Worker};

/// The time between two steps of the world.
const STEP_S: f64 = 0.1;
const CONTROLLERS: usize = 3;
/// How long the leader's lease in the store runs without being renewed.
const LEADER_LEASE_S: f64 = 2.0;
/// The share of its lease for which a leader relies on it.
const AUTHORITY_SHARE: f64 = 0.95;
/// A job that the leader does not know for this long is forgotten (a figure of the users).
const MAX_UNKNOWN_S: f64 = 75.0;
/// Once faults are over, no job waits so long while a machine has capacity for it (a figure of the
/// users).
const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;
/// Within this time also the largest jobs must begin (a figure of the users).
const MAX_START_WAIT_S: f64 = 240.0;
/// The tasks of the largest random gangs.
const LARGEST_GANG_TASKS: u32 = 3;

/// The simulated world.
pub struct World {
    /// The time, in seconds.
    pub now: f64,
    rng: fastrand::Rng,
    defect: Defect,
    config: SchedulerConfig,
    /// The teams' true limits.
    limits: BTreeMap<String, Team>,
    types: Vec<MachineType>,
    workers: BTreeMap<String, Worker>,
    controllers: Vec<Controller>,
    leading: Option<LeadingController>,
    /// When the leader's lease in the store ends, if it is not renewed.
    lease_end: f64,
    /// No new leader before this: the old one's lease in the store still runs.
    no_election_before: f64,
    /// The last token given out, at an election or for a new epoch.
    term: u64,
    /// The store's revision.
    revision: u64,
    /// Up to which revision arrays may have started, by the store's record.
    started_upto: u64,
    roster: BTreeMap<String, RosterRecord>,
    jobs: BTreeMap<String, JobState>,
    messages: Vec<InTransit<Message>>,
    writes: Vec<PendingWrite>,
    /// Versions of the keys that leaders write, in the store and as the present leader knows them.
    versions: BTreeMap<String, u64>,
    leader_known_versions: BTreeMap<String, u64>,
    machines_provisioned: u64,
    store_down_until: f64,
    planned_outage: Option<PlannedOutage>,
    partition: Option<Partition>,
    /// How often each kind of fault happened.
    pub faults: BTreeMap<Fault, u32>,
    /// How often each kind of event of rich worlds happened.
    pub cloud_events: BTreeMap<CloudEvent, u32>,
    /// Messages in a hundred that are lost.
    pub lost_percent: u32,
    /// Messages in a hundred that are delayed for long.
    pub delayed_percent: u32,
    /// Heartbeats in a hundred of which a copy arrives late, by up to three leases.
    pub late_copy_percent: u32,
    /// Writes in a hundred that get no response and are carried out 2 to 12 s later.
    pub late_write_percent: u32,
    /// How much longer, in seconds, the store takes to serve reads.
    pub extra_read_s: f64,
    /// Whether the controller that confirms a cancellation tells the leader at once.
    pub cancel_hints: bool,
    /// Since when a job has waited though there was capacity for it.
    capacity_since: BTreeMap<rules::WaitingWithCapacity, f64>,
    /// Jobs in a hundred that depend on earlier ones.
    pub dependent_percent: u32,
    /// Jobs that were cancelled along with one of their dependencies.
    pub cancelled_by_dependency: u32,
    /// Cancellations that were confirmed.
    pub cancellations: u32,
    /// Workers' leases that ended.
    pub lease_expiries: u32,
    /// The tasks that workers have completed, by job and index.
    completed: BTreeSet<(String, u32)>,
    /// The rules that were broken.
    pub violations: BTreeSet<String>,
    /// Tasks that were started.
    pub tasks_started: u64,
    /// Jobs that were recorded as done.
    pub jobs_done: u64,
    /// Leaders so far.
    pub leaders_elected: u64,
    /// What only rich worlds have.
    heterogeneous: Option<heterogeneous::HeterogeneousState>,
    trace: Trace,
}

impl World {
    /// A world with the usual settings.
    pub fn new(seed: u64, defect: Defect) -> World {
        World::with_config(seed, defect, config())
    }

    /// A world with other settings.
    pub fn with_config(seed: u64, defect: Defect, config: SchedulerConfig) -> World {
        let mut scheduler_config = config.clone();
        if defect == Defect::DoubleLimit {
            scheduler_config
                .teams
                .values_mut()
                .for_each(|team| team.cpus_max *= 2.0);
        }
        let controllers = (0..CONTROLLERS)
            .map(|i| Controller::new(i, &scheduler_config))
            .collect();
        World {
            now: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            defect,
            config: scheduler_config,
            limits: config.teams,
            types: machine_types(),
            workers: BTreeMap::new(),
            controllers,
            leading: None,
            lease_end: 0.0,
            no_election_before: 0.0,
            term: 0,
            revision: 0,
            started_upto: 0,
            roster: BTreeMap::new(),
            jobs: BTreeMap::new(),
            messages: Vec::new(),
            writes: Vec::new(),
            versions: BTreeMap::new(),
            leader_known_versions: BTreeMap::new(),
            machines_provisioned: 0,
            store_down_until: 0.0,
            planned_outage: None,
            partition: None,
            faults: BTreeMap::new(),
            cloud_events: BTreeMap::new(),
            lost_percent: 3,
            delayed_percent: 3,
            late_copy_percent: 0,
            late_write_percent: 0,
            extra_read_s: 0.0,
            cancel_hints: true,
            capacity_since: BTreeMap::new(),
            dependent_percent: 0,
            cancelled_by_dependency: 0,
            cancellations: 0,
            lease_expiries: 0,
            completed: BTreeSet::new(),
            violations: BTreeSet::new(),
            tasks_started: 0,
            jobs_done: 0,
            leaders_elected: 0,
            heterogeneous: None,
            trace: Trace::default(),
        }
    }

    /// The digest of all that crossed an edge of this world so far.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Random jobs, cancellations and faults for `seconds`, then quiet for `quiet_s`.
    pub fn run_random(&mut self, seconds: f64, quiet_s: f64) {
        let mut submitted = self.jobs.len() as u32;
        let end = self.now + seconds;
        while self.now < end {
            if self.rng.f64() < 0.04 {
                submitted += 1;
                let mut spec = random_job(&mut self.rng, submitted);
                spec.dependencies = self.random_dependencies();
                self.submit(spec);
            }
            if self.rng.f64() < 0.004 && submitted > 0 {
                let id = format!("wk-{:06}", self.rng.u32(1..=submitted));
                self.cancel(&id);
            }
            self.inject_fault();
            self.step();
        }
        let quiet_since = self.now;
        while self.now < quiet_since + quiet_s {
            self.step_without_faults(quiet_since);
        }
        self.check_started_in_time();
    }

    /// Runs on without faults until all is done, for `seconds` at most.
    pub fn run_until_done(&mut self, seconds: f64) {
        let quiet_since = self.now;
        (
            self.lost_percent,
            self.delayed_percent,
            self.late_copy_percent,
            self.late_write_percent,
        ) = (0, 0, 0, 0);
        self.extra_read_s = 0.0;
        while self.now < quiet_since + seconds && !self.open_jobs().is_empty() {
            self.step_without_faults(quiet_since);
        }
    }

    /// A step in a time without faults, in which every job must get on.
    fn step_without_faults(&mut self, quiet_since: f64) {
        self.step();
        if self.now - quiet_since > MAX_UNKNOWN_S {
            self.check_leader_knows_jobs();
        }
        self.check_waiting();
    }

    /// One step of time, in which everything runs once.
    pub fn step(&mut self) {
        self.now += STEP_S;
        let outage = self
            .planned_outage
            .take_if(|outage| self.now >= outage.begins_at);
        if let Some(outage) = outage {
            self.store_outage(outage.duration_s);
        }
        self.run_reads();
        self.run_preemptions_and_checkpoints();
        self.run_workers();
        self.deliver();
        self.run_controllers();
        self.run_leader();
        self.run_writes();
        self.check_running_tasks();
    }

    /// What the leader, the owners and the workers know, in words.
    pub fn explain(&self) -> String {
        let Some(LeadingController {
            controller, leader, ..
        }) = &self.leading
        else {
            return "no leader".into();
        };
        let head = format!(
            "leader {} token={} members={:?}",
            controller_name(*controller),
            leader.token(),
            leader.members()
        );
        let mut lines = vec![head];
        lines.extend((0..CONTROLLERS).map(|i| self.explain_controller(i)));
        lines.extend(
            self.workers
                .keys()
                .map(|machine| self.explain_worker(machine)),
        );
        lines.push(leader.explain());
        lines.join("\n")
    }

    fn explain_controller(&self, i: usize) -> String {
        let controller = &self.controllers[i];
        format!(
            "{} token={} authority={} joined={} epoch={}\n{}",
            controller_name(i),
            controller.owner.token(),
            controller.owner.has_authority(self.now),
            controller.joined,
            controller.has_epoch,
            controller.owner.explain()
        )
    }

    fn explain_worker(&self, machine: &str) -> String {
        let worker = &self.workers[machine];
        format!(
            "{machine} gone={} up={:.1} incarnation={} seq={} token={} lease={:.1} next={:.1} target={} now={:.1} tasks={:?}",
            worker.gone,
            worker.up_at,
            worker.incarnation,
            worker.seq,
            worker.token,
            worker.lease_renewed_at,
            worker.next_heartbeat_at,
            worker.target,
            self.now,
            worker.tasks
        )
    }
}
