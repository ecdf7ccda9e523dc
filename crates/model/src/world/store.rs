//! The state service as the controllers see it: their reads, and the leader's writes in transit.

use super::*;

/// A leader's request in transit to the store or the cloud.
pub(super) struct PendingWrite {
    pub(super) arrives_at: f64,
    /// The store's revision at the election of the leader that sent it.
    pub(super) elected_revision: u64,
    pub(super) action: Action,
    /// The version that its key must have for the write to be applied.
    pub(super) expected_version: u64,
    /// Whether the leader was already told that the outcome is unknown.
    pub(super) is_late: bool,
}

/// Returns the key that an action writes on condition that the key still has the expected version;
/// `None` if the action has another condition or is not a write.
fn written_key(action: &Action) -> Option<String> {
    match action {
        Action::UpdateRoster(machine, _) => Some(format!("roster/{machine}")),
        Action::Bind { job, .. } => Some(format!("binding/{job}")),
        Action::RecordStartedArrays(_) => Some("begun".into()),
        Action::RecordProgress {
            job, first_task, ..
        } => Some(format!("progress/{job}/{first_task}")),
        _ => None,
    }
}

impl World {
    /// Runs the reads of all controllers, which read the store's changes every few steps and get
    /// delayed responses. A response is processed before any other component runs in the step, so
    /// that no component relies on a read whose contents the controller has not processed yet.
    pub(super) fn run_reads(&mut self) {
        for i in 0..self.controllers.len() {
            match self.controllers[i].pending_reload {
                Some(reload) => self.run_reload(i, reload),
                None => self.run_read(i),
            }
        }
    }

    fn run_reload(&mut self, i: usize, reload: StoreRead) {
        if self.now >= reload.answered_at && self.reaches_store(i) {
            let controller = &mut self.controllers[i];
            controller.pending_reload = None;
            controller
                .cancellations
                .record_revision(reload.revision, self.now);
            self.finish_reload(i, reload.sent_at);
        }
    }

    fn run_read(&mut self, i: usize) {
        let now = self.now;
        let answered = self.controllers[i]
            .pending_read
            .take_if(|read| now >= read.answered_at);
        if let Some(read) = answered.filter(|_| self.reaches_store(i)) {
            self.finish_read(i, read);
        }
        let controller = &self.controllers[i];
        let is_due = now - controller.read_at >= LEADER_LEASE_S / 5.0;
        if controller.pending_read.is_none() && is_due && self.reaches_store(i) {
            let max_delay_s = if self.rng.u32(0..100) < 2 { 1.2 } else { 0.1 };
            self.controllers[i].pending_read = Some(StoreRead {
                sent_at: now,
                revision: self.revision,
                answered_at: now + self.extra_read_s + self.rng.f64() * max_delay_s,
            });
        }
    }

    fn finish_read(&mut self, i: usize, read: StoreRead) {
        let sent_at = read.sent_at;
        let gate = &mut self.controllers[i].cancellations;
        gate.record_revision(read.revision, self.now);
        let before = std::mem::replace(&mut self.controllers[i].read_at, sent_at);
        self.read_jobs(i, before, sent_at);
        self.controllers[i].owner.authority.record_read(sent_at);
    }

    /// Returns the time up to which a controller's replica shows that jobs became terminal.
    pub(super) fn terminal_jobs_read_at(&self, i: usize) -> f64 {
        let ignores_terminal_jobs = matches!(
            self.defect,
            Defect::IgnoreCancel | Defect::ForgetCancelled | Defect::FinishAtHalfUnseen
        );
        if ignores_terminal_jobs {
            return f64::MIN;
        }
        self.controllers[i].read_at
    }

    /// Returns the version that the leader expects of the key that an action writes; 0 if it knows
    /// none.
    pub(super) fn expected_version(&self, action: &Action) -> u64 {
        written_key(action)
            .and_then(|key| self.leader_known_versions.get(&key).copied())
            .unwrap_or(0)
    }

    /// Processes the requests that have arrived at the store or the cloud by now.
    pub(super) fn run_writes(&mut self) {
        let mut i = 0;
        while i < self.writes.len() {
            if self.writes[i].arrives_at > self.now {
                i += 1;
                continue;
            }
            let write = self.writes.remove(i);
            let Some(mut leading) = self.leading.take() else {
                self.receive_from_earlier_leader(&write);
                continue;
            };
            self.receive_write(&mut leading, write);
            self.leading = Some(leading);
        }
    }

    fn receive_write(&mut self, leading: &mut LeadingController, write: PendingWrite) {
        if self.is_frozen(leading.controller) {
            // A frozen leader reads the response when it resumes.
            let arrives_at = self.controllers[leading.controller].frozen_until;
            self.writes.push(PendingWrite {
                arrives_at,
                ..write
            });
        } else if leading.elected_revision != write.elected_revision {
            self.receive_from_earlier_leader(&write);
        } else if let (Action::Deprovision(machines), true) = (&write.action, write.is_late) {
            let outcome = ReleaseOutcome::Unknown;
            self.report_release(&mut leading.leader, machines, outcome);
        } else if write.is_late {
            self.apply_late(&leading.leader, write);
        } else {
            self.apply_now(leading, write);
        }
    }

