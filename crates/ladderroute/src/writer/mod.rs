//! The writer of the leader's decisions: packs them into few transactions, the most urgent
//! first, each on the condition that this is still the leader.
//!
//! - [`batch`]: what goes into the next transaction, each kind of decision by its own `join_*`.
//! - [`urgency`]: how soon a decision has to be durable.
//! - `limits`: what a transaction may hold.
//! - `pages`: records that share keys, the roster and the progress of jobs.
//! - `writes`: the single writes of a transaction.
//! - `outcome`: what the store decided, and what the leader makes of it.

pub mod batch;
pub mod limits;
mod outcome;
pub mod pages;
pub mod urgency;
mod writes;

use crate::controller::Controller;
use batch::Batch;
use http::with_timeout;
use outcome::Outcome;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::LeadershipLease;
use urgency::Urgency;

/// Users expect the end of a job within this time, in seconds (a figure of the protocol).
const DONE_TOLD_S: f64 = 3.0;
/// Part of that time for which ends of jobs and progress are collected for one transaction: each
/// takes one of the store's requests, however much it holds.
const COLLECT_SHARE: f64 = 1.0 / 12.0;
/// Longest heartbeat interval by which the pause after a failure is measured, in seconds.
const PAUSE_INTERVAL_MAX_S: f64 = 1.0;
/// Parts of that interval of which the pause takes one.
const PAUSE_PARTS: f64 = 10.0;

/// Writes decisions, one transaction after the other.
pub async fn writer(node: Rc<Controller>) {
    let mut last = None::<Instant>;
    loop {
        collect(&node, last).await;
        let Some((batch, lease)) = next_batch(&node) else {
            let _ = node.writer_wake.1.recv().await;
            continue;
        };
        last = Some(Instant::now());
        if let Next::AfterPause = write(&node, batch, &lease).await {
            smol::Timer::after(pause(&node)).await;
        }
    }
}

/// When the next transaction may follow.
enum Next {
    /// At once.
    AtOnce,
    /// After a pause, since the last one was refused or overtaken.
    AfterPause,
}

fn pause(node: &Controller) -> Duration {
    Duration::from_secs_f64(node.config.heartbeat_s.min(PAUSE_INTERVAL_MAX_S) / PAUSE_PARTS)
}

/// Waits while decisions may be collected for one transaction.
async fn collect(node: &Controller, last: Option<Instant>) {
    while let Some(remaining) = collect_time(node, last) {
        let _ = with_timeout(remaining, node.writer_wake.1.recv()).await;
    }
}

/// For how long decisions may still be collected.
fn collect_time(node: &Controller, last: Option<Instant>) -> Option<Duration> {
    let most = Duration::from_secs_f64(DONE_TOLD_S * COLLECT_SHARE);
    let since = last.map_or(most, |at| at.elapsed());
    let may_wait = since < most && !starts_wait(node);
    may_wait.then(|| most - since)
}

/// Whether a decision waits that has to be durable before something starts.
fn starts_wait(node: &Controller) -> bool {
    let state = node.lock();
    let Some(leadership) = &state.shared.leadership else {
        return true;
    };
    leadership
        .pending_writes
        .iter()
        .any(|action| Urgency::of(action).holds_up_starts())
}

/// What is to be written next, and under which leadership lease.
fn next_batch(node: &Controller) -> Option<(Batch, LeadershipLease)> {
    let mut guard = node.lock();
    let shared = &mut guard.shared;
    let leadership = shared.leadership.as_mut()?;
    let batch = batch::next_batch(
        &mut leadership.pending_writes,
        &mut leadership.records,
        shared.view.replica(),
        &mut leadership.leader,
        leadership.limits,
    );
    (!batch.is_empty()).then(|| (batch, leadership.lease.clone()))
}

/// Writes a batch and applies its outcome.
async fn write(node: &Rc<Controller>, batch: Batch, lease: &LeadershipLease) -> Next {
    let result = outcome::write(node, &batch, lease).await;
    let is_refused = matches!(
        result,
        Err(StoreError::BudgetExhausted(_) | StoreError::Refused(_) | StoreError::NotSent(_))
    );
    let is_overtaken = result.as_ref().is_ok_and(Outcome::is_overtaken);
    outcome::apply(node, batch, result).await;
    if is_overtaken {
        // An earlier write of unknown outcome was carried out after all: see what it left.
        log::info!("event=write_overtaken");
        crate::freshness::read_once(node).await;
    }
    if is_refused || is_overtaken {
        Next::AfterPause
    } else {
        Next::AtOnce
    }
}
