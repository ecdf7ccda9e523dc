//! Jobs: their true state, and how users submit and cancel them.

use super::*;

/// A job and its true state.
pub(super) struct JobState {
    pub(super) spec: Rc<Job>,
    pub(super) accepted_at: f64,
    /// When its first task started to run.
    pub(super) started_at: Option<f64>,
    /// The store's revision at which it was accepted.
    pub(super) revision: u64,
    /// The tasks that are recorded as done.
    pub(super) done: RangeSet,
    /// When it became terminal (done or cancelled), by its own record or through the cancellation
    /// of a dependency.
    pub(super) terminal_at: Option<f64>,
    /// When its own record became terminal.
    pub(super) record_terminal_at: Option<f64>,
    /// The controller that wrote the terminal record.
    pub(super) terminal_written_by: Option<usize>,
    /// When all its dependencies were done.
    pub(super) ready_at: Option<f64>,
    pub(super) cancelled: bool,
    /// The store's revision at which its own record was cancelled; 0 before.
    pub(super) cancelled_revision: u64,
    /// When a user was first told that it is cancelled, for a job whose own record is.
    pub(super) reported_cancelled_at: Option<f64>,
    pub(super) prior_runs: PriorRuns,
}

impl JobState {
    fn new(spec: Job, accepted_at: f64, revision: u64) -> JobState {
        JobState {
            spec: Rc::new(spec),
            accepted_at,
            started_at: None,
            revision,
            done: RangeSet::default(),
            terminal_at: None,
            record_terminal_at: None,
            terminal_written_by: None,
            ready_at: None,
            cancelled: false,
            cancelled_revision: 0,
            reported_cancelled_at: None,
            prior_runs: PriorRuns::None,
        }
    }

    pub(super) fn is_open(&self) -> bool {
        self.terminal_at.is_none()
    }

    /// Returns whether its own record was terminal at `time`.
    pub(super) fn is_recorded_terminal_by(&self, time: f64) -> bool {
        self.record_terminal_at.is_some_and(|at| at <= time)
    }
}

/// The times at which a job reached its stages, as far as it has reached them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobTimes {
    /// When it was accepted.
    pub accepted: f64,
    /// When all its dependencies were done; for a job without dependencies, when it was accepted.
    pub ready: Option<f64>,
    /// When its first task started to run.
    pub started: Option<f64>,
}

/// The jobs as a controller's replica of the store shows them: a job is terminal there only if it
/// became so by the time of the controller's last read, `read_at`.
pub(super) struct JobReplica<'a> {
    jobs: &'a BTreeMap<String, JobState>,
    read_at: f64,
}

impl JobReplica<'_> {
    pub(super) fn new(jobs: &BTreeMap<String, JobState>, read_at: f64) -> JobReplica<'_> {
        JobReplica { jobs, read_at }
    }

    fn open_spec(&self, job: &str) -> Option<&Job> {
        let state = self.jobs.get(job).filter(|_| !self.is_terminal(job))?;
        Some(&state.spec)
    }
}

impl JobLookup for JobReplica<'_> {
    fn resources(&self, job: &str) -> Option<Resources> {
        let spec = self.open_spec(job)?;
        Some(Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        Some(self.open_spec(job)?.image.clone())
    }
    fn is_terminal(&self, job: &str) -> bool {
        let state = self.jobs.get(job);
        state.is_some_and(|state| state.terminal_at.is_some_and(|at| at <= self.read_at))
    }
}

impl World {
    /// Accepts a job. The leader learns of it at its next read of the store.
    pub fn submit(&mut self, spec: Job) {
        self.revision += 1;
        self.trace.submitted(self.now, &spec);
        let id = spec.id.clone();
        self.jobs
            .insert(id, JobState::new(spec, self.now, self.revision));
        self.cancel_descendants();
        self.record_ready_jobs();
    }

    /// Cancels a job through a random controller that can use the store. A user is told of it when a
    /// controller may report it. Returns false if there is no such controller or the job is not open.
    pub fn cancel(&mut self, id: &str) -> bool {
        let confirmed = self.confirm_cancel(id);
        self.trace.cancelled(self.now, id, confirmed);
        confirmed
    }

    fn confirm_cancel(&mut self, id: &str) -> bool {
        let now = self.now;
        let Some(by) = self.draw_reachable_controller() else {
            return false;
        };
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.is_open()) else {
            return false;
        };
        job.terminal_at = Some(now);
        job.record_terminal_at = Some(now);
        job.terminal_written_by = Some(by);
        job.cancelled = true;
        self.revision += 1;
        job.cancelled_revision = self.revision;
        let gate = &mut self.controllers[by].cancellations;
        gate.record_revision(self.revision, now);
        self.trace.ended(now, id, true);
        self.cancellations += 1;
        self.cancel_descendants();
        let leading = self
            .leading
            .as_mut()
            .filter(|leading| leading.controller == by);
        if let Some(leading) = leading.filter(|_| self.defect != Defect::IgnoreCancel) {
            leading.leader.on_job_terminal(id);
        }
        true
    }

    /// Records a job as done and checks this against the tasks that workers have completed.
    pub(super) fn record_done(&mut self, id: &str) {
        let now = self.now;
        let completed = self.completed_tasks(id) as u32;
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let tasks = job.spec.tasks;
        let is_done = completed == tasks || job.spec.shape == Shape::Gang && completed > 0;
        job.terminal_at = Some(now);
        job.record_terminal_at = Some(now);
        self.jobs_done += 1;
        self.trace.ended(now, id, false);
        if !is_done {
            self.record_violation("not_done");
        }
        self.record_ready_jobs();
    }

    /// Returns how many of a job's tasks have completed.
    pub(super) fn completed_tasks(&self, id: &str) -> usize {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        (0..job.spec.tasks)
            .filter(|index| self.completed.contains(&(id.to_string(), *index)))
            .count()
    }

    pub(super) fn record_first_starts(&mut self, started: BTreeSet<String>) {
        for id in started {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.started_at.get_or_insert(self.now);
            }
        }
    }

    /// Returns the jobs that are neither done nor cancelled.
    pub fn open_jobs(&self) -> Vec<String> {
        let open = self.jobs.iter().filter(|(_, job)| job.is_open());
        open.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the times of all accepted jobs by id.
    pub fn job_times(&self) -> BTreeMap<&str, JobTimes> {
        let times = |job: &JobState| JobTimes {
            accepted: job.accepted_at,
            ready: job.ready_at,
            started: job.started_at,
        };
        let jobs = self.jobs.iter();
        jobs.map(|(id, job)| (id.as_str(), times(job))).collect()
    }

    /// Returns `done` or `cancelled` for a terminal job and `None` for an open or unknown one.
    pub fn outcome(&self, id: &str) -> Option<&'static str> {
        let job = self.jobs.get(id)?;
        job.terminal_at
            .map(|_| if job.cancelled { "cancelled" } else { "done" })
    }
}
