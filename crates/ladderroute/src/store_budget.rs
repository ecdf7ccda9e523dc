//! How the controllers divide the store's request and write rates among themselves.

use store::budget::{Reserve, Share, Shares};

/// Parts of the store's request and write rates that the leader takes. Of the requests the others
/// share the rest, since a renewal that the store refused would cost the leadership. Writes come
/// in bursts, seldom at several controllers at once, and one that is refused is only made again:
/// so the others share nearly all of them beside the leader.
const LEADER_REQUESTS: f64 = 0.3;
const LEADER_WRITES: f64 = 0.8;
const ALL_SHARE: f64 = 0.95;

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
/// Seconds' worth of writes that one of the others may make at once, since users come in bursts.
const FOLLOWER_BURST_S: f64 = 2.0;

/// A controller's parts of the store's request and write rates, with so many others.
pub fn store_shares(leading: bool, others: usize) -> Shares {
    let share = |part: f64| Share {
        part,
        burst_s: 1.0,
        reserve: LEADER_RESERVE,
    };
    match (others, leading) {
        (0, _) => Shares {
            requests: share(ALL_SHARE),
            writes: share(ALL_SHARE),
        },
        (_, true) => Shares {
            requests: share(LEADER_REQUESTS),
            writes: Share {
                reserve: LEADER_WRITE_RESERVE,
                ..share(LEADER_WRITES)
            },
        },
        (n, false) => Shares {
            requests: share((ALL_SHARE - LEADER_REQUESTS) / n as f64),
            writes: Share {
                part: ALL_SHARE / n as f64,
                burst_s: FOLLOWER_BURST_S,
                reserve: FOLLOWER_RESERVE,
            },
        },
    }
}
