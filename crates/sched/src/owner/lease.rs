//! The lease that a worker holds on its tasks: it kills them once it has gone without an answer for the
//! length of the lease.

use crate::Secs;

/// A worker's lease as its owner knows it.
///
/// Invariant: no answer that prolongs the worker's lease is sent later than `renewed_at`.
pub(super) struct WorkerLease {
    renewed_at: Secs,
    /// The newest incarnation that got an answer before the lease was over. A heartbeat of it that
    /// arrives after the lease's end is a late copy, even if no heartbeat had counted until then.
    last_incarnation: u64,
    has_expired: bool,
}

impl WorkerLease {
    /// A lease that an earlier owner may have renewed until `renewed_at`.
    pub(super) fn new(renewed_at: Secs) -> WorkerLease {
        WorkerLease {
            renewed_at,
            last_incarnation: 0,
            has_expired: false,
        }
    }

    /// A heartbeat of this incarnation is answered at `now`. Does not revive an expired lease: the
    /// heartbeat may have been sent before the expiry (see `revive`).
    pub(super) fn renew(&mut self, incarnation: u64, now: Secs) {
        self.renewed_at = self.renewed_at.max(now);
        if !self.has_expired {
            self.last_incarnation = self.last_incarnation.max(incarnation);
        }
    }

    /// A heartbeat that counts shows the worker alive.
    pub(super) fn revive(&mut self, incarnation: u64) {
        self.has_expired = false;
        self.last_incarnation = self.last_incarnation.max(incarnation);
    }

    /// Whether the worker has certainly killed its tasks, whatever its clock says; `expiry_s` is the
    /// lease with all margins (`SchedulerConfig::lease_expiry_s`).
    pub(super) fn is_past_expiry(&self, now: Secs, expiry_s: Secs) -> bool {
        now > self.renewed_at + expiry_s
    }

    /// Notes that the lease is over.
    pub(super) fn mark_expired(&mut self) {
        self.has_expired = true;
    }

    /// Whether the lease is over and no later incarnation was heard.
    pub(super) fn has_expired(&self) -> bool {
        self.has_expired
    }

    /// Whether a heartbeat of this incarnation was sent before the lease was over.
    pub(super) fn precedes_expiry(&self, incarnation: u64) -> bool {
        self.has_expired && incarnation <= self.last_incarnation
    }

    /// The newest instant at which an answer may have prolonged the lease.
    pub(super) fn renewed_at(&self) -> Secs {
        self.renewed_at
    }
}
