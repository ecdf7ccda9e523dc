//! Roster machines whose content (the tasks on them) no owner has reported since this leader
//! started.
//!
//! Invariant: the set contains a machine exactly while its `Machine::content_unknown` is set.

use crate::Secs;
use std::collections::BTreeSet;

/// The set of machines of unknown content, and the time at which the content of one of them last
/// became known.
pub(crate) struct UnknownMachines {
    names: BTreeSet<String>,
    last_known_at: Secs,
}

impl UnknownMachines {
    /// Creates an empty set for a leader that starts at `now`.
    pub(crate) fn new(now: Secs) -> UnknownMachines {
        UnknownMachines {
            names: BTreeSet::new(),
            last_known_at: now,
        }
    }

    pub(super) fn insert(&mut self, name: &str) {
        self.names.insert(name.to_string());
    }

    /// Records that the content of a machine became known at `now`.
    pub(super) fn mark_known(&mut self, name: &str, now: Secs) {
        self.names.remove(name);
        self.last_known_at = now;
    }

    /// Removes a machine that no longer exists.
    pub(super) fn remove(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// Returns whether the content of every machine is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Returns the number of machines of unknown content.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether the content of a machine is unknown.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Returns the time at which the content of a machine last became known; before that, the start
    /// time of this leader.
    pub(crate) fn last_known_at(&self) -> Secs {
        self.last_known_at
    }
}
