//! The state service's interface, and the records that the controllers keep there.

use crate::users::Job;
use serde::{Deserialize, Serialize};

/// Any CBOR value; what the store keeps under a key.
pub use ciborium::Value;

/// A key with its value.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "v")]
    pub value: Value,
    /// Revision of the last write of the key.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One page of the keys with a prefix, in the order of the keys.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page.
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Condition of a transaction: a key is at a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that it has to have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change in a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    /// Creates or replaces a key.
    Put {
        /// The key.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// Lease with which the key is deleted; none if it is to stay.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    /// Deletes a key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// A transaction: all writes are applied if all conditions hold, and none otherwise.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    /// The conditions.
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// Response to a transaction that was applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revision {
    /// Revision of the store that the transaction created.
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// Response to a transaction that was not applied because a condition does not hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Keys whose conditions do not hold.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseAsk {
    /// Time to live without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseId {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A change of a key in a watch's response: either `written_key` or `deleted_key` is present.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    /// Key that was written.
    #[serde(rename = "write", default)]
    pub written_key: Option<String>,
    /// Key that was deleted.
    #[serde(rename = "drop", default)]
    pub deleted_key: Option<String>,
    /// New value of a key that was written.
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Response to a watch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Changes {
    /// Revision up to which the changes are complete.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes since the requested revision.
    #[serde(rename = "news")]
    pub changes: Vec<Change>,
}

/// State of a job in its record, which is the only authority on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recorded {
    /// Accepted, and neither done nor cancelled.
    Open,
    /// Every task is done. Terminal.
    Done,
    /// Cancelled by its user. Terminal.
    Cancelled,
}

/// Record of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// State of the job.
    pub state: Recorded,
    /// Unix time of the acceptance, in milliseconds. Informational only: the controllers' clocks
    /// differ.
    pub created_ms: u64,
    /// The job as its user submitted it.
    pub job: Job,
}

impl JobRecord {
    /// The record of a terminal job, without the fields that only an open job needs, so that it
    /// fits also if the store's limit of a value has been lowered since the job was accepted.
    pub fn terminal(state: Recorded, created_ms: u64, job: &Job) -> JobRecord {
        let job = Job {
            types: None,
            dependencies: Vec::new(),
            ..job.clone()
        };
        JobRecord {
            state,
            created_ms,
            job,
        }
    }
}

/// Which tasks of some jobs are done, as bitmaps in hexadecimal. If a job has several bitmaps,
/// their union counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressPage {
    /// Job, number of the chunk, bitmap. Up to version 0.1 a chunk began at its number times a size
    /// from the settings. Chunk 0 begins at task 0 with any size, so only chunk 0 is written now.
    pub chunks: Vec<(String, u32, String)>,
    /// Job, first task, bitmap: those that do not begin at task 0. Version 0.1 ignores this field,
    /// and would run these tasks once more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sections: Vec<(String, u32, String)>,
}

/// The leader's key, attached to its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller that leads.
    pub member: String,
    /// Fencing token with which it took the leadership.
    pub token: u64,
}

/// The durable term: the highest fencing token ever issued.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// That token.
    pub term: u64,
}

/// What machines on the roster have in common. A machine is on the roster while tasks may have been
/// started there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Name of the machine type.
    pub kind: String,
    /// Zone.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
}

/// One page of the roster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterPage {
    /// Machine names, grouped by what the machines have in common.
    pub groups: Vec<(RosterRecord, Vec<String>)>,
}

/// The arrays of which tasks may have been started: those accepted up to a revision, except those
/// that are listed as waiting. A later leader need not reconcile machines for any other array.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StartedArraysRecord {
    /// Newest revision of acceptance that is included.
    pub upto: u64,
    /// Revisions up to `upto` at which an array was accepted that has certainly not started.
    #[serde(default)]
    pub waiting: Vec<u64>,
}

impl StartedArraysRecord {
    /// Whether tasks of an array accepted at this revision may have been started.
    pub fn covers(&self, revision: u64) -> bool {
        revision <= self.upto && !self.waiting.contains(&revision)
    }
}

/// Where a gang was bound. Written before any of its tasks starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BindingRecord {
    /// Attempt of the gang.
    pub attempt: u64,
    /// Machine, index of the first task, number of tasks.
    pub places: Vec<(String, u32, u32)>,
}

/// The size of a value as the store counts it, in bytes.
pub fn value_bytes(value: &Value) -> usize {
    crate::cbor::encode(value).len()
}

/// Converts a record to a value for the store.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Converts a value of the store to a record; `None` if it is not one.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
