//! Addition, cancellation and completion of jobs.

use super::{Action, GangPhase, Job, Leader, OpenJob};
use crate::placement::Resources;
use crate::ranges::RangeSet;
use crate::Secs;
use wire::peers::{TaskRef, ToOwner};
use wire::users::Priority;

impl Leader {
    /// Returns whether this leader manages a job.
    pub fn has_job(&self, id: &str) -> bool {
        self.cluster.jobs.contains_key(id)
    }

    /// Adds an accepted job, unless this leader already manages it or knows it to be terminal.
    pub fn add_job(&mut self, job: OpenJob) {
        let id = &job.spec.id;
        // A job whose cancellation a controller has confirmed may still appear as open in the local
        // replica of the store.
        if self.cluster.jobs.contains_key(id) || self.terminal_jobs.contains(id) {
            return;
        }
        self.autoscaler.record_arrival(&job.spec, self.last_tick_at);
        self.cluster.insert_job(Job::new(job, self.last_tick_at));
        self.pass_requested = true;
    }

    /// Sets the effective priority of a job: that of a job that depends on it, or its own again.
    pub fn set_priority(&mut self, id: &str, priority: Priority) {
        let differs = |job: &&mut Job| job.priority != priority;
        if let Some(job) = self.cluster.jobs.get_mut(id).filter(differs) {
            job.priority = priority;
            self.pass_requested = true;
        }
    }

    /// Stops a job that is terminal (done or cancelled) according to the store.
    pub fn on_job_terminal(&mut self, id: &str) {
        // The end of a job may be reported twice: by the controller that confirmed it and by the
        // store.
        let job = self.cluster.jobs.get_mut(id);
        let Some(job) = job.filter(|job| !job.terminal) else {
            return;
        };
        job.terminal = true;
        job.ready_tasks = RangeSet::default();
        let phase = std::mem::replace(&mut job.phase, GangPhase::Ending);
        let clears = std::mem::take(&mut job.pending_clears);
        if job.awaits_reconciliation || !job.active.is_empty() {
            self.send_terminal(id);
        }
        self.cluster.charge_unobserved_tasks(id);
        self.release_reservation(&phase);
        for (machine, task) in clears {
            self.clear_task(&machine, task);
        }
        self.stop_all_tasks(id, 0.0);
        self.remove_if_terminal(id);
        self.pass_requested = true;
    }

    /// Tells owners not to start tasks of a terminal job: they may hold assigned tasks that no
    /// machine status has shown yet.
    fn send_terminal(&mut self, id: &str) {
        self.terminal_jobs.insert(id, self.last_tick_at);
        for member in self.epochs.members().to_vec() {
            let jobs = vec![id.into()];
            self.send(&member, ToOwner::TerminalJobs { jobs });
        }
    }

    /// Removes a terminal job once none of its tasks may be running.
    pub(crate) fn remove_if_terminal(&mut self, id: &str) {
        let job = self.cluster.jobs.get(id);
        if job.is_some_and(|job| job.terminal && job.active.is_empty()) {
            self.autoscaler.forget_job(id);
            self.cluster.jobs.remove(id);
        }
    }

    /// Marks a task as done after this leader first learns of its completion.
    pub(super) fn complete_task(&mut self, task: &TaskRef, now: Secs) {
        let (id, index) = (task.job.as_str(), task.index);
        let chunk_tasks = self.tasks_per_chunk;
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        // The completion of another attempt does not show where the current attempt is: the current
        // attempt stays charged until its end is observed.
        let is_current = job.is_active(task);
        let active = job.active.get(&index);
        let running = active.filter(|active| is_current && active.running);
        let started_at = running.map(|active| active.since);
        job.mark_done(index, chunk_tasks);
        job.failures = 0;
        job.failed_machines.clear();
        if let Some(started_at) = started_at {
            let class = job.spec.class.clone();
            self.cluster.record_run_time(class, now - started_at);
        }
        if is_current {
            self.cluster.remove_active(id, index);
        } else {
            self.stop_task(id, index, 0.0);
        }
        self.finish_if_done(id);
        self.remove_if_terminal(id);
        self.pass_requested = true;
    }

    /// Requests that a job be recorded as done once all its tasks are done.
    pub(crate) fn finish_if_done(&mut self, id: &str) {
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            if !job.terminal && !job.finishing && job.done.len() == job.spec.tasks {
                job.finishing = true;
                self.actions.push(Action::FinishJob { job: id.into() });
            }
        }
    }

    /// Handles the outcome of [`Action::FinishJob`]; a failed write is retried later.
    pub fn on_finish_result(&mut self, id: &str, written: bool) {
        if written {
            self.on_job_terminal(id);
        } else if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.finishing = false;
        }
    }

    /// Sets the jobs that were cancelled so recently that their tasks may still be running on
    /// machines whose tasks are not known yet. Each entry holds the id, the team, and the total
    /// resources that the job may use.
    pub fn set_recently_cancelled(
        &mut self,
        jobs: impl IntoIterator<Item = (String, String, Resources)>,
    ) {
        self.cluster.usage.clear_cancelled();
        for (id, team, resources) in jobs {
            self.cluster.usage.add_cancelled(&team, resources);
            self.terminal_jobs.insert(&id, self.last_tick_at);
        }
    }
}
