//! Responses to users at every controller, also while the state service refuses requests, loses responses or
//! applies transactions late. No result depends on a few milliseconds: only requests that are never answered
//! time out.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{cancel, query, submit};
use stand_in::requests::{
    accepted_state, progress_state, record_job_done, set_field, submission, with_controllers,
};
use stand_in::TxnFault;
use wire::cbor;
use wire::store::Value;
use wire::users::JobState;

#[test]
fn all_controllers_report_the_same_job_state() {
    with_controllers(|_, [a, b]| async move {
        let submitted = submission("wk-1", |_| ());
        assert_eq!(query(&a, "wk-1").await.status, 404);
        assert_eq!(
            accepted_state(&submit(&a, &submitted).await),
            (201, JobState::Queued)
        );
        assert_eq!(
            progress_state(&query(&b, "wk-1").await),
            (200, JobState::Queued)
        );
        assert_eq!(
            accepted_state(&submit(&b, &submitted).await),
            (200, JobState::Queued)
        );
        assert_eq!(
            accepted_state(&cancel(&b, "wk-1").await),
            (200, JobState::Cancelled)
        );
        for node in [&a, &b] {
            assert_eq!(
                progress_state(&query(node, "wk-1").await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                accepted_state(&cancel(node, "wk-1").await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                accepted_state(&submit(node, &submitted).await),
                (200, JobState::Cancelled)
            );
            assert_eq!(
                (
                    query(node, "wk-2").await.status,
                    cancel(node, "wk-2").await.status
                ),
                (404, 404)
            );
        }
    });
}

#[test]
fn lost_or_late_submissions_undo_nothing() {
    with_controllers(|store, [a, b]| async move {
        // The submission is applied, but its response is lost: the controller reads the record back.
        store.next_txn_fault.set(TxnFault::ResponseLost);
        assert_eq!(
            accepted_state(&submit(&a, &submission("wk-1", |_| ())).await),
            (200, JobState::Queued)
        );
        // The transaction has not been applied so far: the job is neither accepted nor permanently refused.
        store.next_txn_fault.set(TxnFault::Delayed);
        let response = submit(&a, &submission("wk-2", |_| ())).await;
        assert_eq!(
            (response.status, response.retry_after_s.is_some()),
            (503, true)
        );
        assert_eq!(
            accepted_state(&submit(&b, &submission("wk-2", |_| ())).await),
            (201, JobState::Queued)
        );
        assert_eq!(
            accepted_state(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(store.apply_delayed_txns(), vec![409]);
        for node in [&a, &b] {
            assert_eq!(
                progress_state(&query(node, "wk-2").await),
                (200, JobState::Cancelled)
            );
        }
        // The delayed transaction is the only one for wk-3: once it is applied, every controller knows the
        // job.
        store.next_txn_fault.set(TxnFault::Delayed);
        assert_eq!(submit(&a, &submission("wk-3", |_| ())).await.status, 503);
        assert_eq!(query(&b, "wk-3").await.status, 404);
        assert_eq!(store.apply_delayed_txns(), vec![200]);
        assert_eq!(
            progress_state(&query(&b, "wk-3").await),
            (200, JobState::Queued)
        );
        assert_eq!(
            accepted_state(&submit(&a, &submission("wk-3", |_| ())).await),
            (200, JobState::Queued)
        );
    });
}

#[test]
fn cancellation_and_completion_have_one_winner() {
    with_controllers(|store, [a, b]| async move {
        for id in ["wk-1", "wk-2", "wk-3", "wk-4"] {
            assert_eq!(submit(&a, &submission(id, |_| ())).await.status, 201);
            assert_eq!(query(&b, id).await.status, 200);
        }
        // The completion was written before the cancellation, and controller b has not seen it.
        assert_eq!(record_job_done(&store, "wk-1"), 200);
        assert_eq!(
            accepted_state(&cancel(&b, "wk-1").await),
            (200, JobState::Done)
        );
        // The cancellation is applied, but its response is lost: the controller reads the record back.
        store.next_txn_fault.set(TxnFault::ResponseLost);
        assert_eq!(
            accepted_state(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        // The cancellation is delayed and comes too late, since the job completes meanwhile.
        store.next_txn_fault.set(TxnFault::Delayed);
        let (response, _) = smol::future::zip(cancel(&b, "wk-3"), async {
            while store.next_txn_fault.get() == TxnFault::Delayed {
                smol::Timer::after(std::time::Duration::from_millis(5)).await;
            }
            assert_eq!(record_job_done(&store, "wk-3"), 200);
        })
        .await;
        assert_eq!(accepted_state(&response), (200, JobState::Done));
        assert_eq!(store.apply_delayed_txns(), vec![409]);
        // The transaction of the cancellation is delayed, and its retry confirms the cancellation: the
        // delayed transaction changes nothing, and the job stays cancelled.
        store.next_txn_fault.set(TxnFault::Delayed);
        assert_eq!(
            accepted_state(&cancel(&b, "wk-4").await),
            (200, JobState::Cancelled)
        );
        let version_before = store.get(&store::keys::job("wk-4")).unwrap().version;
        assert_eq!(store.apply_delayed_txns(), vec![409]);
        assert_eq!(
            store.get(&store::keys::job("wk-4")).unwrap().version,
            version_before
        );
        for node in [&a, &b] {
            for (id, state) in [
                ("wk-1", JobState::Done),
                ("wk-2", JobState::Cancelled),
                ("wk-3", JobState::Done),
                ("wk-4", JobState::Cancelled),
            ] {
                assert_eq!(progress_state(&query(node, id).await), (200, state), "{id}");
                assert_eq!(
                    accepted_state(&cancel(node, id).await),
                    (200, state),
                    "{id}"
                );
                assert_eq!(
                    accepted_state(&submit(node, &submission(id, |_| ())).await),
                    (200, state),
                    "{id}"
                );
            }
        }
    });
}

#[test]
fn store_outage_allows_only_terminal_responses() {
    with_controllers(|store, [a, _]| async move {
        for id in ["wk-1", "wk-2"] {
            assert_eq!(submit(&a, &submission(id, |_| ())).await.status, 201);
        }
        assert_eq!(cancel(&a, "wk-1").await.status, 200);
        store.unavailable.set(true);
        assert_eq!(
            progress_state(&query(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            accepted_state(&cancel(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            accepted_state(&submit(&a, &submission("wk-1", |_| ())).await),
            (200, JobState::Cancelled)
        );
        for response in [
            query(&a, "wk-2").await,
            query(&a, "wk-3").await,
            cancel(&a, "wk-2").await,
            cancel(&a, "wk-3").await,
            submit(&a, &submission("wk-2", |_| ())).await,
            submit(&a, &submission("wk-3", |_| ())).await,
            // This job can never run, but its refusal is temporary: another controller may already have
            // accepted it.
            submit(
                &a,
                &submission("wk-4", |m| {
                    set_field(m, "crew", Value::Text("nobody".into()))
                }),
            )
            .await,
        ] {
            assert_eq!(
                (response.status, response.retry_after_s.is_some()),
                (503, true)
            );
        }
        store.unavailable.set(false);
        assert_eq!(
            progress_state(&query(&a, "wk-2").await),
            (200, JobState::Queued)
        );
        assert_eq!(query(&a, "wk-3").await.status, 404);
    });
}

/// Fields that a submission may omit.
const OPTIONAL_FIELDS: [&str; 3] = ["chassis_list", "yard", "due_s"];

fn text(s: &str) -> Value {
    Value::Text(s.into())
}

#[test]
fn missing_or_mistyped_fields_are_malformed() {
    with_controllers(|_, [a, _]| async move {
        let fields = cbor::decode::<Value>(&submission("wk-9", |_| ())).unwrap();
        for (i, (key, _)) in fields.into_map().unwrap().iter().enumerate() {
            let name = key.as_text().unwrap();
            let expected = if OPTIONAL_FIELDS.contains(&name) {
                201
            } else {
                400
            };
            let incomplete = submission(&format!("wk-{i}"), |m| drop(m.remove(i)));
            assert_eq!(
                submit(&a, &incomplete).await.status,
                expected,
                "submission without {name}"
            );
            let invalid = submission(&format!("wk-invalid{i}"), |m| m[i].1 = Value::Map(vec![]));
            let status = submit(&a, &invalid).await.status;
            assert_eq!(status, 400, "submission with {name} of the wrong type");
            let null = submission(&format!("wk-null{i}"), |m| m[i].1 = Value::Null);
            assert_eq!(
                submit(&a, &null).await.status,
                expected,
                "submission with {name} null"
            );
        }
    });
}

#[test]
fn out_of_range_values_are_malformed() {
    with_controllers(|store, [a, _]| async move {
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
            let response = submit(
                &a,
                &submission("wk-400", |m| set_field(m, name, value.clone())),
            )
            .await;
            assert_eq!(response.status, 400, "submission with {name} {value:?}");
        }
        assert_eq!(submit(&a, b"\xff\x00").await.status, 400);
        assert!(store.get(&store::keys::job("wk-400")).is_none());
        assert_eq!(query(&a, "wk-400").await.status, 404);
    });
}

#[test]
fn jobs_that_can_never_run_are_refused() {
    with_controllers(|store, [a, b]| async move {
        for (name, value) in [
            ("crew", text("nobody")),
            ("chassis_list", Value::Array(vec![text("g9")])),
            ("chassis_list", Value::Array(vec![])),
            ("vcpus", Value::Float(97.0)),
            ("gpus", Value::Float(9.0)),
            ("mem_gb", Value::Float(769.0)),
            // All tasks of a gang run at once: 16 x 13 CPUs exceed the team's limit of 200.
            ("vcpus", Value::Float(13.0)),
        ] {
            let response = submit(
                &a,
                &submission("wk-422", |m| set_field(m, name, value.clone())),
            )
            .await;
            assert_eq!(response.status, 422, "submission with {name} {value:?}");
        }
        assert!(store.get(&store::keys::job("wk-422")).is_none());
        assert_eq!(query(&b, "wk-422").await.status, 404);
    });
}

#[test]
fn unlimited_team_may_submit_any_fitting_job() {
    with_controllers(|_, [a, _]| async move {
        let guest = |m: &mut Vec<(Value, Value)>| {
            set_field(m, "crew", text("guest"));
            set_field(m, "vcpus", Value::Float(96.0));
        };
        assert_eq!(submit(&a, &submission("wk-guest", guest)).await.status, 201);
    });
}

/// The tasks of an array need not run at once: 16 x 13 CPUs may exceed the team's limit of 200.
#[test]
fn arrays_fit_by_task_and_repeats_skip_checks() {
    with_controllers(|_, [a, b]| async move {
        let array = |m: &mut Vec<(Value, Value)>| {
            set_field(m, "shape", text("array"));
            set_field(m, "vcpus", Value::Float(13.0));
        };
        assert_eq!(submit(&a, &submission("wk-array", array)).await.status, 201);
        let repeated = submit(
            &b,
            &submission("wk-array", |m| set_field(m, "crew", text("nobody"))),
        )
        .await;
        assert_eq!(accepted_state(&repeated), (200, JobState::Queued));
        let incomplete = submission("wk-array", |m| drop(m.remove(5)));
        assert_eq!(submit(&a, &incomplete).await.status, 200);
    });
}
