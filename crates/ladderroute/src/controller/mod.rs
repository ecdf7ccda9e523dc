//! A controller: its settings, its clients, and the state that its services share.

mod cancellations;
mod freshness_reads;
pub mod limits;
mod message_exchange;
mod replica_jobs;
mod shared_state;
pub mod view_updates;

pub use cancellations::Cancellations;
pub use freshness_reads::FreshnessReads;
pub use replica_jobs::ReplicaJobs;
pub use shared_state::{ConnectionId, Leadership, Link, Shared, State};

use crate::counters::Counters;
use crate::outbox::Outbox;
use crate::settings::{Settings, StoreLimits};
use sched::config::SchedulerConfig;
use sched::Secs;
use smol::channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use store::client::Store;

/// Share of the memory quota that the queued messages of one connection between controllers may
/// take. A connection is closed if it is so slow that its queue exceeds this.
const OUTBOX_MEMORY_SHARE: f64 = 1.0 / 32.0;

/// Bytes in a megabyte as the settings count it.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// A controller. Each service holds a reference to it, and services exchange results through the
/// state behind the lock.
pub struct Controller {
    /// The settings of the controller and its platform.
    pub settings: Settings,
    /// The part of the settings that scheduling decisions depend on.
    pub config: SchedulerConfig,
    /// The limits of the state service that this process complies with.
    pub limits: StoreLimits,
    /// The client of the state service.
    pub store: Store,
    /// The client of the cloud API.
    pub cloud: http::client::Client,
    /// The executor that runs the tasks of all services.
    pub executor: Rc<smol::LocalExecutor<'static>>,
    /// When the process started; the origin of [`Controller::now`].
    pub started_at: Instant,
    /// The shared state; see [`Controller::lock`].
    pub state: Mutex<State>,
    /// The requests that wait for a freshness read.
    pub freshness_reads: FreshnessReads,
    /// Counters for the health log line.
    pub counters: Counters,
    /// Wakes the store writer when a write is pending.
    pub writer_wake: (Sender<()>, Receiver<()>),
    /// Wakes provisioning when a request to the cloud is pending.
    pub provisioning_wake: (Sender<()>, Receiver<()>),
    /// The random seed of the next leader; see [`Controller::next_seed`].
    pub seed: Cell<u64>,
}

impl Controller {
    /// Returns the time since the process started, in seconds.
    pub fn now(&self) -> Secs {
        self.started_at.elapsed().as_secs_f64()
    }

    /// Converts an instant to seconds since the process started; 0 for an earlier instant.
    pub fn secs_since_start(&self, instant: Instant) -> Secs {
        let since_start = instant.saturating_duration_since(self.started_at);
        since_start.as_secs_f64()
    }

    /// Returns the age of the view in seconds: the time since the last instant as of which the view
    /// is known to contain everything in the store.
    pub fn view_age(&self) -> Secs {
        self.now() - self.lock().shared.view.read_at()
    }

    /// Creates the send queue of a connection to another controller.
    pub fn new_outbox(&self) -> Outbox {
        let memory = self.settings.params.quota.memory_mb * BYTES_PER_MB;
        Outbox::new((memory * OUTBOX_MEMORY_SHARE) as usize)
    }

    /// Locks the shared state. The guard must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the seed for the random choices of the next leader, a different one for each leader
    /// of this process.
    pub fn next_seed(&self) -> u64 {
        self.seed.replace(self.seed.get().wrapping_add(1))
    }

    /// Returns the time to live of the leader's lease in the store.
    pub fn leader_lease_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.config.leader_lease_s)
    }

    /// Records whether the store answered a request; `/ready` depends on it.
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
