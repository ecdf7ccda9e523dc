//! Resources reserved for gangs. All tasks of a gang need a place before any of them may start.

use crate::placement::Resources;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::TaskRequirements;

/// Consecutive tasks of a gang that are placed on one machine.
pub(super) struct ReservedPlace {
    pub(super) machine: String,
    pub(super) first_index: u32,
    pub(super) count: u32,
}

/// Resources on machines that are held for a gang until `Owner::bind` starts its tasks, or until
/// `expires_at`.
pub(super) struct Reservation {
    pub(super) job: String,
    /// Resources that one task takes.
    pub(super) resources: Resources,
    pub(super) image: String,
    pub(super) places: Vec<ReservedPlace>,
    pub(super) expires_at: Secs,
}

impl Reservation {
    /// Creates a reservation for places given as (machine, first index, count), as in the leader's
    /// message.
    pub(super) fn new(
        job: String,
        requirements: &TaskRequirements,
        places: Vec<(String, u32, u32)>,
        expires_at: Secs,
    ) -> Reservation {
        let place = |(machine, first_index, count)| ReservedPlace {
            machine,
            first_index,
            count,
        };
        Reservation {
            job,
            resources: Resources::of(requirements),
            image: requirements.image.clone(),
            places: places.into_iter().map(place).collect(),
            expires_at,
        }
    }

    /// Iterates over the names of its machines.
    pub(super) fn machines(&self) -> impl Iterator<Item = &String> {
        self.places.iter().map(|place| &place.machine)
    }
}

/// Reservations by the attempt of their gang.
///
/// Invariant: the resources of a reservation are not given to other tasks until the reservation is
/// removed.
#[derive(Default)]
pub(super) struct Reservations {
    by_attempt: BTreeMap<u64, Reservation>,
}

impl Reservations {
    pub(super) fn insert(&mut self, attempt: u64, reservation: Reservation) {
        self.by_attempt.insert(attempt, reservation);
    }

    pub(super) fn remove(&mut self, attempt: u64) -> Option<Reservation> {
        self.by_attempt.remove(&attempt)
    }

    pub(super) fn clear(&mut self) {
        self.by_attempt.clear();
    }

    /// Iterates over the jobs that hold a reservation.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &str> {
        self.by_attempt.values().map(|held| held.job.as_str())
    }

    /// Subtracts the resources reserved on a machine from its free resources.
    pub(super) fn subtract_from(&self, free: &mut Resources, machine: &str) {
        for reservation in self.by_attempt.values() {
            for place in &reservation.places {
                if place.machine == machine {
                    free.sub(reservation.resources.scaled(place.count));
                }
            }
        }
    }

    /// Removes the expired reservations, and adds the names of their machines to `released`.
    pub(super) fn expire(&mut self, now: Secs, released: &mut impl Extend<String>) {
        self.by_attempt.retain(|_, reservation| {
            let keep = now < reservation.expires_at;
            if !keep {
                released.extend(reservation.machines().cloned());
            }
            keep
        });
    }
}
