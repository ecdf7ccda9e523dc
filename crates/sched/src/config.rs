//! Figures from the settings that decisions depend on.

use std::collections::BTreeMap;

/// A team's guarantee and limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    pub cpus: f64,
    pub cpus_max: f64,
    pub gpus: f64,
    pub gpus_max: f64,
}

/// What the platform's and the operators' settings say to the decisions.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    pub teams: BTreeMap<String, Team>,
    pub heartbeat_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
    pub list_lag_s: f64,
    /// How long reserved capacity waits for the rest of its gang.
    pub reservation_s: f64,
    /// The store lease of the leader.
    pub leader_lease_s: f64,
    /// Part of the time allowed for a guaranteed start after which borrowed capacity is taken back.
    pub guarantee_s: f64,
    /// By class: within what time its gangs should start.
    pub wait_s: BTreeMap<String, f64>,
    /// Part of that time that a gang may wait for a machine in use rather than have one provisioned.
    pub max_wait_share: f64,
    /// How long an idle machine is kept, as a multiple of its boot time (at least the cloud's
    /// minimum charge).
    pub idle_retention_boots: f64,
}

impl SchedulerConfig {
    /// After how long without a word an owner counts as lost.
    pub fn owner_silence_s(&self) -> f64 {
        (self.lease_s * 0.18).min(wire::ANSWER_DROPPED_S * 0.5)
    }

    /// After how long without an answered heartbeat a worker's lease has certainly ended: the
    /// lease, what both clocks may drift, and a margin.
    pub fn lease_expiry_s(&self) -> f64 {
        self.lease_s * 1.002 + 0.2
    }

    /// How old knowledge of the store may be where an answer prolongs a worker's lease: what was
    /// cancelled since then is gone in time. Where the settings leave no such time, what is as
    /// fresh as the leadership has to do (see `cancels_in_time`).
    pub fn answer_staleness_s(&self) -> f64 {
        (self.cancel_s - self.lease_expiry_s()).max(self.start_staleness_s())
    }

    /// For how long a job that is over is remembered: by then its last task is gone.
    pub fn terminal_retention_s(&self) -> f64 {
        self.cancel_s + self.lease_expiry_s()
    }

    /// How old knowledge of the store may be for a start.
    pub fn start_staleness_s(&self) -> f64 {
        self.leader_lease_s
    }

    /// Whether the settings leave time enough between a worker's lease and `cancel_s`.
    pub fn cancels_in_time(&self) -> bool {
        self.cancel_s - self.lease_expiry_s() >= self.start_staleness_s()
    }
}
