//! What users are told by a controller whose view of the store has stayed behind: never an older state
//! than another controller has told. The record of a job that is read directly says nothing of the jobs
//! that it needs.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{query, submit};
use ladderroute::controller::Controller;
use stand_in::requests::{
    accept, accepted, answered, body_after, cancel_confirmed, finish, is_retry_later, with_fronts,
};
use stand_in::{Fate, Front, Store};
use std::rc::Rc;
use std::time::Duration;
use wire::users::JobState;

/// The changes of the store do not reach a controller any more, once it has seen those so far.
async fn fall_behind(node: &Rc<Controller>, front: &Front) {
    assert!(ladderroute::freshness::refresh_view(node).await);
    front.refuses_changes.set(true);
    // A request that was under way is refused, too, once one sent later was.
    let asked = front.changes_asked.get();
    while front.changes_asked.get() < asked + 2 {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// The view of a controller is from so long ago that it proves nothing any more.
fn read_long_ago(node: &Controller, store: &Store) {
    let view = &mut node.lock().shared.view;
    let mut reload = view.begin_reload(node.now() - node.config.max_start_staleness_s());
    assert_eq!(
        reload.add_page(&store.items_after("")),
        store::reload::LoadState::Complete
    );
    view.finish_reload(reload);
}

/// Seen on a day at production size: `went_back`, cancelled and then queued.
#[test]
fn a_repeated_submission_gets_no_older_state_of_its_chain() {
    with_fronts(|_, [a, b], [_, front_b]| async move {
        accept(&a, "wk-1", &[]).await;
        fall_behind(&b, &front_b).await;
        accept(&a, "wk-2", &["wk-1"]).await;
        cancel_confirmed(&a, "wk-1").await;
        assert_eq!(
            answered(&query(&a, "wk-2").await),
            (200, JobState::Cancelled)
        );
        // The record of wk-2 is open, and so is wk-1 as far as this controller knows.
        let again = body_after("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &again).await));
        front_b.refuses_changes.set(false);
        let answer = submit(&b, &again).await;
        assert_eq!(accepted(&answer), (200, JobState::Cancelled));
    });
}

/// The same by the way of a transaction whose answer was lost.
#[test]
fn a_submission_that_is_read_back_gets_no_older_state_of_its_chain() {
    with_fronts(|store, [a, b], [_, front_b]| async move {
        accept(&a, "wk-1", &[]).await;
        fall_behind(&b, &front_b).await;
        cancel_confirmed(&a, "wk-1").await;
        store.fate.set(Fate::AnswerLost);
        let late = body_after("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &late).await));
        assert_eq!(
            answered(&query(&a, "wk-2").await),
            (200, JobState::Cancelled)
        );
        front_b.refuses_changes.set(false);
        assert_eq!(
            accepted(&submit(&b, &late).await),
            (200, JobState::Cancelled)
        );
    });
}

/// `orphaned`: a controller whose writes are carried out, while the changes do not reach it, would go on
/// calling new dependents of a cancelled job queued.
#[test]
fn a_new_dependent_is_not_called_queued_from_a_stale_view() {
    with_fronts(|store, [a, b], [_, front_b]| async move {
        accept(&a, "wk-1", &[]).await;
        fall_behind(&b, &front_b).await;
        read_long_ago(&b, &store);
        cancel_confirmed(&a, "wk-1").await;
        let late = body_after("wk-2", &["wk-1"]);
        assert!(is_retry_later(&submit(&b, &late).await));
        // One that needs no other is accepted all the same: its own record says all.
        accept(&b, "wk-3", &[]).await;
        front_b.refuses_changes.set(false);
        assert_eq!(
            accepted(&submit(&b, &late).await),
            (200, JobState::Cancelled)
        );
    });
}

/// What is terminal is told from memory, also by the ways above; what a repetition names counts for
/// nothing.
#[test]
fn a_terminal_record_is_answered_from_a_stale_view() {
    with_fronts(|store, [a, b], [_, front_b]| async move {
        accept(&a, "wk-1", &[]).await;
        fall_behind(&b, &front_b).await;
        accept(&a, "wk-2", &["wk-1"]).await;
        accept(&a, "wk-3", &["wk-1"]).await;
        cancel_confirmed(&a, "wk-2").await;
        assert_eq!(finish(&store, "wk-3"), 200);
        for (id, state) in [("wk-2", JobState::Cancelled), ("wk-3", JobState::Done)] {
            let answer = submit(&b, &body_after(id, &["wk-1"])).await;
            assert_eq!(accepted(&answer), (200, state), "{id}");
        }
    });
}
