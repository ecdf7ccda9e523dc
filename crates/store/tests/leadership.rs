//! Leader election while the state service loses and delays requests and responses.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use store::client::{StoreError, TxnOutcome};
use store::keys;
use store::leadership::{acquire, advance_token, LeaderStore, LeadershipLease, NextToken};
use wire::store::{from_value, Item, LeaderRecord, Txn, Value, Write};

/// Percentage of requests, and of responses, that are lost.
const FAULT_PERCENT: u32 = 12;

struct StoredKey {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

/// State service that loses requests and responses, and applies some transactions late.
struct FaultyStore {
    rng: RefCell<fastrand::Rng>,
    keys: RefCell<BTreeMap<String, StoredKey>>,
    leases: RefCell<BTreeSet<u64>>,
    revision: RefCell<u64>,
    /// Transactions that are not applied yet, although their senders have given up.
    delayed: RefCell<Vec<Txn>>,
    fault_percent: u32,
}

impl FaultyStore {
    fn new(seed: u64, fault_percent: u32) -> FaultyStore {
        FaultyStore {
            rng: RefCell::new(fastrand::Rng::with_seed(seed)),
            keys: RefCell::default(),
            leases: RefCell::default(),
            revision: RefCell::new(0),
            delayed: RefCell::default(),
            fault_percent,
        }
    }

    fn fault_occurs(&self) -> bool {
        self.rng.borrow_mut().u32(0..100) < self.fault_percent
    }

    fn unknown_outcome<T>() -> Result<T, StoreError> {
        Err(StoreError::OutcomeUnknown("time-out".into()))
    }

    fn end_lease(&self, lease: u64) {
        self.leases.borrow_mut().remove(&lease);
        self.keys
            .borrow_mut()
            .retain(|_, stored| stored.lease != Some(lease));
    }

    fn apply(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        let version = |k: &str| self.keys.borrow().get(k).map_or(0, |stored| stored.version);
        let lease_of = |w: &Write| match w {
            Write::Put { lease, .. } => *lease,
            Write::Delete { .. } => None,
        };
        if txn
            .writes
            .iter()
            .filter_map(lease_of)
            .any(|l| !self.leases.borrow().contains(&l))
        {
            return Err(StoreError::LeaseNotFound);
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Ok(TxnOutcome::Conflict(failed));
        }
        *self.revision.borrow_mut() += 1;
        let revision = *self.revision.borrow();
        for write in &txn.writes {
            match write {
                Write::Put { key, value, lease } => {
                    let stored = StoredKey {
                        value: value.clone(),
                        version: revision,
                        lease: *lease,
                    };
                    self.keys.borrow_mut().insert(key.clone(), stored)
                }
                Write::Delete { key } => self.keys.borrow_mut().remove(key),
            };
        }
        Ok(TxnOutcome::Applied(revision))
    }

    fn lease_of(&self, key: &str) -> Option<u64> {
        let stored = self.keys.borrow();
        stored.get(key).and_then(|stored| stored.lease)
    }

    fn stored_leader(&self) -> Option<LeaderRecord> {
        self.keys
            .borrow()
            .get(keys::LEADER)
            .and_then(|stored| from_value(&stored.value))
    }
}

impl LeaderStore for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Item>, StoreError> {
        if self.fault_occurs() {
            return Self::unknown_outcome();
        }
        Ok(self.keys.borrow().get(key).map(|stored| Item {
            key: key.into(),
            value: stored.value.clone(),
            version: stored.version,
        }))
    }
    async fn grant(&self, _: Duration) -> Result<u64, StoreError> {
        *self.revision.borrow_mut() += 1;
        let lease = *self.revision.borrow();
        self.leases.borrow_mut().insert(lease);
        if self.fault_occurs() {
            return Self::unknown_outcome();
        }
        Ok(lease)
    }
    async fn revoke(&self, lease: u64) -> Result<(), StoreError> {
        if !self.fault_occurs() {
            self.end_lease(lease);
        }
        Ok(())
    }
    async fn txn(&self, txn: &Txn) -> Result<TxnOutcome, StoreError> {
        if self.fault_occurs() {
            // The request is lost, or applied after the sender has given up.
            if self.rng.borrow_mut().bool() {
                self.delayed.borrow_mut().push(txn.clone());
            }
            return Self::unknown_outcome();
        }
        let outcome = self.apply(txn);
        if self.fault_occurs() {
            return Self::unknown_outcome();
        }
        outcome
    }
}

