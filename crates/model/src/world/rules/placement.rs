//! The invariants that the start of a task on a machine must satisfy.

use super::*;

impl World {
    /// Checks the start of a task on a machine.
    pub(in crate::world) fn check_start(&mut self, machine: &str, job: &str, index: u32) {
        self.check_dependencies_done(job);
        let mut violations = Vec::new();
        if let Some(state) = self.jobs.get(job) {
            if self.is_started_after_cancellation(state) {
                violations.push("started_cancelled");
            }
            if state.record_terminal_at.is_some() && !state.cancelled {
                violations.push("started_done");
            }
        }
        let is_same_task = |task: &TaskKey| task.job == job && task.index == index;
        let live = || self.workers.values().flat_map(Worker::live_tasks);
        if live().any(is_same_task) {
            violations.push("ran_twice");
        }
        if let (Some(state), Some(worker)) = (self.jobs.get(job), self.workers.get(machine)) {
            if !self.may_run_on(&state.spec, worker) {
                violations.push("wrong_place");
            }
        }
        self.record_violations(violations);
    }

    /// Returns whether the job was cancelled so long ago that neither a response in transit nor a
    /// leader with a stale view explains the start of a task.
    fn is_started_after_cancellation(&self, job: &JobState) -> bool {
        let allowed_s = self.config.max_start_staleness_s() + wire::HEARTBEAT_RESPONSE_TIMEOUT_S;
        let ended_long_ago = |at: f64| self.now > at + allowed_s;
        job.cancelled && job.terminal_at.is_some_and(ended_long_ago)
    }

    /// Returns whether a job may run on a machine, given the zones of its other tasks.
    fn may_run_on(&self, spec: &Job, worker: &Worker) -> bool {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for other in self.workers.values() {
            for _ in other.live_tasks().filter(|task| task.job == spec.id) {
                *by_zone.entry(other.zone.as_str()).or_default() += 1;
            }
        }
        let in_zone = by_zone.get(worker.zone.as_str()).copied().unwrap_or(0);
        let in_other_zone = spec.one_zone && by_zone.keys().any(|zone| *zone != worker.zone);
        let exceeds_spread = spec.spread && in_zone + 1 > spec.tasks.div_ceil(2);
        allows_machine(spec, worker) && !in_other_zone && !exceeds_spread
    }
}

/// Returns whether a job allows a machine's type, zone and price class (spot or on demand).
pub(super) fn allows_machine(spec: &Job, worker: &Worker) -> bool {
    let types = spec.types.as_ref();
    let zone = spec.zone.as_ref();
    types.is_none_or(|types| types.contains(&worker.kind))
        && zone.is_none_or(|zone| *zone == worker.zone)
        && (spec.spot || !worker.spot)
}
