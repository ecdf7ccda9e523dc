//! Versions of the keys that a leader writes.

use std::collections::{BTreeMap, BTreeSet};
use store::versions::*;
use wire::store::{to_value, Condition, StartedArraysRecord, Write};

/// A state service that carries writes out late, and again, and loses answers. A roster that
/// lost its newest machines to an older write of the same leader would let the next leader
/// start their tasks a second time.
#[test]
fn an_older_write_of_the_same_leader_never_undoes_a_newer_one() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut store: BTreeMap<String, (u64, u64)> = BTreeMap::new();
        let (mut revision, mut sent, mut done) =
            (0u64, Vec::<(Vec<Condition>, Vec<String>, u64)>::new(), 0);
        let mut known = Versions::default();
        let apply = |store: &mut BTreeMap<String, (u64, u64)>,
                     revision: &mut u64,
                     t: &(Vec<Condition>, Vec<String>, u64)| {
            if t.0
                .iter()
                .any(|c| store.get(&c.key).map_or(0, |(v, _)| *v) != c.version)
            {
                return false;
            }
            *revision += 1;
            store.extend(t.1.iter().map(|k| (k.clone(), (*revision, t.2))));
            true
        };
        for content in 1..=60u64 {
            let keys: BTreeSet<String> = (0..1 + rng.usize(0..2))
                .map(|_| format!("lr/roster/{}", rng.u32(0..3)))
                .collect();
            let keys: Vec<String> = keys.into_iter().collect();
            let txn = (
                keys.iter().map(|k| known.condition(k)).collect(),
                keys.clone(),
                content,
            );
            sent.push(txn.clone());
            let late = rng.u32(0..4) == 0;
            let ok = !late && apply(&mut store, &mut revision, &txn);
            if ok && rng.u32(0..4) > 0 {
                let value = to_value(&StartedArraysRecord {
                    upto: content,
                    waiting: Vec::new(),
                });
                let writes: Vec<Write> = keys
                    .into_iter()
                    .map(|key| Write::Put {
                        key,
                        value: value.clone(),
                        lease: None,
                    })
                    .collect();
                known.applied(&writes, revision);
                done += 1;
            } else if !ok || rng.bool() {
                // An unknown outcome or a conflict: a look at the store brings what it holds.
                store
                    .iter()
                    .for_each(|(k, (v, _))| known.changed(k, *v, true));
            }
            // Any earlier request may be carried out now, also once more.
            let before = store.clone();
            let again = sent[rng.usize(0..sent.len())].clone();
            apply(&mut store, &mut revision, &again);
            for (key, (_, content)) in &store {
                let newest = before.get(key).map_or(0, |(_, c)| *c);
                assert!(
                    *content >= newest,
                    "seed {seed}: {key} went back from {newest} to {content}"
                );
            }
        }
        assert!(done > 5, "seed {seed}: too little was written");
    }
}
