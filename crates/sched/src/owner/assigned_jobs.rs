//! What the tasks of jobs take, as the leader says it with each task that it gives to an owner.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;

struct AssignedJob {
    resources: Resources,
    image: String,
}

/// The jobs of which tasks were given.
#[derive(Default)]
pub(super) struct AssignedJobs {
    jobs: BTreeMap<String, AssignedJob>,
    reviewed_at: Secs,
}

impl AssignedJobs {
    /// Takes what a job's tasks need.
    pub(super) fn learn(&mut self, job: &str, requirements: &TaskRequirements) {
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

    /// Whether it is time to forget what is not in use any more; not asked again for that long.
    pub(super) fn is_due(&mut self, now: Secs, every: Secs) -> bool {
        let is_due = now - self.reviewed_at >= every;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Forgets all other jobs.
    pub(super) fn keep(&mut self, in_use: &BTreeSet<&str>) {
        self.jobs.retain(|job, _| in_use.contains(job.as_str()));
    }
}
