//! The leader orders the queue, places each gang in one pass, reserves and binds its resources,
//! splits arrays among the shard owners (the controllers that each manage a part of the machines),
//! and tracks which tasks may be running on which machines.
//!
//! From the decision to start a task until an owner's report or the removal of its machine shows
//! that it is not running, the leader treats the task as possibly running and keeps it in
//! `Job::active`. Only tasks in `Job::ready_tasks` are started.
//!
//! [`Leader`] coordinates components, each of which owns its state: the view of the cluster with
//! jobs, machines and usage (`cluster`), shard epochs, unresolved tasks, the watermark of started
//! arrays (the revision up to which accepted arrays are recorded as started), recently terminal
//! jobs, and the autoscaler. Effects that the caller has to carry out are returned as [`Action`]s.

mod cancellations;
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

pub use crate::autoscaler::ReleaseOutcome;
pub(crate) use crate::cluster::{
    ActiveTask, Cluster, EndOfMachine, GangPhase, Job, Machine, Rostered, StartRecord, TaskLocation,
};
pub use crate::cluster::{OpenJob, PriorRuns};
pub use progress::tasks_per_chunk;
pub(crate) use requeue::RequeueReason;
pub use summary::{CpuUsage, Summary};
pub(crate) use task_status::MAX_BACKOFF_S;

