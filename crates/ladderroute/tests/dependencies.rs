//! What users are told of jobs that need others, by any controller.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{cancel, query, submit};
use ladderroute::controller::Controller;
use stand_in::requests::{accept, accepted, answered, body_after, body_awaiting, finish, with};
use stand_in::{is_loaded, job_entry, Fate};
use wire::store::{JobRecord, Recorded, Value};
use wire::users::{Job, JobState};

fn is_blocked(node: &Controller, id: &str) -> bool {
    node.lock().shared.view.dependencies().is_blocked(id)
}

#[test]
fn a_cancellation_goes_down_the_chain_at_every_controller() {
    with(|_, [a, b]| async move {
        accept(&a, "wk-1", &[]).await;
        accept(&b, "wk-2", &["wk-1"]).await;
        accept(&a, "wk-3", &["wk-2"]).await;
        accept(&b, "wk-4", &["wk-1", "wk-3"]).await;
        accept(&a, "wk-5", &[]).await;
        assert_eq!(
            accepted(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        for node in [&a, &b] {
            for id in ["wk-2", "wk-3", "wk-4"] {
                assert_eq!(
                    answered(&query(node, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
                assert_eq!(
                    accepted(&cancel(node, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
            }
            for id in ["wk-1", "wk-5"] {
                assert_eq!(
                    answered(&query(node, id).await),
                    (200, JobState::Queued),
                    "{id}"
                );
            }
            // A job that names a cancelled one is accepted all the same.
            let id = format!("wk-late-{}", node.settings.member);
            let late = body_after(&id, &["wk-4", "wk-1"]);
            assert_eq!(
                accepted(&submit(node, &late).await),
                (201, JobState::Cancelled)
            );
            assert_eq!(
                accepted(&submit(node, &late).await),
                (200, JobState::Cancelled)
            );
        }
        for node in [&a, &b] {
            let answer = query(node, "wk-late-rung-0").await;
            assert_eq!(answered(&answer), (200, JobState::Cancelled));
        }
    });
}

#[test]
fn what_follows_a_job_that_is_done_goes_on() {
    with(|store, [a, b]| async move {
        accept(&a, "wk-1", &[]).await;
        accept(&a, "wk-2", &["wk-1"]).await;
        assert!(is_blocked(&a, "wk-2"));
        // The end and a cancellation: the end was written first.
        assert_eq!(finish(&store, "wk-1"), 200);
        assert_eq!(accepted(&cancel(&b, "wk-1").await), (200, JobState::Done));
        for node in [&a, &b] {
            assert_eq!(
                answered(&query(node, "wk-2").await),
                (200, JobState::Queued)
            );
            assert!(!is_blocked(node, "wk-2"));
        }
        // The same request again, though what it names is over; and a job submitted only now.
        let again = submit(&b, &body_after("wk-2", &["wk-1"])).await;
        assert_eq!(accepted(&again), (200, JobState::Queued));
        accept(&b, "wk-3", &["wk-1"]).await;
        assert!(!is_blocked(&b, "wk-3"));
    });
}

/// The controller that confirmed a cancellation, and every other that has learned of it, goes on saying
/// so of the whole chain while the store is down.
#[test]
fn a_cancelled_chain_is_answered_from_memory() {
    with(|store, [a, b]| async move {
        accept(&a, "wk-1", &[]).await;
        accept(&a, "wk-2", &["wk-1"]).await;
        accept(&a, "wk-3", &["wk-2"]).await;
        assert_eq!(
            accepted(&cancel(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            answered(&query(&b, "wk-3").await),
            (200, JobState::Cancelled)
        );
        store.refuses.set(true);
        for node in [&a, &b] {
            for id in ["wk-1", "wk-2", "wk-3"] {
                assert_eq!(
                    answered(&query(node, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
            }
        }
    });
}

#[test]
fn jobs_are_named_only_if_they_were_accepted() {
    with(|store, [a, b]| async move {
        let status = |answer: http::server::Response| answer.status;
        // Never accepted, itself among them.
        assert_eq!(
            status(submit(&a, &body_after("wk-1", &["wk-9"])).await),
            422
        );
        assert_eq!(
            status(submit(&a, &body_after("wk-1", &["wk-1"])).await),
            422
        );
        assert_eq!(status(query(&a, "wk-1").await), 404);
        // Accepted a moment ago by the other controller; listed twice.
        accept(&b, "wk-9", &[]).await;
        accept(&a, "wk-1", &["wk-9", "wk-9"]).await;
        assert_eq!(
            job_entry(&a, "wk-1").unwrap().job.unwrap().dependencies,
            ["wk-9"]
        );
        // Naming itself in a repetition changes nothing.
        let again = submit(&b, &body_after("wk-1", &["wk-1", "wk-nobody"])).await;
        assert_eq!(accepted(&again), (200, JobState::Queued));
        // It can't be looked up now: that is no refusal for good.
        store.refuses.set(true);
        let answer = submit(&a, &body_after("wk-2", &["wk-8"])).await;
        assert_eq!((answer.status, answer.retry_after_s.is_some()), (503, true));
        store.refuses.set(false);
        assert_eq!(
            status(submit(&a, &body_after("wk-2", &["wk-8"])).await),
            422
        );
    });
}

#[test]
fn malformed_lists_are_refused() {
    with(|_, [a, _]| async move {
        let text = |id: &str| Value::Text(id.into());
        for odd in [
            text("wk-9"),
            Value::Integer(3.into()),
            Value::Map(Vec::new()),
            Value::Array(vec![Value::Integer(3.into())]),
            Value::Array(vec![text("")]),
            Value::Array(vec![text("a/b")]),
            Value::Array(vec![Value::Null]),
        ] {
            let answer = submit(&a, &body_awaiting("wk-1", odd.clone())).await;
            assert_eq!(answer.status, 400, "{odd:?}");
        }
        for none in [Value::Null, Value::Array(Vec::new())] {
            let answer = submit(&a, &body_awaiting("wk-2", none)).await;
            assert!(matches!(answer.status, 200 | 201));
        }
        assert!(!is_blocked(&a, "wk-2"));
    });
}

/// The settings of the stand-in say that values will be half as large.
#[test]
fn a_list_that_the_store_can_not_hold_is_refused_naming_the_limit() {
    with(|store, [a, b]| async move {
        let ids: Vec<String> = (0..300).map(|n| format!("wk-{n:06}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        for id in &names {
            accept(&a, id, &[]).await;
        }
        accept(&a, "wk-fits", &names[..100]).await;
        let written = store.get(&store::keys::job("wk-fits")).unwrap();
        assert!(wire::store::value_bytes(&written.value) <= 2048);
        let answer = submit(&a, &body_after("wk-long", &names)).await;
        assert_eq!(answer.status, 422);
        let refusal: wire::users::Refusal = wire::cbor::decode(&answer.body).unwrap();
        assert!(refusal.error.contains("awaits") && refusal.error.contains("2048"));
        // What was accepted is never refused, however its repetition looks.
        let again = submit(&b, &body_after("wk-fits", &names)).await;
        assert_eq!(accepted(&again), (200, JobState::Queued));
    });
}

/// A record that an earlier version wrote up to the larger limit is still ended: what a terminal record
/// needs fits.
#[test]
fn the_end_of_a_job_fits_a_smaller_value() {
    let long = |n: usize| "x".repeat(n);
    let sent = body_after("wk-1", &[]);
    let job = Job {
        types: Some((0..20).map(|n| format!("{}{n}", long(150))).collect()),
        dependencies: (0..200).map(|n| format!("wk-{n:06}")).collect(),
        class: long(200),
        team: long(200),
        image: long(200),
        ..wire::cbor::decode(&sent).unwrap()
    };
    for state in [Recorded::Done, Recorded::Cancelled] {
        let record = JobRecord::terminal(state, u64::MAX, &job);
        let value = wire::store::to_value(&record);
        assert!(wire::store::value_bytes(&value) <= 2048);
        assert_eq!((record.job.tasks, record.job.cpus), (job.tasks, job.cpus));
    }
}

/// The transaction that accepts a job may be carried out without an answer, or late: its dependencies
/// are those of the record that the store holds.
#[test]
fn a_chain_survives_lost_answers() {
    with(|store, [a, b]| async move {
        accept(&a, "wk-1", &[]).await;
        store.fate.set(Fate::AnswerLost);
        let answer = submit(&a, &body_after("wk-2", &["wk-1"])).await;
        assert_eq!(accepted(&answer), (200, JobState::Queued));
        assert!(is_blocked(&a, "wk-2"));
        // The cancellation is carried out, its answer lost: read back, with all that follows.
        store.fate.set(Fate::AnswerLost);
        assert_eq!(
            accepted(&cancel(&b, "wk-1").await),
            (200, JobState::Cancelled)
        );
        for node in [&b, &a] {
            assert_eq!(
                answered(&query(node, "wk-2").await),
                (200, JobState::Cancelled)
            );
        }
        // Carried out late, when what it names has been cancelled meanwhile.
        accept(&a, "wk-3", &[]).await;
        store.fate.set(Fate::Kept);
        assert_eq!(submit(&a, &body_after("wk-4", &["wk-3"])).await.status, 503);
        assert_eq!(
            accepted(&cancel(&b, "wk-3").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(store.carry_out_kept(), vec![200]);
        for node in [&b, &a] {
            assert_eq!(
                answered(&query(node, "wk-4").await),
                (200, JobState::Cancelled)
            );
        }
    });
}

/// A controller that has just started reads all records, dependents before what they need or not.
#[test]
fn a_controller_that_starts_rebuilds_the_graph_from_the_store() {
    with(|store, [a, b]| async move {
        accept(&a, "wk-9", &[]).await;
        accept(&a, "wk-5", &["wk-9"]).await;
        accept(&a, "wk-1", &["wk-5"]).await;
        accept(&a, "wk-8", &[]).await;
        accept(&a, "wk-2", &["wk-8"]).await;
        accept(&a, "wk-7", &[]).await;
        accept(&a, "wk-3", &["wk-7"]).await;
        assert_eq!(
            accepted(&cancel(&a, "wk-9").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(finish(&store, "wk-8"), 200);
        let reads_all = {
            let view = &mut b.lock().shared.view;
            let read = view.begin_read(b.now()).unwrap();
            view.on_revision_too_old(read);
            !view.is_complete()
        };
        assert!(reads_all);
        while !is_loaded(&b) {
            smol::Timer::after(std::time::Duration::from_millis(5)).await;
        }
        for (id, state, blocked) in [
            ("wk-1", JobState::Cancelled, false),
            ("wk-5", JobState::Cancelled, false),
            ("wk-2", JobState::Queued, false),
            ("wk-3", JobState::Queued, true),
        ] {
            assert_eq!(answered(&query(&b, id).await), (200, state), "{id}");
            assert_eq!(is_blocked(&b, id), blocked, "{id}");
        }
    });
}
