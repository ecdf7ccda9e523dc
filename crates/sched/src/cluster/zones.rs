//! Zone constraints of arrays.

use super::{Cluster, Job};
use crate::capacity_index::MachineFit;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

impl Cluster {
    /// Returns the number of a job's active tasks by zone, including those of earlier attempts, or
    /// `None` while the zone of any of them is unknown.
    fn zones_in_use(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let mut zones = BTreeMap::new();
        for active in job.active.values() {
            let name = active.location.charged_machine()?;
            let zone = self.machines.get(name)?.zone.clone();
            *zones.entry(zone).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// Returns how many more tasks of an array may run in each zone with fitting machines, given
    /// the job's zone constraints, or `None` while it is unknown which zones are in use.
    pub(crate) fn zone_limits(
        &self,
        job: &Job,
        fits: &[MachineFit],
    ) -> Option<BTreeMap<Rc<str>, u32>> {
        let used = self.zones_in_use(job)?;
        let half = job.spec.tasks.div_ceil(2);
        let limit = |zone: &str| {
            if job.spec.spread {
                half.saturating_sub(used.get(zone).copied().unwrap_or(0))
            } else {
                u32::MAX
            }
        };
        let single_zone = job.spec.one_zone.then(|| choose_single_zone(&used, fits));
        let zones: BTreeSet<&Rc<str>> = fits.iter().map(|fit| &fit.zone).collect();
        let zones = zones.into_iter();
        let zones = zones.filter(|zone| {
            single_zone
                .as_ref()
                .is_none_or(|only| only.as_ref() == Some(*zone))
        });
        Some(zones.map(|zone| (zone.clone(), limit(zone))).collect())
    }
}

/// Returns the zone for a job restricted to one zone: that of its active tasks, otherwise the one
/// in which the most tasks fit.
fn choose_single_zone(used: &BTreeMap<String, u32>, fits: &[MachineFit]) -> Option<Rc<str>> {
    if let Some(zone) = used.keys().next() {
        return Some(zone.as_str().into());
    }
    let mut slots_by_zone: BTreeMap<&Rc<str>, u32> = BTreeMap::new();
    for fit in fits {
        *slots_by_zone.entry(&fit.zone).or_default() += fit.slots;
    }
    let best = slots_by_zone.into_iter().max_by_key(|(_, slots)| *slots);
    best.map(|(zone, _)| zone.clone())
}