use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use cancellations::CancellationConfirmations;
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
    /// Write the next fencing token to the store; answered by [`Leader::on_token_result`].
    IssueToken,
    /// Write a machine's record to the roster (the stored list of machines), or delete the record
    /// if `None`; answered by [`Leader::on_roster_result`].
    UpdateRoster(String, Option<RosterRecord>),
    /// Record which arrays may have started tasks; answered by [`Leader::on_start_record_result`].
    RecordStartedArrays(StartedArraysRecord),
    /// Record which tasks of a job are done; answered by [`Leader::on_progress_result`].
    RecordProgress {
        /// The job.
        job: String,
        /// Index of the task that the first bit stands for.
        first_task: u32,
        /// A bitmap in hexadecimal with one bit per task, set for tasks that are done.
        bits: String,
    },
    /// Record that a job is done; answered by [`Leader::on_finish_result`].
    FinishJob {
        /// The job.
        job: String,
    },
    /// Record the machines to which a gang is bound; answered by [`Leader::on_bind_result`].
    Bind {
        /// The job.
        job: String,
        /// The attempt that is bound.
        attempt: u64,
        /// For each part of the gang: its machine, its first task and its number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// Tell a controller that no task of these cancelled jobs will be started any more, provided that
    /// this leader still has authority.
    ConfirmCancellations {
        /// The controller that asked.
        requester: String,
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Ask the cloud for machines; answered by [`Leader::on_provision_result`].
    Provision(ProvisionRequest),
    /// Return machines to the cloud; answered by [`Leader::on_deprovision_result`].
    Deprovision(Vec<String>),
}

/// The leader, which coordinates the components that own the state.
pub struct Leader {
    pub(crate) member: String,
    pub(crate) cluster: Cluster,
    pub(crate) epochs: ShardEpochs,
    pub(crate) autoscaler: crate::autoscaler::Autoscaler,
    unresolved: UnresolvedTasks,
    started_arrays: StartedArrays,
    terminal_jobs: TerminalJobs,
    confirmations: CancellationConfirmations,
    running_counts: RunningCounts,
    pub(crate) rng: fastrand::Rng,
    /// Number of attempts started by this leader.
    attempt_count: u64,
    /// Time of the last tick.
    last_tick_at: Secs,
    /// Whether the tasks on some machine may still be unknown to this leader. Jobs that an earlier
    /// leader may have started there wait until they are known.
    has_unknown_prior_runs: bool,
    pub(crate) actions: Vec<Action>,
    /// Whether a change calls for a scheduling pass at the next tick.
    pass_requested: bool,
    /// Tasks per progress record; see [`tasks_per_chunk`].
    tasks_per_chunk: u32,
    progress_flushed_at: Secs,
    last_pass_at: Secs,
    pub(crate) last_preemption_at: Secs,
}

/// Number of progress writes per worker lease.
const PROGRESS_WRITES_PER_LEASE: f64 = 12.0;

impl Leader {
    /// Creates a leader with a new fencing token. An earlier leader may have started tasks of
    /// `jobs`; `started_upto` is the store revision up to which accepted arrays are recorded as
    /// started. `value_kb` is the size limit of a value in the store.
    #[allow(clippy::too_many_arguments)] // Each argument is a different part of the initial state.
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
        let epochs = ShardEpochs::new(member, token, config.max_leader_authority_s(), now);
        let mut leader = Leader {
            member: member.into(),
            cluster: Cluster::new(config, now),
            epochs,
            autoscaler: crate::autoscaler::Autoscaler::default(),
            unresolved: UnresolvedTasks::default(),
            started_arrays: StartedArrays::new(started_upto),
            terminal_jobs: TerminalJobs::default(),
            confirmations: CancellationConfirmations::default(),
            running_counts: RunningCounts::new(now),
            rng: fastrand::Rng::with_seed(seed),
            attempt_count: 0,
            last_tick_at: now,
            has_unknown_prior_runs: true,
            actions: Vec::new(),
            pass_requested: false,
            tasks_per_chunk: tasks_per_chunk(value_kb),
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

    /// Returns the total resources charged to a team's quota for tasks that may be running.
    pub fn team_usage(&self, team: &str) -> Resources {
        self.cluster.usage.team_usage(team)
    }

    /// Returns whether the index of free resources equals one rebuilt from scratch; for tests.
    pub fn index_is_consistent(&mut self) -> bool {
        self.cluster.index_is_consistent()
    }

    /// Returns the newest fencing token.
    pub fn token(&self) -> u64 {
        self.epochs.token()
    }

    /// Returns the shard owners of the current epoch.
    pub fn members(&self) -> &[String] {
        self.epochs.members()
    }

    /// Returns the actions decided since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn send(&mut self, to: &str, message: ToOwner) {
        self.actions.push(Action::Send(to.to_string(), message));
    }

    /// Performs the periodic work whose time has come: changes of the epoch, scheduling,
    /// preemption, autoscaling and writes of progress. Until the first epoch has begun, only the
    /// epoch is reviewed and old terminal jobs are forgotten. `other_controllers` is the number of
    /// other controllers in the settings.
    pub fn tick(&mut self, now: Secs, other_controllers: usize) {
        self.last_tick_at = now;
        let retention_s = self.cluster.config.terminal_retention_s();
        self.terminal_jobs.expire(now, retention_s);
        self.review_epoch(now, other_controllers);
        self.send_confirmations(now);
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

    /// Cancels reservations of gangs that were not bound in time.
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

    /// Returns whether to run a scheduling pass now, because one was requested or because more than
    /// half a heartbeat interval (at most half a second) has passed since the last. Resets the
    /// request.
    fn pass_is_due(&mut self, now: Secs) -> bool {
        let interval_s = self.cluster.config.heartbeat_s.min(1.0) / 2.0;
        std::mem::take(&mut self.pass_requested) || now - self.last_pass_at > interval_s
    }

    /// Writes progress periodically. If this leader fails in between, progress that is not recorded
    /// yet is not lost: workers' heartbeats still report it.
    fn flush_progress_if_due(&mut self, now: Secs) {
        let interval_s = self.cluster.config.lease_s / PROGRESS_WRITES_PER_LEASE;
        if now - self.progress_flushed_at > interval_s {
            self.progress_flushed_at = now;
            self.flush_progress();
        }
    }

    /// Requests a scheduling pass at the next tick.
    pub(crate) fn request_pass(&mut self) {
        self.pass_requested = true;
    }

    /// Returns an attempt number that is unique among all leaders because it contains the token,
    /// and no two leaders have the same token.
    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.attempt_count += 1;
        (self.token() << 24) | (self.attempt_count & 0xff_ffff)
    }

    /// Sets the cloud's current machine types and sends them to the owners if they have changed.
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
