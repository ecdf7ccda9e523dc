//! Leadership by a key attached to a store lease; the token is a durable term.
//!
//! Authority is counted from the instant at which the last answered renewal was *sent*, less
//! drift and a margin. An authority that has run out comes back only with an answered
//! renewal of the same lease: then the key was never free in between. What may be done with it
//! depends on how fresh the cluster view is, too (`sched::authority`).

use crate::budget::Rank;
use crate::client::{Decided, Store, StoreError};
use crate::keys;
use std::time::{Duration, Instant};
use wire::store::{from_value, to_value, Condition, Item, LeaderRecord, TermRecord, Txn, Write};

/// Steady clocks drift apart by up to this part (a figure of the protocol).
pub const DRIFT: f64 = 0.0005;
/// Safety margin of the leader's own authority, as a part of the lease's time.
pub const MARGIN: f64 = 0.03;

/// How long an authority may be used after the request that proved it was sent.
pub fn usable(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - 2.0 * DRIFT - MARGIN)
}

/// What leadership needs of the state service; every answer may be lost or late.
#[allow(async_fn_in_trait)]
pub trait Keeper {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;
    /// Takes a lease; its id.
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError>;
    /// Ends a lease.
    async fn revoke(&self, lease: u64) -> Result<(), StoreError>;
    /// Carries a transaction out.
    async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError>;
}

impl Keeper for Store {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        Store::get(self, key, Rank::Renewal).await
    }
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        Store::grant(self, ttl).await
    }
    async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        Store::revoke(self, lease).await
    }
    async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
        Store::txn(self, txn, Rank::Renewal).await
    }
}

/// The lease on the leadership that this controller took.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipLease {
    /// The fencing token.
    pub token: u64,
    /// The lease that the leader's key is attached to.
    pub lease_id: u64,
    /// Version of the leader key: the condition of every write of this leader.
    pub version: u64,
    /// Until when it may be used, unless it is renewed.
    pub until: Instant,
}

/// The condition under which a leader writes.
pub fn still_leader(version: u64) -> Condition {
    Condition {
        key: keys::LEADER.into(),
        version,
    }
}

/// Tries once to take the leadership; none if someone else holds it or the outcome shows
/// that it was not taken.
pub async fn take(
    store: &impl Keeper,
    member: &str,
    ttl: Duration,
) -> Result<Option<LeadershipLease>, StoreError> {
    if store.get(keys::LEADER).await?.is_some() {
        return Ok(None);
    }
    let (term, term_version) = match store.get(keys::TERM).await? {
        Some(item) => (
            from_value::<TermRecord>(&item.value).map_or(0, |t| t.term),
            item.version,
        ),
        None => (0, 0),
    };
    let sent = Instant::now();
    let lease = store.grant(ttl).await?;
    let token = term + 1;
    let record = LeaderRecord {
        member: member.into(),
        token,
    };
    let txn = Txn {
        conditions: vec![
            Condition {
                key: keys::LEADER.into(),
                version: 0,
            },
            Condition {
                key: keys::TERM.into(),
                version: term_version,
            },
        ],
        writes: vec![
            Write::Put {
                key: keys::LEADER.into(),
                value: to_value(&record),
                lease: Some(lease),
            },
            Write::Put {
                key: keys::TERM.into(),
                value: to_value(&TermRecord { term: token }),
                lease: None,
            },
        ],
    };
    let version = match store.txn(&txn).await {
        Ok(Decided::Applied(revision)) => revision,
        Ok(Decided::Conflict(_)) | Err(StoreError::NoLease) => {
            let _ = store.revoke(lease).await;
            return Ok(None);
        }
        // Never guessed: ending the lease makes the attempt harmless whether it was applied,
        // is applied late (a write with an ended lease is refused), or never.
        Err(e) => {
            let _ = store.revoke(lease).await;
            return Err(e);
        }
    };
    Ok(Some(LeadershipLease {
        token,
        lease_id: lease,
        version,
        until: sent + usable(ttl),
    }))
}

/// Moves the term and the leader key on to the next token. The new version is the condition
/// for later writes. After an unknown outcome the key is read back.
pub async fn next_token(
    store: &impl Keeper,
    member: &str,
    leadership: &LeadershipLease,
) -> Result<Option<(u64, u64)>, StoreError> {
    let token = leadership.token + 1;
    let record = LeaderRecord {
        member: member.into(),
        token,
    };
    let txn = Txn {
        conditions: vec![still_leader(leadership.version)],
        writes: vec![
            Write::Put {
                key: keys::LEADER.into(),
                value: to_value(&record),
                lease: Some(leadership.lease_id),
            },
            Write::Put {
                key: keys::TERM.into(),
                value: to_value(&TermRecord { term: token }),
                lease: None,
            },
        ],
    };
    match store.txn(&txn).await {
        Ok(Decided::Applied(revision)) => Ok(Some((token, revision))),
        Err(StoreError::NoLease) => Ok(None),
        Err(StoreError::Refused(s)) => Err(StoreError::Refused(s)),
        Err(StoreError::Budget(s)) => Err(StoreError::Budget(s)),
        // A conflict can stem from an earlier try of our own whose answer was lost.
        Ok(Decided::Conflict(_)) | Err(_) => match store.get(keys::LEADER).await? {
            Some(item) if from_value::<LeaderRecord>(&item.value).as_ref() == Some(&record) => {
                Ok(Some((token, item.version)))
            }
            Some(item) if item.version == leadership.version => {
                Err(StoreError::Unknown("not applied yet".into()))
            }
            _ => Ok(None),
        },
    }
}
