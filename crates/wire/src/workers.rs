//! Heartbeats of workers, and the orders in their responses.

use serde::{Deserialize, Serialize};

/// State of a task on its machine.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Its image is being fetched.
    Fetching,
    /// Ready to run, and waiting for the other tasks of its gang.
    #[serde(rename = "gathering")]
    Waiting,
    /// Running.
    Running,
    /// Saving its state before it stops.
    #[serde(rename = "flushing")]
    Saving,
    /// Exited; reported until the worker receives [`Order::Clear`] for it.
    Exited,
}

/// Reason why a task exited. A reason that this version does not know is decoded as [`Why::Error`].
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// It completed its work.
    Done,
    /// It was ordered to stop.
    Stopped,
    /// Another task of its gang is gone.
    Peers,
    /// Its gang was not complete in time.
    Incomplete,
    /// The machine had too little free capacity for it.
    Full,
    /// Something that it needs on the machine was in use.
    InUse,
    /// The worker does not know what it was ordered to start.
    NoSuch,
    /// It failed.
    #[serde(other)]
    Error,
}

/// Task as reported in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task; see [`crate::task_name`].
    #[serde(rename = "ticket")]
    pub task: String,
    /// Attempt number, from the order that started it.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Reason why it exited; only with [`TaskState::Exited`].
    #[serde(rename = "cause", default)]
    pub why: Option<Why>,
    /// Whether it saved its state before it stopped.
    #[serde(rename = "stored", default)]
    pub saved: Option<bool>,
}

/// Heartbeat of a worker, with all tasks of its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the machine.
    #[serde(rename = "rung")]
    pub machine: String,
    /// Address of the worker, `HOST:PORT`.
    #[serde(default)]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "chassis")]
    pub kind: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation of the worker. It increases whenever the worker's lease has expired and the
    /// worker starts over.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "tick")]
    pub seq: u64,
    /// Highest fencing token that the worker has seen. The worker discards orders with a lower
    /// token.
    #[serde(rename = "baton")]
    pub token: u64,
    /// Time until the cloud reclaims the spot machine, in seconds; absent until the cloud has given
    /// notice.
    #[serde(
        rename = "recall_s",
        default,
        deserialize_with = "crate::cbor::optional_amount"
    )]
    pub notice_s: Option<f64>,
    /// All tasks on the machine, including exited ones until [`Order::Clear`] removes them.
    #[serde(rename = "tickets")]
    pub tasks: Vec<ReportedTask>,
}

/// Order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "snake_case")]
pub enum Order {
    /// Start a task.
    #[serde(rename = "launch")]
    Start {
        /// Name of the task.
        #[serde(rename = "ticket")]
        task: String,
        /// Attempt number under which it is started.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    #[serde(rename = "halt")]
    Stop {
        /// Name of the task.
        #[serde(rename = "ticket")]
        task: String,
        /// Attempt to stop; other attempts of the task are not affected.
        #[serde(rename = "try")]
        attempt: u64,
        /// Grace period in which the task may save its state, in seconds.
        #[serde(rename = "winddown_s")]
        grace_s: f64,
    },
    /// Remove an exited task from the heartbeats, because its exit has been recorded.
    Clear {
        /// Name of the task.
        #[serde(rename = "ticket")]
        task: String,
        /// Attempt to remove.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// Response to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Orders {
    /// Fencing token of the epoch in which the orders were given; see [`crate::peers`].
    #[serde(rename = "baton")]
    pub token: u64,
    /// The orders for the worker; may be empty.
    #[serde(rename = "orders")]
    pub orders: Vec<Order>,
}

/// Response that redirects a worker to the owner of its shard, the controller that responds to the
/// heartbeats of the worker's machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Redirect {
    /// Name of the owner; absent if the responding controller does not know it.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub member: Option<String>,
}
