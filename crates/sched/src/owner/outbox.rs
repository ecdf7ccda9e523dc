//! Messages from an owner to the leader, including the statuses of machines, which are sent in
//! batches.

use super::machines::Machines;
use crate::Secs;
use wire::peers::ToLeader;

/// Maximum number of machines in one message to the leader, which keeps messages small.
const STATUSES_PER_MESSAGE: usize = 64;

/// Messages to the leader that have not been sent.
///
/// Invariant: messages are sent in the order in which they were pushed, and machine statuses after
/// all messages that were pushed before the statuses became due.
pub(super) struct Outbox {
    messages: Vec<ToLeader>,
    statuses_due: bool,
    last_due_at: Secs,
}

impl Outbox {
    pub(super) fn new() -> Outbox {
        Outbox {
            messages: Vec::new(),
            statuses_due: false,
            last_due_at: f64::MIN,
        }
    }

    pub(super) fn push(&mut self, message: ToLeader) {
        self.messages.push(message);
    }

    /// Hands tasks that will not start on this shard back to the leader. `tasks` holds their
    /// indexes as (first, count) runs.
    pub(super) fn hand_back(&mut self, job: String, attempt: u64, tasks: Vec<(u32, u32)>) {
        self.push(ToLeader::HandBack {
            job,
            attempt,
            tasks,
        });
    }

    /// Discards the messages, which are not valid in a new epoch.
    pub(super) fn clear(&mut self) {
        self.messages.clear();
    }

    /// Includes changed statuses in the next messages to the leader.
    pub(super) fn mark_statuses_due(&mut self) {
        self.statuses_due = true;
    }

    /// Marks the statuses as due if `interval_s` seconds have passed since this method last did so.
    pub(super) fn mark_statuses_due_every(&mut self, interval_s: Secs, now: Secs) {
        if now - self.last_due_at >= interval_s {
            self.last_due_at = now;
            self.mark_statuses_due();
        }
    }

    /// Removes and returns all messages, followed by the statuses of changed machines if statuses
    /// are due (see `mark_statuses_due`).
    pub(super) fn drain(&mut self, token: u64, machines: &mut Machines) -> Vec<ToLeader> {
        if std::mem::take(&mut self.statuses_due) {
            let mut statuses = machines.changed_statuses(token).into_iter().peekable();
            while statuses.peek().is_some() {
                let batch = statuses.by_ref().take(STATUSES_PER_MESSAGE).collect();
                self.push(ToLeader::MachineStatuses(batch));
            }
        }
        std::mem::take(&mut self.messages)
    }
}
