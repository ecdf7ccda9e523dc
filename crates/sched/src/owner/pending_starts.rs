//! Starts decided for a machine that no heartbeat has confirmed or ruled out yet.

use super::outbox::Outbox;
use crate::placement::Resources;
use std::collections::BTreeMap;
use wire::peers::{TaskRef, TaskStatus};

/// Maximum number of starts in one response, which keeps it below the protocol's size limit.
const STARTS_PER_RESPONSE: usize = 400;

/// What the tasks that are started together have in common. They belong to the same attempt of a
/// job.
pub(super) struct StartGroup<'a> {
    pub(super) job: &'a str,
    pub(super) attempt: u64,
    /// Resources that one task takes.
    pub(super) resources: Resources,
    pub(super) image: &'a str,
}

/// The pending starts of a machine.
///
/// Invariant: each start holds its resources until a heartbeat of the machine shows the task, or
/// until the task is handed back to the leader.
#[derive(Default)]
pub(super) struct PendingStarts {
    starts: BTreeMap<TaskRef, Resources>,
}

impl PendingStarts {
    /// Adds tasks of a group. Returns how many of them were not pending yet.
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

    /// Withdraws obsolete starts that have certainly not taken effect and never will, and hands
    /// their tasks back to the leader. A machine status that lacks these starts would not be
    /// enough, since the leader may never have received a status that contained them. Returns
    /// whether any start was withdrawn.
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

    /// Removes the starts that a heartbeat shows to have taken effect. Returns whether there were
    /// any.
    pub(super) fn remove_confirmed(&mut self, reported: &BTreeMap<TaskRef, TaskStatus>) -> bool {
        let before = self.starts.len();
        self.starts.retain(|task, _| !reported.contains_key(task));
        self.starts.len() != before
    }

    /// Iterates over the starts for the next response.
    pub(super) fn next_batch(&self) -> impl Iterator<Item = &TaskRef> {
        self.starts.keys().take(STARTS_PER_RESPONSE)
    }

    /// Returns how many more starts the next response may contain.
    pub(super) fn starts_left_in_response(&self) -> usize {
        STARTS_PER_RESPONSE.saturating_sub(self.starts.len())
    }

    pub(super) fn tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.starts.keys()
    }

    /// Iterates over the resources of each start, in the order of the tasks.
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
