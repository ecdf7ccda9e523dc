//! Confirmation that no task of a cancelled job will be started any more.
//!
//! The leader confirms a cancellation when all of this holds:
//!
//! - It starts no task of the job itself, since it knows the job to be terminal.
//! - Each owner with authority has confirmed that it processed the message about the job, if the owner
//!   may hold tasks of the job.
//! - The authority of all other controllers has ended: of owners whose connection was lost, and of
//!   earlier leaders and their owners.
//!
//! The caller has to ensure that this leader has authority when the confirmation is sent. Then any
//! later leader is elected after the cancellation was recorded, and its view contains it.

use super::{Action, Leader};
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::ToOwner;

/// A controller that waits until it may report a cancellation.
struct WaitingRequest {
    job: String,
    /// The controller that asked.
    requester: String,
    /// Number of the request to the owners that has to be confirmed; 0 if no owner holds tasks of the
    /// job.
    number: u64,
    since: Secs,
}

/// Requests of controllers for the confirmation of cancellations, and what owners have confirmed.
///
/// Invariant: `confirmed_upto` contains only connected owners, each with the newest request that it
/// has confirmed on its present connection.
#[derive(Default)]
pub(crate) struct CancellationConfirmations {
    newest_number: u64,
    confirmed_upto: BTreeMap<String, u64>,
    waiting: Vec<WaitingRequest>,
}

impl CancellationConfirmations {
    /// Forgets what an owner has confirmed, because its connection was lost.
    pub(super) fn on_owner_disconnected(&mut self, member: &str) {
        self.confirmed_upto.remove(member);
    }

    fn on_confirmed(&mut self, member: &str, number: u64) {
        let newest = self.confirmed_upto.entry(member.into()).or_default();
        *newest = number.max(*newest);
    }

    /// Keeps a controller's request for longer if it waits already. Returns whether it does.
    fn extend(&mut self, job: &str, requester: &str, now: Secs) -> bool {
        let mut waiting = self.waiting.iter_mut();
        let same = waiting.find(|request| request.job == job && request.requester == requester);
        if let Some(request) = same {
            request.since = now;
            return true;
        }
        false
    }

    /// Returns the newest request that all of these owners have confirmed.
    fn confirmed_by_all<'a>(&self, owners: impl Iterator<Item = &'a String>) -> u64 {
        let confirmed = owners.map(|owner| self.confirmed_upto.get(owner).copied().unwrap_or(0));
        confirmed.min().unwrap_or(self.newest_number)
    }

    /// Removes the requests up to a number and returns their jobs by controller.
    fn take_upto(&mut self, number: u64) -> BTreeMap<String, Vec<String>> {
        let mut confirmed: BTreeMap<String, Vec<String>> = BTreeMap::new();
        self.waiting.retain(|request| {
            let is_confirmed = request.number <= number;
            if is_confirmed {
                let jobs = confirmed.entry(request.requester.clone()).or_default();
                jobs.push(request.job.clone());
            }
            !is_confirmed
        });
        confirmed
    }

    /// Removes the requests of controllers that no longer need a confirmation, because enough time
    /// has passed since their cancellation was recorded.
    fn remove_expired(&mut self, retention_s: Secs, now: Secs) {
        self.waiting
            .retain(|request| now - request.since < retention_s);
    }
}

impl Leader {
    /// Handles a controller's request to confirm a cancellation that the store has recorded. The
    /// local replica of the store may not show it yet.
    pub fn confirm_cancellation(&mut self, job: &str, requester: &str, now: Secs) {
        if !self.confirmations.extend(job, requester, now) {
            let may_be_held_by_owners = self.on_cancellation_recorded(job);
            let number = if may_be_held_by_owners {
                self.request_owner_confirmations()
            } else {
                0
            };
            self.confirmations.waiting.push(WaitingRequest {
                job: job.into(),
                requester: requester.into(),
                number,
                since: now,
            });
        }
        self.send_confirmations(now);
    }

    /// Marks a cancelled job as terminal, whether or not this leader knows it. Returns whether owners
    /// may hold tasks of the job that have not started yet.
    fn on_cancellation_recorded(&mut self, id: &str) -> bool {
        let job = self.cluster.jobs.get(id);
        let may_be_held =
            job.is_some_and(|job| job.awaits_reconciliation || !job.active.is_empty());
        // The job may be unknown because it waits for its dependencies, or because the local replica
        // lacks it. A read that was sent before the cancellation was recorded must not add it.
        self.terminal_jobs.insert(id, self.last_tick_at);
        self.on_job_terminal(id);
        may_be_held
    }

    /// Asks all owners to confirm the messages about terminal jobs that were sent to them. Returns the
    /// number of the request.
    fn request_owner_confirmations(&mut self) -> u64 {
        self.confirmations.newest_number += 1;
        let n = self.confirmations.newest_number;
        for member in self.epochs.members().to_vec() {
            self.send(&member, ToOwner::ConfirmTerminal { n });
        }
        n
    }

    /// Repeats the request to the owners if controllers wait for it: at the begin of an epoch, since
    /// messages of the previous one may be lost, and when an owner has joined.
    pub fn repeat_confirmation_request(&mut self) {
        if !self.confirmations.waiting.is_empty() {
            self.request_owner_confirmations();
        }
    }

    /// Handles an owner's confirmation.
    pub(super) fn on_terminal_confirmed(&mut self, member: &str, n: u64, now: Secs) {
        self.confirmations.on_confirmed(member, n);
        self.send_confirmations(now);
    }

    /// Confirms the cancellations of which every controller that may start tasks knows.
    pub(super) fn send_confirmations(&mut self, now: Secs) {
        let retention_s = self.cluster.config.start_expiry_s();
        self.confirmations.remove_expired(retention_s, now);
        if self.confirmations.waiting.is_empty() || now < self.epochs.disconnected_granted_until() {
            return;
        }
        let confirmed = self
            .confirmations
            .confirmed_by_all(self.epochs.connected_members());
        for (requester, jobs) in self.confirmations.take_upto(confirmed) {
            self.actions
                .push(Action::ConfirmCancellations { requester, jobs });
        }
    }
}
