//! Detection of workers that don't receive the responses to their heartbeats.

use wire::workers::Heartbeat;

/// A machine that missed this many consecutive responses gets no more tasks until a response has
/// reached it.
const MAX_MISSED_RESPONSES: u32 = 2;

/// Position of a heartbeat in the order in which its worker sent them.
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

/// Counts the responses that did not reach a worker.
///
/// A worker that receives a response sends its next heartbeat to this controller too; a worker that
/// does not receive it tries another controller first, so this controller sees a gap in the
/// sequence numbers. The worker never starts the tasks of the lost responses, as its heartbeat
/// lacks these tasks and no later response repeats their starts.
///
/// Invariant: the `missed` responses immediately before the response to `last_answered` were lost.
#[derive(Default)]
pub(super) struct ResponseTracker {
    /// The last heartbeat that got a response with orders; the default value before the first.
    last_answered: HeartbeatId,
    missed: u32,
}

impl ResponseTracker {
    /// Records that a heartbeat is about to get a response with orders. The heartbeat's sequence
    /// number shows whether the previous response arrived.
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

    /// Returns whether responses currently don't reach the worker.
    pub(super) fn is_unreachable(&self) -> bool {
        self.missed >= MAX_MISSED_RESPONSES
    }
}
