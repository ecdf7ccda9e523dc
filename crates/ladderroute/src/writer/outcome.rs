//! The outcome of a transaction, and what the leader makes of it.

use super::batch::Batch;
use crate::cluster_view::ClusterView;
use crate::controller::{Controller, Leadership, State};
use sched::leader::Action;
use sched::ranges::RangeSet;
use std::rc::Rc;
use store::budget::RequestPriority;
use store::client::{StoreError, TxnOutcome};
use store::keys::{self, KeyKind};
use store::leadership::{advance_token, leader_unchanged, LeadershipLease, NextToken};
use wire::store::{value_bytes, LeaderRecord, Txn, Write};

/// The status by which the store calls a transaction malformed.
const MALFORMED_STATUS: u16 = 400;

/// What the store decided.
pub enum Outcome {
    /// Written, at this revision.
    Written(u64),
    /// The conditions on these keys did not hold.
    Conflict(Vec<String>),
    /// A new fencing token was taken.
    Token {
        /// The token.
        token: u64,
        /// The version of the leader's key that holds it.
        version: u64,
    },
    /// This controller does not lead any more.
    LeadershipLost,
}

impl Outcome {
    /// Whether an earlier write of this leader was carried out late, so that the store does not
    /// hold what this leader takes it to hold.
    pub fn is_overtaken(&self) -> bool {
        let is_overtaken =
            |key: &String| !matches!(KeyKind::of(key), KeyKind::Job | KeyKind::Leader);
        matches!(self, Outcome::Conflict(failed) if failed.iter().any(is_overtaken))
    }
}

/// Writes a batch on the condition that this is still the leader.
pub async fn write(
    controller: &Rc<Controller>,
    batch: &Batch,
    lease: &LeadershipLease,
) -> Result<Outcome, StoreError> {
    if batch.issues_token() {
        return issue_token(controller, lease).await;
    }
    log::debug!(
        "event=write decisions={} writes={} roster_pages={} progress_pages={}",
        batch.actions.len(),
        batch.writes.len(),
        batch.roster_pages.len(),
        batch.progress_pages.len()
    );
    let txn = transaction(batch, lease);
    match controller
        .store
        .txn(&txn, RequestPriority::Decision)
        .await?
    {
        TxnOutcome::Applied(revision) => Ok(Outcome::Written(revision)),
        TxnOutcome::Conflict(failed)
            if failed.iter().any(|key| KeyKind::of(key) == KeyKind::Leader) =>
        {
            Ok(Outcome::LeadershipLost)
        }
        TxnOutcome::Conflict(failed) => Ok(Outcome::Conflict(failed)),
    }
}

/// Takes a new fencing token.
async fn issue_token(
    controller: &Rc<Controller>,
    lease: &LeadershipLease,
) -> Result<Outcome, StoreError> {
    let token = advance_token(&controller.store, &controller.settings.member, lease).await?;
    Ok(match token {
        Some(NextToken { token, version }) => Outcome::Token { token, version },
        None => Outcome::LeadershipLost,
    })
}

/// A batch as a transaction, on the condition that this is still the leader.
fn transaction(batch: &Batch, lease: &LeadershipLease) -> Txn {
    let still_leader = std::iter::once(leader_unchanged(lease.version));
    Txn {
        conditions: still_leader
            .chain(batch.conditions.iter().cloned())
            .collect(),
        writes: batch.writes.clone(),
    }
}

/// Tells the leader what became of its decisions.
pub async fn apply(controller: &Rc<Controller>, batch: Batch, result: Result<Outcome, StoreError>) {
    if let Err(error) = &result {
        log::debug!("event=write_failed error=\"{error}\"");
    }
    if matches!(result, Ok(Outcome::LeadershipLost)) {
        release_leadership(controller).await;
        return;
    }
    let mut guard = controller.lock();
    apply_as_leader(controller, &mut guard, batch, &result);
}

/// The same, where this controller still leads as far as it knows.
fn apply_as_leader(
    controller: &Rc<Controller>,
    state: &mut State,
    batch: Batch,
    result: &Result<Outcome, StoreError>,
) {
    let shared = &mut state.shared;
    let Some(leadership) = &mut shared.leadership else {
        return;
    };
    record_result(controller, &mut shared.view, leadership, &batch, result);
    let finished: Vec<String> = batch.actions.iter().filter_map(finished_job).collect();
    for action in batch.actions {
        apply_action(controller, leadership, action, result);
    }
    if leadership.records.has_dirty_pages() {
        let _ = controller.writer_wake.0.try_send(());
    }
    if let Ok(Outcome::Written(revision)) = result {
        // What waited for these jobs may start now, without waiting for the watch.
        for id in finished {
            let changes = shared.view.mark_job_done(&id, *revision);
            controller.notify_leader_of_changes(shared, changes);
        }
    }
    controller.exchange_messages(state);
}

