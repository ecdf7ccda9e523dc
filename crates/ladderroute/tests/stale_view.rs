//! Responses of a controller whose view of the store is stale: it must never report an older state of a job
//! than another controller has reported. Reading the job's own record is not enough for that, since it does
//! not contain the state of the job's dependencies.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{query, submit};
use ladderroute::controller::Controller;
use stand_in::requests::{
    accepted_state, cancel_confirmed, is_retry_later, progress_state, record_job_done,
    submission_with_dependencies, submit_new, with_endpoints,
};
use stand_in::{FakeStore, StoreEndpoint, TxnFault};
use std::rc::Rc;
use std::time::Duration;
use wire::users::JobState;

/// Brings the view of a controller up to date, and then hides all further changes of the store from it.
async fn fall_behind(controller: &Rc<Controller>, endpoint: &StoreEndpoint) {
    assert!(ladderroute::freshness::refresh_view(controller).await);
    endpoint.refuses_changes.set(true);
    // A request that was not refused may still be in flight. It has ended when a later one has been refused.
    let requests_before = endpoint.change_requests.get();
    while endpoint.change_requests.get() < requests_before + 2 {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// Reloads a controller's view as if it had been read `max_start_staleness_s` ago: it is then too old to tell
/// the state of a job that depends on others.
fn make_view_stale(controller: &Controller, store: &FakeStore) {
    let view = &mut controller.lock().shared.view;
    let mut reload =
        view.begin_reload(controller.now() - controller.config.max_start_staleness_s());
    assert_eq!(
        reload.add_page(&store.page_after("")),
        store::reload::LoadState::Complete
    );
    view.finish_reload(reload);
}

/// A job was reported as cancelled and later as queued. That was observed in a simulated day at production
/// size, with thousands of machines, and broke the protocol's rule `went_back`: once a user has been told
/// that a job is done or cancelled, no controller may report an older state.
#[test]
fn repeated_submission_never_reports_older_state() {
    with_endpoints(|_, [a, b], [_, endpoint_b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        fall_behind(&b, &endpoint_b).await;
        submit_new(&a, "wk-2", &["wk-1"]).await;
        cancel_confirmed(&a, "wk-1").await;
        assert_eq!(
            progress_state(&query(&a, "wk-2").await),
            (200, JobState::Cancelled)
        );
        // The stored record of wk-2 is open, and controller b's view still has wk-1 as open, too.
        let repeated = submission_with_dependencies("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &repeated).await));
        endpoint_b.refuses_changes.set(false);
        let response = submit(&b, &repeated).await;
        assert_eq!(accepted_state(&response), (200, JobState::Cancelled));
    });
}

/// The same fault, reached by another path: the response to the submission's transaction is lost, so the
/// controller reads the job's record back.
#[test]
fn read_back_never_reports_older_state() {
    with_endpoints(|store, [a, b], [_, endpoint_b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        fall_behind(&b, &endpoint_b).await;
        cancel_confirmed(&a, "wk-1").await;
        store.next_txn_fault.set(TxnFault::ResponseLost);
        let late = submission_with_dependencies("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &late).await));
        assert_eq!(
            progress_state(&query(&a, "wk-2").await),
            (200, JobState::Cancelled)
        );
        endpoint_b.refuses_changes.set(false);
        assert_eq!(
            accepted_state(&submit(&b, &late).await),
            (200, JobState::Cancelled)
        );
    });
}

/// Guards against the violation `orphaned`, a controller that treats dependents of a cancelled job as open:
/// if its writes succeeded while it received no changes, it would keep reporting new dependents as queued.
#[test]
fn stale_view_reports_no_new_dependent_queued() {
    with_endpoints(|store, [a, b], [_, endpoint_b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        fall_behind(&b, &endpoint_b).await;
        make_view_stale(&b, &store);
        cancel_confirmed(&a, "wk-1").await;
        let late = submission_with_dependencies("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &late).await));
        // A job without dependencies is accepted even so: its own record suffices to tell its state.
        submit_new(&b, "wk-3", &[]).await;
        endpoint_b.refuses_changes.set(false);
        assert_eq!(
            accepted_state(&submit(&b, &late).await),
            (200, JobState::Cancelled)
        );
    });
}

/// When a job that has ended is submitted again, even a controller whose view can't be refreshed reports the
/// terminal state, from memory; it ignores the dependencies that the repeated submission names.
#[test]
fn stale_view_still_reports_terminal_states() {
    with_endpoints(|store, [a, b], [_, endpoint_b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        fall_behind(&b, &endpoint_b).await;
        submit_new(&a, "wk-2", &["wk-1"]).await;
        submit_new(&a, "wk-3", &["wk-1"]).await;
        cancel_confirmed(&a, "wk-2").await;
        assert_eq!(record_job_done(&store, "wk-3"), 200);
        for (id, state) in [("wk-2", JobState::Cancelled), ("wk-3", JobState::Done)] {
            let response = submit(&b, &submission_with_dependencies(id, &["wk-1"])).await;
            assert_eq!(accepted_state(&response), (200, state), "{id}");
        }
    });
}
