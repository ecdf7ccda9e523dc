//! Talking to the cloud: catalog, list, provision request, release, all within its request rate.

use crate::controller::Controller;
use sched::leader::Action;
use std::rc::Rc;
use std::time::Duration;
use wire::cbor;
use wire::cloud::{Catalog, MachineList, Names};

/// Prices are read once in this many lists.
const LISTS_PER_CATALOG: u32 = 5;
/// Most machines in one page of the list (a figure of the protocol).
const MOST_LISTED: u32 = 500;
/// Tries of one provision request under the same name before its outcome is left to the list.
const PROVISION_ATTEMPTS: u32 = 4;

fn limit(node: &Controller) -> Duration {
    Duration::from_secs_f64((node.settings.settings.cloud.list_lag_s / 2.0).clamp(1.0, 5.0))
}

/// Time between two of this controller's requests to the cloud.
fn pace(node: &Controller) -> Duration {
    Duration::from_secs_f64(1.6 / node.settings.settings.cloud.rps)
}

async fn fetch_catalog(node: &Rc<Controller>) -> bool {
    let Ok(answer) = node.cloud.ask("GET", "/catalog", &[], limit(node)).await else {
        return false;
    };
    let Some(catalog) = (answer.status == 200)
        .then(|| cbor::decode::<Catalog>(&answer.body).ok())
        .flatten()
    else {
        return false;
    };
    let mut guard = node.lock();
    let state = &mut *guard;
    if let Some(leadership) = &mut state.shared.leadership {
        leadership.leader.catalog(catalog.types.clone());
    }
    state.shared.catalog = Some(catalog.types);
    node.exchange_messages(state);
    true
}

/// Learns the machine types once; the leader keeps the prices current.
pub async fn learn_catalog(node: Rc<Controller>) {
    while !fetch_catalog(&node).await {
        smol::Timer::after(pace(&node).mul_f64(2.0 + fastrand::f64())).await;
    }
    log::info!("event=catalog");
}

/// Reads the list and the prices again and again, while leading.
pub async fn watch_cloud(node: Rc<Controller>) {
    let lag = node.settings.settings.cloud.list_lag_s;
    let mut round = 0;
    loop {
        smol::Timer::after(Duration::from_secs_f64(
            (lag / 2.0).max(4.0 / node.settings.settings.cloud.rps),
        ))
        .await;
        round += 1;
        if round == LISTS_PER_CATALOG {
            round = 0;
            fetch_catalog(&node).await;
        }
        let mut since = Some(String::new());
        while let Some(after) = since.take() {
            let path = if after.is_empty() {
                format!("/machines?most={MOST_LISTED}")
            } else {
                format!("/machines?since={after}&most={MOST_LISTED}")
            };
            let Ok(answer) = node.cloud.ask("GET", &path, &[], limit(&node)).await else {
                break;
            };
            let Some(list) = (answer.status == 200)
                .then(|| cbor::decode::<MachineList>(&answer.body).ok())
                .flatten()
            else {
                break;
            };
            with_leader(&node, |l, now| l.listed(&list.machines, now));
            if list.more {
                since = list.machines.last().map(|m| m.name.clone());
                smol::Timer::after(pace(&node)).await;
            }
        }
    }
}

/// Carries out provision requests and releases, one at a time.
pub async fn carry_out_requests(node: Rc<Controller>) {
    loop {
        let action = node
            .lock()
            .shared
            .leadership
            .as_mut()
            .and_then(|l| l.cloud.pop_front());
        let Some(action) = action else {
            let _ = node.provisioning_wake.1.recv().await;
            continue;
        };
        match action {
            Action::Provision(request) => {
                let got = provision_machines(&node, &request).await;
                if let Some(names) = &got {
                    log::info!(
                        "event=provisioned name={} machines={}",
                        request.name,
                        names.join(",")
                    );
                }
                with_leader(&node, |l, now| l.provision_result(&request.name, got, now));
            }
            Action::Deprovision(names) => {
                let body = cbor::encode(&Names {
                    machines: names.clone(),
                });
                let ok = matches!(node.cloud.ask("POST", "/machines/release", &body, limit(&node)).await, Ok(a) if a.status == 200);
                log::info!("event=deprovision ok={ok} machines={}", names.join(","));
                with_leader(&node, |l, _| l.deprovision_result(&names, ok));
            }
            _ => {}
        }
        smol::Timer::after(pace(&node)).await;
    }
}

fn with_leader(node: &Rc<Controller>, f: impl FnOnce(&mut sched::leader::Leader, f64)) {
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    if let Some(leadership) = &mut state.shared.leadership {
        f(&mut leadership.leader, now);
        node.exchange_messages(state);
    }
}

/// The machines that came of a provision request: empty for no capacity, none if it did not come about.
async fn provision_machines(
    node: &Rc<Controller>,
    request: &wire::cloud::ProvisionRequest,
) -> Option<Vec<String>> {
    let body = cbor::encode(request);
    for _ in 0..PROVISION_ATTEMPTS {
        match node
            .cloud
            .ask("POST", "/machines", &body, limit(node))
            .await
        {
            Ok(a) if a.status == 200 => {
                return cbor::decode::<Names>(&a.body).ok().map(|n| n.machines)
            }
            Ok(a) if a.status == 503 => {
                let error = cbor::decode::<wire::users::Refusal>(&a.body)
                    .map(|r| r.error)
                    .unwrap_or_default();
                return (error == "no capacity").then(Vec::new);
            }
            Ok(a) if a.status == 429 => smol::Timer::after(pace(node).mul_f64(2.0)).await,
            Ok(a) => {
                log::error!(
                    "event=provision_refused status={} kind={}",
                    a.status,
                    request.kind
                );
                return None;
            }
            // The same name again: the cloud provisions only once for it.
            Err(_) => smol::Timer::after(pace(node)).await,
        };
    }
    None
}
