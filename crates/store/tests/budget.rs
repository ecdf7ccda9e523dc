//! Priorities and rates of a controller's request budget.

use store::budget::{Budget, Rates, RequestPriority, Reserve, Share, Shares};

fn new_budget(requests_per_s: f64, writes_per_s: f64, write_burst_s: f64) -> Budget {
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
fn lower_priorities_leave_reserve_to_higher_ones() {
    let mut budget = new_budget(20.0, 10.0, 1.0);
    let mut taken = [0; 3];
    for (i, priority) in [
        RequestPriority::Submission,
        RequestPriority::Decision,
        RequestPriority::Renewal,
    ]
    .into_iter()
    .enumerate()
    {
        while budget.take(0.0, 0, priority).is_ok() {
            taken[i] += 1;
        }
    }
    assert_eq!(taken, [13, 4, 3]);
    let wait = budget
        .take(0.0, 0, RequestPriority::Renewal)
        .unwrap_err()
        .wait_s;
    assert!(budget
        .take(wait + 1e-6, 0, RequestPriority::Renewal)
        .is_ok());
}

/// Returns how many writes the budget allows in ten seconds, asked for every 0.01 s.
fn writes_in_ten_seconds(budget: &mut Budget) -> u32 {
    let (mut now, mut writes) = (0.0, 0);
    while now < 10.0 {
        if budget.take(now, 1, RequestPriority::Renewal).is_ok() {
            writes += 1;
        }
        now += 0.01;
    }
    writes
}

#[test]
fn writes_never_exceed_rate_and_burst() {
    let writes = writes_in_ten_seconds(&mut new_budget(10.0, 5.0, 1.0));
    assert!((50..=56).contains(&writes), "{writes}");
    let writes = writes_in_ten_seconds(&mut new_budget(10.0, 5.0, 2.0));
    assert!((55..=61).contains(&writes), "{writes}");
}

/// A larger burst must not be available at once when the share changes.
#[test]
fn a_changed_share_keeps_the_tokens() {
    let mut budget = new_budget(100.0, 10.0, 1.0);
    while budget.take(0.0, 1, RequestPriority::Renewal).is_ok() {}
    let share = Share {
        fraction: 1.0,
        burst_s: 3.0,
        reserve: Reserve {
            decision: 0.0,
            submission: 0.0,
        },
    };
    budget.set_shares(
        Shares {
            requests: share,
            writes: share,
        },
        0.0,
    );
    assert!(budget.take(0.0, 1, RequestPriority::Renewal).is_err());
    assert!(budget.take(0.11, 1, RequestPriority::Renewal).is_ok());
}

/// The store refuses requests when its rate has dropped without notice. The remaining tokens must
/// then be dropped, renewals must wait no longer than the refill for one request takes, and the
/// budget must recover.
#[test]
fn a_refusal_drains_the_bucket_and_renewals_go_first() {
    let mut budget = new_budget(20.0, 10.0, 1.0);
    budget.record_refusal(0.0, 3);
    assert!(
        budget.take(0.0, 0, RequestPriority::Renewal).is_ok(),
        "a refused write must not drain the bucket of requests"
    );
    assert!(budget.take(0.0, 1, RequestPriority::Decision).is_err());
    budget.record_refusal(0.0, 0);
    let renewal = budget
        .take(0.0, 0, RequestPriority::Renewal)
        .unwrap_err()
        .wait_s;
    let decision = budget
        .take(0.0, 0, RequestPriority::Decision)
        .unwrap_err()
        .wait_s;
    let submission = budget
        .take(0.0, 1, RequestPriority::Submission)
        .unwrap_err()
        .wait_s;
    assert!(renewal <= 1.0 / 20.0 + 1e-9 && renewal < decision && decision < submission);
    assert!(budget
        .take(submission + 1e-6, 1, RequestPriority::Submission)
        .is_ok());
}
