//! The effects of a leader's requests on the store and the cloud, and the results the leader sees.

use super::*;

/// Whether a leader's request was applied by the store or the cloud, and whether the leader gets
/// the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The request was applied, and the leader gets the response.
    Confirmed,
    /// The request was applied, but the response is lost.
    ResponseLost,
    /// The request was not applied, or not yet.
    NotApplied,
}

impl Outcome {
    pub(super) fn took_effect(self) -> bool {
        self != Outcome::NotApplied
    }

    /// Returns the outcome of a release request as the leader sees it. During an outage the cloud
    /// refuses requests.
    fn of_release(self, cloud_is_down: bool) -> ReleaseOutcome {
        match self {
            Outcome::Confirmed => ReleaseOutcome::Released,
            Outcome::NotApplied if cloud_is_down => ReleaseOutcome::Refused,
            Outcome::ResponseLost | Outcome::NotApplied => ReleaseOutcome::Unknown,
        }
    }

    pub(super) fn is_confirmed(self) -> bool {
        self == Outcome::Confirmed
    }
}

/// Decodes a hexadecimal bitmap of completed tasks. Its first bit stands for `first_task`.
fn decode_progress_page(first_task: u32, bits: &str) -> RangeSet {
    let byte = |i: usize| u8::from_str_radix(&bits[i * 2..i * 2 + 2], 16).ok();
    let bytes: Vec<u8> = (0..bits.len() / 2).filter_map(byte).collect();
    let mut tasks = RangeSet::default();
    tasks.insert_bitmap(first_task, &bytes, u32::MAX);
    tasks
}

impl World {
    /// Applies an action unless its outcome is `NotApplied`, and tells the leader whether the
    /// action was confirmed or its outcome is unknown.
    pub(super) fn apply_action(&mut self, leader: &mut Leader, action: Action, outcome: Outcome) {
        let now = self.now;
        self.trace.carried_out(now, &action, outcome);
        match action {
            Action::IssueToken => {
                self.term += u64::from(outcome.took_effect());
                leader.on_token_result(outcome.is_confirmed().then_some(self.term), now);
            }
            Action::UpdateRoster(machine, record) => {
                let is_put = record.is_some();
                self.write_roster(&machine, record, outcome);
                leader.on_roster_result(&machine, is_put, outcome.is_confirmed());
            }
            Action::RecordProgress {
                job,
                first_task,
                bits,
            } => {
                let written = decode_progress_page(first_task, &bits);
                self.write_progress(&job, &written, outcome);
                let written = outcome.is_confirmed().then_some(&written);
                leader.on_progress_result(&job, first_task, written);
            }
            Action::FinishJob { job } => {
                let is_written = self.write_job_done(&job, outcome);
                leader.on_finish_result(&job, is_written);
            }
            Action::RecordStartedArrays(record) => {
                self.write_started_arrays(&record, outcome);
                leader.on_start_record_result(&record, outcome.is_confirmed());
            }
            Action::Bind {
                job,
                attempt,
                places,
            } => {
                self.write_binding(&job, places, outcome);
                leader.on_bind_result(&job, attempt, outcome.is_confirmed(), now);
            }
            Action::Provision(request) => {
                let machines = outcome.took_effect().then(|| self.provision(&request));
                let machines = machines.filter(|_| outcome.is_confirmed());
                leader.on_provision_result(&request.name, machines, now);
            }
            Action::Deprovision(machines) => {
                if outcome.took_effect() {
                    self.deprovision(&machines);
                }
                let cloud_is_down = now < self.cloud_down_until;
                self.report_release(leader, &machines, outcome.of_release(cloud_is_down));
            }
            Action::Send(..) | Action::ConfirmCancellations { .. } => {}
        }
        self.finish_half_done();
    }

    fn write_roster(&mut self, machine: &str, record: Option<RosterRecord>, outcome: Outcome) {
        if !outcome.took_effect() {
            return;
        }
        match record {
            Some(record) => self.roster.insert(machine.to_string(), record),
            None => self.roster.remove(machine),
        };
    }

    fn write_progress(&mut self, job: &str, written: &RangeSet, outcome: Outcome) {
        let job = self.jobs.get_mut(job);
        if let Some(job) = job.filter(|_| outcome.took_effect()) {
            for index in written.iter() {
                job.done.insert(index);
            }
        }
    }

    /// Records a job as done if the request is applied and the job is still open. Returns whether
    /// it was recorded.
    fn write_job_done(&mut self, job: &str, outcome: Outcome) -> bool {
        let is_open = self.jobs.get(job).is_some_and(JobState::is_open);
        let is_written = outcome.took_effect() && is_open;
        if is_written {
            self.record_done(job);
        }
        is_written
    }

    fn write_started_arrays(&mut self, record: &StartedArraysRecord, outcome: Outcome) {
        if !outcome.took_effect() {
            return;
        }
        let is_array = |job: &&mut JobState| job.spec.shape != Shape::Gang;
        for job in self.jobs.values_mut().filter(is_array) {
            job.prior_runs = if record.covers(job.revision) {
                PriorRuns::Anywhere
            } else {
                PriorRuns::None
            };
        }
        self.started_upto = self.started_upto.max(record.upto);
    }

    fn write_binding(&mut self, job: &str, places: Vec<(String, u32, u32)>, outcome: Outcome) {
        let job = self.jobs.get_mut(job);
        if let Some(job) = job.filter(|_| outcome.took_effect()) {
            let machines = places.into_iter().map(|(machine, _, _)| machine);
            job.prior_runs = PriorRuns::Bound(machines.collect());
        }
    }

    /// If the defect `FinishAtHalf` or `FinishAtHalfUnseen` is injected, records every open job as
    /// done once at least half of its tasks are done.
    fn finish_half_done(&mut self) {
        if !matches!(
            self.defect,
            Defect::FinishAtHalf | Defect::FinishAtHalfUnseen
        ) {
            return;
        }
        let is_half_done = |job: &JobState| job.is_open() && job.done.len() * 2 >= job.spec.tasks;
        let half_done = self.jobs.iter().filter(|(_, job)| is_half_done(job));
        let half_done: Vec<String> = half_done.map(|(id, _)| id.clone()).collect();
        for id in half_done {
            self.record_done(&id);
        }
    }
}
