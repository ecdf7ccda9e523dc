//! Messages of the state service, and the records that the controllers store there.

use crate::users::Job;
use serde::{Deserialize, Serialize};

/// Any CBOR value, which is what the store holds under a key.
pub use ciborium::Value;

/// Key with its value.
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

/// Page of the keys that have a prefix, in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page with their values.
    pub items: Vec<Item>,
    /// Whether another page follows.
    #[serde(default)]
    pub more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

/// Condition of a transaction: a key has a given version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that the key must have; 0 if the key must not exist.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// Write of one key in a transaction.
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
        /// Lease at whose end the key is deleted; none if the key is not attached to a lease.
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

/// Transaction: all writes are applied if all conditions hold, and none otherwise.
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
    /// Time to live of the lease without a renewal, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseId {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Change of a key, in the response to a watch. Either `written_key` or `deleted_key` is present.
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
    /// Revision up to which the list of changes is complete.
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    /// The changes since the requested revision.
    #[serde(rename = "news")]
    pub changes: Vec<Change>,
}

/// State of a job in its record, which is the only source of truth for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recorded {
    /// Accepted, but neither done nor cancelled yet.
    Open,
    /// Every task is done. Terminal.
    Done,
    /// Cancelled by its user. Terminal.
    Cancelled,
}

/// Stored record of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    /// State of the job.
    pub state: Recorded,
    /// Unix time of the acceptance, in milliseconds. Informational only, because the controllers'
    /// clocks differ.
    pub created_ms: u64,
    /// The job as its user submitted it.
    pub job: Job,
}

impl JobRecord {
    /// Returns the record of a terminal job. It lacks the fields that only an open job needs, so
    /// that it fits even if the store's limit for values was lowered after the job was accepted.
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

/// Page of progress records: which tasks of some jobs are done, as bitmaps in hexadecimal. If a job
/// has several bitmaps, the tasks in any of them are done.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressPage {
    /// Entries of job id, chunk number and bitmap. Up to version 0.1, the first task of a chunk was
    /// the chunk number multiplied by a chunk size from the settings. Chunk 0 begins at task 0
    /// whatever the size, so only chunk 0 is written now.
    pub chunks: Vec<(String, u32, String)>,
    /// Entries of job id, first task and bitmap, for bitmaps that do not begin at task 0. Version
    /// 0.1 ignores this field, and would run these tasks again.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sections: Vec<(String, u32, String)>,
}

/// Record of the leader, attached to the leader's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Name of the controller that leads.
    pub member: String,
    /// Its current fencing token.
    pub token: u64,
}

/// Durable record of the highest fencing token ever issued.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The token.
    pub term: u64,
}

/// Attributes of machines on the roster. A machine is on the roster while tasks may have been
/// started on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterRecord {
    /// Name of the machine type.
    pub kind: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot machines.
    pub spot: bool,
}

/// Page of the roster.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterPage {
    /// Machine names, grouped by the machines' attributes.
    pub groups: Vec<(RosterRecord, Vec<String>)>,
}

/// Arrays of which tasks may have been started: those accepted up to a revision, except those
/// listed as waiting. A later leader can start tasks of other arrays without first learning what
/// runs on the machines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StartedArraysRecord {
    /// Newest acceptance revision that is included.
    pub upto: u64,
    /// Acceptance revisions up to `upto` of arrays of which certainly no task has been started.
    #[serde(default)]
    pub waiting: Vec<u64>,
}

impl StartedArraysRecord {
    /// Returns whether tasks of an array accepted at this revision may have been started.
    pub fn covers(&self, revision: u64) -> bool {
        revision <= self.upto && !self.waiting.contains(&revision)
    }
}

/// Placement of a gang. It is written before any of the gang's tasks starts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BindingRecord {
    /// Attempt of the gang.
    pub attempt: u64,
    /// Entries of machine, index of the first task there, and number of tasks there.
    pub places: Vec<(String, u32, u32)>,
}

/// Returns the size of a value as the store counts it, in bytes.
pub fn value_bytes(value: &Value) -> usize {
    crate::cbor::encode(value).len()
}

/// Converts a record to a store value.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Converts a store value to a record. Returns `None` if the value is not such a record.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
