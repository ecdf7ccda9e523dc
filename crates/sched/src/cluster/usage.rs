//! Resource usage charged to team quotas, and the backlog of tasks that wait at each owner.
//!
//! Invariant: every active task is charged exactly once to its team; a task that waits for capacity
//! is counted exactly once in its owner's backlog.

use crate::placement::Resources;
use std::collections::BTreeMap;

/// Usage charged to each team.
#[derive(Default)]
pub(crate) struct QuotaUsage {
    active: BTreeMap<String, Resources>,
    /// Maximum usage of recently cancelled jobs, by team: their tasks may still be running on
    /// machines of unknown content.
    recently_cancelled: BTreeMap<String, Resources>,
}

impl QuotaUsage {
    /// Charges a team for an active task.
    pub(crate) fn charge(&mut self, team: &str, resources: Resources) {
        let used = self.active.entry(team.to_string()).or_default();
        used.add(resources);
    }

    /// Removes the charge for an active task.
    pub(crate) fn uncharge(&mut self, team: &str, resources: Resources) {
        if let Some(used) = self.active.get_mut(team) {
            used.sub(resources);
        }
    }

    /// Returns the usage of a team's active tasks.
    pub(crate) fn team_usage(&self, team: &str) -> Resources {
        self.active.get(team).copied().unwrap_or_default()
    }

    /// Returns the usage of active tasks by team.
    pub(crate) fn by_team(&self) -> &BTreeMap<String, Resources> {
        &self.active
    }

    /// Returns the maximum usage of a team's recently cancelled jobs.
    pub(crate) fn recently_cancelled(&self, team: &str) -> Resources {
        let cancelled = self.recently_cancelled.get(team);
        cancelled.copied().unwrap_or_default()
    }

    /// Adds the maximum usage of a cancelled job whose tasks may still be running on machines of
    /// unknown content.
    pub(crate) fn add_cancelled(&mut self, team: &str, resources: Resources) {
        let cancelled = self.recently_cancelled.entry(team.to_string());
        cancelled.or_default().add(resources);
    }

    /// Clears the usage of recently cancelled jobs for all teams.
    pub(crate) fn clear_cancelled(&mut self) {
        self.recently_cancelled.clear();
    }
}

/// CPUs of the tasks that wait for capacity, by owner.
#[derive(Default)]
pub(crate) struct Backlogs {
    cpus: BTreeMap<String, f64>,
}

impl Backlogs {
    /// Adds a task that starts to wait at an owner.
    pub(crate) fn add(&mut self, owner: &str, cpus: f64) {
        *self.cpus.entry(owner.to_string()).or_default() += cpus;
    }

    /// Removes a task that no longer waits at an owner.
    pub(crate) fn remove(&mut self, owner: &str, cpus: f64) {
        if let Some(waiting) = self.cpus.get_mut(owner) {
            *waiting -= cpus;
        }
    }

    /// Returns the CPUs of the tasks that wait at an owner.
    pub(crate) fn waiting_at(&self, owner: &str) -> f64 {
        self.cpus.get(owner).copied().unwrap_or(0.0)
    }

    /// Returns the CPUs of the tasks that wait at all owners together.
    pub(crate) fn total(&self) -> f64 {
        self.cpus.values().sum()
    }
}
