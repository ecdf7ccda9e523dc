//! The connections that a server has open, in ranks, so that what matters most finds room when
//! sockets or memory run short.

use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

/// What a connection is for, as its last answer told. When room is needed, the first of these
/// give theirs up first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rank {
    /// A user's.
    User,
    /// Nothing was asked yet.
    New,
    /// A worker's: it is kept before users'.
    Worker,
    /// A health check's.
    Probe,
}

/// Part of the most connections above which answers to users end theirs.
const USERS_SHARE: f64 = 0.85;
/// The same for workers: so many can share few.
const WORKERS_SHARE: f64 = 0.95;

struct Entry {
    stream: TcpStream,
    rank: Rank,
    /// When it became idle, counted in such events; none while a request is under way.
    idle: Option<u64>,
}

/// The connections of a server, bounded in number and in the bytes of requests that have arrived in part.
pub struct ConnectionTable {
    most: usize,
    most_bytes: usize,
    entries: RefCell<BTreeMap<u64, Entry>>,
    /// Idle connections, the lowest rank and the longest idle first.
    idle: RefCell<BTreeSet<(Rank, u64, u64)>>,
    bytes: Cell<usize>,
    count: Cell<u64>,
}

impl ConnectionTable {
    /// At most so many connections, and bytes of requests that have arrived in part.
    pub fn new(most: usize, most_bytes: usize) -> ConnectionTable {
        ConnectionTable {
            most,
            most_bytes,
            entries: RefCell::default(),
            idle: RefCell::default(),
            bytes: Cell::new(0),
            count: Cell::new(0),
        }
    }

    /// How many connections are open.
    pub fn open(&self) -> usize {
        self.entries.borrow().len()
    }

    fn next(&self) -> u64 {
        self.count.set(self.count.get() + 1);
        self.count.get()
    }

    /// Takes a connection in; where there is no room, in place of the one that is idle longest
    /// of the lowest rank. None if all are in use.
    pub fn enter(&self, stream: TcpStream) -> Option<u64> {
        if self.open() >= self.most {
            // Dead connections of machines that lost power look idle; refusing the newest
            // would keep out those very machines when they are back.
            let first = self.idle.borrow_mut().pop_first();
            let (_, _, id) = first?;
            if let Some(e) = self.entries.borrow_mut().remove(&id) {
                let _ = e.stream.shutdown(std::net::Shutdown::Both);
            }
        }
        let (id, at) = (self.next(), self.next());
        self.entries.borrow_mut().insert(
            id,
            Entry {
                stream,
                rank: Rank::New,
                idle: Some(at),
            },
        );
        self.idle.borrow_mut().insert((Rank::New, at, id));
        Some(id)
    }

    /// A request begins to arrive; false if the connection was ended meanwhile.
    pub fn busy(&self, id: u64) -> bool {
        let mut entries = self.entries.borrow_mut();
        let Some(e) = entries.get_mut(&id) else {
            return false;
        };
        let Some(at) = e.idle.take() else {
            return false;
        };
        self.idle.borrow_mut().remove(&(e.rank, at, id));
        true
    }

    /// The answer is written.
    pub fn idle(&self, id: u64, rank: Rank) {
        let at = self.next();
        if let Some(e) = self.entries.borrow_mut().get_mut(&id) {
            e.rank = rank;
            e.idle = Some(at);
            self.idle.borrow_mut().insert((rank, at, id));
        }
    }

    /// Whether an answer to this rank should end its connection, for others to have the socket.
    pub fn short(&self, rank: Rank) -> bool {
        let share = match rank {
            Rank::User | Rank::New => USERS_SHARE,
            Rank::Worker | Rank::Probe => WORKERS_SHARE,
        };
        self.open() as f64 > self.most as f64 * share
    }

    /// A connection has ended.
    pub fn leave(&self, id: u64) {
        if let Some(e) = self.entries.borrow_mut().remove(&id) {
            if let Some(at) = e.idle {
                self.idle.borrow_mut().remove(&(e.rank, at, id));
            }
        }
    }

    /// Takes room for bytes of a request; false if there is none.
    pub fn take(&self, bytes: usize) -> bool {
        let sum = self.bytes.get() + bytes;
        if sum > self.most_bytes {
            return false;
        }
        self.bytes.set(sum);
        true
    }

    /// Gives bytes back that `take` granted.
    pub fn give_back(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}
