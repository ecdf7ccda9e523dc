//! Ranks and rates of a controller's request budget.

use store::budget::{Budget, Rates, RequestPriority, Reserve, Share, Shares};

fn budget(requests_per_s: f64, writes_per_s: f64, write_burst_s: f64) -> Budget {
    let share = Share {
        fraction: 1.0,
        burst_s: 1.0,
        reserve: Reserve {
            decision: 0.15,
            submission: 0.35,
        },
    };
    let writes = Share {
        burst_s: write_burst_s,
        ..share
    };
    Budget::new(
        Rates {
            requests_per_s,
            writes_per_s,
        },
        Shares {
            requests: share,
            writes,
        },
    )
}

#[test]
fn ranks_leave_their_reserve_to_the_ranks_before_them() {
    let mut b = budget(20.0, 10.0, 1.0);
    let mut taken = [0; 3];
    for (i, rank) in [
        RequestPriority::Submission,
        RequestPriority::Decision,
        RequestPriority::Renewal,
    ]
    .into_iter()
    .enumerate()
    {
        while b.take(0.0, 0, rank).is_ok() {
            taken[i] += 1;
        }
    }
    assert_eq!(taken, [13, 4, 3]);
    let wait = b.take(0.0, 0, RequestPriority::Renewal).unwrap_err().wait_s;
    assert!(b.take(wait + 1e-6, 0, RequestPriority::Renewal).is_ok());
}

/// The number of writes in ten seconds, as fast as the budget allows.
fn writes_in_ten_seconds(b: &mut Budget) -> u32 {
    let (mut now, mut writes) = (0.0, 0);
    while now < 10.0 {
        if b.take(now, 1, RequestPriority::Renewal).is_ok() {
            writes += 1;
        }
        now += 0.01;
    }
    writes
}

#[test]
fn never_more_than_rate_and_burst() {
    let writes = writes_in_ten_seconds(&mut budget(10.0, 5.0, 1.0));
    assert!((50..=56).contains(&writes), "{writes}");
    let writes = writes_in_ten_seconds(&mut budget(10.0, 5.0, 2.0));
    assert!((55..=61).contains(&writes), "{writes}");
}

/// A larger burst is not available at the moment of the change.
#[test]
fn a_changed_share_keeps_the_level() {
    let mut b = budget(100.0, 10.0, 1.0);
    while b.take(0.0, 1, RequestPriority::Renewal).is_ok() {}
    let share = Share {
        fraction: 1.0,
        burst_s: 3.0,
        reserve: Reserve {
            decision: 0.0,
            submission: 0.0,
        },
    };
    b.set_shares(
        Shares {
            requests: share,
            writes: share,
        },
        0.0,
    );
    assert!(b.take(0.0, 1, RequestPriority::Renewal).is_err());
    assert!(b.take(0.11, 1, RequestPriority::Renewal).is_ok());
}

/// The rate may have fallen without notice. The rest of the burst is not used, renewals wait for no more than
/// one request's worth, and the budget recovers.
#[test]
fn a_refusal_empties_the_bucket_and_renewals_go_first() {
    let mut b = budget(20.0, 10.0, 1.0);
    b.refused(0.0, 3);
    assert!(
        b.take(0.0, 0, RequestPriority::Renewal).is_ok(),
        "only writes were refused"
    );
    assert!(b.take(0.0, 1, RequestPriority::Decision).is_err());
    b.refused(0.0, 0);
    let renewal = b.take(0.0, 0, RequestPriority::Renewal).unwrap_err().wait_s;
    let decision = b
        .take(0.0, 0, RequestPriority::Decision)
        .unwrap_err()
        .wait_s;
    let submission = b
        .take(0.0, 1, RequestPriority::Submission)
        .unwrap_err()
        .wait_s;
    assert!(renewal <= 1.0 / 20.0 + 1e-9 && renewal < decision && decision < submission);
    assert!(b
        .take(submission + 1e-6, 1, RequestPriority::Submission)
        .is_ok());
}
