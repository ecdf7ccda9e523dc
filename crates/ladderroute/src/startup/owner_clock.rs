//! Clock of the shard owner, the part of a controller that answers workers, and logging of this
//! controller's authority and health.

use crate::controller::{Controller, State};
use sched::Secs;
use std::rc::Rc;
use std::time::Duration;

/// Ticks of the owner per heartbeat interval, and the bounds of the tick interval in seconds.
const TICKS_PER_HEARTBEAT: f64 = 20.0;
const MIN_TICK_INTERVAL_S: f64 = 0.05;
const MAX_TICK_INTERVAL_S: f64 = 0.1;

/// Advances the owner's clock at regular intervals.
pub async fn run(controller: Rc<Controller>) {
    let interval_s = controller.config.heartbeat_s / TICKS_PER_HEARTBEAT;
    let interval =
        Duration::from_secs_f64(interval_s.clamp(MIN_TICK_INTERVAL_S, MAX_TICK_INTERVAL_S));
    let mut log = StatusLog::default();
    loop {
        smol::Timer::after(interval).await;
        let now = controller.now();
        let mut state = controller.lock();
        state.owner.tick(now);
        log.update(&controller, &state, now);
        controller.exchange_messages(&mut state);
    }
}

/// Logs when authority is gained or lost, and at intervals the counters, if they have changed.
#[derive(Default)]
struct StatusLog {
    has_authority: bool,
    summary: String,
    summarized_at: Secs,
}

impl StatusLog {
    fn update(&mut self, controller: &Controller, state: &State, now: Secs) {
        self.log_authority(state, now);
        let is_due = now - self.summarized_at >= controller.config.lease_s;
        if is_due && log::log_enabled!(log::Level::Info) {
            self.summarized_at = now;
            self.log_health(controller.counters.to_string());
        }
    }

    fn log_authority(&mut self, state: &State, now: Secs) {
        let has_authority = state.owner.has_authority(now);
        if std::mem::replace(&mut self.has_authority, has_authority) == has_authority {
            return;
        }
        let authority = &state.owner.authority;
        log::info!(
            "event=authority held={has_authority} token={} lasts_s={:.2} staleness_s={:.2} view_age_s={:.2}",
            state.owner.token(),
            (authority.until() - now).max(-now),
            now - authority.read_at(),
            now - state.shared.view.read_at()
        );
    }

    fn log_health(&mut self, summary: String) {
        if summary != self.summary {
            log::info!("event=health {summary}");
            self.summary = summary;
        }
    }
}
