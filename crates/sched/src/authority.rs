//! How long a controller may respond to workers' heartbeats and start tasks: until its authority
//! expires, and only while its view of the store is fresh enough.
//!
//! Any controller confirms a cancellation as soon as the store has recorded it, without asking the
//! others. This controller therefore does not know of cancellations that were confirmed after it
//! sent its last answered read of the store. A response at time `t` renews a worker's lease and so
//! lets its tasks run until `t` + lease. It is sent only if this time is within `cancel_s` of the
//! time of that read (`SchedulerConfig::max_response_staleness_s`). Starts require a much fresher view
//! (`SchedulerConfig::max_start_staleness_s`): a cancellation is reported to a user when no controller
//! can still act on a view that lacks it (`crate::cancellation`).
//!
//! Leases in the store survive an outage of the store, so a leader may resume with a view from
//! before the outage. If its authority has expired, a renewal therefore has no effect until there
//! is an answer to a read that was sent after the renewal was answered.

use crate::config::SchedulerConfig;
use crate::Secs;

/// When the authority of a controller expires, and when its view of the store was read. All
/// instants are on the process's monotonic clock.
///
/// Invariant: neither `responses_until` nor `starts_until` is later than `until`, or later than
/// `read_at` plus the maximum age of the view for a response or a start, respectively.
#[derive(Clone, Debug)]
pub struct Authority {
    until: Secs,
    /// When the last answered read of the store was sent, by this controller or by the leader.
    read_at: Secs,
    /// When expired authority was last renewed. A read that was sent before then allows neither
    /// responses nor starts.
    regained_at: Secs,
    /// Maximum age of the view of the store for a response to a heartbeat.
    max_response_staleness_s: Secs,
    /// Maximum age of the view of the store for a start.
    max_start_staleness_s: Secs,
}

impl Authority {
    /// Returns an expired authority without a view of the store.
    pub fn new(config: &SchedulerConfig) -> Authority {
        Authority {
            until: f64::MIN,
            read_at: f64::MIN,
            regained_at: f64::MIN,
            max_response_staleness_s: config.max_response_staleness_s(),
            max_start_staleness_s: config.max_start_staleness_s(),
        }
    }

    /// Sets the end of the authority. The caller must guarantee that the controller has authority
    /// until then.
    pub fn set_until(&mut self, until: Secs) {
        self.until = until;
    }

    /// Extends the authority after a renewal of the leader's lease that was answered at `now`.
    pub fn renew(&mut self, until: Secs, now: Secs) {
        if now >= self.until {
            self.regained_at = now;
        }
        self.until = self.until.max(until);
    }

    /// Records that the view contains everything the store held at `at`.
    pub fn record_read(&mut self, at: Secs) {
        self.read_at = self.read_at.max(at);
    }

    /// Returns when the authority expires, regardless of the age of the view.
    pub fn until(&self) -> Secs {
        self.until
    }

    /// Returns when the newest answered read of the store was sent; `f64::MIN` before the first.
    pub fn read_at(&self) -> Secs {
        self.read_at
    }

    /// Returns the instant until which heartbeats may be responded to.
    pub fn responses_until(&self) -> Secs {
        self.limited_by_staleness(self.max_response_staleness_s)
    }

    /// Returns the instant until which tasks may be started.
    pub fn starts_until(&self) -> Secs {
        self.limited_by_staleness(self.max_start_staleness_s)
    }

    /// Returns when the authority expires or when the view becomes older than `staleness_s`,
    /// whichever is first.
    fn limited_by_staleness(&self, staleness_s: Secs) -> Secs {
        if self.read_at < self.regained_at {
            return f64::MIN;
        }
        self.until.min(self.read_at + staleness_s)
    }
}
