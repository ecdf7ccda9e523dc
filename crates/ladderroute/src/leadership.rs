//! Leading: campaign, renewal, the leader's clock, and the writer of its decisions.

use crate::controller::{Controller, Leadership};
use crate::leader_updates::open_job;
use crate::store_budget::store_shares;
use crate::writer::batch::TxnLimits;
use crate::writer::pages::RecordPages;
use crate::writer::writer;
use sched::leader::{Leader, OpenJob, PriorRuns};
use sched::owner::Owner;
use sched::placement::Resources;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::{take, usable, LeadershipLease};
use wire::users::Shape;

/// Freshness reads of the leader in its store lease, when nothing else makes them.
const READS_PER_LEASE: u32 = 5;

/// Tries to become the leader whenever there is none.
pub async fn campaign(node: Rc<Controller>) {
    let ttl = node.leader_ttl();
    let pause = ttl / 40;
    let others = node.settings.known.len();
    loop {
        smol::Timer::after(pause).await;
        let free = {
            let s = node.lock();
            s.shared.view.is_complete() && s.shared.view.replica().leader.is_none()
        };
        if !free {
            continue;
        }
        smol::Timer::after(ttl.mul_f64(0.03 * fastrand::f64())).await;
        match take(&node.store, &node.settings.member, ttl).await {
            Ok(Some(lease)) => {
                node.store.set_shares(store_shares(true, others));
                lead_until_lost(&node, lease, ttl).await;
                node.store.set_shares(store_shares(false, others));
            }
            Ok(None) => {
                crate::freshness::once(&node).await;
            }
            Err(e) => {
                log::info!("event=campaign_failed error=\"{e}\"");
                smol::Timer::after(ttl.mul_f64(0.05 + 0.1 * fastrand::f64())).await;
            }
        }
    }
}

/// Leads until the lease is lost.
async fn lead_until_lost(node: &Rc<Controller>, lease: LeadershipLease, ttl: Duration) {
    log::info!(
        "event=leader member={} token={} version={} authority_s={:.2}",
        node.settings.member,
        lease.token,
        lease.version,
        node.at(lease.until) - node.now()
    );
    // The view must hold all that was accepted and recorded before this leadership, and be fresh:
    // nothing is started on the strength of an old one.
    let behind = |node: &Controller| {
        let (s, now) = (node.lock(), node.now());
        let view = &s.shared.view;
        view.replica().revision < lease.version || now - view.read_at() > ttl.as_secs_f64() / 2.0
    };
    while behind(node) {
        if Instant::now() > lease.until {
            let _ = node.store.revoke(lease.lease_id).await;
            return;
        }
        if !crate::freshness::once(node).await {
            smol::Timer::after(ttl / 40).await;
        }
    }
    begin_leadership(node, &lease);
    let tasks = [
        node.executor.spawn(clock(node.clone())),
        node.executor.spawn(writer(node.clone())),
        node.executor
            .spawn(keep_view_fresh(node.clone(), ttl / READS_PER_LEASE)),
        node.executor
            .spawn(crate::provisioning::carry_out_requests(node.clone())),
        node.executor
            .spawn(crate::provisioning::watch_cloud(node.clone())),
    ];
    renew(node, ttl).await;
    drop(tasks);
    let mut state = node.lock();
    state.owner.authority.set(f64::MIN);
    if let Some(leadership) = state.shared.leadership.take() {
        for link in leadership.links.values() {
            link.outbox.close();
        }
    }
    log::info!("event=leader_ended member={}", node.settings.member);
    state.shared.view.leader_ended(&node.settings.member);
}

