//! Pages of small entries against a plain map.

use std::collections::BTreeMap;
use store::pages::Pages;

/// A key for each machine cost 2,200 writes, at 12 a second, before that many could be used.
#[test]
fn pages_stay_below_the_limit_and_agree_with_a_plain_map() {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut jobs_as_read, mut plain) = (Pages::new(100), BTreeMap::new());
    for _ in 0..3000 {
        let key = rng.u32(0..60);
        if rng.u32(0..3) > 0 {
            let value = rng.u32(..);
            jobs_as_read.put(key, 20, value);
            plain.insert(key, value);
        } else {
            jobs_as_read.remove(&key, true);
            plain.remove(&key);
        }
        let mut stored = BTreeMap::new();
        for page in 0..60 {
            let entries: Vec<_> = jobs_as_read
                .page(page)
                .map(|p| p.map(|(k, v)| (*k, *v)).collect())
                .unwrap_or_default();
            assert!(entries.len() <= 5, "a page is too large");
            stored.extend(entries);
        }
        assert_eq!(stored, plain);
        while let Some(page) = jobs_as_read.next_dirty() {
            jobs_as_read.written(page);
        }
    }
    assert!(plain.len() > 10);
}

/// What the store holds of the pages: written as they are here.
type Stored = BTreeMap<u32, BTreeMap<u32, u32>>;

fn write(jobs_as_read: &mut Pages<u32, u32>, stored: &mut Stored, unit: &[u32]) {
    for page in unit {
        let entries: BTreeMap<u32, u32> = jobs_as_read
            .page(*page)
            .map(|p| p.map(|(k, v)| (*k, *v)).collect())
            .unwrap_or_default();
        assert!(entries.len() <= 5, "a page is too large");
        stored.insert(*page, entries);
        jobs_as_read.written(*page);
    }
}

fn union(stored: &Stored) -> BTreeMap<u32, u32> {
    stored.values().flatten().map(|(k, v)| (*k, *v)).collect()
}

/// Pages that were filled up to a larger limit are read, and split only when they are written: together,
/// so that the store lacks no entry at any time. The new pages come after the old one, also by their
/// keys, since readers of version 0.1 forget what a page held when it is written anew.
#[test]
fn pages_filled_to_a_larger_limit_are_split_when_they_are_written() {
    let mut stored = Stored::new();
    for page in [0, 3, 9, 10, 11] {
        let entries = (0..11).map(|i| (page * 100 + i, i));
        stored.insert(page, entries.collect());
    }
    let mut jobs_as_read = Pages::new(100);
    for (page, entries) in &stored {
        for (key, value) in entries {
            jobs_as_read.load(*page, *key, 20, *value);
        }
    }
    assert_eq!(jobs_as_read.next_dirty(), None, "reading writes nothing");
    let mut plain = union(&stored);
    for removed in [305, 907, 1010] {
        jobs_as_read.remove(&removed, true);
        plain.remove(&removed);
    }
    jobs_as_read.put(42, 20, 7);
    plain.insert(42, 7);
    while let Some(page) = jobs_as_read.next_dirty() {
        let unit = jobs_as_read.write_unit(page);
        let name = |page: &u32| page.to_string();
        assert!(unit.iter().skip(1).all(|new| name(new) > name(&unit[0])));
        assert!(unit.contains(&page));
        let before = union(&stored);
        write(&mut jobs_as_read, &mut stored, &unit);
        let after = union(&stored);
        assert!(before
            .keys()
            .all(|k| after.contains_key(k) || !plain.contains_key(k)));
    }
    assert_eq!(union(&stored), plain);
    assert_eq!(stored[&0].len(), 11, "what is not written stays as it is");
}

/// A split that needs several transactions leaves entries on two pages for a while. A leader that ends
/// in between leaves it at that; its successor counts each entry once.
#[test]
fn an_entry_on_two_pages_counts_once() {
    let mut jobs_as_read = Pages::new(100);
    for (page, key) in [(0, 1), (0, 2), (4, 2), (4, 3)] {
        jobs_as_read.load(page, key, 20, key);
    }
    assert_eq!(
        jobs_as_read.next_dirty(),
        Some(0),
        "the older copy is taken out"
    );
    jobs_as_read.remove(&2, true);
    let mut stored = Stored::from([
        (0, BTreeMap::from([(1, 1), (2, 2)])),
        (4, BTreeMap::from([(2, 2), (3, 3)])),
    ]);
    while let Some(page) = jobs_as_read.next_dirty() {
        let unit = jobs_as_read.write_unit(page);
        write(&mut jobs_as_read, &mut stored, &unit);
    }
    assert_eq!(union(&stored), BTreeMap::from([(1, 1), (3, 3)]));
}
