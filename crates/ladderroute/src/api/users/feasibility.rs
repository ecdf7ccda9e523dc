//! Feasibility check of submitted jobs.

use sched::config::{SchedulerConfig, Team};
use wire::cbor;
use wire::cloud::MachineType;
use wire::users::{Job, Shape};

/// Maximum bytes that a job's record takes in addition to the job itself.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Tolerance for rounding errors when a job's resources are compared with its team's limits.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The reason why a job can never run, with the error text for the user.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// The job's team is not in the settings.
    #[error("crew: no team {0}")]
    UnknownTeam(String),
    /// No machine type that the job allows is large enough for a task.
    #[error("a task fits on no allowed machine type")]
    NoMachineType,
    /// The job needs more resources at once than its team may ever use.
    #[error("the job needs more than its team's limit")]
    AboveTeamLimit,
    /// The job's record is too large for a value in the state service.
    #[error("the job takes {bytes} bytes with {dependencies} jobs in awaits; the state service holds {limit} for each")]
    TooLarge {
        /// Size of the record, in bytes.
        bytes: usize,
        /// Number of the job's dependencies.
        dependencies: usize,
        /// Maximum size of a record, in bytes.
        limit: usize,
    },
    /// The job depends on a job that was never accepted.
    #[error("awaits: no job {0} was accepted")]
    UnknownDependency(String),
}

/// Checks that a job fits on some machine type, within its team's limits, and that its record fits
/// in a value of at most `value_bytes`.
pub(super) fn check_feasibility(
    job: &Job,
    config: &SchedulerConfig,
    machine_types: &[MachineType],
    value_bytes: usize,
) -> Result<(), Infeasible> {
    let unknown = || Infeasible::UnknownTeam(job.team.clone());
    let team = config.teams.get(&job.team).ok_or_else(unknown)?;
    if !machine_types.iter().any(|kind| fits_machine(job, kind)) {
        return Err(Infeasible::NoMachineType);
    }
    check_team_limit(job, team)?;
    check_record_size(job, value_bytes)
}

/// Returns whether a machine type is allowed for a job and large enough for one of its tasks.
fn fits_machine(job: &Job, kind: &MachineType) -> bool {
    let is_allowed = job
        .types
        .as_ref()
        .is_none_or(|types| types.contains(&kind.name));
    let is_in_zone = job
        .zone
        .as_ref()
        .is_none_or(|zone| kind.zones.contains(zone));
    let has_resources =
        kind.cpus >= job.cpus && kind.gpus >= job.gpus && kind.memory_gb >= job.memory_gb;
    is_allowed && is_in_zone && has_resources
}

/// Checks the least that a job needs at once against its team's limits: all tasks of a gang, one
/// task of any other job.
fn check_team_limit(job: &Job, team: &Team) -> Result<(), Infeasible> {
    let tasks = match job.shape {
        Shape::Gang => f64::from(job.tasks),
        Shape::Array | Shape::Service => 1.0,
    };
    let is_above = |needed: f64, limit: f64| needed > limit + ROUNDING_TOLERANCE;
    if is_above(tasks * job.cpus, team.cpus_max) || is_above(tasks * job.gpus, team.gpus_max) {
        return Err(Infeasible::AboveTeamLimit);
    }
    Ok(())
}

fn check_record_size(job: &Job, limit: usize) -> Result<(), Infeasible> {
    let bytes = cbor::encode(job).len() + RECORD_OVERHEAD_BYTES;
    if bytes <= limit {
        return Ok(());
    }
    Err(Infeasible::TooLarge {
        bytes,
        dependencies: job.dependencies.len(),
        limit,
    })
}
