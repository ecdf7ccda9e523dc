//! Pages of small entries, checked against a plain map.

use std::collections::BTreeMap;
use store::pages::{Pages, Removal};

/// Maximum total size of a page's entries, in bytes.
const PAGE_LIMIT_BYTES: usize = 100;
/// Size of each entry, in bytes.
const ENTRY_BYTES: usize = 20;

/// With one key per machine, 2,200 machines took 2,200 writes, at 12 writes per second, before they
/// could be used. Entries are therefore packed into pages.
#[test]
fn pages_stay_within_limit_and_match_a_map() {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut pages, mut expected) = (Pages::new(PAGE_LIMIT_BYTES), BTreeMap::new());
    for _ in 0..3000 {
        let key = rng.u32(0..60);
        if rng.u32(0..3) > 0 {
            let value = rng.u32(..);
            pages.put(key, ENTRY_BYTES, value);
            expected.insert(key, value);
        } else {
            pages.remove(&key, Removal::Urgent);
            expected.remove(&key);
        }
        let mut stored = BTreeMap::new();
        for page in 0..60 {
            let entries: Vec<_> = pages
                .page(page)
                .map(|p| p.map(|(k, v)| (*k, *v)).collect())
                .unwrap_or_default();
            assert!(
                entries.len() <= PAGE_LIMIT_BYTES / ENTRY_BYTES,
                "a page is too large"
            );
            stored.extend(entries);
        }
        assert_eq!(stored, expected);
        while let Some(page) = pages.next_dirty() {
            pages.mark_written(page);
        }
    }
    assert!(expected.len() > 10);
}

/// Pages as the store holds them.
type StoredPages = BTreeMap<u32, BTreeMap<u32, u32>>;

fn write(pages: &mut Pages<u32, u32>, stored: &mut StoredPages, unit: &[u32]) {
    for page in unit {
        let entries: BTreeMap<u32, u32> = pages
            .page(*page)
            .map(|p| p.map(|(k, v)| (*k, *v)).collect())
            .unwrap_or_default();
        assert!(
            entries.len() <= PAGE_LIMIT_BYTES / ENTRY_BYTES,
            "a page is too large"
        );
        stored.insert(*page, entries);
        pages.mark_written(*page);
    }
}

fn union(stored: &StoredPages) -> BTreeMap<u32, u32> {
    stored.values().flatten().map(|(k, v)| (*k, *v)).collect()
}

/// Pages that were filled under a larger limit must be loaded unchanged and split only when they
/// are written. All pages of a split are written together, so that no entry is missing from the
/// store at any time. The new pages come after the old page in the transaction, and their keys sort
/// after its key, so that controllers of version 0.1 read them last: when the old page is written,
/// these controllers remove all entries that it held before, including those that have moved.
#[test]
fn oversized_pages_are_split_on_the_next_write() {
    let mut stored = StoredPages::new();
    for page in [0, 3, 9, 10, 11] {
        let entries = (0..11).map(|i| (page * 100 + i, i));
        stored.insert(page, entries.collect());
    }
    let mut pages = Pages::new(PAGE_LIMIT_BYTES);
    for (page, entries) in &stored {
        for (key, value) in entries {
            pages.load(*page, *key, ENTRY_BYTES, *value);
        }
    }
    assert_eq!(
        pages.next_dirty(),
        None,
        "loading must not make a page dirty"
    );
    let mut expected = union(&stored);
    for removed in [305, 907, 1010] {
        pages.remove(&removed, Removal::Urgent);
        expected.remove(&removed);
    }
    pages.put(42, ENTRY_BYTES, 7);
    expected.insert(42, 7);
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
            .all(|k| after.contains_key(k) || !expected.contains_key(k)));
    }
    assert_eq!(union(&stored), expected);
    assert_eq!(
        stored[&0].len(),
        11,
        "a page that is not written must not be split"
    );
}

/// A split that takes several transactions leaves entries on two pages for a while. If the leader
/// is replaced in between, its successor loads both copies and must count each entry once.
#[test]
fn an_entry_on_two_pages_counts_once() {
    let mut pages = Pages::new(PAGE_LIMIT_BYTES);
    for (page, key) in [(0, 1), (0, 2), (4, 2), (4, 3)] {
        pages.load(page, key, ENTRY_BYTES, key);
    }
    assert_eq!(
        pages.next_dirty(),
        Some(0),
        "removing the copy that was loaded first must make its page dirty"
    );
    pages.remove(&2, Removal::Urgent);
    let mut stored = StoredPages::from([
        (0, BTreeMap::from([(1, 1), (2, 2)])),
        (4, BTreeMap::from([(2, 2), (3, 3)])),
    ]);
    while let Some(page) = pages.next_dirty() {
        let unit = pages.write_unit(page);
        write(&mut pages, &mut stored, &unit);
    }
    assert_eq!(union(&stored), BTreeMap::from([(1, 1), (3, 3)]));
}
