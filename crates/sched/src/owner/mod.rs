//! The owner of a shard: responds to the heartbeats of the shard's machines, and is the only
//! controller that starts tasks on them.
//!
//! A heartbeat is current only if its fencing token is at least the one under which this controller
//! became the machine's owner. The worker sent such a heartbeat after it had begun to discard the
//! orders of all earlier owners. Current heartbeats are ordered by (incarnation, seq). A heartbeat
//! that was delayed in the network is therefore never taken for the machine's present status.
//!
//! - Tasks are started by `Owner::on_heartbeat`; the starts are decided by `Owner::assign`,
//!   `Owner::bind` and `Owner::start_from_backlog`.
//! - A worker's lease is renewed by `OwnedMachine::renew_lease`.
//! - `WorkerLease::is_past_expiry` decides whether a lease has certainly expired.

mod assigned_jobs;
mod backlog;
mod epoch;
mod heartbeats;
mod lease;
mod machine;
mod machines;
mod messages;
mod orders;
mod outbox;
mod pending_starts;
mod placement;
mod reservations;
mod responses;
mod terminal_jobs;

use crate::authority::Authority;
use crate::capacity_index::CapacityIndex;
use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use assigned_jobs::AssignedJobs;
use backlog::Backlog;
use epoch::OwnerEpoch;
use machine::OwnedMachine;
use machines::Machines;
use outbox::Outbox;
use reservations::Reservations;
use std::collections::{BTreeMap, BTreeSet};
use terminal_jobs::TerminalJobs;
use wire::cloud::MachineType;
use wire::peers::ToLeader;
use wire::workers::Orders;

/// Access to the jobs in a controller's own replica of the store.
pub trait JobLookup {
    /// Returns the resources that one task of the job takes, or `None` if the replica lacks the
    /// job.
    fn resources(&self, job: &str) -> Option<Resources>;
    /// Returns the image of the job's tasks, or `None` if the replica lacks the job.
    fn image(&self, job: &str) -> Option<String>;
    /// Returns whether the replica has the job as done or cancelled.
    fn is_terminal(&self, job: &str) -> bool;
}

/// The response to a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// Orders for the worker; receiving them renews its lease.
    Orders(Orders),
    /// Name of the controller that owns the machine, to which the worker is to send its heartbeats.
    Redirect(String),
    /// This controller must not give orders to the machine at present, or the heartbeat is stale.
    Unavailable,
}

/// Number of regular status updates to the leader per heartbeat interval; changes that heartbeats
/// show are batched in between.
pub(crate) const STATUS_UPDATES_PER_HEARTBEAT: f64 = 20.0;

/// The owner of a shard of the cluster's machines.
pub struct Owner {
    member: String,
    config: SchedulerConfig,
    /// How long this controller may respond to heartbeats and start tasks.
    pub authority: Authority,
    epoch: OwnerEpoch,
    types: BTreeMap<String, MachineType>,
    machines: Machines,
    reservations: Reservations,
    backlog: Backlog,
    assigned: AssignedJobs,
    terminal_jobs: TerminalJobs,
    outbox: Outbox,
    /// The schedulable machines, for placement.
    index: CapacityIndex,
    /// Machines that changed since the index was last refreshed.
    dirty_machines: BTreeSet<String>,
}

impl Owner {
    /// Creates the owner of the controller named `member`, without an epoch.
    pub fn new(member: &str, config: SchedulerConfig) -> Owner {
        Owner {
            member: member.into(),
            authority: Authority::new(&config),
            config,
            epoch: OwnerEpoch::default(),
            types: BTreeMap::new(),
            machines: Machines::default(),
            reservations: Reservations::default(),
            backlog: Backlog::default(),
            assigned: AssignedJobs::default(),
            terminal_jobs: TerminalJobs::default(),
            outbox: Outbox::new(),
            index: CapacityIndex::default(),
            dirty_machines: BTreeSet::new(),
        }
    }

    /// Describes each machine in one line, for logs and failed tests.
    pub fn describe_state(&self) -> String {
        let lines = self.machines.iter();
        let lines: Vec<String> = lines.map(|(name, machine)| machine.explain(name)).collect();
        lines.join("\n")
    }

    /// Returns the fencing token of the current epoch; 0 before the first.
    pub fn token(&self) -> u64 {
        self.epoch.token()
    }

    /// Returns whether heartbeats may be responded to at `now`.
    pub fn has_authority(&self, now: Secs) -> bool {
        now < self.authority.responses_until()
    }

    /// Returns whether any tasks are to be started with the responses to heartbeats.
    pub fn has_tasks_to_start(&self) -> bool {
        let has_pending = |machine: &OwnedMachine| !machine.pending().is_empty();
        !self.backlog.is_empty()
            || self
                .machines
                .iter()
                .any(|(_, machine)| has_pending(machine))
    }

    /// Removes and returns the pending messages to the leader. Status changes that heartbeats show
    /// are batched for a short time. Those that the leader's own messages cause are included at
    /// once, before any later heartbeat is processed.
    pub fn take_messages(&mut self) -> Vec<ToLeader> {
        self.outbox.drain(self.epoch.token(), &mut self.machines)
    }

    /// Expires reservations and leases, hands back tasks that waited too long in the backlog, and
    /// removes records that are no longer needed.
    pub fn tick(&mut self, now: Secs) {
        self.backlog.hand_back_expired(now, &mut self.outbox);
        self.terminal_jobs
            .remove_expired(self.config.terminal_retention_s(), now);
        if self.assigned.start_review_if_due(now, self.config.lease_s) {
            self.forget_unused_jobs();
        }
        let status_interval_s = self.config.heartbeat_s / STATUS_UPDATES_PER_HEARTBEAT;
        self.outbox.mark_statuses_due_every(status_interval_s, now);
        self.reservations.expire(now, &mut self.dirty_machines);
        let lease_expiry_s = self.config.lease_expiry_s();
        self.machines.remove_expired(now, lease_expiry_s);
        self.machines.expire_leases(
            now,
            lease_expiry_s,
            &mut self.outbox,
            &mut self.dirty_machines,
        );
    }
}
