//! Cancellation of jobs.

use super::job_state::{accepted_response, cached_entry, look_up};
use crate::api::responses::{error_response, retry_later};
use crate::controller::Controller;
use http::server::Response;
use std::rc::Rc;
use store::budget::RequestPriority;
use store::client::{StoreError, TxnOutcome};
use store::keys;
use store::replica::JobEntry;
use wire::store::{from_value, to_value, Condition, JobRecord, Recorded, Txn, Write};
use wire::users::Job;

/// Maximum number of attempts to write a cancellation while the job's record keeps changing.
const MAX_ATTEMPTS: usize = 3;

/// Cancels a job unless it is terminal (done or cancelled) already, and responds with its state.
pub async fn cancel(controller: &Rc<Controller>, id: &str) -> Response {
    let entry = match look_up(controller, id).await {
        Ok(Some(entry)) => entry,
        Ok(None) => return error_response(404, "no such job"),
        Err(response) => return response,
    };
    match cancel_until_terminal(controller, id, entry).await {
        Ok(entry) => accepted_response(controller, 200, id, &entry).await,
        Err(response) => response,
    }
}

/// Tries to write the cancellation, at most `MAX_ATTEMPTS` times, until the job is terminal.
/// Returns the job's entry, or the error response to send.
async fn cancel_until_terminal(
    controller: &Rc<Controller>,
    id: &str,
    mut entry: JobEntry,
) -> Result<JobEntry, Response> {
    for _ in 0..MAX_ATTEMPTS {
        let Some(job) = open_job(&entry) else {
            return Ok(entry);
        };
        match write_cancellation(controller, id, &entry, &job).await? {
            CancelOutcome::Written => return known_entry(controller, id),
            CancelOutcome::Undecided => entry = reread_entry(controller, id).await?,
        }
    }
    Err(retry_later(
        controller,
        "no attempt to cancel the job could be confirmed",
    ))
}

/// Returns the job of an entry, or `None` if the job is terminal.
fn open_job(entry: &JobEntry) -> Option<Rc<Job>> {
    let job = entry.job.clone();
    job.filter(|_| entry.state == Recorded::Open)
}

/// Outcome of an attempt to write a cancellation.
enum CancelOutcome {
    /// The store has recorded the cancellation.
    Written,
    /// The job's record has changed since it was read, or the outcome is unknown.
    Undecided,
}

async fn write_cancellation(
    controller: &Rc<Controller>,
    id: &str,
    entry: &JobEntry,
    job: &Job,
) -> Result<CancelOutcome, Response> {
    let record = JobRecord::terminal(Recorded::Cancelled, entry.created_ms, job);
    let txn = replacement_txn(keys::job(id), entry.version, &record);
    match controller.store.txn(&txn, RequestPriority::Decision).await {
        Ok(TxnOutcome::Applied(version)) => {
            log::info!("event=cancelled job={id} revision={version}");
            controller.apply_job_record(&mut controller.lock(), id, record, version);
            Ok(CancelOutcome::Written)
        }
        Ok(TxnOutcome::Conflict(_)) | Err(StoreError::OutcomeUnknown(_)) => {
            Ok(CancelOutcome::Undecided)
        }
        Err(_) => Err(retry_later(
            controller,
            "the state service has not confirmed the cancellation",
        )),
    }
}

/// Returns the transaction that replaces a job's record on condition that it still has this
/// version.
fn replacement_txn(key: String, version: u64, record: &JobRecord) -> Txn {
    let value = to_value(record);
    Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version,
        }],
        writes: vec![Write::Put {
            key,
            value,
            lease: None,
        }],
    }
}

/// Reads a job's record from the store again. Returns its entry, or the error response to send.
async fn reread_entry(controller: &Rc<Controller>, id: &str) -> Result<JobEntry, Response> {
    let Ok(Some(item)) = controller
        .store
        .get(&keys::job(id), RequestPriority::Decision)
        .await
    else {
        return Err(retry_later(
            controller,
            "the cancellation is not confirmed: the job's record could not be read again",
        ));
    };
    if let Some(record) = from_value::<JobRecord>(&item.value) {
        controller.apply_job_record(&mut controller.lock(), id, record, item.version);
    }
    known_entry(controller, id)
}

/// Returns a job's entry in the view, or the error response to send if there is none.
fn known_entry(controller: &Controller, id: &str) -> Result<JobEntry, Response> {
    cached_entry(controller, id).ok_or_else(|| {
        retry_later(
            controller,
            "this controller does not know the job's state yet",
        )
    })
}
