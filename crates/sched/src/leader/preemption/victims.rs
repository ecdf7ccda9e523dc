//! Tasks that may be stopped for others, and what is lost with them.

use crate::cluster::Cluster;
use crate::leader::{ActiveTask, Job, TaskLocation};
use crate::placement::Resources;
use crate::Secs;
use wire::users::Priority;

/// Borrowed work that can't save is stopped only in this first part of its expected run: later,
/// repeating it costs more than waiting for its end.
const MAX_LOST_SHARE: f64 = 0.25;

/// A task that may be stopped.
#[derive(Clone)]
pub(super) struct Victim<'a> {
    /// The job that it belongs to.
    pub(super) job: &'a str,
    /// Its index in the job.
    pub(super) index: u32,
    /// What it takes of its machine.
    pub(super) resources: Resources,
    /// Seconds of its work that are lost.
    pub(super) lost_s: Secs,
    /// The team that is charged for it.
    pub(super) team: &'a str,
    priority: Priority,
    within_guarantee: bool,
    /// Stopping it loses more than waiting for its end.
    costly_to_repeat: bool,
}

impl<'a> Victim<'a> {
    /// A task as a victim; `None` if it can't be stopped alone, is not known to be on its machine, or
    /// is stopped anyway as its job is over.
    pub(super) fn of(
        cluster: &Cluster,
        job: &'a Job,
        index: u32,
        task: &ActiveTask,
        now: Secs,
    ) -> Option<Victim<'a>> {
        let is_on_machine = matches!(task.location, TaskLocation::OnMachine(_));
        if job.terminal || !is_on_machine || job.is_multi_task_gang() {
            return None;
        }
        let ran_s = if task.running { now - task.since } else { 0.0 };
        let can_save = job.spec.checkpoint_s > 0.0;
        // What saves when it is stopped loses no more than the time that takes.
        let lost_s = if can_save {
            ran_s.min(job.spec.save_s)
        } else {
            ran_s
        };
        Some(Victim {
            job: &job.spec.id,
            index,
            resources: job.resources(),
            lost_s,
            team: &job.spec.team,
            priority: job.priority,
            within_guarantee: job.within_guarantee,
            costly_to_repeat: !can_save && lost_s > cluster.expected_run_s(job) * MAX_LOST_SHARE,
        })
    }

    /// CPU seconds of work that are lost with it.
    pub(super) fn lost_cpu_s(&self) -> f64 {
        self.lost_s * self.resources.cpus
    }

    /// Whether its priority is lower than a job's.
    pub(super) fn has_lower_priority_than(&self, job: &Job) -> bool {
        self.priority > job.spec.priority
    }

    /// Whether it may be stopped for a job: it is of lower priority, or borrows from the job's
    /// guarantee for another team and is not too costly to repeat.
    pub(super) fn may_be_stopped_for(&self, job: &Job) -> bool {
        let reclaimable = job.within_guarantee
            && !self.within_guarantee
            && self.team != job.spec.team
            && !self.costly_to_repeat;
        self.has_lower_priority_than(job) || reclaimable
    }
}
