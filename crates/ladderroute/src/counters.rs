//! Counters that tell, after the fact, how close answers came to the end of authority, and how stale what
//! they rest on was when they were written.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The longest time between a check and the writing of the answer that rests on it.
type LongestResponseDelay = Rc<Cell<Duration>>;

/// The running summary of one process.
#[derive(Debug, Default)]
pub struct Counters {
    /// Reloads of the view that ended.
    pub reloads: Cell<u64>,
    /// Reads of changes that were dropped because a reload had begun since they were sent.
    pub reads_dropped: Cell<u64>,
    /// Workers' heartbeats that were not answered for lack of authority or of a fresh view.
    pub heartbeats_refused: Cell<u64>,
    /// Users' requests that were told to come back because the view could not be refreshed.
    pub answers_refused: Cell<u64>,
    /// The least time that authority had left when a heartbeat was answered, in seconds.
    least_margin_s: Cell<Option<f64>>,
    longest_response_delay: LongestResponseDelay,
}

/// The instant at which what an answer rests on was checked, to be held against the one at which the answer
/// is written to its connection.
#[derive(Clone, Debug)]
pub struct AuthorityCheck {
    checked_at: Instant,
    longest_response_delay: LongestResponseDelay,
}

impl AuthorityCheck {
    /// Notes that the answer was written.
    pub fn record_response_written(&self) {
        let delay = self.checked_at.elapsed();
        self.longest_response_delay
            .set(self.longest_response_delay.get().max(delay));
    }
}

impl Counters {
    /// Counts one more.
    pub fn increment(counter: &Cell<u64>) {
        counter.set(counter.get() + 1);
    }

    /// Notes that a heartbeat was answered while authority had so much time left, in seconds.
    pub fn record_margin(&self, margin_s: f64) {
        let least_s = self.least_margin_s.get().unwrap_or(f64::MAX);
        self.least_margin_s.set(Some(least_s.min(margin_s)));
    }

    /// Notes that what an answer rests on is checked now.
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
