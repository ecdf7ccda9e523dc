//! Submissions of jobs.

use super::feasibility::{check, Infeasible};
use super::job_state::{accepted, answer_created, answer_read, entry, look_up};
use crate::api::responses::{refuse, retry_later, too_many};
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

/// When to come back after the store itself refused a submission, in seconds.
const STORE_REFUSAL_S: f64 = 1.0;

/// Accepts a job, or says why not.
pub async fn submit(node: &Rc<Controller>, body: &[u8]) -> Response {
    if !is_loaded(node) {
        return retry_later(node, "not ready yet");
    }
    if let Some(response) = answer_repeat(node, body).await {
        return response;
    }
    match check_submission(node, body).await {
        Ok(job) => record(node, job).await,
        Err(response) => response,
    }
}

fn is_loaded(node: &Controller) -> bool {
    node.lock().shared.view.is_complete()
}

/// The name in a submission.
#[derive(serde::Deserialize)]
struct SubmittedId {
    #[serde(rename = "name_id")]
    id: String,
}

/// Answers a submission of a job that is in the view already with that job's state, whatever else the
/// submission says.
async fn answer_repeat(node: &Rc<Controller>, body: &[u8]) -> Option<Response> {
    let SubmittedId { id } = cbor::decode(body).ok()?;
    entry(node, &id)?;
    Some(match look_up(node, &id).await {
        Ok(Some(entry)) => accepted(node, 200, &id, &entry),
        Ok(None) => retry_later(node, "not ready yet"),
        Err(response) => response,
    })
}

/// The job that a submission asks for, if it can run; an error is the response to give instead.
async fn check_submission(node: &Rc<Controller>, body: &[u8]) -> Result<Job, Response> {
    let job: Job = cbor::decode(body).map_err(|error| {
        log::debug!("event=submission_malformed error=\"{error}\"");
        refuse(400, error.to_string())
    })?;
    job.check().map_err(|error| refuse(400, error))?;
    match check_feasible(node, &job) {
        None => return Err(retry_later(node, "the machine types are not known yet")),
        Some(Err(why)) => return Err(answer_infeasible(node, &job, why).await),
        Some(Ok(())) => {}
    }
    check_dependencies(node, &job).await?;
    Ok(job)
}

/// Whether a job can ever run; none while the machine types are not known.
fn check_feasible(node: &Controller, job: &Job) -> Option<Result<(), Infeasible>> {
    let state = node.lock();
    let machine_types = state.shared.catalog.as_ref()?;
    let value_bytes = node.limits.value_bytes();
    Some(check(job, &node.config, machine_types, value_bytes))
}

/// A job that can never run may be known to the store all the same, through another controller: then
/// this is a repeat.
async fn answer_infeasible(node: &Rc<Controller>, job: &Job, why: Infeasible) -> Response {
    let Job { id, team, .. } = job;
    match look_up(node, id).await {
        Ok(Some(entry)) => accepted(node, 200, id, &entry),
        Ok(None) => {
            log::info!("event=never_runs job={id} team={team} error=\"{why}\"");
            refuse(422, why.to_string())
        }
        Err(response) => response,
    }
}

/// Checks that all jobs that a submission names were accepted, as far as the store shows now: by any
/// controller, perhaps a moment ago.
async fn check_dependencies(node: &Rc<Controller>, job: &Job) -> Result<(), Response> {
    if unknown_dependency(node, job).is_none() {
        return Ok(());
    }
    if !is_loaded(node) || !refresh_view(node).await {
        return Err(retry_later(node, "the state service does not answer"));
    }
    let Some(id) = unknown_dependency(node, job) else {
        return Ok(());
    };
    // Accepted meanwhile through another controller: then this is a repeat.
    Err(match entry(node, &job.id) {
        Some(entry) => accepted(node, 200, &job.id, &entry),
        None => refuse(422, Infeasible::UnknownDependency(id).to_string()),
    })
}

/// The first job that a submission names and the view does not hold.
fn unknown_dependency(node: &Controller, job: &Job) -> Option<String> {
    let state = node.lock();
    let jobs = &state.shared.view.replica().jobs;
    let is_unknown = |id: &&String| !jobs.contains_key(id);
    job.dependencies.iter().find(is_unknown).cloned()
}

/// Writes a job's record, and answers by what the store decided.
async fn record(node: &Rc<Controller>, job: Job) -> Response {
    let id = job.id.clone();
    let record = JobRecord {
        state: Recorded::Open,
        created_ms: unix_ms(),
        job,
    };
    match node
        .store
        .txn(&creation(&record), RequestPriority::Submission)
        .await
    {
        Ok(TxnOutcome::Applied(version)) => confirm(node, &id, record, version).await,
        Ok(TxnOutcome::Conflict(_)) | Err(StoreError::OutcomeUnknown(_)) => {
            read_back(node, &id).await
        }
        Err(StoreError::Refused(TOO_MANY_REQUESTS)) => {
            log::debug!("event=submission_refused job={id} by=store");
            too_many(STORE_REFUSAL_S)
        }
        Err(StoreError::BudgetExhausted(again_s)) => {
            log::debug!("event=submission_refused job={id} again_s={again_s:.2}");
            too_many(again_s)
        }
        Err(_) => {
            node.record_store_health(false);
            retry_later(node, "the state service does not answer")
        }
    }
}

/// The transaction that creates a job, on the condition that there is none of its name.
fn creation(record: &JobRecord) -> Txn {
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

/// A job's record was written for this request.
async fn confirm(node: &Rc<Controller>, id: &str, record: JobRecord, version: u64) -> Response {
    node.record_store_health(true);
    log::info!(
        "event=accepted job={id} class={} tasks={} team={} revision={version}",
        record.job.class,
        record.job.tasks,
        record.job.team
    );
    node.apply_job_record(&mut node.lock(), id, record, version);
    // A job that names a cancelled one is accepted all the same, and cancelled with it.
    answer_created(node, id).await
}

/// Whether the job was accepted is never guessed: it is if the store has its record.
async fn read_back(node: &Rc<Controller>, id: &str) -> Response {
    let Ok(Some(item)) = node
        .store
        .get(&keys::job(id), RequestPriority::Decision)
        .await
    else {
        return retry_later(node, "the outcome is not known yet");
    };
    let Some(record) = from_value::<JobRecord>(&item.value) else {
        return retry_later(node, "the record can't be read");
    };
    node.apply_job_record(&mut node.lock(), id, record, item.version);
    answer_read(node, id).await
}
