//! What the tasks of jobs take, as the leader says it with each task that it assigns to an owner.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;

struct AssignedJob {
    resources: Resources,
    image: String,
}

/// The jobs of which tasks were assigned.
///
/// Invariant: a job with a task on a machine, reserved or in the backlog that the leader assigned here
/// is known, even if this controller's own replica of the store has stayed behind.
#[derive(Default)]
pub(super) struct AssignedJobs {
    jobs: BTreeMap<String, AssignedJob>,
    reviewed_at: Secs,
}

impl AssignedJobs {
    /// Takes what a job's tasks need, if that is new.
    pub(super) fn record(&mut self, job: &str, requirements: &TaskRequirements) {
        if !self.jobs.contains_key(job) {
            let assigned = AssignedJob {
                resources: Resources::of(requirements),
                image: requirements.image.clone(),
            };
            self.jobs.insert(job.into(), assigned);
        }
    }

    pub(super) fn resources(&self, job: &str) -> Option<Resources> {
        self.jobs.get(job).map(|assigned| assigned.resources)
    }

    pub(super) fn image(&self, job: &str) -> Option<&str> {
        self.jobs.get(job).map(|assigned| assigned.image.as_str())
    }

    /// Whether the last review of what is in use is `every` seconds ago; if so, one takes place now.
    pub(super) fn start_review_if_due(&mut self, now: Secs, interval_s: Secs) -> bool {
        let is_due = now - self.reviewed_at >= interval_s;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Forgets all other jobs.
    pub(super) fn retain_in_use(&mut self, in_use: &BTreeSet<&str>) {
        self.jobs.retain(|job, _| in_use.contains(job.as_str()));
    }
}
