//! Machines of the roster whose content no owner has shown since this leader began.
//!
//! Invariant: a machine is here exactly as long as its `Machine::content_unknown` is set.

use crate::Secs;
use std::collections::BTreeSet;

/// The machines of unknown content.
pub(crate) struct UnknownMachines {
    names: BTreeSet<String>,
    last_known_at: Secs,
}

impl UnknownMachines {
    /// None so far.
    pub(crate) fn new(now: Secs) -> UnknownMachines {
        UnknownMachines {
            names: BTreeSet::new(),
            last_known_at: now,
        }
    }

    pub(super) fn insert(&mut self, name: &str) {
        self.names.insert(name.to_string());
    }

    /// The content of a machine is known from now on.
    pub(super) fn mark_known(&mut self, name: &str, now: Secs) {
        self.names.remove(name);
        self.last_known_at = now;
    }

    /// A machine is gone.
    pub(super) fn remove(&mut self, name: &str) {
        self.names.remove(name);
    }

    /// Whether there is no such machine.
    pub(crate) fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// How many there are.
    pub(crate) fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether the content of a machine is unknown.
    pub(crate) fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// When the content of a machine last became known; before that, when this leader began.
    pub(crate) fn last_known_at(&self) -> Secs {
        self.last_known_at
    }
}
