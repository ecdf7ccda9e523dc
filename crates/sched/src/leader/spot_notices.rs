//! Spot notices: machines that the cloud takes back soon. What can be saved on them is saved.

use super::{GangPhase, Job, Leader};
use crate::Secs;

/// How much longer than announced saving may take.
const SAVE_TIME_FACTOR: f64 = 1.5;

/// Heartbeat intervals within which a stop has reached its machine and the machine has shown the end.
const HEARTBEATS_TO_STOP: f64 = 2.5;

/// Seconds to spare beside those.
const SAFETY_MARGIN_S: Secs = 1.0;

/// A task that has to save now.
struct TaskToSave {
    machine: String,
    job: String,
    index: u32,
}

impl Leader {
    /// Saves what can be saved before the cloud takes a machine.
    pub(super) fn handle_spot_notices(&mut self, now: Secs) {
        for due in self.tasks_to_save(now) {
            log::info!(
                "event=save_before_notice task={}/{} machine={}",
                due.job,
                due.index,
                due.machine
            );
            let grace_s = self.grace_s(&due.job);
            match self.cluster.jobs.get_mut(&due.job) {
                // The tasks of a gang save together or not at all.
                Some(job) if job.is_gang() => {
                    job.phase = GangPhase::Ending;
                    self.stop_all_tasks(&due.job, grace_s);
                }
                _ => self.stop_task(&due.job, due.index, grace_s),
            }
        }
    }

    /// Running tasks that can save, on machines that the cloud takes soon.
    fn tasks_to_save(&self, now: Secs) -> Vec<TaskToSave> {
        let mut due = Vec::new();
        for (name, machine) in self.cluster.machines.iter() {
            let Some(until) = machine.notice_expires_at else {
                continue;
            };
            for (id, index) in machine.tasks.keys() {
                let job = self.cluster.jobs.get(id);
                if job.is_some_and(|job| self.must_save_now(job, *index, until - now)) {
                    due.push(TaskToSave {
                        machine: name.clone(),
                        job: id.clone(),
                        index: *index,
                    });
                }
            }
        }
        due
    }

    /// Whether a task has to save now, when its machine is taken back in so many seconds.
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
