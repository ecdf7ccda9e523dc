//! Wiring: builds a controller from its settings and starts its services.

use crate::cluster_view::ClusterView;
use crate::controller::{Controller, FreshnessReads, Shared, State};
use crate::counters::Counters;
use crate::operator::Tuning;
use crate::settings::Settings;
use crate::store_budget::store_shares;
use sched::config::SchedulerConfig;
use sched::owner::Owner;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use store::budget::Rates;
use store::client::Store;

/// A controller that has not begun to run.
pub fn new(
    settings: Settings,
    tuning: &Tuning,
    executor: Rc<smol::LocalExecutor<'static>>,
) -> Rc<Controller> {
    let config = settings.scheduler_config(tuning);
    let p = settings.settings.clone();
    let shares = store_shares(false, settings.known.len());
    let limits = p.state.limits();
    let rates = Rates {
        requests_per_s: limits.rps,
        writes_per_s: limits.write_rps,
    };
    let chunk_bits = sched::leader::chunk_bits(p.state.value_kb);
    let shared = Shared::new(ClusterView::new(chunk_bits));
    let limit = Duration::from_secs_f64((config.lease_s * 0.1).clamp(0.5, 1.5));
    Rc::new(Controller {
        store: Store::new(settings.services.state, rates, shares, limit),
        cloud: http::client::Client::new(settings.services.cloud, 2, 4 << 20),
        executor,
        started_at: Instant::now(),
        state: Mutex::new(State {
            owner: Owner::new(&settings.member, config.clone()),
            shared,
        }),
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

/// Says what the settings make impossible, though the service starts with them.
pub fn warn_if_tight(config: &SchedulerConfig) {
    if !config.cancels_in_time() {
        let (lease_s, cancel_s) = (config.lease_s, config.cancel_s);
        log::error!("event=settings_tight lease_s={lease_s} cancel_s={cancel_s} error=\"a cancelled task may run on for longer than cancel_s while the state service fails\"");
    }
}

/// Runs the controller until its listeners fail.
pub fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let executor = Rc::new(smol::LocalExecutor::new());
    let node = new(settings, &tuning, executor.clone());
    log::info!(
        "event=start member={} api={} back={}",
        node.settings.member,
        node.settings.api_addr,
        node.settings.back
    );
    warn_if_tight(&node.config);
    let run = executor.clone();
    smol::block_on(run.run(async move {
        let api = smol::net::TcpListener::bind(node.settings.api_addr).await?;
        let back = smol::net::TcpListener::bind(node.settings.back).await?;
        executor
            .spawn(crate::freshness::follow(node.clone()))
            .detach();
        executor
            .spawn(crate::leadership::campaign(node.clone()))
            .detach();
        executor
            .spawn(crate::controller_links::serve(node.clone(), back))
            .detach();
        executor
            .spawn(crate::controller_links::join_leader(node.clone()))
            .detach();
        executor
            .spawn(crate::provisioning::learn_catalog(node.clone()))
            .detach();
        executor.spawn(tick(node.clone())).detach();
        crate::api::serve(node, api).await;
        Ok(())
    }))
}

/// Lets time pass for the owner's state.
async fn tick(node: Rc<Controller>) {
    let step = Duration::from_secs_f64((node.config.heartbeat_s / 20.0).clamp(0.05, 0.1));
    let mut log = AuthorityLog::default();
    loop {
        smol::Timer::after(step).await;
        let now = node.now();
        let mut state = node.lock();
        state.owner.tick(now);
        log.look_at(&node, &state, now);
        node.exchange_messages(&mut state);
    }
}

/// Logs changes of authority and the running summary.
#[derive(Default)]
struct AuthorityLog {
    has_authority: bool,
    summary: String,
    summed_up_at: f64,
}

impl AuthorityLog {
    fn look_at(&mut self, node: &Controller, state: &State, now: f64) {
        let has_authority = state.owner.has_authority(now);
        if std::mem::replace(&mut self.has_authority, has_authority) != has_authority {
            let authority = &state.owner.authority;
            log::info!(
                "event=authority held={has_authority} token={} lasts_s={:.2} staleness_s={:.2} view_age_s={:.2}",
                state.owner.token(),
                authority.until() - now,
                now - authority.read_at(),
                now - state.shared.view.read_at()
            );
        }
        let is_due = now - self.summed_up_at >= node.config.lease_s;
        if !is_due || !log::log_enabled!(log::Level::Info) {
            return;
        }
        self.summed_up_at = now;
        let summary = node.counters.to_string();
        if summary != self.summary {
            log::info!("event=health {summary}");
            self.summary = summary;
        }
    }
}
