//! Maintenance of a leadership: renewals of the store lease, and reads that keep the view fresh
//! enough to use the authority that the lease gives.

use crate::controller::Controller;
use crate::freshness;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::{authority_duration, LeadershipEnd};

/// Number of renewals in the duration of the store lease, as long as they succeed.
const RENEWALS_PER_LEASE: u32 = 5;

/// Number of renewals in the duration of the store lease after one has failed.
const RETRIES_PER_LEASE: u32 = 20;

/// Number of freshness reads of the leader in the time for which a view is fresh enough for starts,
/// if nothing else keeps the view fresh. Owners learn of a read later than the leader.
const READS_PER_START_STALENESS: f64 = 4.0;

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Renewal {
    /// Authority continues.
    Kept,
    /// The lease was renewed, but authority requires a newer view.
    NeedsRead,
    /// The renewal failed; the lease may still exist.
    Failed,
    /// The lease no longer exists.
    Lost,
}

/// Renews the lease, and returns when it is certainly lost.
pub async fn renew_until_lost(
    controller: &Rc<Controller>,
    lease_id: u64,
    ttl: Duration,
) -> LeadershipEnd {
    let mut is_paused = false;
    loop {
        let sent_at = Instant::now();
        let response = controller.store.renew(lease_id).await;
        let until = sent_at + authority_duration(ttl);
        match apply_renewal(controller, response, until, &mut is_paused) {
            Renewal::Lost => return LeadershipEnd::LeaseExpired,
            Renewal::Failed => {
                smol::Timer::after(ttl / RETRIES_PER_LEASE).await;
                continue;
            }
            // Authority that had expired is valid again only with a read sent after the renewal.
            Renewal::NeedsRead => {
                freshness::read_once(controller).await;
            }
            Renewal::Kept => {}
        }
        smol::Timer::after(ttl / RENEWALS_PER_LEASE).await;
    }
}

/// Applies the store's response to a renewal. `until` is when the leader's authority expires if the
/// renewal has succeeded.
fn apply_renewal(
    controller: &Controller,
    response: Result<(), StoreError>,
    until: Instant,
    is_paused: &mut bool,
) -> Renewal {
    let mut state = controller.lock();
    match response {
        Ok(()) => {
            let authority = &mut state.owner.authority;
            authority.renew(controller.secs_since_start(until), controller.now());
            *is_paused = false;
            if state.owner.has_authority(controller.now()) {
                Renewal::Kept
            } else {
                Renewal::NeedsRead
            }
        }
        Err(StoreError::LeaseNotFound) => Renewal::Lost,
        Err(e) => {
            if !state.owner.has_authority(controller.now()) && !*is_paused {
                *is_paused = true;
                log::info!("event=authority_paused error=\"{e}\"");
            }
            Renewal::Failed
        }
    }
}

/// Keeps the view fresh, since its age limits for how long authority may be used. Under load, the
/// freshness reads for users' requests and the watch already do so.
pub async fn keep_view_fresh(controller: Rc<Controller>) {
    let max_staleness = Duration::from_secs_f64(controller.config.max_start_staleness_s());
    let interval = max_staleness.div_f64(READS_PER_START_STALENESS);
    loop {
        let age_s = controller.view_age();
        if age_s >= interval.as_secs_f64() {
            let sent_at = Instant::now();
            freshness::read_once(&controller).await;
            smol::Timer::after((interval / 2).saturating_sub(sent_at.elapsed())).await;
        } else {
            smol::Timer::after(interval - Duration::from_secs_f64(age_s.max(0.0))).await;
        }
    }
}
