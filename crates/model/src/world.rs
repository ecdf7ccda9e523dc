//! A simulated world around the real decisions of `sched`.

use sched::config::{SchedulerConfig, Team};
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use sched::owner::{HeartbeatResponse, Jobs, Owner};
use sched::placement::Resources;
use sched::ranges::Ranges;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::{MachineStatus, TaskStatus, ToLeader, ToOwner};
use wire::store::RosterRecord;
use wire::users::{Job, Priority, Shape};
use wire::workers::{Heartbeat, Order, Orders, ReportedTask, TaskState, Why};

mod chains;
mod controllers;
mod faults;
mod fixtures;
mod freeze;
mod rich;
mod rules;
mod script;
mod store;
mod trace;
mod workers;

use chains::ChainView;
use controllers::{disconnect, new_controller};
use fixtures::random_job;
pub use fixtures::{config, heartbeat, job, machine_status, machine_type};
use store::Pending;
pub use trace::Trace;

/// Deliberate defects, to show that the checkers notice them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Defect {
    /// None: the decisions as they are.
    None,
    /// Every heartbeat counts, also those held up from before a change of owners.
    TrustAnyReport,
    /// A new leader does not wait until the rostered machines are reconciled.
    ForgetRoster,
    /// The leader believes in twice the teams' limits.
    DoubleLimit,
    /// The leader does not learn what types jobs allow.
    IgnoreTypes,
    /// The leader does not learn of cancellations.
    IgnoreCancel,
    /// A job is called done when half of its tasks are.
    HalfDone,
    /// The same, and no controller gets to see that the job is done.
    HalfDoneUnseen,
    /// A controller that reads all records anew takes them for the newest, beside its own writes.
    ReloadReplaces,
    /// A new leader does not learn of half of the open jobs.
    LoseJobs,
    /// The leader never gets to know the largest gangs.
    NeverLarge,
    /// Arrays of one team are kept from the leader.
    NeverRed,
    /// Controllers take whatever they know of the store to be of this moment.
    TrustOldPicture,
    /// A new leader's writes are carried out whatever was written since.
    NoVersions,
    /// The leader is told jobs that wait for others.
    StartBlocked,
    /// Controllers do not derive that jobs are cancelled with those that they need.
    IgnoreChains,
    /// Controllers never learn of cancellations by their own reads; the leader knows none that
    /// happened before it led.
    ForgetCancelled,
}

const STEP: f64 = 0.1;

#[derive(Clone, Debug)]
struct SimTask {
    state: TaskState,
    why: Option<Why>,
    began: f64,
    /// How long it had run when it was started here, by its checkpoints.
    saved_s: f64,
    /// It has saved, and why it exited is that it was told to.
    saved: bool,
    /// Until when it saves, once it was told to stop.
    saves_until: f64,
}

type Key = (String, u32, u64);

struct InFlight {
    sent: f64,
    incarnation: u64,
    seq: u64,
}

struct Worker {
    kind: String,
    zone: String,
    spot: bool,
    up_at: f64,
    gone: bool,
    hung_until: f64,
    /// Until then its heartbeats arrive, but no answer reaches it.
    inbound_cut_until: f64,
    /// Until then none of its heartbeats arrives anywhere.
    outbound_cut_until: f64,
    /// When the cloud takes the machine back, once it has given notice.
    taken_at: Option<f64>,
    incarnation: u64,
    seq: u64,
    token: u64,
    lease_from: f64,
    tasks: BTreeMap<Key, SimTask>,
    target: usize,
    next: f64,
    flight: Option<InFlight>,
}

enum Message {
    Heartbeat {
        to: usize,
        heartbeat: Box<Heartbeat>,
    },
    Answer {
        worker: String,
        incarnation: u64,
        seq: u64,
        answer: HeartbeatResponse,
    },
}

