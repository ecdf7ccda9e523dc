//! Leadership by a key attached to a store lease; the token is a durable term.
//!
//! Authority is counted from the instant at which the last answered renewal was *sent*, less
//! drift and a margin. An authority that has run out comes back only with an answered
//! renewal of the same lease: then the key was never free in between. What may be done with it
//! depends on how fresh the picture is, too (`sched::authority`).

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
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError>;
    async fn grant(&self, ttl: Duration) -> Result<u64, StoreError>;
    async fn revoke(&self, lease: u64) -> Result<(), StoreError>;
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

/// A leadership that was won.
#[derive(Clone, Debug, PartialEq)]
pub struct Won {
    pub token: u64,
    pub lease: u64,
    /// Version of the leader key: the condition of every write of this leader.
    pub version: u64,
    pub until: Instant,
}

/// The condition under which a leader writes.
pub fn still_leader(version: u64) -> Condition {
    Condition { key: keys::LEADER.into(), version }
}

/// Tries once to take the leadership; none if someone else holds it or the outcome shows
/// that it was not won.
pub async fn take(store: &impl Keeper, me: &str, ttl: Duration) -> Result<Option<Won>, StoreError> {
    if store.get(keys::LEADER).await?.is_some() {
        return Ok(None);
    }
    let (term, term_version) = match store.get(keys::TERM).await? {
        Some(item) => (from_value::<TermRecord>(&item.value).map_or(0, |t| t.term), item.version),
        None => (0, 0),
    };
    let sent = Instant::now();
    let lease = store.grant(ttl).await?;
    let token = term + 1;
    let record = LeaderRecord { member: me.into(), token };
    let txn = Txn {
        conditions: vec![Condition { key: keys::LEADER.into(), version: 0 }, Condition { key: keys::TERM.into(), version: term_version }],
        writes: vec![
            Write::Put { key: keys::LEADER.into(), value: to_value(&record), lease: Some(lease) },
            Write::Put { key: keys::TERM.into(), value: to_value(&TermRecord { term: token }), lease: None },
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
    Ok(Some(Won { token, lease, version, until: sent + usable(ttl) }))
}

/// Moves the term and the leader key on to the next token. The new version is the condition
/// for later writes. After an unknown outcome the key is read back.
pub async fn next_token(store: &impl Keeper, me: &str, won: &Won) -> Result<Option<(u64, u64)>, StoreError> {
    let token = won.token + 1;
    let record = LeaderRecord { member: me.into(), token };
    let txn = Txn {
        conditions: vec![still_leader(won.version)],
        writes: vec![
            Write::Put { key: keys::LEADER.into(), value: to_value(&record), lease: Some(won.lease) },
            Write::Put { key: keys::TERM.into(), value: to_value(&TermRecord { term: token }), lease: None },
        ],
    };
    match store.txn(&txn).await {
        Ok(Decided::Applied(revision)) => Ok(Some((token, revision))),
        Err(StoreError::NoLease) => Ok(None),
        Err(StoreError::Refused(s)) => Err(StoreError::Refused(s)),
        Err(StoreError::Budget(s)) => Err(StoreError::Budget(s)),
        // A conflict can stem from an earlier try of our own whose answer was lost.
        Ok(Decided::Conflict(_)) | Err(_) => match store.get(keys::LEADER).await? {
            Some(item) if from_value::<LeaderRecord>(&item.value).as_ref() == Some(&record) => Ok(Some((token, item.version))),
            Some(item) if item.version == won.version => Err(StoreError::Unknown("not applied yet".into())),
            _ => Ok(None),
        },
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::RefCell;
    use std::collections::{BTreeMap, BTreeSet};
    use wire::store::Value;

    /// Keys with value, version and lease.
    type Keys = BTreeMap<String, (Value, u64, Option<u64>)>;

    /// A state service that loses requests, loses answers, and carries some out late.
    struct StandIn {
        rng: RefCell<fastrand::Rng>,
        keys: RefCell<Keys>,
        leases: RefCell<BTreeSet<u64>>,
        revision: RefCell<u64>,
        late: RefCell<Vec<Txn>>,
        trouble: u32,
    }

    impl StandIn {
        fn new(seed: u64, trouble: u32) -> StandIn {
            StandIn {
                rng: RefCell::new(fastrand::Rng::with_seed(seed)),
                keys: RefCell::default(),
                leases: RefCell::default(),
                revision: RefCell::new(0),
                late: RefCell::default(),
                trouble,
            }
        }

        fn unlucky(&self) -> bool {
            self.rng.borrow_mut().u32(0..100) < self.trouble
        }

        fn lost<T>() -> Result<T, StoreError> {
            Err(StoreError::Unknown("time-out".into()))
        }

        fn end(&self, lease: u64) {
            self.leases.borrow_mut().remove(&lease);
            self.keys.borrow_mut().retain(|_, (_, _, l)| *l != Some(lease));
        }

        fn apply(&self, txn: &Txn) -> Result<Decided, StoreError> {
            let version = |k: &str| self.keys.borrow().get(k).map_or(0, |(_, v, _)| *v);
            let lease_of = |w: &Write| match w {
                Write::Put { lease, .. } => *lease,
                Write::Drop { .. } => None,
            };
            if txn.writes.iter().filter_map(lease_of).any(|l| !self.leases.borrow().contains(&l)) {
                return Err(StoreError::NoLease);
            }
            let failed: Vec<String> = txn.conditions.iter().filter(|c| version(&c.key) != c.version).map(|c| c.key.clone()).collect();
            if !failed.is_empty() {
                return Ok(Decided::Conflict(failed));
            }
            *self.revision.borrow_mut() += 1;
            let revision = *self.revision.borrow();
            for w in &txn.writes {
                match w {
                    Write::Put { key, value, lease } => self.keys.borrow_mut().insert(key.clone(), (value.clone(), revision, *lease)),
                    Write::Drop { key } => self.keys.borrow_mut().remove(key),
                };
            }
            Ok(Decided::Applied(revision))
        }

        fn held_by(&self) -> Option<LeaderRecord> {
            self.keys.borrow().get(keys::LEADER).and_then(|(v, _, _)| from_value(v))
        }
    }

    impl Keeper for StandIn {
        async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
            if self.unlucky() {
                return Self::lost();
            }
            Ok(self.keys.borrow().get(key).map(|(value, version, _)| Item { key: key.into(), value: value.clone(), version: *version }))
        }
        async fn grant(&self, _: Duration) -> Result<u64, StoreError> {
            *self.revision.borrow_mut() += 1;
            let lease = *self.revision.borrow();
            self.leases.borrow_mut().insert(lease);
            if self.unlucky() {
                return Self::lost();
            }
            Ok(lease)
        }
        async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
            if !self.unlucky() {
                self.end(lease);
            }
            Ok(())
        }
        async fn txn(&self, txn: &Txn) -> Result<Decided, StoreError> {
            if self.unlucky() {
                // Lost on the way, or carried out after the sender has given up.
                if self.rng.borrow_mut().bool() {
                    self.late.borrow_mut().push(txn.clone());
                }
                return Self::lost();
            }
            let decided = self.apply(txn);
            if self.unlucky() {
                return Self::lost();
            }
            decided
        }
    }

    /// Many controllers try, move on and end while answers get lost and writes come late: no
    /// token is given out twice, and whoever believes to lead holds the key while its lease runs.
    #[test]
    fn tokens_are_never_given_out_twice_whatever_the_store_loses() {
        let (mut won, mut moved, mut unknown) = (0, 0, 0);
        for seed in 0..300 {
            let s = StandIn::new(seed, 12);
            let mut rng = fastrand::Rng::with_seed(seed);
            let mut leaders: BTreeMap<String, Won> = BTreeMap::new();
            let mut tokens: BTreeSet<u64> = BTreeSet::new();
            for _ in 0..60 {
                let me = format!("rung-{}", rng.u32(0..4));
                match leaders.get(&me).cloned() {
                    Some(mut w) => match smol::block_on(next_token(&s, &me, &w)) {
                        Ok(Some((token, version))) => {
                            assert!(tokens.insert(token), "seed {seed}: token {token} twice");
                            assert!(token > w.token);
                            (w.token, w.version) = (token, version);
                            leaders.insert(me, w);
                            moved += 1;
                        }
                        Ok(None) => {
                            leaders.remove(&me);
                        }
                        Err(_) => unknown += 1,
                    },
                    None => match smol::block_on(take(&s, &me, Duration::from_secs(2))) {
                        Ok(Some(w)) => {
                            assert!(tokens.insert(w.token), "seed {seed}: token {} twice", w.token);
                            assert!(tokens.last() == Some(&w.token), "seed {seed}: an older token");
                            leaders.insert(me, w);
                            won += 1;
                        }
                        Ok(None) => {}
                        Err(_) => unknown += 1,
                    },
                }
                let believe: Vec<_> = leaders.iter().filter(|(_, w)| s.leases.borrow().contains(&w.lease)).collect();
                assert!(believe.len() <= 1, "seed {seed}: two leaders with running leases: {believe:?}");
                if let Some((name, _)) = believe.first() {
                    assert_eq!(s.held_by().map(|l| l.member), Some(name.to_string()), "seed {seed}");
                }
                // Now and then a late write arrives, and a lease runs out.
                if rng.u32(0..4) == 0 {
                    let late = s.late.borrow_mut().pop();
                    late.into_iter().for_each(|t| drop(s.apply(&t)));
                }
                if rng.u32(0..6) == 0 {
                    let lease = s.keys.borrow().get(keys::LEADER).and_then(|(_, _, l)| *l);
                    lease.into_iter().for_each(|l| s.end(l));
                    let running = s.leases.borrow().clone();
                    leaders.retain(|_, w| running.contains(&w.lease));
                }
            }
        }
        assert!(won > 500 && moved > 500 && unknown > 500, "too little happened: {won} {moved} {unknown}");
    }
}
