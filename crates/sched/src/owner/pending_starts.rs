//! Starts that were decided for a machine and that no heartbeat has settled yet.

use super::outbox::Outbox;
use crate::placement::Resources;
use std::collections::BTreeMap;
use wire::peers::{TaskRef, TaskStatus};

/// Most starts in one answer, so that it stays below the protocol's limit.
const STARTS_PER_RESPONSE: usize = 400;

/// Tasks of one attempt of a job that are to be started alike.
pub(super) struct StartGroup<'a> {
    pub(super) job: &'a str,
    pub(super) attempt: u64,
    /// What one task takes.
    pub(super) resources: Resources,
    pub(super) image: &'a str,
}

/// The starts decided for a machine.
///
/// Invariant: each of them occupies its resources until the machine's heartbeat shows the task, or
/// until it is handed back to the leader.
#[derive(Default)]
pub(super) struct PendingStarts {
    starts: BTreeMap<TaskRef, Resources>,
}

impl PendingStarts {
    /// Adds tasks of a group; says how many were not there before.
    pub(super) fn add(&mut self, group: &StartGroup, indexes: impl Iterator<Item = u32>) -> u32 {
        let before = self.starts.len();
        self.starts.extend(indexes.map(|index| {
            let task = TaskRef {
                job: group.job.into(),
                index,
                attempt: group.attempt,
            };
            (task, group.resources)
        }));
        (self.starts.len() - before) as u32
    }

    /// Takes back starts that certainly did not take effect and never will, and tells the leader. A
    /// status alone does not: the leader may never have been shown that this machine took them on.
    /// Says whether there were any.
    pub(super) fn withdraw(
        &mut self,
        reported: &BTreeMap<TaskRef, TaskStatus>,
        is_obsolete: impl Fn(&TaskRef) -> bool,
        outbox: &mut Outbox,
    ) -> bool {
        let before = self.starts.len();
        self.starts.retain(|task, _| {
            let withdrawn = !reported.contains_key(task) && is_obsolete(task);
            if withdrawn {
                outbox.hand_back(task.job.clone(), task.attempt, vec![(task.index, 1)]);
            }
            !withdrawn
        });
        self.starts.len() != before
    }

    /// Drops the starts that a heartbeat shows to have taken effect; says whether there were any.
    pub(super) fn remove_confirmed(&mut self, reported: &BTreeMap<TaskRef, TaskStatus>) -> bool {
        let before = self.starts.len();
        self.starts.retain(|task, _| !reported.contains_key(task));
        self.starts.len() != before
    }

    /// The starts of the next answer.
    pub(super) fn next_batch(&self) -> impl Iterator<Item = &TaskRef> {
        self.starts.keys().take(STARTS_PER_RESPONSE)
    }

    /// How many more starts the next answer may carry.
    pub(super) fn starts_left_in_response(&self) -> usize {
        STARTS_PER_RESPONSE.saturating_sub(self.starts.len())
    }

    pub(super) fn tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.starts.keys()
    }

    /// What each start takes, in the order of the tasks.
    pub(super) fn resources(&self) -> impl Iterator<Item = Resources> + '_ {
        self.starts.values().copied()
    }

    pub(super) fn len(&self) -> usize {
        self.starts.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.starts.is_empty()
    }
}
