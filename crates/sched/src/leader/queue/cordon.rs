//! Machines that are cordoned for a gang that has waited long.

use crate::leader::{GangPhase, Job, Leader};
use crate::Secs;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// A gang that has waited long, and the machines that no other job may take meanwhile.
pub(crate) struct Cordon {
    /// The gang's id.
    pub(crate) job: String,
    /// Every machine that satisfies these requirements is cordoned.
    pub(crate) requirements: TaskRequirements,
}

impl Leader {
    /// The gang of several tasks that has waited longest, if too long, and the machines left to it:
    /// all that it may use of one zone. Without this, smaller gangs and arrays take each machine
    /// that becomes free, for ever.
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

    /// The oldest gang of several tasks that the last pass could not place and that either has
    /// waited too long or has other tasks stopped to make room for it.
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
