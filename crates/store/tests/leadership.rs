//! Leadership while the state service loses and delays what it is sent.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use store::client::{Decided, StoreError};
use store::keys;
use store::leadership::{next_token, take, Keeper, LeadershipLease};
use wire::store::Value;
use wire::store::{from_value, Item, LeaderRecord, Txn, Write};

/// Keys with value, version and lease.
type Keys = BTreeMap<String, (Value, u64, Option<u64>)>;

/// A state service that loses requests, loses answers, and carries some out late.
struct StandIn {
    rng: RefCell<fastrand::Rng>,
    keys: RefCell<Keys>,
    leases: RefCell<BTreeSet<u64>>,
    revision: RefCell<u64>,
    late: RefCell<Vec<Txn>>,
    inject_fault: u32,
}

impl StandIn {
    fn new(seed: u64, inject_fault: u32) -> StandIn {
        StandIn {
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            keys: RefCell::default(),
            leases: RefCell::default(),
            revision: RefCell::new(0),
            late: RefCell::default(),
            inject_fault,
        }
    }

    fn unlucky(&self) -> bool {
        self.rng.borrow_mut().u32(0..100) < self.inject_fault
    }

    fn lost<T>() -> Result<T, StoreError> {
        Err(StoreError::Unknown("time-out".into()))
    }

    fn end(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        self.keys
            .borrow_mut()
            .retain(|_, (_, _, l)| *l != Some(lease));
    }

    fn apply(&self, txn: &Txn) -> Result<Decided, StoreError> {
        let version = |k: &str| self.keys.borrow().get(k).map_or(0, |(_, v, _)| *v);
        let lease_of = |w: &Write| match w {
            Write::Put { lease, .. } => *lease,
            Write::Drop { .. } => None,
        };
        if txn
            .writes
            .iter()
            .filter_map(lease_of)
            .any(|l| !self.leases.borrow().contains(&l))
        {
            return Err(StoreError::NoLease);
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(Decided::Conflict(failed));
        }
        *self.revision.borrow_mut() += 1;
        let revision = *self.revision.borrow();
        for w in &txn.writes {
            match w {
                Write::Put { key, value, lease } => self
                    .keys
                    .borrow_mut()
                    .insert(key.clone(), (value.clone(), revision, *lease)),
                Write::Drop { key } => self.keys.borrow_mut().remove(key),
            };
        }
        Ok(Decided::Applied(revision))
    }

    fn held_by(&self) -> Option<LeaderRecord> {
        self.keys
            .borrow()
            .get(keys::LEADER)
            .and_then(|(v, _, _)| from_value(v))
    }
}

impl Keeper for StandIn {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        if self.unlucky() {
            return Self::lost();
        }
        Ok(self.keys.borrow().get(key).map(|(value, version, _)| Item {
            key: key.into(),
            value: value.clone(),
            version: *version,
        }))
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
    let (mut taken, mut moved, mut unknown) = (0, 0, 0);
    for seed in 0..300 {
        let s = StandIn::new(seed, 12);
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut leaders: BTreeMap<String, LeadershipLease> = BTreeMap::new();
        let mut tokens: BTreeSet<u64> = BTreeSet::new();
        for _ in 0..60 {
            let member = format!("rung-{}", rng.u32(0..4));
            match leaders.get(&member).cloned() {
                Some(mut w) => match smol::block_on(next_token(&s, &member, &w)) {
                    Ok(Some((token, version))) => {
                        assert!(tokens.insert(token), "seed {seed}: token {token} twice");
                        assert!(token > w.token);
                        (w.token, w.version) = (token, version);
                        leaders.insert(member, w);
                        moved += 1;
                    }
                    Ok(None) => {
                        leaders.remove(&member);
                    }
                    Err(_) => unknown += 1,
                },
                None => match smol::block_on(take(&s, &member, Duration::from_secs(2))) {
                    Ok(Some(w)) => {
                        assert!(
                            tokens.insert(w.token),
                            "seed {seed}: token {} twice",
                            w.token
                        );
                        assert!(
                            tokens.last() == Some(&w.token),
                            "seed {seed}: an older token"
                        );
                        leaders.insert(member, w);
                        taken += 1;
                    }
                    Ok(None) => {}
                    Err(_) => unknown += 1,
                },
            }
            let believe: Vec<_> = leaders
                .iter()
                .filter(|(_, w)| s.leases.borrow().contains(&w.lease_id))
                .collect();
            assert!(
                believe.len() <= 1,
                "seed {seed}: two leaders with running leases: {believe:?}"
            );
            if let Some((name, _)) = believe.first() {
                assert_eq!(
                    s.held_by().map(|l| l.member),
                    Some(name.to_string()),
                    "seed {seed}"
                );
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
                leaders.retain(|_, w| running.contains(&w.lease_id));
            }
        }
    }
    assert!(
        taken > 500 && moved > 500 && unknown > 500,
        "too little happened: {taken} {moved} {unknown}"
    );
}
