//! Jobs that the leader said are over.

use super::JobLookup;
use crate::Secs;
use std::collections::BTreeMap;

/// Jobs that the leader said are done or cancelled, and when it did.
///
/// Invariant: a job stays here until its last task is certainly gone, so that its tasks are stopped
/// and never started, whether or not this controller's own replica knows that it is over.
#[derive(Default)]
pub(super) struct TerminalJobs {
    notified_at: BTreeMap<String, Secs>,
}

impl TerminalJobs {
    pub(super) fn insert(&mut self, job: String, now: Secs) {
        self.notified_at.insert(job, now);
    }

    /// Whether a job is over by the leader's word or by this controller's own replica.
    pub(super) fn is_terminal(&self, job: &str, jobs: &dyn JobLookup) -> bool {
        self.notified_at.contains_key(job) || jobs.is_terminal(job)
    }

    /// Forgets what was told `retention_s` ago or before.
    pub(super) fn remove_expired(&mut self, retention_s: Secs, now: Secs) {
        self.notified_at.retain(|_, at| now - *at < retention_s);
    }
}
