//! Dependencies between jobs: the state that each controller derives from the records it has read,
//! the true state, and the invariants that relate the two.

use super::*;
use sched::dependencies::{DependencyGraph, DependencyState, Effect};

/// The dependency state that a controller has derived from the job records it has read.
#[derive(Default)]
pub(super) struct DependencyView {
    graph: DependencyGraph,
    cancelled: BTreeSet<String>,
}

impl DependencyView {
    /// Returns a job's state as this controller knows it from a read sent at `read_at`. Returns
    /// `None` if the job was accepted later.
    fn dependency_state(
        &self,
        jobs: &BTreeMap<String, JobState>,
        id: &str,
        read_at: f64,
    ) -> Option<DependencyState> {
        let job = jobs.get(id).filter(|job| job.accepted_at <= read_at)?;
        let is_terminal = job.is_recorded_terminal_by(read_at);
        Some(match (is_terminal, job.cancelled) {
            (true, true) => DependencyState::Cancelled,
            (true, false) => DependencyState::Done,
            _ if self.cancelled.contains(id) => DependencyState::Cancelled,
            _ => DependencyState::Open(job.spec.priority),
        })
    }

    /// Processes a job's record as seen by a read sent at `read_at`, and returns the effects on
    /// this job and on others.
    fn update(&mut self, jobs: &BTreeMap<String, JobState>, id: &str, read_at: f64) -> Vec<Effect> {
        let mut graph = std::mem::take(&mut self.graph);
        let effects = match self.dependency_state(jobs, id, read_at) {
            Some(DependencyState::Open(_)) => graph.on_accepted(&jobs[id].spec, |other| {
                self.dependency_state(jobs, other, read_at)
            }),
            Some(DependencyState::Done) => graph.on_done(id),
            Some(DependencyState::Cancelled) => graph.on_cancelled(id),
            None => Vec::new(),
        };
        self.graph = graph;
        let cancelled = effects.iter().filter_map(|effect| match effect {
            Effect::Cancelled(id) => Some(id.clone()),
            _ => None,
        });
        self.cancelled.extend(cancelled);
        effects
    }

    /// Rebuilds the state from all records, in key order.
    pub(super) fn reload(&mut self, jobs: &BTreeMap<String, JobState>, read_at: f64) {
        *self = DependencyView::default();
        for id in jobs.keys() {
            self.update(jobs, id, read_at);
        }
    }

    /// Returns whether a job is neither blocked by dependencies nor cancelled with one of them.
    /// Only such a job may be given to the leader.
    pub(super) fn is_runnable(&self, id: &str) -> bool {
        !self.graph.is_blocked(id) && !self.cancelled.contains(id)
    }

    pub(super) fn priority(&self, spec: &Job) -> Priority {
        self.graph.priority(&spec.id, spec.priority)
    }
}

impl World {
    /// Processes the changes to jobs between a controller's last read, at `before`, and this one,
    /// in the order in which they were made. If the controller leads, its leader is notified of the
    /// effects.
    pub(super) fn read_jobs(&mut self, i: usize, before: f64, read_at: f64) {
        let mut view = std::mem::take(&mut self.controllers[i].dependencies);
        let mut leading = self.leading.take_if(|leading| leading.controller == i);
        for id in self.changed_jobs(before, read_at) {
            let effects = view.update(&self.jobs, &id, read_at);
            if let Some(LeadingController { leader, .. }) = &mut leading {
                self.notify_leader(leader, &view, &id, read_at);
                for effect in effects {
                    self.notify_of_effect(leader, &view, effect, read_at);
                }
            }
        }
        if leading.is_some() {
            self.leading = leading;
        }
        self.check_descendants_of_cancelled(&view, read_at);
        self.controllers[i].dependencies = view;
    }

    /// Returns the jobs that were accepted or recorded as terminal between two reads, in order of
    /// time.
    fn changed_jobs(&self, before: f64, read_at: f64) -> Vec<String> {
        let accepted = self
            .jobs
            .values()
            .map(|job| (job.accepted_at, &job.spec.id));
        let ended = self
            .jobs
            .values()
            .filter_map(|job| Some((job.record_terminal_at?, &job.spec.id)));
        let mut changes: Vec<(f64, &String)> = accepted
            .chain(ended)
            .filter(|(at, _)| *at > before && *at <= read_at)
            .collect();
        changes.sort_by(|a, b| a.0.total_cmp(&b.0));
        changes.into_iter().map(|(_, id)| id.clone()).collect()
    }

    /// Returns the jobs whose end controller `i` has recorded and that its leader has removed.
    fn removed_after_own_write(&self, leader: &Leader, i: usize) -> Vec<String> {
        let ended = self.jobs.iter().filter(|(id, job)| {
            job.terminal_written_by == Some(i) && !job.is_open() && !leader.has_job(id)
        });
        ended.map(|(id, _)| id.clone()).collect()
    }

    /// Completes a controller's reload of all records, which were read at `read_at`. The controller
    /// keeps the terminal records that it has written itself since then.
    pub(super) fn finish_reload(&mut self, i: usize, read_at: f64) {
        let now = self.now;
        let mut view = std::mem::take(&mut self.controllers[i].dependencies);
        view.reload(&self.jobs, read_at);
        let discards_own_writes = self.defect == Defect::ReloadDiscardsOwnWrites;
        let is_own_write =
            |job: &JobState| job.terminal_written_by == Some(i) && !discards_own_writes;
        for job in self.jobs.values().filter(|job| is_own_write(job)) {
            view.update(&self.jobs, &job.spec.id, now);
        }
        if let Some(mut leading) = self.leading.take_if(|leading| leading.controller == i) {
            let removed = self.removed_after_own_write(&leading.leader, i);
            for job in self.jobs.values().filter(|job| job.accepted_at <= read_at) {
                let known_at = if is_own_write(job) { now } else { read_at };
                self.notify_leader(&mut leading.leader, &view, &job.spec.id, known_at);
            }
            if removed.iter().any(|id| leading.leader.has_job(id)) {
                self.record_violation("ended_job_returned");
            }
            self.leading = Some(leading);
        }
        self.check_descendants_of_cancelled(&view, read_at);
        let controller = &mut self.controllers[i];
        controller.dependencies = view;
        controller.read_at = read_at;
        controller.owner.authority.record_read(read_at);
    }

