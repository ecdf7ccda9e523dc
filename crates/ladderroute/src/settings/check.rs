//! Validation of the platform's settings file. Only the first invalid value is reported.

use super::error::SettingsError;
use super::platform::{number, Params, Settings, State, TeamSettings, Workers};

/// Limits in `settings.state.next` that this program uses; others are ignored.
const NEXT_LIMITS: [&str; 4] = ["rps", "write_rps", "value_kb", "txn_ops"];

/// Number of heartbeat intervals that a worker's lease has to exceed.
const MIN_LEASE_HEARTBEATS: f64 = 2.0;

/// Checks all values, and returns an error for the first invalid one.
pub(super) fn check(settings: &Settings) -> Result<(), SettingsError> {
    check_members(settings)?;
    let params = &settings.params;
    check_positive(params)?;
    check_next_limits(&params.state)?;
    check_lease(&params.workers)?;
    params.teams.iter().try_for_each(check_team)
}

fn check_members(settings: &Settings) -> Result<(), SettingsError> {
    if settings.member.is_empty() {
        return Err(SettingsError::field("member", "must not be empty"));
    }
    let is_self = settings
        .peers
        .iter()
        .any(|peer| peer.member == settings.member);
    if is_self {
        let problem = "names this controller itself";
        return Err(SettingsError::field("known.member", problem));
    }
    Ok(())
}

/// A setting that has to be finite and above 0.
struct Positive {
    /// Path of the setting in the file.
    field: &'static str,
    /// Returns the value of the setting.
    value: fn(&Params) -> f64,
}

/// Settings that have to be finite and above 0.
const POSITIVE: [Positive; 13] = [
    Positive {
        field: "settings.workers.report_s",
        value: |params| params.workers.heartbeat_s,
    },
    Positive {
        field: "settings.workers.lease_s",
        value: |params| params.workers.lease_s,
    },
    Positive {
        field: "settings.workers.gang_wait_s",
        value: |params| params.workers.gang_wait_s,
    },
    Positive {
        field: "settings.workers.gang_peer_s",
        value: |params| params.workers.gang_peer_s,
    },
    Positive {
        field: "settings.workers.cancel_s",
        value: |params| params.workers.cancel_s,
    },
    Positive {
        field: "settings.state.rps",
        value: |params| params.state.rps,
    },
    Positive {
        field: "settings.state.write_rps",
        value: |params| params.state.write_rps,
    },
    Positive {
        field: "settings.state.value_kb",
        value: |params| params.state.value_kb,
    },
    Positive {
        field: "settings.state.txn_ops",
        value: |params| params.state.txn_ops as f64,
    },
    Positive {
        field: "settings.cloud.rps",
        value: |params| params.cloud.rps,
    },
    Positive {
        field: "settings.cloud.list_lag_s",
        value: |params| params.cloud.list_lag_s,
    },
    Positive {
        field: "settings.quota.memory_mb",
        value: |params| params.quota.memory_mb,
    },
    Positive {
        field: "settings.quota.max_sockets",
        value: |params| params.quota.max_sockets as f64,
    },
];

fn check_positive(params: &Params) -> Result<(), SettingsError> {
    for Positive { field, value } in POSITIVE {
        if !is_positive(value(params)) {
            return Err(SettingsError::field(field, "must be above 0"));
        }
    }
    Ok(())
}

fn is_positive(value: f64) -> bool {
    value.is_finite() && value > 0.0
}

fn check_next_limits(state: &State) -> Result<(), SettingsError> {
    for name in NEXT_LIMITS {
        let Some(value) = state.next.get(name) else {
            continue;
        };
        if !number(value).is_some_and(is_positive) {
            let field = format!("settings.state.next.{name}");
            return Err(SettingsError::field(field, "must be a number above 0"));
        }
    }
    Ok(())
}

/// Checks that a single lost heartbeat does not end a worker's lease.
fn check_lease(workers: &Workers) -> Result<(), SettingsError> {
    if workers.lease_s <= workers.heartbeat_s * MIN_LEASE_HEARTBEATS {
        return Err(SettingsError::field(
            "settings.workers.lease_s",
            "must be more than twice settings.workers.report_s",
        ));
    }
    Ok(())
}

fn check_team(team: &TeamSettings) -> Result<(), SettingsError> {
    let name = &team.name;
    let is_limit = |value: f64| value >= 0.0 && value.is_finite();
    if !(is_limit(team.cpus_max) && is_limit(team.gpus_max)) {
        let field = format!("settings.teams.cpus_max of {name}");
        return Err(SettingsError::field(field, "limits must not be negative"));
    }
    check_guarantee(name, "cpus", team.cpus, team.cpu_limit())?;
    check_guarantee(name, "gpus", team.gpus, team.gpu_limit())
}

fn check_guarantee(
    team: &str,
    resource: &str,
    guarantee: f64,
    limit: f64,
) -> Result<(), SettingsError> {
    let is_allowed = guarantee >= 0.0 && guarantee.is_finite() && limit >= guarantee;
    if !is_allowed {
        let field = format!("settings.teams.{resource} of {team}");
        let requirement = "must lie between 0 and the team's limit";
        return Err(SettingsError::field(field, requirement));
    }
    Ok(())
}
