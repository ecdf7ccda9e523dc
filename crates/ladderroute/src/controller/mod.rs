//! One controller: the settings it runs with, its clients, and the state that its services share.

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
use sched::Secs;
use smol::channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::client::Store;

/// Part of the memory that messages waiting for one slow connection between controllers may take;
/// more ends it.
const OUTBOX_MEMORY_SHARE: f64 = 1.0 / 32.0;

/// Bytes in a megabyte of the settings.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// One controller. Its services are handed this, and find each other's results in the state behind the lock.
pub struct Controller {
    /// The platform's settings.
    pub settings: Settings,
    /// What the decisions need to know of the settings.
    pub config: SchedulerConfig,
    /// The limits of the state service that this process keeps to.
    pub limits: StateLimits,
    /// The client of the state service.
    pub store: Store,
    /// The client of the cloud.
    pub cloud: http::client::Client,
    /// Where the services' tasks run.
    pub executor: Rc<smol::LocalExecutor<'static>>,
    /// The instant from which `now` counts.
    pub started_at: Instant,
    /// The shared state; see [`Controller::lock`].
    pub state: Mutex<State>,
    /// The queries that wait for a freshness read.
    pub freshness_reads: FreshnessReads,
    /// Counters for the running summary.
    pub counters: Counters,
    /// Wakes the store writer: there is something to write.
    pub writer_wake: (Sender<()>, Receiver<()>),
    /// Wakes provisioning: there is a request to the cloud.
    pub provisioning_wake: (Sender<()>, Receiver<()>),
    /// The next leader's seed.
    pub seed: Cell<u64>,
}

impl Controller {
    /// The time since the start, in seconds.
    pub fn now(&self) -> Secs {
        self.started_at.elapsed().as_secs_f64()
    }

    /// An instant on the scale of `now`.
    pub fn secs_since_start(&self, instant: Instant) -> Secs {
        let since_start = instant.saturating_duration_since(self.started_at);
        since_start.as_secs_f64()
    }

    /// For how long the view has not been proved to hold all that the store holds, in seconds.
    pub fn view_age(&self) -> Secs {
        self.now() - self.lock().shared.view.read_at()
    }

    /// A queue for a connection to another controller.
    pub fn new_outbox(&self) -> Outbox {
        let memory = self.settings.params.quota.memory_mb * BYTES_PER_MB;
        Outbox::new((memory * OUTBOX_MEMORY_SHARE) as usize)
    }

    /// The shared state; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A seed for the next leader's random choices; no two leaders of this process have the same.
    pub fn next_seed(&self) -> u64 {
        self.seed.replace(self.seed.get().wrapping_add(1))
    }

    /// The time of the leader's store lease.
    pub fn leader_lease_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.config.leader_lease_s)
    }

    /// Notes whether the store answers, for `/ready`.
    pub fn record_store_health(&self, ok: bool) {
        let mut state = self.lock();
        let failing_since = &mut state.shared.store_failing_since;
        if ok {
            *failing_since = None;
        } else if failing_since.is_none() {
            *failing_since = Some(Instant::now());
        }
    }
}
