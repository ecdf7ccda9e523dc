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
const DONE_REPORT_LIMIT_S: f64 = 3.0;
/// Part of that time for which ends of jobs and progress are collected for one transaction: each
/// takes one of the store's requests, however much it holds.
const COLLECTION_SHARE: f64 = 1.0 / 12.0;
/// Longest heartbeat interval by which the pause after a failure is measured, in seconds.
const MAX_PAUSE_INTERVAL_S: f64 = 1.0;
/// Parts of that interval of which the pause takes one.
const PAUSES_PER_INTERVAL: f64 = 10.0;

/// Writes decisions, one transaction after the other.
pub async fn run(controller: Rc<Controller>) {
    let mut last_write_at = None::<Instant>;
    loop {
        collect_decisions(&controller, last_write_at).await;
        let Some((batch, lease)) = next_batch(&controller) else {
            let _ = controller.writer_wake.1.recv().await;
            continue;
        };
        last_write_at = Some(Instant::now());
        if let NextWrite::AfterPause = write(&controller, batch, &lease).await {
            smol::Timer::after(failure_pause(&controller)).await;
        }
    }
}

/// When the next transaction may follow.
enum NextWrite {
    /// At once.
    Immediate,
    /// After a pause, since the last one was refused or overtaken.
    AfterPause,
}

fn failure_pause(controller: &Controller) -> Duration {
    Duration::from_secs_f64(
        controller.config.heartbeat_s.min(MAX_PAUSE_INTERVAL_S) / PAUSES_PER_INTERVAL,
    )
}

/// Waits while decisions may be collected for one transaction.
async fn collect_decisions(controller: &Controller, last_write_at: Option<Instant>) {
    while let Some(remaining) = remaining_collection_time(controller, last_write_at) {
        let _ = with_timeout(remaining, controller.writer_wake.1.recv()).await;
    }
}

/// For how long decisions may still be collected.
fn remaining_collection_time(
    controller: &Controller,
    last_write_at: Option<Instant>,
) -> Option<Duration> {
    let max_wait = Duration::from_secs_f64(DONE_REPORT_LIMIT_S * COLLECTION_SHARE);
    let elapsed = last_write_at.map_or(max_wait, |at| at.elapsed());
    let may_collect = elapsed < max_wait && !has_urgent_write(controller);
    may_collect.then(|| max_wait - elapsed)
}

/// Whether a decision waits that has to be durable before something starts.
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

/// What is to be written next, and under which leadership lease.
fn next_batch(controller: &Controller) -> Option<(Batch, LeadershipLease)> {
    let mut guard = controller.lock();
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
async fn write(controller: &Rc<Controller>, batch: Batch, lease: &LeadershipLease) -> NextWrite {
    let result = outcome::write(controller, &batch, lease).await;
    let is_refused = matches!(
        result,
        Err(StoreError::BudgetExhausted(_) | StoreError::Refused(_) | StoreError::NotSent(_))
    );
    let is_overtaken = result.as_ref().is_ok_and(Outcome::is_overtaken);
    outcome::apply(controller, batch, result).await;
    if is_overtaken {
        // An earlier write of unknown outcome was carried out after all: see what it left.
        log::info!("event=write_overtaken");
        crate::freshness::read_once(controller).await;
    }
    if is_refused || is_overtaken {
        NextWrite::AfterPause
    } else {
        NextWrite::Immediate
    }
}
