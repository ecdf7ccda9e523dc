//! Provisioning for whole gangs. For a gang that requires a single zone, all machines are
//! provisioned in one zone: half of the machines in each of two zones would be useless to it.

use super::scale_out::ScaleOut;
use crate::cluster::Job;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// Score of a zone for a gang that requires a single zone. Lower is better; the order of the fields
/// defines the comparison.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneScore {
    /// Whether the zone lacks capacity while the cloud recently refused every offer there.
    exhausted: bool,
    /// Number of tasks that fit neither free nor incoming capacity.
    missing_slots: u32,
}

impl ScaleOut<'_> {
    /// Plans the machines that a whole gang lacks, and keeps the ones it can already use from being
    /// released.
    pub fn plan_for_gang(&mut self, id: &str, job: &Job, requirements: &TaskRequirements) {
        let (tasks, spread) = (job.spec.tasks, job.spec.spread);
        if requirements.zone.is_some() || !job.spec.one_zone && !spread {
            self.provision_in_zone(requirements, tasks);
        } else if spread {
            self.provision_spread(requirements, tasks);
        } else if let Some(zone) = self.choose_zone(id, requirements, tasks) {
            self.provision_in_zone(&in_zone(requirements, &zone), tasks);
            self.autoscaler.gang_zones.insert(id.to_string(), zone);
        }
    }

    /// Plans machines in at least two zones. Zones that have an available offer come before those
    /// that have none; within each of these two groups, zones with more capacity come first.
    fn provision_spread(&mut self, requirements: &TaskRequirements, tasks: u32) {
        // No zone may run more than half of the tasks, so more capacity than that is useless.
        let half = tasks.div_ceil(2);
        let zones = self.zones(requirements).into_iter();
        let mut zones: Vec<TaskRequirements> =
            zones.map(|zone| in_zone(requirements, &zone)).collect();
        zones.sort_by_cached_key(|zone| {
            let slots = self.available_slots(zone).min(half);
            (!self.has_available_offer(zone), Reverse(slots))
        });
        let mut left = tasks;
        for zone in zones {
            let share = left.min(half);
            left -= share;
            self.provision_in_zone(&zone, share);
        }
    }

    /// Returns the zone in which machines for a gang are provisioned: the zone chosen for it
    /// before, unless that is exhausted; otherwise the zone that lacks capacity for the fewest
    /// tasks, preferring zones that are not exhausted. A gang that has waited long keeps its zone
    /// even if the zone is exhausted, since machines are cordoned for the gang there.
    fn choose_zone(&self, id: &str, requirements: &TaskRequirements, tasks: u32) -> Option<String> {
        let zones = self.zones(requirements);
        let score = |zone: &String| self.score_zone(&in_zone(requirements, zone), tasks);
        let suits = |zone: &&String| {
            let keeps_zone = || self.cluster.has_waited_long(id, self.now);
            zones.contains(*zone) && (keeps_zone() || !score(zone).exhausted)
        };
        let kept = self.autoscaler.gang_zones.get(id).filter(suits);
        kept.or_else(|| zones.iter().min_by_key(|zone| score(zone)))
            .cloned()
    }

    /// Returns the score of a zone, given by `requirements`, for a gang of `tasks` tasks.
    fn score_zone(&self, requirements: &TaskRequirements, tasks: u32) -> ZoneScore {
        let lacking = tasks.saturating_sub(self.available_slots(requirements));
        ZoneScore {
            exhausted: lacking > 0 && !self.has_available_offer(requirements),
            missing_slots: lacking,
        }
    }

    /// Returns the number of tasks that fit free or incoming capacity.
    fn available_slots(&self, requirements: &TaskRequirements) -> u32 {
        let fits = self.cluster.machines.index().fits(requirements);
        let free: u32 = fits.iter().map(|fit| fit.slots).sum();
        free.saturating_add(self.incoming.count_fitting(requirements))
    }

    /// Returns the zones of the machine types that the tasks may use.
    fn zones(&self, requirements: &TaskRequirements) -> BTreeSet<String> {
        let kinds = requirements.allowed_types.iter();
        kinds
            .filter_map(|allowed| self.cluster.machine_types.get(&allowed.kind))
            .flat_map(|machine_type| machine_type.zones.iter().cloned())
            .collect()
    }
}

/// Returns the requirements restricted to a zone.
fn in_zone(requirements: &TaskRequirements, zone: &str) -> TaskRequirements {
    TaskRequirements {
        zone: Some(zone.to_string()),
        ..requirements.clone()
    }
}
