//! The queue of requests that wait for a freshness read, a short read of the store's changes.

use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// The requests of one controller that wait for a freshness read, and when the store last answered
/// such a read.
#[derive(Default)]
pub struct FreshnessReads {
    /// Channels to the waiting requests; each receives whether the view is fresh.
    waiting: RefCell<Vec<Sender<bool>>>,
    /// Whether a task that serves the queue is running.
    is_serving: Cell<bool>,
    /// When the store last answered a freshness read.
    answered_at: Cell<Option<Instant>>,
}

impl FreshnessReads {
    /// Queues a request. Returns the channel that reports whether the view is fresh, and whether
    /// the caller has to start the task that serves the queue.
    pub fn enqueue(&self) -> (Receiver<bool>, bool) {
        let (sender, result) = smol::channel::bounded(1);
        self.waiting.borrow_mut().push(sender);
        (result, !self.is_serving.replace(true))
    }

    /// Takes all waiting requests, which the next read serves. Returns `None` if there are none;
    /// the serving task then ends.
    pub fn take_waiting(&self) -> Option<Vec<Sender<bool>>> {
        let waiting = self.waiting.take();
        if waiting.is_empty() {
            self.is_serving.set(false);
            return None;
        }
        Some(waiting)
    }

    /// Records that the store has just answered a freshness read.
    pub fn record_answered(&self) {
        self.answered_at.set(Some(Instant::now()));
    }

    /// Returns whether the last freshness read was answered less than `interval` ago, as is the
    /// case while many users send requests.
    pub fn answered_within(&self, interval: Duration) -> bool {
        self.answered_at
            .get()
            .is_some_and(|at| at.elapsed() < interval)
    }
}
