//! Messages between controllers, sent over their own port as length-prefixed bitcode frames.
//!
//! A frame consists of its length in four bytes (big endian, not counting these four), a version
//! byte, and the message. A frame of another version, or one that can't be decoded, ends the
//! connection. The order of fields and variants is part of the format.
//!
//! Tasks of one job are listed as runs `(first index, number of tasks)`, and their placements as
//! `(machine, first index, number of tasks)`.
//!
//! Each machine belongs to the shard of one controller, its owner, which responds to the heartbeats
//! of the machine's worker and starts its tasks. An epoch is a period in which the owners stay the
//! same; it has a fencing token of its own.

use crate::cloud::MachineType;
use crate::workers::{TaskState, Why};
use bitcode::{Decode, Encode};

/// Version of this format. Controllers with different versions don't communicate.
pub const VERSION: u8 = 3;

/// Number of the ping with which a controller announces that it understands the messages that
/// version 0.1 lacks: [`ToOwner::ConfirmTerminal`] and [`ToOwner::CancellationsConfirmed`]. Nobody else
/// gets them, since a message that can't be decoded ends the connection. A leader of version 0.1
/// answers it like any ping; no ping with this number is ever waited for, so the answer has no effect.
pub const CONFIRMING_PING: u64 = u64::MAX;

/// Maximum size of a frame that is accepted, in bytes.
pub const FRAME_LIMIT: usize = 1 << 20;

/// Size of the length prefix of a frame, in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Size of the version that precedes the message, in bytes.
const VERSION_BYTES: usize = 1;

/// Reference to one attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskRef {
    /// Id of the job.
    pub job: String,
    /// Index of the task in its job.
    pub index: u32,
    /// Attempt number, unique across all leaders.
    pub attempt: u64,
}

/// Resources that a task requires, and the machines on which it may run.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskRequirements {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
    /// Name of the image.
    pub image: String,
    /// Size of the image, in gigabytes.
    pub image_gb: f64,
    /// Machine types on which the task may run.
    pub allowed_types: Vec<AllowedMachineType>,
    /// Zone in which it has to run; any zone if `None`.
    pub zone: Option<String>,
}

/// Machine type on which a task may run, as spot or on-demand machines.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AllowedMachineType {
    /// Name of the machine type.
    pub kind: String,
    /// Whether this is about the type's spot machines; otherwise about its on-demand ones.
    pub spot: bool,
    /// Preference tier; a lower tier is preferred.
    pub tier: u8,
}

/// Status of a machine, as observed by the owner of its shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineStatus {
    /// Fencing token of the epoch in which the status was observed.
    pub token: u64,
    /// Name of the machine.
    pub name: String,
    /// Name of its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Incarnation of its worker.
    pub incarnation: u64,
    /// Whether the worker's lease has certainly expired and no newer incarnation has sent a
    /// heartbeat.
    pub lease_expired: bool,
    /// Time until the cloud reclaims the machine, in seconds; `None` until the cloud has given
    /// notice.
    pub notice_s: Option<f64>,
    /// Tasks in the newest heartbeat that the owner has accepted.
    pub tasks: Vec<TaskStatus>,
    /// Tasks that the owner has decided to start, and whose start no heartbeat has confirmed or
    /// ruled out yet.
    pub pending: Vec<TaskRef>,
    /// Whether the owner may place tasks on the machine, according to the leader's last message.
    pub usable: bool,
    /// Whether the worker's heartbeats arrive, but the responses don't reach the worker. No tasks
    /// are placed on the machine while this is so.
    pub unreachable: bool,
}

/// Status of a task in a [`MachineStatus`].
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskStatus {
    /// The task and its attempt.
    pub task: TaskRef,
    /// Its state.
    pub state: TaskState,
    /// Reason why it exited; only with [`TaskState::Exited`].
    pub why: Option<Why>,
    /// Whether it saved its state before it stopped.
    pub saved: bool,
}

/// Machine that the leader assigns to an owner's shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineDescriptor {
    /// Name of the machine.
    pub name: String,
    /// Name of its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Whether the owner may place tasks on the machine.
    pub usable: bool,
}

