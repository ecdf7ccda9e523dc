//! Epochs: each has its own fencing token, and the owners of machines may differ from those in the
//! epoch before.

use super::Owner;
use crate::shard;
use crate::Secs;
use wire::peers::MachineDescriptor;

/// The epoch that an owner is in.
///
/// Invariant: from `sole_owner_from` on, no earlier owner of any machine responds to a heartbeat.
#[derive(Default)]
pub(super) struct OwnerEpoch {
    token: u64,
    members: Vec<String>,
    sole_owner_from: Secs,
}

impl OwnerEpoch {
    /// Creates an epoch. Earlier owners may still respond to heartbeats before `sole_owner_from`.
    pub(super) fn new(token: u64, members: Vec<String>, sole_owner_from: Secs) -> OwnerEpoch {
        OwnerEpoch {
            token,
            members,
            sole_owner_from,
        }
    }

    /// Returns the fencing token; 0 before the first epoch.
    pub(super) fn token(&self) -> u64 {
        self.token
    }

    pub(super) fn sole_owner_from(&self) -> Secs {
        self.sole_owner_from
    }

    /// Returns the member that owns a machine, or `None` if there are no members.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&str> {
        shard::owner(machine, &self.members)
    }
}

impl Owner {
    /// Starts an epoch that follows the one with the token `previous_token`. Keeps the records of
    /// machines only if `previous_token` is the token of this owner's current epoch and not 0,
    /// which stands for no epoch. Ignores an epoch older than the current one.
    pub(super) fn start_epoch(
        &mut self,
        epoch: OwnerEpoch,
        previous_token: u64,
        descriptors: Vec<MachineDescriptor>,
    ) {
        if epoch.token < self.epoch.token {
            return;
        }
        self.discard_epoch_state();
        if self.epoch.token != previous_token || previous_token == 0 {
            self.machines.clear();
        }
        self.epoch = epoch;
        self.machines.retain_owned(&self.epoch, &self.member);
        for descriptor in descriptors {
            if self.epoch.owner_of(&descriptor.name) == Some(self.member.as_str()) {
                self.machines.adopt(descriptor, &self.epoch);
            }
        }
        self.machines.mark_all_dirty();
        self.index.clear();
        self.dirty_machines = self.machines.names().cloned().collect();
    }

    /// Discards the reservations, backlog and messages of the epoch that ends.
    fn discard_epoch_state(&mut self) {
        // Reservations end with the epoch; the leader releases the gangs that wait for them.
        self.reservations.clear();
        // The tasks of the backlog are on no machine; the leader reclaims them after
        // reconciliation.
        self.backlog.clear();
        self.outbox.clear();
    }
}
