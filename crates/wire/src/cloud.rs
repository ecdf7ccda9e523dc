//! Messages of the cloud's interface: the catalog, provisioning, release and the list of machines.

use serde::{Deserialize, Serialize};

/// Machine type that the cloud offers. Also sent between controllers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode)]
pub struct MachineType {
    /// Name of the type, unique in the catalog.
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "crate::cbor::amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub gpus: f64,
    /// Memory, in gigabytes.
    #[serde(rename = "mem_gb", deserialize_with = "crate::cbor::amount")]
    pub memory_gb: f64,
    /// Local storage that caches images, in gigabytes.
    #[serde(rename = "local_gb", deserialize_with = "crate::cbor::amount")]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in gigabytes per second.
    #[serde(rename = "pull_gb_per_s", deserialize_with = "crate::cbor::amount")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    #[serde(rename = "hourly", deserialize_with = "crate::cbor::amount")]
    pub price: f64,
    /// Price of a spot machine per hour.
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub spot_price: f64,
    /// Typical time from the provision request until the machine is running, in seconds.
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub boot_s: f64,
    /// Zones in which the type is offered.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

/// All machine types of the cloud.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    /// The machine types, in the order of the cloud's response.
    #[serde(rename = "chassis_list")]
    pub types: Vec<MachineType>,
}

/// Request for new machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    /// Idempotency key: a repeated request with the same name provisions no further machines. A
    /// name is never reused for a different request.
    #[serde(rename = "hire")]
    pub name: String,
    /// Name of the machine type.
    #[serde(rename = "chassis")]
    pub kind: String,
    /// Zone of the machines.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are requested.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Machine names: the response to a provision request, and the body of a release request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Names {
    /// Names of the machines.
    #[serde(rename = "rungs")]
    pub machines: Vec<String>,
}

/// State of a machine in the cloud's list. No state proves that the machine's tasks have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listed {
    /// Provisioned, but not running yet.
    Booting,
    /// Running.
    Running,
    /// The machine failed to boot or is broken.
    Failed,
}

/// Entry of the cloud's list of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Name of its machine type.
    #[serde(rename = "chassis")]
    pub kind: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Its state, as last observed by the cloud.
    #[serde(rename = "standing")]
    pub state: Listed,
    /// Time since it was provisioned, in seconds.
    #[serde(rename = "held_s", deserialize_with = "crate::cbor::amount")]
    pub age_s: f64,
}

/// Page of the cloud's list of machines.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "rungs")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    pub more: bool,
}
