//! Leadership: campaigns for the store lease, builds the leader from the cluster view, and leads
//! until the lease is lost.

mod begin;
mod lease;

use crate::controller::Controller;
use crate::store_budget::{store_shares, Role};
use crate::{freshness, provisioning, writer};
use begin::begin_leadership;
use lease::{keep_view_fresh, renew_until_lost};
use sched::Secs;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::leadership::{acquire, LeadershipEnd, LeadershipLease};

/// Number of checks, in the duration of the store lease, whether there is no leader.
const POLLS_PER_LEASE: u32 = 40;

/// Maximum random delay before a campaign, as a fraction of the lease, so that two campaigns seldom
/// collide.
const MAX_CAMPAIGN_JITTER: f64 = 0.03;

/// Delay after a failed campaign, and the maximum random delay in addition, as fractions of the
/// lease.
const FAILED_CAMPAIGN_PAUSE: f64 = 0.05;
const MAX_FAILED_CAMPAIGN_JITTER: f64 = 0.1;

/// Ticks of the leader per heartbeat interval, and the bounds of the tick interval in seconds.
const TICKS_PER_HEARTBEAT: f64 = 10.0;
const MIN_TICK_INTERVAL_S: f64 = 0.05;
const MAX_TICK_INTERVAL_S: f64 = 0.1;

/// Tries to become the leader whenever there is none, and leads once it has succeeded.
pub async fn campaign(controller: Rc<Controller>) {
    let ttl = controller.leader_lease_ttl();
    let others = controller.settings.peers.len();
    loop {
        smol::Timer::after(ttl / POLLS_PER_LEASE).await;
        if !is_vacant(&controller) {
            continue;
        }
        smol::Timer::after(ttl.mul_f64(MAX_CAMPAIGN_JITTER * fastrand::f64())).await;
        match acquire(&controller.store, &controller.settings.member, ttl).await {
            Ok(Some(lease)) => {
                controller
                    .store
                    .set_shares(store_shares(Role::Leader, others));
                lead_until_lost(&controller, lease, ttl).await;
                controller
                    .store
                    .set_shares(store_shares(Role::Follower, others));
            }
            Ok(None) => {
                // The campaign was lost: the read updates the view with the new leader, if any.
                freshness::read_once(&controller).await;
            }
            Err(e) => {
                log::info!("event=campaign_failed error=\"{e}\"");
                let pause = FAILED_CAMPAIGN_PAUSE + MAX_FAILED_CAMPAIGN_JITTER * fastrand::f64();
                smol::Timer::after(ttl.mul_f64(pause)).await;
            }
        }
    }
}

/// Returns whether the view is complete and contains no leader.
fn is_vacant(controller: &Controller) -> bool {
    let state = controller.lock();
    let view = &state.shared.view;
    view.is_complete() && view.replica().leader.record().is_none()
}

/// Leads until the leadership ends.
async fn lead_until_lost(controller: &Rc<Controller>, lease: LeadershipLease, ttl: Duration) {
    log::info!(
        "event=leader member={} token={} version={} authority_s={:.2}",
        controller.settings.member,
        lease.token,
        lease.version,
        controller.secs_since_start(lease.valid_until) - controller.now()
    );
    if !catch_up(controller, &lease, ttl).await {
        // Nothing was done under this lease: no heartbeat was answered and no owner was granted
        // authority.
        let _ = controller.store.revoke(lease.lease_id).await;
        return;
    }
    begin_leadership(controller, &lease);
    let executor = &controller.executor;
    let tasks = [
        executor.spawn(run_clock(controller.clone())),
        executor.spawn(keep_view_fresh(controller.clone())),
        executor.spawn(provisioning::process_requests(controller.clone())),
        executor.spawn(provisioning::poll_cloud(controller.clone())),
    ];
    let reason = smol::future::or(
        renew_until_lost(controller, lease.lease_id, ttl),
        writer::run(controller.clone()),
    )
    .await;
    drop(tasks);
    end_leadership(controller, lease.lease_id, reason).await;
}

/// Waits until the view is fresh and contains everything that was accepted and recorded before this
/// leadership, so that nothing is started based on an outdated view. Returns `false` if the lease
/// expires first.
async fn catch_up(controller: &Rc<Controller>, lease: &LeadershipLease, ttl: Duration) -> bool {
    while is_behind(controller, lease, ttl) {
        if Instant::now() > lease.valid_until {
            return false;
        }
        if !freshness::read_once(controller).await {
            smol::Timer::after(ttl / POLLS_PER_LEASE).await;
        }
    }
    true
}

fn is_behind(controller: &Controller, lease: &LeadershipLease, ttl: Duration) -> bool {
    let (state, now) = (controller.lock(), controller.now());
    let view = &state.shared.view;
    view.replica().revision < lease.version || now - view.read_at() > ttl.as_secs_f64() / 2.0
}

/// Ends the leadership, for whatever reason. Nothing else may revoke a lease under which this
/// controller has led: the next leader relies on it that every right which the lease gave, to this
/// controller and to the owners, has ended when the lease does.
async fn end_leadership(controller: &Rc<Controller>, lease_id: u64, reason: LeadershipEnd) {
    let granted_until = give_up_authority(controller);
    log::info!(
        "event=leader_ended member={} reason={reason:?} granted_s={:.2}",
        controller.settings.member,
        (granted_until - controller.now()).max(0.0)
    );
    if reason == LeadershipEnd::Unresolved {
        // The lease still exists. The owners' authority has to run out before another controller
        // can be elected.
        let remaining_s = (granted_until - controller.now()).max(0.0);
        smol::Timer::after(Duration::from_secs_f64(remaining_s)).await;
        if controller.store.revoke(lease_id).await.is_err() {
            // The lease expires by itself. The watch will report that the leader's key is gone.
            return;
        }
    }
    let mut state = controller.lock();
    let member = &controller.settings.member;
    state.shared.view.forget_leader(member);
}

/// Ends this controller's own authority and its links to the owners, in one step. Returns when the
/// last authority that it has granted to an owner ends.
fn give_up_authority(controller: &Controller) -> Secs {
    let mut state = controller.lock();
    state.owner.authority.set_until(f64::MIN);
    let Some(leadership) = state.shared.leadership.take() else {
        return f64::MIN;
    };
    for link in leadership.links.values() {
        link.outbox.close();
    }
    leadership.leader.granted_until()
}

/// Advances the leader's clock at regular intervals.
async fn run_clock(controller: Rc<Controller>) {
    let interval_s = controller.config.heartbeat_s / TICKS_PER_HEARTBEAT;
    let interval =
        Duration::from_secs_f64(interval_s.clamp(MIN_TICK_INTERVAL_S, MAX_TICK_INTERVAL_S));
    let mut logged_summary = sched::leader::Summary::default();
    loop {
        smol::Timer::after(interval).await;
        let now = controller.now();
        let mut guard = controller.lock();
        let state = &mut *guard;
        let Some(leadership) = &mut state.shared.leadership else {
            return;
        };
        if !state.owner.has_authority(now) {
            // No decisions are made without authority. Renewing the lease and then reading the
            // store may restore it.
            continue;
        }
        let leader = &mut leadership.leader;
        leader.tick(now, controller.settings.peers.len());
        if log::log_enabled!(log::Level::Debug) {
            let summary = leader.summary();
            if summary != logged_summary {
                log::debug!("event=cluster_summary {summary}");
                logged_summary = summary;
            }
        }
        controller.exchange_messages(state);
    }
}
