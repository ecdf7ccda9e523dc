//! What users send and get.

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// How a job's tasks belong together.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// All tasks run at the same time or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Independent tasks that run until their user cancels the job.
    #[serde(rename = "service")]
    Service,
}

/// Priority; the order of the variants is the order of the queue, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Prod,
    High,
    Standard,
    BestEffort,
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "docket")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    pub shape: Shape,
    #[serde(rename = "urgency")]
    pub priority: Priority,
    #[serde(rename = "tickets")]
    pub tasks: u32,
    #[serde(rename = "vcpus", deserialize_with = "crate::cbor::amount")]
    pub cpus: f64,
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub gpus: f64,
    #[serde(rename = "mem_gb", deserialize_with = "crate::cbor::amount")]
    pub memory_gb: f64,
    #[serde(rename = "kit")]
    pub image: String,
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub image_gb: f64,
    #[serde(rename = "chassis_list", default)]
    pub types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "expected_s", deserialize_with = "crate::cbor::amount")]
    pub estimate_s: f64,
    #[serde(rename = "bookmark_s", deserialize_with = "crate::cbor::amount")]
    pub checkpoint_s: f64,
    #[serde(rename = "stash_s", deserialize_with = "crate::cbor::amount")]
    pub save_s: f64,
    #[serde(
        rename = "due_s",
        default,
        deserialize_with = "crate::cbor::amount_opt"
    )]
    pub deadline_s: Option<f64>,
    /// Jobs that have to be done before any task of this one starts, each once.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "distinct_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Reads a list of ids that may be null; an id that is listed twice counts once.
fn distinct_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let listed = Option::<Vec<String>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    let distinct = listed.into_iter().filter(|id| seen.insert(id.clone()));
    Ok(distinct.collect())
}

/// Largest number of tasks of one job.
pub const MOST_TASKS: u32 = 100_000;

impl Job {
    /// Checks what can be checked without knowing teams and machine types; names the field.
    pub fn check(&self) -> Result<(), String> {
        let text = |name: &str, v: &str, most: usize| {
            if v.is_empty()
                || v.len() > most
                || v.chars().any(|c| c.is_control() || c.is_whitespace())
            {
                Err(format!("{name}: must be 1 to {most} bytes without spaces"))
            } else {
                Ok(())
            }
        };
        valid_id(&self.id)
            .then_some(())
            .ok_or("name_id: not a job id")?;
        text("docket", &self.class, 200)?;
        text("crew", &self.team, 200)?;
        text("kit", &self.image, 200)?;
        if self.tasks == 0 || self.tasks > MOST_TASKS {
            return Err(format!("tickets: must be 1 to {MOST_TASKS}"));
        }
        for (name, v) in [
            ("gpus", self.gpus),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("bookmark_s", self.checkpoint_s),
            ("stash_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
            ("vcpus", self.cpus),
            ("mem_gb", self.memory_gb),
        ] {
            if !(0.0..=1e12).contains(&v) {
                return Err(format!("{name}: must not be negative"));
            }
        }
        if let Some(types) = &self.types {
            if types.len() > 100 {
                return Err("chassis_list: too many types".into());
            }
            for t in types {
                text("chassis_list", t, 200)?;
            }
        }
        if let Some(zone) = &self.zone {
            text("yard", zone, 200)?;
        }
        if let Some(id) = self.dependencies.iter().find(|id| !valid_id(id)) {
            return Err(format!("awaits: {id:?} is not a job id"));
        }
        Ok(())
    }
}

/// Whether a text can be a job id: safe as a part of a store key and of a path.
pub fn valid_id(id: &str) -> bool {
    !id.is_empty()
        && id.len() <= 100
        && id
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.'))
}

/// What a user is told of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "queued")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "aborted")]
    Cancelled,
}

/// The answer to submit and cancel.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "standing")]
    pub state: JobState,
}

/// The answer to a query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Progress {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "standing")]
    pub state: JobState,
    pub done: u32,
    pub running: u32,
}

/// The body of any answer that is not a success.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    pub error: String,
}
