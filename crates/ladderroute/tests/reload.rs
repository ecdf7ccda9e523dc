//! A controller whose view of the store is older than the changes that the store retains reloads all keys in
//! pages, while it keeps receiving records in other ways.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::submit;
use ladderroute::controller::Controller;
use stand_in::requests::{accepted_state, record_job_state, submission, with_endpoints};
use stand_in::{is_loaded, job_entry, FakeStore, StoreEndpoint};
use std::rc::Rc;
use std::time::Duration;
use wire::store::{from_value, JobRecord, Recorded, Txn, Value, Write};
use wire::users::JobState;

async fn submit_new(controller: &Rc<Controller>, id: &str, dependencies: &[&str]) {
    let names = dependencies
        .iter()
        .map(|id| Value::Text((*id).into()))
        .collect();
    let submitted = submission(id, |fields| {
        fields.push((Value::Text("awaits".into()), Value::Array(names)))
    });
    let response = submit(controller, &submitted).await;
    assert_eq!(accepted_state(&response), (201, JobState::Queued), "{id}");
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// Makes a controller miss changes, which the store then discards, so that the controller's next request for
/// changes is refused because its view is too old.
async fn miss_changes(
    store: &FakeStore,
    endpoint: &StoreEndpoint,
    missed: impl std::future::Future<Output = ()>,
) {
    endpoint.refuses_changes.set(true);
    let requests_before = endpoint.change_requests.get();
    wait_until(|| endpoint.change_requests.get() > requests_before + 1).await;
    missed.await;
    store.compact();
    endpoint.refuses_changes.set(false);
}

fn recorded_state(controller: &Controller, id: &str) -> Option<Recorded> {
    job_entry(controller, id).map(|entry| entry.state)
}

fn leader_has_job(controller: &Controller, id: &str) -> bool {
    let state = controller.lock();
    let leadership = state.shared.leadership.as_ref();
    leadership.is_some_and(|leadership| leadership.leader.has_job(id))
}

/// Jobs end during a reload, by writes of the reloading controller that were in flight, while the loaded
/// pages still hold them as open. They stay terminal, and so does a job that was cancelled along with its
/// dependency; the leader does not get any of them back.
#[test]
fn job_ended_during_reload_stays_terminal() {
    with_endpoints(|store, [a, b], [endpoint, _]| async move {
        a.executor
            .spawn(ladderroute::leadership::campaign(a.clone()))
            .detach();
        wait_until(|| a.lock().shared.leadership.is_some()).await;
        for id in ["wk-1", "wk-2", "wk-3"] {
            submit_new(&a, id, &[]).await;
        }
        submit_new(&a, "wk-4", &["wk-1"]).await;
        submit_new(&a, "wk-5", &["wk-2"]).await;
        assert!(leader_has_job(&a, "wk-1") && !leader_has_job(&a, "wk-4"));
        endpoint.delays_pages.set(true);
        miss_changes(&store, &endpoint, submit_new(&b, "wk-6", &[])).await;
        let requests_before = endpoint.page_requests.get();
        wait_until(|| endpoint.page_requests.get() > requests_before || !is_loaded(&a)).await;
        wait_until(|| endpoint.page_requests.get() > requests_before).await;
        for (id, ended) in [("wk-1", Recorded::Cancelled), ("wk-2", Recorded::Done)] {
            assert_eq!(record_job_state(&store, id, ended), 200);
            let item = store.get(&store::keys::job(id)).unwrap();
            let record: JobRecord = from_value(&item.value).unwrap();
            a.apply_job_record(&mut a.lock(), id, record, item.version);
        }
        assert!(!leader_has_job(&a, "wk-1") && leader_has_job(&a, "wk-5"));
        // Changes are refused from now on: if they were read after the reload, they could hide a fault of it.
        endpoint.refuses_changes.set(true);
        endpoint.delays_pages.set(false);
        wait_until(|| is_loaded(&a)).await;
        assert_eq!(
            recorded_state(&a, "wk-6"),
            Some(Recorded::Open),
            "wk-6, whose creation the controller missed, is not open after the reload"
        );
        for (id, expected, leader_has) in [
            ("wk-1", Recorded::Cancelled, false),
            ("wk-2", Recorded::Done, false),
            ("wk-3", Recorded::Open, true),
            ("wk-4", Recorded::Cancelled, false),
            ("wk-5", Recorded::Open, true),
            ("wk-6", Recorded::Open, true),
        ] {
            assert_eq!(recorded_state(&a, id), Some(expected), "{id}");
            assert_eq!(leader_has_job(&a, id), leader_has, "{id}");
        }
    });
}

/// Every second request for a page is refused: a reload that restarted after each refusal would never end.
#[test]
fn reload_resumes_after_refused_page() {
    with_endpoints(|store, [a, b], [endpoint, _]| async move {
        for n in 0..20 {
            submit_new(&a, &format!("wk-{n}"), &[]).await;
        }
        store.page_items.set(2);
        endpoint.refused_page_interval.set(2);
        miss_changes(&store, &endpoint, submit_new(&b, "wk-missed", &[])).await;
        wait_until(|| !is_loaded(&a)).await;
        wait_until(|| is_loaded(&a) || endpoint.page_requests.get() > 100).await;
        assert!(
            is_loaded(&a),
            "the reload is not finished after {} page requests",
            endpoint.page_requests.get()
        );
        assert_eq!(recorded_state(&a, "wk-missed"), Some(Recorded::Open));
    });
}

/// The store does not limit the size of a response with changes; a controller that rejected an oversized
/// response and only retried the request would never catch up.
#[test]
fn oversized_response_triggers_paged_reload() {
    with_endpoints(|store, [a, b], [endpoint, _]| async move {
        endpoint.refuses_changes.set(true);
        submit_new(&b, "wk-missed", &[]).await;
        let put = |key: &str| Write::Put {
            key: key.into(),
            value: Value::Text("x".repeat(4096)),
            lease: None,
        };
        for n in 0..2500 {
            let writes = vec![put(&format!("lr/other/{}", n % 10))];
            let conditions = Vec::new();
            assert_eq!(store.apply(&Txn { conditions, writes }).status, 200);
        }
        endpoint.refuses_changes.set(false);
        let requests_before = endpoint.change_requests.get();
        wait_until(|| {
            recorded_state(&a, "wk-missed").is_some()
                || endpoint.change_requests.get() > requests_before + 10
        })
        .await;
        assert_eq!(recorded_state(&a, "wk-missed"), Some(Recorded::Open));
    });
}
