//! Tasks that may be preempted, and the work that is lost with them.

use crate::cluster::Cluster;
use crate::leader::{ActiveTask, Job, TaskLocation};
use crate::placement::Resources;
use crate::Secs;
use wire::users::Priority;

/// Largest fraction of its expected run time that a task may have run and still be stopped, if it
/// runs on borrowed capacity and cannot save. Beyond that, repeating the lost work costs more than
/// waiting for the task to end.
const MAX_LOST_SHARE: f64 = 0.25;

/// A task that may be preempted.
#[derive(Clone)]
pub(super) struct Victim<'a> {
    /// The task's job.
    pub(super) job: &'a str,
    /// The task's index in its job.
    pub(super) index: u32,
    /// The resources that it uses on its machine.
    pub(super) resources: Resources,
    /// Work lost if it is stopped, in seconds of run time.
    pub(super) lost_s: Secs,
    /// The team that it is charged to.
    pub(super) team: &'a str,
    priority: Priority,
    within_guarantee: bool,
    /// Whether repeating the task's lost work would cost more than waiting for the task to end.
    costly_to_repeat: bool,
}

impl<'a> Victim<'a> {
    /// Returns a task as a victim; `None` if it belongs to a gang of several tasks and so cannot be
    /// stopped alone, is not confirmed to be on its machine, or is being stopped anyway because its
    /// job is over.
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
        // A task that saves when it is stopped loses at most the time that saving takes.
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

    /// Returns the work lost if the task is stopped, in CPU seconds.
    pub(super) fn lost_cpu_s(&self) -> f64 {
        self.lost_s * self.resources.cpus
    }

    /// Returns whether the task's priority is lower than the job's.
    pub(super) fn has_lower_priority_than(&self, job: &Job) -> bool {
        self.priority > job.spec.priority
    }

    /// Returns whether the task may be stopped for a job: either the task has a lower priority, or
    /// the job is within its team's guarantee and the task is another team's borrowed work that is
    /// not too costly to repeat.
    pub(super) fn may_be_stopped_for(&self, job: &Job) -> bool {
        let reclaimable = job.within_guarantee
            && !self.within_guarantee
            && self.team != job.spec.team
            && !self.costly_to_repeat;
        self.has_lower_priority_than(job) || reclaimable
    }
}
