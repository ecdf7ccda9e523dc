//! A machine as the leader sees it.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRef;

/// Whether a machine is on the durable roster; nothing is started on one that is not.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Rostered {
    /// It is not, or the store did not take the record.
    No,
    /// Its record is being written.
    Writing,
    /// Its record is durable.
    Yes,
}

/// A machine, what is charged to it, and what its owner has shown.
pub(crate) struct Machine {
    /// Its type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its shard owner.
    pub owner: String,
    /// The token under which that became the owner.
    pub owner_token: u64,
    /// Its owner has shown what is on it in this epoch.
    pub reconciled: bool,
    /// Not reconciled since this leader began: what is on it is not known at all.
    pub content_unknown: bool,
    /// Since when its worker's lease has certainly expired, and nothing newer was heard.
    pub lease_expired_at: Option<Secs>,
    /// When the cloud takes it back, once that was announced.
    pub notice_expires_at: Option<Secs>,
    /// Whether it is on the durable roster.
    pub rostered: Rostered,
    /// Whether its owner may place tasks there, as it was last sent.
    pub usable_sent: bool,
    /// The owner has shown that it places nothing there any more.
    pub confirmed_unusable: bool,
    /// Its owner has shown nothing that runs or is to start there.
    pub is_idle: bool,
    /// Its heartbeats arrive, but responses don't reach it.
    pub unreachable: bool,
    /// Tasks of terminal jobs that are not known here any more: nothing is placed beside them.
    pub has_unknown_jobs: bool,
    /// No more tasks are placed there, and it is released once it is empty.
    pub draining: bool,
    /// The cloud is being asked to take it back.
    pub releasing: bool,
    /// Attempts of tasks that may be running there, by job and index.
    pub tasks: BTreeMap<(String, u32), u64>,
    /// What those tasks use.
    pub used: Resources,
    /// What is reserved for gangs, by attempt.
    pub reserved: BTreeMap<u64, Resources>,
    /// Since when nothing is charged to it.
    pub idle_since: Secs,
    /// When its owner last sent its status.
    pub last_status_at: Secs,
    /// Images that it has, or is fetching, the newest first.
    pub images: Vec<String>,
    /// Jobs that failed there, and not everywhere.
    pub failed_jobs: BTreeSet<String>,
    /// Exited tasks that its worker was told to forget in this epoch.
    pub cleared_tasks: BTreeSet<TaskRef>,
}

impl Machine {
    /// A machine of which nothing is known but what it is; `token` is that of its first owner.
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

    /// Charges a task that may be running here, by job and index.
    pub fn charge(&mut self, task: (String, u32), attempt: u64, resources: Resources) {
        if self.tasks.insert(task, attempt).is_none() {
            self.used.add(resources);
        }
    }

    /// A task is not running here any more.
    pub fn uncharge(&mut self, task: &(String, u32), resources: Resources) {
        if self.tasks.remove(task).is_some() {
            self.used.sub(resources);
        }
        if self.tasks.is_empty() {
            // Sums of decimals drift; an empty machine is empty.
            self.used = Resources::default();
        }
    }

    /// Whether its owner may place tasks there: it is rostered, and is not about to be released.
    pub fn is_usable(&self) -> bool {
        self.rostered == Rostered::Yes && !self.draining && !self.releasing
    }

    /// Whether tasks may be placed there now, as far as the leader knows.
    pub fn accepts_tasks(&self) -> bool {
        let present =
            self.reconciled && self.lease_expired_at.is_none() && self.notice_expires_at.is_none();
        self.rostered == Rostered::Yes
            && self.usable_sent
            && present
            && !self.has_unknown_jobs
            && !self.unreachable
    }

    /// What is left of its capacity beside what may be running there and what is reserved.
    pub fn free(&self, capacity: Resources) -> Resources {
        let mut free = capacity;
        free.sub(self.used);
        self.reserved
            .values()
            .for_each(|reserved| free.sub(*reserved));
        free
    }
}
