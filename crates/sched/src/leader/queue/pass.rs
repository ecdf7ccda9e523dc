//! What one pass over the queue keeps for itself.

use super::cordon::Cordon;
use crate::leader::Job;
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;

/// The state of one pass over the queue.
///
/// Invariant: whatever an entry is given is charged at once, its quota to `remaining_quota` here, its
/// capacity to the cluster's index, and its share of an owner's backlog to `backlog_cpus`. So no entry
/// is placed on what an earlier entry of the same pass has already taken.
pub(super) struct Pass {
    /// When the pass takes place.
    pub(super) now: Secs,
    /// What each team may still use, beside what its tasks use and may be using unseen.
    pub(super) remaining_quota: BTreeMap<String, Resources>,
    /// Machines cordoned for a gang that has waited long.
    pub(super) cordon: Option<Cordon>,
    /// Machine types (with spot or not) that are the only ones for some class of jobs.
    pub(super) scarce_types: BTreeSet<(String, bool)>,
    /// Whether a gang that fits no other machine types waits for the scarce ones.
    pub(super) scarce_types_awaited: bool,
    /// CPUs of tasks that may still join the backlog of each owner; computed on first use.
    pub(super) backlog_cpus: Option<BTreeMap<String, f64>>,
    /// CPUs of array tasks that found no capacity so far.
    pub(super) unplaced_cpus: f64,
    /// CPUs that running array tasks free per second; computed on first use, and again after each
    /// charge, which may have added running tasks.
    pub(super) freed_cpus_per_s: Option<f64>,
}

impl Pass {
    /// How many more tasks of a job its team's limit admits (all or nothing for a gang).
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
            // One at a time shows whether it still fails.
            return within_limit.min(1).saturating_sub(job.active.len() as u32);
        }
        within_limit
    }

    /// The machines that are cordoned for another job than this.
    pub(super) fn cordon_applying_to(&self, id: &str) -> Option<&TaskRequirements> {
        self.cordon
            .as_ref()
            .filter(|cordon| cordon.job != id)
            .map(|cordon| &cordon.requirements)
    }

    /// Charges `tasks` placed tasks of the given size to their team.
    pub(super) fn charge(&mut self, team: &str, resources: Resources, tasks: u32) {
        if let Some(free) = self.remaining_quota.get_mut(team) {
            free.sub(without_memory(resources.scaled(tasks)));
        }
        self.freed_cpus_per_s = None;
    }
}

/// The part of these resources that counts against a team's quota.
fn without_memory(resources: Resources) -> Resources {
    Resources {
        memory_gb: 0.0,
        ..resources
    }
}
