//! Resources and image of the jobs whose tasks the leader assigned, as given in its messages.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;

struct AssignedJob {
    resources: Resources,
    image: String,
}

/// The jobs of which tasks were assigned to this owner.
///
/// Invariant: every job with an assigned task on a machine, in a reservation or in the backlog has
/// an entry, even if this controller's own replica of the store lags behind.
#[derive(Default)]
pub(super) struct AssignedJobs {
    jobs: BTreeMap<String, AssignedJob>,
    reviewed_at: Secs,
}

impl AssignedJobs {
    /// Records the requirements of a job's tasks, unless the job has an entry.
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

    /// Returns whether to remove unused jobs now: if at least `interval_s` seconds have passed
    /// since this method last returned `true`. In that case, records `now` as the new last time.
    pub(super) fn start_review_if_due(&mut self, now: Secs, interval_s: Secs) -> bool {
        let is_due = now - self.reviewed_at >= interval_s;
        if is_due {
            self.reviewed_at = now;
        }
        is_due
    }

    /// Removes all jobs that are not in `in_use`.
    pub(super) fn retain_in_use(&mut self, in_use: &BTreeSet<&str>) {
        self.jobs.retain(|job, _| in_use.contains(job.as_str()));
    }
}
