//! Orders to a machine's worker to start, stop and clear tasks.

use super::outbox::Outbox;
use super::pending_starts::{PendingStarts, StartGroup};
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::{TaskRef, TaskStatus};
use wire::task_name;
use wire::workers::{Order, TaskState};

/// Orders to a worker that no heartbeat has confirmed or ruled out yet.
///
/// Invariant: an order is kept until a current heartbeat shows that it took effect or never will,
/// or until the worker's lease has expired.
#[derive(Default)]
pub(super) struct OutstandingOrders {
    starts: PendingStarts,
    /// Tasks to stop, with their grace periods in seconds.
    stops: BTreeMap<TaskRef, f64>,
    /// Exited tasks that the worker is to clear.
    clears: BTreeSet<TaskRef>,
}

impl OutstandingOrders {
    pub(super) fn starts(&self) -> &PendingStarts {
        &self.starts
    }

    pub(super) fn stop_count(&self) -> usize {
        self.stops.len()
    }

    /// Adds starts. Returns how many of them were not pending yet.
    pub(super) fn add_starts(
        &mut self,
        group: &StartGroup,
        indexes: impl Iterator<Item = u32>,
    ) -> u32 {
        self.starts.add(group, indexes)
    }

    /// Adds a stop; the shortest grace period requested for the task applies.
    pub(super) fn add_stop(&mut self, task: TaskRef, grace_s: f64) {
        let existing = self.stops.get(&task);
        let grace_s = existing.map_or(grace_s, |before| before.min(grace_s));
        self.stops.insert(task, grace_s);
    }

    pub(super) fn add_clear(&mut self, task: TaskRef) {
        self.clears.insert(task);
    }

    /// Withdraws all starts that are not in `reported`. Returns whether there were any.
    pub(super) fn withdraw_all_starts(
        &mut self,
        reported: &BTreeMap<TaskRef, TaskStatus>,
        outbox: &mut Outbox,
    ) -> bool {
        self.starts.withdraw(reported, |_| true, outbox)
    }

    pub(super) fn discard_stops_and_clears(&mut self) {
        self.stops.clear();
        self.clears.clear();
    }

    /// Adds stops for all reported tasks of terminal jobs. The stops are repeated in every response
    /// until a heartbeat shows that the tasks are gone. This works whatever earlier owners of the
    /// machine did, and without a stop from the leader.
    pub(super) fn stop_terminal(
        &mut self,
        reported: &BTreeMap<TaskRef, TaskStatus>,
        is_terminal: impl Fn(&str) -> bool,
    ) {
        let live = reported.values().filter(|status| is_live(status));
        let terminal = live.filter(|status| is_terminal(&status.task.job));
        self.stops
            .extend(terminal.map(|status| (status.task.clone(), 0.0)));
    }

    /// Reconciles the starts with a heartbeat. If the heartbeat lacks the task of a start, no
    /// earlier response has started it or ever will, so the start can be withdrawn if it has become
    /// obsolete. Returns whether any start was withdrawn or confirmed.
    pub(super) fn reconcile_starts(
        &mut self,
        reported: &BTreeMap<TaskRef, TaskStatus>,
        rejects_starts: bool,
        is_terminal: impl Fn(&str) -> bool,
        outbox: &mut Outbox,
    ) -> bool {
        let stops = &self.stops;
        let is_obsolete =
            |task: &TaskRef| rejects_starts || stops.contains_key(task) || is_terminal(&task.job);
        let withdrawn = self.starts.withdraw(reported, is_obsolete, outbox);
        let started = self.starts.remove_confirmed(reported);
        withdrawn || started
    }

    /// Removes the stops and clears that took effect, and those whose task is gone.
    pub(super) fn reconcile_stops_and_clears(&mut self, reported: &BTreeMap<TaskRef, TaskStatus>) {
        let live = |task: &TaskRef| reported.get(task).map(is_live);
        self.clears.retain(|task| live(task) == Some(false));
        self.stops.retain(|task, _| live(task) == Some(true));
    }

    /// Returns the orders for the next response. Leaves out starts if `may_start` is false.
    pub(super) fn next_orders(&self, may_start: bool) -> Vec<Order> {
        let clears = self.clears.iter().map(|task| Order::Clear {
            task: task_name(&task.job, task.index),
            attempt: task.attempt,
        });
        let stops = self.stops.iter().map(|(task, grace_s)| Order::Stop {
            task: task_name(&task.job, task.index),
            attempt: task.attempt,
            grace_s: *grace_s,
        });
        let allowed = may_start.then(|| self.starts.next_batch());
        let starts = allowed.into_iter().flatten().map(|task| Order::Start {
            task: task_name(&task.job, task.index),
            attempt: task.attempt,
        });
        clears.chain(stops).chain(starts).collect()
    }
}

/// Returns whether a task holds resources of its machine.
pub(super) fn is_live(status: &TaskStatus) -> bool {
    status.state != TaskState::Exited
}