/// Notes what the store holds now, and what it takes.
fn record_result(
    controller: &Controller,
    view: &mut ClusterView,
    leadership: &mut Leadership,
    batch: &Batch,
    result: &Result<Outcome, StoreError>,
) {
    match *result {
        Ok(Outcome::Written(revision)) => record_written(view, leadership, batch, revision),
        Ok(Outcome::Token { token, version }) => {
            leadership.lease.token = token;
            leadership.lease.version = version;
            let member = controller.settings.member.clone();
            view.set_leader(LeaderRecord { member, token }, version);
        }
        Err(StoreError::Refused(MALFORMED_STATUS)) => lower_limits(leadership, batch),
        _ => {}
    }
}

fn record_written(
    view: &mut ClusterView,
    leadership: &mut Leadership,
    batch: &Batch,
    revision: u64,
) {
    view.record_writes(&batch.writes, revision);
    let records = &mut leadership.records;
    records.mark_written(&batch.roster_pages, &batch.progress_pages);
    if let Some(part) = batch.partial_binding {
        records.set_bound_places(part.attempt, Some(part.places));
    }
}

fn finished_job(action: &Action) -> Option<String> {
    match action {
        Action::FinishJob { job } => Some(job.clone()),
        _ => None,
    }
}

/// The store calls a transaction malformed: its limits are lower than this controller was told. The
/// next ones hold less, so that what is too large stands alone and the rest is written.
fn lower_limits(leadership: &mut Leadership, batch: &Batch) {
    let sizes = batch.writes.iter().map(|write| match write {
        Write::Put { key, value, .. } => (value_bytes(value), key),
        Write::Delete { key } => (0, key),
    });
    let Some((bytes, key)) = sizes.max() else {
        return;
    };
    let writes = batch.writes.len();
    log::error!("event=write_refused key={key} bytes={bytes} writes={writes}");
    leadership.limits = leadership.limits.lowered(writes, bytes);
    leadership
        .records
        .lower_value_limit(leadership.limits.value_kb);
}

/// Ends the lease, so that the renewal finds it gone and the next leader can come.
async fn release_leadership(controller: &Rc<Controller>) {
    log::info!("event=leadership_lost");
    let lease = controller
        .lock()
        .shared
        .leadership
        .as_ref()
        .map(|leadership| leadership.lease.lease_id);
    if let Some(lease) = lease {
        let _ = controller.store.revoke(lease).await;
    }
}

/// Tells the leader what became of one decision.
fn apply_action(
    controller: &Controller,
    leadership: &mut Leadership,
    action: Action,
    result: &Result<Outcome, StoreError>,
) {
    let written = matches!(result, Ok(Outcome::Written(_)));
    match action {
        Action::IssueToken => {
            let token = match result {
                Ok(Outcome::Token { token, .. }) => Some(*token),
                _ => None,
            };
            leadership.leader.token_result(token, controller.now());
        }
        Action::Bind { job, attempt, .. } => {
            leadership.records.set_bound_places(attempt, None);
            leadership
                .leader
                .bind_result(&job, attempt, written, controller.now());
        }
        Action::FinishJob { job } => apply_finish(controller, leadership, job, result),
        Action::RecordStartedArrays(record) => {
            leadership.leader.start_record_result(&record, written)
        }
        Action::UpdateRoster(name, _) => leadership.leader.roster_result(&name, true, written),
        Action::RecordProgress {
            job,
            first_task,
            bits,
        } => {
            let mut done = RangeSet::default();
            done.insert_bitmap(
                first_task,
                &store::replica::decode_hex_bitmap(&bits),
                u32::MAX,
            );
            leadership
                .leader
                .progress_result(&job, first_task, written.then_some(&done));
        }
        Action::Send(..) | Action::Provision(_) | Action::Deprovision(_) => {}
    }
}

/// Of several ends of jobs, only those whose own condition failed have changed meanwhile: the
/// others are written again.
fn apply_finish(
    controller: &Controller,
    leadership: &mut Leadership,
    job: String,
    result: &Result<Outcome, StoreError>,
) {
    match result {
        Ok(Outcome::Written(_)) => {
            log::info!("event=done job={job}");
            leadership.leader.finish_result(&job, true);
        }
        Ok(Outcome::Conflict(failed)) if failed.contains(&keys::job(&job)) => {
            leadership.leader.finish_result(&job, false);
        }
        // Not at once again: the leader comes back to it, and what else waits is written meanwhile.
        Err(StoreError::Refused(MALFORMED_STATUS)) => leadership.leader.finish_result(&job, false),
        _ => {
            leadership
                .pending_writes
                .push_back(Action::FinishJob { job });
            let _ = controller.writer_wake.0.try_send(());
        }
    }
}