    fn notify_leader(&self, leader: &mut Leader, view: &DependencyView, id: &str, read_at: f64) {
        let job = &self.jobs[id];
        if job.is_recorded_terminal_by(read_at) {
            if !matches!(
                self.defect,
                Defect::IgnoreCancel | Defect::FinishAtHalfUnseen
            ) {
                leader.on_job_terminal(id);
            }
        } else if self.is_known_to_leader(view, job) {
            // A job that is new to this leader was not assigned by an earlier one.
            leader.add_job(OpenJob {
                prior_runs: PriorRuns::None,
                ..self.open_job(job)
            });
            leader.set_priority(id, view.priority(&job.spec));
        }
    }

    fn notify_of_effect(
        &self,
        leader: &mut Leader,
        view: &DependencyView,
        effect: Effect,
        read_at: f64,
    ) {
        match effect {
            Effect::Unblocked(id) => self.notify_leader(leader, view, &id, read_at),
            Effect::Cancelled(id) => leader.on_job_terminal(&id),
            Effect::Reprioritized(id, priority) => leader.set_priority(&id, priority),
        }
    }

    /// Returns whether the leader is told of an open job.
    pub(super) fn is_known_to_leader(&self, view: &DependencyView, job: &JobState) -> bool {
        let starts_blocked = self.defect == Defect::StartBlocked;
        (starts_blocked || view.is_runnable(&job.spec.id)) && !self.is_hidden_from_leader(&job.spec)
    }

    /// Cancels all open jobs that depend directly or transitively on a cancelled one. This is the
    /// true state, computed independently of the controllers' views.
    pub(super) fn cancel_descendants(&mut self) {
        let now = self.now;
        loop {
            let is_cancelled = |id: &String| self.jobs.get(id).is_some_and(|job| job.cancelled);
            let orphans = self.jobs.values().filter(|job| {
                job.terminal_at.is_none() && job.spec.dependencies.iter().any(is_cancelled)
            });
            let orphans: Vec<String> = orphans.map(|job| job.spec.id.clone()).collect();
            if orphans.is_empty() {
                return;
            }
            for id in orphans {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.terminal_at = Some(now);
                    job.cancelled = true;
                    self.trace.ended(now, &id, true);
                    self.cancelled_by_dependency += 1;
                }
            }
        }
    }

    /// Sets `ready_at` to the current time for jobs that may start from now on because all their
    /// dependencies are done.
    pub(super) fn record_ready_jobs(&mut self) {
        let now = self.now;
        let is_done = |id: &String| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.terminal_at.is_some() && !job.cancelled)
        };
        let ready = self
            .jobs
            .values()
            .filter(|job| job.ready_at.is_none() && job.spec.dependencies.iter().all(is_done));
        let ready: Vec<String> = ready.map(|job| job.spec.id.clone()).collect();
        for id in ready {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.ready_at = Some(now);
            }
        }
    }

    /// Checks that a task starts only after all dependencies of its job are recorded as done.
    pub(super) fn check_dependencies_done(&mut self, job: &str) {
        if self.jobs.get(job).is_some_and(|job| job.ready_at.is_none()) {
            self.record_violation("too_early");
        }
    }

    /// Checks that a controller that has read a cancellation does not treat the jobs that depend on
    /// the cancelled job as open.
    fn check_descendants_of_cancelled(&mut self, view: &DependencyView, read_at: f64) {
        let ignores_cancellations = self.defect == Defect::IgnoreCancelledDependencies;
        let is_orphan = |job: &JobState| {
            let known_to_be_terminal =
                job.cancelled && job.terminal_at.is_some_and(|at| at <= read_at);
            let considered_open = job.record_terminal_at.is_none()
                && (ignores_cancellations || !view.cancelled.contains(&job.spec.id));
            known_to_be_terminal && considered_open
        };
        if self.jobs.values().any(is_orphan) {
            self.record_violation("orphaned");
        }
    }

    /// Returns the dependencies of a new random job: none, or up to three of the twelve latest
    /// jobs, whatever their state.
    pub(super) fn random_dependencies(&mut self) -> Vec<String> {
        if self.dependent_percent == 0 || self.rng.u32(0..100) >= self.dependent_percent {
            return Vec::new();
        }
        let ids: Vec<String> = self.jobs.keys().rev().take(12).cloned().collect();
        if ids.is_empty() {
            return Vec::new();
        }
        let drawn = (0..self.rng.usize(1..4)).map(|_| ids[self.rng.usize(0..ids.len())].clone());
        let distinct: BTreeSet<String> = drawn.collect();
        distinct.into_iter().collect()
    }

    /// Restarts the controllers one after the other, `every_s` apart, each with `value_kb` as its
    /// new maximum size of stored values.
    pub fn rolling_restart(&mut self, every_s: f64, value_kb: f64) {
        for i in 0..self.controllers.len() {
            self.controllers[i].value_kb = value_kb;
            self.restart_controller(i, every_s / 3.0);
            self.advance(every_s);
        }
    }
}
