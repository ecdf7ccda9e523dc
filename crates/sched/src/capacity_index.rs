//! Machines that may take tasks, kept from one pass to the next and ordered by what placement
//! ranks on: type, zone and kind as pools, and in each pool the free CPUs. A job looks only at
//! the pools that it allows, and there only at machines with enough capacity.

use crate::placement::{rank, slow_above_gb, tier, Candidate, Rank, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// What placement needs to know of one machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedMachine {
    pub owner: String,
    pub free: Resources,
    pub images: Vec<String>,
    /// Nothing runs there, so it may soon be returned.
    pub empty: bool,
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
struct Pool {
    kind: String,
    zone: Rc<str>,
    spot: bool,
    slow_above_gb: f64,
    /// Its machines by free CPUs and name.
    by_cpus: BTreeMap<(u64, Rc<str>), Rc<IndexedMachine>>,
}

impl Pool {
    fn put(&mut self, name: &Rc<str>, spot: &Rc<IndexedMachine>) {
        let key = (thousandths(spot.free.cpus), name.clone());
        self.by_cpus.insert(key, spot.clone());
    }

    fn remove(&mut self, name: &Rc<str>, spot: &IndexedMachine) {
        self.by_cpus
            .remove(&(thousandths(spot.free.cpus), name.clone()));
    }
}

/// A machine on which at least one task fits.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub struct Fit {
    pub rank: Rank,
    pub name: Rc<str>,
    pub zone: Rc<str>,
    /// How many tasks fit.
    pub slots: u32,
}

#[derive(Debug, Default)]
pub struct Index {
    pools: Vec<Pool>,
    machines: BTreeMap<Rc<str>, (usize, Rc<IndexedMachine>)>,
}

fn thousandths(cpus: f64) -> u64 {
    (cpus.max(0.0) * 1000.0).round() as u64
}

impl Index {
    fn pool(&mut self, t: &MachineType, zone: &str, spot: bool, guarantee_s: f64) -> usize {
        match self
            .pools
            .iter()
            .position(|p| p.kind == t.name && *p.zone == *zone && p.spot == spot)
        {
            Some(at) => at,
            None => {
                let slow_above_gb = slow_above_gb(t, guarantee_s);
                self.pools.push(Pool {
                    kind: t.name.clone(),
                    zone: zone.into(),
                    spot,
                    slow_above_gb,
                    by_cpus: BTreeMap::new(),
                });
                self.pools.len() - 1
            }
        }
    }

    /// Takes a machine in, or what has changed of it.
    pub fn put(
        &mut self,
        name: &str,
        t: &MachineType,
        zone: &str,
        spot: bool,
        guarantee_s: f64,
        s: IndexedMachine,
    ) {
        let key: Rc<str> = match self.machines.get_key_value(name) {
            Some((_, (_, old))) if **old == s => return,
            Some((key, (pool, old))) => {
                self.pools[*pool].remove(key, old);
                key.clone()
            }
            None => name.into(),
        };
        let pool = self.pool(t, zone, spot, guarantee_s);
        let s = Rc::new(s);
        self.pools[pool].put(&key, &s);
        self.machines.insert(key, (pool, s));
    }

    pub fn remove(&mut self, name: &str) {
        if let Some((key, (pool, s))) = self.machines.remove_entry(name) {
            self.pools[pool].remove(&key, &s);
        }
    }

    pub fn clear(&mut self) {
        *self = Index::default();
    }

    pub fn get(&self, name: &str) -> Option<&IndexedMachine> {
        self.machines.get(name).map(|(_, s)| &**s)
    }

    pub fn zones(&self) -> BTreeSet<Rc<str>> {
        self.pools
            .iter()
            .filter(|p| !p.by_cpus.is_empty())
            .map(|p| p.zone.clone())
            .collect()
    }

    /// Sets capacity of a machine aside for tasks that need an image.
    pub fn take(&mut self, name: &str, resources: Resources, n: u32, image: &str) {
        let Some((key, (pool, s))) = self.machines.get_key_value(name) else {
            return;
        };
        let (key, pool, mut s) = (key.clone(), *pool, IndexedMachine::clone(s));
        self.pools[pool].remove(&key, &s);
        s.free.sub(resources.scaled(n));
        s.empty = false;
        if !s.images.iter().any(|i| i == image) {
            s.images.insert(0, image.to_string());
        }
        let s = Rc::new(s);
        self.pools[pool].put(&key, &s);
        self.machines.insert(key, (pool, s));
    }

    /// The machines on which a task fits, the best first. Whatever one takes makes it suit the
    /// same job's next task even better, so a job may fill them one after the other.
    pub fn fits(&self, requirements: &TaskRequirements) -> Vec<Fit> {
        self.fits_outside(requirements, None)
    }

    /// The same without what is cordoned.
    pub fn fits_outside(
        &self,
        requirements: &TaskRequirements,
        cordon: Option<&TaskRequirements>,
    ) -> Vec<Fit> {
        let resources = Resources::of(requirements);
        let from = thousandths(requirements.cpus).saturating_sub(1);
        let mut out = Vec::new();
        for p in &self.pools {
            let Some(tier_here) = tier(requirements, &p.kind, &p.zone, p.spot) else {
                continue;
            };
            if cordon.is_some_and(|a| tier(a, &p.kind, &p.zone, p.spot).is_some()) {
                continue;
            }
            for ((_, name), s) in p.by_cpus.range((from, Rc::from(""))..) {
                let c = Candidate {
                    tier: tier_here,
                    free: s.free,
                    has_image: s.images.contains(&requirements.image),
                    slow_fetch: requirements.image_gb > p.slow_above_gb,
                    empty: s.empty,
                };
                if let Some(rank) = rank(requirements, &c) {
                    out.push(Fit {
                        rank,
                        name: name.clone(),
                        zone: p.zone.clone(),
                        slots: s.free.count_fitting(resources),
                    });
                }
            }
        }
        out.sort_unstable_by(|a, b| (a.rank, &a.name).cmp(&(b.rank, &b.name)));
        out
    }

    /// Everything in it, for comparison with a plain rebuild.
    pub fn contents(&self) -> BTreeMap<String, (String, String, bool, IndexedMachine)> {
        let one = |(n, (p, s)): (&Rc<str>, &(usize, Rc<IndexedMachine>))| {
            let p = &self.pools[*p];
            let spot = IndexedMachine::clone(s);
            (
                n.to_string(),
                (p.kind.clone(), p.zone.to_string(), p.spot, spot),
            )
        };
        self.machines.iter().map(one).collect()
    }
}
