//! Compares `RangeSet` with a `BTreeSet` under random operations.

use sched::ranges::{to_runs, RangeSet};
use std::collections::BTreeSet;

#[test]
fn range_set_behaves_like_btree_set() {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut ranges, mut expected) = (RangeSet::full(40), (0..40).collect::<BTreeSet<u32>>());
    for _ in 0..5000 {
        let i = rng.u32(0..50);
        match rng.u8(0..5) {
            0 | 1 => assert_eq!(ranges.insert(i), expected.insert(i)),
            2 | 3 => assert_eq!(ranges.remove(i), expected.remove(&i)),
            _ => assert_eq!(ranges.contains(i), expected.contains(&i)),
        }
        assert!(ranges.iter().eq(expected.iter().copied()));
        assert_eq!(ranges.len() as usize, expected.len());
    }
    let mut decoded = RangeSet::default();
    let bytes: Vec<u8> = ranges
        .to_hex_bitmap(0, 50)
        .as_bytes()
        .chunks(2)
        .map(|c| u8::from_str_radix(std::str::from_utf8(c).unwrap(), 16).unwrap())
        .collect();
    decoded.insert_bitmap(0, &bytes, 50);
    assert_eq!(decoded, ranges);
    assert_eq!(to_runs([1, 2, 3, 7, 9, 10]), [(1, 3), (7, 1), (9, 2)]);
}