struct Controller {
    owner: Owner,
    down_until: f64,
    /// When the stream to the leader works again; it works if this is past.
    link_at: f64,
    joined: bool,
    to_owner: VecDeque<(f64, ToOwner)>,
    to_leader: VecDeque<(f64, ToLeader)>,
    pings: VecDeque<(f64, f64)>,
    epoch: bool,
    /// What the leader knew when it answered pings, behind its messages: when that arrives, and its age.
    knows: VecDeque<(f64, f64)>,
    /// The store answers this controller with refusals until then, and no other.
    refused_until: f64,
    /// It stands still until then.
    frozen_until: f64,
    /// It stands still for so long once it has decided its next answer to a worker.
    freezes_for: Option<f64>,
    /// The size of values for which it lays out its records.
    value_kb: f64,
    /// What it has derived from the dependencies between jobs.
    chains: ChainView,
    /// When the last read of the store that was answered was sent.
    seen: f64,
    /// A read that is under way: when it was sent and when its answer comes.
    read: Option<(f64, f64)>,
    /// All records are being read anew: since when, and until when.
    reload: Option<(f64, f64)>,
}

struct JobState {
    spec: Rc<Job>,
    accepted: f64,
    /// When its first task began to run.
    started_at: Option<f64>,
    revision: u64,
    done: Ranges,
    /// Since when it is over, by its own record or because a job that it needs is cancelled.
    terminal_at: Option<f64>,
    /// Since when its own record says that it is over.
    own_end: Option<f64>,
    /// The controller that wrote that end.
    ended_by: Option<usize>,
    /// Since when all jobs that it needs are done.
    ready_at: Option<f64>,
    cancelled: bool,
    prior_runs: PriorRuns,
}

/// The jobs as a controller's replica has them, which is as old as its last read of the store.
struct JobsAsRead<'a>(&'a BTreeMap<String, JobState>, f64);

impl Jobs for JobsAsRead<'_> {
    fn resources(&self, job: &str) -> Option<Resources> {
        let s = &self.0.get(job).filter(|_| !self.is_terminal(job))?.spec;
        Some(Resources {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        Some(
            self.0
                .get(job)
                .filter(|_| !self.is_terminal(job))?
                .spec
                .image
                .clone(),
        )
    }
    fn is_terminal(&self, job: &str) -> bool {
        self.0
            .get(job)
            .is_some_and(|j| j.terminal_at.is_some_and(|at| at <= self.1))
    }
}

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
    leader: Option<(usize, Leader, u64)>,
    /// When the leader's lease in the store ends, if it is not renewed.
    lease_end: f64,
    /// No new leader before this: the old one's lease in the store still runs.
    free_at: f64,
    term: u64,
    revision: u64,
    started_upto: u64,
    roster: BTreeMap<String, RosterRecord>,
    jobs: BTreeMap<String, JobState>,
    messages: Vec<(f64, Message)>,
    writes: Vec<Pending>,
    /// Versions of the keys that leaders write, in the store and as the present leader knows them.
    versions: BTreeMap<String, u64>,
    known_versions: BTreeMap<String, u64>,
    hosts: u64,
    store_down_until: f64,
    /// The next outage of the store: when it begins, and for how long.
    outage_at: Option<(f64, f64)>,
    /// A controller without the store and the other controllers, but with its workers.
    isolated: Option<(usize, f64)>,
    /// Troubles so far by kind, to see that all happened.
    pub faults: BTreeMap<&'static str, u32>,
    /// Messages in a hundred that are lost.
    pub lost: u32,
    /// Messages in a hundred that are held up for long.
    pub held_up: u32,
    /// Heartbeats in a hundred of which a copy comes late, up to three leases.
    pub late_copies: u32,
    /// Writes in a hundred that get no answer and are carried out 2 to 12 s later.
    pub late_writes: u32,
    /// How much longer the store takes to answer reads.
    pub slow_reads: f64,
    /// Whether who confirms a cancellation tells the leader, too.
    pub hints: bool,
    /// Since when a job has waited though a machine had capacity for it, or machines for a gang.
    fits_since: BTreeMap<(String, String), f64>,
    /// Jobs in a hundred that need earlier ones.
    pub chained: u32,
    /// Jobs that were cancelled with one that they need.
    pub cancelled_with_others: u32,
    /// Cancellations that were confirmed, and workers' leases that ended.
    pub cancelled: u32,
    /// Workers' leases that ended.
    pub lapses: u32,
    completed: BTreeSet<(String, u32)>,
    /// The rules that were broken.
    pub broken: BTreeSet<String>,
    /// Tasks that were started.
    pub starts: u64,
    /// Jobs that were recorded as done.
    pub done: u64,
    /// Leaders so far.
    pub leaders: u64,
    rich: Option<rich::Rich>,
    trace: Trace,
}

