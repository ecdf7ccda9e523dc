//! Recently terminal (done or cancelled) jobs, whose tasks may still be running. Owners stop these
//! tasks and start no others of these jobs.
//!
//! Invariant: a job is retained until the last of its tasks has certainly ended.

use crate::Secs;
use std::collections::BTreeMap;

/// Terminal jobs, each with the time at which this leader learned that it is terminal.
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

    /// Removes jobs that this leader has known to be terminal for `retention_s` seconds.
    pub(crate) fn expire(&mut self, now: Secs, retention_s: Secs) {
        self.since.retain(|_, since| now - *since < retention_s);
    }

    pub(crate) fn ids(&self) -> Vec<String> {
        self.since.keys().cloned().collect()
    }
}
