//! The only module that reports the state of a job to a user.
//!
//! No controller may report an older state of a job than another one has reported. A terminal state
//! is final and reported from memory. An open job is cancelled along with any of its ancestors, the
//! jobs on which it depends directly or indirectly, and its own record, however new, does not show
//! this. The state of an open job is therefore reported only from a view that was read after the
//! request arrived. Two cases need no such read:
//!
//! - A job without dependencies whose record was read or written for this request: it has no
//!   ancestors.
//! - A job that this request has just created: its state has never been reported before. Jobs that
//!   depend on it are held back in any case. And if the view is fresh enough for tasks to be
//!   started from it, it does not report a job as queued long after the cancellation of one of its
//!   ancestors was confirmed.
//!
//! A cancelled job is reported as such only when no controller starts a task of it any more. Until
//! then it is not reported at all, since another controller may have reported the cancellation.

use super::confirmation::wait_until_reportable;
use crate::api::responses::retry_later;
use crate::controller::Controller;
use crate::counters::Counters;
use crate::freshness::refresh_view;
use http::server::Response;
use std::rc::Rc;
use store::replica::JobEntry;
use wire::cbor;
use wire::store::Recorded;
use wire::users::{Accepted, JobState, Progress};

/// Returns a job's entry in the view, regardless of the view's age.
pub(super) fn cached_entry(controller: &Controller, id: &str) -> Option<JobEntry> {
    controller
        .lock()
        .shared
        .view
        .replica()
        .jobs
        .get(id)
        .cloned()
}

/// Returns a job's entry, recent enough to be reported now, or `None` if the job was never
/// accepted. An error is the response to send instead.
pub(super) async fn look_up(
    controller: &Rc<Controller>,
    id: &str,
) -> Result<Option<JobEntry>, Response> {
    if let Some(terminal) = cached_entry(controller, id).filter(is_terminal) {
        return Ok(Some(terminal));
    }
    if !refresh_view(controller).await {
        Counters::increment(&controller.counters.answers_refused);
        return Err(retry_later(
            controller,
            "the job's state could not be read from the state service",
        ));
    }
    Ok(cached_entry(controller, id))
}

/// Responds with the state of a job whose record was read from the store for this request.
pub(super) async fn existing_job_response(controller: &Rc<Controller>, id: &str) -> Response {
    if let Some(own) = cached_entry(controller, id).filter(record_suffices) {
        return accepted_response(controller, 200, id, &own).await;
    }
    refreshed_job_response(controller, 200, id).await
}

/// Responds with the state of a job whose record was written for this request.
pub(super) async fn created_job_response(controller: &Rc<Controller>, id: &str) -> Response {
    let is_fresh = controller.view_age() <= controller.config.max_start_staleness_s();
    let created = cached_entry(controller, id).filter(|entry| is_fresh || record_suffices(entry));
    if let Some(created) = created {
        return accepted_response(controller, 201, id, &created).await;
    }
    refreshed_job_response(controller, 201, id).await
}

async fn refreshed_job_response(controller: &Rc<Controller>, status: u16, id: &str) -> Response {
    match look_up(controller, id).await {
        Ok(Some(entry)) => accepted_response(controller, status, id, &entry).await,
        Ok(None) => retry_later(
            controller,
            "this controller does not know the job's state yet",
        ),
        Err(response) => response,
    }
}

fn is_terminal(entry: &JobEntry) -> bool {
    entry.state != Recorded::Open
}

/// Returns whether the job's own record determines its state: it is terminal, or the job has no
/// dependencies.
fn record_suffices(entry: &JobEntry) -> bool {
    let spec = entry.job.as_ref();
    spec.is_none_or(|spec| spec.dependencies.is_empty())
}

/// Returns the response to a submission or a cancellation, from an entry of the view.
pub(super) async fn accepted_response(
    controller: &Rc<Controller>,
    status: u16,
    id: &str,
    entry: &JobEntry,
) -> Response {
    if let Err(response) = wait_until_reportable(controller, id, entry).await {
        return response;
    }
    let state = state_of(controller, id, entry);
    log_answer(controller, status, id, state);
    let id = id.into();
    Response::new(status, cbor::encode(&Accepted { id, state }))
}

/// Returns the response to a query, from an entry of the view.
pub(super) async fn progress_response(
    controller: &Rc<Controller>,
    id: &str,
    entry: &JobEntry,
) -> Response {
    if let Err(response) = wait_until_reportable(controller, id, entry).await {
        return response;
    }
    let state = state_of(controller, id, entry);
    log_answer(controller, 200, id, state);
    let running = match state {
        JobState::Running => running_tasks(controller, id),
        _ => 0,
    };
    let progress = Progress {
        id: id.into(),
        state,
        done: entry.done_tasks(),
        running,
    };
    Response::new(200, cbor::encode(&progress))
}

/// Converts the state of an entry of the view to the one reported to users.
fn state_of(controller: &Controller, id: &str, entry: &JobEntry) -> JobState {
    match entry.state {
        Recorded::Done => JobState::Done,
        Recorded::Cancelled => JobState::Cancelled,
        Recorded::Open if running_tasks(controller, id) > 0 => JobState::Running,
        Recorded::Open => JobState::Queued,
    }
}

/// Returns the number of a job's running tasks, as last reported by the leader.
fn running_tasks(controller: &Controller, id: &str) -> u32 {
    controller
        .lock()
        .shared
        .running
        .get(id)
        .copied()
        .unwrap_or(0)
}

/// Logs a reported state with the revision and the age of the view.
fn log_answer(controller: &Controller, status: u16, id: &str, state: JobState) {
    if !log::log_enabled!(log::Level::Debug) {
        return;
    }
    let age_s = controller.view_age();
    let revision = controller.lock().shared.view.replica().revision;
    log::debug!(
        "event=answer job={id} status={status} state={state:?} revision={revision} view_age_s={age_s:.2}"
    );
}
