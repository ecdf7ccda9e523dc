//! What users are told by a controller whose view of the store has stayed behind: never an older state
//! than another controller has told. The record of a job that is read directly says nothing of the jobs
//! that it needs.

// The helpers of these tests unwrap as the tests do.
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

/// The changes of the store do not reach a controller any more, once it has seen those so far.
async fn fall_behind(controller: &Rc<Controller>, endpoint: &StoreEndpoint) {
    assert!(ladderroute::freshness::refresh_view(controller).await);
    endpoint.refuses_changes.set(true);
    // A request that was under way is refused, too, once one sent later was.
    let requests_before = endpoint.change_requests.get();
    while endpoint.change_requests.get() < requests_before + 2 {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// The view of a controller is from so long ago that it proves nothing any more.
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

/// Seen on a day at production size: `went_back`, cancelled and then queued.
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
        // The record of wk-2 is open, and so is wk-1 as far as this controller knows.
        let repeated = submission_with_dependencies("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &repeated).await));
        endpoint_b.refuses_changes.set(false);
        let response = submit(&b, &repeated).await;
        assert_eq!(accepted_state(&response), (200, JobState::Cancelled));
    });
}

/// The same by the way of a transaction whose response was lost.
#[test]
fn read_back_submission_never_reports_older_state() {
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

/// `orphaned`: a controller whose writes are carried out, while the changes do not reach it, would go on
/// calling new dependents of a cancelled job queued.
#[test]
fn stale_view_never_reports_new_dependents_queued() {
    with_endpoints(|store, [a, b], [_, endpoint_b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        fall_behind(&b, &endpoint_b).await;
        make_view_stale(&b, &store);
        cancel_confirmed(&a, "wk-1").await;
        let late = submission_with_dependencies("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &late).await));
        // One that needs no other is accepted all the same: its own record says all.
        submit_new(&b, "wk-3", &[]).await;
        endpoint_b.refuses_changes.set(false);
        assert_eq!(
            accepted_state(&submit(&b, &late).await),
            (200, JobState::Cancelled)
        );
    });
}

/// What is terminal is told from memory, also by the ways above; what a repetition names counts for
/// nothing.
#[test]
fn terminal_records_are_reported_from_a_stale_view() {
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
