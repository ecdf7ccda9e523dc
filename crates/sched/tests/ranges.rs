//! Sets of task numbers against a plain set.

use sched::ranges::{to_runs, RangeSet};
use std::collections::BTreeSet;

#[test]
fn behaves_as_a_plain_set() {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut fast, mut plain) = (RangeSet::full(40), (0..40).collect::<BTreeSet<u32>>());
    for _ in 0..5000 {
        let i = rng.u32(0..50);
        match rng.u8(0..5) {
            0 | 1 => assert_eq!(fast.insert(i), plain.insert(i)),
            2 | 3 => assert_eq!(fast.remove(i), plain.remove(&i)),
            _ => assert_eq!(fast.contains(i), plain.contains(&i)),
        }
        assert!(fast.iter().eq(plain.iter().copied()));
        assert_eq!(fast.len() as usize, plain.len());
    }
    let mut back = RangeSet::default();
    let bytes: Vec<u8> = fast
        .to_hex_bitmap(0, 50)
        .as_bytes()
        .chunks(2)
        .map(|c| u8::from_str_radix(std::str::from_utf8(c).unwrap(), 16).unwrap())
        .collect();
    back.insert_bitmap(0, &bytes, 50);
    assert_eq!(back, fast);
    assert_eq!(to_runs([1, 2, 3, 7, 9, 10]), [(1, 3), (7, 1), (9, 2)]);
}
