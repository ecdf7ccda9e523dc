//! The key that names the leader.

use wire::store::LeaderRecord;

/// A record of the leader's key.
#[derive(Clone, Debug, PartialEq)]
struct KnownLeader {
    record: LeaderRecord,
    version: u64,
}

/// Who leads, as far as this replica knows.
///
/// Invariant: of two replicas that are merged, the record with the greater version stays.
#[derive(Default)]
pub struct Leader {
    known: Option<KnownLeader>,
}

impl Leader {
    /// The leader's record; none if the key does not exist.
    pub fn record(&self) -> Option<&LeaderRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Sets the record as it is in the store at `version`; none if it can't be read.
    pub(super) fn set(&mut self, record: Option<LeaderRecord>, version: u64) {
        self.known = record.map(|record| KnownLeader { record, version });
    }

    pub(super) fn clear(&mut self) {
        self.known = None;
    }

    /// Forgets the leader if it is this member.
    pub(super) fn clear_if_member(&mut self, member: &str) {
        self.known.take_if(|known| known.record.member == member);
    }

    /// Merges the key of another replica. Without a record, all that is known is that the key did not exist
    /// at `revision`.
    pub(super) fn merge_newer(&mut self, other: Leader, revision: u64) {
        let version = self.known.as_ref().map_or(revision, |known| known.version);
        if let Some(newer) = other.known.filter(|known| known.version > version) {
            self.known = Some(newer);
        }
    }
}
