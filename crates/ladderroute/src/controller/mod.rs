//! One controller: the settings it runs with, its clients and the state its services share.

mod freshness_reads;
pub mod limits;
mod message_exchange;
mod replica_jobs;
mod shared_state;
pub mod view_updates;

pub use freshness_reads::FreshnessReads;
pub use replica_jobs::ReplicaJobs;
pub use shared_state::{ConnectionId, Leadership, Link, Shared, State};

use crate::counters::Counters;
use crate::outbox::Outbox;
use crate::settings::{Settings, StateLimits};
use sched::config::SchedulerConfig;
use smol::channel::Sender;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::client::Store;

/// Part of the memory that messages waiting for one slow connection between controllers may take;
/// more ends it.
const OUTBOX_SHARE: f64 = 1.0 / 32.0;

/// One controller.
pub struct Controller {
    pub settings: Settings,
    pub config: SchedulerConfig,
    /// The limits of the state service that this process keeps to.
    pub limits: StateLimits,
    pub store: Store,
    pub cloud: http::client::Client,
    pub executor: Rc<smol::LocalExecutor<'static>>,
    pub started_at: Instant,
    pub state: Mutex<State>,
    pub freshness_reads: FreshnessReads,
    pub counters: Counters,
    pub writer_wake: (Sender<()>, smol::channel::Receiver<()>),
    pub provisioning_wake: (Sender<()>, smol::channel::Receiver<()>),
    pub seed: Cell<u64>,
}

impl Controller {
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// An instant on the scale of `now`.
    pub fn at(&self, t: Instant) -> f64 {
        t.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// For how long the view has not been proved to hold all that the store holds, in seconds.
    pub fn view_age(&self) -> f64 {
        self.now() - self.lock().shared.view.read_at()
    }

    /// A queue for a connection to another controller.
    pub fn outbox(&self) -> Outbox {
        Outbox::new(
            (self.settings.settings.quota.memory_mb * 1024.0 * 1024.0 * OUTBOX_SHARE) as usize,
        )
    }

    /// The shared state; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A seed for the next leader's random choices; no two leaders of this process have the same.
    pub fn next_seed(&self) -> u64 {
        self.seed.replace(self.seed.get().wrapping_add(1))
    }

    /// The time of the leader's store lease.
    pub fn leader_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.config.leader_lease_s)
    }

    /// Notes whether the store answers, for `/ready`.
    pub fn note_store_health(&self, ok: bool) {
        let mut s = self.lock();
        match (ok, s.shared.store_failing_since) {
            (true, _) => s.shared.store_failing_since = None,
            (false, None) => s.shared.store_failing_since = Some(Instant::now()),
            _ => {}
        }
    }
}
