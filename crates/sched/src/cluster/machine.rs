//! A machine as the leader sees it.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRef;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Rostered {
    No,
    Writing,
    Yes,
}

pub(crate) struct Machine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub owner: String,
    pub since: u64,
    /// Its owner has shown what is on it since it became the owner.
    pub reconciled: bool,
    /// Not reconciled since this leader began: what is on it is not known at all.
    pub unknown: bool,
    pub lapsed_at: Option<Secs>,
    pub notice_until: Option<Secs>,
    pub rostered: Rostered,
    pub usable_sent: bool,
    /// The owner has shown that it places nothing there any more.
    pub confirmed_unusable: bool,
    pub is_idle: bool,
    /// Its heartbeats arrive, but answers don't reach it.
    pub unreachable: bool,
    /// Tasks of jobs that are over and not known here any more: nothing is placed beside them.
    pub has_unknown_jobs: bool,
    pub drain: bool,
    pub releasing: bool,
    pub tasks: BTreeMap<(String, u32), u64>,
    pub used: Resources,
    pub reserved: BTreeMap<u64, Resources>,
    pub idle_since: Secs,
    pub seen_at: Secs,
    pub images: Vec<String>,
    pub failed_jobs: BTreeSet<String>,
    pub cleared: BTreeSet<TaskRef>,
}

impl Machine {
    /// Whether tasks may be placed there now, as far as the cluster view goes.
    pub fn open(&self) -> bool {
        let present = self.reconciled && self.lapsed_at.is_none() && self.notice_until.is_none();
        self.rostered == Rostered::Yes
            && self.usable_sent
            && present
            && !self.has_unknown_jobs
            && !self.unreachable
    }

    /// What is left of its capacity beside possibly running tasks and reserved capacity.
    pub fn free(&self, whole: Resources) -> Resources {
        let mut free = whole;
        free.sub(self.used);
        self.reserved.values().for_each(|h| free.sub(*h));
        free
    }
}
