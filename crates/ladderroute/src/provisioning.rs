//! Provisioning: reads the cloud's catalog and machine list, and sends provision and release
//! requests, all within the cloud's request rate.

use crate::controller::Controller;
use http::client::{RequestError, Response};
use sched::leader::{Action, Leader, ReleaseOutcome};
use sched::Secs;
use serde::de::DeserializeOwned;
use std::rc::Rc;
use std::time::Duration;
use wire::cbor;
use wire::cloud::{Catalog, MachineList, Names, ProvisionRequest};
use wire::users::Refusal;

/// Maximum number of machines in one page of the machine list, as defined by the protocol.
const MAX_LISTED: u32 = 500;

/// Number of reads of the machine list per read of the catalog, which keeps the prices current.
const LISTS_PER_CATALOG: u32 = 5;

/// Number of reads of the machine list in the time by which the list may lag behind (`list_lag_s`),
/// if the cloud's request rate allows so many.
const LISTS_PER_LAG: f64 = 2.0;

/// Minimum time between two reads of the machine list, in multiples of 1 / request rate.
const MIN_LIST_INTERVALS: f64 = 4.0;

/// Maximum number of attempts at one provision request, all under the same name. If all fail, only
/// the machine list will show the outcome.
const MAX_PROVISION_ATTEMPTS: u32 = 4;

/// Time between two requests of this controller, in multiples of 1 / request rate.
const REQUEST_SPACING_INTERVALS: f64 = 1.6;

/// Minimum timeout of a request to the cloud, in seconds.
const MIN_RESPONSE_TIMEOUT_S: f64 = 1.0;
/// Maximum timeout of a request to the cloud, in seconds.
const MAX_RESPONSE_TIMEOUT_S: f64 = 5.0;

/// Error text with which the cloud reports that it has no machine of the requested type.
const NO_CAPACITY: &str = "no capacity";

/// Outcome of a provision request.
enum ProvisionOutcome {
    /// The names of the machines, which are booting.
    Machines(Vec<String>),
    /// The cloud has no machines of this type at present.
    NoCapacity,
    /// The request failed, or its outcome is unknown until the machines are listed.
    Unknown,
}

impl ProvisionOutcome {
    /// Converts the outcome to the form that the leader accepts: the names of the machines, empty
    /// if there is no capacity, or `None` if the outcome is unknown.
    fn into_machines(self) -> Option<Vec<String>> {
        match self {
            ProvisionOutcome::Machines(names) => Some(names),
            ProvisionOutcome::NoCapacity => Some(Vec::new()),
            ProvisionOutcome::Unknown => None,
        }
    }
}

/// Tries to read the catalog until one attempt succeeds. The leader keeps the prices current after
/// that ([`poll_cloud`]).
pub async fn load_catalog(controller: Rc<Controller>) {
    while !fetch_catalog(&controller).await {
        let pause = request_spacing(&controller).mul_f64(2.0 + fastrand::f64());
        smol::Timer::after(pause).await;
    }
    log::info!("event=catalog");
}

/// Reads the machine list and the prices periodically, while this controller leads.
pub async fn poll_cloud(controller: Rc<Controller>) {
    let cloud = &controller.settings.params.cloud;
    let interval_s = (cloud.list_lag_s / LISTS_PER_LAG).max(MIN_LIST_INTERVALS / cloud.rps);
    let mut lists = 0;
    loop {
        smol::Timer::after(Duration::from_secs_f64(interval_s)).await;
        lists += 1;
        if lists == LISTS_PER_CATALOG {
            lists = 0;
            fetch_catalog(&controller).await;
        }
        list_machines(&controller).await;
    }
}

/// Sends provision and release requests, one at a time.
pub async fn process_requests(controller: Rc<Controller>) {
    loop {
        let Some(action) = next_request(&controller) else {
            let _ = controller.provisioning_wake.1.recv().await;
            continue;
        };
        match action {
            Action::Provision(request) => provision(&controller, &request).await,
            Action::Deprovision(names) => deprovision(&controller, names).await,
            _ => {}
        }
        smol::Timer::after(request_spacing(&controller)).await;
    }
}

fn next_request(controller: &Controller) -> Option<Action> {
    let mut state = controller.lock();
    state.shared.leadership.as_mut()?.cloud_requests.pop_front()
}

/// Reads the machine types and their prices. Returns false if the request failed.
async fn fetch_catalog(controller: &Rc<Controller>) -> bool {
    let Some(catalog) = fetch::<Catalog>(controller, "/catalog").await else {
        return false;
    };
    let mut guard = controller.lock();
    let state = &mut *guard;
    if let Some(leadership) = &mut state.shared.leadership {
        leadership.leader.set_catalog(catalog.types.clone());
    }
    state.shared.catalog = Some(catalog.types);
    controller.exchange_messages(state);
    true
}

/// Reads the machine list page by page. If a page can't be read, the rest is left to the next read
/// of the list.
async fn list_machines(controller: &Rc<Controller>) {
    let mut since = Some(String::new());
    while let Some(after) = since.take() {
        let Some(list) = fetch::<MachineList>(controller, &list_path(&after)).await else {
            return;
        };
        with_leader(controller, |leader, now| {
            leader.on_machines_listed(&list.machines, now)
        });
        if list.more {
            since = list.machines.last().map(|machine| machine.name.clone());
            smol::Timer::after(request_spacing(controller)).await;
        }
    }
}

