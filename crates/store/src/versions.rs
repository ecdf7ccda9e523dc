//! Versions of the keys that a leader writes repeatedly.
//!
//! The store may apply a request late or twice. The condition that the leader is unchanged does not
//! distinguish an old write of a leader from its newer ones. Each write is therefore also
//! conditional on the last known versions of its keys, so that a duplicate write, or an abandoned
//! one that arrives late, fails.

use crate::keys;
use std::collections::BTreeMap;
use wire::store::{Condition, Write};

/// Whether a key exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key exists.
    Present,
    /// The key was deleted.
    Absent,
}

/// Last known change of a key.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    revision: u64,
    presence: Presence,
}

/// Last known versions of keys.
///
/// Invariant: the known revision of a key only grows until the key is reported as deleted.
#[derive(Clone, Debug, Default)]
pub struct KeyVersions {
    last_changes: BTreeMap<String, LastChange>,
}

impl KeyVersions {
    /// Records a change of a key that a response or a watch reports. A change older than the known
    /// one is ignored.
    pub fn record_change(&mut self, key: &str, revision: u64, presence: Presence) {
        let change = LastChange { revision, presence };
        match self.last_changes.get_mut(key) {
            Some(known) if known.revision > revision => {}
            Some(known) => *known = change,
            None => {
                self.last_changes.insert(key.to_string(), change);
            }
        }
    }

    /// Merges the changes of `other` that are newer than `read_at_revision`, the revision at which
    /// all keys were read. Older changes of `other` are superseded by what was read.
    pub fn merge_newer(&mut self, other: KeyVersions, read_at_revision: u64) {
        for (key, change) in other.last_changes {
            if change.revision > read_at_revision {
                self.record_change(&key, change.revision, change.presence);
            }
        }
    }

    /// Forgets a key that a watch reports as deleted. This is safe because the watch reports no
    /// older change of the key afterwards.
    pub fn forget_dropped(&mut self, key: &str, revision: u64) {
        let known = self.last_changes.get(key);
        if known.is_some_and(|known| known.revision <= revision) {
            self.last_changes.remove(key);
        }
    }

    /// Records that writes were applied at a revision.
    pub fn record_applied(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, .. } => self.record_change(key, revision, Presence::Present),
                Write::Delete { key } => self.record_change(key, revision, Presence::Absent),
            }
        }
    }

    /// Returns the condition that a key is at its last known version. A key without a known version
    /// must not exist.
    pub fn condition(&self, key: &str) -> Condition {
        let known = self.last_changes.get(key);
        let present = known.filter(|known| known.presence == Presence::Present);
        Condition {
            key: key.to_string(),
            version: present.map_or(keys::ABSENT, |known| known.revision),
        }
    }
}
