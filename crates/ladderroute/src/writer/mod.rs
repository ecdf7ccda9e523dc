//! The writer of the leader's decisions: packs them into few transactions, the most urgent
//! first, each on the condition that this is still the leader.

pub mod batch;
mod outcome;
pub mod pages;

pub use pages::RecordPages;

use crate::controller::Controller as Node;
use batch::{Batch, Urgency};
use http::within;
use outcome::Outcome;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::LeadershipLease;

/// Users expect the end of a job within this time (a figure of the protocol).
const DONE_TOLD_S: f64 = 3.0;
/// Part of that time for which ends of jobs and progress are collected for one transaction: each
/// takes one of the store's requests, however much it holds.
const COLLECT_SHARE: f64 = 1.0 / 12.0;

/// Writes decisions, one transaction after the other.
pub async fn writer(node: Rc<Node>) {
    let pause = Duration::from_secs_f64(node.config.heartbeat_s.min(1.0) / 10.0);
    let collect = Duration::from_secs_f64(DONE_TOLD_S * COLLECT_SHARE);
    let mut last = None::<Instant>;
    loop {
        let since = last.map_or(collect, |at| at.elapsed());
        if since < collect && !starts_wait(&node) {
            let _ = within(collect - since, node.writer_wake.1.recv()).await;
            continue;
        }
        let Some((batch, lease)) = next_batch(&node) else {
            let _ = node.writer_wake.1.recv().await;
            continue;
        };
        last = Some(Instant::now());
        let result = outcome::write(&node, &batch, &lease).await;
        let retry = matches!(result, Err(StoreError::Budget(_) | StoreError::Refused(_)));
        let overtaken = result.as_ref().is_ok_and(Outcome::is_overtaken);
        outcome::apply(&node, batch, result).await;
        if overtaken {
            // An earlier write of unknown outcome was carried out after all: see what it left.
            log::info!("event=write_overtaken");
            crate::freshness::read_once(&node).await;
        }
        if retry || overtaken {
            smol::Timer::after(pause).await;
        }
    }
}

/// Whether a decision waits that has to be durable before something starts.
fn starts_wait(node: &Node) -> bool {
    let state = node.lock();
    let Some(leadership) = &state.shared.leadership else {
        return true;
    };
    leadership
        .writes
        .iter()
        .any(|action| Urgency::of(action).holds_up_starts())
}

/// What is to be written next, and under which leadership.
fn next_batch(node: &Node) -> Option<(Batch, LeadershipLease)> {
    let mut guard = node.lock();
    let shared = &mut guard.shared;
    let leadership = shared.leadership.as_mut()?;
    let batch = batch::next_batch(
        &mut leadership.writes,
        &mut leadership.records,
        shared.view.replica(),
        &mut leadership.leader,
        leadership.limits,
    );
    (!batch.is_empty()).then(|| (batch, leadership.lease.clone()))
}
