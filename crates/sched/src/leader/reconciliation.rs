//! Reconciles the leader's view with the machines after a change of leader or epoch. Tasks that may
//! have been started before the change are found running or requeued, once the state of every
//! machine on which they may be running is known.

use super::{GangPhase, Job, Leader, RequeueReason, TaskLocation};

impl Leader {
    /// Resolves tasks and jobs that waited for machines to be reconciled.
    pub(crate) fn reconcile(&mut self) {
        self.requeue_resolved_tasks();
        if self.has_unknown_prior_runs && self.epochs.has_begun() {
            self.resolve_known_jobs();
        }
    }

    /// Requeues tasks assigned to a previous owner once all machines of that owner are reconciled
    /// or gone and none of them has reported the tasks, which proves that they run nowhere.
    fn requeue_resolved_tasks(&mut self) {
        let machines = &self.cluster.machines;
        let is_settled =
            |name: &String| machines.get(name).is_none_or(|machine| machine.reconciled);
        for (group, tasks) in self.unresolved.take_settled(is_settled) {
            for (id, index) in tasks {
                if self.task_location(&id, index) == Some(&TaskLocation::Unresolved(group)) {
                    self.requeue_task(&id, index, RequeueReason::Resolved);
                }
            }
        }
    }

    /// Returns where a task may be running.
    pub(super) fn task_location(&self, id: &str, index: u32) -> Option<&TaskLocation> {
        let active = self.cluster.jobs.get(id)?.active.get(&index)?;
        Some(&active.location)
    }

    /// Resolves the prior runs (tasks that an earlier leader may have started) of each job for
    /// which the content of all machines on which it may be running is known. Only then does this
    /// leader start tasks of the job.
    fn resolve_known_jobs(&mut self) {
        let unknown = self.cluster.machines.unknown();
        let all_known = unknown.is_empty();
        let all_machines_known = |job: &Job| match &job.possible_machines {
            Some(machines) => machines.iter().all(|name| !unknown.contains(name)),
            None => all_known,
        };
        let resolvable = self.cluster.jobs.iter();
        let resolvable =
            resolvable.filter(|(_, job)| job.awaits_reconciliation && all_machines_known(job));
        let resolvable: Vec<String> = resolvable.map(|(id, _)| id.clone()).collect();
        if all_known {
            self.has_unknown_prior_runs = false;
            log::info!("event=reconciled machines={}", self.cluster.machines.len());
        }
        for id in resolvable {
            self.resolve_prior_runs(&id);
            self.pass_requested = true;
        }
    }

    /// Resolves the prior runs of a job, when the content of all machines on which it may be
    /// running is known. A gang whose tasks were all found, under one attempt number, continues to
    /// run; any other gang is stopped.
    fn resolve_prior_runs(&mut self, id: &str) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.awaits_reconciliation = false;
        if !job.is_gang() || job.terminal || !job.done.is_empty() {
            self.finish_if_done(id);
            return;
        }
        let Some(attempt) = job.active.values().next().map(|active| active.attempt) else {
            job.phase = GangPhase::Idle;
            return;
        };
        let is_whole = job.active.len() == job.spec.tasks as usize;
        if is_whole && job.active.values().all(|active| active.attempt == attempt) {
            job.phase = GangPhase::Running { attempt };
        } else {
            job.phase = GangPhase::Ending;
            self.stop_all_tasks(id, 0.0);
        }
    }

    /// Returns whether jobs wait for machines whose running tasks are unknown.
    pub(crate) fn waits_for_unknown_machines(&self) -> bool {
        self.has_unknown_prior_runs
            && self
                .cluster
                .jobs
                .values()
                .any(|job| job.awaits_reconciliation)
    }
}
