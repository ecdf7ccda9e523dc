//! The leader: it orders the queue, places gangs in one pass, has their resources reserved and bound, splits
//! arrays among the shards, and keeps account of what may be running where.
//!
//! A task may be running (`Job::active`) from the decision to start it until an owner shows that it is not.
//! Only tasks in `Job::ready_tasks` are ever started.
//!
//! [`Leader`] coordinates parts that own their state: the view of the cluster with jobs, machines and usage
//! (`cluster`), shard epochs, unresolved tasks, the watermark of started arrays, recently terminal jobs, and the
//! autoscaler. Whatever is to be carried out comes out as an [`Action`].

mod epoch;
mod jobs;
mod machine_status;
mod machines;
mod preemption;
mod progress;
mod queue;
mod reconciliation;
mod requeue;
mod running_counts;
mod scaling;
mod shard_epochs;
mod spot_notices;
mod started_arrays;
mod stops;
mod summary;
mod task_status;
mod terminal_jobs;
mod unresolved_tasks;

pub(crate) use crate::cluster::{
    ActiveTask, Cluster, GangPhase, Job, Machine, Rostered, StartRecord, TaskLocation,
};
pub use crate::cluster::{OpenJob, PriorRuns};
pub use progress::chunk_bits;
pub use summary::{CpuUsage, Summary};
pub(crate) use task_status::MAX_BACKOFF_S;

use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use running_counts::RunningCounts;
use shard_epochs::ShardEpochs;
use started_arrays::StartedArrays;
use std::collections::BTreeMap;
use terminal_jobs::TerminalJobs;
use unresolved_tasks::UnresolvedTasks;
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::ToOwner;
use wire::store::{RosterRecord, StartedArraysRecord};

/// An effect for the caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to an owner.
    Send(String, ToOwner),
    /// Make the next fencing token durable; answered by [`Leader::token_result`].
    IssueToken,
    /// Write a machine's record into the roster, or drop it; answered by [`Leader::roster_result`].
    UpdateRoster(String, Option<RosterRecord>),
    /// Record from which arrays tasks may be started; answered by [`Leader::start_record_result`].
    RecordStartedArrays(StartedArraysRecord),
    /// Record which tasks of a job are done; answered by [`Leader::progress_result`].
    RecordProgress {
        /// The job.
        job: String,
        /// The task of the first bit.
        first_task: u32,
        /// A bitmap in hexadecimal.
        bits: String,
    },
    /// Record that a job is done; answered by [`Leader::finish_result`].
    FinishJob {
        /// The job.
        job: String,
    },
    /// Write the binding of a gang; answered by [`Leader::bind_result`].
    Bind {
        /// The job.
        job: String,
        /// The attempt that is bound.
        attempt: u64,
        /// Machine, first task and number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// Ask the cloud for machines; answered by [`Leader::provision_result`].
    Provision(ProvisionRequest),
    /// Return machines to the cloud; answered by [`Leader::deprovision_result`].
    Deprovision(Vec<String>),
}

/// The leader: it coordinates the parts that own the state.
pub struct Leader {
    pub(crate) member: String,
    pub(crate) cluster: Cluster,
    pub(crate) epochs: ShardEpochs,
    pub(crate) autoscaler: crate::autoscaler::Autoscaler,
    unresolved: UnresolvedTasks,
    started_arrays: StartedArrays,
    terminal_jobs: TerminalJobs,
    running_counts: RunningCounts,
    pub(crate) rng: fastrand::Rng,
    /// How many attempts were begun under this leader.
    attempt_count: u64,
    /// The time of the last tick.
    last_tick_at: Secs,
    /// Whether jobs wait for machines on which an earlier leader may have started them.
    has_unknown_prior_runs: bool,
    pub(crate) actions: Vec<Action>,
    /// Something has changed that the next pass should see soon.
    pass_requested: bool,
    /// Tasks of a progress record.
    chunk_bits: u32,
    progress_flushed_at: Secs,
    last_pass_at: Secs,
    pub(crate) last_preemption_at: Secs,
}

/// Progress is written every so many parts of a worker's lease.
const PROGRESS_WRITES_PER_LEASE: f64 = 12.0;

