//! What users are told of cancellations: each controller that knows of one tells them as soon as it may,
//! and from then on no task of the job may start.

use super::*;

impl World {
    /// Lets every running controller that knows of a cancellation tell the users of it, or ask the
    /// leader to confirm it if it may not tell them yet.
    pub(super) fn report_cancellations(&mut self) {
        let unreported: Vec<(String, f64, u64)> = self.unreported_cancellations();
        for (id, recorded_at, revision) in unreported {
            for i in 0..self.controllers.len() {
                if self.knows_cancellation(i, &id, recorded_at) {
                    self.report_cancellation(i, &id, revision);
                }
            }
        }
    }

    /// Returns the cancelled jobs of which no user has been told, each with the time and the revision
    /// of the record.
    fn unreported_cancellations(&self) -> Vec<(String, f64, u64)> {
        let unreported = self.jobs.iter().filter_map(|(id, job)| {
            let recorded_at = job.record_terminal_at.filter(|_| job.cancelled)?;
            let is_reported = job.reported_cancelled_at.is_some();
            (!is_reported).then(|| (id.clone(), recorded_at, job.cancelled_revision))
        });
        unreported.collect()
    }

    fn knows_cancellation(&self, i: usize, id: &str, recorded_at: f64) -> bool {
        let has_written = self.jobs[id].terminal_written_by == Some(i);
        let has_read = self.controllers[i].read_at >= recorded_at;
        let is_running = self.now >= self.controllers[i].down_until && !self.is_frozen(i);
        is_running && (has_written || has_read)
    }

    fn report_cancellation(&mut self, i: usize, id: &str, revision: u64) {
        let now = self.now;
        let gate = &self.controllers[i].cancellations;
        let may_report = gate.remaining_s(id, revision, now) <= 0.0;
        if may_report || self.defect == Defect::ReportUnconfirmedCancellations {
            if let Some(job) = self.jobs.get_mut(id) {
                job.reported_cancelled_at.get_or_insert(now);
            }
        } else if self.cancel_hints && self.defect != Defect::IgnoreCancel {
            self.ask_leader_to_confirm(i, id);
        }
    }

    fn ask_leader_to_confirm(&mut self, i: usize, id: &str) {
        let now = self.now;
        match &mut self.leading {
            Some(leading) if leading.controller == i => {
                leading
                    .leader
                    .confirm_cancellation(id, &controller_name(i), now);
            }
            _ if self.controllers[i].joined => {
                if !self.controllers[i].asked_to_confirm.insert(id.into()) {
                    return;
                }
                let to_leader = &mut self.controllers[i].to_leader;
                let arrives_at = to_leader.arrival(now + 0.05);
                let message = ToLeader::Cancelled { job: id.into() };
                self.trace.sent_to_leader(now, i, arrives_at, &message);
                to_leader.send(arrives_at, message);
            }
            _ => {}
        }
    }

    /// Sends the leader's confirmation to the controller that asked for it, if the leader has
    /// authority.
    pub(super) fn confirm_cancellations(
        &mut self,
        leading: usize,
        requester: &str,
        jobs: Vec<String>,
    ) {
        let now = self.now;
        if now >= self.controllers[leading].owner.authority.until() {
            return;
        }
        let to = controller_index(requester);
        if to == leading {
            self.controllers[to].on_cancellations_confirmed(&jobs, now);
        } else {
            self.send_to_owner(leading, to, ToOwner::CancellationsConfirmed { jobs });
        }
    }

    /// Checks that a task is not started by a response to a heartbeat that was sent after a user was
    /// told that the job is cancelled.
    pub(super) fn check_not_reported_cancelled(&mut self, job: &str, heartbeat_sent_at: f64) {
        let job = self.jobs.get(job);
        let reported_at = job.and_then(|job| job.reported_cancelled_at);
        if reported_at.is_some_and(|at| heartbeat_sent_at > at) {
            self.record_violation("started_after_report");
        }
    }
}
