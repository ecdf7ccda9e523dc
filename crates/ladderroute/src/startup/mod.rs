//! Start-up: builds a controller from its settings, starts its services, and runs them until its
//! listeners fail. There is no shutdown procedure: a process ends by being killed, and everything
//! that has to outlive it is in the store.

mod owner_clock;

use crate::cluster_view::ClusterView;
use crate::controller::{Controller, FreshnessReads, Shared, State};
use crate::counters::Counters;
use crate::settings::Settings;
use crate::settings::Tuning;
use crate::store_budget::{store_shares, Role};
use crate::{api, controller_links, freshness, leadership, provisioning};
use sched::config::SchedulerConfig;
use sched::owner::Owner;
use smol::net::TcpListener;
use smol::LocalExecutor;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use store::budget::Rates;
use store::client::Store;

/// Maximum number of idle connections to the cloud that are kept for reuse.
const CLOUD_CONNECTIONS: usize = 2;

/// Maximum size of a response of the cloud, in bytes.
const MAX_CLOUD_RESPONSE_BYTES: usize = 4 << 20;

/// Timeout of store requests as a fraction of the workers' lease, and its bounds in seconds.
const STORE_TIMEOUT_SHARE: f64 = 0.1;
const MIN_STORE_TIMEOUT_S: f64 = 0.5;
const MAX_STORE_TIMEOUT_S: f64 = 1.5;

/// Returns a controller whose services are not started yet.
pub fn build_controller(
    settings: Settings,
    tuning: &Tuning,
    executor: Rc<LocalExecutor<'static>>,
) -> Rc<Controller> {
    let config = settings.scheduler_config(tuning);
    let limits = settings.params.state.limits();
    let tasks_per_chunk = sched::leader::tasks_per_chunk(settings.params.state.value_kb);
    let cloud = settings.services.cloud;
    let state = State {
        owner: Owner::new(&settings.member, config.clone()),
        shared: Shared::new(ClusterView::new(tasks_per_chunk), &config),
    };
    Rc::new(Controller {
        store: store_client(&settings, &config),
        cloud: http::client::Client::new(cloud, CLOUD_CONNECTIONS, MAX_CLOUD_RESPONSE_BYTES),
        executor,
        started_at: Instant::now(),
        state: Mutex::new(state),
        freshness_reads: FreshnessReads::default(),
        counters: Counters::default(),
        writer_wake: smol::channel::bounded(1),
        provisioning_wake: smol::channel::bounded(1),
        seed: Cell::new(fastrand::u64(..)),
        config,
        limits,
        settings,
    })
}

/// Returns a client of the state service with a follower's shares of its rate limits.
fn store_client(settings: &Settings, config: &SchedulerConfig) -> Store {
    let limits = settings.params.state.limits();
    let rates = Rates {
        requests_per_s: limits.rps,
        writes_per_s: limits.write_rps,
    };
    let shares = store_shares(Role::Follower, settings.peers.len());
    let timeout_s = config.lease_s * STORE_TIMEOUT_SHARE;
    let timeout =
        Duration::from_secs_f64(timeout_s.clamp(MIN_STORE_TIMEOUT_S, MAX_STORE_TIMEOUT_S));
    Store::new(settings.services.state, rates, shares, timeout)
}

/// Logs an error if the settings do not allow the tasks of a cancelled job to be stopped within
/// `cancel_s` at all times. The controller accepts such settings nevertheless.
pub fn warn_if_tight(config: &SchedulerConfig) {
    if !config.cancels_in_time() {
        let (lease_s, cancel_s) = (config.lease_s, config.cancel_s);
        log::error!("event=settings_tight lease_s={lease_s} cancel_s={cancel_s} error=\"a cancelled task may run on for longer than cancel_s while the state service fails\"");
    }
}

/// Runs a controller until its listeners fail.
pub fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let controller = build_controller(settings, &tuning, executor.clone());
    log::info!(
        "event=start member={} api={} back={}",
        controller.settings.member,
        controller.settings.api_addr,
        controller.settings.link_addr
    );
    warn_if_tight(&controller.config);
    smol::block_on(executor.run(serve(controller)))
}

/// Listens on both ports and starts the services.
async fn serve(controller: Rc<Controller>) -> std::io::Result<()> {
    let api_listener = TcpListener::bind(controller.settings.api_addr).await?;
    let link_listener = TcpListener::bind(controller.settings.link_addr).await?;
    let executor = &controller.executor;
    executor
        .spawn(freshness::watch_store(controller.clone()))
        .detach();
    executor
        .spawn(leadership::campaign(controller.clone()))
        .detach();
    executor
        .spawn(controller_links::serve(controller.clone(), link_listener))
        .detach();
    executor
        .spawn(controller_links::join_leader(controller.clone()))
        .detach();
    executor
        .spawn(provisioning::load_catalog(controller.clone()))
        .detach();
    executor
        .spawn(owner_clock::run(controller.clone()))
        .detach();
    executor
        .spawn(freshness::keep_fresh_for_starts(controller.clone()))
        .detach();
    api::serve(controller, api_listener).await;
    Ok(())
}
