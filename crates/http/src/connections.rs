//! Table of a server's open connections, with priorities by purpose, so that the most important
//! clients are still served when sockets or memory run short.

use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Shutdown;

/// Priority of a connection, by the purpose of its last response. The variants are in ascending
/// order. When sockets run short, idle connections of a lower priority are closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ConnectionPriority {
    /// Requests of users.
    User,
    /// Connection on which no request has been answered yet.
    Unclassified,
    /// Heartbeats of a worker.
    Worker,
    /// Health checks.
    Probe,
}

/// Fraction of the maximum number of connections above which responses to users close their
/// connections.
const USER_CLOSE_THRESHOLD: f64 = 0.85;

/// Fraction of the maximum number of connections above which responses to workers close their
/// connections, so that many workers can take turns on few connections.
const WORKER_CLOSE_THRESHOLD: f64 = 0.95;

/// Connection in the table.
struct Entry {
    stream: TcpStream,
    priority: ConnectionPriority,
    /// Sequence number of the event that made the connection idle; `None` while it serves a
    /// request.
    idle_since: Option<u64>,
}

/// The connections of a server. Bounds their number, and the memory for requests that have been
/// received in part.
pub struct ConnectionTable {
    max_connections: usize,
    max_buffered_bytes: usize,
    entries: RefCell<BTreeMap<u64, Entry>>,
    /// Idle connections as (priority, idle since, id), in the order in which they are closed.
    idle: RefCell<BTreeSet<(ConnectionPriority, u64, u64)>>,
    buffered_bytes: Cell<usize>,
    last_sequence: Cell<u64>,
}

impl ConnectionTable {
    /// Returns an empty table with these limits.
    pub fn new(max_connections: usize, max_buffered_bytes: usize) -> ConnectionTable {
        ConnectionTable {
            max_connections,
            max_buffered_bytes,
            entries: RefCell::default(),
            idle: RefCell::default(),
            buffered_bytes: Cell::new(0),
            last_sequence: Cell::new(0),
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.entries.borrow().len()
    }

    fn next_sequence(&self) -> u64 {
        self.last_sequence.set(self.last_sequence.get() + 1);
        self.last_sequence.get()
    }

    /// Adds a connection and returns its id. If the table is full, first closes an idle connection:
    /// of those with the lowest priority, the one that has been idle longest. Returns `None` if the
    /// table is full and no connection is idle.
    pub fn admit(&self, stream: TcpStream) -> Option<u64> {
        if self.open_count() >= self.max_connections {
            // Connections of machines that lost power look idle forever. Rejecting new connections
            // instead would lock out these machines once they are back.
            let victim = self.idle.borrow_mut().pop_first();
            let (_, _, id) = victim?;
            if let Some(entry) = self.entries.borrow_mut().remove(&id) {
                let _ = entry.stream.shutdown(Shutdown::Both);
            }
        }
        let id = self.next_sequence();
        let idle_since = self.next_sequence();
        let priority = ConnectionPriority::Unclassified;
        let entry = Entry {
            stream,
            priority,
            idle_since: Some(idle_since),
        };
        self.entries.borrow_mut().insert(id, entry);
        self.idle.borrow_mut().insert((priority, idle_since, id));
        Some(id)
    }

    /// Marks a connection as serving a request. Returns false if it has been closed meanwhile.
    pub fn begin_request(&self, id: u64) -> bool {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(&id) else {
            return false;
        };
        let Some(idle_since) = entry.idle_since.take() else {
            return false;
        };
        self.idle
            .borrow_mut()
            .remove(&(entry.priority, idle_since, id));
        true
    }

    /// Marks a connection as idle, after a response of this priority has been written.
    pub fn finish_request(&self, id: u64, priority: ConnectionPriority) {
        let idle_since = self.next_sequence();
        if let Some(entry) = self.entries.borrow_mut().get_mut(&id) {
            entry.priority = priority;
            entry.idle_since = Some(idle_since);
            self.idle.borrow_mut().insert((priority, idle_since, id));
        }
    }

    /// Returns whether so many connections are open that a response of this priority should close
    /// its connection.
    pub fn should_close(&self, priority: ConnectionPriority) -> bool {
        let threshold = match priority {
            ConnectionPriority::User | ConnectionPriority::Unclassified => USER_CLOSE_THRESHOLD,
            ConnectionPriority::Worker | ConnectionPriority::Probe => WORKER_CLOSE_THRESHOLD,
        };
        self.open_count() as f64 > self.max_connections as f64 * threshold
    }

    /// Removes a connection that has ended.
    pub fn remove(&self, id: u64) {
        let Some(entry) = self.entries.borrow_mut().remove(&id) else {
            return;
        };
        if let Some(idle_since) = entry.idle_since {
            self.idle
                .borrow_mut()
                .remove(&(entry.priority, idle_since, id));
        }
    }

    /// Reserves memory for a request that has been received in part. Returns false if not enough is
    /// left.
    pub fn reserve_bytes(&self, bytes: usize) -> bool {
        let total = self.buffered_bytes.get() + bytes;
        if total > self.max_buffered_bytes {
            return false;
        }
        self.buffered_bytes.set(total);
        true
    }

    /// Releases memory that [`Self::reserve_bytes`] reserved.
    pub fn release_bytes(&self, bytes: usize) {
        let remaining = self.buffered_bytes.get().saturating_sub(bytes);
        self.buffered_bytes.set(remaining);
    }
}
