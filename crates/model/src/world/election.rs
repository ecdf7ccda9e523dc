//! Leader election, and the state that a new leader loads before it starts.

use super::*;

impl World {
    /// Elects a random controller that can use the store, unless the previous leader's lease is
    /// still valid.
    pub(super) fn elect(&mut self) {
        let now = self.now;
        if now < self.no_election_before || now < self.store_down_until {
            return;
        }
        let Some(elected) = self.draw_reachable_controller() else {
            return;
        };
        self.term += 1;
        self.revision += 1;
        self.leaders_elected += 1;
        self.trace.elected(now, elected, self.term, self.revision);
        let mut dependencies = std::mem::take(&mut self.controllers[elected].dependencies);
        dependencies.reload(&self.jobs, now);
        let leader = self.new_leader(elected, &dependencies);
        self.lease_end = now + LEADER_LEASE_S;
        self.leader_known_versions = self.versions.clone();
        self.start_as_leader(elected, dependencies);
        for controller in &mut self.controllers {
            controller.disconnect(now + 0.1);
        }
        self.leading = Some(LeadingController {
            controller: elected,
            leader,
            elected_revision: self.revision,
            elected_token: self.term,
        });
    }

    /// Creates a leader from the current contents of the store.
    fn new_leader(&mut self, elected: usize, dependencies: &DependencyView) -> Leader {
        let seed = self.rng.u64(..);
        let jobs = self.jobs_for_new_leader(dependencies);
        let priority = |job: &OpenJob| (job.spec.id.clone(), dependencies.priority(&job.spec));
        let priorities: Vec<(String, Priority)> = jobs.iter().map(priority).collect();
        let no_machines = BTreeMap::new();
        let roster = match self.defect {
            Defect::ForgetRoster => &no_machines,
            _ => &self.roster,
        };
        let mut leader = Leader::new(
            &controller_name(elected),
            self.config.clone(),
            seed,
            self.term,
            self.controllers[elected].value_kb,
            jobs,
            roster,
            self.started_upto,
            self.now,
        );
        for (id, priority) in priorities {
            leader.set_priority(&id, priority);
        }
        if self.defect != Defect::ForgetCancelled {
            leader.set_recently_cancelled(self.recently_cancelled());
        }
        leader.set_catalog(self.types.clone());
        leader
    }

    /// Returns the open jobs that a new leader loads.
    fn jobs_for_new_leader(&self, dependencies: &DependencyView) -> Vec<OpenJob> {
        let ignores_cancel = self.defect == Defect::IgnoreCancel;
        let is_lost = |job: &JobState| self.defect == Defect::LoseJobs && job.revision & 1 == 0;
        let is_known = |job: &&JobState| {
            (job.record_terminal_at.is_none() || ignores_cancel && job.cancelled)
                && !is_lost(job)
                && self.is_known_to_leader(dependencies, job)
        };
        let known = self.jobs.values().filter(is_known);
        known.map(|job| self.open_job(job)).collect()
    }

    /// Returns the cancelled jobs of which tasks may still be running, each as its id, its team and
    /// the total resources of its tasks.
    fn recently_cancelled(&self) -> Vec<(String, String, Resources)> {
        let retention_s = self.config.lease_s + self.config.cancel_s;
        let is_recent = |job: &&JobState| {
            job.cancelled
                && job.record_terminal_at.is_some()
                && job
                    .terminal_at
                    .is_some_and(|at| self.now - at < retention_s)
        };
        let recent = self.jobs.values().filter(is_recent);
        let described = recent.map(|job| {
            let task = Resources {
                cpus: job.spec.cpus,
                gpus: job.spec.gpus,
                memory_gb: 0.0,
            };
            let total = task.scaled(job.spec.tasks);
            (job.spec.id.clone(), job.spec.team.clone(), total)
        });
        described.collect()
    }

    /// Restarts the elected controller as an owner without machines, whose view of the store is
    /// current.
    fn start_as_leader(&mut self, elected: usize, dependencies: DependencyView) {
        let now = self.now;
        let controller = &mut self.controllers[elected];
        controller.owner = Owner::new(&controller_name(elected), self.config.clone());
        let authority = &mut controller.owner.authority;
        authority.set_until(now + LEADER_LEASE_S * AUTHORITY_SHARE);
        authority.record_read(now);
        // Changes at exactly this time are included in the next read.
        controller.read_at = now - STEP_S / 10.0;
        controller.pending_read = None;
        controller.dependencies = dependencies;
        controller.pending_reload = None;
    }

    /// Returns a job as it is passed to the leader.
    pub(super) fn open_job(&self, job: &JobState) -> OpenJob {
        let mut spec = (*job.spec).clone();
        if self.defect == Defect::IgnoreTypes {
            spec.types = None;
            spec.zone = None;
        }
        OpenJob {
            spec: Rc::new(spec),
            revision: job.revision,
            done: job.done.clone(),
            prior_runs: job.prior_runs.clone(),
        }
    }

    /// Returns whether a defect hides a job from the leader.
    pub(super) fn is_hidden_from_leader(&self, spec: &Job) -> bool {
        match self.defect {
            Defect::HideLargestGangs => {
                spec.shape == Shape::Gang && spec.tasks == LARGEST_GANG_TASKS
            }
            Defect::HideRedArrays => spec.shape == Shape::Array && spec.team == "red",
            _ => false,
        }
    }
}
