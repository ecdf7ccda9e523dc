//! Division of the store's request and write rates among the controllers.
//!
//! The leader has a fixed share of the request rate, because it would lose the leadership if the
//! store refused a renewal of its lease. The followers divide the rest. Writes come in bursts,
//! seldom at several controllers at once, and a refused write is simply retried. The write shares
//! therefore add up to more than the rate: the followers divide nearly all of it among themselves,
//! although the leader has its own share.

use store::budget::{Reserve, Share, Shares};

/// Share of the request rate that the leader uses.
const LEADER_REQUEST_SHARE: f64 = 0.3;
/// Share of the write rate that the leader uses.
const LEADER_WRITE_SHARE: f64 = 0.8;
/// Share of the request rate that all controllers use together. Also the share of the write rate
/// that all followers use together, and that a controller without peers uses.
const TOTAL_SHARE: f64 = 0.95;

/// Fractions of the burst that lower priorities leave to higher ones. Applies to every controller's
/// requests, and to the writes of a controller without peers: renewals and decisions take
/// precedence over the submissions that the controller accepts itself.
const DEFAULT_RESERVE: Reserve = Reserve {
    decision: 0.15,
    submission: 0.35,
};
/// Reserve in the leader's share of the write rate. It is smaller than the default because the
/// store refuses few writes, and a refused write is retried.
const LEADER_WRITE_RESERVE: Reserve = Reserve {
    decision: 0.1,
    submission: 0.2,
};
/// Reserve in a follower's share of the write rate: followers write little other than submissions,
/// and only cancellations take precedence over these.
const FOLLOWER_RESERVE: Reserve = Reserve {
    decision: 0.0,
    submission: 0.1,
};

/// Burst size, as the number of seconds in which the permitted rate yields it.
const BURST_S: f64 = 1.0;
/// Burst size of a follower's writes, as the number of seconds in which the permitted rate yields
/// it; larger than `BURST_S` because submissions come in bursts.
const FOLLOWER_BURST_S: f64 = 2.0;

/// Role of a controller in the division of the store's rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The controller that makes the scheduling decisions.
    Leader,
    /// Any other controller.
    Follower,
}

/// Returns the shares of the store's request and write rates of a controller that has this many
/// peers.
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

/// Returns a share of a rate with the default reserve and the normal burst size.
fn share(fraction: f64) -> Share {
    Share {
        fraction,
        burst_s: BURST_S,
        reserve: DEFAULT_RESERVE,
    }
}
