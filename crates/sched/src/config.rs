//! The settings that scheduling decisions depend on. All durations are in seconds.

use crate::Secs;
use std::collections::BTreeMap;

/// Factor on the length of a lease that allows for drift between a worker's and a controller's
/// clock.
const CLOCK_DRIFT: f64 = 1.002;

/// Safety margin after the end of a worker's lease, in seconds.
const LEASE_MARGIN_S: Secs = 0.2;

/// Time after which a silent owner counts as lost, as a fraction of a worker's lease.
const OWNER_TIMEOUT_PER_LEASE: f64 = 0.18;

/// Time after which a silent owner counts as lost, as a fraction of the time after which workers
/// discard a response ([`wire::HEARTBEAT_RESPONSE_TIMEOUT_S`]). The shorter of this time and the
/// one given by `OWNER_TIMEOUT_PER_LEASE` applies.
const OWNER_TIMEOUT_PER_RESPONSE_LIMIT: f64 = 0.5;

/// Maximum age of the view of the store for a start, as a fraction of the leader's lease. A user who
/// cancels a job waits for this time if a controller that may start its tasks can't be reached.
const START_STALENESS_PER_LEASE: f64 = 0.4;

/// The guaranteed resources and the limits of a team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Guaranteed CPUs.
    pub cpus: f64,
    /// Maximum CPUs that the team may use, borrowed ones included.
    pub cpus_max: f64,
    /// Guaranteed GPUs.
    pub gpus: f64,
    /// Maximum GPUs that the team may use, borrowed ones included.
    pub gpus_max: f64,
}

/// The settings of the platform and of its operators that scheduling decisions depend on.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Interval between a worker's heartbeats.
    pub heartbeat_s: Secs,
    /// Lease of a worker: how long it runs its tasks without a response to a heartbeat.
    pub lease_s: Secs,
    /// Time after a confirmed cancellation within which the job's last task has to be gone.
    pub cancel_s: Secs,
    /// Maximum staleness of the cloud's list of machines.
    pub list_lag_s: Secs,
    /// How long resources stay reserved for a part of a gang while resources for the rest are being
    /// reserved.
    pub reservation_s: Secs,
    /// Length of the leader's lease in the store.
    pub leader_lease_s: Secs,
    /// Time within which a job within its team's guarantee should start. It determines when
    /// borrowed resources are preempted for such a job: after a part of this time, or at once for
    /// gangs of several tasks.
    pub guarantee_s: Secs,
    /// Time within which a gang should start, by class.
    pub wait_s: BTreeMap<String, Secs>,
    /// Fraction of the time in `wait_s` for which a gang may wait for machines in use before new
    /// ones are provisioned.
    pub max_wait_share: f64,
    /// How long an idle machine is kept, as a multiple of its boot time. The autoscaler adjusts
    /// this time for price and demand. For types that the cloud does not list, the cloud's minimum
    /// charge time (`MIN_CHARGE_S`) stands in for the boot time.
    pub idle_retention_boots: f64,
}

impl SchedulerConfig {
    /// Returns the time without a message after which an owner counts as lost.
    pub fn owner_timeout_s(&self) -> Secs {
        (self.lease_s * OWNER_TIMEOUT_PER_LEASE)
            .min(wire::HEARTBEAT_RESPONSE_TIMEOUT_S * OWNER_TIMEOUT_PER_RESPONSE_LIMIT)
    }

    /// Returns the time after the last response by which a worker's lease has certainly expired:
    /// the lease, the maximum clock drift and a safety margin.
    pub fn lease_expiry_s(&self) -> Secs {
        self.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
    }

    /// Returns the maximum age of the view of the store for a response that renews a worker's
    /// lease. Up to this age, tasks of jobs that were cancelled after the view was read are gone
    /// within `cancel_s`. If the settings leave less time than the leader's lease, returns the
    /// leader's lease instead (see `cancels_in_time`).
    pub fn max_response_staleness_s(&self) -> Secs {
        (self.cancel_s - self.lease_expiry_s()).max(self.leader_lease_s)
    }

    /// Returns the longest time for which a leader, or an owner by its grant, may use the authority
    /// that one renewal of the leader's lease gives.
    pub fn max_leader_authority_s(&self) -> Secs {
        self.leader_lease_s
    }

    /// Returns how long a terminal job is remembered; by then its last task is certainly gone.
    pub fn terminal_retention_s(&self) -> Secs {
        self.cancel_s + self.lease_expiry_s()
    }

    /// Returns the maximum age of the view of the store for a start.
    pub fn max_start_staleness_s(&self) -> Secs {
        self.leader_lease_s * START_STALENESS_PER_LEASE
    }

    /// Returns the time after which no controller acts any more on a view of the store that lacks what
    /// was recorded before that time: the maximum age of the view for a start, and the clock drift.
    pub fn start_expiry_s(&self) -> Secs {
        self.max_start_staleness_s() * CLOCK_DRIFT
    }

    /// Returns whether `cancel_s` exceeds a worker's lease by enough for cancelled tasks to be gone
    /// in time even while the store is unavailable.
    pub fn cancels_in_time(&self) -> bool {
        self.cancel_s - self.lease_expiry_s() >= self.leader_lease_s
    }
}
