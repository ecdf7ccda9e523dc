//! Jobs that became terminal lately, of which tasks may still run: owners stop them and start none.
//!
//! Invariant: a job stays here until the last of its tasks has certainly ended.

use crate::Secs;
use std::collections::BTreeMap;

/// Terminal jobs, and since when this leader knows.
#[derive(Default)]
pub(crate) struct TerminalJobs {
    since: BTreeMap<String, Secs>,
}

impl TerminalJobs {
    pub(crate) fn insert(&mut self, id: &str, now: Secs) {
        self.since.insert(id.into(), now);
    }

    pub(crate) fn contains(&self, id: &str) -> bool {
        self.since.contains_key(id)
    }

    /// Forgets jobs that have been terminal for so many seconds.
    pub(crate) fn expire(&mut self, now: Secs, retention_s: Secs) {
        self.since.retain(|_, since| now - *since < retention_s);
    }

    pub(crate) fn ids(&self) -> Vec<String> {
        self.since.keys().cloned().collect()
    }
}
