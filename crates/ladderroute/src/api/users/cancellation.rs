//! Cancellations of jobs.

use super::job_state::{accepted, entry, look_up};
use crate::api::responses::{refuse, retry_later};
use crate::controller::Controller;
use http::server::Response;
use std::rc::Rc;
use store::budget::RequestPriority;
use store::client::{StoreError, TxnOutcome};
use store::keys;
use store::replica::JobEntry;
use wire::peers::{encode_frame, ToLeader};
use wire::store::{from_value, to_value, Condition, JobRecord, Recorded, Txn, Write};
use wire::users::Job;

/// How often a cancellation is written while the job's record changes meanwhile.
const ATTEMPTS: usize = 3;

/// Cancels a job, unless it is terminal already, and answers with its state.
pub async fn cancel(node: &Rc<Controller>, id: &str) -> Response {
    let found = match look_up(node, id).await {
        Ok(Some(entry)) => entry,
        Ok(None) => return refuse(404, "no such job"),
        Err(response) => return response,
    };
    match cancel_entry(node, id, found).await {
        Ok(entry) => accepted(node, 200, id, &entry),
        Err(response) => response,
    }
}

/// Writes the cancellation until the job is terminal; an error is the response to give instead.
async fn cancel_entry(
    node: &Rc<Controller>,
    id: &str,
    mut found: JobEntry,
) -> Result<JobEntry, Response> {
    for _ in 0..ATTEMPTS {
        let Some(job) = open_job(&found) else {
            return Ok(found);
        };
        match write_cancellation(node, id, &found, &job).await? {
            Cancellation::Written => {
                found.state = Recorded::Cancelled;
                return Ok(found);
            }
            Cancellation::Undecided => found = read_again(node, id).await?,
        }
    }
    Err(retry_later(node, "the job changes at present"))
}

/// The job of an entry that is not terminal.
fn open_job(entry: &JobEntry) -> Option<Rc<Job>> {
    let job = entry.job.clone();
    job.filter(|_| entry.state == Recorded::Open)
}

/// What became of a cancellation.
enum Cancellation {
    /// It is in the store.
    Written,
    /// The job's record has changed meanwhile, or the outcome is not known.
    Undecided,
}

async fn write_cancellation(
    node: &Rc<Controller>,
    id: &str,
    found: &JobEntry,
    job: &Job,
) -> Result<Cancellation, Response> {
    let record = JobRecord::terminal(Recorded::Cancelled, found.created_ms, job);
    let txn = replacement(keys::job(id), found.version, &record);
    match node.store.txn(&txn, RequestPriority::Decision).await {
        Ok(TxnOutcome::Applied(version)) => {
            log::info!("event=cancelled job={id} revision={version}");
            confirm(node, id, record, version);
            Ok(Cancellation::Written)
        }
        Ok(TxnOutcome::Conflict(_)) | Err(StoreError::OutcomeUnknown(_)) => {
            Ok(Cancellation::Undecided)
        }
        Err(_) => Err(retry_later(node, "the state service does not answer")),
    }
}

/// The transaction that replaces a job's record, on the condition that it is still this version.
fn replacement(key: String, version: u64, record: &JobRecord) -> Txn {
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

/// The cancellation of a job is in the store.
fn confirm(node: &Controller, id: &str, record: JobRecord, version: u64) {
    let mut guard = node.lock();
    let state = &mut *guard;
    node.apply_job_record(state, id, record, version);
    if let Some(leader) = &state.shared.leader_outbox {
        // The shorter way only: the leader's own read of the store is the proof.
        leader.send(encode_frame(&ToLeader::Cancelled { job: id.into() }));
    }
}

/// Reads a job's record again; an error is the response to give instead.
async fn read_again(node: &Rc<Controller>, id: &str) -> Result<JobEntry, Response> {
    let Ok(Some(item)) = node
        .store
        .get(&keys::job(id), RequestPriority::Decision)
        .await
    else {
        return Err(retry_later(node, "the outcome is not known yet"));
    };
    if let Some(record) = from_value::<JobRecord>(&item.value) {
        node.apply_job_record(&mut node.lock(), id, record, item.version);
    }
    entry(node, id).ok_or_else(|| retry_later(node, "not ready yet"))
}
