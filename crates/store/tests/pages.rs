//! Pages of small entries against a plain map.

use std::collections::BTreeMap;
use store::pages::Pages;

/// A key for each machine cost 2,200 writes, at 12 a second, before that many could be used.
#[test]
fn pages_stay_below_the_limit_and_agree_with_a_plain_map() {
    let mut rng = fastrand::Rng::with_seed(5);
    let (mut book, mut plain) = (Pages::new(100), BTreeMap::new());
    for _ in 0..3000 {
        let key = rng.u32(0..60);
        if rng.u32(0..3) > 0 {
            let value = rng.u32(..);
            book.put(key, 20, value);
            plain.insert(key, value);
        } else {
            book.remove(&key, true);
            plain.remove(&key);
        }
        let mut stored = BTreeMap::new();
        for page in 0..60 {
            let entries: Vec<_> = book
                .page(page)
                .map(|p| p.map(|(k, v)| (*k, *v)).collect())
                .unwrap_or_default();
            assert!(entries.len() <= 5, "a page is too large");
            stored.extend(entries);
        }
        assert_eq!(stored, plain);
        while let Some(page) = book.next_dirty() {
            book.written(page);
        }
    }
    assert!(plain.len() > 10);
}
