//! Executes transactions and reports their outcomes to the leader.

use super::batch::Batch;
use crate::cluster_view::ClusterView;
use crate::controller::{Controller, Leadership, State};
use sched::leader::Action;
use sched::ranges::RangeSet;
use std::rc::Rc;
use store::budget::RequestPriority;
use store::client::{StoreError, TxnOutcome};
use store::keys::{self, KeyKind};
use store::leadership::{
    advance_token, leader_unchanged, read_leader_key, LeaderKey, LeadershipLease, NextToken,
};
use wire::store::{value_bytes, LeaderRecord, Txn, Write};

/// HTTP status with which the store refuses a malformed transaction.
const MALFORMED_STATUS: u16 = 400;

/// Outcome of a transaction as decided by the store.
pub enum Outcome {
    /// The transaction was applied at this revision.
    Written(u64),
    /// The transaction was not applied, because the conditions on these keys did not hold.
    Conflict(Vec<String>),
    /// A new fencing token was issued.
    Token {
        /// New fencing token.
        token: u64,
        /// Version of the leader's key that contains the token.
        version: u64,
    },
    /// It is unknown what the leader's key holds: a write to it got no answer, or there was a
    /// conflict on it, and reading it back has failed.
    LeaderUnresolved,
    /// This controller is no longer the leader.
    LeadershipLost,
}

impl Outcome {
    /// Returns whether an earlier write of this leader was applied late, so that the store differs
    /// from what this leader assumes.
    pub fn is_overtaken(&self) -> bool {
        let is_own_record =
            |key: &String| !matches!(KeyKind::of(key), KeyKind::Job | KeyKind::Leader);
        matches!(self, Outcome::Conflict(failed) if failed.iter().any(is_own_record))
    }
}

/// Whether this leader knows what the leader's key holds, on which all its writes are conditional.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderKeyKnowledge {
    /// The key is as its last answered write left it.
    Known,
    /// The outcome of a write to the key is unknown. The key is read before anything else is written.
    Unresolved,
}

/// Writes a batch on the condition that this controller is still the leader.
pub async fn write(
    controller: &Rc<Controller>,
    batch: &Batch,
    lease: &LeadershipLease,
    leader_key: LeaderKeyKnowledge,
) -> Result<Outcome, StoreError> {
    if leader_key == LeaderKeyKnowledge::Unresolved {
        let outcome = resolve_leader_key(controller, lease).await;
        if let Some(outcome) = outcome {
            return Ok(outcome);
        }
    }
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
            // The loss of the leadership is never inferred from the conflict alone, which may come
            // from a late write of this leader.
            let outcome = resolve_leader_key(controller, lease).await;
            Ok(outcome.unwrap_or(Outcome::LeaderUnresolved))
        }
        TxnOutcome::Conflict(failed) => Ok(Outcome::Conflict(failed)),
    }
}

/// Reads what the leader's key holds. Returns `None` if it is as this leader last knew it.
async fn resolve_leader_key(
    controller: &Rc<Controller>,
    lease: &LeadershipLease,
) -> Option<Outcome> {
    let member = &controller.settings.member;
    match read_leader_key(&controller.store, member, lease).await {
        Ok(LeaderKey::Unchanged) => None,
        Ok(LeaderKey::Advanced(NextToken { token, version })) => {
            Some(Outcome::Token { token, version })
        }
        Ok(LeaderKey::Lost) => Some(Outcome::LeadershipLost),
        Err(_) => Some(Outcome::LeaderUnresolved),
    }
}

/// Issues a new fencing token.
async fn issue_token(
    controller: &Rc<Controller>,
    lease: &LeadershipLease,
) -> Result<Outcome, StoreError> {
    match advance_token(&controller.store, &controller.settings.member, lease).await {
        Ok(Some(NextToken { token, version })) => Ok(Outcome::Token { token, version }),
        Ok(None) => Ok(Outcome::LeadershipLost),
        Err(StoreError::OutcomeUnknown(error)) => {
            log::info!("event=token_unresolved error=\"{error}\"");
            Ok(Outcome::LeaderUnresolved)
        }
        Err(error) => Err(error),
    }
}

