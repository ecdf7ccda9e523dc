//! Jobs that the leader reported as terminal.

use super::JobLookup;
use crate::Secs;
use std::collections::BTreeMap;

/// Jobs that the leader reported as done or cancelled, with the time of the report.
///
/// Invariant: a job is kept until its last task is certainly gone. Its tasks are thus stopped and
/// never started, even if this controller's own replica does not show the job as terminal yet.
#[derive(Default)]
pub(super) struct TerminalJobs {
    notified_at: BTreeMap<String, Secs>,
}

impl TerminalJobs {
    pub(super) fn insert(&mut self, job: String, now: Secs) {
        self.notified_at.insert(job, now);
    }

    /// Returns whether a job is terminal according to the leader or to this controller's own
    /// replica.
    pub(super) fn is_terminal(&self, job: &str, jobs: &dyn JobLookup) -> bool {
        self.notified_at.contains_key(job) || jobs.is_terminal(job)
    }

    /// Removes the jobs that were reported at least `retention_s` ago.
    pub(super) fn remove_expired(&mut self, retention_s: Secs, now: Secs) {
        self.notified_at.retain(|_, at| now - *at < retention_s);
    }
}
