//! Reconciling a new leader, or a new epoch, with the machines: what may have been started before is settled
//! once the machines are known on which it may be running.

use super::{GangPhase, Job, Leader, TaskLocation};

impl Leader {
    /// Settles what waited for machines to be reconciled.
    pub(crate) fn reconcile(&mut self) {
        self.requeue_resolved_tasks();
        if self.has_unknown_prior_runs && self.epochs.has_begun() {
            self.resolve_known_jobs();
        }
    }

    /// Tasks of lost owners that no machine has shown are not running anywhere.
    fn requeue_resolved_tasks(&mut self) {
        let machines = &self.cluster.machines;
        let is_settled =
            |name: &String| machines.get(name).is_none_or(|machine| machine.reconciled);
        for (group, tasks) in self.unresolved.take_settled(is_settled) {
            for (id, index) in tasks {
                if self.task_location(&id, index) == Some(&TaskLocation::Unresolved(group)) {
                    self.requeue_task(&id, index);
                }
            }
        }
    }

    /// Where a task may be running.
    pub(super) fn task_location(&self, id: &str, index: u32) -> Option<&TaskLocation> {
        let active = self.cluster.jobs.get(id)?.active.get(&index)?;
        Some(&active.location)
    }

    /// Jobs whose suspected machines are all known may be started.
    fn resolve_known_jobs(&mut self) {
        let unknown = self.cluster.machines.unknown();
        let all_known = unknown.is_empty();
        let is_known = |job: &Job| match &job.possible_machines {
            Some(machines) => machines.iter().all(|name| !unknown.contains(name)),
            None => all_known,
        };
        let known = self.cluster.jobs.iter();
        let known = known.filter(|(_, job)| job.awaits_reconciliation && is_known(job));
        let known: Vec<String> = known.map(|(id, _)| id.clone()).collect();
        if all_known {
            self.has_unknown_prior_runs = false;
            log::info!("event=reconciled machines={}", self.cluster.machines.len());
        }
        for id in known {
            self.resolve_prior_runs(&id);
            self.pass_requested = true;
        }
    }

    /// All machines are known on which a job may be running: decides whether a gang that was found is
    /// whole.
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

    /// Whether work waits for machines of unknown content.
    pub(crate) fn waits_for_unknown_machines(&self) -> bool {
        self.has_unknown_prior_runs
            && self
                .cluster
                .jobs
                .values()
                .any(|job| job.awaits_reconciliation)
    }
}
