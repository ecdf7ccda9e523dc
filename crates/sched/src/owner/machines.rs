//! The set of machines in an owner's shard.

use super::epoch::OwnerEpoch;
use super::machine::{MachineIdentity, OwnedMachine};
use super::outbox::Outbox;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{MachineDescriptor, MachineStatus};
use wire::workers::Heartbeat;

/// How long an unusable machine with an expired lease is kept after the owner last responded to it,
/// as a multiple of `SchedulerConfig::lease_expiry_s`.
const RETENTION_LEASES: f64 = 20.0;

/// The machines of the shard, by name.
///
/// Invariant: each machine belongs to this owner in the current epoch.
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

    /// Returns the machine that sent a heartbeat, and adds it if it is new.
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

    /// Adds a machine that the leader assigned to this owner, or updates whether it is usable.
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

    /// Removes the machines that other members own in the epoch.
    pub(super) fn retain_owned(&mut self, epoch: &OwnerEpoch, member: &str) {
        self.by_name
            .retain(|name, _| epoch.owner_of(name) == Some(member));
    }

    /// Marks the statuses of all machines as not yet sent to the leader.
    pub(super) fn mark_all_dirty(&mut self) {
        self.by_name.values_mut().for_each(OwnedMachine::mark_dirty);
    }

    /// Returns the changed statuses that have not been sent to the leader, and clears the marks of
    /// their machines.
    pub(super) fn changed_statuses(&mut self, token: u64) -> Vec<MachineStatus> {
        self.by_name
            .iter_mut()
            .filter_map(|(name, machine)| machine.take_changed_status(token, name))
            .collect()
    }

    /// Removes unusable machines with an expired lease that got no response for `RETENTION_LEASES`
    /// times `lease_expiry_s`.
    pub(super) fn remove_expired(&mut self, now: Secs, lease_expiry_s: Secs) {
        let retention_s = lease_expiry_s * RETENTION_LEASES;
        self.by_name
            .retain(|_, machine| !machine.can_be_removed(now, retention_s));
    }

    /// Expires the leases that have certainly ended, and adds the names of their machines to
    /// `expired`.
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
