//! Why a job can never run.

use sched::config::{SchedulerConfig, Team};
use wire::cbor;
use wire::cloud::MachineType;
use wire::users::{Job, Shape};

/// Most bytes that a job's record takes beside the job.
const RECORD_OVERHEAD_BYTES: usize = 64;
/// Rounding allowed when a job's resources are held against its team's limits.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Why a job can never run, in the words that its user is told.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// Its team is not known.
    #[error("crew: no team {0}")]
    UnknownTeam(String),
    /// No machine type that it allows holds a task.
    #[error("a task fits on no allowed machine type")]
    NoMachineType,
    /// It needs more at once than its team may ever use.
    #[error("the job needs more than its team's limit")]
    AboveTeamLimit,
    /// The state service can't hold its record.
    #[error("the job takes {bytes} bytes with {dependencies} jobs in awaits; the state service holds {limit} for each")]
    TooLarge {
        /// What the record takes.
        bytes: usize,
        /// How many jobs it has to wait for.
        dependencies: usize,
        /// Most bytes of a record.
        limit: usize,
    },
    /// It has to wait for a job that was never accepted.
    #[error("awaits: no job {0} was accepted")]
    UnknownDependency(String),
}

/// Checks that a job can run on some machine, within its team's limits, and be recorded in a value of
/// at most `value_bytes`.
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

/// Whether a machine type is allowed for a job and holds one of its tasks.
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

/// A gang runs all its tasks at once, the others at least one.
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
