//! The cloud's interface.

use serde::{Deserialize, Serialize};

/// A machine type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode)]
pub struct MachineType {
    pub name: String,
    #[serde(rename = "vcpus", deserialize_with = "crate::cbor::amount")]
    pub cpus: f64,
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub gpus: f64,
    #[serde(rename = "mem_gb", deserialize_with = "crate::cbor::amount")]
    pub memory_gb: f64,
    #[serde(rename = "local_gb", deserialize_with = "crate::cbor::amount")]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", deserialize_with = "crate::cbor::amount")]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "hourly", deserialize_with = "crate::cbor::amount")]
    pub price: f64,
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub spot_price: f64,
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub boot_s: f64,
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Catalog {
    #[serde(rename = "chassis_list")]
    pub types: Vec<MachineType>,
}

/// Asks for machines; `name` is never used for a second purpose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProvisionRequest {
    #[serde(rename = "hire")]
    pub name: String,
    #[serde(rename = "chassis")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    pub count: u32,
}

/// Machine names: the answer to a provision request, and the body of a release.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Names {
    #[serde(rename = "rungs")]
    pub machines: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listed {
    Booting,
    Running,
    Failed,
}

/// One machine of the cloud's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(rename = "chassis")]
    pub kind: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: Listed,
    #[serde(rename = "held_s", deserialize_with = "crate::cbor::amount")]
    pub age_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MachineList {
    #[serde(rename = "rungs")]
    pub machines: Vec<ListedMachine>,
    pub more: bool,
}
