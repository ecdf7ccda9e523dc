//! Requeues tasks that are certainly no longer running.

use super::{GangPhase, Leader};

/// What shows that a task is certainly no longer running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequeueReason {
    /// Its owner has not started it and will not.
    HandedBack,
    /// Its owner no longer holds the reservation that it was bound to.
    ReservationRefused,
    /// It exited without being done.
    Exited,
    /// A newer status of its machine lacks it, or the worker's lease has expired.
    Missing,
    /// The cloud has released the machine that it was on.
    MachineReleased,
    /// Its owner was lost, and none of that owner's machines has it.
    Resolved,
}

impl Leader {
    /// Requeues a task that is certainly no longer running, unless it is done or its job is
    /// terminal. If the task belongs to a gang, the remaining tasks of the gang are stopped.
    pub(crate) fn requeue_task(&mut self, id: &str, index: u32, reason: RequeueReason) {
        let Some(active) = self.cluster.remove_active(id, index) else {
            return;
        };
        log::debug!(
            "event=task_requeued task={id}/{index} attempt={} location={} reason={reason:?}",
            active.attempt,
            active.location
        );
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        self.pass_requested = true;
        if !job.terminal && !job.done.contains(index) {
            job.ready_tasks.insert(index);
        }
        if job.is_gang() && !job.terminal && job.done.is_empty() {
            if job.active.is_empty() {
                job.phase = GangPhase::Idle;
            } else if !job.awaits_reconciliation {
                job.phase = GangPhase::Ending;
                self.stop_all_tasks(id, 0.0);
            }
        }
        self.remove_if_terminal(id);
    }
}
