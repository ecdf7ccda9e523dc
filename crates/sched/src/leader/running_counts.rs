//! Numbers of running tasks per job, which controllers report to users.

use super::Leader;
use crate::Secs;
use wire::peers::ToOwner;

/// Minimum number of seconds between two messages with the numbers of running tasks.
const CHECK_INTERVAL_S: Secs = 1.0;

/// The numbers sent last and the time of the last check for changes.
pub(crate) struct RunningCounts {
    last_sent: Vec<(String, u32)>,
    checked_at: Secs,
}

impl RunningCounts {
    pub(crate) fn new(now: Secs) -> RunningCounts {
        RunningCounts {
            last_sent: Vec::new(),
            checked_at: now,
        }
    }

    /// Returns whether a check for changes is due and, if so, starts the next interval.
    pub(crate) fn take_due(&mut self, now: Secs) -> bool {
        let is_due = now - self.checked_at > CHECK_INTERVAL_S;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }
}

impl Leader {
    /// Sends the numbers of running tasks to all controllers if they have changed.
    pub(crate) fn send_running_counts(&mut self) {
        let counts = self.cluster.jobs.iter().map(|(id, job)| {
            let running = job.active.values().filter(|active| active.running);
            (id.clone(), running.count() as u32)
        });
        let running: Vec<(String, u32)> = counts.filter(|(_, count)| *count > 0).collect();
        if running == self.running_counts.last_sent {
            return;
        }
        let mut controllers: Vec<String> = self.epochs.connected().cloned().collect();
        controllers.push(self.member.clone());
        for controller in controllers {
            let running = running.clone();
            self.send(&controller, ToOwner::RunningCounts { running });
        }
        self.running_counts.last_sent = running;
    }
}
