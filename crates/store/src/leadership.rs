//! Leader election by a key that is attached to a store lease. Fencing tokens are counted by the
//! durable term, the highest token ever issued.
//!
//! The leader's authority is valid from the instant at which the last successful renewal was
//! *sent*, for the duration of the lease less clock drift and a safety margin. Authority that has
//! expired returns only with a successful renewal of the same lease, which shows that the key was
//! never free in between. What the leader may do with its authority also depends on the freshness
//! of the cluster view (`sched::authority`).

use crate::budget::RequestPriority;
use crate::client::{Store, StoreError, TxnOutcome};
use crate::keys;
use std::time::{Duration, Instant};
use wire::store::{from_value, to_value, Condition, Item, LeaderRecord, TermRecord, Txn, Write};

/// Maximum relative drift of a monotonic clock, a constant of the protocol. It counts twice, since
/// the clocks on both sides of a lease may drift.
pub const MAX_CLOCK_DRIFT: f64 = 0.0005;
/// Safety margin of the leader's authority, as a fraction of the lease duration.
pub const AUTHORITY_MARGIN: f64 = 0.03;

/// Returns how long the leader's authority is valid with a lease of `ttl`, counted from the instant
/// at which the request that granted or renewed the lease was sent.
pub fn authority_duration(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - 2.0 * MAX_CLOCK_DRIFT - AUTHORITY_MARGIN)
}

/// The requests to the state service on which leader election depends. Any response may be lost or
/// late.
#[allow(async_fn_in_trait)] // All code runs on one thread, so no caller needs Send futures.
pub trait LeaderStore {
    /// Returns a key with its value, or `None` if the key does not exist.
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;
    /// Creates a lease and returns its id.
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError>;
    /// Ends a lease, which deletes the keys that are attached to it.
    async fn revoke(&self, lease: u64) -> Result<(), StoreError>;
    /// Executes a transaction.
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

/// Leadership that this controller has acquired, with the lease behind it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipLease {
    /// Fencing token.
    pub token: u64,
    /// Store lease to which the leader's key is attached.
    pub lease_id: u64,
    /// Version of the leader's key, on which every write of this leader is conditional.
    pub version: u64,
    /// Instant at which authority expires unless the lease is renewed.
    pub valid_until: Instant,
}

/// Next fencing token of a controller that stays the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NextToken {
    /// Fencing token.
    pub token: u64,
    /// Version of the leader's key, on which the leader's writes are conditional from now on.
    pub version: u64,
}

/// What the store holds at the leader's key, as seen by a controller that led under a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderKey {
    /// The key is as this leader last knew it.
    Unchanged,
    /// An earlier write of this leader, whose outcome was unknown, has advanced the token.
    Advanced(NextToken),
    /// The key is gone or names another leadership.
    Lost,
}

/// Why a leadership ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipEnd {
    /// The store does not know the lease any more.
    LeaseExpired,
    /// The leader's key was read and is no longer this leader's.
    KeyLost,
    /// The store answers renewals, but for a whole lease neither the outcome of a write to the
    /// leader's key nor the key could be read.
    Unresolved,
}

/// Durable term as read from the store.
struct StoredTerm {
    term: u64,
    version: u64,
}

/// Returns the condition that the leader's key is still at `version`.
pub fn leader_unchanged(version: u64) -> Condition {
    Condition {
        key: keys::LEADER.into(),
        version,
    }
}

/// Tries once to acquire leadership. Returns `None` if another controller is the leader or the
/// transaction was certainly not applied.
///
/// # Errors
///
/// Returns any error of the store. Leadership is not held then: if the outcome of the transaction
/// is unknown, the lease of the attempt is revoked.
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
            // If this fails, the lease expires by itself.
            let _ = store.revoke(lease_id).await;
            return Ok(None);
        }
        // The outcome is not guessed. Revoking the lease makes the transaction harmless in every
        // case: whether it was applied, is applied late (the store refuses a write with an ended
        // lease), or is never applied.
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

/// Advances the term and the leader's key to the next token. Returns `None` if leadership is lost.
/// If the outcome of the write is unknown, the leader's key is read back.
///
/// # Errors
///
/// Returns `OutcomeUnknown` if the store may hold the next token, and any other error of the store if
/// this attempt has certainly not recorded it. The call may be repeated: it recognizes a token that
/// an earlier attempt has recorded.
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
        // A conflict can come from an earlier attempt of this leader whose response was lost.
        Ok(TxnOutcome::Conflict(_)) | Err(_) => {
            match read_leader_key(store, member, leadership).await {
                Ok(LeaderKey::Advanced(next)) => Ok(Some(next)),
                Ok(LeaderKey::Unchanged) => Err(StoreError::OutcomeUnknown(
                    "the store has not applied the leader's next token yet".into(),
                )),
                Ok(LeaderKey::Lost) => Ok(None),
                Err(error) => Err(StoreError::OutcomeUnknown(format!(
                    "the leader's key could not be read back: {error}"
                ))),
            }
        }
    }
}

/// Reads the leader's key back, to learn whether a leadership is really lost: a conflict on the key
/// may come from a write of this leader whose response was lost.
///
/// # Errors
///
/// Returns any error of the store. Whether the leadership is lost is unknown then.
pub async fn read_leader_key(
    store: &impl LeaderStore,
    member: &str,
    leadership: &LeadershipLease,
) -> Result<LeaderKey, StoreError> {
    let Some(item) = store.get(keys::LEADER).await? else {
        return Ok(LeaderKey::Lost);
    };
    let next = LeaderRecord {
        member: member.into(),
        token: leadership.token + 1,
    };
    if from_value::<LeaderRecord>(&item.value).as_ref() == Some(&next) {
        return Ok(LeaderKey::Advanced(NextToken {
            token: next.token,
            version: item.version,
        }));
    }
    if item.version == leadership.version {
        return Ok(LeaderKey::Unchanged);
    }
    Ok(LeaderKey::Lost)
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

/// Returns the writes that record a leader and its token. The leader's key is deleted with the
/// lease; the term stays.
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
