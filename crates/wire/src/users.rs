//! Messages to and from users: submissions, and the responses to submissions, queries and
//! cancellations.

use serde::{Deserialize, Deserializer, Serialize};
use std::collections::HashSet;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 100_000;

/// Maximum length of a job id, in bytes.
const MAX_ID_BYTES: usize = 100;

/// Maximum length of the name of a class, team, image, machine type or zone, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Maximum number of machine types that a job may list.
const MAX_TYPES: usize = 100;

/// Maximum of every amount in a job, in the unit of its field. Real amounts are far below it.
const MAX_AMOUNT: f64 = 1e12;

/// Shape of a job: how its tasks are started together, and whether they end by themselves.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, bitcode::Encode, bitcode::Decode,
)]
pub enum Shape {
    /// Independent tasks.
    #[serde(rename = "array")]
    Array,
    /// Gang-scheduled tasks: all of them run at the same time, or none does.
    #[serde(rename = "ensemble")]
    Gang,
    /// Independent tasks that run until the user cancels the job.
    #[serde(rename = "service")]
    Service,
}

/// Priority of a job. The variants are in the order of the queue, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Production work.
    Prod,
    /// Urgent work.
    High,
    /// Ordinary work.
    Standard,
    /// Work that is not urgent.
    BestEffort,
}

/// Job as submitted by its user. Resources and durations, except for the deadline, are per task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Id of the job, chosen by its user; see [`is_valid_job_id`].
    #[serde(rename = "name_id")]
    pub id: String,
    /// Class of the job, to which the service objectives refer.
    #[serde(rename = "docket")]
    pub class: String,
    /// Team whose quota the job is charged to.
    #[serde(rename = "crew")]
    pub team: String,
    /// Shape of the job.
    pub shape: Shape,
    /// Priority in the queue.
    #[serde(rename = "urgency")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "tickets")]
    pub tasks: u32,
    /// Number of CPUs.
    #[serde(rename = "vcpus", deserialize_with = "crate::cbor::amount")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub gpus: f64,
    /// Memory, in gigabytes.
    #[serde(rename = "mem_gb", deserialize_with = "crate::cbor::amount")]
    pub memory_gb: f64,
    /// Name of the image.
    #[serde(rename = "kit")]
    pub image: String,
    /// Size of the image, in gigabytes.
    #[serde(deserialize_with = "crate::cbor::amount")]
    pub image_gb: f64,
    /// Names of the machine types on which the tasks may run; any type if absent.
    #[serde(rename = "chassis_list", default)]
    pub types: Option<Vec<String>>,
    /// Zone in which the tasks have to run; any zone if absent.
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks, rounded up, may run in the same zone.
    pub spread: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Expected run time of a task, in seconds.
    #[serde(rename = "expected_s", deserialize_with = "crate::cbor::amount")]
    pub estimate_s: f64,
    /// Interval between checkpoints, in seconds; 0 if the tasks can't save their state.
    #[serde(rename = "bookmark_s", deserialize_with = "crate::cbor::amount")]
    pub checkpoint_s: f64,
    /// Time that a task takes to save its state when it is stopped, in seconds.
    #[serde(rename = "stash_s", deserialize_with = "crate::cbor::amount")]
    pub save_s: f64,
    /// Time after the submission by which the job should be done, in seconds; no deadline if
    /// absent.
    #[serde(
        rename = "due_s",
        default,
        deserialize_with = "crate::cbor::optional_amount"
    )]
    pub deadline_s: Option<f64>,
    /// Ids of the jobs that have to be done before any task of this one starts, without
    /// duplicates.
    #[serde(
        rename = "awaits",
        default,
        deserialize_with = "distinct_ids",
        skip_serializing_if = "Vec::is_empty"
    )]
    pub dependencies: Vec<String>,
}

/// Deserializes a list of ids that may be null, and removes duplicates. For use in
/// `deserialize_with`.
fn distinct_ids<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let listed = Option::<Vec<String>>::deserialize(deserializer)?.unwrap_or_default();
    let mut seen = HashSet::new();
    let distinct = listed.into_iter().filter(|id| seen.insert(id.clone()));
    Ok(distinct.collect())
}

/// Error for a job that violates a rule of the protocol. Its text is sent to the user.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field}: {fault}")]
pub struct InvalidJob {
    /// Name of the field on the wire.
    pub field: &'static str,
    /// Rule that its value violates.
    pub fault: FieldFault,
}