/// Message from the leader to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToOwner {
    /// Begins an epoch.
    Epoch {
        /// Fencing token of the epoch.
        token: u64,
        /// Token of the previous epoch, or 0 if the owner has to start with empty state. An owner
        /// that was not in that epoch also starts with empty state. Any other owner keeps the
        /// records of the machines that it still owns.
        previous_token: u64,
        /// Names of the owners in the epoch. They determine the shards.
        members: Vec<String>,
        /// Time, counted from the receipt of this message, after which no previous owner can still
        /// respond to heartbeats, in milliseconds.
        extra_ms: u64,
        /// Machines of the owner's shard.
        machines: Vec<MachineDescriptor>,
    },
    /// The cloud's machine types.
    Catalog {
        /// All machine types.
        types: Vec<MachineType>,
    },
    /// Response to a ping. It extends the owner's authority, which is the period in which the owner
    /// may respond to heartbeats and start tasks.
    Grant {
        /// Number of the ping.
        n: u64,
        /// Fencing token of the epoch.
        token: u64,
        /// Validity of the authority, in milliseconds from the time at which the ping was sent.
        valid_ms: u64,
    },
    /// Response to a ping with the age of the leader's view of the store. It is sent after all
    /// messages that follow from that view, so an owner that has read it has read those as well.
    ViewAge {
        /// Number of the ping.
        n: u64,
        /// Age of the view, in milliseconds.
        age_ms: u64,
    },
    /// Jobs that are done or cancelled. None of their tasks may start; running ones are stopped.
    TerminalJobs {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// Sets whether the owner may place tasks on a machine from now on.
    SetUsable {
        /// Name of the machine.
        machine: String,
        /// Whether the owner may place tasks on it.
        usable: bool,
    },
    /// Tasks of an array that the owner has to place and start on machines of its shard.
    Assign {
        /// Id of the job.
        job: String,
        /// Attempt of all these tasks.
        attempt: u64,
        /// What each task requires.
        requirements: TaskRequirements,
        /// Runs of tasks.
        tasks: Vec<(u32, u32)>,
    },
    /// Tasks of an array, each to be started on the first machine of the shard whose heartbeat
    /// shows enough free capacity. Tasks that are not started in time are handed back.
    AssignBacklog {
        /// Id of the job.
        job: String,
        /// Attempt of all these tasks.
        attempt: u64,
        /// What each task requires.
        requirements: TaskRequirements,
        /// Runs of tasks.
        tasks: Vec<(u32, u32)>,
        /// Time for which the owner keeps the tasks, in milliseconds from the receipt.
        wait_ms: u64,
    },
    /// Reserves capacity for tasks of a gang.
    Reserve {
        /// Id of the job.
        job: String,
        /// Attempt of the gang; identifies the reservation.
        attempt: u64,
        /// What each task requires.
        requirements: TaskRequirements,
        /// Placements of the tasks.
        places: Vec<(String, u32, u32)>,
        /// Time for which the reservation lasts, in milliseconds from the receipt.
        wait_ms: u64,
    },
    /// Starts the tasks of a reservation.
    Bind {
        /// Attempt of the reservation.
        attempt: u64,
    },
    /// Releases a reservation without starting its tasks.
    ReleaseReservation {
        /// Attempt of the reservation.
        attempt: u64,
    },
    /// Stops a task.
    Stop {
        /// Machine on which it runs.
        machine: String,
        /// The task and its attempt.
        task: TaskRef,
        /// Grace period in which the task may save its state, in seconds.
        grace_s: f64,
    },
    /// Removes an exited task from its machine, because its exit has been recorded.
    Clear {
        /// Machine on which it ran.
        machine: String,
        /// The task and its attempt.
        task: TaskRef,
    },
    /// Numbers of running tasks, for the responses to users' queries.
    RunningCounts {
        /// Entries of job id and number of running tasks.
        running: Vec<(String, u32)>,
    },
    /// Requests [`ToLeader::TerminalConfirmed`] once all earlier messages about terminal jobs have
    /// been processed.
    ConfirmTerminal {
        /// Number of the request; it grows.
        n: u64,
    },
    /// No controller will start a task of these cancelled jobs any more.
    CancellationsConfirmed {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

/// Message to the leader from the owner of a shard, or from a controller that offers to become one.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToLeader {
    /// First message of a connection.
    Hello {
        /// Name of the controller.
        member: String,
        /// Identifier of the controller's process.
        process: u64,
        /// Sequence number of the connection within the process. A connection with a lower number
        /// is stale.
        sequence: u64,
    },
    /// Requests [`ToOwner::Grant`] and [`ToOwner::ViewAge`].
    Ping {
        /// Number of the ping.
        n: u64,
    },
    /// Machines whose status has changed.
    MachineStatuses(Vec<MachineStatus>),
    /// Hands back assigned tasks that the owner has not started and does not keep.
    HandBack {
        /// Id of the job.
        job: String,
        /// Attempt under which they were assigned.
        attempt: u64,
        /// Runs of tasks.
        tasks: Vec<(u32, u32)>,
    },
    /// Response to [`ToOwner::Reserve`].
    ReserveResult {
        /// Attempt of the reservation.
        attempt: u64,
        /// Whether all of the requested capacity is reserved.
        reserved: bool,
    },
    /// The store has recorded a cancellation. The leader may not have read it from the store yet. It
    /// answers with [`ToOwner::CancellationsConfirmed`], if it can, to a controller that has sent
    /// [`CONFIRMING_PING`].
    Cancelled {
        /// Id of the job.
        job: String,
    },
    /// Response to [`ToOwner::ConfirmTerminal`]: the owner will not start any task of the jobs that it
    /// was told are terminal before that request.
    TerminalConfirmed {
        /// Number of the request.
        n: u64,
    },
}

/// Returns a message encoded as a frame.
pub fn encode_frame<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let length = (body.len() + VERSION_BYTES) as u32;
    let mut out = Vec::with_capacity(LENGTH_BYTES + VERSION_BYTES + body.len());
    out.extend_from_slice(&length.to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    out
}

/// Decodes the part of a frame that follows its length: version and message. Returns `None` if the
/// version differs from [`VERSION`] or the message can't be decoded.
pub fn decode_frame<T: for<'a> Decode<'a>>(payload: &[u8]) -> Option<T> {
    let (version, body) = payload.split_first()?;
    if *version != VERSION {
        return None;
    }
    bitcode::decode(body).ok()
}
