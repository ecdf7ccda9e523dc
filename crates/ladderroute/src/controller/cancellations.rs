//! Cancellations that this controller may report to users, and the requests that wait for that.

use sched::cancellation::CancellationGate;
use sched::config::SchedulerConfig;
use sched::Secs;
use smol::channel::{Receiver, Sender};
use std::collections::BTreeMap;

/// Which cancellations may be reported, and which users' requests wait until they may.
pub struct Cancellations {
    gate: CancellationGate,
    /// Channels to the waiting requests by job; each receives a message when the leader has confirmed
    /// the job's cancellation.
    waiting: BTreeMap<String, Vec<Sender<()>>>,
}

impl Cancellations {
    /// Creates the state of a controller that has not read the store yet.
    pub fn new(config: &SchedulerConfig) -> Cancellations {
        Cancellations {
            gate: CancellationGate::new(config),
            waiting: BTreeMap::new(),
        }
    }

    /// Records that the store has reached a revision by `now`.
    pub fn record_revision(&mut self, revision: u64, now: Secs) {
        self.gate.record_revision(revision, now);
    }

    /// Returns how much longer a cancellation that was recorded at a revision may not be reported,
    /// unless the leader confirms it; 0 if it may be reported now.
    pub fn remaining_s(&self, job: &str, revision: u64, now: Secs) -> Secs {
        self.gate.remaining_s(job, revision, now)
    }

    /// Adds a request that waits for the confirmation of a job's cancellation. Returns the channel
    /// that reports it, and whether no other request waits for it yet.
    pub fn wait_for_confirmation(&mut self, job: &str) -> (Receiver<()>, bool) {
        self.remove_abandoned();
        let is_first = !self.waiting.contains_key(job);
        let (sender, confirmed) = smol::channel::bounded(1);
        self.waiting.entry(job.into()).or_default().push(sender);
        (confirmed, is_first)
    }

    /// Removes the requests that no longer wait.
    fn remove_abandoned(&mut self) {
        self.waiting.retain(|_, requests| {
            requests.retain(|request| !request.is_closed());
            !requests.is_empty()
        });
    }

    /// Returns the jobs for whose confirmation requests wait.
    pub fn waiting_jobs(&mut self) -> Vec<String> {
        self.remove_abandoned();
        self.waiting.keys().cloned().collect()
    }

    /// Records that the leader has confirmed cancellations, and notifies the requests that wait for
    /// them.
    pub fn on_confirmed(&mut self, jobs: &[String], now: Secs) {
        for job in jobs {
            self.gate.record_confirmation(job, now);
            for request in self.waiting.remove(job).into_iter().flatten() {
                let _ = request.try_send(());
            }
        }
    }
}