const TTL: f64 = 2.0;
/// After this long without an answer about it a job is forgotten (a figure of the users).
const FORGOTTEN_S: f64 = 75.0;
/// Once faults are over, no job waits so long while a machine has capacity for it (a figure of the users).
const WAITS_S: f64 = 90.0;
/// Within this time also the largest jobs must begin (a figure of the users).
const BEGIN_S: f64 = 240.0;
const LARGEST_GANG: u32 = 3;

impl World {
    /// A world with the usual settings.
    pub fn new(seed: u64, defect: Defect) -> World {
        World::with(seed, defect, config())
    }

    /// A world with other settings.
    pub fn with(seed: u64, defect: Defect, config: SchedulerConfig) -> World {
        let mut believed = config.clone();
        if defect == Defect::DoubleLimit {
            believed.teams.values_mut().for_each(|t| t.cpus_max *= 2.0);
        }
        let controllers = (0..3).map(|i| new_controller(i, &believed)).collect();
        World {
            now: 0.0,
            rng: fastrand::Rng::with_seed(seed),
            defect,
            config: believed,
            limits: config.teams,
            types: vec![
                machine_type("small", 4.0, 16.0, 0.3),
                machine_type("large", 16.0, 64.0, 1.1),
            ],
            workers: BTreeMap::new(),
            controllers,
            leader: None,
            lease_end: 0.0,
            free_at: 0.0,
            term: 0,
            revision: 0,
            started_upto: 0,
            roster: BTreeMap::new(),
            jobs: BTreeMap::new(),
            messages: Vec::new(),
            writes: Vec::new(),
            versions: BTreeMap::new(),
            known_versions: BTreeMap::new(),
            hosts: 0,
            store_down_until: 0.0,
            outage_at: None,
            isolated: None,
            faults: BTreeMap::new(),
            lost: 3,
            held_up: 3,
            late_copies: 0,
            late_writes: 0,
            slow_reads: 0.0,
            hints: true,
            fits_since: BTreeMap::new(),
            chained: 0,
            cancelled_with_others: 0,
            cancelled: 0,
            lapses: 0,
            completed: BTreeSet::new(),
            broken: BTreeSet::new(),
            starts: 0,
            done: 0,
            leaders: 0,
            rich: None,
            trace: Trace::default(),
        }
    }

    /// The digest of all that crossed an edge of this world so far.
    pub fn trace(&self) -> &Trace {
        &self.trace
    }

    fn break_rule(&mut self, rule: &str) {
        self.trace.rule_broken(self.now, rule);
        self.broken.insert(rule.to_string());
    }

    /// A job is accepted; the leader learns of it with its next read of the store.
    pub fn submit(&mut self, spec: Job) {
        self.revision += 1;
        self.trace.submitted(self.now, &spec);
        let id = spec.id.clone();
        let state = JobState {
            spec: Rc::new(spec),
            accepted: self.now,
            started_at: None,
            revision: self.revision,
            done: Ranges::default(),
            terminal_at: None,
            own_end: None,
            ended_by: None,
            ready_at: None,
            cancelled: false,
            prior_runs: PriorRuns::None,
        };
        self.jobs.insert(id, state);
        self.cancel_descendants();
        self.note_ready();
    }

    fn kept_from_leader(&self, spec: &Job) -> bool {
        match self.defect {
            Defect::NeverLarge => spec.shape == Shape::Gang && spec.tasks == LARGEST_GANG,
            Defect::NeverRed => spec.shape == Shape::Array && spec.team == "red",
            _ => false,
        }
    }

    /// A user cancels a job; any controller that reaches the store confirms it, at once. False if
    /// none does, or the job is over.
    pub fn cancel(&mut self, id: &str) -> bool {
        let confirmed = self.confirm_cancel(id);
        self.trace.cancelled(self.now, id, confirmed);
        confirmed
    }

