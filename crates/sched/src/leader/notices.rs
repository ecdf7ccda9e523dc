//! Machines that the cloud takes back soon: what can be saved on them is.

use super::{Active, Leader, Phase};
use crate::Secs;

impl Leader {
    /// Saves what can be saved before the cloud takes a machine.
    pub(crate) fn handle_spot_notices(&mut self, now: Secs) {
        for (machine, id, index) in self.due_to_save(now) {
            log::info!("event=save_before_notice task={id}/{index} machine={machine}");
            let grace_s = self.grace_s(&id);
            match self.cluster.jobs.get_mut(&id) {
                // The tasks of a gang save together or not at all.
                Some(job) if job.is_gang() => {
                    job.phase = Phase::Ending;
                    self.stop_all(&id, grace_s);
                }
                _ => self.stop_task(&id, index, grace_s),
            }
        }
    }

    /// Tasks that can save, on machines that the cloud takes soon: machine, job and task.
    fn due_to_save(&self, now: Secs) -> Vec<(String, String, u32)> {
        let mut due = Vec::new();
        for (name, machine) in &self.cluster.machines {
            let Some(until) = machine.notice_until else {
                continue;
            };
            for (id, index) in machine.tasks.keys() {
                let Some(job) = self
                    .cluster
                    .jobs
                    .get(id)
                    .filter(|j| j.spec.checkpoint_s > 0.0)
                else {
                    continue;
                };
                let spare_s = job.spec.save_s * 1.5 + self.cluster.config.heartbeat_s * 2.5 + 1.0;
                let running = |a: &Active| a.running && !a.stop_sent;
                if until - now < spare_s && job.active.get(index).is_some_and(running) {
                    due.push((name.clone(), id.clone(), *index));
                }
            }
        }
        due
    }
}
