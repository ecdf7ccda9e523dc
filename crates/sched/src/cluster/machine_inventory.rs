//! The machines that the leader knows, and the index of their free capacity.
//!
//! Invariant: a machine of which the index may hold something else than its present state is marked dirty.

use super::{Machine, UnknownMachines};
use crate::capacity_index::{CapacityIndex, IndexedMachine};
use crate::placement::Resources;
use crate::Secs;
use std::collections::{btree_map, BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// The cloud's machine types by name.
pub(crate) type MachineTypes = BTreeMap<String, MachineType>;

/// Machines by name.
pub(crate) struct MachineInventory {
    machines: BTreeMap<String, Machine>,
    unknown: UnknownMachines,
    /// Machines with free capacity, as a pass looks at them.
    index: CapacityIndex,
    /// Machines that changed since the index was last brought up to date.
    dirty: BTreeSet<String>,
}

impl MachineInventory {
    /// No machines.
    pub(crate) fn new(now: Secs) -> MachineInventory {
        MachineInventory {
            machines: BTreeMap::new(),
            unknown: UnknownMachines::new(now),
            index: CapacityIndex::default(),
            dirty: BTreeSet::new(),
        }
    }

    /// Takes in a machine that has come up.
    pub(crate) fn insert(&mut self, name: &str, machine: Machine) {
        self.machines.insert(name.to_string(), machine);
    }

    /// Takes in a machine of the roster, of which nothing else is known yet.
    pub(crate) fn insert_unknown(&mut self, name: &str, machine: Machine) {
        self.unknown.insert(name);
        self.insert(name, machine);
    }

    /// Forgets a machine on which nothing may be running.
    pub(crate) fn remove(&mut self, name: &str) {
        self.machines.remove(name);
        self.unknown.remove(name);
        self.mark_dirty(name);
    }

    /// How many machines are known.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether a machine is known.
    pub(crate) fn contains_key(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// A machine by its name.
    pub(crate) fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// The same, to change it. Whoever changes what the index holds marks it dirty.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// All machines, by name.
    pub(crate) fn iter(&self) -> btree_map::Iter<'_, String, Machine> {
        self.machines.iter()
    }

    /// The same, to change them. Whoever changes what the index holds marks it dirty.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, String, Machine> {
        self.machines.iter_mut()
    }

    /// All machines, in the order of their names.
    pub(crate) fn values(&self) -> btree_map::Values<'_, String, Machine> {
        self.machines.values()
    }

    /// Machines of unknown content.
    pub(crate) fn unknown(&self) -> &UnknownMachines {
        &self.unknown
    }

    /// The content of a machine is known from now on.
    pub(crate) fn mark_known(&mut self, name: &str, now: Secs) {
        self.unknown.mark_known(name, now);
    }

    /// Machines with free capacity, as of the last time the index was brought up to date.
    pub(crate) fn index(&self) -> &CapacityIndex {
        &self.index
    }

    /// Takes capacity of a machine for so many tasks, for the rest of the pass.
    pub(crate) fn take_capacity(
        &mut self,
        name: &str,
        resources: Resources,
        tasks: u32,
        image: &str,
    ) {
        self.index.allocate(name, resources, tasks, image);
    }

    /// What the index holds of a machine may not hold any more.
    pub(crate) fn mark_dirty(&mut self, name: &str) {
        self.dirty.insert(name.to_string());
    }

    /// The same of all machines.
    pub(crate) fn mark_all_dirty(&mut self) {
        self.dirty.extend(self.machines.keys().cloned());
    }

    /// There are other machine types than before: the index is made anew.
    pub(crate) fn clear_index(&mut self) {
        self.index.clear();
        self.mark_all_dirty();
    }

    /// Brings the index up to what has changed since the last pass. Images that take longer to fetch than a
    /// part of `guarantee_s` count as slow.
    pub(crate) fn refresh_index(&mut self, types: &MachineTypes, guarantee_s: Secs) {
        for name in std::mem::take(&mut self.dirty) {
            let machine = self
                .machines
                .get(&name)
                .filter(|machine| machine.accepts_tasks());
            let found = machine.and_then(|machine| Some((machine, types.get(&machine.kind)?)));
            match found {
                Some((machine, machine_type)) => self.index.upsert(
                    &name,
                    machine_type,
                    &machine.zone,
                    machine.spot,
                    guarantee_s,
                    indexed_machine(machine, machine_type),
                ),
                None => self.index.remove(&name),
            }
        }
    }

    /// Whether the index is what a plain rebuild from the machines gives; for tests.
    pub(crate) fn index_is_consistent(&self, types: &MachineTypes) -> bool {
        let entry = |(name, machine): (&String, &Machine)| {
            let machine_type = types.get(&machine.kind)?;
            let indexed = indexed_machine(machine, machine_type);
            let (kind, zone) = (machine.kind.clone(), machine.zone.clone());
            Some((name.clone(), (kind, zone, machine.spot, indexed)))
        };
        let open = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.accepts_tasks());
        let rebuilt: BTreeMap<_, _> = open.filter_map(entry).collect();
        rebuilt == self.index.contents()
    }
}

fn indexed_machine(machine: &Machine, machine_type: &MachineType) -> IndexedMachine {
    IndexedMachine {
        owner: machine.owner.clone(),
        free: machine.free(Resources::of_type(machine_type)),
        images: machine.images.clone(),
        empty: machine.tasks.is_empty(),
    }
}
