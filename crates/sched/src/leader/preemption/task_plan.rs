//! Planning capacity for one task.

use super::candidates::{CandidateMachine, Candidates};
use super::team_usage::TeamUsage;
use super::victims::Victim;
use crate::leader::Job;
use wire::peers::TaskRequirements;

/// What is left to plan with: the capacity of machines, and what teams use.
#[derive(Clone)]
pub(super) struct ClusterSnapshot<'a> {
    /// The machines, with what earlier plans have taken or freed there.
    pub(super) candidates: Candidates<'a>,
    /// What teams use, without the victims of earlier plans.
    pub(super) usage: TeamUsage<'a>,
}

/// How one task gets its capacity.
pub(super) struct TaskPlan<'a> {
    /// The machine on which it will have it.
    pub(super) machine: &'a str,
    /// What is to be stopped there; nothing if earlier stops free enough.
    pub(super) victims: Vec<Victim<'a>>,
}

/// Victims on one machine that make room for a task.
struct VictimSet<'a> {
    machine: &'a str,
    /// CPU seconds of work that are lost with them.
    lost_cpu_s: f64,
    /// Positions among the machine's victims, ascending.
    positions: Vec<usize>,
}

impl<'a> ClusterSnapshot<'a> {
    /// Finds capacity for one task where that costs least, and takes it out of the snapshot; `None` if
    /// there is none.
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

    /// Takes capacity that is free, or will be by earlier stops.
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

    /// The victims with which the least work is lost, on one of the machines that the task may use;
    /// among equals the first machine by name.
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

    /// Takes the capacity that the chosen victims free.
    fn take_victims_capacity(
        &mut self,
        job: &Job,
        victim_set: VictimSet<'a>,
    ) -> Option<TaskPlan<'a>> {
        let machine = self.candidates.get_mut(victim_set.machine)?;
        let mut victims = Vec::new();
        // From the last, so that the positions of the others stay what they are.
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

/// The fewest victims on one machine that make room for a task of a job, taken in the order of what
/// they lose; `None` if all of them together don't.
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
