//! The outbox: messages queued for a connection between controllers.

use ladderroute::outbox::{Outbox, MAX_WRITE_BYTES};

/// After an outage of the store, thousands of finished tasks are cleared at once. When the queue was bounded
/// by its number of frames, it then overflowed, and the owner of a shard was disconnected for no reason.
/// Urgent frames, such as grants of authority, overtake the queue.
#[test]
fn many_frames_fit_and_urgent_ones_go_first() {
    let outbox = Outbox::new(1 << 20);
    for _ in 0..16_000 {
        outbox.send(vec![1; 60]);
    }
    assert!(!outbox.is_closed());
    assert!(smol::block_on(outbox.next()).is_some());
    outbox.send_urgent(&[2; 9]);
    let next = smol::block_on(outbox.next()).unwrap();
    assert_eq!(next[..9], [2; 9]);
    assert!(next.len() <= MAX_WRITE_BYTES + 9);
    let mut left = 0;
    while let Some(bytes) = outbox.try_next() {
        left += bytes.len();
    }
    assert!(left > 16_000 * 60 - 3 * MAX_WRITE_BYTES);
}

#[test]
fn frames_keep_order_and_are_bounded_in_bytes() {
    let outbox = Outbox::new(300_000);
    let mut sent = Vec::new();
    for i in 0..200u8 {
        outbox.send(vec![i; 1000]);
        sent.extend(vec![i; 1000]);
    }
    let mut received = Vec::new();
    while let Some(bytes) = outbox.try_next() {
        received.extend(bytes);
    }
    assert_eq!(received, sent);
    (0..301).for_each(|_| outbox.send(vec![0; 1000]));
    assert!(outbox.is_closed());
    assert_eq!(smol::block_on(outbox.next()), None);
}