    /// Processes a request of a leader that no longer leads. A write fails its condition; the cloud
    /// carries out releases whoever sent them.
    fn receive_from_earlier_leader(&mut self, write: &PendingWrite) {
        match &write.action {
            Action::Deprovision(machines)
                if !write.is_late && self.now >= self.cloud_down_until =>
            {
                self.deprovision(&machines.clone());
            }
            _ => self.reject_write(write),
        }
    }

    fn reject_write(&mut self, write: &PendingWrite) {
        self.trace
            .refused(self.now, write.elected_revision, &write.action);
    }

    fn apply_now(&mut self, leading: &mut LeadingController, write: PendingWrite) {
        let is_cloud_request =
            matches!(write.action, Action::Provision(_) | Action::Deprovision(_));
        let is_reachable = self.reaches_store(leading.controller)
            && !(is_cloud_request && self.now < self.cloud_down_until);
        let may_be_late = is_reachable && written_key(&write.action).is_some();
        if may_be_late && self.rng.u32(0..100) < self.late_write_percent {
            return self.postpone(&mut leading.leader, write);
        }
        let outcome = self.draw_outcome(is_reachable, &write);
        if outcome.took_effect() {
            self.bump_version(&write.action);
            self.record_end_writer(leading.controller, &write.action);
        }
        // The leader learns the version from the response, or by reading the key after a failure.
        if outcome == Outcome::Confirmed || is_reachable && outcome == Outcome::NotApplied {
            self.update_known_version(&write.action);
        }
        self.apply_action(&mut leading.leader, write.action, outcome);
    }

    /// Leaves a write without a response and applies it later, possibly after newer ones.
    fn postpone(&mut self, leader: &mut Leader, write: PendingWrite) {
        let arrives_at = self.now + 2.0 + self.rng.f64() * 10.0;
        self.trace.postponed(self.now, arrives_at, &write.action);
        self.count_fault(Fault::LateWrite);
        let action = write.action.clone();
        self.writes.push(PendingWrite {
            arrives_at,
            is_late: true,
            ..write
        });
        self.apply_action(leader, action, Outcome::NotApplied);
    }

    /// Draws the outcome of a request. The request is not applied if the store is unreachable or
    /// the expected version outdated; 3 % of all others are not applied either. The response to 2 %
    /// of the applied requests is lost.
    fn draw_outcome(&mut self, is_reachable: bool, write: &PendingWrite) -> Outcome {
        let took_effect = is_reachable && self.rng.u32(0..100) >= 3 && self.version_matches(write);
        if !took_effect {
            Outcome::NotApplied
        } else if self.rng.u32(0..100) >= 2 {
            Outcome::Confirmed
        } else {
            Outcome::ResponseLost
        }
    }

    /// Records the leader's controller as the writer of a job's terminal record, so that it keeps
    /// the record across reloads.
    fn record_end_writer(&mut self, leading: usize, action: &Action) {
        let Action::FinishJob { job } = action else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(job).filter(|job| job.is_open()) {
            job.terminal_written_by = Some(leading);
        }
    }

    /// Applies a postponed write to the store only. Its leader has long treated it as failed and
    /// gets no result.
    fn apply_late(&mut self, leader: &Leader, write: PendingWrite) {
        if self.now < self.store_down_until || !self.version_matches(&write) {
            return self.reject_write(&write);
        }
        self.bump_version(&write.action);
        let mut detached_leader = Leader::new(
            "nobody",
            self.config.clone(),
            0,
            leader.token(),
            4.0,
            vec![],
            &BTreeMap::new(),
            0,
            self.now,
        );
        self.apply_action(&mut detached_leader, write.action, Outcome::ResponseLost);
    }

    /// Returns whether the key of a write still has the expected version.
    fn version_matches(&self, write: &PendingWrite) -> bool {
        let Some(key) = written_key(&write.action) else {
            return true;
        };
        let version = self.versions.get(&key).copied().unwrap_or(0);
        self.defect == Defect::IgnoreVersions || version == write.expected_version
    }

    fn bump_version(&mut self, action: &Action) {
        if let Some(key) = written_key(action) {
            *self.versions.entry(key).or_default() += 1;
        }
    }

    /// Lets the leader know the current version of the key that its action writes.
    fn update_known_version(&mut self, action: &Action) {
        if let Some(key) = written_key(action) {
            let version = self.versions.get(&key).copied().unwrap_or(0);
            self.leader_known_versions.insert(key, version);
        }
    }
}
