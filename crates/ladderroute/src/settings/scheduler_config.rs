//! The scheduler's configuration, derived from the platform's settings and the operators' own.

use super::operator::Tuning;
use super::platform::{Objective, Params, Settings, TeamSettings};
use sched::config::{SchedulerConfig, Team};
use std::collections::BTreeMap;

/// Kind of the objective for jobs within their team's guarantee.
const GUARANTEE: &str = "guarantee";
/// Kind of an objective for the start of a class of jobs.
const WAIT: &str = "wait";
/// Default time within which a guarantee has to be met, in heartbeat intervals.
const DEFAULT_GUARANTEE_HEARTBEATS: f64 = 10.0;
/// Minimum duration of the leader's store lease, in seconds.
const MIN_LEADER_LEASE_S: f64 = 0.5;
/// Maximum duration of the leader's store lease, as a fraction of the time after which a worker
/// drops a response.
const MAX_LEADER_LEASE_SHARE: f64 = 0.5;

impl Settings {
    /// Returns the configuration of the scheduler.
    pub fn scheduler_config(&self, tuning: &Tuning) -> SchedulerConfig {
        let params = &self.params;
        let workers = &params.workers;
        SchedulerConfig {
            teams: teams(&params.teams),
            heartbeat_s: workers.heartbeat_s,
            lease_s: workers.lease_s,
            cancel_s: workers.cancel_s,
            list_lag_s: params.cloud.list_lag_s,
            reservation_s: tuning.reservation_s,
            leader_lease_s: leader_lease_s(workers.lease_s, tuning),
            guarantee_s: guarantee_s(params),
            wait_s: wait_s(&params.objectives),
            max_wait_share: tuning.max_wait_share,
            idle_retention_boots: tuning.idle_retention_boots,
        }
    }
}

fn teams(settings: &[TeamSettings]) -> BTreeMap<String, Team> {
    settings
        .iter()
        .map(|settings| (settings.name.clone(), team(settings)))
        .collect()
}

fn team(settings: &TeamSettings) -> Team {
    Team {
        cpus: settings.cpus,
        cpus_max: settings.cpu_limit(),
        gpus: settings.gpus,
        gpus_max: settings.gpu_limit(),
    }
}

fn leader_lease_s(worker_lease_s: f64, tuning: &Tuning) -> f64 {
    let max_s = wire::HEARTBEAT_RESPONSE_TIMEOUT_S * MAX_LEADER_LEASE_SHARE;
    (worker_lease_s * tuning.leader_lease_share).clamp(MIN_LEADER_LEASE_S, max_s)
}

fn guarantee_s(params: &Params) -> f64 {
    params
        .objectives
        .iter()
        .filter(|objective| objective.kind == GUARANTEE)
        .find_map(|objective| objective.within_s)
        .unwrap_or(params.workers.heartbeat_s * DEFAULT_GUARANTEE_HEARTBEATS)
}

/// Returns the time within which jobs have to start, in seconds, by class. If a class has several
/// objectives, the shortest time applies.
fn wait_s(objectives: &[Objective]) -> BTreeMap<String, f64> {
    let mut by_class: BTreeMap<String, f64> = BTreeMap::new();
    for objective in objectives.iter().filter(|objective| objective.kind == WAIT) {
        let (Some(class), Some(within_s)) = (&objective.class, objective.within_s) else {
            continue;
        };
        by_class
            .entry(class.clone())
            .and_modify(|shortest| *shortest = shortest.min(within_s))
            .or_insert(within_s);
    }
    by_class
}
