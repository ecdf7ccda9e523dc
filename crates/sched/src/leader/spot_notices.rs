//! Handles spot notices: saves the tasks on machines that the cloud is about to reclaim.

use super::{GangPhase, Job, Leader};
use crate::Secs;

/// Factor by which saving may take longer than the job declares.
const SAVE_TIME_FACTOR: f64 = 1.5;

/// Number of heartbeat intervals in which a stop reaches its machine and the machine reports the exit.
const HEARTBEATS_TO_STOP: f64 = 2.5;

/// Extra seconds on top of the time for saving and for heartbeats.
const SAFETY_MARGIN_S: Secs = 1.0;

/// A task that has to be saved now.
struct TaskToSave {
    machine: String,
    job: String,
    index: u32,
}

impl Leader {
    /// Stops tasks in time for them to save before the cloud reclaims their machines. Tasks that
    /// cannot save their state are not stopped.
    pub(super) fn handle_spot_notices(&mut self, now: Secs) {
        for task in self.tasks_to_save(now) {
            log::info!(
                "event=save_before_notice task={}/{} machine={}",
                task.job,
                task.index,
                task.machine
            );
            let grace_s = self.grace_s(&task.job);
            match self.cluster.jobs.get_mut(&task.job) {
                // The tasks of a gang can only be saved together.
                Some(job) if job.is_gang() => {
                    job.phase = GangPhase::Ending;
                    self.stop_all_tasks(&task.job, grace_s);
                }
                _ => self.stop_task(&task.job, task.index, grace_s),
            }
        }
    }

    /// Returns the running tasks that have to be saved now because the cloud is about to reclaim
    /// their machines. Only tasks that can save their state are included.
    fn tasks_to_save(&self, now: Secs) -> Vec<TaskToSave> {
        let mut tasks = Vec::new();
        for (name, machine) in self.cluster.machines.iter() {
            let Some(until) = machine.notice_expires_at else {
                continue;
            };
            for (id, index) in machine.tasks.keys() {
                let job = self.cluster.jobs.get(id);
                if job.is_some_and(|job| self.must_save_now(job, *index, until - now)) {
                    tasks.push(TaskToSave {
                        machine: name.clone(),
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        tasks
    }

    /// Returns whether a task has to be saved now if its machine is reclaimed in `remaining_s` seconds.
    fn must_save_now(&self, job: &Job, index: u32, remaining_s: Secs) -> bool {
        if job.spec.checkpoint_s <= 0.0 {
            return false;
        }
        let heartbeats_s = self.cluster.config.heartbeat_s * HEARTBEATS_TO_STOP;
        let needed_s = job.spec.save_s * SAVE_TIME_FACTOR + heartbeats_s + SAFETY_MARGIN_S;
        let active = job.active.get(&index);
        remaining_s < needed_s && active.is_some_and(|active| active.running && !active.stop_sent)
    }
}
