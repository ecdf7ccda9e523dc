//! The platform's settings file (TOML). Unknown fields are skipped, so that a newer platform may add
//! some; a missing or malformed field is refused by name.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// The settings file as a whole.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of this controller.
    pub member: String,
    /// Where users, workers and health checks reach this controller.
    pub api_addr: SocketAddr,
    /// Where the other controllers reach this one.
    #[serde(rename = "back")]
    pub link_addr: SocketAddr,
    /// The other controllers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// The services that this controller uses.
    pub services: Services,
    /// What all controllers are told alike.
    #[serde(rename = "settings")]
    pub params: Params,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub member: String,
    /// Where the controllers reach it.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the services that a controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud, which provisions machines.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// What all controllers are told alike.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Teams that may submit jobs.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// Objectives for the start of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// The protocol with the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud.
    pub cloud: Cloud,
    /// Limits of this process.
    pub quota: Quota,
}

/// A team's guarantees and limits.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// The team's name.
    pub name: String,
    /// Guaranteed CPUs; 0 means none.
    pub cpus: f64,
    /// Guaranteed GPUs; 0 means none.
    #[serde(default)]
    pub gpus: f64,
    /// Most CPUs. 0 means that the team has no limit, of GPUs neither.
    #[serde(default)]
    pub cpus_max: f64,
    /// Most GPUs, if the team has limits.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamSettings {
    /// Most CPUs; infinite without limits.
    pub(super) fn cpu_limit(&self) -> f64 {
        self.limit(self.cpus_max)
    }

    /// Most GPUs; infinite without limits.
    pub(super) fn gpu_limit(&self) -> f64 {
        self.limit(self.gpus_max)
    }

    fn limit(&self, configured: f64) -> f64 {
        if self.cpus_max > 0.0 {
            configured
        } else {
            f64::INFINITY
        }
    }
}

/// An objective for the start of jobs. Kinds that are not known are skipped.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// What it is about: `guarantee` or `wait`.
    pub kind: String,
    /// The class of jobs that a `wait` objective is for.
    #[serde(default)]
    pub class: Option<String>,
    /// Within how many seconds it is to be met.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Times of the protocol with the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// After which a worker that was not answered stops its tasks.
    pub lease_s: f64,
    /// For which a gang's task waits for the others.
    pub gang_wait_s: f64,
    /// After which a gang's task gives up a silent one.
    pub gang_peer_s: f64,
    /// Within which the tasks of a cancelled job have to stop.
    pub cancel_s: f64,
}

/// Limits that the state service states.
#[derive(Clone, Debug, Deserialize)]
pub struct State {
    /// Requests a second, of all controllers.
    pub rps: f64,
    /// Puts and deletes a second, of all controllers.
    pub write_rps: f64,
    /// Most KiB of a value.
    pub value_kb: f64,
    /// Most puts and deletes of a transaction.
    pub txn_ops: usize,
    /// Limits that the service will have from some later moment on, which it does not announce. Each
    /// may be missing.
    #[serde(default)]
    pub next: BTreeMap<String, toml::Value>,
}

impl State {
    /// The lower of the present limits and those to come, so that everything fits both from the first
    /// write on.
    pub fn limits(&self) -> StateLimits {
        let lower = |name: &str, present: f64| {
            let next = self.next.get(name).and_then(number);
            next.map_or(present, |next| next.min(present))
        };
        StateLimits {
            rps: lower("rps", self.rps),
            write_rps: lower("write_rps", self.write_rps),
            value_kb: lower("value_kb", self.value_kb),
            txn_ops: lower("txn_ops", self.txn_ops as f64).max(1.0) as usize,
        }
    }
}

/// A number of the settings, written as a decimal or an integer.
pub(super) fn number(value: &toml::Value) -> Option<f64> {
    let integer = || value.as_integer().map(|number| number as f64);
    value.as_float().or_else(integer)
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
        (self.value_kb * KIB) as usize
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    /// Requests a second.
    pub rps: f64,
    /// Seconds by which its list of machines may lag behind.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// Most MiB of memory.
    pub memory_mb: f64,
    /// Most open sockets.
    pub max_sockets: usize,
}
