//! The requests that wait for a freshness read, and whether one is under way.

use smol::channel::{Receiver, Sender};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Freshness reads of this controller.
#[derive(Default)]
pub struct FreshnessReads {
    waiting: RefCell<Vec<Sender<bool>>>,
    is_serving: Cell<bool>,
    /// When the newest freshness read was answered.
    answered_at: Cell<Option<Instant>>,
}

impl FreshnessReads {
    /// Queues a request: where it is told whether the view is fresh, and whether it has to start the
    /// task that serves the queue.
    pub fn enqueue(&self) -> (Receiver<bool>, bool) {
        let (sender, result) = smol::channel::bounded(1);
        self.waiting.borrow_mut().push(sender);
        (result, !self.is_serving.replace(true))
    }

    /// The requests that the next read serves; none ends the serving task.
    pub fn take_waiting(&self) -> Option<Vec<Sender<bool>>> {
        let waiting = self.waiting.take();
        if waiting.is_empty() {
            self.is_serving.set(false);
            return None;
        }
        Some(waiting)
    }

    /// A freshness read was answered just now.
    pub fn record_answered(&self) {
        self.answered_at.set(Some(Instant::now()));
    }

    /// Whether freshness reads follow each other at least this closely, as when many users ask.
    pub fn answered_within(&self, interval: Duration) -> bool {
        self.answered_at
            .get()
            .is_some_and(|at| at.elapsed() < interval)
    }
}
