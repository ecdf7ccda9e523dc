//! All machines that the leader tracks, with an index of their free capacity.
//!
//! Invariant: a machine whose index entry may be out of date is marked dirty.

use super::{Machine, UnknownMachines};
use crate::capacity_index::{CapacityIndex, IndexedMachine};
use crate::placement::Resources;
use crate::Secs;
use std::collections::{btree_map, BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// The cloud's machine types by name.
pub(crate) type MachineTypes = BTreeMap<String, MachineType>;

/// The machines by name, the index of their free capacity, and the machines of unknown content.
pub(crate) struct MachineInventory {
    machines: BTreeMap<String, Machine>,
    unknown: UnknownMachines,
    /// Machines with free capacity, as used by a scheduling pass.
    index: CapacityIndex,
    /// Machines that changed since the index was last refreshed.
    dirty: BTreeSet<String>,
}

impl MachineInventory {
    /// Creates an empty inventory for a leader that starts at `now`.
    pub(crate) fn new(now: Secs) -> MachineInventory {
        MachineInventory {
            machines: BTreeMap::new(),
            unknown: UnknownMachines::new(now),
            index: CapacityIndex::default(),
            dirty: BTreeSet::new(),
        }
    }

    /// Inserts a machine that has come up.
    pub(crate) fn insert(&mut self, name: &str, machine: Machine) {
        self.machines.insert(name.to_string(), machine);
    }

    /// Inserts a machine from the roster whose content is unknown.
    pub(crate) fn insert_unknown(&mut self, name: &str, machine: Machine) {
        self.unknown.insert(name);
        self.insert(name, machine);
    }

    /// Removes a machine on which nothing may be running.
    pub(crate) fn remove(&mut self, name: &str) {
        self.machines.remove(name);
        self.unknown.remove(name);
        self.mark_dirty(name);
    }

    /// Returns the number of machines.
    pub(crate) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Returns whether the inventory contains the machine.
    pub(crate) fn contains_key(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns a machine by name.
    pub(crate) fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Returns a mutable reference to a machine by name. A caller that changes indexed state must
    /// mark the machine dirty.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// Iterates over all machines and their names, in order of name.
    pub(crate) fn iter(&self) -> btree_map::Iter<'_, String, Machine> {
        self.machines.iter()
    }

    /// Iterates mutably over all machines and their names, in order of name. A caller that changes
    /// indexed state must mark the machine dirty.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, String, Machine> {
        self.machines.iter_mut()
    }

    /// Iterates over all machines, in order of name.
    pub(crate) fn values(&self) -> btree_map::Values<'_, String, Machine> {
        self.machines.values()
    }

    /// Returns the machines of unknown content.
    pub(crate) fn unknown(&self) -> &UnknownMachines {
        &self.unknown
    }

    /// Records that the content of a machine became known at `now`.
    pub(crate) fn mark_known(&mut self, name: &str, now: Secs) {
        self.unknown.mark_known(name, now);
    }

    /// Returns the index of free capacity as of its last refresh.
    pub(crate) fn index(&self) -> &CapacityIndex {
        &self.index
    }

    /// Deducts the capacity for `tasks` tasks from a machine's index entry. The deduction is meant
    /// for the rest of the pass; it lasts until the entry is next refreshed.
    pub(crate) fn take_capacity(
        &mut self,
        name: &str,
        resources: Resources,
        tasks: u32,
        image: &str,
    ) {
        self.index.allocate(name, resources, tasks, image);
    }

    /// Marks the index entry of a machine as out of date.
    pub(crate) fn mark_dirty(&mut self, name: &str) {
        self.dirty.insert(name.to_string());
    }

    /// Marks the index entries of all machines as out of date.
    pub(crate) fn mark_all_dirty(&mut self) {
        self.dirty.extend(self.machines.keys().cloned());
    }

    /// Clears the index after a change of machine types, so that the next refresh rebuilds it.
    pub(crate) fn clear_index(&mut self) {
        self.index.clear();
        self.mark_all_dirty();
    }

    /// Refreshes the index entries of all dirty machines. An image is treated as slow to fetch if
    /// the fetch takes longer than a fraction of `guarantee_s`.
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

    /// Returns whether the index equals a full rebuild from the machines; for tests.
    pub(crate) fn index_is_consistent(&self, types: &MachineTypes) -> bool {
        let entry = |(name, machine): (&String, &Machine)| {
            let machine_type = types.get(&machine.kind)?;
            let indexed = indexed_machine(machine, machine_type);
            let (kind, zone) = (machine.kind.clone(), machine.zone.clone());
            Some((name.clone(), (kind, zone, machine.spot, indexed)))
        };
        let accepting = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.accepts_tasks());
        let rebuilt: BTreeMap<_, _> = accepting.filter_map(entry).collect();
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
