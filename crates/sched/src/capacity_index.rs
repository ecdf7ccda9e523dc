//! Machines that may take tasks, kept from one pass to the next and ordered by what placement
//! ranks on: type, zone and kind as pools, and in each pool the free CPUs. A job looks only at
//! the pools that it allows, and there only at machines with enough free CPUs.

use crate::placement::{rank, slow_fetch_above_gb, tier, Candidate, Rank, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// Pools order their machines by free CPUs in this many parts of one.
const ORDERING_STEPS_PER_CPU: f64 = 1000.0;

/// What placement needs to know of one machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedMachine {
    /// The member that owns the machine; empty in an owner's own index.
    pub owner: String,
    /// What new tasks may take.
    pub free: Resources,
    /// Images that are there or are being fetched.
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
    /// Images above this size in gigabytes take long to fetch.
    slow_fetch_above_gb: f64,
    /// Its machines by free CPUs and name.
    by_cpus: BTreeMap<(u64, Rc<str>), Rc<IndexedMachine>>,
}

impl Pool {
    fn insert(&mut self, name: &Rc<str>, machine: &Rc<IndexedMachine>) {
        let key = (cpu_key(machine.free.cpus), name.clone());
        self.by_cpus.insert(key, machine.clone());
    }

    fn remove(&mut self, name: &Rc<str>, machine: &IndexedMachine) {
        let key = (cpu_key(machine.free.cpus), name.clone());
        self.by_cpus.remove(&key);
    }

    /// Adds the machines on which a task fits, in the order of their free CPUs.
    fn collect_fits(&self, requirements: &TaskRequirements, tier: u8, fits: &mut Vec<MachineFit>) {
        let resources = Resources::of(requirements);
        // One part less: the pool's order is rounded, the comparison of a task with a machine is not.
        let lower_bound = cpu_key(requirements.cpus).saturating_sub(1);
        for ((_, name), machine) in self.by_cpus.range((lower_bound, Rc::from(""))..) {
            let candidate = Candidate {
                tier,
                free: machine.free,
                has_image: machine.images.contains(&requirements.image),
                slow_fetch: requirements.image_gb > self.slow_fetch_above_gb,
                empty: machine.empty,
            };
            if let Some(rank) = rank(requirements, &candidate) {
                fits.push(MachineFit {
                    rank,
                    name: name.clone(),
                    zone: self.zone.clone(),
                    slots: machine.free.count_fitting(resources),
                });
            }
        }
    }
}

/// A machine on which at least one task fits.
#[derive(Clone, Debug, PartialEq, PartialOrd)]
pub struct MachineFit {
    /// How well it suits.
    pub rank: Rank,
    /// The machine's name.
    pub name: Rc<str>,
    /// The machine's zone.
    pub zone: Rc<str>,
    /// How many tasks fit.
    pub slots: u32,
}

/// A machine's entry: the position of its pool, and what is known of it.
#[derive(Debug)]
struct Entry {
    pool: usize,
    machine: Rc<IndexedMachine>,
}

/// The machines that may take tasks.
///
/// Invariant: each machine is in exactly one pool, under the free CPUs of its entry.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    pools: Vec<Pool>,
    machines: BTreeMap<Rc<str>, Entry>,
}

fn cpu_key(cpus: f64) -> u64 {
    (cpus.max(0.0) * ORDERING_STEPS_PER_CPU).round() as u64
}

impl CapacityIndex {
    /// The position of a pool, which is added if it is new.
    fn find_or_add_pool(
        &mut self,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        guarantee_s: f64,
    ) -> usize {
        let matches = |pool: &Pool| {
            pool.kind == machine_type.name && *pool.zone == *zone && pool.spot == spot
        };
        self.pools.iter().position(matches).unwrap_or_else(|| {
            self.pools.push(Pool {
                kind: machine_type.name.clone(),
                zone: zone.into(),
                spot,
                slow_fetch_above_gb: slow_fetch_above_gb(machine_type, guarantee_s),
                by_cpus: BTreeMap::new(),
            });
            self.pools.len() - 1
        })
    }

