//! The long-polling watch of the store's changes, and the reload of all keys when a watch can no
//! longer provide them.

use super::reads::{begin_read, mark_view_too_old, read_changes, request_interval};
use crate::cluster_view::{ChangesRead, ViewReload};
use crate::controller::Controller;
use std::rc::Rc;
use std::time::Duration;
use store::budget::RequestPriority;
use store::client::StoreError;
use store::keys;
use store::reload::LoadState;

/// Maximum fraction of the store's request rate for the watches of all controllers together. It is
/// needed because a watch request returns at the first change, and under load there always is one.
const WATCH_SHARE: f64 = 0.2;

/// Time for which a watch waits for a change, in seconds.
const WATCH_WAIT_S: f64 = wire::HEARTBEAT_RESPONSE_TIMEOUT_S;

/// Loads the view and keeps it current as long as the process runs.
pub async fn watch_store(controller: Rc<Controller>) {
    let retry_pause = Duration::from_secs_f64(controller.config.heartbeat_s.min(1.0) / 5.0);
    let mut reload = None;
    loop {
        if let Some(read) = begin_read(&controller) {
            watch(&controller, read, retry_pause).await;
        } else if let Err(e) = continue_reload(&controller, &mut reload).await {
            log_load_failure(&controller, reload.as_ref(), &e);
            controller.record_store_health(false);
            smol::Timer::after(retry_pause).await;
        }
    }
}

/// Makes one watch request, then pauses so that the next one returns several changes at once.
async fn watch(controller: &Rc<Controller>, read: ChangesRead, retry_pause: Duration) {
    let interval = request_interval(controller, WATCH_SHARE);
    let wait = Duration::from_secs_f64(WATCH_WAIT_S);
    match read_changes(controller, read, wait).await {
        Ok(changes) => {
            controller.apply_changes(&changes, read);
            controller.record_store_health(true);
            smol::Timer::after(interval).await;
            // While freshness reads are frequent, they already return the changes that a watch
            // would. Watching therefore pauses and leaves its requests to submissions.
            while controller.freshness_reads.answered_within(interval) {
                smol::Timer::after(interval / 2).await;
            }
        }
        // If the response is too large, that of the next attempt would be even larger: all keys are
        // reloaded instead, in pages.
        Err(e @ (StoreError::RevisionTooOld | StoreError::ResponseTooLarge(_))) => {
            mark_view_too_old(controller, read, &e)
        }
        Err(e) => {
            log::debug!("event=follow_failed since={} error=\"{e}\"", read.since);
            controller.record_store_health(false);
            smol::Timer::after(retry_pause).await;
        }
    }
}

/// Reads all keys, resuming an unfinished reload if there is one, and applies them to the view.
async fn continue_reload(
    controller: &Rc<Controller>,
    in_progress: &mut Option<ViewReload>,
) -> Result<(), StoreError> {
    let mut reload = match in_progress.take() {
        Some(reload) => reload,
        None => begin_reload(controller),
    };
    loop {
        let page = controller
            .store
            .range(
                keys::ALL_PREFIX,
                reload.last_key(),
                RequestPriority::Decision,
            )
            .await;
        match page {
            Ok(page) if reload.add_page(&page) == LoadState::Complete => break,
            Ok(_) => {}
            Err(e) => {
                *in_progress = Some(reload);
                return Err(e);
            }
        }
    }
    controller.finish_reload(reload);
    controller.record_store_health(true);
    Ok(())
}

fn begin_reload(controller: &Controller) -> ViewReload {
    let mut state = controller.lock();
    state.shared.view.begin_reload(controller.now())
}

/// Logs a failed reload: the first failure at level info, repeated ones at level debug, since the
/// reload is retried until it succeeds. A failure counts as repeated if the store was already
/// recorded as failing, even if by another request.
fn log_load_failure(controller: &Controller, reload: Option<&ViewReload>, error: &StoreError) {
    let is_first = controller.lock().shared.store_failing_since.is_none();
    let level = if is_first {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    let pages = reload.map_or(0, ViewReload::pages);
    log::log!(level, "event=load_failed pages={pages} error=\"{error}\"");
}
