//! Versions of the keys that a leader writes repeatedly.

use std::collections::{BTreeMap, BTreeSet};
use store::versions::{KeyVersions, Presence};
use wire::store::{to_value, Condition, StartedArraysRecord, Write};

const SEEDS: u64 = 200;
const WRITES: u64 = 60;
const PAGES: u32 = 3;

/// Write of some roster pages. A request with a higher `content` was sent later.
#[derive(Clone)]
struct Request {
    conditions: Vec<Condition>,
    keys: Vec<String>,
    content: u64,
}

#[derive(Clone)]
struct StoredKey {
    version: u64,
    content: u64,
}

#[derive(Default)]
struct InMemoryStore {
    revision: u64,
    keys: BTreeMap<String, StoredKey>,
}

impl InMemoryStore {
    /// Applies the request if its conditions hold, and returns whether they do.
    fn apply(&mut self, request: &Request) -> bool {
        let version = |key: &String| self.keys.get(key).map_or(0, |stored| stored.version);
        let mut conditions = request.conditions.iter();
        if conditions.any(|condition| version(&condition.key) != condition.version) {
            return false;
        }
        self.revision += 1;
        let stored = StoredKey {
            version: self.revision,
            content: request.content,
        };
        let keys = request.keys.iter().cloned();
        self.keys.extend(keys.map(|key| (key, stored.clone())));
        true
    }
}

fn writes(request: &Request) -> Vec<Write> {
    let value = to_value(&StartedArraysRecord {
        upto: request.content,
        waiting: Vec::new(),
    });
    let put = |key: &String| Write::Put {
        key: key.clone(),
        value: value.clone(),
        lease: None,
    };
    request.keys.iter().map(put).collect()
}

/// The store applies writes late and twice, and loses responses. If an older write of the same
/// leader removed the newest machines from the roster, the next leader would start the tasks of
/// these machines a second time.
#[test]
fn an_older_write_never_undoes_a_newer_one() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store = InMemoryStore::default();
        let (mut sent, mut confirmed) = (Vec::<Request>::new(), 0);
        let mut known = KeyVersions::default();
        for content in 1..=WRITES {
            let keys: BTreeSet<String> = (0..1 + rng.usize(0..2))
                .map(|_| format!("lr/roster/{}", rng.u32(0..PAGES)))
                .collect();
            let request = Request {
                conditions: keys.iter().map(|key| known.condition(key)).collect(),
                keys: keys.into_iter().collect(),
                content,
            };
            sent.push(request.clone());
            let is_late = rng.u32(0..4) == 0;
            let is_applied = !is_late && store.apply(&request);
            if is_applied && rng.u32(0..4) > 0 {
                known.record_applied(&writes(&request), store.revision);
                confirmed += 1;
            } else if !is_applied || rng.bool() {
                // After an unknown outcome or a conflict, the keys are read from the store.
                for (key, stored) in &store.keys {
                    known.record_change(key, stored.version, Presence::Present);
                }
            }
            // Any request sent so far may be applied now, even a second time.
            let before = store.keys.clone();
            let again = sent[rng.usize(0..sent.len())].clone();
            store.apply(&again);
            for (key, StoredKey { content, .. }) in &store.keys {
                let newest = before.get(key).map_or(0, |stored| stored.content);
                assert!(
                    *content >= newest,
                    "seed {seed}: {key} went back from {newest} to {content}"
                );
            }
        }
        assert!(
            confirmed > 5,
            "seed {seed}: too few writes were confirmed: {confirmed}"
        );
    }
}
