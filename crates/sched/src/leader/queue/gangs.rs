//! Gang placement: the leader finds capacity for the whole gang in its view of the cluster before
//! it asks the owners to reserve it.

use super::pass::Pass;
use super::{jitter_factor, MS_PER_S};
use crate::capacity_index::MachineFit;
use crate::leader::{Action, GangPhase, Job, Leader};
use crate::placement::Resources;
use crate::Secs;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{TaskRequirements, ToOwner};

/// Consecutive tasks of a gang that are placed on one machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct GangPlacement {
    /// The machine's name.
    pub(super) machine: String,
    /// Index of the first task.
    pub(super) first_task: u32,
    /// Number of tasks.
    pub(super) tasks: u32,
}

// Messages, stored records and `GangPhase` represent placements as tuples.
impl From<GangPlacement> for (String, u32, u32) {
    fn from(placement: GangPlacement) -> (String, u32, u32) {
        (placement.machine, placement.first_task, placement.tasks)
    }
}

impl From<&(String, u32, u32)> for GangPlacement {
    fn from((machine, first_task, tasks): &(String, u32, u32)) -> GangPlacement {
        GangPlacement {
            machine: machine.clone(),
            first_task: *first_task,
            tasks: *tasks,
        }
    }
}

/// The number of a gang's tasks that are to run on one machine.
struct MachineShare {
    machine: Rc<str>,
    tasks: u32,
}

/// A placement and the owner of its machine.
struct OwnedPlacement {
    owner: String,
    placement: GangPlacement,
}

impl Leader {
    /// Finds capacity for a whole gang and requests its reservation; a gang that finds none is
    /// recorded as unmet demand.
    pub(super) fn place_gang(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        admitted: u32,
        pass: &mut Pass,
    ) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        if !may_seek_capacity(job, admitted) {
            return;
        }
        let tasks = job.spec.tasks;
        let Some(shares) = self.fit_gang(job, requirements, pass.cordon_applying_to(id)) else {
            self.record_unplaced(id, tasks, pass.now);
            return;
        };
        pass.charge(&job.spec.team, job.resources(), tasks);
        let attempt = self.next_attempt();
        let placements = self.take_gang_capacity(attempt, requirements, shares);
        self.request_reservations(id, attempt, requirements, placements, pass.now);
    }

    /// Chooses machines for all tasks of a gang. A gang that must run in one zone gets the first
    /// zone, by name, that has capacity for all tasks. `None` if the gang does not fit as a whole.
    fn fit_gang(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
        cordon: Option<&TaskRequirements>,
    ) -> Option<Vec<MachineShare>> {
        self.zones_to_try(job, requirements)
            .into_iter()
            .find_map(|zone| {
                let requirements = TaskRequirements {
                    zone,
                    ..requirements.clone()
                };
                let fits = self
                    .cluster
                    .machines
                    .index()
                    .fits_outside_cordon(&requirements, cordon);
                distribute_tasks(fits, job.spec.tasks, max_tasks_per_zone(job))
            })
    }

    /// Returns the zones to try for a gang, in order; the entry `None` stands for all zones
    /// together.
    fn zones_to_try(&self, job: &Job, requirements: &TaskRequirements) -> Vec<Option<String>> {
        if requirements.zone.is_some() || !job.spec.one_zone {
            return vec![requirements.zone.clone()];
        }
        let zones = self.cluster.machines.index().zones();
        zones.iter().map(|zone| Some(zone.to_string())).collect()
    }

    /// Takes a gang's capacity out of the leader's view of the cluster, and assigns consecutive
    /// task indexes to each machine.
    fn take_gang_capacity(
        &mut self,
        attempt: u64,
        requirements: &TaskRequirements,
        shares: Vec<MachineShare>,
    ) -> Vec<OwnedPlacement> {
        let resources = Resources::of(requirements);
        let mut placements = Vec::new();
        let mut first_task = 0;
        for MachineShare { machine, tasks } in shares {
            let Some(owner) = self
                .cluster
                .machines
                .index()
                .get(&machine)
                .map(|m| m.owner.clone())
            else {
                continue;
            };
            self.take_capacity(&machine, requirements, tasks);
            let machine = machine.to_string();
            if let Some(state) = self.cluster.machines.get_mut(&machine) {
                state.reserved.insert(attempt, resources.scaled(tasks));
            }
            placements.push(OwnedPlacement {
                owner,
                placement: GangPlacement {
                    machine,
                    first_task,
                    tasks,
                },
            });
            first_task += tasks;
        }
        placements
    }

    /// Asks the owners to reserve a gang's capacity for a limited time.
    fn request_reservations(
        &mut self,
        id: &str,
        attempt: u64,
        requirements: &TaskRequirements,
        placements: Vec<OwnedPlacement>,
        now: Secs,
    ) {
        // The jitter keeps reservations that are requested in one burst from expiring at the same
        // time.
        let wait_s = self.cluster.config.reservation_s * jitter_factor(&mut self.rng);
        log::info!(
            "event=reserve job={id} attempt={attempt} machines={} wait_s={wait_s:.1}",
            placements.len()
        );
        let by_owner = group_by_owner(&placements);
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.phase = GangPhase::Reserving {
                attempt,
                waiting: by_owner.keys().cloned().collect(),
                until: now + wait_s,
                places: placements
                    .into_iter()
                    .map(|owned| owned.placement.into())
                    .collect(),
            };
        }
        for (owner, placements) in by_owner {
            let message = ToOwner::Reserve {
                job: id.into(),
                attempt,
                requirements: requirements.clone(),
                places: placements.into_iter().map(Into::into).collect(),
                wait_ms: (wait_s * MS_PER_S) as u64,
            };
            self.actions.push(Action::Send(owner, message));
        }
    }
}

