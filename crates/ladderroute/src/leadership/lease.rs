//! What keeps a leadership alive: renewals of the store lease, and a view fresh enough for authority.

use crate::controller::Controller;
use crate::freshness;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::client::StoreError;
use store::leadership::authority_duration;

/// Renewals in the time of the store lease, while they are answered.
const RENEWALS_PER_LEASE: u32 = 5;

/// Renewals in the time of the store lease, once one was not answered.
const RETRIES_PER_LEASE: u32 = 20;

/// Freshness reads of the leader in its store lease, when nothing else makes them.
const READS_PER_LEASE: u32 = 5;

/// What became of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Renewal {
    /// Authority goes on.
    Kept,
    /// The lease goes on, but answers need a newer view.
    NeedsRead,
    /// There was no response; the lease may go on.
    Failed,
    /// The lease is certainly gone.
    Lost,
}

/// Renews the lease; returns when it is certainly lost.
pub async fn renew_until_lost(controller: &Rc<Controller>, ttl: Duration) {
    let mut is_paused = false;
    loop {
        let lease_id = match &controller.lock().shared.leadership {
            Some(leadership) => leadership.lease.lease_id,
            None => return,
        };
        let sent_at = Instant::now();
        let response = controller.store.renew(lease_id).await;
        let until = sent_at + authority_duration(ttl);
        match apply_renewal(controller, response, until, &mut is_paused) {
            Renewal::Lost => return,
            Renewal::Failed => {
                smol::Timer::after(ttl / RETRIES_PER_LEASE).await;
                continue;
            }
            // It ran out and is back: with a read sent from now on.
            Renewal::NeedsRead => {
                freshness::read_once(controller).await;
            }
            Renewal::Kept => {}
        }
        smol::Timer::after(ttl / RENEWALS_PER_LEASE).await;
    }
}

/// Takes the store's answer to a renewal; `until` is how far an answered one carries authority.
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

/// Keeps the view fresh: authority reaches no further than its age allows. On a busy day users' questions
/// and the watch do it.
pub async fn keep_view_fresh(controller: Rc<Controller>, ttl: Duration) {
    let interval = ttl / READS_PER_LEASE;
    loop {
        let age_s = controller.view_age();
        if age_s >= interval.as_secs_f64() {
            freshness::read_once(&controller).await;
            smol::Timer::after(interval / 2).await;
        } else {
            smol::Timer::after(interval - Duration::from_secs_f64(age_s.max(0.0))).await;
        }
    }
}
