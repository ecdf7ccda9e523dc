//! What an owner tells the leader, and when it shows the statuses of its machines.

use super::machines::Machines;
use crate::Secs;
use wire::peers::ToLeader;

/// Most machines in one message to the leader, so that it stays small.
const STATUSES_PER_MESSAGE: usize = 64;

/// Messages to the leader.
///
/// Invariant: messages leave in the order in which they were pushed, and statuses leave after all
/// messages that were pushed before they were due.
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

    /// Returns tasks, as (first, count) runs, that will not start here.
    pub(super) fn hand_back(&mut self, job: String, attempt: u64, tasks: Vec<(u32, u32)>) {
        self.push(ToLeader::HandBack {
            job,
            attempt,
            tasks,
        });
    }

    /// Forgets messages that are void under a new epoch.
    pub(super) fn clear(&mut self) {
        self.messages.clear();
    }

    /// What has changed is shown to the leader with the next messages.
    pub(super) fn mark_statuses_due(&mut self) {
        self.statuses_due = true;
    }

    /// Shows changes if they were collected for `every` seconds.
    pub(super) fn mark_statuses_due_every(&mut self, interval_s: Secs, now: Secs) {
        if now - self.last_due_at >= interval_s {
            self.last_due_at = now;
            self.mark_statuses_due();
        }
    }

    /// Takes all messages, with the statuses of changed machines if these are due.
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