/// Returns the transaction of a batch, on the condition that this controller is still the leader.
fn transaction(batch: &Batch, lease: &LeadershipLease) -> Txn {
    let still_leader = std::iter::once(leader_unchanged(lease.version));
    Txn {
        conditions: still_leader
            .chain(batch.conditions.iter().cloned())
            .collect(),
        writes: batch.writes.clone(),
    }
}

/// Reports the outcome of a batch to the leader.
pub fn apply(controller: &Rc<Controller>, batch: Batch, result: &Result<Outcome, StoreError>) {
    if let Err(error) = result {
        log::debug!("event=write_failed error=\"{error}\"");
    }
    let mut guard = controller.lock();
    apply_as_leader(controller, &mut guard, batch, result);
}

/// Applies an outcome unless this controller has stopped leading. A controller that has lost the
/// leadership without knowing it yet still applies the outcome.
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
        // Jobs that depend on the finished ones may start now, before the watch reports the change.
        for id in finished {
            let changes = shared.view.mark_job_done(&id, *revision);
            controller.notify_leader_of_changes(shared, changes);
        }
    }
    controller.exchange_messages(state);
}

/// Records what the store contains after the write, or lowers the limits of transactions if the
/// store has refused it as malformed.
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

/// Lowers the limits after the store has refused a transaction as malformed, which means that its
/// limits are lower than configured here. Later transactions are smaller, so that a value that is
/// too large ends up alone and the rest is written.
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
    leadership.txn_limits = leadership.txn_limits.lowered(writes, bytes);
    leadership
        .records
        .lower_value_limit(leadership.txn_limits.value_kb);
}

/// Reports the outcome of one decision to the leader.
fn apply_action(
    controller: &Controller,
    leadership: &mut Leadership,
    action: Action,
    result: &Result<Outcome, StoreError>,
) {
    let written = matches!(result, Ok(Outcome::Written(_)));
    match action {
        Action::IssueToken => match result {
            Ok(Outcome::Token { token, .. }) => leadership
                .leader
                .on_token_result(Some(*token), controller.now()),
            // The token may have been written nevertheless. The decision stays pending, ahead of
            // all others, until the store's answer is known.
            _ => leadership.pending_writes.push_back(Action::IssueToken),
        },
        Action::Bind { job, attempt, .. } => {
            leadership.records.set_bound_places(attempt, None);
            leadership
                .leader
                .on_bind_result(&job, attempt, written, controller.now());
        }
        Action::FinishJob { job } => apply_finish(controller, leadership, job, result),
        Action::RecordStartedArrays(record) => {
            leadership.leader.on_start_record_result(&record, written)
        }
        Action::UpdateRoster(name, _) => leadership.leader.on_roster_result(&name, true, written),
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
                .on_progress_result(&job, first_task, written.then_some(&done));
        }
        Action::Send(..)
        | Action::ConfirmCancellations { .. }
        | Action::Provision(_)
        | Action::Deprovision(_) => {}
    }
}

/// Reports whether the final state of a job was written. A batch fails as a whole: a job is reported
/// as not written if the condition on its own record failed, since that record has changed in the
/// meantime; the final states of the other jobs are written again.
fn apply_finish(
    controller: &Controller,
    leadership: &mut Leadership,
    job: String,
    result: &Result<Outcome, StoreError>,
) {
    match result {
        Ok(Outcome::Written(_)) => {
            log::info!("event=done job={job}");
            leadership.leader.on_finish_result(&job, true);
        }
        Ok(Outcome::Conflict(failed)) if failed.contains(&keys::job(&job)) => {
            leadership.leader.on_finish_result(&job, false);
        }
        // Not retried immediately: the leader decides it again later, and other pending decisions
        // are written first.
        Err(StoreError::Refused(MALFORMED_STATUS)) => {
            leadership.leader.on_finish_result(&job, false)
        }
        _ => {
            leadership
                .pending_writes
                .push_back(Action::FinishJob { job });
            let _ = controller.writer_wake.0.try_send(());
        }
    }
}
