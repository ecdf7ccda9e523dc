//! Machines that are cordoned for a waiting gang, so that no other job takes them.

use crate::leader::{GangPhase, Job, Leader};
use crate::Secs;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// A waiting gang, and the machines that no other job may take while the cordon lasts. Each
/// scheduling pass determines the cordon anew, so it can end before the gang is placed.
pub(crate) struct Cordon {
    /// The gang's id.
    pub(crate) job: String,
    /// The gang's requirements; every machine that satisfies them is cordoned.
    pub(crate) requirements: TaskRequirements,
}

impl Leader {
    /// Returns the cordon for the oldest multi-task gang that needs one. It covers the machines
    /// that the gang may use, in one zone if the job or the autoscaler has chosen a zone. Without a
    /// cordon, smaller gangs and arrays could take every machine that becomes free and starve the
    /// gang.
    pub(crate) fn cordon_for_gang(
        &self,
        scarce: &BTreeSet<(String, bool)>,
        now: Secs,
    ) -> Option<Cordon> {
        let job = self.gang_needing_cordon(now)?;
        let mut requirements = self.cluster.requirements_avoiding_scarce(job, scarce);
        if requirements.zone.is_none() {
            requirements.zone = self.autoscaler.gang_zone(&job.spec.id).cloned();
        }
        Some(Cordon {
            job: job.spec.id.clone(),
            requirements,
        })
    }

    /// Returns the oldest multi-task gang that the last pass could not place and that either has
    /// waited too long or has tasks of other jobs being preempted for it.
    fn gang_needing_cordon(&self, now: Secs) -> Option<&Job> {
        let is_waiting_gang = |job: &Job| {
            job.is_multi_task_gang()
                && job.phase == GangPhase::Idle
                && !job.terminal
                && !job.ready_tasks.is_empty()
        };
        let needs_cordon = |job: &Job| {
            now < job.preempting_until || self.cluster.has_waited_long(&job.spec.id, now)
        };
        self.cluster
            .unplaced
            .iter()
            .filter_map(|(id, _)| self.cluster.jobs.get(id))
            .filter(|job| is_waiting_gang(job) && needs_cordon(job))
            .min_by_key(|job| job.revision)
    }
}
