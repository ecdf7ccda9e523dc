//! The state service's interface, and the records that the controllers keep there.

use crate::users::Job;
use serde::{Deserialize, Serialize};

/// Any value kept in the store.
pub use ciborium::Value;

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// One change of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Write {
    Put {
        #[serde(rename = "write")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Drop {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Txn {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    pub writes: Vec<Write>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "ledger_rev", default)]
    pub revision: u64,
}

/// Why a transaction was not applied.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Conflict {
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseAsk {
    pub ttl_ms: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseId {
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// A change seen by a watch: a put has a value, a drop has none.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Change {
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    #[serde(rename = "drop", default)]
    pub dropped: Option<String>,
    #[serde(rename = "v", default)]
    pub value: Option<Value>,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Changes {
    #[serde(rename = "ledger_rev")]
    pub revision: u64,
    #[serde(rename = "news")]
    pub changes: Vec<Change>,
}

// ---- the controllers' records ----

/// State of a job as the store holds it; the record is the job's only truth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Recorded {
    Open,
    Done,
    Cancelled,
}

/// A job's record.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobRecord {
    pub state: Recorded,
    /// Time of day at acceptance, in milliseconds, for people.
    pub created_ms: u64,
    pub job: Job,
}

impl JobRecord {
    /// The record of a job that is over. It leaves out what only an open job needs, so that it also
    /// fits where the limit of a value has become smaller since the job was accepted.
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

/// Which tasks of some jobs are done, as bitmaps in hexadecimal. Readers join all bitmaps of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ProgressPage {
    /// Job, number of the chunk, bitmap. Up to version 0.1 a chunk began at its number times a size that
    /// depends on the settings. Chunk 0 begins at task 0 whatever the size, and only it is written now.
    pub chunks: Vec<(String, u32, String)>,
    /// Job, first task, bitmap: all that does not begin at task 0. Version 0.1 skips it, and would run
    /// those tasks once more.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub sections: Vec<(String, u32, String)>,
}

/// The size of a value as the store counts it, in bytes.
pub fn value_bytes(value: &Value) -> usize {
    crate::cbor::encode(value).len()
}

/// The leader's key, attached to its lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    pub member: String,
    pub token: u64,
}

/// The durable term; the highest token ever given out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    pub term: u64,
}

/// A machine on which tasks may have been started.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RosterRecord {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

/// Many such machines in one record, by what they share.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RosterPage {
    pub groups: Vec<(RosterRecord, Vec<String>)>,
}

/// Tasks of the arrays accepted up to a revision may have been given out, less those accepted at
/// the revisions that are named as waiting; of later ones certainly none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StartedArraysRecord {
    pub upto: u64,
    #[serde(default)]
    pub waiting: Vec<u64>,
}

impl StartedArraysRecord {
    /// Whether tasks of an array accepted at this revision may have been given out.
    pub fn covers(&self, revision: u64) -> bool {
        revision <= self.upto && !self.waiting.contains(&revision)
    }
}

/// Where a gang was bound: machine, first task, number of tasks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BindingRecord {
    pub attempt: u64,
    pub places: Vec<(String, u32, u32)>,
}

/// Turns a record into a value for the store.
pub fn to_value<T: Serialize>(record: &T) -> Value {
    Value::serialized(record).unwrap_or(Value::Null)
}

/// Reads a record from the store's value.
pub fn from_value<T: serde::de::DeserializeOwned>(value: &Value) -> Option<T> {
    value.deserialized().ok()
}
