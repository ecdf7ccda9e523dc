//! The platform's settings file (TOML). Fields that are not known are skipped; a field that is
//! missing or wrong is refused by name.

use sched::setup::{Setup, Team};
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
    pub cpus: f64,
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
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
        let text = std::fs::read_to_string(file).map_err(|cause| SettingsError::Read { file: file.into(), cause })?;
        Settings::parse(&text, file)
    }

    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let s: Settings = toml::from_str(text)
            .map_err(|e| SettingsError::Parse { file: file.into(), cause: e.to_string().trim_end().replace('\n', " ") })?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bad = |field: &str, cause: &str| Err(SettingsError::Field { field: field.into(), cause: cause.into() });
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
        if p.workers.lease_s <= p.workers.report_s * 2.0 {
            return bad("settings.workers.lease_s", "must be more than twice settings.workers.report_s");
        }
        for t in &p.teams {
            for (name, low, high) in [("cpus", t.cpus, t.cpus_max), ("gpus", t.gpus, t.gpus_max)] {
                if !(low >= 0.0 && high >= low && high.is_finite()) {
                    return bad(&format!("settings.teams.{name} of {}", t.name), "must lie between 0 and the team's limit");
                }
            }
        }
        Ok(())
    }

    /// What the decisions need to know.
    pub fn setup(&self, tuning: &crate::operator::Tuning) -> Setup {
        let p = &self.settings;
        let teams: BTreeMap<String, Team> = p
            .teams
            .iter()
            .map(|t| (t.name.clone(), Team { cpus: t.cpus, cpus_max: t.cpus_max, gpus: t.gpus, gpus_max: t.gpus_max }))
            .collect();
        let guarantee_s = p.objectives.iter().filter(|o| o.kind == "guarantee").find_map(|o| o.within_s);
        // Of several objectives for the start of one class the shortest counts.
        let mut wait_s: BTreeMap<String, f64> = BTreeMap::new();
        for (class, s) in p.objectives.iter().filter(|o| o.kind == "wait").filter_map(|o| Some((o.class.clone()?, o.within_s?))) {
            wait_s.entry(class).and_modify(|least| *least = least.min(s)).or_insert(s);
        }
        Setup {
            teams,
            report_s: p.workers.report_s,
            lease_s: p.workers.lease_s,
            cancel_s: p.workers.cancel_s,
            list_lag_s: p.cloud.list_lag_s,
            hold_s: tuning.hold_s,
            // No more than half the time after which a worker drops an answer.
            leader_lease_s: (p.workers.lease_s * tuning.leader_lease_share).clamp(0.5, wire::ANSWER_DROPPED_S * 0.5),
            guarantee_s: guarantee_s.unwrap_or(p.workers.report_s * 10.0),
            wait_s,
            patience: tuning.patience,
            keep_boots: tuning.keep_boots,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
member = "rung-0"
domain = "a"
api_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
shoe_size = 43

[[known]]
member = "rung-1"
domain = "a"
endpoint = "127.0.0.2:8081"

[services]
cloud = "127.0.0.9:8443"
state = "127.0.0.9:2379"

[settings]
initial_size = 2

[[settings.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0

[[settings.objectives]]
kind = "guarantee"
within_s = 7.0
share = 0.9

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0

[settings.state]
rps = 50.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[settings.cloud]
rps = 4.0
list_lag_s = 8.0

[settings.quota]
cores = 0.1
memory_mb = 64.0
max_sockets = 500
"#;

    /// The last one listed counted, so that gangs due in 100 s waited as if due in 250 s.
    #[test]
    fn of_several_start_objectives_of_a_class_the_shortest_counts() {
        let text = format!(
            "{GOOD}\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"x\"\nwithin_s = 100.0\nshare = 0.8\n\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"x\"\nwithin_s = 250.0\nshare = 0.9\n"
        );
        let s = Settings::parse(&text, "f").unwrap();
        assert_eq!(s.setup(&crate::operator::Tuning::default()).wait_s.get("x"), Some(&100.0));
    }

    #[test]
    fn unknown_fields_are_skipped_and_known_ones_used() {
        let s = Settings::parse(GOOD, "f").unwrap();
        let setup = s.setup(&crate::operator::Tuning::default());
        assert_eq!((s.known.len(), setup.guarantee_s, setup.teams["red"].cpus_max), (1, 7.0, 20.0));
    }

    #[test]
    fn what_is_wrong_is_refused_by_name() {
        for (from, to, says) in [
            ("member = \"rung-0\"", "", "member"),
            ("lease_s = 10.0", "lease_s = 1.5", "settings.workers.lease_s"),
            ("rps = 50.0", "rps = 0.0", "settings.state.rps"),
            ("cpus_max = 20.0", "cpus_max = 2.0", "settings.teams.cpus of red"),
            ("member = \"rung-1\"", "member = \"rung-0\"", "known.member"),
            ("127.0.0.9:2379", "somewhere", "state"),
        ] {
            let error = Settings::parse(&GOOD.replacen(from, to, 1), "f").unwrap_err().to_string();
            assert!(error.contains(says), "{error} does not name {says}");
        }
    }
}