    fn confirm_cancel(&mut self, id: &str) -> bool {
        let now = self.now;
        let able: Vec<usize> = (0..3).filter(|i| self.reaches_store(*i)).collect();
        if able.is_empty() {
            return false;
        }
        let by = able[self.rng.usize(0..able.len())];
        let Some(j) = self.jobs.get_mut(id).filter(|j| j.terminal_at.is_none()) else {
            return false;
        };
        j.terminal_at = Some(now);
        j.own_end = Some(now);
        j.ended_by = Some(by);
        j.cancelled = true;
        self.trace.ended(now, id, true);
        self.cancelled += 1;
        self.cancel_descendants();
        if self.defect == Defect::IgnoreCancel {
            return true;
        }
        match &mut self.leader {
            Some((leading, leader, _)) if *leading == by => leader.on_job_terminal(id),
            _ if self.hints && self.controllers[by].joined => {
                let at = self.controllers[by]
                    .to_leader
                    .back()
                    .map_or(0.0, |(at, _)| *at)
                    .max(now + 0.05);
                let message = ToLeader::Cancelled { job: id.into() };
                self.trace.sent_to_leader(now, by, at, &message);
                self.controllers[by].to_leader.push_back((at, message));
            }
            _ => {}
        }
        true
    }

    /// Whether the store answers this controller now.
    fn reaches_store(&self, i: usize) -> bool {
        let up = self.now >= self.controllers[i].down_until
            && self.now >= self.controllers[i].refused_until
            && !self.is_frozen(i);
        up && self.now >= self.store_down_until && !self.is_isolated(i)
    }

    /// Random jobs, cancellations and faults for `seconds`, then quiet for `calm`.
    pub fn live(&mut self, seconds: f64, calm: f64) {
        let mut n = self.jobs.len() as u32;
        let end = self.now + seconds;
        while self.now < end {
            if self.rng.f64() < 0.04 {
                n += 1;
                let mut spec = random_job(&mut self.rng, n);
                spec.dependencies = self.random_dependencies();
                self.submit(spec);
            }
            if self.rng.f64() < 0.004 && n > 0 {
                let id = format!("wk-{:06}", self.rng.u32(1..=n));
                self.cancel(&id);
            }
            self.inject_fault();
            self.step();
        }
        let quiet_since = self.now;
        let end = quiet_since + calm;
        while self.now < end {
            self.step();
            if self.now - quiet_since > FORGOTTEN_S {
                self.check_known();
            }
            self.check_waiting();
        }
        self.check_served();
    }

    fn step(&mut self) {
        self.now += STEP;
        if let Some((_, for_s)) = self.outage_at.take_if(|(at, _)| self.now >= *at) {
            self.outage(for_s);
        }
        self.run_reads();
        self.run_rich();
        self.run_workers();
        self.deliver();
        self.run_controllers();
        self.run_leader();
        self.run_writes();
        self.check();
    }

    /// What the leader knows, in words.
    pub fn explain(&self) -> String {
        let Some((leading, l, _)) = &self.leader else {
            return "no leader".into();
        };
        let owners = self.controllers.iter().enumerate().map(|(i, c)| {
            format!(
                "{} token={} authority={} joined={} epoch={}\n{}",
                name(i),
                c.owner.token(),
                c.owner.has_authority(self.now),
                c.joined,
                c.epoch,
                c.owner.explain()
            )
        });
        let head = format!(
            "leader {} token={} members={:?}",
            name(*leading),
            l.token(),
            l.members()
        );
        let workers = self.workers.iter().map(|(n, w)| {
            format!(
                "{n} gone={} up={:.1} incarnation={} seq={} token={} lease={:.1} next={:.1} target={} now={:.1} tasks={:?}",
                w.gone, w.up_at, w.incarnation, w.seq, w.token, w.lease_from, w.next, w.target, self.now, w.tasks
            )
        });
        [head]
            .into_iter()
            .chain(owners)
            .chain(workers)
            .chain([l.explain()])
            .collect::<Vec<_>>()
            .join("\n")
    }

    /// Jobs that are neither done nor cancelled.
    pub fn open_jobs(&self) -> Vec<String> {
        self.jobs
            .iter()
            .filter(|(_, j)| j.terminal_at.is_none())
            .map(|(id, _)| id.clone())
            .collect()
    }
}

fn name(i: usize) -> String {
    format!("rung-{i}")
}

#[cfg(test)]
mod tests;
