//! The machines of an owner's shard.

use super::epoch::OwnerEpoch;
use super::machine::{MachineIdentity, OwnedMachine};
use super::outbox::Outbox;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{MachineDescriptor, MachineStatus};
use wire::workers::Heartbeat;

/// A closed machine whose lease has ended is remembered for this many leases.
const RETENTION_LEASES: f64 = 20.0;

/// Machines by name.
///
/// Invariant: each of them belongs to this owner under the present epoch.
#[derive(Default)]
pub(super) struct Machines {
    by_name: BTreeMap<String, OwnedMachine>,
}

impl Machines {
    pub(super) fn get(&self, name: &str) -> Option<&OwnedMachine> {
        self.by_name.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut OwnedMachine> {
        self.by_name.get_mut(name)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&String, &OwnedMachine)> {
        self.by_name.iter()
    }

    pub(super) fn names(&self) -> impl Iterator<Item = &String> {
        self.by_name.keys()
    }

    /// The machine that sent a heartbeat, which is taken up if it is new.
    pub(super) fn find_or_add(
        &mut self,
        heartbeat: &Heartbeat,
        epoch: &OwnerEpoch,
    ) -> &mut OwnedMachine {
        let new = || {
            let identity = MachineIdentity {
                kind: heartbeat.kind.clone(),
                zone: heartbeat.zone.clone(),
                spot: heartbeat.spot,
            };
            OwnedMachine::new(identity, epoch.token(), epoch.sole_owner_from())
        };
        self.by_name
            .entry(heartbeat.machine.clone())
            .or_insert_with(new)
    }

    /// Takes a machine that the leader hands to this owner.
    pub(super) fn adopt(&mut self, descriptor: MachineDescriptor, epoch: &OwnerEpoch) {
        let identity = MachineIdentity {
            kind: descriptor.kind,
            zone: descriptor.zone,
            spot: descriptor.spot,
        };
        self.by_name
            .entry(descriptor.name)
            .or_insert_with(|| OwnedMachine::new(identity, epoch.token(), epoch.sole_owner_from()))
            .set_usable(descriptor.usable);
    }

    pub(super) fn clear(&mut self) {
        self.by_name.clear();
    }

    /// Drops what an epoch gives to other owners.
    pub(super) fn retain_owned(&mut self, epoch: &OwnerEpoch, member: &str) {
        self.by_name
            .retain(|name, _| epoch.owner_of(name) == Some(member));
    }

    /// All machines are to be shown to the leader.
    pub(super) fn mark_all_dirty(&mut self) {
        self.by_name.values_mut().for_each(OwnedMachine::mark_dirty);
    }

    /// The statuses that the leader has not been shown.
    pub(super) fn changed_statuses(&mut self, token: u64) -> Vec<MachineStatus> {
        self.by_name
            .iter_mut()
            .filter_map(|(name, machine)| machine.take_changed_status(token, name))
            .collect()
    }

    /// Forgets closed machines that were not heard for many leases.
    pub(super) fn remove_expired(&mut self, now: Secs, lease_expiry_s: Secs) {
        let retention_s = lease_expiry_s * RETENTION_LEASES;
        self.by_name
            .retain(|_, machine| !machine.can_be_removed(now, retention_s));
    }

    /// Ends the leases that are certainly over; names their machines to `expired`.
    pub(super) fn expire_leases(
        &mut self,
        now: Secs,
        lease_expiry_s: Secs,
        outbox: &mut Outbox,
        expired: &mut impl Extend<String>,
    ) {
        for (name, machine) in &mut self.by_name {
            if machine.has_newly_expired_lease(now, lease_expiry_s) {
                machine.expire_lease(name, outbox);
                expired.extend([name.clone()]);
            }
        }
    }
}
