//! Submission of jobs.

use super::feasibility::{check_feasibility, Infeasible};
use super::job_state::{
    accepted_response, cached_entry, created_job_response, existing_job_response, look_up,
};
use crate::api::responses::{error_response, retry_later, too_many_requests};
use crate::controller::Controller;
use crate::freshness::refresh_view;
use http::server::Response;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use store::budget::RequestPriority;
use store::client::{StoreError, TxnOutcome, TOO_MANY_REQUESTS};
use store::keys;
use wire::cbor;
use wire::store::{from_value, to_value, Condition, JobRecord, Recorded, Txn, Write};
use wire::users::Job;

/// Time after which to retry a submission that the store itself refused, in seconds.
const STORE_REFUSAL_RETRY_S: f64 = 1.0;

/// Accepts a job, or responds with the reason why not.
pub async fn submit(controller: &Rc<Controller>, body: &[u8]) -> Response {
    if !is_loaded(controller) {
        return retry_later(
            controller,
            "this controller is still loading the jobs from the state service",
        );
    }
    if let Some(response) = repeat_response(controller, body).await {
        return response;
    }
    match check_submission(controller, body).await {
        Ok(job) => write_record(controller, job).await,
        Err(response) => response,
    }
}

fn is_loaded(controller: &Controller) -> bool {
    controller.lock().shared.view.is_complete()
}

/// The job id in a submission; other fields are ignored.
#[derive(serde::Deserialize)]
struct SubmittedId {
    #[serde(rename = "name_id")]
    id: String,
}

/// Responds to a submission whose job id is in the view already. It is taken for a repeat, whatever
/// else it contains, and answered with that job's state. Returns `None` for any other submission.
async fn repeat_response(controller: &Rc<Controller>, body: &[u8]) -> Option<Response> {
    let SubmittedId { id } = cbor::decode(body).ok()?;
    cached_entry(controller, &id)?;
    Some(match look_up(controller, &id).await {
        Ok(Some(entry)) => accepted_response(controller, 200, &id, &entry).await,
        Ok(None) => retry_later(
            controller,
            "this controller does not know the job's state yet",
        ),
        Err(response) => response,
    })
}

/// Decodes and checks a submission. Returns the job if it can run, or the response to send instead.
async fn check_submission(controller: &Rc<Controller>, body: &[u8]) -> Result<Job, Response> {
    let job: Job = cbor::decode(body).map_err(|error| {
        log::debug!("event=submission_malformed error=\"{error}\"");
        error_response(400, error.to_string())
    })?;
    job.check().map_err(|error| error_response(400, error))?;
    match check_against_catalog(controller, &job) {
        None => {
            return Err(retry_later(
                controller,
                "this controller has not read the machine types from the cloud yet",
            ))
        }
        Some(Err(reason)) => return Err(infeasible_response(controller, &job, reason).await),
        Some(Ok(())) => {}
    }
    check_dependencies(controller, &job).await?;
    Ok(job)
}

/// Checks whether a job can ever run. Returns `None` while the machine types have not been read
/// from the cloud.
fn check_against_catalog(controller: &Controller, job: &Job) -> Option<Result<(), Infeasible>> {
    let state = controller.lock();
    let machine_types = state.shared.catalog.as_ref()?;
    let value_bytes = controller.limits.value_bytes();
    Some(check_feasibility(
        job,
        &controller.config,
        machine_types,
        value_bytes,
    ))
}

/// Responds to a submission of a job that can never run. If the store has the job nevertheless,
/// because another controller accepted it, the submission is a repeat and is answered with the
/// job's state.
async fn infeasible_response(
    controller: &Rc<Controller>,
    job: &Job,
    reason: Infeasible,
) -> Response {
    let Job { id, team, .. } = job;
    match look_up(controller, id).await {
        Ok(Some(entry)) => accepted_response(controller, 200, id, &entry).await,
        Ok(None) => {
            log::info!("event=never_runs job={id} team={team} error=\"{reason}\"");
            error_response(422, reason.to_string())
        }
        Err(response) => response,
    }
}

