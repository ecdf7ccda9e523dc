//! Invariants of the protocol and requirements of the users, checked against the true state.

use super::*;

mod placement;
mod start_times;
mod waiting;

pub(super) use waiting::WaitingWithCapacity;

/// The resources that a team uses.
#[derive(Clone, Copy, Default)]
struct TeamUsage {
    cpus: f64,
    gpus: f64,
}

impl TeamUsage {
    fn add_task(&mut self, spec: &Job) {
        self.cpus += spec.cpus;
        self.gpus += spec.gpus;
    }
}

impl World {
    pub(super) fn record_violation(&mut self, rule: &str) {
        self.trace.rule_broken(self.now, rule);
        self.violations.insert(rule.to_string());
    }

    fn record_violations(&mut self, rules: Vec<&str>) {
        rules
            .into_iter()
            .for_each(|rule| self.record_violation(rule));
    }

    /// Checks that tasks of terminal jobs stop in time and that no team exceeds its limits. Both
    /// must hold at every moment, also during faults.
    pub(super) fn check_running_tasks(&mut self) {
        let mut violations = self.overrunning_tasks();
        if self.exceeds_limits() {
            violations.push("quota");
        }
        self.record_violations(violations);
    }

    /// Returns the violated rule for each task that still runs too long after its job ended.
    fn overrunning_tasks(&self) -> Vec<&'static str> {
        let tasks = self.workers.values().flat_map(Worker::live_tasks);
        let jobs = tasks.filter_map(|task| self.jobs.get(&task.job));
        let may_run_until = |at: f64| at + self.config.cancel_s;
        let overruns = |job: &&JobState| {
            job.terminal_at
                .is_some_and(|at| self.now > may_run_until(at))
        };
        // A task of a done job is orphaned because no controller knows it any more.
        let rule = |job: &JobState| match job.cancelled {
            true => "ran_cancelled",
            false => "orphaned",
        };
        jobs.filter(overruns).map(rule).collect()
    }

    fn exceeds_limits(&self) -> bool {
        let mut used: BTreeMap<&str, TeamUsage> = BTreeMap::new();
        for task in self.workers.values().flat_map(Worker::live_tasks) {
            if let Some(job) = self.jobs.get(&task.job) {
                used.entry(&job.spec.team).or_default().add_task(&job.spec);
            }
        }
        let is_within = |limit: &Team, used: &TeamUsage| {
            used.cpus <= limit.cpus_max + 1e-6 && used.gpus <= limit.gpus_max + 1e-6
        };
        used.iter().any(|(team, used)| {
            let limit = self.limits.get(*team);
            !limit.is_some_and(|limit| is_within(limit, used))
        })
    }

    /// Checks that, in the absence of faults, the leader knows every open job whose dependencies
    /// were done long enough ago for the leader to have read that.
    pub(super) fn check_leader_knows_jobs(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let is_forgotten = |(id, job): (&String, &JobState)| {
            let is_ready = job
                .ready_at
                .is_some_and(|at| self.now - at > LEADER_LEASE_S);
            job.is_open() && is_ready && !leading.leader.has_job(id)
        };
        if self.jobs.iter().any(is_forgotten) {
            self.record_violation("forgotten");
        }
    }
}
