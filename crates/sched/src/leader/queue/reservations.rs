//! Gang reservations, a two-phase start: once all owners have reserved their part, the binding is
//! written, and once that is durable all tasks start. If any part fails, the whole reservation is
//! cancelled.

use super::gangs::GangPlacement;
use super::jitter_factor;
use crate::leader::{Action, GangPhase, Leader, RequeueReason, TaskLocation};
use crate::Secs;
use std::collections::BTreeSet;
use wire::peers::ToOwner;

/// The reservation time divided by this number is a gang's base backoff, before doubling.
const BACKOFF_BASE_DIVISOR: f64 = 20.0;

/// Upper limit on how often a gang's backoff doubles with consecutive failures.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Leader {
    /// Handles an owner's reply to a reservation request: the owner has either reserved its part of
    /// a gang's capacity or refused to.
    pub(crate) fn on_reserve_result(
        &mut self,
        from: &str,
        attempt: u64,
        reserved: bool,
        now: Secs,
    ) {
        let Some(id) = self.gang_of_attempt(attempt) else {
            return;
        };
        if reserved {
            self.on_reservation_confirmed(&id, attempt, from);
        } else {
            self.on_reservation_refused(&id, from, now);
        }
    }

    /// Returns the gang whose current attempt has this number; `None` if there is no such gang.
    fn gang_of_attempt(&self, attempt: u64) -> Option<String> {
        let (id, _) = self.cluster.jobs.iter().find(|(_, job)| match &job.phase {
            GangPhase::Reserving {
                attempt: current, ..
            }
            | GangPhase::Binding {
                attempt: current, ..
            }
            | GangPhase::Running { attempt: current } => *current == attempt,
            // The gang is ending because another owner refused its part earlier.
            GangPhase::Ending => job.active.values().any(|task| task.attempt == attempt),
            GangPhase::Idle => false,
        })?;
        Some(id.clone())
    }

    /// Handles one owner's confirmation; after the last one, requests the write of the binding.
    fn on_reservation_confirmed(&mut self, id: &str, attempt: u64, from: &str) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let GangPhase::Reserving {
            waiting,
            until,
            places,
            ..
        } = &mut job.phase
        else {
            return;
        };
        waiting.remove(from);
        if !waiting.is_empty() {
            return;
        }
        let (until, places) = (*until, std::mem::take(places));
        job.phase = GangPhase::Binding {
            attempt,
            until,
            places: places.clone(),
        };
        self.actions.push(Action::Bind {
            job: id.into(),
            attempt,
            places,
        });
    }

    /// Cancels the reservation of a gang after an owner's refusal; if the gang has started in the
    /// meantime, requeues the tasks that were assigned to that owner.
    fn on_reservation_refused(&mut self, id: &str, from: &str, now: Secs) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        match &job.phase {
            GangPhase::Reserving { .. } | GangPhase::Binding { .. } => {
                log::info!("event=reservation_refused job={id} owner={from}");
                self.cancel_reservation(id, now, true);
            }
            GangPhase::Running { .. } | GangPhase::Ending => {
                // The owner dropped its reservation before the binding arrived, so the gang has to
                // start over.
                let lost_tasks: Vec<u32> = job
                    .active
                    .iter()
                    .filter(|(_, task)| task.location.unreported_owner() == Some(from))
                    .map(|(index, _)| *index)
                    .collect();
                for index in lost_tasks {
                    self.requeue_task(id, index, RequeueReason::ReservationRefused);
                }
            }
            GangPhase::Idle => {}
        }
    }

    /// Handles the outcome of a binding's write: starts the gang if the binding is durable and its
    /// reservation still stands, and cancels the reservation otherwise.
    pub fn on_bind_result(&mut self, id: &str, attempt: u64, written: bool, now: Secs) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let GangPhase::Binding {
            attempt: bound_attempt,
            until,
            places,
        } = &job.phase
        else {
            return;
        };
        if *bound_attempt != attempt {
            return;
        }
        // A machine that has been returned to the cloud in the meantime has lost its reservation.
        let all_present = places
            .iter()
            .all(|(machine, _, _)| self.cluster.machines.contains_key(machine));
        if !written || !all_present || now >= *until {
            self.cancel_reservation(id, now, true);
            return;
        }
        let placements: Vec<GangPlacement> = places.iter().map(GangPlacement::from).collect();
        self.start_gang(id, attempt, placements, now);
    }

    /// Starts all tasks of a gang whose binding is durable.
    fn start_gang(&mut self, id: &str, attempt: u64, placements: Vec<GangPlacement>, now: Secs) {
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.phase = GangPhase::Running { attempt };
            job.failures = 0;
        }
        let mut owners = BTreeSet::new();
        for placement in placements {
            let Some(owner) = self.release_machine_reservation(&placement.machine, attempt) else {
                continue;
            };
            for index in placement.first_task..placement.first_task + placement.tasks {
                let location = TaskLocation::Bound {
                    owner: owner.clone(),
                    machine: placement.machine.clone(),
                };
                self.assign_task(id, index, attempt, location, now);
            }
            owners.insert(owner);
        }
        log::info!("event=bound job={id} attempt={attempt}");
        for owner in owners {
            self.actions
                .push(Action::Send(owner, ToOwner::Bind { attempt }));
        }
    }

    /// Returns a gang to the idle phase and releases what it has reserved. After a failure the gang
    /// backs off, exponentially longer with each failure in a row, and keeps its place in the
    /// queue.
    pub(crate) fn cancel_reservation(&mut self, id: &str, now: Secs, failed: bool) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let phase = std::mem::replace(&mut job.phase, GangPhase::Idle);
        if failed {
            job.failures += 1;
            let doublings = job.failures.min(MAX_BACKOFF_DOUBLINGS);
            let wait_s = self.cluster.config.reservation_s / BACKOFF_BASE_DIVISOR
                * f64::from(1u32 << doublings)
                * jitter_factor(&mut self.rng);
            job.backoff_until = now + wait_s;
        }
        self.release_reservation(&phase);
    }

    /// Releases the capacity reserved for a gang in the given phase, if any, in the leader's view
    /// of the machines and at their owners.
    pub(crate) fn release_reservation(&mut self, phase: &GangPhase) {
        let (GangPhase::Reserving {
            attempt, places, ..
        }
        | GangPhase::Binding {
            attempt, places, ..
        }) = phase
        else {
            return;
        };
        let owners: BTreeSet<String> = places
            .iter()
            .filter_map(|(machine, _, _)| self.release_machine_reservation(machine, *attempt))
            .collect();
        for owner in owners {
            self.actions.push(Action::Send(
                owner,
                ToOwner::ReleaseReservation { attempt: *attempt },
            ));
        }
        self.request_pass();
    }

    /// Releases the capacity that an attempt has reserved on a machine, and returns the machine's
    /// owner; `None` if the machine is gone.
    fn release_machine_reservation(&mut self, machine: &str, attempt: u64) -> Option<String> {
        let state = self.cluster.machines.get_mut(machine)?;
        state.reserved.remove(&attempt);
        let owner = state.owner.clone();
        self.cluster.machines.mark_dirty(machine);
        Some(owner)
    }
}