/// Returns the path of the page of the machine list that begins after the machine with this name,
/// or of the first page for an empty name.
fn list_path(after: &str) -> String {
    if after.is_empty() {
        format!("/machines?most={MAX_LISTED}")
    } else {
        format!("/machines?since={after}&most={MAX_LISTED}")
    }
}

async fn provision(controller: &Rc<Controller>, request: &ProvisionRequest) {
    let outcome = request_machines(controller, request).await;
    let machines = outcome.into_machines();
    if let Some(names) = &machines {
        let (name, names) = (&request.name, names.join(","));
        log::info!("event=provisioned name={name} machines={names}");
    }
    with_leader(controller, |leader, now| {
        leader.on_provision_result(&request.name, machines, now)
    });
}

/// Sends a provision request until its outcome is known, at most `MAX_PROVISION_ATTEMPTS` times.
async fn request_machines(
    controller: &Rc<Controller>,
    request: &ProvisionRequest,
) -> ProvisionOutcome {
    let body = cbor::encode(request);
    let timeout = response_timeout(controller);
    for _ in 0..MAX_PROVISION_ATTEMPTS {
        let response = controller
            .cloud
            .request("POST", "/machines", &body, timeout);
        match response.await {
            Ok(response) if response.status == 200 => return parse_provisioned(&response.body),
            Ok(response) if response.status == 503 => return parse_unavailable(&response.body),
            Ok(response) if response.status == 429 => {
                smol::Timer::after(request_spacing(controller).mul_f64(2.0)).await;
            }
            Ok(response) => {
                let (status, kind) = (response.status, &request.kind);
                log::error!("event=provision_refused status={status} kind={kind}");
                return ProvisionOutcome::Unknown;
            }
            // The request is retried under the same name, which serves as its idempotency key: the
            // cloud provisions only once for a name.
            Err(_) => {
                smol::Timer::after(request_spacing(controller)).await;
            }
        }
    }
    ProvisionOutcome::Unknown
}

fn parse_provisioned(body: &[u8]) -> ProvisionOutcome {
    match cbor::decode::<Names>(body) {
        Ok(names) => ProvisionOutcome::Machines(names.machines),
        Err(_) => ProvisionOutcome::Unknown,
    }
}

fn parse_unavailable(body: &[u8]) -> ProvisionOutcome {
    match cbor::decode::<Refusal>(body) {
        Ok(refusal) if refusal.error == NO_CAPACITY => ProvisionOutcome::NoCapacity,
        _ => ProvisionOutcome::Unknown,
    }
}

async fn deprovision(controller: &Rc<Controller>, machines: Vec<String>) {
    let names = machines.join(",");
    let request = Names { machines };
    let body = cbor::encode(&request);
    let timeout = response_timeout(controller);
    let path = "/machines/release";
    let response = controller.cloud.request("POST", path, &body, timeout).await;
    let outcome = release_outcome(&response);
    let ok = outcome == ReleaseOutcome::Released;
    log::info!("event=deprovision ok={ok} outcome={outcome:?} machines={names}");
    with_leader(controller, |leader, _| {
        leader.on_deprovision_result(&request.machines, outcome)
    });
}

/// Returns the outcome of a release request.
fn release_outcome(response: &Result<Response, RequestError>) -> ReleaseOutcome {
    match response.as_ref().map(|response| response.status) {
        Ok(200) => ReleaseOutcome::Released,
        Ok(400 | 429 | 503) | Err(RequestError::NotSent(_)) => ReleaseOutcome::Refused,
        Ok(_) | Err(_) => ReleaseOutcome::Unknown,
    }
}

/// Fetches and decodes the resource at a path of the cloud; `None` if the request fails.
async fn fetch<T: DeserializeOwned>(controller: &Controller, path: &str) -> Option<T> {
    let timeout = response_timeout(controller);
    let response = controller
        .cloud
        .request("GET", path, &[], timeout)
        .await
        .ok()?;
    if response.status != 200 {
        return None;
    }
    cbor::decode(&response.body).ok()
}

/// Returns the timeout of a request to the cloud.
fn response_timeout(controller: &Controller) -> Duration {
    let list_lag_s = controller.settings.params.cloud.list_lag_s;
    Duration::from_secs_f64(
        (list_lag_s / 2.0).clamp(MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S),
    )
}

/// Returns the time between two requests of this controller to the cloud.
fn request_spacing(controller: &Controller) -> Duration {
    Duration::from_secs_f64(REQUEST_SPACING_INTERVALS / controller.settings.params.cloud.rps)
}

/// Notifies the leader, if it runs in this process, and routes the leader's actions that result.
fn with_leader(controller: &Controller, notify: impl FnOnce(&mut Leader, Secs)) {
    let now = controller.now();
    let mut guard = controller.lock();
    let state = &mut *guard;
    if let Some(leadership) = &mut state.shared.leadership {
        notify(&mut leadership.leader, now);
        controller.exchange_messages(state);
    }
}
