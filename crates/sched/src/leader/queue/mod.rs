//! The job queue and the scheduling pass that places its entries.
//!
//! An entry is a job with tasks that are ready to start, either a gang or an array. A pass visits
//! the entries in queue order and applies the same steps to each:
//!
//! - gang: check the quota, find capacity for all tasks, reserve it; the binding (the record of
//!   where the gang runs) is written once every owner has confirmed its reservation;
//! - array: check the quota, find capacity, assign tasks, send the rest to the owners' backlogs.
//!
//! Entries within their team's guarantee come first, then all others. Each of these two groups is
//! ordered by priority, then by creation (the revision in the state store), then by job id. An
//! entry that is in backoff or does not fit is skipped and does not block the entries behind it.

mod arrays;
mod backlog;
mod bookkeeping;
mod cordon;
mod gangs;
mod pass;
mod reservations;

pub(crate) use cordon::Cordon;

use crate::leader::{Job, Leader};
use crate::Secs;
use pass::Pass;
use wire::peers::{AllowedMachineType, TaskRequirements};
use wire::users::Priority;

/// Placement tier, for arrays, of scarce machine types (the only ones that fit the jobs of some
/// class). It follows the tiers of spot (0) and on-demand (1) machines of all other types, so that
/// arrays use scarce types last.
const SCARCE_TYPE_TIER: u8 = 2;

const MS_PER_S: f64 = 1000.0;

/// The sort key of a queue entry; the derived ordering compares the fields in declaration order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    beyond_guarantee: bool,
    priority: Priority,
    revision: u64,
    job: String,
}

impl Leader {
    /// Runs one pass over the queue: places tasks that have quota and capacity, and records those
    /// that found no capacity as unmet demand.
    pub(crate) fn schedule(&mut self, now: Secs) {
        self.cluster.refresh_index();
        self.cluster.mark_within_guarantee();
        let mut pass = self.begin_pass(now);
        let order = self.queue_order(now);
        self.cluster.unplaced.clear();
        for entry in order {
            self.place_entry(&entry.job, &mut pass);
        }
        self.request_start_record();
    }

    /// Returns the state of a pass before its first entry. The cordon and `scarce_types_awaited`
    /// are derived from the entries that the previous pass could not place.
    fn begin_pass(&self, now: Secs) -> Pass {
        let scarce = self.cluster.scarce_types();
        Pass {
            now,
            remaining_quota: self.cluster.quota_headroom(),
            cordon: self.cordon_for_gang(&scarce, now),
            scarce_types_awaited: self.cluster.gang_waits_for_scarce_types(&scarce),
            scarce_types: scarce,
            backlog_cpus: None,
            unplaced_cpus: 0.0,
            freed_cpus_per_s: None,
        }
    }

    /// Returns the entries that may be placed now, in queue order.
    fn queue_order(&self, now: Secs) -> Vec<QueueKey> {
        let may_be_placed = |job: &Job| {
            !job.ready_tasks.is_empty()
                && !job.awaits_reconciliation
                && !job.terminal
                && now >= job.backoff_until
        };
        let mut order: Vec<QueueKey> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, job)| may_be_placed(job))
            .map(|(id, job)| QueueKey {
                beyond_guarantee: !job.within_guarantee,
                priority: job.priority,
                revision: job.revision,
                job: id.clone(),
            })
            .collect();
        order.sort_unstable();
        order
    }

    /// Places as many tasks of one entry as its team's quota admits and as find capacity; of a
    /// gang, all or none.
    fn place_entry(&mut self, id: &str, pass: &mut Pass) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let admitted = pass.admissible_tasks(job);
        if admitted == 0 {
            return;
        }
        let requirements = self.entry_requirements(job, pass);
        if job.is_gang() {
            self.place_gang(id, &requirements, admitted, pass);
        } else {
            self.place_array(id, requirements, admitted, pass);
        }
    }

    /// Returns what an entry's tasks require of a machine. Scarce machine types are left to the
    /// jobs that fit no other type, and are therefore left out for all other jobs. The exception is
    /// arrays, which may use them in the last tier while no gang waits for scarce types.
    fn entry_requirements(&self, job: &Job, pass: &Pass) -> TaskRequirements {
        let mut requirements = self
            .cluster
            .requirements_avoiding_scarce(job, &pass.scarce_types);
        if job.is_gang() || pass.scarce_types_awaited {
            return requirements;
        }
        let mut scarce_offers = self.cluster.requirements(job, None).allowed_types;
        scarce_offers.retain(|offer| !contains_offer(&requirements.allowed_types, offer));
        requirements
            .allowed_types
            .extend(scarce_offers.into_iter().map(|offer| AllowedMachineType {
                tier: SCARCE_TYPE_TIER,
                ..offer
            }));
        requirements
    }
}

/// Returns whether `offers` contains the machine type of `wanted` with the same purchase option
/// (spot or on-demand), in any tier.
fn contains_offer(offers: &[AllowedMachineType], wanted: &AllowedMachineType) -> bool {
    offers
        .iter()
        .any(|offer| offer.kind == wanted.kind && offer.spot == wanted.spot)
}

/// Returns a random factor from 0.75 to 1.25 for a wait time, so that waits that begin at the same
/// time do not end at the same time.
fn jitter_factor(rng: &mut fastrand::Rng) -> f64 {
    0.75 + 0.5 * rng.f64()
}
