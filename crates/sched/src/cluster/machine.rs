//! The leader's state of a machine.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRef;

/// Whether a machine is on the roster, the durable record of the machines on which tasks may have
/// been started. No task is started on a machine that is not on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Rostered {
    /// The store has no record of the machine: none was written, or the write failed.
    No,
    /// The record is being written.
    Writing,
    /// The record is durable.
    Yes,
}

/// A machine, the tasks charged to it, and the state reported by its owner.
pub(crate) struct Machine {
    /// Name of its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Owner of the shard that it belongs to.
    pub owner: String,
    /// Leader token under which that owner was assigned.
    pub owner_token: u64,
    /// Whether its owner has reported its content in this epoch.
    pub reconciled: bool,
    /// Whether its content (the tasks on it) is unknown because no owner has reported it since this
    /// leader started.
    pub content_unknown: bool,
    /// Time at which its owner first reported that its worker's lease has certainly expired; `None`
    /// if the worker sent a newer heartbeat since.
    pub lease_expired_at: Option<Secs>,
    /// Time at which the cloud reclaims it, once the cloud has given notice.
    pub notice_expires_at: Option<Secs>,
    /// Whether it is on the durable roster.
    pub rostered: Rostered,
    /// Whether the owner may place tasks on it, as last sent to the owner.
    pub usable_sent: bool,
    /// Whether the owner has confirmed that it no longer places tasks on it.
    pub confirmed_unusable: bool,
    /// Whether its owner reports no tasks that are running on it or about to start there.
    pub is_idle: bool,
    /// Whether its heartbeats arrive while responses do not reach it.
    pub unreachable: bool,
    /// Whether it runs tasks of terminal jobs that the leader no longer tracks; nothing is placed
    /// next to them.
    pub has_unknown_jobs: bool,
    /// Whether it is being drained: it gets no new tasks and is released once it is empty. That is
    /// also the case after a request for its release that got no answer.
    pub draining: bool,
    /// Whether a request for its release is queued or under way.
    pub releasing: bool,
    /// Attempt numbers of the tasks that may be running on it, by job id and task index.
    pub tasks: BTreeMap<(String, u32), u64>,
    /// Resources that those tasks use.
    pub used: Resources,
    /// Resources reserved for gangs, by attempt.
    pub reserved: BTreeMap<u64, Resources>,
    /// Time since which it has been idle, with nothing charged to it.
    pub idle_since: Secs,
    /// Time at which its owner last sent its status.
    pub last_status_at: Secs,
    /// Images that it has or is fetching, newest first.
    pub images: Vec<String>,
    /// Jobs that failed on it but do not fail everywhere.
    pub failed_jobs: BTreeSet<String>,
    /// Exited tasks that its worker was told to clear in this epoch.
    pub cleared_tasks: BTreeSet<TaskRef>,
}

impl Machine {
    /// Creates a machine of which nothing is known yet but its type, its zone and whether it is a
    /// spot machine; tasks may be running on it. `token` is the leader token of its first owner
    /// assignment.
    pub fn new(kind: &str, zone: &str, spot: bool, token: u64, now: Secs) -> Machine {
        Machine {
            kind: kind.into(),
            zone: zone.into(),
            spot,
            owner: String::new(),
            owner_token: token,
            reconciled: false,
            content_unknown: false,
            lease_expired_at: None,
            notice_expires_at: None,
            rostered: Rostered::No,
            usable_sent: false,
            confirmed_unusable: false,
            is_idle: true,
            unreachable: false,
            has_unknown_jobs: false,
            draining: false,
            releasing: false,
            tasks: BTreeMap::new(),
            used: Resources::default(),
            reserved: BTreeMap::new(),
            idle_since: now,
            last_status_at: now,
            images: Vec::new(),
            failed_jobs: BTreeSet::new(),
            cleared_tasks: BTreeSet::new(),
        }
    }

    /// Charges the machine for a task, given by job id and index, that may be running on it.
    pub fn charge(&mut self, task: (String, u32), attempt: u64, resources: Resources) {
        if self.tasks.insert(task, attempt).is_none() {
            self.used.add(resources);
        }
    }

    /// Removes the charge for a task that no longer runs on the machine.
    pub fn uncharge(&mut self, task: &(String, u32), resources: Resources) {
        if self.tasks.remove(task).is_some() {
            self.used.sub(resources);
        }
        if self.tasks.is_empty() {
            // Reset the sum, since floating-point rounding errors accumulate.
            self.used = Resources::default();
        }
    }

    /// Returns whether it may be put on the roster: it is up, and its release was not requested.
    pub fn may_join_roster(&self) -> bool {
        self.lease_expired_at.is_none() && !self.draining && !self.releasing
    }

    /// Returns whether its owner may place tasks on it: it is on the roster and neither draining
    /// nor being released.
    pub fn is_usable(&self) -> bool {
        self.rostered == Rostered::Yes && !self.draining && !self.releasing
    }

    /// Returns whether tasks may be placed on it now, as far as the leader knows.
    pub fn accepts_tasks(&self) -> bool {
        let present =
            self.reconciled && self.lease_expired_at.is_none() && self.notice_expires_at.is_none();
        self.rostered == Rostered::Yes
            && self.usable_sent
            && present
            && !self.has_unknown_jobs
            && !self.unreachable
    }

    /// Returns the part of `capacity` that is neither used by tasks nor reserved.
    pub fn free(&self, capacity: Resources) -> Resources {
        let mut free = capacity;
        free.sub(self.used);
        self.reserved
            .values()
            .for_each(|reserved| free.sub(*reserved));
        free
    }
}