/// Returns whether the leader may look for capacity for a gang now. `admitted` is the number of the
/// gang's ready tasks that its team's quota admits.
fn may_seek_capacity(job: &Job, admitted: u32) -> bool {
    // All of the gang's tasks must be ready or active; a gang never starts with fewer.
    let is_whole = job.ready_tasks.len() + job.active.len() as u32 >= job.min_tasks();
    let is_idle = job.phase == GangPhase::Idle && job.active.is_empty();
    // A gang of several tasks that must be in one zone and also spread over zones can never be
    // placed, because no zone may hold all of its tasks. It waits until it is cancelled, and is not
    // recorded as unmet demand, so that no machines are provisioned for it.
    let zone_rules_conflict = job.spec.one_zone && max_tasks_per_zone(job) < job.spec.tasks;
    is_whole && is_idle && admitted >= job.spec.tasks && !zone_rules_conflict
}

/// Returns how many tasks of a gang one zone may hold: half of them, rounded up, if the gang is to
/// be spread over zones, otherwise all.
fn max_tasks_per_zone(job: &Job) -> u32 {
    if job.spec.spread {
        job.spec.tasks.div_ceil(2)
    } else {
        job.spec.tasks
    }
}

/// Distributes a gang's tasks over machines, best machine first, with at most `max_tasks_per_zone`
/// tasks in each zone; `None` if not all tasks fit.
fn distribute_tasks(
    fits: Vec<MachineFit>,
    tasks: u32,
    max_tasks_per_zone: u32,
) -> Option<Vec<MachineShare>> {
    let mut used_by_zone: BTreeMap<Rc<str>, u32> = BTreeMap::new();
    let mut remaining = tasks;
    let mut shares = Vec::new();
    for fit in fits {
        let used = used_by_zone.entry(fit.zone).or_default();
        let share = fit.slots.min(remaining).min(max_tasks_per_zone - *used);
        if share > 0 {
            *used += share;
            remaining -= share;
            shares.push(MachineShare {
                machine: fit.name,
                tasks: share,
            });
        }
    }
    (remaining == 0).then_some(shares)
}

/// Groups the placements of a gang by the owner that is to reserve them.
fn group_by_owner(placements: &[OwnedPlacement]) -> BTreeMap<String, Vec<GangPlacement>> {
    let mut by_owner: BTreeMap<String, Vec<GangPlacement>> = BTreeMap::new();
    for OwnedPlacement { owner, placement } in placements {
        by_owner
            .entry(owner.clone())
            .or_default()
            .push(placement.clone());
    }
    by_owner
}
