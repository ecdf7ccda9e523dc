//! Versions of the keys that a leader writes again and again.
//!
//! The store may carry a request out late, or once more. That the leader is still the same does
//! not tell an old write of its own from a new one, so each write is made on the condition that
//! its keys are as this leader last knew them: a repeat of it, or one that was given up and
//! comes late, then fails.

use std::collections::BTreeMap;
use wire::store::{Condition, Write};

#[derive(Clone, Debug, Default)]
/// What is known of the versions of keys.
pub struct Versions {
    /// Revision of the last change that is known, and whether the key exists since.
    at: BTreeMap<String, (u64, bool)>,
}

impl Versions {
    /// A key has changed, as an answer or a watch says; older news change nothing.
    pub fn changed(&mut self, key: &str, revision: u64, exists: bool) {
        match self.at.get_mut(key) {
            Some(known) if known.0 > revision => {}
            Some(known) => *known = (revision, exists),
            None => {
                self.at.insert(key.to_string(), (revision, exists));
            }
        }
    }

    /// Takes what others know of later changes. What they know of changes up to `read_at` does not count:
    /// at that revision all keys were read.
    pub fn merge_newer(&mut self, others: Versions, read_at: u64) {
        let later = others.at.into_iter().filter(|(_, known)| known.0 > read_at);
        for (key, (revision, exists)) in later {
            self.changed(&key, revision, exists);
        }
    }

    /// A watch has shown that a key is gone: nothing older of it can come any more.
    pub fn seen_dropped(&mut self, key: &str, revision: u64) {
        if self.at.get(key).is_some_and(|known| known.0 <= revision) {
            self.at.remove(key);
        }
    }

    /// Writes have been carried out at a revision.
    pub fn applied(&mut self, writes: &[Write], revision: u64) {
        for w in writes {
            match w {
                Write::Put { key, .. } => self.changed(key, revision, true),
                Write::Drop { key } => self.changed(key, revision, false),
            }
        }
    }

    /// That the key is as it is known here.
    pub fn condition(&self, key: &str) -> Condition {
        let version = self
            .at
            .get(key)
            .filter(|(_, exists)| *exists)
            .map_or(0, |(revision, _)| *revision);
        Condition {
            key: key.to_string(),
            version,
        }
    }
}
