//! What users are told, by any route, while the state service refuses, loses answers and carries
//! transactions out late. The figures of a few real milliseconds decide nothing: only requests that
//! are never answered run into a time-out.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{cancel, query, submit};
use stand_in::requests::{accepted, answered, body, finish, set, with};
use stand_in::Fate;
use wire::cbor;
use wire::store::Value;
use wire::users::JobState;

#[test]
fn every_route_says_the_same_of_a_job() {
    with(|_, [a, b]| async move {
        let sent = body("wk-1", |_| ());
        assert_eq!(query(&a, "wk-1").await.status, 404);
        assert_eq!(accepted(&submit(&a, &sent).await), (201, JobState::Queued));
        assert_eq!(answered(&query(&b, "wk-1").await), (200, JobState::Queued));
        assert_eq!(accepted(&submit(&b, &sent).await), (200, JobState::Queued));
        assert_eq!(
            accepted(&cancel(&b, "wk-1").await),
            (200, JobState::Cancelled)
        );
        for n in [&a, &b] {
            assert_eq!(
                answered(&query(n, "wk-1").await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                accepted(&cancel(n, "wk-1").await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                accepted(&submit(n, &sent).await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                (
                    query(n, "wk-2").await.status,
                    cancel(n, "wk-2").await.status
                ),
                (404, 404)
            );
        }
    });
}

#[test]
fn a_submission_without_an_answer_is_read_back_and_never_undoes_anything() {
    with(|store, [a, b]| async move {
        store.fate.set(Fate::AnswerLost);
        assert_eq!(
            accepted(&submit(&a, &body("wk-1", |_| ())).await),
            (200, JobState::Queued)
        );
        // Not carried out so far: neither accepted nor refused for good.
        store.fate.set(Fate::Kept);
        let r = submit(&a, &body("wk-2", |_| ())).await;
        assert_eq!((r.status, r.retry_after_s.is_some()), (503, true));
        assert_eq!(
            accepted(&submit(&b, &body("wk-2", |_| ())).await),
            (201, JobState::Queued)
        );
        assert_eq!(
            accepted(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(store.carry_out_kept(), vec![409]);
        for n in [&a, &b] {
            assert_eq!(
                answered(&query(n, "wk-2").await),
                (200, JobState::Cancelled)
            );
        }
        // It alone, late: the job is known by every route from then on.
        store.fate.set(Fate::Kept);
        assert_eq!(submit(&a, &body("wk-3", |_| ())).await.status, 503);
        assert_eq!(query(&b, "wk-3").await.status, 404);
        assert_eq!(store.carry_out_kept(), vec![200]);
        assert_eq!(answered(&query(&b, "wk-3").await), (200, JobState::Queued));
        assert_eq!(
            accepted(&submit(&a, &body("wk-3", |_| ())).await),
            (200, JobState::Queued)
        );
    });
}

#[test]
fn a_cancellation_and_the_end_of_a_job_have_one_winner() {
    with(|store, [a, b]| async move {
        for id in ["wk-1", "wk-2", "wk-3", "wk-4"] {
            assert_eq!(submit(&a, &body(id, |_| ())).await.status, 201);
            assert_eq!(query(&b, id).await.status, 200);
        }
        // The end was written first, and the controller does not know.
        assert_eq!(finish(&store, "wk-1"), 200);
        assert_eq!(accepted(&cancel(&b, "wk-1").await), (200, JobState::Done));
        // The cancellation is carried out without an answer: read back.
        store.fate.set(Fate::AnswerLost);
        assert_eq!(
            accepted(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        // It is kept and the job ends meanwhile: too late.
        store.fate.set(Fate::Kept);
        let (r, _) = smol::future::zip(cancel(&b, "wk-3"), async {
            while store.fate.get() == Fate::Kept {
                smol::Timer::after(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(finish(&store, "wk-3"), 200);
        })
        .await;
        assert_eq!(accepted(&r), (200, JobState::Done));
        assert_eq!(store.carry_out_kept(), vec![409]);
        // It is kept, tried again and confirmed: the late one changes nothing, nor does the end.
        store.fate.set(Fate::Kept);
        assert_eq!(
            accepted(&cancel(&b, "wk-4").await),
            (200, JobState::Cancelled)
        );
        let before = store.get(&store::keys::job("wk-4")).unwrap().version;
        assert_eq!(store.carry_out_kept(), vec![409]);
        assert_eq!(
            store.get(&store::keys::job("wk-4")).unwrap().version,
            before
        );
        for n in [&a, &b] {
            for (id, state) in [
                ("wk-1", JobState::Done),
                ("wk-2", JobState::Cancelled),
                ("wk-3", JobState::Done),
                ("wk-4", JobState::Cancelled),
            ] {
                assert_eq!(answered(&query(n, id).await), (200, state), "{id}");
                assert_eq!(accepted(&cancel(n, id).await), (200, state), "{id}");
                assert_eq!(
                    accepted(&submit(n, &body(id, |_| ())).await),
                    (200, state),
                    "{id}"
                );
            }
        }
    });
}

#[test]
fn while_the_store_refuses_only_terminal_states_are_answered() {
    with(|store, [a, _]| async move {
        for id in ["wk-1", "wk-2"] {
            assert_eq!(submit(&a, &body(id, |_| ())).await.status, 201);
        }
        assert_eq!(cancel(&a, "wk-1").await.status, 200);
        store.refuses.set(true);
        assert_eq!(
            answered(&query(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            accepted(&cancel(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            accepted(&submit(&a, &body("wk-1", |_| ())).await),
            (200, JobState::Cancelled)
        );
        for r in [
            query(&a, "wk-2").await,
            query(&a, "wk-3").await,
            cancel(&a, "wk-2").await,
            cancel(&a, "wk-3").await,
            submit(&a, &body("wk-2", |_| ())).await,
            submit(&a, &body("wk-3", |_| ())).await,
            // What can never run may be known already, through another controller.
            submit(
                &a,
                &body("wk-4", |m| set(m, "crew", Value::Text("nobody".into()))),
            )
            .await,
        ] {
            assert_eq!((r.status, r.retry_after_s.is_some()), (503, true));
        }
        store.refuses.set(false);
        assert_eq!(answered(&query(&a, "wk-2").await), (200, JobState::Queued));
        assert_eq!(query(&a, "wk-3").await.status, 404);
    });
}

/// Fields that a submission may lack.
const OPTIONAL_FIELDS: [&str; 3] = ["chassis_list", "yard", "due_s"];

fn text(s: &str) -> Value {
    Value::Text(s.into())
}

#[test]
fn a_submission_that_lacks_a_field_or_has_one_of_the_wrong_kind_is_malformed() {
    with(|_, [a, _]| async move {
        let fields = cbor::decode::<Value>(&body("wk-9", |_| ())).unwrap();
        for (i, (key, _)) in fields.into_map().unwrap().iter().enumerate() {
            let name = key.as_text().unwrap();
            let without = if OPTIONAL_FIELDS.contains(&name) {
                201
            } else {
                400
            };
            let lacks = body(&format!("wk-{i}"), |m| drop(m.remove(i)));
            assert_eq!(submit(&a, &lacks).await.status, without, "without {name}");
            let odd = body(&format!("wk-odd{i}"), |m| m[i].1 = Value::Map(vec![]));
            let status = submit(&a, &odd).await.status;
            assert_eq!(status, 400, "{name} of the wrong kind");
            let null = body(&format!("wk-null{i}"), |m| m[i].1 = Value::Null);
            assert_eq!(submit(&a, &null).await.status, without, "{name} null");
        }
    });
}

#[test]
fn a_submission_with_a_value_out_of_range_is_malformed() {
    with(|store, [a, _]| async move {
        for (name, value) in [
            ("tickets", Value::Integer(0.into())),
            ("tickets", Value::Integer(100_001.into())),
            ("tickets", Value::Integer((-1).into())),
            ("tickets", Value::Float(1.5)),
            ("vcpus", Value::Float(-1.0)),
            ("vcpus", Value::Float(f64::NAN)),
            ("mem_gb", text("64")),
            ("shape", text("heap")),
            ("urgency", text("now")),
            ("name_id", text("")),
            ("name_id", text("a/b")),
        ] {
            let r = submit(&a, &body("wk-400", |m| set(m, name, value.clone()))).await;
            assert_eq!(r.status, 400, "{name} {value:?}");
        }
        assert_eq!(submit(&a, b"\xff\x00").await.status, 400);
        assert!(store.get(&store::keys::job("wk-400")).is_none());
        assert_eq!(query(&a, "wk-400").await.status, 404);
    });
}

#[test]
fn a_job_that_can_never_run_is_refused() {
    with(|store, [a, b]| async move {
        for (name, value) in [
            ("crew", text("nobody")),
            ("chassis_list", Value::Array(vec![text("g9")])),
            ("chassis_list", Value::Array(vec![])),
            ("vcpus", Value::Float(97.0)),
            ("gpus", Value::Float(9.0)),
            ("mem_gb", Value::Float(769.0)),
            // A gang of all its tasks: 16 x 13 CPUs are more than the limit of 200.
            ("vcpus", Value::Float(13.0)),
        ] {
            let r = submit(&a, &body("wk-422", |m| set(m, name, value.clone()))).await;
            assert_eq!(r.status, 422, "{name} {value:?}");
        }
        assert!(store.get(&store::keys::job("wk-422")).is_none());
        assert_eq!(query(&b, "wk-422").await.status, 404);
    });
}

#[test]
fn a_team_without_a_limit_may_have_any_job_that_fits_the_machines() {
    with(|_, [a, _]| async move {
        let guest = |m: &mut Vec<(Value, Value)>| {
            set(m, "crew", text("guest"));
            set(m, "vcpus", Value::Float(96.0));
        };
        assert_eq!(submit(&a, &body("wk-guest", guest)).await.status, 201);
    });
}

#[test]
fn of_an_array_one_task_has_to_fit_and_its_repeat_may_be_odd() {
    with(|_, [a, b]| async move {
        let array = |m: &mut Vec<(Value, Value)>| {
            set(m, "shape", text("array"));
            set(m, "vcpus", Value::Float(13.0));
        };
        assert_eq!(submit(&a, &body("wk-array", array)).await.status, 201);
        let again = submit(&b, &body("wk-array", |m| set(m, "crew", text("nobody")))).await;
        assert_eq!(accepted(&again), (200, JobState::Queued));
        let lacks = body("wk-array", |m| drop(m.remove(5)));
        assert_eq!(submit(&a, &lacks).await.status, 200);
    });
}
