//! An index of the machines that accept tasks, updated incrementally between placement passes.
//!
//! Machines are grouped into pools by type, zone and whether they are spot machines, and sorted by
//! free CPUs within a pool; placement ranks machines by these properties, among others. A search
//! visits only the pools that a job allows and, in these, only the machines with enough free CPUs.

use crate::placement::{rank, slow_fetch_above_gb, tier, Candidate, Rank, Resources};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// Resolution of the sort key of machines in a pool, in steps per CPU.
const ORDERING_STEPS_PER_CPU: f64 = 1000.0;

/// What placement has to know about a machine.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexedMachine {
    /// Name of the controller that owns the machine; empty in an owner's own index.
    pub owner: String,
    /// Resources available to new tasks.
    pub free: Resources,
    /// Images that are on the machine or are being fetched.
    pub images: Vec<String>,
    /// Whether the machine runs nothing and so may soon be deprovisioned.
    pub empty: bool,
}

/// The machines of one type and zone that are either all spot or all on-demand machines.
#[derive(Debug)]
struct Pool {
    kind: String,
    zone: Rc<str>,
    spot: bool,
    /// Size above which an image is slow to fetch, in gigabytes.
    slow_fetch_above_gb: f64,
    /// The machines, by free CPUs (in steps of the sort key) and name.
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

    /// Appends the machines on which at least one task fits, in ascending order of their free CPUs.
    fn collect_fits(&self, requirements: &TaskRequirements, tier: u8, fits: &mut Vec<MachineFit>) {
        let resources = Resources::of(requirements);
        // One step lower, as the sort key is rounded but the comparison in `rank` is not.
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
    /// How well the machine suits the task.
    pub rank: Rank,
    /// Name of the machine.
    pub name: Rc<str>,
    /// Zone of the machine.
    pub zone: Rc<str>,
    /// Number of tasks that fit.
    pub slots: u32,
}

/// A machine and the position of its pool.
#[derive(Debug)]
struct Entry {
    pool: usize,
    machine: Rc<IndexedMachine>,
}

/// The machines that accept tasks, searchable by the requirements of a task.
///
/// Invariant: each machine is in exactly one pool, sorted by the free CPUs of its entry.
#[derive(Debug, Default)]
pub struct CapacityIndex {
    pools: Vec<Pool>,
    machines: BTreeMap<Rc<str>, Entry>,
}

fn cpu_key(cpus: f64) -> u64 {
    (cpus.max(0.0) * ORDERING_STEPS_PER_CPU).round() as u64
}

impl CapacityIndex {
    /// Returns the position of a pool, and adds the pool if it does not exist.
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

    /// Inserts a machine or replaces its entry. `guarantee_s` is the time allowed for a guaranteed
    /// start, in seconds.
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

    /// Removes a machine, if it is in the index.
    pub fn remove(&mut self, name: &str) {
        if let Some((name, entry)) = self.machines.remove_entry(name) {
            self.pools[entry.pool].remove(&name, &entry.machine);
        }
    }

    /// Removes all machines.
    pub fn clear(&mut self) {
        *self = CapacityIndex::default();
    }

    /// Returns the entry of a machine, or `None` if it is not in the index.
    pub fn get(&self, name: &str) -> Option<&IndexedMachine> {
        self.machines.get(name).map(|entry| &*entry.machine)
    }

    /// Returns the zones that have machines.
    pub fn zones(&self) -> BTreeSet<Rc<str>> {
        self.pools
            .iter()
            .filter(|pool| !pool.by_cpus.is_empty())
            .map(|pool| pool.zone.clone())
            .collect()
    }

    /// Subtracts the resources of `count` tasks from a machine and records that it will have their
    /// image.
    pub fn allocate(&mut self, name: &str, resources: Resources, count: u32, image: &str) {
        let Some((name, entry)) = self.machines.remove_entry(name) else {
            return;
        };
        self.pools[entry.pool].remove(&name, &entry.machine);
        // The pool's reference has been dropped, so this moves the entry instead of cloning it.
        let mut machine = Rc::unwrap_or_clone(entry.machine);
        machine.free.sub(resources.scaled(count));
        machine.empty = false;
        if !machine.images.iter().any(|known| known == image) {
            machine.images.insert(0, image.to_string());
        }
        self.insert(name, entry.pool, machine);
    }

    /// Returns the machines on which a task fits, the best first. Placing a task on a machine only
    /// improves the machine's rank for the job's next task, so a job can fill the machines one
    /// after the other.
    pub fn fits(&self, requirements: &TaskRequirements) -> Vec<MachineFit> {
        self.fits_outside_cordon(requirements, None)
    }

    /// Like [`CapacityIndex::fits`], without the machines on which tasks with the requirements
    /// `cordon` may run: these machines are reserved for such tasks.
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

    /// Returns all machines by name as (type, zone, spot, machine), for comparison with an index
    /// that is built from scratch.
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
