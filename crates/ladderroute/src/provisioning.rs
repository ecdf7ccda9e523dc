//! Provisioning: the cloud's catalog and list of machines, provision requests and releases, all within the
//! cloud's request rate.

use crate::controller::Controller;
use sched::leader::{Action, Leader};
use sched::Secs;
use serde::de::DeserializeOwned;
use std::rc::Rc;
use std::time::Duration;
use wire::cbor;
use wire::cloud::{Catalog, MachineList, Names, ProvisionRequest};
use wire::users::Refusal;

/// The cloud takes this many machines at most into one page of the list (a figure of the protocol).
const MAX_LISTED: u32 = 500;

/// Prices are read once in this many lists.
const LISTS_PER_CATALOG: u32 = 5;

/// Lists within the time by which the list may lag behind, as far as the cloud's rate allows.
const LISTS_PER_LAG: f64 = 2.0;

/// Least time between two lists, in intervals of the cloud's rate.
const MIN_LIST_INTERVALS: f64 = 4.0;

/// Tries of one provision request under the same name before its outcome is left to the list.
const MAX_PROVISION_ATTEMPTS: u32 = 4;

/// Time between two of this controller's requests, in intervals of the cloud's rate.
const REQUEST_SPACING_INTERVALS: f64 = 1.6;

/// Bounds of the time for which an answer is waited for, in seconds.
const MIN_RESPONSE_TIMEOUT_S: f64 = 1.0;
const MAX_RESPONSE_TIMEOUT_S: f64 = 5.0;

/// The words in which the cloud says that it has no machine of the kind asked for.
const NO_CAPACITY: &str = "no capacity";

/// What came of a provision request.
enum ProvisionOutcome {
    /// These machines boot.
    Machines(Vec<String>),
    /// The cloud has no such machines at present.
    NoCapacity,
    /// It was not carried out, or its outcome stays unknown until the machines are listed.
    Unknown,
}

impl ProvisionOutcome {
    /// As the leader takes it.
    fn into_machines(self) -> Option<Vec<String>> {
        match self {
            ProvisionOutcome::Machines(names) => Some(names),
            ProvisionOutcome::NoCapacity => Some(Vec::new()),
            ProvisionOutcome::Unknown => None,
        }
    }
}

/// Learns the machine types once; the leader keeps the prices current.
pub async fn load_catalog(controller: Rc<Controller>) {
    while !fetch_catalog(&controller).await {
        let pause = request_spacing(&controller).mul_f64(2.0 + fastrand::f64());
        smol::Timer::after(pause).await;
    }
    log::info!("event=catalog");
}

/// Reads the list and the prices again and again, while leading.
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

/// Carries out provision requests and releases, one at a time.
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

/// Reads the machine types and their prices; false if the cloud did not tell them.
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

/// Reads the whole list, page after page; what can't be read now is read by the next list.
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

/// The path of the page that begins after a machine; the first page begins after the empty name.
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
        leader.provision_result(&request.name, machines, now)
    });
}

/// Asks for machines until the outcome is told, or so often that it is left to the list.
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
            // The same name again: the cloud provisions only once for it.
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
    let ok = response.is_ok_and(|response| response.status == 200);
    log::info!("event=deprovision ok={ok} machines={names}");
    with_leader(controller, |leader, _| {
        leader.deprovision_result(&request.machines, ok)
    });
}

/// What the cloud holds at a path; none if it does not tell now.
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

/// How long an answer of the cloud is waited for.
fn response_timeout(controller: &Controller) -> Duration {
    let list_lag_s = controller.settings.params.cloud.list_lag_s;
    Duration::from_secs_f64(
        (list_lag_s / 2.0).clamp(MIN_RESPONSE_TIMEOUT_S, MAX_RESPONSE_TIMEOUT_S),
    )
}

/// Time between two of this controller's requests to the cloud.
fn request_spacing(controller: &Controller) -> Duration {
    Duration::from_secs_f64(REQUEST_SPACING_INTERVALS / controller.settings.params.cloud.rps)
}

/// Tells the leader something, if it is here, and lets it act.
fn with_leader(controller: &Controller, notify: impl FnOnce(&mut Leader, Secs)) {
    let now = controller.now();
    let mut guard = controller.lock();
    let state = &mut *guard;
    if let Some(leadership) = &mut state.shared.leadership {
        notify(&mut leadership.leader, now);
        controller.exchange_messages(state);
    }
}
