//! The backlog: assigned tasks that wait for free resources on a machine of the shard.

use super::machine::OwnedMachine;
use super::outbox::Outbox;
use super::pending_starts::StartGroup;
use crate::placement::Resources;
use crate::ranges::to_runs;
use crate::Secs;
use std::collections::VecDeque;
use wire::peers::TaskRequirements;

/// Tasks of an array that wait for resources. At `expires_at`, they are handed back to the leader.
pub(super) struct BacklogEntry {
    pub(super) job: String,
    pub(super) attempt: u64,
    pub(super) requirements: TaskRequirements,
    pub(super) indexes: VecDeque<u32>,
    pub(super) expires_at: Secs,
}

/// Tasks that start on the first machine whose heartbeat shows enough free resources.
///
/// Invariant: a task is removed only when it is started on a machine or handed back to the leader,
/// or when a new epoch begins. Entries keep the order in which the leader sent them.
#[derive(Default)]
pub(super) struct Backlog {
    entries: VecDeque<BacklogEntry>,
}

impl Backlog {
    pub(super) fn push(&mut self, entry: BacklogEntry) {
        self.entries.push_back(entry);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
    }

    /// Iterates over the jobs that have an entry.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &str> {
        self.entries.iter().map(|entry| entry.job.as_str())
    }

    /// Hands all tasks of a job back to the leader.
    pub(super) fn hand_back_job(&mut self, job: &str, outbox: &mut Outbox) {
        self.hand_back(|entry| entry.job == job, outbox);
    }

    /// Hands the tasks whose wait has ended back to the leader.
    pub(super) fn hand_back_expired(&mut self, now: Secs, outbox: &mut Outbox) {
        self.hand_back(|entry| now >= entry.expires_at, outbox);
    }

    fn hand_back(&mut self, should_return: impl Fn(&BacklogEntry) -> bool, outbox: &mut Outbox) {
        self.entries.retain_mut(|entry| {
            let returned = should_return(entry);
            if returned {
                let tasks = to_runs(std::mem::take(&mut entry.indexes));
                outbox.hand_back(std::mem::take(&mut entry.job), entry.attempt, tasks);
            }
            !returned
        });
    }

    /// Moves as many tasks from the backlog to the pending starts of a machine as its `free`
    /// resources and the size of one response allow.
    pub(super) fn start_on(
        &mut self,
        machine: &mut OwnedMachine,
        mut free: Resources,
        is_terminal: impl Fn(&str) -> bool,
    ) {
        for entry in &mut self.entries {
            if !machine.is_allowed_by(&entry.requirements) || is_terminal(&entry.job) {
                continue;
            }
            let resources = Resources::of(&entry.requirements);
            let count = (free.count_fitting(resources) as usize)
                .min(entry.indexes.len())
                .min(machine.starts_left_in_response());
            free.sub(resources.scaled(count as u32));
            let group = StartGroup {
                job: &entry.job,
                attempt: entry.attempt,
                resources,
                image: &entry.requirements.image,
            };
            machine.add_starts(&group, entry.indexes.drain(..count));
        }
        self.entries.retain(|entry| !entry.indexes.is_empty());
    }
}
