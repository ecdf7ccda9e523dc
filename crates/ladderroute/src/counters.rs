//! Counters for the health log line.
//!
//! A controller answers workers only while it has authority, which expires unless it is renewed.
//! Two of the figures tell how close responses to workers came to the expiry, and how much time
//! passed between the check of authority and the writing of the response.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest time between a check of authority and the writing of the response that depends on
/// it.
type LongestResponseDelay = Rc<Cell<Duration>>;

/// Counters of one process since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Completed reloads of the view.
    pub reloads: Cell<u64>,
    /// Reads of the store's changes that were discarded because a reload of the view had begun
    /// since they were sent.
    pub reads_dropped: Cell<u64>,
    /// Workers' heartbeats that were refused, for example because this controller had no authority
    /// or no fresh view.
    pub heartbeats_refused: Cell<u64>,
    /// Users' requests that were answered with 503 because the view could not be refreshed.
    pub answers_refused: Cell<u64>,
    /// Least remaining time, in seconds, for which responses to workers were allowed when a
    /// heartbeat was answered.
    least_margin_s: Cell<Option<f64>>,
    longest_response_delay: LongestResponseDelay,
}

/// The instant at which the authority for a response was checked, to be compared with the instant
/// at which the response is written to its connection.
#[derive(Clone, Debug)]
pub struct AuthorityCheck {
    checked_at: Instant,
    longest_response_delay: LongestResponseDelay,
}

impl AuthorityCheck {
    /// Records that the response has been written to its connection.
    pub fn record_response_written(&self) {
        let delay = self.checked_at.elapsed();
        self.longest_response_delay
            .set(self.longest_response_delay.get().max(delay));
    }
}

impl Counters {
    /// Increments a counter.
    pub fn increment(counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
    }

    /// Records the remaining time for which responses to workers were allowed when a heartbeat was
    /// answered.
    pub fn record_margin(&self, margin_s: f64) {
        let least_s = self.least_margin_s.get().unwrap_or(f64::MAX);
        self.least_margin_s.set(Some(least_s.min(margin_s)));
    }

    /// Starts measuring the delay between a check of authority, made now, and the writing of the
    /// response that depends on it.
    pub fn start_check(&self) -> AuthorityCheck {
        AuthorityCheck {
            checked_at: Instant::now(),
            longest_response_delay: self.longest_response_delay.clone(),
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "reloads={} reads_dropped={} heartbeats_refused={} answers_refused={}",
            self.reloads.get(),
            self.reads_dropped.get(),
            self.heartbeats_refused.get(),
            self.answers_refused.get()
        )?;
        if let Some(margin_s) = self.least_margin_s.get() {
            write!(out, " least_margin_s={margin_s:.2}")?;
        }
        let longest_s = self.longest_response_delay.get().as_secs_f64();
        write!(out, " longest_effect_s={longest_s:.2}")
    }
}
