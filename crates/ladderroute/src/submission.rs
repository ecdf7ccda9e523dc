//! Users' requests: submit, query, cancel.

use crate::controller::Controller as Node;
use crate::freshness::refresh_view;
use crate::job_state::{
    accepted, answer_created, answer_read, entry, log_answer, look_up, state_of,
};
use http::server::Response;
use std::rc::Rc;
use store::budget::Rank;
use store::client::{Decided, StoreError, TOO_MANY_REQUESTS};
use store::keys;
use wire::cbor;
use wire::peers::{frame, ToLeader};
use wire::store::{from_value, to_value, Condition, JobRecord, Recorded, Txn, Write};
use wire::users::{Job, JobState, Progress, Refusal, Shape};

/// What a job's record takes beside the job, at most.
const RECORD_BYTES: usize = 64;

/// An answer that gives the reason in words.
pub fn refuse(status: u16, error: impl Into<String>) -> Response {
    Response::new(
        status,
        cbor::encode(&Refusal {
            error: error.into(),
        }),
    )
}

/// "Not now", at once, with when to come back.
pub fn retry_later(node: &Node, error: &str) -> Response {
    // A read of the store is possible again after about this long.
    let s = (node.config.heartbeat_s / 2.0).ceil().clamp(1.0, 30.0) as u32;
    // Closing lets the balancer choose again: another controller may be able to.
    Response {
        close: true,
        ..refuse(503, error).retry(s)
    }
}

fn loaded(node: &Node) -> bool {
    node.lock().shared.view.is_complete()
}

#[derive(serde::Deserialize)]
struct OnlyId {
    #[serde(rename = "name_id")]
    id: String,
}

pub async fn submit(node: &Rc<Node>, body: &[u8]) -> Response {
    if !loaded(node) {
        return retry_later(node, "not ready yet");
    }
    // A repeat gets the accepted job's state, whatever else it says.
    if let Ok(OnlyId { id }) = cbor::decode::<OnlyId>(body) {
        if entry(node, &id).is_some() {
            return match look_up(node, &id).await {
                Ok(Some(e)) => accepted(node, 200, &id, &e),
                Ok(None) => retry_later(node, "not ready yet"),
                Err(r) => r,
            };
        }
    }
    let job: Job = match cbor::decode(body) {
        Ok(j) => j,
        Err(e) => {
            log::debug!("event=submission_malformed error=\"{e}\"");
            return refuse(400, e.to_string());
        }
    };
    if let Err(e) = job.check() {
        return refuse(400, e);
    }
    let verdict = {
        let s = node.lock();
        s.shared
            .catalog
            .as_ref()
            .map(|types| never_runs(&node.config, types, &job))
            .map(|verdict| verdict.and_then(|()| fits_store(node, &job)))
    };
    match verdict {
        None => return retry_later(node, "the machine types are not known yet"),
        // Known to the store perhaps, through another controller: then it is a repeat.
        Some(Err(why)) => {
            return match look_up(node, &job.id).await {
                Ok(Some(e)) => accepted(node, 200, &job.id, &e),
                Ok(None) => {
                    log::info!(
                        "event=never_runs job={} team={} error=\"{why}\"",
                        job.id,
                        job.team
                    );
                    refuse(422, why)
                }
                Err(r) => r,
            }
        }
        Some(Ok(())) => {}
    }
    if let Err(refusal) = dependencies_known(node, &job).await {
        return refusal;
    }
    record(node, job).await
}

/// Whether all jobs that a submission names were accepted, as far as the store shows now: by any
/// controller, perhaps a moment ago.
async fn dependencies_known(node: &Rc<Node>, job: &Job) -> Result<(), Response> {
    let unknown = || {
        let state = node.lock();
        let jobs = &state.shared.view.replica().jobs;
        let missing = |id: &&String| !jobs.contains_key(*id);
        job.dependencies.iter().find(missing).cloned()
    };
    if unknown().is_none() {
        return Ok(());
    }
    if !loaded(node) || !refresh_view(node).await {
        return Err(retry_later(node, "the state service does not answer"));
    }
    match unknown() {
        None => Ok(()),
        // Accepted meanwhile through another controller: then this is a repeat.
        Some(id) => match entry(node, &job.id) {
            Some(e) => Err(accepted(node, 200, &job.id, &e)),
            None => Err(refuse(422, format!("awaits: no job {id} was accepted"))),
        },
    }
}

