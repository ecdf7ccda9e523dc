//! Placement of tasks on machines: immediate starts, and reservations for gangs.

use super::machine::{MachineIdentity, OwnedMachine};
use super::pending_starts::StartGroup;
use super::reservations::Reservation;
use super::{JobLookup, Owner};
use crate::capacity_index::{IndexedMachine, MachineFit};
use crate::placement::Resources;
use crate::ranges::{expand_runs, to_runs};
use crate::Secs;
use std::cmp::Reverse;
use wire::peers::{TaskRequirements, ToLeader};

/// Number of steps per heartbeat interval in which the time since the last response to a machine is
/// measured when it breaks ties between machines.
const RESPONSE_AGE_STEPS: f64 = 4.0;

impl Owner {
    /// Starts tasks of an array, given as (first, count) runs, on the machines that suit them best.
    /// Hands the tasks that do not fit back to the leader.
    pub(super) fn assign(
        &mut self,
        job: String,
        attempt: u64,
        requirements: &TaskRequirements,
        tasks: &[(u32, u32)],
        now: Secs,
        jobs: &dyn JobLookup,
    ) {
        self.assigned.record(&job, requirements);
        self.refresh_index(jobs);
        let group = StartGroup {
            job: &job,
            attempt,
            resources: Resources::of(requirements),
            image: &requirements.image,
        };
        let mut indexes = expand_runs(tasks).peekable();
        for fit in self.ranked_machines(requirements, now) {
            if indexes.peek().is_none() {
                break;
            }
            let Some(machine) = self.machines.get_mut(&fit.name) else {
                continue;
            };
            let started = machine.add_starts(&group, indexes.by_ref().take(fit.slots as usize));
            self.index
                .allocate(&fit.name, group.resources, started, group.image);
            self.dirty_machines.insert(fit.name.to_string());
        }
        let unplaced = to_runs(indexes);
        if !unplaced.is_empty() {
            self.outbox.hand_back(job, attempt, unplaced);
        }
    }

    /// Returns the machines on which a task fits, the best first. A start is sent in the response
    /// to a heartbeat, so if machines suit equally well apart from the CPUs that would remain free,
    /// the machine whose next heartbeat is expected first is preferred.
    fn ranked_machines(&self, requirements: &TaskRequirements, now: Secs) -> Vec<MachineFit> {
        let step_s = self.config.heartbeat_s / RESPONSE_AGE_STEPS;
        let response_age = |name: &str| {
            self.machines.get(name).map_or(0, |machine| {
                ((now - machine.last_response_at()) / step_s).clamp(0.0, RESPONSE_AGE_STEPS) as u32
            })
        };
        let mut fits = self.index.fits(requirements);
        fits.sort_by_cached_key(|fit| {
            let rank = fit.rank;
            (
                rank.needs_slow_fetch,
                rank.tier,
                rank.is_empty,
                rank.needs_fetch,
                Reverse(response_age(&fit.name)),
                rank.remaining_millicpus,
                fit.name.clone(),
            )
        });
        fits
    }

    /// Reserves all places of a reservation, or none of them. Returns whether they were reserved. A
    /// reservation covers only the part of its gang that is placed on this shard.
    pub(super) fn reserve(
        &mut self,
        attempt: u64,
        requirements: &TaskRequirements,
        reservation: Reservation,
        jobs: &dyn JobLookup,
    ) -> bool {
        let fits = |name: &str, count: u32| {
            let machine = self.machines.get(name).filter(|m| m.is_schedulable());
            let free = machine.and_then(|machine| self.free_resources(name, machine, jobs));
            free.is_some_and(|free| free.count_fitting(reservation.resources) >= count)
        };
        let mut places = reservation.places.iter();
        if !places.all(|place| fits(&place.machine, place.count)) {
            return false;
        }
        self.dirty_machines.extend(reservation.machines().cloned());
        self.assigned.record(&reservation.job, requirements);
        self.reservations.insert(attempt, reservation);
        true
    }