/// Rule that the value of a job's field violates.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldFault {
    /// The job's own id is invalid; see [`is_valid_job_id`].
    #[error("not a job id")]
    InvalidId,
    /// The id of a dependency is invalid; see [`is_valid_job_id`].
    #[error("{0:?} is not a job id")]
    InvalidDependency(String),
    /// A name is empty, longer than the limit, or contains whitespace or control characters.
    #[error("must be 1 to {max_bytes} bytes without spaces")]
    InvalidName {
        /// Maximum length of the name, in bytes.
        max_bytes: usize,
    },
    /// The number of tasks is 0 or exceeds the limit.
    #[error("must be 1 to {max}")]
    InvalidCount {
        /// Maximum number of tasks.
        max: u32,
    },
    /// An amount is negative, or exceeds a limit that is far above real amounts.
    #[error("must not be negative")]
    InvalidAmount,
    /// The list of machine types is too long.
    #[error("too many types")]
    TooManyTypes,
}

impl From<InvalidJob> for String {
    fn from(error: InvalidJob) -> String {
        error.to_string()
    }
}

impl Job {
    /// Checks the rules that don't depend on which teams and machine types exist. Returns the first
    /// violation as an error.
    pub fn check(&self) -> Result<(), InvalidJob> {
        if !is_valid_job_id(&self.id) {
            return Err(invalid("name_id", FieldFault::InvalidId));
        }
        check_name("docket", &self.class)?;
        check_name("crew", &self.team)?;
        check_name("kit", &self.image)?;
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            let fault = FieldFault::InvalidCount { max: MAX_TASKS };
            return Err(invalid("tickets", fault));
        }
        self.check_amounts()?;
        self.check_placement()?;
        self.check_dependencies()
    }

    fn check_amounts(&self) -> Result<(), InvalidJob> {
        let amounts = [
            ("gpus", self.gpus),
            ("image_gb", self.image_gb),
            ("expected_s", self.estimate_s),
            ("bookmark_s", self.checkpoint_s),
            ("stash_s", self.save_s),
            ("due_s", self.deadline_s.unwrap_or(0.0)),
            ("vcpus", self.cpus),
            ("mem_gb", self.memory_gb),
        ];
        for (field, amount) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&amount) {
                return Err(invalid(field, FieldFault::InvalidAmount));
            }
        }
        Ok(())
    }

    fn check_placement(&self) -> Result<(), InvalidJob> {
        if let Some(types) = &self.types {
            if types.len() > MAX_TYPES {
                return Err(invalid("chassis_list", FieldFault::TooManyTypes));
            }
            for name in types {
                check_name("chassis_list", name)?;
            }
        }
        match &self.zone {
            Some(zone) => check_name("yard", zone),
            None => Ok(()),
        }
    }

    fn check_dependencies(&self) -> Result<(), InvalidJob> {
        match self.dependencies.iter().find(|id| !is_valid_job_id(id)) {
            Some(id) => Err(invalid("awaits", FieldFault::InvalidDependency(id.clone()))),
            None => Ok(()),
        }
    }
}

fn invalid(field: &'static str, fault: FieldFault) -> InvalidJob {
    InvalidJob { field, fault }
}

fn check_name(field: &'static str, name: &str) -> Result<(), InvalidJob> {
    let is_forbidden = |c: char| c.is_control() || c.is_whitespace();
    if name.is_empty() || name.len() > MAX_NAME_BYTES || name.chars().any(is_forbidden) {
        let max_bytes = MAX_NAME_BYTES;
        return Err(invalid(field, FieldFault::InvalidName { max_bytes }));
    }
    Ok(())
}

/// Returns whether a text is a valid job id: not too long, and safe as part of a store key and of a
/// URL path.
pub fn is_valid_job_id(id: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    !id.is_empty() && id.len() <= MAX_ID_BYTES && id.bytes().all(is_allowed)
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted; no task is running.
    #[serde(rename = "queued")]
    Queued,
    /// At least one task is running.
    #[serde(rename = "running")]
    Running,
    /// Every task is done. Terminal.
    #[serde(rename = "done")]
    Done,
    /// Cancelled by its user, or because a job that it depends on was cancelled. Terminal.
    #[serde(rename = "aborted")]
    Cancelled,
}

/// Response to an accepted submission or cancellation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Accepted {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
}

/// Response to a query for a job's state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Progress {
    /// Id of the job.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of running tasks, as last known to the controller that responds.
    pub running: u32,
}

/// Body of a response with an error status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Refusal {
    /// Human-readable description of the error.
    pub error: String,
}
