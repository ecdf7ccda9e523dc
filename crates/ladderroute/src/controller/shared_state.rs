//! The state that the services of a controller share behind its lock: data only, no tasks.

use super::cancellations::Cancellations;
use crate::cluster_view::ClusterView;
use crate::outbox::Outbox;
use crate::writer::limits::TxnLimits;
use crate::writer::pages::RecordPages;
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader};
use sched::owner::Owner;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;
use store::leadership::LeadershipLease;
use wire::cloud::MachineType;
use wire::peers::{encode_frame, ToOwner};

/// All state behind the controller's lock.
pub struct State {
    /// The shard owner, which answers workers.
    pub owner: Owner,
    /// The rest of the shared state.
    pub shared: Shared,
}

/// The shared state other than the shard owner.
pub struct Shared {
    /// The view of the store.
    pub view: ClusterView,
    /// The cancellations that may be reported to users.
    pub cancellations: Cancellations,
    /// The machine types; `None` until the cloud's catalog has been read.
    pub catalog: Option<Vec<MachineType>>,
    /// The state of the leader; `None` while this controller does not lead.
    pub leadership: Option<Leadership>,
    /// Number of running tasks by job, as last reported by the leader.
    pub running: HashMap<String, u32>,
    /// The queue of messages to a leader in another process; `None` while this controller is not
    /// connected to one.
    pub leader_outbox: Option<Outbox>,
    /// When the store stopped answering; `None` while it answers.
    pub store_failing_since: Option<Instant>,
}

impl Shared {
    /// Returns the initial state with a view that has not been loaded yet.
    pub fn new(view: ClusterView, config: &SchedulerConfig) -> Shared {
        Shared {
            view,
            cancellations: Cancellations::new(config),
            catalog: None,
            leadership: None,
            running: HashMap::new(),
            leader_outbox: None,
            store_failing_since: None,
        }
    }
}

/// The state of this controller as the leader.
pub struct Leadership {
    /// The scheduler, which makes the decisions.
    pub leader: Leader,
    /// The leader's lease in the store.
    pub lease: LeadershipLease,
    /// The durable records that are stored in pages, several to a key.
    pub records: RecordPages,
    /// The size limits of the leader's transactions.
    pub txn_limits: TxnLimits,
    /// Decisions that have yet to be written to the store.
    pub pending_writes: VecDeque<Action>,
    /// Requests that have yet to be sent to the cloud.
    pub cloud_requests: VecDeque<Action>,
    /// The connections of the other controllers, by member name.
    pub links: HashMap<String, Link>,
}

/// A connection from another controller to this leader.
pub struct Link {
    /// The queue of messages to send on it.
    pub outbox: Outbox,
    /// The id that the other controller gave the connection.
    pub id: ConnectionId,
    /// Whether the other controller understands the messages with which cancellations are confirmed.
    pub confirms: bool,
}

impl Link {
    /// Sends a message, unless the other controller would not understand it.
    pub fn send(&self, message: &ToOwner) {
        let needs_confirming_peer = matches!(
            message,
            ToOwner::ConfirmTerminal { .. } | ToOwner::CancellationsConfirmed { .. }
        );
        if self.confirms || !needs_confirming_peer {
            self.outbox.send(encode_frame(message));
        }
    }
}

/// Identifies one of the connections that a controller has opened to leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The process that opened it, by the random number that it drew at its start.
    pub process: u64,
    /// The number of the connection, counted from the start of the process.
    pub sequence: u64,
}

impl ConnectionId {
    /// Returns whether this connection replaces the `current` one. An older connection of the same
    /// process, which may arrive late, never does.
    pub fn replaces(self, current: ConnectionId) -> bool {
        self.process != current.process || self.sequence > current.sequence
    }
}