fn begin_leadership(node: &Rc<Controller>, lease: &LeadershipLease) {
    let mut guard = node.lock();
    let state = &mut *guard;
    let replica = state.shared.view.replica();
    let value_kb = node.limits.value_kb;
    let dependencies = state.shared.view.dependencies();
    let prior_runs = |spec: &wire::users::Job, version: u64| match (
        spec.shape,
        replica.bound_machines(&spec.id),
    ) {
        (Shape::Gang, Some(machines)) => PriorRuns::Bound(machines),
        (Shape::Gang, None) => PriorRuns::None,
        _ if replica.started_arrays.covers(version) => PriorRuns::Anywhere,
        _ => PriorRuns::None,
    };
    let open = |e: &store::replica::JobEntry| {
        let spec = e.job.clone()?;
        if dependencies.is_blocked(&spec.id) {
            return None;
        }
        let before = prior_runs(&spec, e.version);
        Some(open_job(e, spec, before))
    };
    let jobs: Vec<OpenJob> = replica.jobs.values().filter_map(open).collect();
    let priority = |job: &OpenJob| dependencies.priority(&job.spec.id, job.spec.priority);
    let priorities: Vec<_> = jobs
        .iter()
        .map(|job| (job.spec.id.clone(), priority(job)))
        .collect();
    let seed = node.seed.replace(node.seed.get().wrapping_add(1));
    let (member, config, started_arrays) = (
        &node.settings.member,
        node.config.clone(),
        replica.started_arrays.upto,
    );
    let mut leader = Leader::new(
        member,
        config,
        seed,
        lease.token,
        value_kb,
        jobs,
        &replica.roster,
        started_arrays,
        node.now(),
    );
    for (id, priority) in priorities {
        leader.set_priority(&id, priority);
    }
    let cancelled = replica.recently_cancelled(Duration::from_secs_f64(
        node.config.lease_s + node.config.cancel_s,
    ));
    let resources = |(id, team, (cpus, gpus))| {
        (
            id,
            team,
            Resources {
                cpus,
                gpus,
                memory_gb: 0.0,
            },
        )
    };
    leader.set_recently_cancelled(cancelled.into_iter().map(resources));
    if let Some(types) = state.shared.catalog.clone() {
        leader.catalog(types);
    }
    if node.now() < node.config.lease_s {
        // Who leads so soon after its start is one of several that started together: else one that
        // ran on would lead.
        leader.expect_others();
    }
    // The book of earlier epochs must not answer on this leadership's authority.
    state.owner = Owner::new(&node.settings.member, node.config.clone());
    state.owner.authority.set(node.at(lease.until));
    state.owner.authority.prove(state.shared.view.read_at());
    let records = RecordPages::load(replica, value_kb);
    state.shared.leadership = Some(Leadership {
        leader,
        lease: lease.clone(),
        records,
        limits: TxnLimits {
            operations: node.limits.txn_ops,
            value_kb,
        },
        writes: Default::default(),
        cloud: Default::default(),
        links: HashMap::new(),
    });
}

/// Renews the lease; returns when it is certainly lost.
async fn renew(node: &Rc<Controller>, ttl: Duration) {
    let mut paused = false;
    loop {
        let lease = match &node.lock().shared.leadership {
            Some(l) => l.lease.lease_id,
            None => return,
        };
        let sent = Instant::now();
        let result = node.store.touch(lease).await;
        let (mut wait, mut read) = (ttl / 5, false);
        {
            let mut state = node.lock();
            let until = sent + usable(ttl);
            match result {
                Ok(()) => {
                    state.owner.authority.renew(node.at(until), node.now());
                    read = !state.owner.has_authority(node.now());
                    paused = false;
                }
                Err(StoreError::NoLease) => return,
                Err(e) => {
                    wait = ttl / 20;
                    if !state.owner.has_authority(node.now()) && !paused {
                        paused = true;
                        log::info!("event=authority_paused error=\"{e}\"");
                    }
                }
            }
        }
        if read {
            // It ran out and is back: with a read sent from now on.
            crate::freshness::once(node).await;
        }
        smol::Timer::after(wait).await;
    }
}

/// Keeps the view fresh: authority reaches no further than its age allows. On
/// a busy day users' questions and the watch do it.
async fn keep_view_fresh(node: Rc<Controller>, every: Duration) {
    loop {
        let age = node.view_age();
        if age >= every.as_secs_f64() {
            crate::freshness::once(&node).await;
            smol::Timer::after(every / 2).await;
        } else {
            smol::Timer::after(every - Duration::from_secs_f64(age.max(0.0))).await;
        }
    }
}

/// Lets time pass for the leader.
async fn clock(node: Rc<Controller>) {
    let step = Duration::from_secs_f64((node.config.heartbeat_s / 10.0).clamp(0.05, 0.1));
    let mut logged = sched::leader::Summary::default();
    loop {
        smol::Timer::after(step).await;
        let now = node.now();
        let mut guard = node.lock();
        let state = &mut *guard;
        let Some(leadership) = &mut state.shared.leadership else {
            return;
        };
        if !state.owner.has_authority(now) {
            // Nothing is decided without authority; it may come back with a renewal and a read.
            continue;
        }
        leadership.leader.tick(now, node.settings.known.len());
        if log::log_enabled!(log::Level::Debug) {
            let summary = leadership.leader.summary();
            if summary != logged {
                log::debug!("event=cluster_summary {summary}");
                logged = summary;
            }
        }
        node.exchange_messages(state);
    }
}