impl Leader {
    /// A new leader with a new token. Jobs in `jobs` may have been started by an earlier one; `started_upto` is
    /// the revision up to which arrays are recorded as started.
    #[allow(clippy::too_many_arguments)] // Each is a different kind of record that a leader begins with.
    pub fn new(
        member: &str,
        config: SchedulerConfig,
        seed: u64,
        token: u64,
        value_kb: f64,
        jobs: Vec<OpenJob>,
        roster: &BTreeMap<String, RosterRecord>,
        started_upto: u64,
        now: Secs,
    ) -> Leader {
        let mut leader = Leader {
            member: member.into(),
            cluster: Cluster::new(config, now),
            epochs: ShardEpochs::new(member, token, now),
            autoscaler: crate::autoscaler::Autoscaler::default(),
            unresolved: UnresolvedTasks::default(),
            started_arrays: StartedArrays::new(started_upto),
            terminal_jobs: TerminalJobs::default(),
            running_counts: RunningCounts::new(now),
            rng: fastrand::Rng::with_seed(seed),
            attempt_count: 0,
            last_tick_at: now,
            has_unknown_prior_runs: true,
            actions: Vec::new(),
            pass_requested: false,
            chunk_bits: chunk_bits(value_kb),
            progress_flushed_at: now,
            last_pass_at: f64::MIN,
            last_preemption_at: f64::MIN,
        };
        for job in jobs {
            leader.add_job(job);
        }
        for (name, record) in roster {
            let mut machine = leader.new_machine(&record.kind, &record.zone, record.spot, now);
            machine.rostered = Rostered::Yes;
            machine.content_unknown = true;
            leader.cluster.machines.insert_unknown(name, machine);
        }
        leader
    }

    /// What a team's tasks may use together, as they are charged to its quota.
    pub fn used_by(&self, team: &str) -> Resources {
        self.cluster.usage.used_by(team)
    }

    /// Whether the index of free resources agrees with a plain rebuild; for tests.
    pub fn index_agrees(&mut self) -> bool {
        self.cluster.index_is_consistent()
    }

    /// The newest fencing token.
    pub fn token(&self) -> u64 {
        self.epochs.token()
    }

    /// The shard owners of the present epoch.
    pub fn members(&self) -> &[String] {
        self.epochs.members()
    }

    /// Takes the actions that were decided since.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn send(&mut self, to: &str, message: ToOwner) {
        self.actions.push(Action::Send(to.to_string(), message));
    }

    /// Does what is due: `other_controllers` is the number of other controllers in the settings.
    pub fn tick(&mut self, now: Secs, other_controllers: usize) {
        self.last_tick_at = now;
        let retention_s = self.cluster.config.terminal_retention_s();
        self.terminal_jobs.expire(now, retention_s);
        self.review_epoch(now, other_controllers);
        if !self.epochs.has_begun() {
            return;
        }
        self.expire_reservations(now);
        self.handle_spot_notices(now);
        if self.pass_is_due(now) {
            self.last_pass_at = now;
            self.schedule(now);
            self.preempt(now);
        }
        self.autoscale(now);
        self.flush_progress_if_due(now);
        if self.running_counts.take_due(now) {
            self.send_running_counts();
        }
    }

    /// Gives up gangs whose reservations did not become a binding in time.
    fn expire_reservations(&mut self, now: Secs) {
        let is_late = |job: &Job| match &job.phase {
            GangPhase::Reserving { until, .. } | GangPhase::Binding { until, .. } => now >= *until,
            GangPhase::Idle | GangPhase::Running { .. } | GangPhase::Ending => false,
        };
        let late = self.cluster.jobs.iter().filter(|(_, job)| is_late(job));
        let late: Vec<String> = late.map(|(id, _)| id.clone()).collect();
        for id in late {
            log::info!("event=reservation_expired job={id}");
            self.cancel_reservation(&id, now, true);
        }
    }

    /// Whether a pass is to be made now: something has changed, or half a heartbeat interval is over.
    fn pass_is_due(&mut self, now: Secs) -> bool {
        let interval_s = self.cluster.config.heartbeat_s.min(1.0) / 2.0;
        std::mem::take(&mut self.pass_requested) || now - self.last_pass_at > interval_s
    }

    /// What is not recorded yet is still in the workers' heartbeats, should this leader be lost.
    fn flush_progress_if_due(&mut self, now: Secs) {
        let interval_s = self.cluster.config.lease_s / PROGRESS_WRITES_PER_LEASE;
        if now - self.progress_flushed_at > interval_s {
            self.progress_flushed_at = now;
            self.flush_progress();
        }
    }

    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// A number for an attempt, unique among all leaders, since the token is.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempt_count += 1;
        (self.token() << 24) | (self.attempt_count & 0xff_ffff)
    }

    /// The cloud's machine types, as they are at present.
    pub fn set_catalog(&mut self, types: Vec<MachineType>) {
        let has_changed = self.cluster.set_machine_types(types);
        if has_changed && self.epochs.has_begun() {
            let types = self.cluster.machine_types.values().cloned().collect();
            let message = ToOwner::Catalog { types };
            for member in self.members().to_vec() {
                self.send(&member, message.clone());
            }
        }
        self.pass_requested = true;
    }
}
