//! Tasks that are certainly not running any more go back to the queue.

use super::{GangPhase, Leader};

impl Leader {
    /// A task is certainly not running any more, and goes back to the queue unless it is done. What is left of
    /// a gang that lost a task is stopped.
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
