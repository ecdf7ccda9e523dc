//! Tracks which tasks may be running where. A task is charged to its team and its machine from the
//! decision to start it until it is certain not to be running.

use super::{ActiveTask, Cluster};

impl Cluster {
    /// Records that a task may be running, or that its location or state changed.
    pub(crate) fn set_active(&mut self, id: &str, index: u32, active: ActiveTask) {
        self.remove_active(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let resources = job.resources();
        job.ready_tasks.remove(index);
        if let Some(owner) = active.location.waiting_owner() {
            self.backlogs.add(owner, resources.cpus);
        }
        if let Some(name) = active.location.charged_machine() {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.charge((id.into(), index), active.attempt, resources);
                self.machines.mark_dirty(name);
            }
        }
        self.usage.charge(&job.spec.team, resources);
        job.active.insert(index, active);
    }

    /// Removes a task that is certainly not running any more, or is about to be charged elsewhere.
    /// Returns its previous state.
    pub(crate) fn remove_active(&mut self, id: &str, index: u32) -> Option<ActiveTask> {
        let job = self.jobs.get_mut(id)?;
        let active = job.active.remove(&index)?;
        let resources = job.resources();
        if let Some(owner) = active.location.waiting_owner() {
            self.backlogs.remove(owner, resources.cpus);
        }
        if let Some(name) = active.location.charged_machine() {
            if let Some(machine) = self.machines.get_mut(name) {
                machine.uncharge(&(id.to_string(), index), resources);
                self.machines.mark_dirty(name);
            }
        }
        self.usage.uncharge(&job.spec.team, resources);
        Some(active)
    }
}
