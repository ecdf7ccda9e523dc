//! Placement of gangs: capacity is found for the whole gang in the leader's view of the cluster, and
//! only then are the owners asked to reserve it.

use super::pass::Pass;
use super::{jitter_factor, MS_PER_S};
use crate::capacity_index::MachineFit;
use crate::leader::{Action, GangPhase, Job, Leader};
use crate::placement::Resources;
use crate::Secs;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{TaskRequirements, ToOwner};

/// Consecutive tasks of a gang that are to run on one machine.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct GangPlacement {
    /// The machine's name.
    pub(super) machine: String,
    /// Index of the first of the tasks.
    pub(super) first_task: u32,
    /// How many tasks.
    pub(super) tasks: u32,
}

// Messages, records and `Phase` have placements as tuples.
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

/// How many tasks of a gang a machine takes.
struct MachineShare {
    machine: Rc<str>,
    tasks: u32,
}

/// A placement, and who owns its machine.
struct OwnedPlacement {
    owner: String,
    placement: GangPlacement,
}

impl Leader {
    /// Finds capacity for a whole gang and has it reserved; a gang that finds none counts as unmet.
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
        if !may_reserve(job, admitted) {
            return;
        }
        let tasks = job.spec.tasks;
        let Some(shares) = self.fit_gang(job, requirements, pass.cordon_applying_to(id)) else {
            self.record_unmet(id, tasks, pass.now);
            return;
        };
        pass.charge(&job.spec.team, job.resources(), tasks);
        let attempt = self.next_attempt();
        let placements = self.take_gang_capacity(attempt, requirements, shares);
        self.request_reservations(id, attempt, requirements, placements, pass.now);
    }

    /// Chooses machines for all tasks of a gang; if they have to be in one zone, in the first by name
    /// that has capacity for them all. `None` if the gang does not fit as a whole.
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

    /// The zones in which a gang is tried, one after the other; `None` stands for all zones at once.
    fn zones_to_try(&self, job: &Job, requirements: &TaskRequirements) -> Vec<Option<String>> {
        if requirements.zone.is_some() || !job.spec.one_zone {
            return vec![requirements.zone.clone()];
        }
        let zones = self.cluster.machines.index().zones();
        zones.iter().map(|zone| Some(zone.to_string())).collect()
    }

    /// Takes a gang's capacity out of the leader's view, and numbers its tasks machine by machine.
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

    /// Asks the owners to reserve a gang's capacity for a while.
    fn request_reservations(
        &mut self,
        id: &str,
        attempt: u64,
        requirements: &TaskRequirements,
        placements: Vec<OwnedPlacement>,
        now: Secs,
    ) {
        // Jitter, so that gangs reserved in one burst don't lapse in step.
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

/// Whether capacity may be sought for a gang now.
fn may_reserve(job: &Job, admitted: u32) -> bool {
    // The count check: a gang with fewer tasks than its minimum is turned away.
    let is_whole = job.ready_tasks.len() + job.active.len() as u32 >= job.min_tasks();
    let is_idle = job.phase == GangPhase::Idle && job.active.is_empty();
    // In one zone and yet spread over several: no zone may hold all of it. Such a gang waits until
    // it is cancelled, and does not count as unmet, so that nothing is provisioned for it.
    let zone_rules_conflict = job.spec.one_zone && max_tasks_per_zone(job) < job.spec.tasks;
    is_whole && is_idle && admitted >= job.spec.tasks && !zone_rules_conflict
}

/// The most tasks of a gang that one zone may hold: half of them, rounded up, if it is spread.
fn max_tasks_per_zone(job: &Job) -> u32 {
    if job.spec.spread {
        job.spec.tasks.div_ceil(2)
    } else {
        job.spec.tasks
    }
}

/// Distributes a gang's tasks over machines, the best first and at most `max_tasks_per_zone` in one zone;
/// `None` if they don't all fit.
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

/// What each owner is to reserve.
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
