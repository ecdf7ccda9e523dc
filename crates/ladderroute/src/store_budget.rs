//! How the controllers divide the store's request and write rates among themselves.
//!
//! Of the requests the leader takes a fixed part and the others share the rest, since a renewal that the
//! store refused would cost the leadership. Writes come in bursts, seldom at several controllers at once, and
//! one that is refused is only made again: so the others share nearly all of them beside the leader.

use store::budget::{Reserve, Share, Shares};

/// Part of the request rate that the leader takes.
const LEADER_REQUEST_SHARE: f64 = 0.3;
/// Part of the write rate that the leader takes.
const LEADER_WRITE_SHARE: f64 = 0.8;
/// Part of each rate that all controllers take together.
const TOTAL_SHARE: f64 = 0.95;

/// Renewals and decisions of the leader go before the submissions that it takes itself.
const LEADER_RESERVE: Reserve = Reserve {
    decision: 0.15,
    submission: 0.35,
};
/// Of the writes less is kept back: the store refuses few of them, and one that it refused is made again.
const LEADER_WRITE_RESERVE: Reserve = Reserve {
    decision: 0.1,
    submission: 0.2,
};
/// The others write little beside submissions: only cancellations go before them.
const FOLLOWER_RESERVE: Reserve = Reserve {
    decision: 0.0,
    submission: 0.1,
};

/// Seconds' worth of requests that may be made at once.
const BURST_S: f64 = 1.0;
/// Seconds' worth of writes that one of the others may make at once, since users come in bursts.
const FOLLOWER_BURST_S: f64 = 2.0;

/// What a controller is to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It decides for all.
    Leader,
    /// One of the others.
    Follower,
}

/// A controller's shares of the store's request and write rates, with so many others.
pub fn store_shares(role: Role, others: usize) -> Shares {
    match (others, role) {
        (0, _) => Shares {
            requests: share(TOTAL_SHARE),
            writes: share(TOTAL_SHARE),
        },
        (_, Role::Leader) => Shares {
            requests: share(LEADER_REQUEST_SHARE),
            writes: Share {
                reserve: LEADER_WRITE_RESERVE,
                ..share(LEADER_WRITE_SHARE)
            },
        },
        (others, Role::Follower) => Shares {
            requests: share((TOTAL_SHARE - LEADER_REQUEST_SHARE) / others as f64),
            writes: Share {
                fraction: TOTAL_SHARE / others as f64,
                burst_s: FOLLOWER_BURST_S,
                reserve: FOLLOWER_RESERVE,
            },
        },
    }
}

/// A part of a rate, with the leader's reserve.
fn share(fraction: f64) -> Share {
    Share {
        fraction,
        burst_s: BURST_S,
        reserve: LEADER_RESERVE,
    }
}