/// Controllers that acquire and lose leadership and advance the token. `leaders` holds those that
/// consider themselves the leader, `tokens` all tokens that were issued.
struct Controllers {
    store: FaultyStore,
    rng: fastrand::Rng,
    seed: u64,
    leaders: BTreeMap<String, LeadershipLease>,
    tokens: BTreeSet<u64>,
}

/// Number of calls by outcome.
#[derive(Default)]
struct Counts {
    acquired: u32,
    advanced: u32,
    unknown: u32,
}

impl Controllers {
    fn new(seed: u64) -> Controllers {
        Controllers {
            store: FaultyStore::new(seed, FAULT_PERCENT),
            rng: fastrand::Rng::with_seed(seed),
            seed,
            leaders: BTreeMap::new(),
            tokens: BTreeSet::new(),
        }
    }

    /// Advances the token of a random controller if it leads, or else lets it try to acquire
    /// leadership.
    fn step(&mut self, counts: &mut Counts) {
        let member = format!("rung-{}", self.rng.u32(0..4));
        match self.leaders.get(&member).cloned() {
            Some(lease) => self.advance(member, lease, counts),
            None => self.acquire(member, counts),
        }
    }

    fn advance(&mut self, member: String, mut lease: LeadershipLease, counts: &mut Counts) {
        let seed = self.seed;
        match smol::block_on(advance_token(&self.store, &member, &lease)) {
            Ok(Some(NextToken { token, version })) => {
                assert!(
                    self.tokens.insert(token),
                    "seed {seed}: token {token} was issued twice"
                );
                assert!(token > lease.token);
                (lease.token, lease.version) = (token, version);
                self.leaders.insert(member, lease);
                counts.advanced += 1;
            }
            Ok(None) => {
                self.leaders.remove(&member);
            }
            Err(_) => counts.unknown += 1,
        }
    }

    fn acquire(&mut self, member: String, counts: &mut Counts) {
        let seed = self.seed;
        match smol::block_on(acquire(&self.store, &member, Duration::from_secs(2))) {
            Ok(Some(lease)) => {
                let token = lease.token;
                assert!(
                    self.tokens.insert(token),
                    "seed {seed}: token {token} was issued twice"
                );
                assert!(
                    self.tokens.last() == Some(&token),
                    "seed {seed}: token {token} is not the highest one"
                );
                self.leaders.insert(member, lease);
                counts.acquired += 1;
            }
            Ok(None) => {}
            Err(_) => counts.unknown += 1,
        }
    }

    /// Checks that at most one controller with a valid lease considers itself the leader, and that
    /// it holds the leader's key.
    fn check_single_leader(&self) {
        let seed = self.seed;
        let with_lease: Vec<_> = self
            .leaders
            .iter()
            .filter(|(_, lease)| self.store.leases.borrow().contains(&lease.lease_id))
            .collect();
        assert!(
            with_lease.len() <= 1,
            "seed {seed}: two leaders with valid leases: {with_lease:?}"
        );
        if let Some((name, _)) = with_lease.first() {
            let holder = self.store.stored_leader().map(|leader| leader.member);
            assert_eq!(holder, Some(name.to_string()), "seed {seed}");
        }
    }

    /// Applies a delayed transaction and expires the leader's lease, each at random.
    fn inject_faults(&mut self) {
        if self.rng.u32(0..4) == 0 {
            let delayed = self.store.delayed.borrow_mut().pop();
            delayed
                .into_iter()
                .for_each(|txn| drop(self.store.apply(&txn)));
        }
        if self.rng.u32(0..6) == 0 {
            let lease = self.store.lease_of(keys::LEADER);
            lease
                .into_iter()
                .for_each(|lease| self.store.end_lease(lease));
            let valid_leases = self.store.leases.borrow().clone();
            self.leaders
                .retain(|_, lease| valid_leases.contains(&lease.lease_id));
        }
    }
}

/// Several controllers acquire and lose leadership and advance the token while responses are lost
/// and writes arrive late. No token may be issued twice, and a controller that considers itself the
/// leader must hold the leader's key while its lease is valid.
#[test]
fn tokens_are_unique_despite_store_faults() {
    let mut counts = Counts::default();
    for seed in 0..300 {
        let mut controllers = Controllers::new(seed);
        for _ in 0..60 {
            controllers.step(&mut counts);
            controllers.check_single_leader();
            controllers.inject_faults();
        }
    }
    let Counts {
        acquired,
        advanced,
        unknown,
    } = counts;
    assert!(
        acquired > 500 && advanced > 500 && unknown > 500,
        "too few calls: {acquired} acquired, {advanced} advanced, {unknown} with an unknown outcome"
    );
}
