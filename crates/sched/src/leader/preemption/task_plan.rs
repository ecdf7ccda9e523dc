//! Capacity planning for one task.

use super::candidates::{CandidateMachine, Candidates};
use super::team_usage::TeamUsage;
use super::victims::Victim;
use crate::leader::Job;
use wire::peers::TaskRequirements;

/// A snapshot of machine capacity and team usage. Each plan is applied to it as soon as it is made.
#[derive(Clone)]
pub(super) struct ClusterSnapshot<'a> {
    /// The machines, with the changes of earlier plans to their free capacity and victims.
    pub(super) candidates: Candidates<'a>,
    /// The teams' usage, without the victims of earlier plans.
    pub(super) usage: TeamUsage<'a>,
}

/// The plan that provides capacity for one task.
pub(super) struct TaskPlan<'a> {
    /// The machine on which the task will have capacity.
    pub(super) machine: &'a str,
    /// The tasks to be stopped there; empty if enough capacity is free or is freed by earlier
    /// stops.
    pub(super) victims: Vec<Victim<'a>>,
}

/// Victims on one machine that together make room for a task.
struct VictimSet<'a> {
    machine: &'a str,
    /// Work lost with them, in CPU seconds.
    lost_cpu_s: f64,
    /// Their positions in the machine's `victims`, ascending.
    positions: Vec<usize>,
}

impl<'a> ClusterSnapshot<'a> {
    /// Finds capacity for one task where the least work is lost, and takes it out of the snapshot;
    /// `None` if there is none.
    pub(super) fn plan_task(
        &mut self,
        job: &Job,
        requirements: &TaskRequirements,
    ) -> Option<TaskPlan<'a>> {
        if let Some(plan) = self.take_free_capacity(job, requirements) {
            return Some(plan);
        }
        let victim_set = self.cheapest_victims(job, requirements)?;
        self.take_victims_capacity(job, victim_set)
    }

    /// Takes capacity that is free or will be freed by earlier stops; `None` if no machine has
    /// enough.
    fn take_free_capacity(
        &mut self,
        job: &Job,
        requirements: &TaskRequirements,
    ) -> Option<TaskPlan<'a>> {
        let resources = job.resources();
        let (name, machine) = self
            .candidates
            .iter_mut()
            .find(|(_, machine)| machine.free.can_fit(resources) && machine.allows(requirements))?;
        machine.free.sub(resources);
        Some(TaskPlan {
            machine: name,
            victims: Vec::new(),
        })
    }

    /// Returns the victims with which the least work is lost, among the machines that the task may
    /// use; on a tie, those of the first machine by name.
    fn cheapest_victims(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
    ) -> Option<VictimSet<'a>> {
        let mut best: Option<VictimSet> = None;
        for (name, machine) in &self.candidates {
            if machine.victims.is_empty() || !machine.allows(requirements) {
                continue;
            }
            let Some(victim_set) = choose_victims(name, machine, job) else {
                continue;
            };
            let is_better = best
                .as_ref()
                .is_none_or(|best| victim_set.lost_cpu_s < best.lost_cpu_s);
            let chosen = victim_set
                .positions
                .iter()
                .map(|position| &machine.victims[*position]);
            if is_better && self.usage.takes_only_borrowed(job, chosen) {
                best = Some(victim_set);
            }
        }
        best
    }

    /// Takes the capacity that the chosen victims free, and removes them from the snapshot.
    fn take_victims_capacity(
        &mut self,
        job: &Job,
        victim_set: VictimSet<'a>,
    ) -> Option<TaskPlan<'a>> {
        let machine = self.candidates.get_mut(victim_set.machine)?;
        let mut victims = Vec::new();
        // In descending order, so that each removal leaves the remaining positions valid.
        for position in victim_set.positions.into_iter().rev() {
            let victim = machine.victims.remove(position);
            machine.free.add(victim.resources);
            self.usage.release(victim.team, victim.resources);
            victims.push(victim);
        }
        machine.free.sub(job.resources());
        Some(TaskPlan {
            machine: victim_set.machine,
            victims,
        })
    }
}

/// Chooses victims on one machine for a task of a job, least work lost first, until there is room
/// for the task; `None` if stopping all victims that may be stopped for the job would not make
/// enough room.
fn choose_victims<'a>(
    name: &'a str,
    machine: &CandidateMachine,
    job: &Job,
) -> Option<VictimSet<'a>> {
    let resources = job.resources();
    let mut free = machine.free;
    let mut lost_cpu_s = 0.0;
    let mut positions = Vec::new();
    for (position, victim) in machine.victims.iter().enumerate() {
        if !victim.may_be_stopped_for(job) {
            continue;
        }
        free.add(victim.resources);
        lost_cpu_s += victim.lost_cpu_s();
        positions.push(position);
        if free.can_fit(resources) {
            return Some(VictimSet {
                machine: name,
                lost_cpu_s,
                positions,
            });
        }
    }
    None
}
