//! The current leader, as recorded under the leader's key.

use wire::store::LeaderRecord;

/// Record of the leader's key with its version.
#[derive(Clone, Debug, PartialEq)]
struct KnownLeader {
    record: LeaderRecord,
    version: u64,
}

/// Current leader as known to a replica.
///
/// Invariant: when two replicas are merged, the record with the higher version is kept.
#[derive(Default)]
pub struct Leader {
    known: Option<KnownLeader>,
}

impl Leader {
    /// Returns the leader's record, or `None` if no leader is known.
    pub fn record(&self) -> Option<&LeaderRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Sets the record that the store holds at `version`, or `None` if the record can't be decoded.
    pub(super) fn set(&mut self, record: Option<LeaderRecord>, version: u64) {
        self.known = record.map(|record| KnownLeader { record, version });
    }

    pub(super) fn clear(&mut self) {
        self.known = None;
    }

    /// Forgets the leader if it is `member`.
    pub(super) fn clear_if_member(&mut self, member: &str) {
        self.known.take_if(|known| known.record.member == member);
    }

    /// Takes the leader of another replica if its record is newer. If this replica has no record,
    /// the key did not exist at `revision`, so the other record has to be newer than that.
    pub(super) fn merge_newer(&mut self, other: Leader, revision: u64) {
        let version = self.known.as_ref().map_or(revision, |known| known.version);
        if let Some(newer) = other.known.filter(|known| known.version > version) {
            self.known = Some(newer);
        }
    }
}
