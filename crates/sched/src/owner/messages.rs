//! Processing of the leader's messages to an owner.

use super::backlog::BacklogEntry;
use super::epoch::OwnerEpoch;
use super::reservations::Reservation;
use super::{JobLookup, Owner};
use crate::ranges::expand_runs;
use crate::Secs;
use wire::cloud::MachineType;
use wire::peers::{ToLeader, ToOwner};

impl Owner {
    /// Processes a message of the leader. Ignores grants, view ages, running counts and confirmed
    /// cancellations, which the caller handles.
    pub fn on_leader_message(&mut self, message: ToOwner, now: Secs, jobs: &dyn JobLookup) {
        self.outbox.mark_statuses_due();
        match message {
            ToOwner::Epoch {
                token,
                previous_token,
                members,
                extra_ms,
                machines,
            } => {
                let epoch = OwnerEpoch::new(token, members, after_ms(now, extra_ms));
                self.start_epoch(epoch, previous_token, machines);
            }
            ToOwner::Catalog { types } => self.set_catalog(types),
            ToOwner::SetUsable { machine, usable } => self.set_usable(machine, usable),
            ToOwner::Stop {
                machine,
                task,
                grace_s,
            } => {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.add_stop(task, grace_s);
                }
            }
            ToOwner::Clear { machine, task } => {
                if let Some(machine) = self.machines.get_mut(&machine) {
                    machine.add_clear(task);
                }
            }
            ToOwner::TerminalJobs { jobs } => self.mark_terminal(jobs, now),
            ToOwner::ConfirmTerminal { n } => {
                self.outbox.push(ToLeader::TerminalConfirmed { n });
            }
            ToOwner::Bind { attempt } => self.bind(attempt, now),
            ToOwner::ReleaseReservation { attempt } => {
                self.remove_reservation(attempt);
            }
            ToOwner::Assign { .. } | ToOwner::AssignBacklog { .. } | ToOwner::Reserve { .. } => {
                self.on_placement_message(message, now, jobs);
            }
            ToOwner::Grant { .. }
            | ToOwner::ViewAge { .. }
            | ToOwner::RunningCounts { .. }
            | ToOwner::CancellationsConfirmed { .. } => {}
        }
    }

    /// Processes a message with tasks to assign, to queue in the backlog or to reserve resources
    /// for; ignores all others.
    fn on_placement_message(&mut self, message: ToOwner, now: Secs, jobs: &dyn JobLookup) {
        match message {
            ToOwner::Assign {
                job,
                attempt,
                requirements,
                tasks,
            } => self.assign(job, attempt, &requirements, &tasks, now, jobs),
            ToOwner::AssignBacklog {
                job,
                attempt,
                requirements,
                tasks,
                wait_ms,
            } => {
                self.assigned.record(&job, &requirements);
                self.backlog.push(BacklogEntry {
                    job,
                    attempt,
                    requirements,
                    indexes: expand_runs(&tasks).collect(),
                    expires_at: after_ms(now, wait_ms),
                });
            }
            ToOwner::Reserve {
                job,
                attempt,
                requirements,
                places,
                wait_ms,
            } => {
                let expires_at = after_ms(now, wait_ms);
                let reservation = Reservation::new(job, &requirements, places, expires_at);
                let reserved = self.reserve(attempt, &requirements, reservation, jobs);
                self.outbox
                    .push(ToLeader::ReserveResult { attempt, reserved });
            }
            _ => {}
        }
    }

    fn set_catalog(&mut self, types: Vec<MachineType>) {
        self.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
        self.index.clear();
        self.dirty_machines.extend(self.machines.names().cloned());
    }

    fn set_usable(&mut self, name: String, usable: bool) {
        if let Some(machine) = self.machines.get_mut(&name) {
            machine.set_usable(usable);
            machine.mark_dirty();
            self.dirty_machines.insert(name);
        }
    }

    fn mark_terminal(&mut self, jobs: Vec<String>, now: Secs) {
        for job in jobs {
            self.backlog.hand_back_job(&job, &mut self.outbox);
            self.terminal_jobs.insert(job, now);
        }
    }
}

/// Returns the instant `wait_ms` milliseconds after `now`.
fn after_ms(now: Secs, wait_ms: u64) -> Secs {
    now + wait_ms as f64 / 1000.0
}
