//! Provisioning for whole gangs. A gang that wants one zone gets all its machines there: half a gang's machines in
//! each of two zones serve nobody.

use super::scale_out::ScaleOut;
use crate::cluster::Job;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// How a zone suits a gang that wants one zone. The better it suits, the smaller: the order of the fields counts.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ZoneScore {
    /// It lacks machines, and the cloud refused every offer there lately.
    exhausted: bool,
    /// How many tasks find neither free capacity nor capacity on its way.
    missing_slots: u32,
}

impl ScaleOut<'_> {
    /// Plans what a whole gang lacks. What is there for it already is not returned.
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

    /// Plans machines in two zones or more, first where the most capacity is to be had.
    fn provision_spread(&mut self, requirements: &TaskRequirements, tasks: u32) {
        // No zone may have more than half: what is above that in one is of no use.
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

    /// The zone for a gang's machines: the one that it has, unless no machines are to be had there; else the one
    /// that lacks least of those that are said to have machines. A gang that has waited for long keeps its zone
    /// in any case, since machines are cordoned for it there.
    fn choose_zone(&self, id: &str, requirements: &TaskRequirements, tasks: u32) -> Option<String> {
        let zones = self.zones(requirements);
        let outlook = |zone: &String| self.score_zone(&in_zone(requirements, zone), tasks);
        let suits = |zone: &&String| {
            let keeps_zone = || self.cluster.has_waited_long(id, self.now);
            zones.contains(*zone) && (keeps_zone() || !outlook(zone).exhausted)
        };
        let kept = self.autoscaler.gang_zones.get(id).filter(suits);
        kept.or_else(|| zones.iter().min_by_key(|zone| outlook(zone)))
            .cloned()
    }

    /// How a zone, given by requirements, suits a gang of so many tasks.
    fn score_zone(&self, requirements: &TaskRequirements, tasks: u32) -> ZoneScore {
        let lacking = tasks.saturating_sub(self.available_slots(requirements));
        ZoneScore {
            exhausted: lacking > 0 && !self.has_available_offer(requirements),
            missing_slots: lacking,
        }
    }

    /// How many tasks find free capacity or capacity on its way.
    fn available_slots(&self, requirements: &TaskRequirements) -> u32 {
        let fits = self.cluster.machines.index().fits(requirements);
        let free: u32 = fits.iter().map(|fit| fit.slots).sum();
        free.saturating_add(self.incoming.count_fitting(requirements))
    }

    /// The zones of the machine types that tasks may use.
    fn zones(&self, requirements: &TaskRequirements) -> BTreeSet<String> {
        let kinds = requirements.kinds.iter();
        kinds
            .filter_map(|allowed| self.cluster.machine_types.get(&allowed.kind))
            .flat_map(|machine_type| machine_type.zones.iter().cloned())
            .collect()
    }
}

/// The same requirements in one zone.
fn in_zone(requirements: &TaskRequirements, zone: &str) -> TaskRequirements {
    TaskRequirements {
        zone: Some(zone.to_string()),
        ..requirements.clone()
    }
}
