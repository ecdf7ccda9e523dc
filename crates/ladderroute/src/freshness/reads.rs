//! Freshness reads: reads of the store's changes that return immediately. Each serves all users'
//! requests that are waiting for one when it is sent.

use crate::cluster_view::ChangesRead;
use crate::controller::Controller;
use std::rc::Rc;
use std::time::Duration;
use store::budget::RequestPriority;
use store::client::StoreError;
use store::keys;
use wire::store::Changes;

/// Maximum fraction of the store's request rate for the freshness reads of all controllers
/// together.
const READS_SHARE: f64 = 0.35;

/// Brings the view up to the current state of the store, and returns whether that succeeded. One
/// freshness read serves all callers that were waiting when it was sent.
pub async fn refresh_view(controller: &Rc<Controller>) -> bool {
    let (result, starts_serving) = controller.freshness_reads.enqueue();
    if starts_serving {
        let controller = controller.clone();
        controller
            .executor
            .clone()
            .spawn(serve_waiting(controller))
            .detach();
    }
    result.recv().await.unwrap_or(false)
}

/// Makes freshness reads, limited to their share of the request rate, until no caller waits.
async fn serve_waiting(controller: Rc<Controller>) {
    let interval = request_interval(&controller, READS_SHARE);
    while let Some(waiting) = controller.freshness_reads.take_waiting() {
        let is_fresh = read_once(&controller).await;
        for request in waiting {
            let _ = request.try_send(is_fresh);
        }
        smol::Timer::after(interval).await;
    }
}

/// Returns the interval between two requests of a controller. If every controller keeps it, all of
/// them together use `share` of the store's request rate.
pub fn request_interval(controller: &Controller, share: f64) -> Duration {
    let controllers = controller.settings.peers.len() + 1;
    Duration::from_secs_f64(controllers as f64 / (controller.limits.rps * share))
}

/// Makes one freshness read, and returns whether the view is up to date afterwards.
pub async fn read_once(controller: &Rc<Controller>) -> bool {
    let Some(read) = begin_read(controller) else {
        return false;
    };
    match read_changes(controller, read, Duration::ZERO).await {
        Ok(changes) => {
            let is_applied = controller.apply_changes(&changes, read);
            controller.record_store_health(true);
            controller.freshness_reads.record_answered();
            is_applied
        }
        Err(StoreError::RevisionTooOld) => {
            mark_view_too_old(controller, read, &StoreError::RevisionTooOld);
            false
        }
        Err(e) => {
            log::debug!("event=read_failed since={} error=\"{e}\"", read.since);
            // A read rejected by this controller's own rate budget says nothing about the store.
            if !matches!(e, StoreError::BudgetExhausted(_)) {
                controller.record_store_health(false);
            }
            false
        }
    }
}

/// Returns the read that brings the view up to date, with the current time as its sending time, or
/// `None` if all keys have to be reloaded.
pub fn begin_read(controller: &Controller) -> Option<ChangesRead> {
    let state = controller.lock();
    state.shared.view.begin_read(controller.now())
}

/// Requests the changes since the revision of `read` from the store, which waits up to `wait` for
/// the first one.
pub async fn read_changes(
    controller: &Controller,
    read: ChangesRead,
    wait: Duration,
) -> Result<Changes, StoreError> {
    let store = &controller.store;
    store
        .read_changes(
            keys::ALL_PREFIX,
            read.since,
            wait,
            RequestPriority::Decision,
        )
        .await
}

/// Records that a read of changes can no longer bring the view up to date: all keys have to be
/// reloaded.
pub fn mark_view_too_old(controller: &Controller, read: ChangesRead, error: &StoreError) {
    log::info!("event=view_too_old since={} error=\"{error}\"", read.since);
    controller.lock().shared.view.on_revision_too_old(read);
}
