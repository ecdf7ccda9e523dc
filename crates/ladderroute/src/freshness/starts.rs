//! An owner's own reads of the store while it has tasks to start. Usually the leader's reads suffice, of
//! which the owner learns over its link; over a slow link it learns of them too late.

use super::reads::read_once;
use crate::controller::Controller;
use std::rc::Rc;
use std::time::Duration;

/// Number of checks in the time for which a view is fresh enough for starts.
const CHECKS_PER_START_STALENESS: f64 = 8.0;

/// Age of the view at which an owner reads the store itself, as a fraction of the maximum age for a
/// start.
const READ_AT_STALENESS: f64 = 0.6;

/// Reads the store whenever this controller, as an owner, has tasks to start and its view will soon be
/// too old for that.
pub async fn keep_fresh_for_starts(controller: Rc<Controller>) {
    let max_staleness = Duration::from_secs_f64(controller.config.max_start_staleness_s());
    let interval = max_staleness.div_f64(CHECKS_PER_START_STALENESS);
    loop {
        smol::Timer::after(interval).await;
        if needs_read(&controller) && !read_once(&controller).await {
            smol::Timer::after(max_staleness).await;
        }
    }
}

fn needs_read(controller: &Controller) -> bool {
    let state = controller.lock();
    let now = controller.now();
    let staleness_s = now - state.owner.authority.read_at();
    let read_at_staleness_s = controller.config.max_start_staleness_s() * READ_AT_STALENESS;
    // The leader's own reads are made by the leadership.
    state.shared.leadership.is_none()
        && staleness_s > read_at_staleness_s
        && state.owner.has_authority(now)
        && state.owner.has_tasks_to_start()
}
