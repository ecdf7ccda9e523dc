//! The record of what may be where: a task is charged to its team and its machine from the decision to
//! start it until it is seen to be gone.

use super::job::waits_at;
use super::{Active, Cluster, TaskLocation};
use crate::placement::Resources;

impl Cluster {
    /// What a team's tasks possibly use, as it is charged.
    pub fn used_by(&self, team: &str) -> Resources {
        self.team_used.get(team).copied().unwrap_or_default()
    }

    pub(crate) fn set_active(&mut self, id: &str, index: u32, active: Active) {
        self.remove_active(id, index);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let resources = job.resources();
        job.ready.remove(index);
        if let Some(owner) = waits_at(&active.location) {
            *self.backlog.entry(owner.to_string()).or_default() += resources.cpus;
        }
        if let TaskLocation::Assigned(_, name) | TaskLocation::OnMachine(name) = &active.location {
            if let Some(m) = self.machines.get_mut(name) {
                if m.tasks.insert((id.into(), index), active.attempt).is_none() {
                    m.used.add(resources);
                }
                self.dirty_machines.insert(name.clone());
            }
        }
        self.team_used
            .entry(job.spec.team.clone())
            .or_default()
            .add(resources);
        job.active.insert(index, active);
    }

    pub(crate) fn remove_active(&mut self, id: &str, index: u32) -> Option<Active> {
        let job = self.jobs.get_mut(id)?;
        let active = job.active.remove(&index)?;
        let resources = job.resources();
        if let Some(cpus) = waits_at(&active.location).and_then(|owner| self.backlog.get_mut(owner))
        {
            *cpus -= resources.cpus;
        }
        if let TaskLocation::Assigned(_, name) | TaskLocation::OnMachine(name) = &active.location {
            if let Some(m) = self.machines.get_mut(name) {
                if m.tasks.remove(&(id.to_string(), index)).is_some() {
                    m.used.sub(resources);
                }
                if m.tasks.is_empty() {
                    // Sums of decimals drift; an empty machine is empty.
                    m.used = Resources::default();
                }
                self.dirty_machines.insert(name.clone());
            }
        }
        if let Some(u) = self.team_used.get_mut(&job.spec.team) {
            u.sub(resources);
        }
        Some(active)
    }
}
