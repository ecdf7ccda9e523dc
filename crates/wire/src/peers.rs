//! Messages on the controllers' own port: length-prefixed bitcode frames.
//!
//! A frame is four bytes of length (big endian), one byte of version, and the message.
//! Unknown versions and anything that does not decode end the connection.

use crate::cloud::MachineType;
use crate::workers::{TaskState, Why};
use bitcode::{Decode, Encode};

/// Version of this format; controllers of different versions do not talk.
pub const VERSION: u8 = 3;
/// Largest frame that is accepted.
pub const FRAME_LIMIT: usize = 1 << 20;

/// A start of a task: job, index and attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TaskRef {
    pub job: String,
    pub index: u32,
    pub attempt: u64,
}

/// What a task takes of its machine, and where it may be.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskRequirements {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub image: String,
    pub image_gb: f64,
    pub kinds: Vec<AllowedMachineType>,
    pub zone: Option<String>,
}

/// A machine type that a task may use, as spot or ordinary; a lower tier is preferred.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct AllowedMachineType {
    pub kind: String,
    pub spot: bool,
    pub tier: u8,
}

/// A machine as its owner sees it.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineStatus {
    /// Token of the epoch under which this was seen.
    pub token: u64,
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub incarnation: u64,
    /// The lease has certainly ended and nothing newer was heard.
    pub lapsed: bool,
    pub notice_s: Option<f64>,
    /// What the newest heartbeat that counts shows.
    pub tasks: Vec<TaskStatus>,
    /// Starts decided that no heartbeat has settled yet.
    pub pending: Vec<TaskRef>,
    /// Whether the owner may still place tasks there, as it was last told.
    pub usable: bool,
    /// Its heartbeats arrive, but answers don't reach it: nothing is placed there meanwhile.
    pub unreachable: bool,
}

#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct TaskStatus {
    pub task: TaskRef,
    pub state: TaskState,
    pub why: Option<Why>,
    pub saved: bool,
}

/// A machine as the leader hands it to an owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub struct MachineDescriptor {
    pub name: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub usable: bool,
}

/// From the leader to an owner.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToOwner {
    /// A new token and the owners under it. `prev` is the token that it follows for an owner
    /// whose records go on; any other owner starts anew. No earlier owner can answer heartbeats
    /// after `extra_ms` from the receipt.
    Epoch {
        token: u64,
        prev: u64,
        members: Vec<String>,
        extra_ms: u64,
        machines: Vec<MachineDescriptor>,
    },
    Catalog {
        types: Vec<MachineType>,
    },
    /// Answers ping `n`: authority for `valid_ms`, counted from the ping's sending.
    Grant {
        n: u64,
        token: u64,
        valid_ms: u64,
    },
    /// Answers ping `n`, in order with all else: what the store held `age_ms` ago is known to the
    /// leader, and what follows of it was sent before this.
    ViewAge {
        n: u64,
        age_ms: u64,
    },
    /// Jobs that are done or cancelled: none of their tasks may start, and what runs is stopped.
    Terminal {
        jobs: Vec<String>,
    },
    SetUsable {
        machine: String,
        usable: bool,
    },
    /// Array tasks to place and start in the owner's part.
    Assign {
        job: String,
        attempt: u64,
        requirements: TaskRequirements,
        tasks: Vec<(u32, u32)>,
    },
    /// Array tasks to start on whichever machine of the part heartbeats capacity for them first; what
    /// found none in time is handed back.
    AssignBacklog {
        job: String,
        attempt: u64,
        requirements: TaskRequirements,
        tasks: Vec<(u32, u32)>,
        wait_ms: u64,
    },
    /// Set capacity aside for tasks of a gang.
    Reserve {
        job: String,
        attempt: u64,
        requirements: TaskRequirements,
        places: Vec<(String, u32, u32)>,
        wait_ms: u64,
    },
    Bind {
        attempt: u64,
    },
    ReleaseReservation {
        attempt: u64,
    },
    Stop {
        machine: String,
        task: TaskRef,
        grace_s: f64,
    },
    Clear {
        machine: String,
        task: TaskRef,
    },
    /// Running tasks per job, for display.
    RunningCounts {
        running: Vec<(String, u32)>,
    },
}

/// From an owner (or a controller that wants to be one) to the leader.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ToLeader {
    Hello {
        member: String,
        start: u64,
        count: u64,
    },
    Ping {
        n: u64,
    },
    /// Machines of which something has changed.
    MachineStatuses(Vec<MachineStatus>),
    HandBack {
        job: String,
        attempt: u64,
        tasks: Vec<(u32, u32)>,
    },
    ReserveResult {
        attempt: u64,
        reserved: bool,
    },
    /// This controller has confirmed a cancellation; the leader may see it later in the store.
    Cancelled {
        job: String,
    },
}

/// Writes a message as a frame.
pub fn frame<T: Encode>(message: &T) -> Vec<u8> {
    let body = bitcode::encode(message);
    let mut out = Vec::with_capacity(body.len() + 5);
    out.extend_from_slice(&(body.len() as u32 + 1).to_be_bytes());
    out.push(VERSION);
    out.extend_from_slice(&body);
    out
}

/// Reads the inside of a frame (version and message); none for anything not ours.
pub fn unframe<T: for<'a> Decode<'a>>(inside: &[u8]) -> Option<T> {
    let (version, body) = inside.split_first()?;
    if *version != VERSION {
        return None;
    }
    bitcode::decode(body).ok()
}
