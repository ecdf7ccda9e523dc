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
            let found = self
                .machines
                .get(&name)
                .filter(|m| m.open())
                .and_then(|m| Some((m, self.types.get(&m.kind)?)));
            match found {
                Some((m, t)) => self.index.put(
                    &name,
                    t,
                    &m.zone,
                    m.spot,
                    self.config.guarantee_s,
                    indexed_machine(m, t),
                ),
                None => self.index.remove(&name),
            }
        }
    }

    /// Whether the index is what a plain rebuild from the cluster view gives; for tests.
    pub fn index_agrees(&mut self) -> bool {
        self.refresh_index();
        let one = |(n, m): (&String, &Machine)| {
            let t = self.types.get(&m.kind)?;
            Some((
                n.clone(),
                (
                    m.kind.clone(),
                    m.zone.clone(),
                    m.spot,
                    indexed_machine(m, t),
                ),
            ))
        };
        let plain: BTreeMap<_, _> = self
            .machines
            .iter()
            .filter(|(_, m)| m.open())
            .filter_map(one)
            .collect();
        plain == self.index.contents()
    }

    /// Tasks of a job by zone, leftovers included; none while the place of one is not known.
    fn zones_in_use(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let mut out = BTreeMap::new();
        for a in job.active.values() {
            let (TaskLocation::Assigned(_, m) | TaskLocation::OnMachine(m)) = &a.location else {
                return None;
            };
            *out.entry(self.machines.get(m)?.zone.clone()).or_insert(0) += 1;
        }
        Some(out)
    }

    /// How many more tasks of an array each zone may take, when zones matter to its job.
    pub(crate) fn zone_limits(&self, job: &Job, found: &[Fit]) -> Option<BTreeMap<Rc<str>, u32>> {
        let used = self.zones_in_use(job)?;
        let half = job.spec.tasks.div_ceil(2);
        let one: Option<Rc<str>> = match used.keys().next() {
            _ if !job.spec.one_zone => None,
            Some(zone) => Some(zone.as_str().into()),
            None => {
                let mut capacity_by_zone: BTreeMap<&Rc<str>, u32> = BTreeMap::new();
                found
                    .iter()
                    .for_each(|f| *capacity_by_zone.entry(&f.zone).or_default() += f.slots);
                capacity_by_zone
                    .into_iter()
                    .max_by_key(|(_, n)| *n)
                    .map(|(z, _)| z.clone())
            }
        };
        let limit = |z: &str| {
            if job.spec.spread {
                half.saturating_sub(used.get(z).copied().unwrap_or(0))
            } else {
                u32::MAX
            }
        };
        let zones: BTreeSet<&Rc<str>> = found.iter().map(|f| &f.zone).collect();
        let zones = zones
            .into_iter()
            .filter(|z| !job.spec.one_zone || one.as_ref() == Some(z));
        Some(zones.map(|z| (z.clone(), limit(z))).collect())
    }
}

fn indexed_machine(m: &Machine, t: &MachineType) -> IndexedMachine {
    IndexedMachine {
        owner: m.owner.clone(),
        free: m.free(Resources::of_type(t)),
        images: m.images.clone(),
        empty: m.tasks.is_empty(),
    }
}
