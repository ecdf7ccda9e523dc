//! Pages of small entries, checked against a plain map.

use std::collections::BTreeMap;
use store::pages::{Pages, Removal};

/// Most bytes of a page's entries.
const LIMIT: usize = 100;
/// Bytes of each entry.
const ENTRY: usize = 20;

/// With a key for each machine, 2,200 machines cost 2,200 writes, at 12 per second, before they could be used.
#[test]
fn pages_stay_below_the_limit_and_agree_with_a_plain_map() {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut pages, mut plain) = (Pages::new(LIMIT), BTreeMap::new());
    for _ in 0..3000 {
        let key = rng.u32(0..60);
        if rng.u32(0..3) > 0 {
            let value = rng.u32(..);
            pages.put(key, ENTRY, value);
            plain.insert(key, value);
        } else {
            pages.remove(&key, Removal::Urgent);
            plain.remove(&key);
        }
        let mut stored = BTreeMap::new();
        for page in 0..60 {
            let entries: Vec<_> = pages
                .page(page)
                .map(|p| p.map(|(k, v)| (*k, *v)).collect())
                .unwrap_or_default();
            assert!(entries.len() <= LIMIT / ENTRY, "a page is too large");
            stored.extend(entries);
        }
        assert_eq!(stored, plain);
        while let Some(page) = pages.next_dirty() {
            pages.mark_written(page);
        }
    }
    assert!(plain.len() > 10);
}

/// The pages as the store holds them.
type Stored = BTreeMap<u32, BTreeMap<u32, u32>>;

fn write(pages: &mut Pages<u32, u32>, stored: &mut Stored, unit: &[u32]) {
    for page in unit {
        let entries: BTreeMap<u32, u32> = pages
            .page(*page)
            .map(|p| p.map(|(k, v)| (*k, *v)).collect())
            .unwrap_or_default();
        assert!(entries.len() <= LIMIT / ENTRY, "a page is too large");
        stored.insert(*page, entries);
        pages.mark_written(*page);
    }
}

fn union(stored: &Stored) -> BTreeMap<u32, u32> {
    stored.values().flatten().map(|(k, v)| (*k, *v)).collect()
}

/// Pages that were filled under a larger limit are loaded, and split only when they are written: together, so
/// that the store lacks no entry at any time. The new pages follow the old one, also by their keys, since
/// readers of version 0.1 remove what a page held when it is written again.
#[test]
fn pages_filled_to_a_larger_limit_are_split_when_they_are_written() {
    let mut stored = Stored::new();
    for page in [0, 3, 9, 10, 11] {
        let entries = (0..11).map(|i| (page * 100 + i, i));
        stored.insert(page, entries.collect());
    }
    let mut pages = Pages::new(LIMIT);
    for (page, entries) in &stored {
        for (key, value) in entries {
            pages.load(*page, *key, ENTRY, *value);
        }
    }
    assert_eq!(pages.next_dirty(), None, "loading makes no page dirty");
    let mut plain = union(&stored);
    for removed in [305, 907, 1010] {
        pages.remove(&removed, Removal::Urgent);
        plain.remove(&removed);
    }
    pages.put(42, ENTRY, 7);
    plain.insert(42, 7);
    while let Some(page) = pages.next_dirty() {
        let unit = pages.write_unit(page);
        let name = |page: &u32| page.to_string();
        assert!(unit.iter().skip(1).all(|new| name(new) > name(&unit[0])));
        assert!(unit.contains(&page));
        let before = union(&stored);
        write(&mut pages, &mut stored, &unit);
        let after = union(&stored);
        assert!(before
            .keys()
            .all(|k| after.contains_key(k) || !plain.contains_key(k)));
    }
    assert_eq!(union(&stored), plain);
    assert_eq!(
        stored[&0].len(),
        11,
        "a page that is not written stays as it is"
    );
}

/// A split that needs several transactions leaves entries on two pages for a while. If the leader ends in
/// between, its successor finds them there, and counts each entry once.
#[test]
fn an_entry_on_two_pages_counts_once() {
    let mut pages = Pages::new(LIMIT);
    for (page, key) in [(0, 1), (0, 2), (4, 2), (4, 3)] {
        pages.load(page, key, ENTRY, key);
    }
    assert_eq!(
        pages.next_dirty(),
        Some(0),
        "the copy loaded first is removed"
    );
    pages.remove(&2, Removal::Urgent);
    let mut stored = Stored::from([
        (0, BTreeMap::from([(1, 1), (2, 2)])),
        (4, BTreeMap::from([(2, 2), (3, 3)])),
    ]);
    while let Some(page) = pages.next_dirty() {
        let unit = pages.write_unit(page);
        write(&mut pages, &mut stored, &unit);
    }
    assert_eq!(union(&stored), BTreeMap::from([(1, 1), (3, 3)]));
}
