//! Requeues tasks that are certainly no longer running.

use super::{GangPhase, Leader};

impl Leader {
    /// Requeues a task that is certainly no longer running, unless it is done or its job is
    /// terminal. If the task belongs to a gang, the remaining tasks of the gang are stopped.
    pub(crate) fn requeue_task(&mut self, id: &str, index: u32) {
        if self.cluster.remove_active(id, index).is_none() {
            return;
        }
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
