//! A shard's owner: answers the heartbeats of its machines and alone starts tasks there.
//!
//! A heartbeat counts only if it shows a token at least as high as the one under which this
//! controller became the machine's owner: it was then sent after the worker had begun to drop
//! the orders of every earlier owner, and later ones are ordered by (incarnation, seq). So a
//! heartbeat that was held up in the network is never taken for the present.
//!
//! - What may start a task: `Owner::on_heartbeat`, with starts decided by `Owner::assign`,
//!   `Owner::bind` and `Owner::start_from_backlog`.
//! - What renews a worker's lease: `OwnedMachine::renew_lease`.
//! - What decides that a lease has certainly expired: `WorkerLease::is_certainly_over`.

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
use machines::Machines;
use outbox::Outbox;
use reservations::Reservations;
use std::collections::{BTreeMap, BTreeSet};
use terminal_jobs::TerminalJobs;
use wire::cloud::MachineType;
use wire::peers::ToLeader;
use wire::workers::Orders;

/// What a controller's own replica of the store knows of jobs.
pub trait JobLookup {
    /// What one task of the job takes; none if the job is not known here.
    fn resources(&self, job: &str) -> Option<Resources>;
    /// The image of the job's tasks; none if the job is not known here.
    fn image(&self, job: &str) -> Option<String>;
    /// Whether the job is known to be done or cancelled.
    fn is_terminal(&self, job: &str) -> bool;
}

/// The answer to a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatResponse {
    /// Orders for the worker, which prolong its lease.
    Orders(Orders),
    /// The member that owns the machine: the worker sends its heartbeats there instead.
    Redirect(String),
    /// Not entitled to act at present.
    Unavailable,
}

/// Parts of a heartbeat interval for which changes that heartbeats bring are collected.
pub(crate) const STATUS_UPDATES_PER_HEARTBEAT: f64 = 20.0;

/// The owner of a shard of the machines.
pub struct Owner {
    member: String,
    config: SchedulerConfig,
    /// How long this controller may answer heartbeats and start tasks.
    pub authority: Authority,
    epoch: OwnerEpoch,
    types: BTreeMap<String, MachineType>,
    machines: Machines,
    reservations: Reservations,
    backlog: Backlog,
    assigned: AssignedJobs,
    terminal_jobs: TerminalJobs,
    outbox: Outbox,
    /// Open machines as placement looks at them.
    index: CapacityIndex,
    /// Machines that changed since the index was last brought up to date.
    dirty_machines: BTreeSet<String>,
}

impl Owner {
    /// An owner that waits for its first epoch, on the controller named `member`.
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

    /// The machines in words, one a line, for logs and failed tests.
    pub fn explain(&self) -> String {
        let lines = self.machines.iter();
        let lines: Vec<String> = lines.map(|(name, machine)| machine.explain(name)).collect();
        lines.join("\n")
    }

    /// The fencing token of the present epoch; 0 before the first.
    pub fn token(&self) -> u64 {
        self.epoch.token()
    }

    /// Whether heartbeats may be answered now.
    pub fn has_authority(&self, now: Secs) -> bool {
        now < self.authority.responses_until()
    }

    /// What is to be told to the leader. What heartbeats change is collected for a short while;
    /// what the leader's own messages change is shown at once, before any later heartbeat.
    pub fn drain(&mut self) -> Vec<ToLeader> {
        self.outbox.drain(self.epoch.token(), &mut self.machines)
    }

    /// Lets the backlog's waits, reservations and leases run out.
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
