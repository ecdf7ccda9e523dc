//! Messages that wait for a connection between controllers.

use ladderroute::outbox::{Outbox, MAX_WRITE_BYTES};

/// After an outage of the store thousands of finished tasks are cleared at once: the count of
/// frames was bounded, so that the queue overflowed, and the owner was lost for no reason.
#[test]
fn many_small_frames_fit_and_authority_goes_before_them() {
    let o = Outbox::new(1 << 20);
    for _ in 0..16_000 {
        o.send(vec![1; 60]);
    }
    assert!(!o.is_closed());
    assert!(smol::block_on(o.next()).is_some());
    o.send_urgent(&[2; 9]);
    let next = smol::block_on(o.next()).unwrap();
    assert_eq!(next[..9], [2; 9]);
    assert!(next.len() <= MAX_WRITE_BYTES + 9);
    let mut left = 0;
    while let Some(bytes) = o.try_next() {
        left += bytes.len();
    }
    assert!(left > 16_000 * 60 - 3 * MAX_WRITE_BYTES);
}

#[test]
fn frames_keep_their_order_and_are_bounded_in_bytes() {
    let o = Outbox::new(300_000);
    let mut sent = Vec::new();
    for i in 0..200u8 {
        o.send(vec![i; 1000]);
        sent.extend(vec![i; 1000]);
    }
    let mut got = Vec::new();
    while let Some(bytes) = o.try_next() {
        got.extend(bytes);
    }
    assert_eq!(got, sent);
    (0..301).for_each(|_| o.send(vec![0; 1000]));
    assert!(o.is_closed());
    assert_eq!(smol::block_on(o.next()), None);
}
