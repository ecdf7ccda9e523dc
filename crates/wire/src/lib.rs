//! All formats that ladderroute speaks: users, workers, cloud, state service (CBOR) and the
//! controllers' own port (bitcode). No I/O, so that clients can use it too.
//!
//! Wire names stand only in serde attributes; the Rust names are the field's own.

pub mod cbor;
pub mod cloud;
pub mod peers;
pub mod store;
pub mod users;
pub mod workers;

/// Largest request body that the protocol allows, in bytes.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Seconds after which a worker drops the response to a heartbeat (a figure of the protocol).
pub const ANSWER_DROPPED_S: f64 = 4.0;

/// A task's name on the wire: `JOB/INDEX`.
pub fn task_name(job: &str, index: u32) -> String {
    format!("{job}/{index}")
}

/// Splits a task's name into job id and index.
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, index) = name.rsplit_once('/')?;
    if job.is_empty() {
        return None;
    }
    Some((job, index.parse().ok()?))
}
