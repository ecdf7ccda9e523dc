//! Tasks that were assigned to a previous owner and may be running on any of its machines.
//!
//! Invariant: a task stays unresolved until every machine of its previous owner is reconciled or gone.

use std::collections::{BTreeMap, BTreeSet};

/// Identifier of a group of unresolved tasks: those of one previous owner at one change of epoch.
pub(crate) type GroupId = u64;

/// A task of a job, by its index.
type TaskKey = (String, u32);

struct Group {
    /// Machines that are not reconciled yet.
    machines: BTreeSet<String>,
    tasks: Vec<TaskKey>,
}

/// The groups of unresolved tasks.
#[derive(Default)]
pub(crate) struct UnresolvedTasks {
    groups: BTreeMap<GroupId, Group>,
    next_group: GroupId,
}

impl UnresolvedTasks {
    /// Adds a group of tasks that may be running on any of `machines`, and returns its identifier.
    pub(crate) fn add(&mut self, machines: BTreeSet<String>, tasks: Vec<TaskKey>) -> GroupId {
        let id = self.next_group;
        self.next_group += 1;
        self.groups.insert(id, Group { machines, tasks });
        id
    }

    /// Removes and returns the groups whose machines are all settled: reconciled or gone.
    pub(crate) fn take_settled(
        &mut self,
        is_settled: impl Fn(&String) -> bool,
    ) -> Vec<(GroupId, Vec<TaskKey>)> {
        let mut settled = Vec::new();
        self.groups.retain(|id, group| {
            group.machines.retain(|machine| !is_settled(machine));
            if !group.machines.is_empty() {
                return true;
            }
            settled.push((*id, std::mem::take(&mut group.tasks)));
            false
        });
        settled
    }
}