async fn record(node: &Rc<Node>, job: Job) -> Response {
    let id = job.id.clone();
    let key = keys::job(&id);
    let created_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let record = JobRecord {
        state: Recorded::Open,
        created_ms,
        job,
    };
    let value = to_value(&record);
    let txn = Txn {
        conditions: vec![Condition {
            key: key.clone(),
            version: 0,
        }],
        writes: vec![Write::Put {
            key: key.clone(),
            value,
            lease: None,
        }],
    };
    match node.store.txn(&txn, Rank::Submission).await {
        Ok(Decided::Applied(version)) => {
            node.note_store_health(true);
            log::info!(
                "event=accepted job={id} class={} tasks={} team={} revision={version}",
                record.job.class,
                record.job.tasks,
                record.job.team
            );
            node.apply_job_record(&mut node.lock(), &id, record, version);
            // One that needs a cancelled job is accepted all the same, and cancelled with it.
            answer_created(node, &id).await
        }
        Ok(Decided::Conflict(_)) | Err(StoreError::Unknown(_)) => {
            match node.store.get(&key, Rank::Decision).await {
                // Never guessed: it is accepted if the store has it.
                Ok(Some(item)) => match from_value::<JobRecord>(&item.value) {
                    Some(r) => {
                        node.apply_job_record(&mut node.lock(), &id, r, item.version);
                        answer_read(node, &id).await
                    }
                    None => retry_later(node, "the record can't be read"),
                },
                _ => retry_later(node, "the outcome is not known yet"),
            }
        }
        Err(StoreError::Refused(TOO_MANY_REQUESTS)) => {
            log::debug!("event=submission_refused job={id} by=store");
            refuse(429, "too many submissions at present").retry(1)
        }
        Err(StoreError::Budget(s)) => {
            log::debug!("event=submission_refused job={id} again_s={s:.2}");
            refuse(429, "too many submissions at present").retry(s.ceil().clamp(1.0, 30.0) as u32)
        }
        Err(_) => {
            node.note_store_health(false);
            retry_later(node, "the state service does not answer")
        }
    }
}

/// Why a job can never run, if so.
fn never_runs(
    config: &sched::config::SchedulerConfig,
    types: &[wire::cloud::MachineType],
    job: &Job,
) -> Result<(), String> {
    let team = config
        .teams
        .get(&job.team)
        .ok_or_else(|| format!("crew: no team {}", job.team))?;
    let fits = types.iter().any(|t| {
        job.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && job.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && t.cpus >= job.cpus
            && t.gpus >= job.gpus
            && t.memory_gb >= job.memory_gb
    });
    if !fits {
        return Err("a task fits on no allowed machine type".into());
    }
    let n = if job.shape == Shape::Gang {
        f64::from(job.tasks)
    } else {
        1.0
    };
    if n * job.cpus > team.cpus_max + 1e-6 || n * job.gpus > team.gpus_max + 1e-6 {
        return Err("the job needs more than its team's limit".into());
    }
    Ok(())
}

/// Why the state service can't hold a job, if so.
fn fits_store(node: &Node, job: &Job) -> Result<(), String> {
    let bytes = cbor::encode(job).len() + RECORD_BYTES;
    let most = node.limits.value_bytes();
    if bytes <= most {
        return Ok(());
    }
    let named = job.dependencies.len();
    Err(format!(
        "the job takes {bytes} bytes with {named} jobs in awaits; the state service holds {most} for each"
    ))
}

pub async fn query(node: &Rc<Node>, id: &str) -> Response {
    match look_up(node, id).await {
        Ok(Some(e)) => {
            let state = state_of(node, id, &e);
            log_answer(node, 200, id, state);
            let running = match state {
                JobState::Running => node.lock().shared.running.get(id).copied().unwrap_or(0),
                _ => 0,
            };
            Response::new(
                200,
                cbor::encode(&Progress {
                    id: id.into(),
                    state,
                    done: e.done_tasks(),
                    running,
                }),
            )
        }
        Ok(None) => refuse(404, "no such job"),
        Err(r) => r,
    }
}

/// The cancellation of a job is in the store.
fn confirm_cancellation(node: &Node, id: &str, record: JobRecord, version: u64) {
    let mut guard = node.lock();
    let state = &mut *guard;
    node.apply_job_record(state, id, record, version);
    if let Some(leader) = &state.shared.to_leader {
        // The shorter way only: the leader's own read of the store is the proof.
        leader.send(frame(&ToLeader::Cancelled { job: id.into() }));
    }
}

pub async fn cancel(node: &Rc<Node>, id: &str) -> Response {
    let mut found = match look_up(node, id).await {
        Ok(Some(e)) => e,
        Ok(None) => return refuse(404, "no such job"),
        Err(r) => return r,
    };
    let key = keys::job(id);
    for _ in 0..3 {
        let Some(job) = found.job.clone().filter(|_| found.state == Recorded::Open) else {
            return accepted(node, 200, id, &found);
        };
        let record = JobRecord::terminal(Recorded::Cancelled, found.created_ms, &job);
        let txn = Txn {
            conditions: vec![Condition {
                key: key.clone(),
                version: found.version,
            }],
            writes: vec![Write::Put {
                key: key.clone(),
                value: to_value(&record),
                lease: None,
            }],
        };
        match node.store.txn(&txn, Rank::Decision).await {
            Ok(Decided::Applied(version)) => {
                log::info!("event=cancelled job={id} revision={version}");
                confirm_cancellation(node, id, record, version);
                found.state = Recorded::Cancelled;
                return accepted(node, 200, id, &found);
            }
            Ok(Decided::Conflict(_)) | Err(StoreError::Unknown(_)) => {
                match node.store.get(&key, Rank::Decision).await {
                    Ok(Some(item)) => {
                        if let Some(r) = from_value::<JobRecord>(&item.value) {
                            node.apply_job_record(&mut node.lock(), id, r, item.version);
                        }
                        match entry(node, id) {
                            Some(e) => found = e,
                            None => return retry_later(node, "not ready yet"),
                        }
                    }
                    _ => return retry_later(node, "the outcome is not known yet"),
                }
            }
            Err(_) => return retry_later(node, "the state service does not answer"),
        }
    }
    retry_later(node, "the job changes at present")
}
