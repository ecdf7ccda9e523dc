//! State of one scheduling pass, and the quota checks based on that state.

use super::cordon::Cordon;
use crate::leader::Job;
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;

/// The state of one pass over the queue.
///
/// Invariant: what a placement uses is deducted immediately, quota from `remaining_quota`, capacity
/// from the cluster's capacity index, and backlog space from `backlog_cpus`. No entry can therefore
/// use resources that an earlier entry of the same pass has taken.
pub(super) struct Pass {
    /// The time of the pass.
    pub(super) now: Secs,
    /// The quota left to each team after subtracting its active tasks, its reservations, and tasks
    /// that may be running without the leader's knowledge.
    pub(super) remaining_quota: BTreeMap<String, Resources>,
    /// The machines cordoned for a gang that has waited too long or has tasks of other jobs being
    /// preempted for it.
    pub(super) cordon: Option<Cordon>,
    /// Scarce machine types (name, and whether spot): the only ones that fit the jobs of some
    /// class.
    pub(super) scarce_types: BTreeSet<(String, bool)>,
    /// Whether a gang that fits only scarce machine types is waiting for capacity.
    pub(super) scarce_types_awaited: bool,
    /// How many more CPUs' worth of tasks each owner's backlog can take; computed on first use.
    pub(super) backlog_cpus: Option<BTreeMap<String, f64>>,
    /// CPUs of the array tasks that have found no capacity so far in this pass.
    pub(super) unplaced_cpus: f64,
    /// CPUs per second that active array tasks are expected to free; computed on first use, and
    /// again after each charge, which may have added active tasks.
    pub(super) freed_cpus_per_s: Option<f64>,
}

impl Pass {
    /// Returns how many ready tasks of a job the team's remaining quota admits; of a gang, all or
    /// none.
    pub(super) fn admissible_tasks(&self, job: &Job) -> u32 {
        let Some(free) = self.remaining_quota.get(&job.spec.team) else {
            return 0;
        };
        let within_limit = free
            .count_fitting(without_memory(job.resources()))
            .min(job.ready_tasks.len());
        if job.is_gang() {
            return if within_limit < job.spec.tasks {
                0
            } else {
                within_limit
            };
        }
        if job.fails_everywhere() {
            // A job that failed on several machines runs one task at a time until one succeeds. One
            // task is enough to show whether the job still fails.
            return within_limit.min(1).saturating_sub(job.active.len() as u32);
        }
        within_limit
    }

    /// Returns the requirements that describe the machines cordoned for a job other than `id`, if
    /// any.
    pub(super) fn cordon_applying_to(&self, id: &str) -> Option<&TaskRequirements> {
        self.cordon
            .as_ref()
            .filter(|cordon| cordon.job != id)
            .map(|cordon| &cordon.requirements)
    }

    /// Charges `tasks` placed tasks, each of the given size, to their team's quota.
    pub(super) fn charge(&mut self, team: &str, resources: Resources, tasks: u32) {
        if let Some(free) = self.remaining_quota.get_mut(team) {
            free.sub(without_memory(resources.scaled(tasks)));
        }
        self.freed_cpus_per_s = None;
    }
}

/// Returns the resources that count against a team's quota, which does not cover memory.
fn without_memory(resources: Resources) -> Resources {
    Resources {
        memory_gb: 0.0,
        ..resources
    }
}
