//! How long a controller may answer workers' heartbeats and start tasks: until its authority ends,
//! and no longer than its knowledge of the store is fresh enough.
//!
//! A cancellation is confirmed by any controller on the store's word alone. What was confirmed
//! after the last answered read was sent is not known here. An answer that prolongs a lease at `t`
//! lets a task run until `t` + lease, so it is given only while that ends within `cancel_s` of the
//! read (`SchedulerConfig::max_response_staleness_s`); starts need knowledge as fresh as the leadership itself
//! (`SchedulerConfig::max_start_staleness_s`). An outage preserves the store's leases, so that a leader may come
//! back with a view from before it: its authority then counts only with a read sent after the
//! renewal was answered.

use crate::config::SchedulerConfig;
use crate::Secs;

/// Authority and the age of what is known. Its instants are on the process's steady clock.
///
/// Invariant: neither bound lies later than `until`, nor later than `read_at` plus its staleness.
#[derive(Clone, Debug)]
pub struct Authority {
    until: Secs,
    /// When the last read of the store that was answered was sent, here or by the leader.
    read_at: Secs,
    /// When authority that had run out came back: reads sent before do not count.
    regained_at: Secs,
    /// How old knowledge of the store may be for an answer to a heartbeat.
    max_response_staleness_s: Secs,
    /// How old knowledge of the store may be for a start.
    max_start_staleness_s: Secs,
}

impl Authority {
    /// No authority, and nothing known of the store.
    pub fn new(config: &SchedulerConfig) -> Authority {
        Authority {
            until: f64::MIN,
            read_at: f64::MIN,
            regained_at: f64::MIN,
            max_response_staleness_s: config.max_response_staleness_s(),
            max_start_staleness_s: config.max_start_staleness_s(),
        }
    }

    /// Takes authority until an instant that the caller has proved.
    pub fn set_until(&mut self, until: Secs) {
        self.until = until;
    }

    /// A renewal of the leadership was answered at `now`.
    pub fn renew(&mut self, until: Secs, now: Secs) {
        if now >= self.until {
            self.regained_at = now;
        }
        self.until = self.until.max(until);
    }

    /// All that the store held at `at` is known here.
    pub fn record_read(&mut self, at: Secs) {
        self.read_at = self.read_at.max(at);
    }

    /// Until when authority lasts, whatever is known of the store.
    pub fn until(&self) -> Secs {
        self.until
    }

    /// When the last read of the store that counts was sent; `f64::MIN` before the first.
    pub fn read_at(&self) -> Secs {
        self.read_at
    }

    /// Until when heartbeats may be answered.
    pub fn responses_until(&self) -> Secs {
        self.limited_by_staleness(self.max_response_staleness_s)
    }

    /// Until when tasks may be started.
    pub fn starts_until(&self) -> Secs {
        self.limited_by_staleness(self.max_start_staleness_s)
    }

    /// The end of authority, or of knowledge that may be `staleness_s` old.
    fn limited_by_staleness(&self, staleness_s: Secs) -> Secs {
        if self.read_at < self.regained_at {
            return f64::MIN;
        }
        self.until.min(self.read_at + staleness_s)
    }
}