/// Checks that all dependencies of a job have been accepted. If the view lacks a dependency, it is
/// refreshed first, since another controller may have accepted that job a moment ago.
async fn check_dependencies(controller: &Rc<Controller>, job: &Job) -> Result<(), Response> {
    if unknown_dependency(controller, job).is_none() {
        return Ok(());
    }
    if !is_loaded(controller) || !refresh_view(controller).await {
        return Err(retry_later(
            controller,
            "awaits: these jobs could not be looked up in the state service",
        ));
    }
    let Some(id) = unknown_dependency(controller, job) else {
        return Ok(());
    };
    // If another controller has accepted the job meanwhile, this submission is a repeat.
    Err(match cached_entry(controller, &job.id) {
        Some(entry) => accepted_response(controller, 200, &job.id, &entry).await,
        None => error_response(422, Infeasible::UnknownDependency(id).to_string()),
    })
}

/// Returns the first dependency of a job that is not in the view.
fn unknown_dependency(controller: &Controller, job: &Job) -> Option<String> {
    let state = controller.lock();
    let jobs = &state.shared.view.replica().jobs;
    let is_unknown = |id: &&String| !jobs.contains_key(id);
    job.dependencies.iter().find(is_unknown).cloned()
}

/// Writes a job's record and responds according to the outcome.
async fn write_record(controller: &Rc<Controller>, job: Job) -> Response {
    let id = job.id.clone();
    let record = JobRecord {
        state: Recorded::Open,
        created_ms: unix_ms(),
        job,
    };
    match controller
        .store
        .txn(&creation_txn(&record), RequestPriority::Submission)
        .await
    {
        Ok(TxnOutcome::Applied(version)) => apply_creation(controller, &id, record, version).await,
        Ok(TxnOutcome::Conflict(_)) | Err(StoreError::OutcomeUnknown(_)) => {
            read_back_record(controller, &id).await
        }
        Err(StoreError::Refused(TOO_MANY_REQUESTS)) => {
            log::debug!("event=submission_refused job={id} by=store");
            too_many_requests(STORE_REFUSAL_RETRY_S)
        }
        Err(StoreError::BudgetExhausted(retry_delay_s)) => {
            log::debug!("event=submission_refused job={id} again_s={retry_delay_s:.2}");
            too_many_requests(retry_delay_s)
        }
        Err(_) => {
            controller.record_store_health(false);
            retry_later(
                controller,
                "the state service has not confirmed the submission",
            )
        }
    }
}

/// Returns the transaction that creates a job on condition that no job has its id.
fn creation_txn(record: &JobRecord) -> Txn {
    let key = keys::job(&record.job.id);
    let value = to_value(record);
    Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: vec![Write::Put {
            key,
            value,
            lease: None,
        }],
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Applies a job's record that was written for this request, and responds with the job's state.
async fn apply_creation(
    controller: &Rc<Controller>,
    id: &str,
    record: JobRecord,
    version: u64,
) -> Response {
    controller.record_store_health(true);
    log::info!(
        "event=accepted job={id} class={} tasks={} team={} revision={version}",
        record.job.class,
        record.job.tasks,
        record.job.team
    );
    controller.apply_job_record(&mut controller.lock(), id, record, version);
    // A job that depends on a cancelled one is accepted nevertheless, and cancelled along with it.
    created_job_response(controller, id).await
}

/// Reads a job's record back after a conflict or an unknown outcome of its creation. Whether the
/// job was accepted is never guessed: it was accepted if the store has its record.
async fn read_back_record(controller: &Rc<Controller>, id: &str) -> Response {
    let Ok(Some(item)) = controller
        .store
        .get(&keys::job(id), RequestPriority::Decision)
        .await
    else {
        return retry_later(
            controller,
            "the submission is not confirmed: the job's record could not be read back",
        );
    };
    let Some(record) = from_value::<JobRecord>(&item.value) else {
        return retry_later(
            controller,
            "the job's record in the state service can't be decoded",
        );
    };
    controller.apply_job_record(&mut controller.lock(), id, record, item.version);
    existing_job_response(controller, id).await
}
