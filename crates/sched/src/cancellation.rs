//! When a controller may tell a user that a job is cancelled.
//!
//! Telling so is a promise about all controllers: from then on, none of them starts a task of the job.
//! A controller starts tasks only while its view of the store is younger than
//! `SchedulerConfig::max_start_staleness_s`, and a view that was read after the cancellation was
//! recorded contains it. The promise therefore holds from the earlier of two instants on:
//!
//! - The leader has confirmed that every controller which may start tasks knows of the cancellation
//!   (see `crate::leader`). This is the ordinary case.
//! - The maximum staleness has passed since this controller learned that the store had recorded the
//!   cancellation. This is the case if some controllers can't be reached.

use crate::config::SchedulerConfig;
use crate::Secs;
use std::collections::{BTreeMap, VecDeque};

/// A revision that the store had reached by an instant.
#[derive(Clone, Copy, Debug)]
struct ReachedRevision {
    revision: u64,
    at: Secs,
}

/// Decides which cancellations a controller may report to users.
///
/// Invariant: a cancellation is reported only if no controller starts a task of its job any more.
#[derive(Debug)]
pub struct CancellationGate {
    /// Time after which no controller acts on a view that was read before a given instant.
    max_start_staleness_s: Secs,
    /// Revisions that the store had reached, each higher and later than the one before. The first may
    /// be older than `max_start_staleness_s`, all others are not.
    revisions: VecDeque<ReachedRevision>,
    /// Jobs whose cancellation the leader has confirmed, with the time of the confirmation. They are
    /// forgotten when the revisions suffice.
    confirmed: BTreeMap<String, Secs>,
}

impl CancellationGate {
    /// Creates the gate of a controller that has not read the store yet.
    pub fn new(config: &SchedulerConfig) -> CancellationGate {
        CancellationGate {
            max_start_staleness_s: config.start_expiry_s(),
            revisions: VecDeque::new(),
            confirmed: BTreeMap::new(),
        }
    }

    /// Records that the store has reached a revision by `now`.
    pub fn record_revision(&mut self, revision: u64, now: Secs) {
        if self
            .newest_revision()
            .is_some_and(|newest| revision <= newest)
        {
            return;
        }
        self.revisions
            .push_back(ReachedRevision { revision, at: now });
        let settled_before = now - self.max_start_staleness_s;
        while self
            .revisions
            .get(1)
            .is_some_and(|next| next.at <= settled_before)
        {
            self.revisions.pop_front();
        }
    }

    fn newest_revision(&self) -> Option<u64> {
        self.revisions.back().map(|newest| newest.revision)
    }

    /// Records that the leader has confirmed the cancellation of a job.
    pub fn record_confirmation(&mut self, job: &str, now: Secs) {
        let expired_before = now - self.max_start_staleness_s;
        self.confirmed.retain(|_, at| *at > expired_before);
        self.confirmed.insert(job.into(), now);
    }

    /// Returns how much longer a cancellation that was recorded at a revision may not be reported,
    /// unless the leader confirms it; 0 if it may be reported now.
    pub fn remaining_s(&self, job: &str, revision: u64, now: Secs) -> Secs {
        if self.confirmed.contains_key(job) {
            return 0.0;
        }
        let reached = self
            .revisions
            .iter()
            .find(|reached| reached.revision >= revision);
        let known_since = reached.map_or(now, |reached| reached.at);
        (known_since + self.max_start_staleness_s - now).max(0.0)
    }
}
