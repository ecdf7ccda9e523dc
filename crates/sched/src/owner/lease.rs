//! The lease under which a worker runs its tasks. The worker kills them once it has received no
//! response for the length of the lease.

use crate::Secs;

/// An owner's view of a worker's lease.
///
/// Invariant: no response that renews the worker's lease was sent later than `renewed_at`.
pub(super) struct WorkerLease {
    renewed_at: Secs,
    /// The newest incarnation of the worker that got a response before the lease expired. Any
    /// heartbeat of this incarnation that arrives after the expiry was delayed, even if none of its
    /// earlier heartbeats was current.
    last_incarnation: u64,
    has_expired: bool,
}

impl WorkerLease {
    /// Creates a lease that an earlier owner may have renewed as late as `renewed_at`.
    pub(super) fn new(renewed_at: Secs) -> WorkerLease {
        WorkerLease {
            renewed_at,
            last_incarnation: 0,
            has_expired: false,
        }
    }

    /// Records a response at `now` to a heartbeat of this incarnation. Does not revive an expired
    /// lease, as the heartbeat may have been sent before the expiry (see `revive`).
    pub(super) fn renew(&mut self, incarnation: u64, now: Secs) {
        self.renewed_at = self.renewed_at.max(now);
        if !self.has_expired {
            self.last_incarnation = self.last_incarnation.max(incarnation);
        }
    }

    /// Marks the lease as not expired, after a current heartbeat of this incarnation.
    pub(super) fn revive(&mut self, incarnation: u64) {
        self.has_expired = false;
        self.last_incarnation = self.last_incarnation.max(incarnation);
    }

    /// Returns whether the worker has certainly killed its tasks, allowing for clock drift.
    /// `expiry_s` is the length of the lease with all margins (`SchedulerConfig::lease_expiry_s`).
    pub(super) fn is_past_expiry(&self, now: Secs, expiry_s: Secs) -> bool {
        now > self.renewed_at + expiry_s
    }

    pub(super) fn mark_expired(&mut self) {
        self.has_expired = true;
    }

    /// Returns whether the lease was marked as expired and has not been revived since. Only a
    /// heartbeat of a later incarnation revives it; all others are stale (see `precedes_expiry`).
    pub(super) fn has_expired(&self) -> bool {
        self.has_expired
    }

    /// Returns whether a heartbeat of this incarnation was sent before the lease expired.
    pub(super) fn precedes_expiry(&self, incarnation: u64) -> bool {
        self.has_expired && incarnation <= self.last_incarnation
    }

    /// Returns the latest instant at which a response may have renewed the lease.
    pub(super) fn renewed_at(&self) -> Secs {
        self.renewed_at
    }
}
