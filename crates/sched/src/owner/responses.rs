//! Whether a worker receives the answers to its heartbeats.

use wire::workers::Heartbeat;

/// A machine that lost this many answers in a row gets no more tasks until it is seen to get one.
const MAX_MISSED_RESPONSES: u32 = 2;

/// The place of a heartbeat in the order in which its worker sent it.
#[derive(Clone, Copy, Default, PartialEq, PartialOrd)]
pub(super) struct HeartbeatId {
    pub(super) incarnation: u64,
    pub(super) seq: u64,
}

impl HeartbeatId {
    pub(super) fn of(heartbeat: &Heartbeat) -> HeartbeatId {
        HeartbeatId {
            incarnation: heartbeat.incarnation,
            seq: heartbeat.seq,
        }
    }

    fn next(self) -> HeartbeatId {
        HeartbeatId {
            seq: self.seq + 1,
            ..self
        }
    }
}

/// Counts the answers that did not reach a worker.
///
/// Invariant: `missed` answers in a row, up to that of `last_answered`, were lost.
///
/// A worker that gets its answer stays, so that its next heartbeat comes here as well; one that does
/// not goes to the next controller first. What such a machine was to start it never will: this
/// heartbeat lacks it, and no later answer repeats it.
#[derive(Default)]
pub(super) struct ResponseTracker {
    /// The last heartbeat that was answered with orders; the default before there was any.
    last_answered: HeartbeatId,
    missed: u32,
}

impl ResponseTracker {
    /// A heartbeat is about to be answered with orders; its number tells whether the last answer
    /// arrived.
    pub(super) fn record_response(&mut self, id: HeartbeatId) {
        if self.last_answered != HeartbeatId::default() {
            self.missed = if id == self.last_answered.next() {
                0
            } else {
                self.missed + 1
            };
        }
        self.last_answered = id;
    }

    /// Whether answers don't reach the worker at present.
    pub(super) fn is_unreachable(&self) -> bool {
        self.missed >= MAX_MISSED_RESPONSES
    }
}
