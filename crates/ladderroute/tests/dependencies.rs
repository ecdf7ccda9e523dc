//! Responses of every controller about jobs that depend on other jobs.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::{cancel, query, submit};
use ladderroute::controller::Controller;
use stand_in::requests::{
    accepted_state, progress_state, record_job_done, submission_with_dependencies,
    submission_with_raw_dependencies, submit_new, with_controllers,
};
use stand_in::{is_loaded, job_entry, TxnFault};
use wire::store::{JobRecord, Recorded, Value};
use wire::users::{Job, JobState};

fn is_blocked(controller: &Controller, id: &str) -> bool {
    controller.lock().shared.view.dependencies().is_blocked(id)
}

#[test]
fn cancellation_reaches_dependents_everywhere() {
    with_controllers(|_, [a, b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        submit_new(&b, "wk-2", &["wk-1"]).await;
        submit_new(&a, "wk-3", &["wk-2"]).await;
        submit_new(&b, "wk-4", &["wk-1", "wk-3"]).await;
        submit_new(&a, "wk-5", &[]).await;
        assert_eq!(
            accepted_state(&cancel(&b, "wk-2").await),
            (200, JobState::Cancelled)
        );
        for controller in [&a, &b] {
            for id in ["wk-2", "wk-3", "wk-4"] {
                assert_eq!(
                    progress_state(&query(controller, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
                assert_eq!(
                    accepted_state(&cancel(controller, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
            }
            for id in ["wk-1", "wk-5"] {
                assert_eq!(
                    progress_state(&query(controller, id).await),
                    (200, JobState::Queued),
                    "{id}"
                );
            }
            // A new job that depends on a cancelled job is accepted, and cancelled at once.
            let id = format!("wk-late-{}", controller.settings.member);
            let late = submission_with_dependencies(&id, &["wk-4", "wk-1"]);
            assert_eq!(
                accepted_state(&submit(controller, &late).await),
                (201, JobState::Cancelled)
            );
            assert_eq!(
                accepted_state(&submit(controller, &late).await),
                (200, JobState::Cancelled)
            );
        }
        for controller in [&a, &b] {
            let response = query(controller, "wk-late-rung-0").await;
            assert_eq!(progress_state(&response), (200, JobState::Cancelled));
        }
    });
}

#[test]
fn completed_dependency_unblocks_dependents() {
    with_controllers(|store, [a, b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        submit_new(&a, "wk-2", &["wk-1"]).await;
        assert!(is_blocked(&a, "wk-2"));
        // The completion is written before the cancellation arrives.
        assert_eq!(record_job_done(&store, "wk-1"), 200);
        assert_eq!(
            accepted_state(&cancel(&b, "wk-1").await),
            (200, JobState::Done)
        );
        for controller in [&a, &b] {
            assert_eq!(
                progress_state(&query(controller, "wk-2").await),
                (200, JobState::Queued)
            );
            assert!(!is_blocked(controller, "wk-2"));
        }
        // The dependency has completed: a repeated submission, and a new one.
        let repeated = submit(&b, &submission_with_dependencies("wk-2", &["wk-1"])).await;
        assert_eq!(accepted_state(&repeated), (200, JobState::Queued));
        submit_new(&b, "wk-3", &["wk-1"]).await;
        assert!(!is_blocked(&b, "wk-3"));
    });
}

/// While the store is down, the controller that confirmed a cancellation, and every other controller that has
/// learned of it, keep reporting the cancelled job and all jobs in the chain that depends on it as cancelled.
#[test]
fn cancelled_chain_is_reported_in_store_outage() {
    with_controllers(|store, [a, b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        submit_new(&a, "wk-2", &["wk-1"]).await;
        submit_new(&a, "wk-3", &["wk-2"]).await;
        assert_eq!(
            accepted_state(&cancel(&a, "wk-1").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(
            progress_state(&query(&b, "wk-3").await),
            (200, JobState::Cancelled)
        );
        store.unavailable.set(true);
        for controller in [&a, &b] {
            for id in ["wk-1", "wk-2", "wk-3"] {
                assert_eq!(
                    progress_state(&query(controller, id).await),
                    (200, JobState::Cancelled),
                    "{id}"
                );
            }
        }
    });
}

#[test]
fn dependencies_must_be_accepted_jobs() {
    with_controllers(|store, [a, b]| async move {
        let status = |response: http::server::Response| response.status;
        // Refused as dependencies: a job that was never accepted, and the submitted job itself.
        assert_eq!(
            status(submit(&a, &submission_with_dependencies("wk-1", &["wk-9"])).await),
            422
        );
        assert_eq!(
            status(submit(&a, &submission_with_dependencies("wk-1", &["wk-1"])).await),
            422
        );
        assert_eq!(status(query(&a, "wk-1").await), 404);
        // Accepted as a dependency: a job that the other controller has just accepted; listed twice, it
        // counts once.
        submit_new(&b, "wk-9", &[]).await;
        submit_new(&a, "wk-1", &["wk-9", "wk-9"]).await;
        assert_eq!(
            job_entry(&a, "wk-1").unwrap().job.unwrap().dependencies,
            ["wk-9"]
        );
        // A repeated submission changes nothing, even if it names the job itself and an unknown job as
        // dependencies.
        let repeated = submit(
            &b,
            &submission_with_dependencies("wk-1", &["wk-1", "wk-nobody"]),
        )
        .await;
        assert_eq!(accepted_state(&repeated), (200, JobState::Queued));
        // While the store is unavailable, the dependency can't be looked up, so the refusal is temporary.
        store.unavailable.set(true);
        let response = submit(&a, &submission_with_dependencies("wk-2", &["wk-8"])).await;
        assert_eq!(
            (response.status, response.retry_after_s.is_some()),
            (503, true)
        );
        store.unavailable.set(false);
        assert_eq!(
            status(submit(&a, &submission_with_dependencies("wk-2", &["wk-8"])).await),
            422
        );
    });
}

#[test]
fn malformed_dependency_lists_are_refused() {
    with_controllers(|_, [a, _]| async move {
        let text = |id: &str| Value::Text(id.into());
        for invalid in [
            text("wk-9"),
            Value::Integer(3.into()),
            Value::Map(Vec::new()),
            Value::Array(vec![Value::Integer(3.into())]),
            Value::Array(vec![text("")]),
            Value::Array(vec![text("a/b")]),
            Value::Array(vec![Value::Null]),
        ] {
            let response = submit(
                &a,
                &submission_with_raw_dependencies("wk-1", invalid.clone()),
            )
            .await;
            assert_eq!(response.status, 400, "{invalid:?}");
        }
        for none in [Value::Null, Value::Array(Vec::new())] {
            let response = submit(&a, &submission_with_raw_dependencies("wk-2", none)).await;
            assert!(matches!(response.status, 200 | 201));
        }
        assert!(!is_blocked(&a, "wk-2"));
    });
}

/// The test settings announce that the store's value limit will be halved, to 2 KiB.
#[test]
fn oversized_dependencies_refused_with_limit() {
    with_controllers(|store, [a, b]| async move {
        let ids: Vec<String> = (0..300).map(|n| format!("wk-{n:06}")).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        for id in &names {
            submit_new(&a, id, &[]).await;
        }
        submit_new(&a, "wk-fits", &names[..100]).await;
        let written = store.get(&store::keys::job("wk-fits")).unwrap();
        assert!(wire::store::value_bytes(&written.value) <= 2048);
        let response = submit(&a, &submission_with_dependencies("wk-long", &names)).await;
        assert_eq!(response.status, 422);
        let refusal: wire::users::Refusal = wire::cbor::decode(&response.body).unwrap();
        assert!(refusal.error.contains("awaits") && refusal.error.contains("2048"));
        // An accepted job is never refused, whatever a repeated submission contains.
        let repeated = submit(&b, &submission_with_dependencies("wk-fits", &names)).await;
        assert_eq!(accepted_state(&repeated), (200, JobState::Queued));
    });
}

/// An earlier version may have written a job's open record up to a larger value limit. The job can still end:
/// its terminal record omits what is no longer needed, and so fits the smaller limit.
#[test]
fn terminal_record_fits_a_smaller_value_limit() {
    let long = |n: usize| "x".repeat(n);
    let submitted = submission_with_dependencies("wk-1", &[]);
    let job = Job {
        types: Some((0..20).map(|n| format!("{}{n}", long(150))).collect()),
        dependencies: (0..200).map(|n| format!("wk-{n:06}")).collect(),
        class: long(200),
        team: long(200),
        image: long(200),
        ..wire::cbor::decode(&submitted).unwrap()
    };
    for state in [Recorded::Done, Recorded::Cancelled] {
        let record = JobRecord::terminal(state, u64::MAX, &job);
        let value = wire::store::to_value(&record);
        assert!(wire::store::value_bytes(&value) <= 2048);
        assert_eq!((record.job.tasks, record.job.cpus), (job.tasks, job.cpus));
    }
}

/// The response to the transaction that accepts a job may be lost, or the transaction may be applied late. In
/// both cases, the job's dependencies are those in the record that the store holds.
#[test]
fn dependencies_survive_lost_and_late_responses() {
    with_controllers(|store, [a, b]| async move {
        submit_new(&a, "wk-1", &[]).await;
        store.next_txn_fault.set(TxnFault::ResponseLost);
        let response = submit(&a, &submission_with_dependencies("wk-2", &["wk-1"])).await;
        assert_eq!(accepted_state(&response), (200, JobState::Queued));
        assert!(is_blocked(&a, "wk-2"));
        // The cancellation is applied, but its response is lost: the controller reads the record back, and
        // the dependents are cancelled, too.
        store.next_txn_fault.set(TxnFault::ResponseLost);
        assert_eq!(
            accepted_state(&cancel(&b, "wk-1").await),
            (200, JobState::Cancelled)
        );
        for controller in [&b, &a] {
            assert_eq!(
                progress_state(&query(controller, "wk-2").await),
                (200, JobState::Cancelled)
            );
        }
        // The submission of wk-4 is applied late, after its dependency wk-3 has been cancelled.
        submit_new(&a, "wk-3", &[]).await;
        store.next_txn_fault.set(TxnFault::Delayed);
        assert_eq!(
            submit(&a, &submission_with_dependencies("wk-4", &["wk-3"]))
                .await
                .status,
            503
        );
        assert_eq!(
            accepted_state(&cancel(&b, "wk-3").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(store.apply_delayed_txns(), vec![200]);
        for controller in [&b, &a] {
            assert_eq!(
                progress_state(&query(controller, "wk-4").await),
                (200, JobState::Cancelled)
            );
        }
    });
}

/// A controller that has just started reads all records, in an order that may put dependents before their
/// dependencies. Here a running controller is made to read them all again.
#[test]
fn starting_controller_rebuilds_dependency_graph() {
    with_controllers(|store, [a, b]| async move {
        submit_new(&a, "wk-9", &[]).await;
        submit_new(&a, "wk-5", &["wk-9"]).await;
        submit_new(&a, "wk-1", &["wk-5"]).await;
        submit_new(&a, "wk-8", &[]).await;
        submit_new(&a, "wk-2", &["wk-8"]).await;
        submit_new(&a, "wk-7", &[]).await;
        submit_new(&a, "wk-3", &["wk-7"]).await;
        assert_eq!(
            accepted_state(&cancel(&a, "wk-9").await),
            (200, JobState::Cancelled)
        );
        assert_eq!(record_job_done(&store, "wk-8"), 200);
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
            assert_eq!(progress_state(&query(&b, id).await), (200, state), "{id}");
            assert_eq!(is_blocked(&b, id), blocked, "{id}");
        }
    });
}
