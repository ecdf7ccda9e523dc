//! Figures from the settings that decisions depend on. All times are in seconds.

use crate::Secs;
use std::collections::BTreeMap;

/// How far a worker's and a controller's clock may drift apart, as a factor on a lease.
const CLOCK_DRIFT: f64 = 1.002;

/// Margin on the end of a worker's lease, in seconds.
const LEASE_MARGIN_S: Secs = 0.2;

/// Part of a worker's lease for which an owner may be silent before it counts as lost.
const OWNER_TIMEOUT_PER_LEASE: f64 = 0.18;

/// The same as a part of the time after which workers drop an answer.
const OWNER_TIMEOUT_PER_RESPONSE_LIMIT: f64 = 0.5;

/// A team's guarantee and limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// CPUs that the team is guaranteed.
    pub cpus: f64,
    /// The most CPUs that it may use, borrowed ones included.
    pub cpus_max: f64,
    /// GPUs that the team is guaranteed.
    pub gpus: f64,
    /// The most GPUs that it may use, borrowed ones included.
    pub gpus_max: f64,
}

/// The settings of the platform and of its operators that decisions depend on.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The teams by name.
    pub teams: BTreeMap<String, Team>,
    /// Interval between a worker's heartbeats.
    pub heartbeat_s: Secs,
    /// How long a worker runs its tasks without an answer to a heartbeat.
    pub lease_s: Secs,
    /// Within what time of a confirmed cancellation the job's last task is gone.
    pub cancel_s: Secs,
    /// How far the cloud's list of machines may be behind.
    pub list_lag_s: Secs,
    /// How long reserved resources wait for the rest of their gang.
    pub reservation_s: Secs,
    /// The leader's lease in the store.
    pub leader_lease_s: Secs,
    /// Part of the time allowed for a guaranteed start after which borrowed resources are taken back.
    pub guarantee_s: Secs,
    /// By class: within what time its gangs should start.
    pub wait_s: BTreeMap<String, Secs>,
    /// Part of that time that a gang may wait for a machine in use rather than have one provisioned.
    pub max_wait_share: f64,
    /// How long an idle machine is kept, as a multiple of its boot time (at least the cloud's
    /// minimum charge).
    pub idle_retention_boots: f64,
}

impl SchedulerConfig {
    /// After how long without a word an owner counts as lost.
    pub fn owner_timeout_s(&self) -> Secs {
        (self.lease_s * OWNER_TIMEOUT_PER_LEASE)
            .min(wire::ANSWER_DROPPED_S * OWNER_TIMEOUT_PER_RESPONSE_LIMIT)
    }

    /// After how long without an answered heartbeat a worker's lease has certainly ended: the
    /// lease, what both clocks may drift, and a margin.
    pub fn lease_expiry_s(&self) -> Secs {
        self.lease_s * CLOCK_DRIFT + LEASE_MARGIN_S
    }

    /// How old knowledge of the store may be where an answer prolongs a worker's lease: what was
    /// cancelled since then is gone in time. Where the settings leave no such time, what is as
    /// fresh as the leadership has to do (see `cancels_in_time`).
    pub fn max_response_staleness_s(&self) -> Secs {
        (self.cancel_s - self.lease_expiry_s()).max(self.max_start_staleness_s())
    }

    /// For how long a job that is over is remembered: by then its last task is gone.
    pub fn terminal_retention_s(&self) -> Secs {
        self.cancel_s + self.lease_expiry_s()
    }

    /// How old knowledge of the store may be for a start.
    pub fn max_start_staleness_s(&self) -> Secs {
        self.leader_lease_s
    }

    /// Whether the settings leave time enough between a worker's lease and `cancel_s`.
    pub fn cancels_in_time(&self) -> bool {
        self.cancel_s - self.lease_expiry_s() >= self.max_start_staleness_s()
    }
}
