//! The index of free resources that a pass looks at, and the zones that a job may use.

use super::{Cluster, Job, Machine, TaskLocation};
use crate::capacity_index::{Fit, IndexedMachine};
use crate::placement::Resources;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::cloud::MachineType;

impl Cluster {
    /// Brings the index up to what has changed since the last pass.
    pub(crate) fn refresh_index(&mut self) {
        for name in std::mem::take(&mut self.dirty_machines) {
            let machine = self.machines.get(&name).filter(|machine| machine.open());
            let found = machine.and_then(|machine| Some((machine, self.types.get(&machine.kind)?)));
            match found {
                Some((machine, machine_type)) => self.index.put(
                    &name,
                    machine_type,
                    &machine.zone,
                    machine.spot,
                    self.config.guarantee_s,
                    indexed_machine(machine, machine_type),
                ),
                None => self.index.remove(&name),
            }
        }
    }

    /// Whether the index is what a plain rebuild from the machines gives; for tests.
    pub(crate) fn index_agrees(&mut self) -> bool {
        self.refresh_index();
        let entry = |(name, machine): (&String, &Machine)| {
            let machine_type = self.types.get(&machine.kind)?;
            let indexed = indexed_machine(machine, machine_type);
            let pool = (machine.kind.clone(), machine.zone.clone(), machine.spot);
            Some((name.clone(), (pool.0, pool.1, pool.2, indexed)))
        };
        let open = self.machines.iter().filter(|(_, machine)| machine.open());
        let rebuilt: BTreeMap<_, _> = open.filter_map(entry).collect();
        rebuilt == self.index.contents()
    }

    /// Active tasks of a job by zone, those of earlier attempts included; none while it is not known where
    /// one of them is.
    fn zones_in_use(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let mut zones = BTreeMap::new();
        for active in job.active.values() {
            let (TaskLocation::Assigned(_, name) | TaskLocation::OnMachine(name)) =
                &active.location
            else {
                return None;
            };
            let zone = self.machines.get(name)?.zone.clone();
            *zones.entry(zone).or_insert(0) += 1;
        }
        Some(zones)
    }

    /// How many more tasks of an array each zone may take, when zones matter to its job; none while it is not
    /// known which zones are in use.
    pub(crate) fn zone_limits(&self, job: &Job, found: &[Fit]) -> Option<BTreeMap<Rc<str>, u32>> {
        let used = self.zones_in_use(job)?;
        let half = job.spec.tasks.div_ceil(2);
        let limit = |zone: &str| {
            if job.spec.spread {
                half.saturating_sub(used.get(zone).copied().unwrap_or(0))
            } else {
                u32::MAX
            }
        };
        let only = job.spec.one_zone.then(|| only_zone(&used, found));
        let zones: BTreeSet<&Rc<str>> = found.iter().map(|fit| &fit.zone).collect();
        let zones = zones.into_iter();
        let zones = zones.filter(|zone| {
            only.as_ref()
                .is_none_or(|only| only.as_ref() == Some(*zone))
        });
        Some(zones.map(|zone| (zone.clone(), limit(zone))).collect())
    }
}

/// The zone of a job that wants one: that of its active tasks, else the one in which most tasks fit.
fn only_zone(used: &BTreeMap<String, u32>, found: &[Fit]) -> Option<Rc<str>> {
    if let Some(zone) = used.keys().next() {
        return Some(zone.as_str().into());
    }
    let mut slots_by_zone: BTreeMap<&Rc<str>, u32> = BTreeMap::new();
    for fit in found {
        *slots_by_zone.entry(&fit.zone).or_default() += fit.slots;
    }
    let best = slots_by_zone.into_iter().max_by_key(|(_, slots)| *slots);
    best.map(|(zone, _)| zone.clone())
}

fn indexed_machine(machine: &Machine, machine_type: &MachineType) -> IndexedMachine {
    IndexedMachine {
        owner: machine.owner.clone(),
        free: machine.free(Resources::of_type(machine_type)),
        images: machine.images.clone(),
        empty: machine.tasks.is_empty(),
    }
}
