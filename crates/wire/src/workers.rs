//! Heartbeats of workers and the orders they get back.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    Fetching,
    #[serde(rename = "gathering")]
    Waiting,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    Exited,
}

/// Why a task exited. What is not known is taken as an error.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    Done,
    Stopped,
    Peers,
    Incomplete,
    Full,
    InUse,
    NoSuch,
    #[serde(other)]
    Error,
}

/// One task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    #[serde(rename = "ticket")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub why: Option<Why>,
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    #[serde(rename = "rung")]
    pub machine: String,
    #[serde(default)]
    pub addr: String,
    #[serde(rename = "chassis")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub incarnation: u64,
    #[serde(rename = "tick")]
    pub seq: u64,
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(
        rename = "recall_s",
        default,
        deserialize_with = "crate::cbor::amount_opt"
    )]
    pub notice_s: Option<f64>,
    #[serde(rename = "tickets")]
    pub tasks: Vec<ReportedTask>,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    #[serde(rename = "launch")]
    Start {
        #[serde(rename = "ticket")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
    #[serde(rename = "halt")]
    Stop {
        #[serde(rename = "ticket")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
        #[serde(rename = "winddown_s")]
        grace_s: f64,
    },
    Clear {
        #[serde(rename = "ticket")]
        task: String,
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub orders: Vec<Order>,
}

/// Sends a worker to another controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
}