    /// Starts the tasks of a reservation, or tells the leader that it is no longer valid.
    pub(super) fn bind(&mut self, attempt: u64, now: Secs) {
        let reservation = self.remove_reservation(attempt);
        // A machine lost while it was reserved would never start the task, nor report it as gone.
        let is_schedulable = |name: &String| {
            self.machines
                .get(name)
                .is_some_and(OwnedMachine::is_schedulable)
        };
        let is_valid =
            |held: &Reservation| now < held.expires_at && held.machines().all(is_schedulable);
        match reservation.filter(is_valid) {
            Some(reservation) => self.start_reserved(attempt, &reservation),
            None => self.outbox.push(ToLeader::ReserveResult {
                attempt,
                reserved: false,
            }),
        }
    }

    fn start_reserved(&mut self, attempt: u64, reservation: &Reservation) {
        let group = StartGroup {
            job: &reservation.job,
            attempt,
            resources: reservation.resources,
            image: &reservation.image,
        };
        for place in &reservation.places {
            if let Some(machine) = self.machines.get_mut(&place.machine) {
                let end = place.first_index + place.count;
                machine.add_starts(&group, place.first_index..end);
            }
        }
    }

    /// Removes a reservation and returns it.
    pub(super) fn remove_reservation(&mut self, attempt: u64) -> Option<Reservation> {
        let reservation = self.reservations.remove(attempt)?;
        self.dirty_machines.extend(reservation.machines().cloned());
        Some(reservation)
    }

    /// Returns the free resources of a machine, or `None` while its machine type or the resources
    /// of a task on it are not known.
    pub(super) fn free_resources(
        &self,
        name: &str,
        machine: &OwnedMachine,
        jobs: &dyn JobLookup,
    ) -> Option<Resources> {
        let kind = &machine.identity().kind;
        let mut free = self.types.get(kind).map(Resources::of_type)?;
        for task in machine.live_tasks() {
            free.sub(self.resources(&task.job, jobs)?);
        }
        for resources in machine.pending().resources() {
            free.sub(resources);
        }
        self.reservations.subtract_from(&mut free, name);
        Some(free)
    }

    /// Updates the index entries of the machines that changed since the last refresh.
    fn refresh_index(&mut self, jobs: &dyn JobLookup) {
        for name in std::mem::take(&mut self.dirty_machines) {
            let schedulable = self.machines.get(&name).filter(|m| m.is_schedulable());
            let indexable =
                schedulable.and_then(|m| Some((m, self.types.get(&m.identity().kind)?)));
            let Some((machine, machine_type)) = indexable else {
                self.index.remove(&name);
                continue;
            };
            let free = self.free_resources(&name, machine, jobs);
            let entry = self.indexed_machine(machine, free.unwrap_or_default(), jobs);
            let MachineIdentity { zone, spot, .. } = machine.identity();
            self.index.upsert(
                &name,
                machine_type,
                zone,
                *spot,
                self.config.guarantee_s,
                entry,
            );
            if free.is_none() {
                // The resources of a job on the machine are not known yet; retry at the next
                // refresh.
                self.dirty_machines.insert(name);
            }
        }
    }

    fn indexed_machine(
        &self,
        machine: &OwnedMachine,
        free: Resources,
        jobs: &dyn JobLookup,
    ) -> IndexedMachine {
        let mut images: Vec<String> = machine.images().cloned().collect();
        for image in machine
            .reported_tasks()
            .filter_map(|task| self.image(&task.job, jobs))
        {
            if !images.contains(&image) {
                images.push(image);
            }
        }
        IndexedMachine {
            owner: String::new(),
            free,
            images,
            empty: machine.is_empty(),
        }
    }

    /// Returns the resources that a task of a job takes, from this controller's replica or else
    /// from the leader's assignments.
    fn resources(&self, job: &str, jobs: &dyn JobLookup) -> Option<Resources> {
        jobs.resources(job).or_else(|| self.assigned.resources(job))
    }

    fn image(&self, job: &str, jobs: &dyn JobLookup) -> Option<String> {
        let assigned = || self.assigned.image(job).map(str::to_string);
        jobs.image(job).or_else(assigned)
    }

    /// Forgets assigned jobs without a task on a machine, in a pending start, in a reservation or
    /// in the backlog.
    pub(super) fn forget_unused_jobs(&mut self) {
        let tasks = self
            .machines
            .iter()
            .flat_map(|(_, machine)| machine.reported_tasks().chain(machine.pending().tasks()));
        let in_use = tasks
            .map(|task| task.job.as_str())
            .chain(self.reservations.jobs())
            .chain(self.backlog.jobs());
        self.assigned.retain_in_use(&in_use.collect());
    }
}
