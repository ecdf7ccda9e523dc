//! Leadership by a key attached to a store lease; the fencing token is a durable term.
//!
//! Authority is counted from the instant at which the last answered renewal was *sent*, less clock drift and
//! a margin. Authority that has expired returns only with an answered renewal of the same lease: the key was
//! then never free in between. What may be done with it also depends on the freshness of the cluster view
//! (`sched::authority`).

use crate::budget::RequestPriority;
use crate::client::{Store, StoreError, TxnOutcome};
use crate::keys;
use std::time::{Duration, Instant};
use wire::store::{from_value, to_value, Condition, Item, LeaderRecord, TermRecord, Txn, Write};

/// Largest relative drift of a steady clock; both sides of a lease may drift (a figure of the protocol).
pub const MAX_CLOCK_DRIFT: f64 = 0.0005;
/// Safety margin of the leader's own authority, as a part of the lease's duration.
pub const AUTHORITY_MARGIN: f64 = 0.03;

/// How long authority may be used after the request that proved it was sent, for a lease of `ttl`.
pub fn authority_duration(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - 2.0 * MAX_CLOCK_DRIFT - AUTHORITY_MARGIN)
}

/// The requests that leadership needs of the state service; every answer may be lost or late.
#[allow(async_fn_in_trait)] // Everything runs on one thread: no caller needs the futures to be Send.
pub trait LeaderStore {
    /// Reads a key; none if it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;
    /// Creates a lease; returns its id.
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError>;
    /// Ends a lease, which drops the keys attached to it.
    async fn revoke(&self, lease: u64) -> Result<(), StoreError>;
    /// Carries out a transaction.
    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError>;
}

impl LeaderStore for Store {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        Store::get(self, key, RequestPriority::Renewal).await
    }
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError> {
        Store::grant(self, ttl).await
    }
    async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        Store::revoke(self, lease).await
    }
    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        Store::txn(self, txn, RequestPriority::Renewal).await
    }
}

/// The lease on leadership that this controller acquired.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipLease {
    /// The fencing token.
    pub token: u64,
    /// The store lease that the leader's key is attached to.
    pub lease_id: u64,
    /// Version of the leader's key: the condition of every write of this leader.
    pub version: u64,
    /// When authority expires unless the lease is renewed.
    pub valid_until: Instant,
}

/// A token that a leader has moved on to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextToken {
    /// The fencing token.
    pub token: u64,
    /// Version of the leader's key: the condition of the leader's writes from now on.
    pub version: u64,
}

/// The durable term as it is in the store.
struct StoredTerm {
    term: u64,
    version: u64,
}

/// The condition that the leader's key is unchanged since `version`.
pub fn leader_unchanged(version: u64) -> Condition {
    Condition {
        key: keys::LEADER.into(),
        version,
    }
}

/// Tries once to acquire leadership; none if another controller holds it or the transaction was certainly not
/// applied.
///
/// # Errors
///
/// Any error of the store. Leadership is not held then: the lease of an attempt whose outcome is unknown is
/// revoked.
pub async fn acquire(
    store: &impl LeaderStore,
    member: &str,
    ttl: Duration,
) -> Result<Option<LeadershipLease>, StoreError> {
    if store.get(keys::LEADER).await?.is_some() {
        return Ok(None);
    }
    let stored_term = read_term(store).await?;
    let sent_at = Instant::now();
    let lease_id = store.grant(ttl).await?;
    let record = LeaderRecord {
        member: member.into(),
        token: stored_term.term + 1,
    };
    let term_unchanged = Condition {
        key: keys::TERM.into(),
        version: stored_term.version,
    };
    let txn = Txn {
        conditions: vec![leader_unchanged(keys::ABSENT), term_unchanged],
        writes: token_writes(&record, lease_id),
    };
    let version = match store.txn(&txn).await {
        Ok(TxnOutcome::Applied(revision)) => revision,
        Ok(TxnOutcome::Conflict(_)) | Err(StoreError::LeaseNotFound) => {
            // The lease expires by itself if this fails.
            let _ = store.revoke(lease_id).await;
            return Ok(None);
        }
        // Never guessed: ending the lease makes the attempt harmless whether it was applied, is applied late
        // (a write with an ended lease is refused), or never.
        Err(error) => {
            let _ = store.revoke(lease_id).await;
            return Err(error);
        }
    };
    Ok(Some(LeadershipLease {
        token: record.token,
        lease_id,
        version,
        valid_until: sent_at + authority_duration(ttl),
    }))
}

/// Moves the term and the leader's key on to the next token; none if leadership is lost. After an unknown
/// outcome the key is read back.
///
/// # Errors
///
/// Any error of the store. The outcome may be unknown then; the call may be repeated, and recognizes a token
/// that an earlier attempt has recorded.
pub async fn advance_token(
    store: &impl LeaderStore,
    member: &str,
    leadership: &LeadershipLease,
) -> Result<Option<NextToken>, StoreError> {
    let token = leadership.token + 1;
    let record = LeaderRecord {
        member: member.into(),
        token,
    };
    let txn = Txn {
        conditions: vec![leader_unchanged(leadership.version)],
        writes: token_writes(&record, leadership.lease_id),
    };
    match store.txn(&txn).await {
        Ok(TxnOutcome::Applied(version)) => Ok(Some(NextToken { token, version })),
        Err(StoreError::LeaseNotFound) => Ok(None),
        Err(
            error @ (StoreError::Refused(_)
            | StoreError::NotSent(_)
            | StoreError::BudgetExhausted(_)),
        ) => Err(error),
        // A conflict can stem from an earlier attempt of this leader whose answer was lost.
        Ok(TxnOutcome::Conflict(_)) | Err(_) => match store.get(keys::LEADER).await? {
            Some(item) if from_value::<LeaderRecord>(&item.value).as_ref() == Some(&record) => {
                Ok(Some(NextToken {
                    token,
                    version: item.version,
                }))
            }
            Some(item) if item.version == leadership.version => Err(StoreError::OutcomeUnknown(
                "the next token is not applied yet".into(),
            )),
            _ => Ok(None),
        },
    }
}

async fn read_term(store: &impl LeaderStore) -> Result<StoredTerm, StoreError> {
    let item = store.get(keys::TERM).await?;
    Ok(item.map_or(
        StoredTerm {
            term: 0,
            version: keys::ABSENT,
        },
        |item| StoredTerm {
            term: from_value::<TermRecord>(&item.value).map_or(0, |record| record.term),
            version: item.version,
        },
    ))
}

/// The writes that record a leader and its token: the leader's key ends with the lease, the term stays.
fn token_writes(record: &LeaderRecord, lease_id: u64) -> Vec<Write> {
    let term = TermRecord { term: record.token };
    vec![
        Write::Put {
            key: keys::LEADER.into(),
            value: to_value(record),
            lease: Some(lease_id),
        },
        Write::Put {
            key: keys::TERM.into(),
            value: to_value(&term),
            lease: None,
        },
    ]
}
