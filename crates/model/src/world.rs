//! A simulation of workers, controllers, the store and the cloud that runs the real scheduling code
//! of `sched`. It advances in fixed steps of simulated time and injects random or scripted faults.
//!
//! Each controller owns a shard of the machines: it responds to the heartbeats of their workers.
//! One of the controllers is also the leader, which places tasks on the machines of all shards.

use sched::cancellation::CancellationGate;
use sched::config::{SchedulerConfig, Team};
use sched::leader::{Action, Leader, OpenJob, PriorRuns, ReleaseOutcome};
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

mod cancellations;
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
mod releases;
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
use releases::Delays;
use store::PendingWrite;
pub use trace::Trace;
use transit::{Connection, HeartbeatId, InTransit, Message};
use workers::{SimTask, TaskKey, Worker};

/// The simulated time per step, in seconds.
const STEP_S: f64 = 0.1;
const CONTROLLERS: usize = 3;
/// The duration of the leader's lease in the store, in seconds.
const LEADER_LEASE_S: f64 = 2.0;
/// The share of the lease duration for which a leader relies on its lease.
const AUTHORITY_SHARE: f64 = 0.95;
/// The maximum time, in seconds, for which the leader may not know an open job. It is checked from
/// this long after the faults ended; a job that is then unknown violates the rule `forgotten`.
/// Required by the users.
const MAX_UNKNOWN_S: f64 = 75.0;
/// The maximum time, in seconds, for which a job may wait, in the absence of faults, while a
/// machine has capacity for it. Required by the users.
const MAX_WAIT_WITH_CAPACITY_S: f64 = 90.0;
/// The maximum time, in seconds, from when a job's dependencies are done until it starts, even for
/// one of the largest jobs. Required by the users.
const MAX_START_WAIT_S: f64 = 240.0;
/// The number of tasks of the largest randomly generated gangs.
const LARGEST_GANG_TASKS: u32 = 3;

/// A simulated cluster with its users, the store and the cloud.
pub struct World {
    /// The current simulated time, in seconds.
    pub now: f64,
    rng: fastrand::Rng,
    defect: Defect,
    config: SchedulerConfig,
    /// The teams' true limits; those in `config` may be changed by a defect.
    limits: BTreeMap<String, Team>,
    types: Vec<MachineType>,
    workers: BTreeMap<String, Worker>,
    controllers: Vec<Controller>,
    leading: Option<LeadingController>,
    /// When the leader's lease in the store expires unless it is renewed.
    lease_end: f64,
    /// The earliest time of the next election: until then the previous leader's lease is still
    /// valid.
    no_election_before: f64,
    /// The last fencing token issued, at an election or for a new epoch (a new assignment of the
    /// machines to the controllers).
    term: u64,
    /// The store's current revision.
    revision: u64,
    /// Arrays accepted up to this revision may have started, according to the record in the store.
    started_upto: u64,
    /// The machines on which tasks may have been started, according to the store.
    roster: BTreeMap<String, RosterRecord>,
    jobs: BTreeMap<String, JobState>,
    messages: Vec<InTransit<Message>>,
    writes: Vec<PendingWrite>,
    /// The versions of the keys that leaders write, as the store has them.
    versions: BTreeMap<String, u64>,
    /// The versions of these keys that the current leader knows.
    leader_known_versions: BTreeMap<String, u64>,
    machines_provisioned: u64,
    store_down_until: f64,
    /// The cloud executes no request until this time.
    cloud_down_until: f64,
    delays: Delays,
    planned_outage: Option<PlannedOutage>,
    partition: Option<Partition>,
    /// The number of injected faults of each kind.
    pub faults: BTreeMap<Fault, u32>,
    /// The number of cloud events of each kind, which are counted only in heterogeneous worlds.
    pub cloud_events: BTreeMap<CloudEvent, u32>,
    /// The percentage of messages that are lost.
    pub lost_percent: u32,
    /// The percentage of messages that are delayed by 2 to 27 s.
    pub delayed_percent: u32,
    /// The percentage of heartbeats of which a duplicate arrives late, 1 s to 1 s plus three worker
    /// leases after the heartbeat was sent.
    pub late_copy_percent: u32,
    /// The percentage of writes that get no response and are applied 2 to 12 s later.
    pub late_write_percent: u32,
    /// The extra latency of reads of the store, in seconds.
    pub extra_read_s: f64,
    /// Whether the controller that confirms a cancellation notifies the leader immediately.
    pub cancel_hints: bool,
    /// The time since which each waiting job has had capacity on the same machine or, if it is a
    /// gang, on the machines together.
    capacity_since: BTreeMap<rules::WaitingWithCapacity, f64>,
    /// The percentage of random jobs that depend on earlier ones.
    pub dependent_percent: u32,
    /// The number of jobs cancelled because one of their dependencies was cancelled.
    pub cancelled_by_dependency: u32,
    /// The number of confirmed cancellations.
    pub cancellations: u32,
    /// The number of worker leases that expired.
    pub lease_expiries: u32,
    /// The tasks that workers have completed, as job id and task index.
    completed: BTreeSet<(String, u32)>,
    /// The names of the violated rules.
    pub violations: BTreeSet<String>,
    /// The number of task starts.
    pub tasks_started: u64,
    /// The number of jobs recorded as done.
    pub jobs_done: u64,
    /// The number of leaders elected so far.
    pub leaders_elected: u64,
    /// The extra state of a heterogeneous world.
    heterogeneous: Option<heterogeneous::HeterogeneousState>,
    trace: Trace,
}

impl World {
    /// Creates a world with the default test configuration.
    pub fn new(seed: u64, defect: Defect) -> World {
        World::with_config(seed, defect, config())
    }

    /// Creates a world with the given configuration.
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
            cloud_down_until: 0.0,
            delays: Delays::default(),
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

    /// Returns the trace of everything that has crossed a component boundary so far.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    /// Runs with random jobs, cancellations and injected faults for `seconds`, then without new
    /// ones for `quiet_s`, and finally checks that enough jobs started in time.
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

    /// Runs without faults until no job is open, but at most for `seconds`.
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

    /// Runs one step of a period without new faults and checks that every job makes progress.
    fn step_without_faults(&mut self, quiet_since: f64) {
        self.step();
        if self.now - quiet_since > MAX_UNKNOWN_S {
            self.check_leader_knows_jobs();
        }
        self.check_waiting();
    }

    /// Advances the time by one step, in which every component runs once.
    pub fn step(&mut self) {
        self.now += STEP_S;
        let outage = self
            .planned_outage
            .take_if(|outage| self.now >= outage.begins_at);
        if let Some(outage) = outage {
            self.store_outage(outage.duration_s);
        }
        self.run_reads();
        self.run_late_releases();
        self.run_preemptions_and_checkpoints();
        self.run_workers();
        self.deliver();
        self.run_controllers();
        self.run_leader();
        self.run_writes();
        self.report_cancellations();
        self.check_running_tasks();
        self.check_startable_tasks();
    }

    /// Returns a description of the state of the leader, the owners and the workers.
    pub fn describe_state(&self) -> String {
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
        lines.push(leader.describe_state());
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
            controller.owner.describe_state()
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
