//! Structure of the platform's settings file (TOML). Unknown fields are ignored, so that a newer
//! platform may add some. For a missing or malformed field, the file is rejected with an error that
//! shows the field.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// The whole settings file.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// Name of this controller.
    pub member: String,
    /// Address for requests of users, workers and health checks.
    pub api_addr: SocketAddr,
    /// Address for connections from the other controllers (`back` in the file).
    #[serde(rename = "back")]
    pub link_addr: SocketAddr,
    /// The other controllers (`known` in the file).
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// Addresses of the services that this controller uses.
    pub services: Services,
    /// Parameters that are the same for all controllers (`settings` in the file).
    #[serde(rename = "settings")]
    pub params: Params,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Name of the controller.
    pub member: String,
    /// Address for connections from other controllers (`endpoint` in the file).
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the services that a controller uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Services {
    /// The cloud API, which provisions machines.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
}

/// Parameters that are the same for all controllers.
#[derive(Clone, Debug, Deserialize)]
pub struct Params {
    /// Teams, which may submit jobs.
    #[serde(default)]
    pub teams: Vec<TeamSettings>,
    /// Objectives for how soon jobs start.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the protocol with the workers.
    pub workers: Workers,
    /// Limits of the state service.
    pub state: State,
    /// Limits of the cloud.
    pub cloud: Cloud,
    /// Limits of this process.
    pub quota: Quota,
}

/// Guarantees and limits of a team.
#[derive(Clone, Debug, Deserialize)]
pub struct TeamSettings {
    /// Name of the team.
    pub name: String,
    /// Guaranteed CPUs. 0 means no guarantee.
    pub cpus: f64,
    /// Guaranteed GPUs. 0 means no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Maximum number of CPUs. 0 means that the team has no limits, neither of CPUs nor of GPUs.
    #[serde(default)]
    pub cpus_max: f64,
    /// Maximum number of GPUs, if the team has limits.
    #[serde(default)]
    pub gpus_max: f64,
}

impl TeamSettings {
    /// Returns the maximum number of CPUs, infinite for a team without limits.
    pub(super) fn cpu_limit(&self) -> f64 {
        self.limit(self.cpus_max)
    }

    /// Returns the maximum number of GPUs, infinite for a team without limits.
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

/// An objective for how soon jobs start. Unknown kinds are ignored.
#[derive(Clone, Debug, Deserialize)]
pub struct Objective {
    /// Kind of the objective: `guarantee` or `wait`.
    pub kind: String,
    /// Class of jobs to which a `wait` objective applies.
    #[serde(default)]
    pub class: Option<String>,
    /// Time within which the objective has to be met, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Times of the protocol with the workers, in seconds.
#[derive(Clone, Debug, Deserialize)]
pub struct Workers {
    /// Interval between heartbeats of a worker (`report_s` in the file).
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    /// Time after which a worker without a response stops its tasks.
    pub lease_s: f64,
    /// Time for which a gang's task waits for the other tasks.
    pub gang_wait_s: f64,
    /// Time after which a gang's task gives up on a silent peer.
    pub gang_peer_s: f64,
    /// Time within which the tasks of a cancelled job have to stop.
    pub cancel_s: f64,
}

/// Limits stated by the state service.
#[derive(Clone, Debug, Deserialize)]
pub struct State {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
    /// Limits that the state service will apply from some later, unannounced time on. Any of them
    /// may be missing.
    #[serde(default)]
    pub next: BTreeMap<String, toml::Value>,
}

impl State {
    /// Returns the limits, each of them the lower of its current and its future value, so that
    /// everything fits both from the first write on.
    pub fn limits(&self) -> StoreLimits {
        let lower = |name: &str, present: f64| {
            let next = self.next.get(name).and_then(number);
            next.map_or(present, |next| next.min(present))
        };
        StoreLimits {
            rps: lower("rps", self.rps),
            write_rps: lower("write_rps", self.write_rps),
            value_kb: lower("value_kb", self.value_kb),
            txn_ops: lower("txn_ops", self.txn_ops as f64).max(1.0) as usize,
        }
    }
}

/// Returns the value as a number if it is a float or an integer.
pub(super) fn number(value: &toml::Value) -> Option<f64> {
    let integer = || value.as_integer().map(|number| number as f64);
    value.as_float().or_else(integer)
}

/// Limits of the state service that this process observes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in a transaction.
    pub txn_ops: usize,
}

impl StoreLimits {
    /// Returns the maximum size of a value in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * KIB) as usize
    }
}

/// Limits of the cloud.
#[derive(Clone, Debug, Deserialize)]
pub struct Cloud {
    /// Requests per second.
    pub rps: f64,
    /// Maximum time, in seconds, by which the cloud's list of machines lags behind.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Clone, Debug, Deserialize)]
pub struct Quota {
    /// Maximum memory in MiB.
    pub memory_mb: f64,
    /// Maximum number of open sockets.
    pub max_sockets: usize,
}
