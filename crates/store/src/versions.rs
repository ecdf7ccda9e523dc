//! Versions of the keys that a leader writes again and again.
//!
//! The store may apply a request late, or twice. The condition that the leader is still the same
//! does not distinguish an old write of a leader from its newer ones. Each write is therefore
//! conditional on its keys being as this leader last knew them: a repeated write, or an abandoned
//! one that arrives late, then fails.

use crate::keys;
use std::collections::BTreeMap;
use wire::store::{Condition, Write};

/// Whether a key exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The key exists.
    Present,
    /// The key was dropped.
    Absent,
}

/// The last known change of a key.
#[derive(Clone, Copy, Debug)]
struct LastChange {
    revision: u64,
    presence: Presence,
}

/// What is known of the versions of keys.
///
/// Invariant: the revision that is known of a key only grows until the key is reported as dropped.
#[derive(Clone, Debug, Default)]
pub struct KeyVersions {
    last_changes: BTreeMap<String, LastChange>,
}

impl KeyVersions {
    /// Notes a change of a key, as an answer or a watch reports it; an older one than is known is
    /// ignored.
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

    /// Merges the changes after `read_at_revision`, at which all keys were read: what `other` knows
    /// of that revision and before is superseded.
    pub fn merge_newer(&mut self, other: KeyVersions, read_at_revision: u64) {
        for (key, change) in other.last_changes {
            if change.revision > read_at_revision {
                self.record_change(&key, change.revision, change.presence);
            }
        }
    }

    /// Forgets a key that a watch reports as dropped: the watch reports no older change of it
    /// afterwards.
    pub fn forget_dropped(&mut self, key: &str, revision: u64) {
        let known = self.last_changes.get(key);
        if known.is_some_and(|known| known.revision <= revision) {
            self.last_changes.remove(key);
        }
    }

    /// Notes that writes were applied at a revision.
    pub fn record_applied(&mut self, writes: &[Write], revision: u64) {
        for write in writes {
            match write {
                Write::Put { key, .. } => self.record_change(key, revision, Presence::Present),
                Write::Drop { key } => self.record_change(key, revision, Presence::Absent),
            }
        }
    }

    /// The condition that the key is as it is known here; a key of which nothing is known must not
    /// exist.
    pub fn condition(&self, key: &str) -> Condition {
        let known = self.last_changes.get(key);
        let present = known.filter(|known| known.presence == Presence::Present);
        Condition {
            key: key.to_string(),
            version: present.map_or(keys::ABSENT, |known| known.revision),
        }
    }
}
