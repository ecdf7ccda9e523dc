//! Writer of the leader's decisions: packs them into few transactions, the most urgent first, each
//! on the condition that this controller is still the leader.
//!
//! - [`batch`]: selects what goes into the next transaction, with one `add_*` method for each kind
//!   of decision.
//! - [`urgency`]: how soon a decision has to be durable.
//! - [`limits`]: limits of a transaction.
//! - [`pages`]: small records that share keys: the roster and the progress of jobs.
//! - `writes`: single writes of a transaction.
//! - `outcome`: executes a transaction and reports its outcome to the leader.

pub mod batch;
pub mod limits;
mod outcome;
pub mod pages;
pub mod urgency;
mod writes;

use crate::controller::Controller;
use batch::Batch;
use http::with_timeout;
use outcome::{LeaderKeyKnowledge, Outcome};
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::{LeadershipEnd, LeadershipLease};
use urgency::Urgency;

/// Time within which users expect to learn that a job has ended, in seconds; set by the protocol.
const DONE_REPORT_LIMIT_S: f64 = 3.0;
/// Fraction of `DONE_REPORT_LIMIT_S` for which ends of jobs and progress are collected for one
/// transaction, since each transaction costs one store request regardless of its size.
const COLLECTION_SHARE: f64 = 1.0 / 12.0;
/// The pause after a failure is the heartbeat interval, at most this many seconds, divided by
/// `PAUSES_PER_INTERVAL`.
const MAX_PAUSE_INTERVAL_S: f64 = 1.0;
/// Divisor of the heartbeat interval that gives the pause after a failure.
const PAUSES_PER_INTERVAL: f64 = 10.0;

/// Writes decisions, one transaction after another, until the outcome of one shows that the
/// leadership has to end.
pub async fn run(controller: Rc<Controller>) -> LeadershipEnd {
    let mut last_write_at = None::<Instant>;
    let mut unresolved_since = None::<Instant>;
    loop {
        collect_decisions(&controller, last_write_at).await;
        let Some((batch, lease)) = next_batch(&controller) else {
            let _ = controller.writer_wake.1.recv().await;
            continue;
        };
        last_write_at = Some(Instant::now());
        let leader_key = match unresolved_since {
            None => LeaderKeyKnowledge::Known,
            Some(_) => LeaderKeyKnowledge::Unresolved,
        };
        let written = write(&controller, batch, &lease, leader_key).await;
        match written {
            WriteResult::LeadershipLost => return LeadershipEnd::KeyLost,
            WriteResult::LeaderUnresolved => {
                unresolved_since.get_or_insert_with(Instant::now);
            }
            WriteResult::Answered | WriteResult::Overtaken => unresolved_since = None,
            WriteResult::Refused => {}
        }
        if is_unresolved_too_long(&controller, &mut unresolved_since) {
            return LeadershipEnd::Unresolved;
        }
        if written != WriteResult::Answered {
            smol::Timer::after(failure_pause(&controller)).await;
        }
    }
}

/// Result of a write, as far as it matters for when the next one may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteResult {
    /// The store has answered, or the outcome is unknown but does not concern the leader's key.
    Answered,
    /// The write was not executed.
    Refused,
    /// The write failed because an earlier one was applied late.
    Overtaken,
    /// It is unknown what the leader's key holds.
    LeaderUnresolved,
    /// This controller is no longer the leader.
    LeadershipLost,
}

/// Returns whether the content of the leader's key has been unknown for a whole lease although
/// renewals succeed. While they fail, authority ends by itself and nothing is gained by giving the
/// lease up.
fn is_unresolved_too_long(controller: &Controller, since: &mut Option<Instant>) -> bool {
    let Some(since) = since else {
        return false;
    };
    let authority_until = controller.lock().owner.authority.until();
    if authority_until <= controller.now() {
        *since = Instant::now();
    }
    since.elapsed() > controller.leader_lease_ttl()
}

fn failure_pause(controller: &Controller) -> Duration {
    Duration::from_secs_f64(
        controller.config.heartbeat_s.min(MAX_PAUSE_INTERVAL_S) / PAUSES_PER_INTERVAL,
    )
}

/// Waits as long as more decisions may be collected for the next transaction.
async fn collect_decisions(controller: &Controller, last_write_at: Option<Instant>) {
    while let Some(remaining) = remaining_collection_time(controller, last_write_at) {
        let _ = with_timeout(remaining, controller.writer_wake.1.recv()).await;
    }
}

/// Returns how much longer decisions may be collected, or `None` if the next transaction has to be
/// sent now.
fn remaining_collection_time(
    controller: &Controller,
    last_write_at: Option<Instant>,
) -> Option<Duration> {
    let max_wait = Duration::from_secs_f64(DONE_REPORT_LIMIT_S * COLLECTION_SHARE);
    let elapsed = last_write_at.map_or(max_wait, |at| at.elapsed());
    let may_collect = elapsed < max_wait && !has_urgent_write(controller);
    may_collect.then(|| max_wait - elapsed)
}

/// Returns whether a pending decision has to be durable before something can start, or this
/// controller does not lead.
fn has_urgent_write(controller: &Controller) -> bool {
    let state = controller.lock();
    let Some(leadership) = &state.shared.leadership else {
        return true;
    };
    leadership
        .pending_writes
        .iter()
        .any(|action| Urgency::of(action).blocks_starts())
}

/// Returns the next batch, if there is anything to write, and the leadership lease under which it
/// is written.
fn next_batch(controller: &Controller) -> Option<(Batch, LeadershipLease)> {
    let mut guard = controller.lock();
    let shared = &mut guard.shared;
    let leadership = shared.leadership.as_mut()?;
    let batch = batch::next_batch(
        &mut leadership.pending_writes,
        &mut leadership.records,
        shared.view.replica(),
        &mut leadership.leader,
        leadership.txn_limits,
    );
    (!batch.is_empty()).then(|| (batch, leadership.lease.clone()))
}

/// Writes a batch and applies its outcome.
async fn write(
    controller: &Rc<Controller>,
    batch: Batch,
    lease: &LeadershipLease,
    leader_key: LeaderKeyKnowledge,
) -> WriteResult {
    let result = outcome::write(controller, &batch, lease, leader_key).await;
    if matches!(result, Ok(Outcome::LeadershipLost)) {
        return WriteResult::LeadershipLost;
    }
    outcome::apply(controller, batch, &result);
    match result {
        Err(StoreError::BudgetExhausted(_) | StoreError::Refused(_) | StoreError::NotSent(_)) => {
            WriteResult::Refused
        }
        Ok(Outcome::LeaderUnresolved) => WriteResult::LeaderUnresolved,
        Ok(outcome) if outcome.is_overtaken() => {
            // An earlier write with an unknown outcome was applied after all: read its effects.
            log::info!("event=write_overtaken");
            crate::freshness::read_once(controller).await;
            WriteResult::Overtaken
        }
        Ok(_) | Err(_) => WriteResult::Answered,
    }
}
