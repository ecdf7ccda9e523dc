//! The platform's settings file (TOML). Fields that are not known are skipped; a field that is
//! missing or wrong is refused by name.

use sched::config::{SchedulerConfig, Team};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    #[error("{file}: {cause}")]
    Read { file: String, cause: std::io::Error },
    #[error("{file}: {cause}")]
    Parse { file: String, cause: String },
    #[error("{field}: {cause}")]
    Field { field: String, cause: String },
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub member: String,
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    pub name: String,
    /// Guarantees; 0 means none.
    pub cpus: f64,
    #[serde(default)]
    pub gpus: f64,
    /// Limits. 0 CPUs means that the team has no limit, of either kind.
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamSettings {
    fn team(&self) -> Team {
        let limited = self.cpus_max > 0.0;
        let limit = |most: f64| if limited { most } else { f64::INFINITY };
        Team {
            cpus: self.cpus,
            cpus_max: limit(self.cpus_max),
            gpus: self.gpus,
            gpus_max: limit(self.gpus_max),
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    pub kind: String,
    #[serde(default)]
    pub class: Option<String>,
    #[serde(default)]
    pub within_s: Option<f64>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that the service will have from some later moment on, which it does not announce. Each
    /// may be missing.
    #[serde(default)]
    pub next: BTreeMap<String, toml::Value>,
}

/// The limits of the state service that this process keeps to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StateLimits {
    /// Requests a second, of all controllers.
    pub rps: f64,
    /// Puts and deletes a second, of all controllers.
    pub write_rps: f64,
    /// Most KiB of a value.
    pub value_kb: f64,
    /// Most puts and deletes of a transaction.
    pub txn_ops: usize,
}

impl StateLimits {
    /// Most bytes of a value.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

impl State {
    /// The smaller of the present limits and those to come: from the first write on everything fits both.
    pub fn limits(&self) -> StateLimits {
        let least = |name: &str, present: f64| {
            let next = self.next.get(name).and_then(number);
            next.map_or(present, |next| next.min(present))
        };
        StateLimits {
            rps: least("rps", self.rps),
            write_rps: least("write_rps", self.write_rps),
            value_kb: least("value_kb", self.value_kb),
            txn_ops: least("txn_ops", self.txn_ops as f64).max(1.0) as usize,
        }
    }
}

/// The limits that `next` may hold.
const NEXT_LIMITS: [&str; 4] = ["rps", "write_rps", "value_kb", "txn_ops"];

/// A number of the settings, written as a decimal or an integer.
fn number(value: &toml::Value) -> Option<f64> {
    value
        .as_float()
        .or_else(|| value.as_integer().map(|n| n as f64))
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    pub memory_mb: f64,
    pub max_sockets: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    pub quota: Quota,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    pub member: String,
    pub api_addr: SocketAddr,
    /// Where the other controllers reach this one.
    pub back: SocketAddr,
    #[serde(default)]
    pub known: Vec<Peer>,
    pub services: Services,
    pub settings: Params,
}

impl Settings {
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Read {
            file: file.into(),
            cause,
        })?;
        Settings::parse(&text, file)
    }

    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let s: Settings = toml::from_str(text).map_err(|e| SettingsError::Parse {
            file: file.into(),
            cause: e.to_string().trim_end().replace('\n', " "),
        })?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, cause: &str| {
            Err(SettingsError::Field {
                field: field.into(),
                cause: cause.into(),
            })
        };
        if self.member.is_empty() {
            return bad("member", "must not be empty");
        }
        if self.known.iter().any(|p| p.member == self.member) {
            return bad("known.member", "names this controller itself");
        }
        let p = &self.settings;
        for (field, v) in [
            ("settings.workers.report_s", p.workers.report_s),
            ("settings.workers.lease_s", p.workers.lease_s),
            ("settings.workers.gang_wait_s", p.workers.gang_wait_s),
            ("settings.workers.gang_peer_s", p.workers.gang_peer_s),
            ("settings.workers.cancel_s", p.workers.cancel_s),
            ("settings.state.rps", p.state.rps),
            ("settings.state.write_rps", p.state.write_rps),
            ("settings.state.value_kb", p.state.value_kb),
            ("settings.state.txn_ops", p.state.txn_ops as f64),
            ("settings.cloud.rps", p.cloud.rps),
            ("settings.cloud.list_lag_s", p.cloud.list_lag_s),
            ("settings.quota.memory_mb", p.quota.memory_mb),
            ("settings.quota.max_sockets", p.quota.max_sockets as f64),
        ] {
            if !v.is_finite() || v <= 0.0 {
                return bad(field, "must be above 0");
            }
        }
        for name in NEXT_LIMITS {
            let Some(value) = p.state.next.get(name) else {
                continue;
            };
            if !number(value).is_some_and(|v| v.is_finite() && v > 0.0) {
                let field = format!("settings.state.next.{name}");
                return bad(&field, "must be a number above 0");
            }
        }
        if p.workers.lease_s <= p.workers.report_s * 2.0 {
            return bad(
                "settings.workers.lease_s",
                "must be more than twice settings.workers.report_s",
            );
        }
        for t in &p.teams {
            if !(t.cpus_max >= 0.0
                && t.cpus_max.is_finite()
                && t.gpus_max >= 0.0
                && t.gpus_max.is_finite())
            {
                return bad(
                    &format!("settings.teams.cpus_max of {}", t.name),
                    "limits must not be negative",
                );
            }
            let team = t.team();
            for (name, low, high) in [
                ("cpus", team.cpus, team.cpus_max),
                ("gpus", team.gpus, team.gpus_max),
            ] {
                if !(low >= 0.0 && low.is_finite() && high >= low) {
                    return bad(
                        &format!("settings.teams.{name} of {}", t.name),
                        "must lie between 0 and the team's limit",
                    );
                }
            }
        }
        Ok(())
    }

    /// What the decisions need to know.
    pub fn scheduler_config(&self, tuning: &crate::operator::Tuning) -> SchedulerConfig {
        let p = &self.settings;
        let teams: BTreeMap<String, Team> =
            p.teams.iter().map(|t| (t.name.clone(), t.team())).collect();
        let guarantee_s = p
            .objectives
            .iter()
            .filter(|o| o.kind == "guarantee")
            .find_map(|o| o.within_s);
        // Of several objectives for the start of one class the shortest counts.
        let mut wait_s: BTreeMap<String, f64> = BTreeMap::new();
        for (class, s) in p
            .objectives
            .iter()
            .filter(|o| o.kind == "wait")
            .filter_map(|o| Some((o.class.clone()?, o.within_s?)))
        {
            wait_s
                .entry(class)
                .and_modify(|least| *least = least.min(s))
                .or_insert(s);
        }
        SchedulerConfig {
            teams,
            heartbeat_s: p.workers.report_s,
            lease_s: p.workers.lease_s,
            cancel_s: p.workers.cancel_s,
            list_lag_s: p.cloud.list_lag_s,
            reservation_s: tuning.reservation_s,
            // No more than half the time after which a worker drops an answer.
            leader_lease_s: (p.workers.lease_s * tuning.leader_lease_share)
                .clamp(0.5, wire::ANSWER_DROPPED_S * 0.5),
            guarantee_s: guarantee_s.unwrap_or(p.workers.report_s * 10.0),
            wait_s,
            max_wait_share: tuning.max_wait_share,
            idle_retention_boots: tuning.idle_retention_boots,
        }
    }
}
