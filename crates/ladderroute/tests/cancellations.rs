//! When a controller tells a user that a job is cancelled: as soon as the leader has confirmed it, or else when no
//! controller can act any more on a view that lacks the cancellation.

// Clippy allows `unwrap` in test functions, but not in their helpers. An `unwrap` that panics makes the test
// fail at the call that failed.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod stand_in;

use ladderroute::api::users::{cancel, query, submit};
use ladderroute::controller::Controller;
use stand_in::links::{has_authority, wait_until, with_link, LinkedControllers};
use stand_in::requests::{
    accepted_state, cancel_confirmed, progress_state, submission_with_dependencies, submit_new,
    with_controllers,
};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::users::JobState;

/// Waits until the owner has authority and that of any earlier leader has ended.
async fn wait_until_settled(linked: &LinkedControllers) {
    wait_until("the owner is granted authority", || {
        has_authority(&linked.owner)
    })
    .await;
    let until_s = linked.leader.config.max_leader_authority_s();
    smol::Timer::after(Duration::from_secs_f64(until_s)).await;
}

/// Returns the time for which a controller that can't be reached may act on an older view.
fn start_expiry(controller: &Controller) -> Duration {
    Duration::from_secs_f64(controller.config.max_start_staleness_s())
}

async fn submit_jobs(controller: &Rc<Controller>, ids: &[&str]) {
    for id in ids {
        submit_new(controller, id, &[]).await;
    }
}

/// The ordinary case: the user does not wait for the time that an unreachable controller would need.
#[test]
fn confirmed_cancellation_is_reported_at_once() {
    with_link(|linked| async move {
        wait_until_settled(&linked).await;
        for (controller, id) in [(&linked.owner, "wk-1"), (&linked.leader, "wk-2")] {
            submit_jobs(controller, &[id]).await;
            let started_at = Instant::now();
            cancel_confirmed(controller, id).await;
            let took = started_at.elapsed();
            assert!(took < start_expiry(controller) / 2, "{id} took {took:?}");
        }
    });
}

/// A user's request, which returns the status and the state in the response.
type Request<'a> = Pin<Box<dyn Future<Output = (u16, JobState)> + 'a>>;

/// Makes a request a moment later, when the cancellation is recorded but can't be reported yet.
async fn after_write<T>(request: impl Future<Output = T>) -> T {
    smol::Timer::after(Duration::from_millis(100)).await;
    request.await
}

/// Makes requests at the same time. Returns what was answered to each, and when.
async fn answers(requests: Vec<Request<'_>>) -> Vec<((u16, JobState), Instant)> {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = requests
        .into_iter()
        .map(|request| executor.spawn(async { (request.await, Instant::now()) }))
        .collect();
    let all = async {
        let mut answers = Vec::new();
        for task in tasks {
            answers.push(task.await);
        }
        answers
    };
    executor.run(all).await
}

/// Guards against starts after a confirmed cancellation: a controller that is cut off may start tasks on its older
/// view. Whoever is asked, in whatever way, tells of the cancellation only when that is over, and nothing older before.
#[test]
fn unconfirmed_cancellation_is_reported_late_on_every_path() {
    with_link(|linked| async move {
        wait_until_settled(&linked).await;
        submit_jobs(&linked.leader, &["wk-1"]).await;
        linked.cut_link();
        let (leader, owner) = (&linked.leader, &linked.owner);
        let cancelled_at = Instant::now();
        let repeated = submission_with_dependencies("wk-1", &[]);
        let requests: Vec<Request<'_>> = vec![
            Box::pin(async { accepted_state(&cancel(owner, "wk-1").await) }),
            Box::pin(after_write(async {
                accepted_state(&cancel(leader, "wk-1").await)
            })),
            Box::pin(after_write(async {
                accepted_state(&submit(leader, &repeated).await)
            })),
            Box::pin(after_write(async {
                accepted_state(&submit(owner, &repeated).await)
            })),
            Box::pin(after_write(async {
                progress_state(&query(leader, "wk-1").await)
            })),
            Box::pin(after_write(async {
                progress_state(&query(owner, "wk-1").await)
            })),
        ];
        for (state, answered_at) in answers(requests).await {
            assert_eq!(state, (200, JobState::Cancelled));
            let after = answered_at.duration_since(cancelled_at);
            assert!(after >= start_expiry(leader), "after {after:?}");
        }
    });
}

/// A descendant of a cancelled job was always blocked, so no task of it can start: it is reported at once.
#[test]
fn descendant_of_cancelled_job_is_reported_at_once() {
    with_controllers(|_, [controller, _]| async move {
        submit_jobs(&controller, &["wk-1"]).await;
        submit_new(&controller, "wk-2", &["wk-1"]).await;
        cancel_confirmed(&controller, "wk-1").await;
        let asked_at = Instant::now();
        let state = progress_state(&query(&controller, "wk-2").await);
        assert_eq!(state, (200, JobState::Cancelled));
        assert!(asked_at.elapsed() < start_expiry(&controller) / 2);
    });
}
