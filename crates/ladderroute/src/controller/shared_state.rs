//! What the services of one controller share behind its lock: data only, no tasks.

use crate::cluster_view::ClusterView;
use crate::outbox::Outbox;
use crate::writer::limits::TxnLimits;
use crate::writer::pages::RecordPages;
use sched::leader::{Action, Leader};
use sched::owner::Owner;
use std::collections::{HashMap, VecDeque};
use std::time::Instant;
use store::leadership::LeadershipLease;
use wire::cloud::MachineType;

/// All that lives behind the one lock.
pub struct State {
    /// The shard owner: what workers are answered from.
    pub owner: Owner,
    /// The rest.
    pub shared: Shared,
}

/// What the services share beside the owner's state.
pub struct Shared {
    /// What this controller knows of the store.
    pub view: ClusterView,
    /// The machine types, once the cloud has told them.
    pub catalog: Option<Vec<MachineType>>,
    /// The leadership, while this controller leads.
    pub leadership: Option<Leadership>,
    /// Running tasks by job, as the leader last told.
    pub running: HashMap<String, u32>,
    /// Messages to the leader, while there is a connection.
    pub leader_outbox: Option<Outbox>,
    /// Since when the store has not answered; none while it does.
    pub store_failing_since: Option<Instant>,
}

impl Shared {
    /// The state at the start, with a view that holds nothing so far.
    pub fn new(view: ClusterView) -> Shared {
        Shared {
            view,
            catalog: None,
            leadership: None,
            running: HashMap::new(),
            leader_outbox: None,
            store_failing_since: None,
        }
    }
}

/// A leadership of this controller.
pub struct Leadership {
    /// The decisions.
    pub leader: Leader,
    /// The store lease under which it leads.
    pub lease: LeadershipLease,
    /// Its durable records that share keys.
    pub records: RecordPages,
    /// What its transactions may hold.
    pub limits: TxnLimits,
    /// Decisions that have to be written.
    pub pending_writes: VecDeque<Action>,
    /// Requests to the cloud.
    pub cloud_requests: VecDeque<Action>,
    /// The other controllers' connections, by member.
    pub links: HashMap<String, Link>,
}

/// A connection of another controller to this leader.
pub struct Link {
    /// What waits to be sent on it.
    pub outbox: Outbox,
    /// Which connection of the other controller it is.
    pub id: ConnectionId,
}

/// One of the connections that a controller has made to leaders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionId {
    /// The process, by a number that it drew at its start.
    pub process: u64,
    /// The connection, counted from the start of the process.
    pub sequence: u64,
}

impl ConnectionId {
    /// Whether this connection takes the place of another one: an older one of the same process, which may
    /// arrive late, never does.
    pub fn replaces(self, current: ConnectionId) -> bool {
        self.process != current.process || self.sequence > current.sequence
    }
}
