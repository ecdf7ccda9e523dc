//! Helpers for tests: requests of users, checks of the responses, and the record that a leader writes when a
//! job ends.

// Each test file compiles this module and uses only a part of it.
#![allow(dead_code)]

use super::{start_controller, FakeStore, StoreEndpoint};
use http::server::Response;
use ladderroute::api::users::{cancel, submit};
use ladderroute::controller::Controller;
use std::future::Future;
use std::rc::Rc;
use wire::cbor;
use wire::store::{from_value, to_value, Condition, JobRecord, Recorded, Txn, Value, Write};
use wire::users::{Accepted, JobState, Progress};

/// Runs a test with a store and two controllers.
pub fn with_controllers<F: Future<Output = ()>>(
    test: impl FnOnce(Rc<FakeStore>, [Rc<Controller>; 2]) -> F,
) {
    with_endpoints(|store, controllers, _| test(store, controllers));
}

/// Runs a test with a store, two controllers, and the endpoint at which each of them reaches the store.
pub fn with_endpoints<F: Future<Output = ()>>(
    test: impl FnOnce(Rc<FakeStore>, [Rc<Controller>; 2], [Rc<StoreEndpoint>; 2]) -> F,
) {
    let executor = Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let store = FakeStore::new();
        let (endpoint_a, addr_a) = store.open_endpoint(&executor).await;
        let (endpoint_b, addr_b) = store.open_endpoint(&executor).await;
        let controllers = [
            start_controller(&executor, 0, addr_a).await,
            start_controller(&executor, 1, addr_b).await,
        ];
        test(store, controllers, [endpoint_a, endpoint_b]).await;
    }));
}

/// Encodes the example submission of the protocol documentation after `change` has edited its fields.
pub fn submission(id: &str, change: impl FnOnce(&mut Vec<(Value, Value)>)) -> Vec<u8> {
    let text = |s: &str| Value::Text(s.into());
    let mut map: Vec<(Value, Value)> = vec![
        (text("name_id"), text(id)),
        (text("docket"), text("train")),
        (text("crew"), text("vision")),
        (text("shape"), text("ensemble")),
        (text("urgency"), text("high")),
        (text("tickets"), Value::Integer(16.into())),
        (text("vcpus"), Value::Float(8.0)),
        (text("gpus"), Value::Float(1.0)),
        (text("mem_gb"), Value::Float(64.0)),
        (text("kit"), text("img-07")),
        (text("image_gb"), Value::Float(6.2)),
        (text("chassis_list"), Value::Array(vec![text("g8")])),
        (text("yard"), Value::Null),
        (text("one_zone"), Value::Bool(true)),
        (text("spread"), Value::Bool(false)),
        (text("loaners"), Value::Bool(true)),
        (text("expected_s"), Value::Float(240.0)),
        (text("bookmark_s"), Value::Float(30.0)),
        (text("stash_s"), Value::Float(4.0)),
        (text("due_s"), Value::Float(900.0)),
    ];
    change(&mut map);
    cbor::encode(&Value::Map(map))
}

/// Encodes a submission that depends on the given jobs.
pub fn submission_with_dependencies(id: &str, dependencies: &[&str]) -> Vec<u8> {
    let names = dependencies
        .iter()
        .map(|id| Value::Text((*id).into()))
        .collect();
    submission_with_raw_dependencies(id, Value::Array(names))
}

/// Encodes a submission with an arbitrary value in the field for dependencies.
pub fn submission_with_raw_dependencies(id: &str, names: Value) -> Vec<u8> {
    submission(id, |fields| {
        fields.push((Value::Text("awaits".into()), names))
    })
}

/// Submits a new job and checks that it is created and queued.
pub async fn submit_new(controller: &Rc<Controller>, id: &str, dependencies: &[&str]) {
    let response = submit(controller, &submission_with_dependencies(id, dependencies)).await;
    assert_eq!(accepted_state(&response), (201, JobState::Queued), "{id}");
}

/// Cancels a job and checks that the cancellation is confirmed.
pub async fn cancel_confirmed(controller: &Rc<Controller>, id: &str) {
    let response = cancel(controller, id).await;
    assert_eq!(
        accepted_state(&response),
        (200, JobState::Cancelled),
        "{id}"
    );
}

/// Returns whether a response is a 503 with a `retry-after` header.
pub fn is_retry_later(response: &Response) -> bool {
    response.status == 503 && response.retry_after_s.is_some()
}

/// Replaces the value of a field in a submission.
pub fn set_field(map: &mut [(Value, Value)], name: &str, value: Value) {
    let field = map
        .iter_mut()
        .find(|(k, _)| *k == Value::Text(name.into()))
        .unwrap();
    field.1 = value;
}

/// Returns the HTTP status and the job state in the response to a submission or a cancellation.
pub fn accepted_state(response: &Response) -> (u16, JobState) {
    let Accepted { state, .. } = cbor::decode(&response.body).unwrap();
    (response.status, state)
}

/// Returns the HTTP status and the job state in the response to a query.
pub fn progress_state(response: &Response) -> (u16, JobState) {
    let Progress { state, .. } = cbor::decode(&response.body).unwrap();
    (response.status, state)
}

/// Records a job as done, as a leader does; returns the HTTP status of the transaction.
pub fn record_job_done(store: &FakeStore, id: &str) -> u16 {
    record_job_state(store, id, Recorded::Done)
}

/// Records the terminal state of a job, as a leader does; returns the HTTP status of the transaction.
pub fn record_job_state(store: &FakeStore, id: &str, state: Recorded) -> u16 {
    let item = store.get(&store::keys::job(id)).unwrap();
    let record: JobRecord = from_value(&item.value).unwrap();
    let put = Write::Put {
        key: item.key.clone(),
        value: to_value(&JobRecord { state, ..record }),
        lease: None,
    };
    store
        .apply(&Txn {
            conditions: vec![Condition {
                key: item.key,
                version: item.version,
            }],
            writes: vec![put],
        })
        .status
}
