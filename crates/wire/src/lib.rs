//! Every message and record format of ladderroute: the interfaces of users, workers, the cloud and
//! the state service (CBOR), and the protocol between controllers (bitcode).
//!
//! The crate does no I/O, so that clients can use it as well. Names that the external protocol
//! prescribes appear only in serde attributes; the Rust names are the usual ones of cluster
//! scheduling. A field without a `rename` has the same name on the wire.

pub mod cbor;
pub mod cloud;
pub mod peers;
pub mod store;
pub mod users;
pub mod workers;

/// Largest request body that the protocol allows, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Seconds after which a worker discards the response to a heartbeat, as the protocol defines.
pub const HEARTBEAT_RESPONSE_TIMEOUT_S: f64 = 4.0;

/// Separates job id and index in a task's name.
const TASK_SEPARATOR: char = '/';

/// The name of a task on the wire: `JOB/INDEX`.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}{TASK_SEPARATOR}{index}")
}

/// Splits a task's name into job id and index; `None` if it is not of the form `JOB/INDEX`.
pub fn split_task_name(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once(TASK_SEPARATOR)?;
    if job.is_empty() {
        return None;
    }
    Some((job, index.parse().ok()?))
}
