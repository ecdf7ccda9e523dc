//! The queue and the pass that places its entries.
//!
//! An entry is a job with tasks that are ready to start; a gang is one entry, and so is an array.
//! One pass goes through all entries in queue order and takes each through the same steps:
//!
//! - a gang: order, admit by quota, fit, reserve; the binding follows once its capacity is reserved;
//! - an array: order, admit by quota, fit, assign, and leave the rest to the owners' backlogs.
//!
//! Order: entries within their team's guarantee first, then by priority, creation (the store's
//! revision), id. An entry that backs off or does not fit is passed over and does not block those
//! behind it.

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

/// The tier of scarce machine types for arrays: after the spot (0) and on-demand (1) offers of all
/// other types, so that arrays take them last of all.
const SCARCE_TYPE_TIER: u8 = 2;

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// An entry's place in the queue; the fields are compared in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    beyond_guarantee: bool,
    priority: Priority,
    revision: u64,
    job: String,
}

impl Leader {
    /// One pass over the queue: places what has quota and capacity, and notes what found none.
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

    /// What a pass knows before its first entry. The cordon and the wait for scarce types follow
    /// from what the previous pass could not place.
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

    /// The entries that may be placed now, in queue order.
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

    /// Admits one entry by its team's quota and places as much of it as fits.
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

    /// Where an entry's tasks may run. Machine types that are the only ones for some gangs are
    /// spared; arrays take them too, last of all, while no such gang waits for capacity.
    fn entry_requirements(&self, job: &Job, pass: &Pass) -> TaskRequirements {
        let mut requirements = self
            .cluster
            .requirements_avoiding_scarce(job, &pass.scarce_types);
        if job.is_gang() || pass.scarce_types_awaited {
            return requirements;
        }
        let mut scarce_offers = self.cluster.requirements(job, None).kinds;
        scarce_offers.retain(|offer| !contains_offer(&requirements.kinds, offer));
        requirements
            .kinds
            .extend(scarce_offers.into_iter().map(|offer| AllowedMachineType {
                tier: SCARCE_TYPE_TIER,
                ..offer
            }));
        requirements
    }
}

/// Whether a machine type is among these with the same purchase option (spot or on-demand),
/// whatever its tier.
fn contains_offer(offers: &[AllowedMachineType], wanted: &AllowedMachineType) -> bool {
    offers
        .iter()
        .any(|offer| offer.kind == wanted.kind && offer.spot == wanted.spot)
}

/// A random factor from 0.75 to 1.25 for a wait, so that those who begin to wait at the same time
/// don't end in step.
fn jitter_factor(rng: &mut fastrand::Rng) -> f64 {
    0.75 + 0.5 * rng.f64()
}
