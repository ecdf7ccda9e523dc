//! All message and record formats of ladderroute: CBOR for users, workers, the cloud and the state
//! service, and bitcode between controllers.
//!
//! The crate does no I/O, so that clients can use it as well. The Rust names are the usual terms of
//! cluster scheduling; serde attributes map them to the names that the external protocol
//! prescribes. A field without a `rename` has the same name on the wire.

pub mod cbor;
pub mod cloud;
pub mod peers;
pub mod store;
pub mod users;
pub mod workers;

/// Maximum size of a request body, in bytes, as the protocol defines.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Time after which a worker discards the response to a heartbeat, in seconds, as the protocol
/// defines.
pub const HEARTBEAT_RESPONSE_TIMEOUT_S: f64 = 4.0;

/// Separator between job id and index in a task's name.
const TASK_SEPARATOR: char = '/';

/// Returns the name of a task on the wire: `JOB/INDEX`.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}{TASK_SEPARATOR}{index}")
}

/// Splits a task's name into job id and index. Returns `None` if the name does not have the form
/// `JOB/INDEX`.
pub fn split_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once(TASK_SEPARATOR)?;
    if job.is_empty() {
        return None;
    }
    Some((job, index.parse().ok()?))
}
