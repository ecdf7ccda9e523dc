//! The change of owners under a new token.

use super::Owner;
use crate::shard;
use crate::Secs;
use wire::peers::MachineDescriptor;

/// The epoch under which an owner acts.
///
/// Invariant: no earlier owner of any machine answers a heartbeat from `sole_owner_from` on.
#[derive(Default)]
pub(super) struct OwnerEpoch {
    token: u64,
    members: Vec<String>,
    sole_owner_from: Secs,
}

impl OwnerEpoch {
    /// An epoch before whose `sole_owner_from` earlier owners may still answer.
    pub(super) fn new(token: u64, members: Vec<String>, sole_owner_from: Secs) -> OwnerEpoch {
        OwnerEpoch {
            token,
            members,
            sole_owner_from,
        }
    }

    /// The fencing token; 0 before the first epoch.
    pub(super) fn token(&self) -> u64 {
        self.token
    }

    pub(super) fn sole_owner_from(&self) -> Secs {
        self.sole_owner_from
    }

    /// The member that owns a machine; none without members.
    pub(super) fn owner_of(&self, machine: &str) -> Option<&str> {
        shard::owner(machine, &self.members)
    }
}

impl Owner {
    /// Enters an epoch that follows the one with the token `prev`; machines are kept only if that is
    /// the epoch known here. An older epoch than the present one is ignored.
    pub(super) fn start_epoch(
        &mut self,
        epoch: OwnerEpoch,
        prev: u64,
        descriptors: Vec<MachineDescriptor>,
    ) {
        if epoch.token < self.epoch.token {
            return;
        }
        self.discard_epoch_state();
        if self.epoch.token != prev || prev == 0 {
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

    /// Drops what was agreed under the epoch that ends.
    fn discard_epoch_state(&mut self) {
        // Reservations end with the epoch: the leader releases its waiting gangs.
        self.reservations.clear();
        // The backlog is nowhere yet; the leader takes it back once all is reconciled.
        self.backlog.clear();
        self.outbox.clear();
    }
}
