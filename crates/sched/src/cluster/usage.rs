//! What the teams' tasks use, as it is charged to their quotas, and what waits at the owners.
//!
//! Invariant: every active task is charged once to its team; a task that waits for capacity is charged once to
//! its owner's backlog.

use crate::placement::Resources;
use std::collections::BTreeMap;

/// What teams are charged for.
#[derive(Default)]
pub(crate) struct QuotaUsage {
    active: BTreeMap<String, Resources>,
    /// What jobs that were cancelled lately could use together: their tasks may still be running on machines
    /// of unknown content.
    recently_cancelled: BTreeMap<String, Resources>,
}

impl QuotaUsage {
    /// Charges a team for an active task.
    pub(crate) fn charge(&mut self, team: &str, resources: Resources) {
        let used = self.active.entry(team.to_string()).or_default();
        used.add(resources);
    }

    /// Takes the charge for an active task back.
    pub(crate) fn uncharge(&mut self, team: &str, resources: Resources) {
        if let Some(used) = self.active.get_mut(team) {
            used.sub(resources);
        }
    }

    /// What a team's active tasks use.
    pub(crate) fn used_by(&self, team: &str) -> Resources {
        self.active.get(team).copied().unwrap_or_default()
    }

    /// What the active tasks of each team use.
    pub(crate) fn by_team(&self) -> &BTreeMap<String, Resources> {
        &self.active
    }

    /// What a team's recently cancelled jobs could use.
    pub(crate) fn recently_cancelled(&self, team: &str) -> Resources {
        let cancelled = self.recently_cancelled.get(team);
        cancelled.copied().unwrap_or_default()
    }

    /// A job was cancelled whose tasks may still be running on machines of unknown content.
    pub(crate) fn add_cancelled(&mut self, team: &str, resources: Resources) {
        let cancelled = self.recently_cancelled.entry(team.to_string());
        cancelled.or_default().add(resources);
    }

    /// Forgets what cancelled jobs could use.
    pub(crate) fn clear_cancelled(&mut self) {
        self.recently_cancelled.clear();
    }
}

/// CPUs of tasks that wait for capacity, by owner.
#[derive(Default)]
pub(crate) struct Backlogs {
    cpus: BTreeMap<String, f64>,
}

impl Backlogs {
    /// A task begins to wait at an owner.
    pub(crate) fn add(&mut self, owner: &str, cpus: f64) {
        *self.cpus.entry(owner.to_string()).or_default() += cpus;
    }

    /// A task does not wait at an owner any more.
    pub(crate) fn remove(&mut self, owner: &str, cpus: f64) {
        if let Some(waiting) = self.cpus.get_mut(owner) {
            *waiting -= cpus;
        }
    }

    /// CPUs that wait at an owner.
    pub(crate) fn waiting_at(&self, owner: &str) -> f64 {
        self.cpus.get(owner).copied().unwrap_or(0.0)
    }

    /// CPUs that wait at all owners.
    pub(crate) fn total(&self) -> f64 {
        self.cpus.values().sum()
    }
}