    /// Takes a machine in, or what has changed of it. `guarantee_s` is the time in seconds allowed for
    /// a guaranteed start.
    pub fn upsert(
        &mut self,
        name: &str,
        machine_type: &MachineType,
        zone: &str,
        spot: bool,
        guarantee_s: f64,
        machine: IndexedMachine,
    ) {
        let key: Rc<str> = match self.machines.get_key_value(name) {
            Some((_, old)) if *old.machine == machine => return,
            Some((key, old)) => {
                self.pools[old.pool].remove(key, &old.machine);
                key.clone()
            }
            None => name.into(),
        };
        let pool = self.find_or_add_pool(machine_type, zone, spot, guarantee_s);
        self.insert(key, pool, machine);
    }

    fn insert(&mut self, name: Rc<str>, pool: usize, machine: IndexedMachine) {
        let machine = Rc::new(machine);
        self.pools[pool].insert(&name, &machine);
        self.machines.insert(name, Entry { pool, machine });
    }

    /// Takes a machine out, if it is there.
    pub fn remove(&mut self, name: &str) {
        if let Some((name, entry)) = self.machines.remove_entry(name) {
            self.pools[entry.pool].remove(&name, &entry.machine);
        }
    }

    /// Takes all machines out.
    pub fn clear(&mut self) {
        *self = CapacityIndex::default();
    }

    /// What is known of a machine; none if it is not here.
    pub fn get(&self, name: &str) -> Option<&IndexedMachine> {
        self.machines.get(name).map(|entry| &*entry.machine)
    }

    /// The zones in which there are machines.
    pub fn zones(&self) -> BTreeSet<Rc<str>> {
        self.pools
            .iter()
            .filter(|pool| !pool.by_cpus.is_empty())
            .map(|pool| pool.zone.clone())
            .collect()
    }

    /// Sets resources of a machine aside for `count` tasks that need an image.
    pub fn allocate(&mut self, name: &str, resources: Resources, count: u32, image: &str) {
        let Some((name, entry)) = self.machines.remove_entry(name) else {
            return;
        };
        self.pools[entry.pool].remove(&name, &entry.machine);
        // The pool's share is gone, so that this takes the machine over rather than copying it.
        let mut machine = Rc::unwrap_or_clone(entry.machine);
        machine.free.sub(resources.scaled(count));
        machine.empty = false;
        if !machine.images.iter().any(|known| known == image) {
            machine.images.insert(0, image.to_string());
        }
        self.insert(name, entry.pool, machine);
    }

    /// The machines on which a task fits, the best first. Whatever one takes makes it suit the
    /// same job's next task even better, so a job may fill them one after the other.
    pub fn fits(&self, requirements: &TaskRequirements) -> Vec<MachineFit> {
        self.fits_outside_cordon(requirements, None)
    }

    /// The same without the machines that are kept for tasks with the requirements `cordon`.
    pub fn fits_outside_cordon(
        &self,
        requirements: &TaskRequirements,
        cordon: Option<&TaskRequirements>,
    ) -> Vec<MachineFit> {
        let mut fits = Vec::new();
        for pool in &self.pools {
            let tier_for = |task: &TaskRequirements| tier(task, &pool.kind, &pool.zone, pool.spot);
            if cordon.and_then(tier_for).is_some() {
                continue;
            }
            if let Some(tier) = tier_for(requirements) {
                pool.collect_fits(requirements, tier, &mut fits);
            }
        }
        fits.sort_unstable_by(|a, b| (a.rank, &a.name).cmp(&(b.rank, &b.name)));
        fits
    }

    /// Everything in it by name, as (type, zone, spot, machine), for comparison with a plain rebuild.
    pub fn contents(&self) -> BTreeMap<String, (String, String, bool, IndexedMachine)> {
        let describe = |(name, entry): (&Rc<str>, &Entry)| {
            let pool = &self.pools[entry.pool];
            let machine = IndexedMachine::clone(&entry.machine);
            let zone = pool.zone.to_string();
            (
                name.to_string(),
                (pool.kind.clone(), zone, pool.spot, machine),
            )
        };
        self.machines.iter().map(describe).collect()
    }
}
