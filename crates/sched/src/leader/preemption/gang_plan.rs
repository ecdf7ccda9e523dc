//! Planning capacity for a whole gang. Half a gang's capacity serves nobody: without capacity for
//! the whole nothing is stopped.

use super::task_plan::{ClusterSnapshot, TaskPlan};
use crate::leader::Job;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// How a whole gang gets its capacity, and the snapshot that is left then.
struct GangPlan<'a> {
    /// CPU seconds of work that are lost.
    lost_cpu_s: f64,
    /// One for each task.
    tasks: Vec<TaskPlan<'a>>,
    /// Of the machines only those that the gang may use.
    remaining: ClusterSnapshot<'a>,
}

impl<'a> ClusterSnapshot<'a> {
    /// Finds capacity for all tasks of a gang, in the zone where that costs least if they have to be
    /// in one, and takes it out of the snapshot; `None` if there is not enough.
    pub(super) fn plan_gang(
        &mut self,
        job: &Job,
        requirements: &TaskRequirements,
    ) -> Option<Vec<TaskPlan<'a>>> {
        if job.spec.spread {
            return None;
        }
        let plan = self
            .zones_to_try(job, requirements)
            .into_iter()
            .filter_map(|zone| {
                let requirements = TaskRequirements {
                    zone,
                    ..requirements.clone()
                };
                self.plan_in_zone(job, &requirements)
            })
            .min_by(|one, other| one.lost_cpu_s.total_cmp(&other.lost_cpu_s))?;
        self.candidates.extend(plan.remaining.candidates);
        self.usage = plan.remaining.usage;
        Some(plan.tasks)
    }

    /// The zones that a gang may get its capacity in, each tried on its own; `None` stands for all
    /// zones at once.
    fn zones_to_try(&self, job: &Job, requirements: &TaskRequirements) -> BTreeSet<Option<String>> {
        if requirements.zone.is_some() || !job.spec.one_zone {
            return BTreeSet::from([requirements.zone.clone()]);
        }
        self.candidates
            .values()
            .map(|machine| Some(machine.zone().to_string()))
            .collect()
    }

    /// What would have to be stopped in one zone for a whole gang; `None` if it can't have enough there.
    fn plan_in_zone(&self, job: &Job, requirements: &TaskRequirements) -> Option<GangPlan<'a>> {
        let mut remaining = self.restricted_to(requirements);
        let tasks: Vec<TaskPlan> = (0..job.spec.tasks)
            .map(|_| remaining.plan_task(job, requirements))
            .collect::<Option<_>>()?;
        let lost_cpu_s = tasks
            .iter()
            .flat_map(|task| &task.victims)
            .map(|victim| victim.lost_cpu_s())
            .sum();
        Some(GangPlan {
            lost_cpu_s,
            tasks,
            remaining,
        })
    }

    /// A copy to plan on, with only the machines that these requirements allow.
    fn restricted_to(&self, requirements: &TaskRequirements) -> ClusterSnapshot<'a> {
        ClusterSnapshot {
            candidates: self
                .candidates
                .iter()
                .filter(|(_, machine)| machine.allows(requirements))
                .map(|(name, machine)| (*name, machine.clone()))
                .collect(),
            usage: self.usage.clone(),
        }
    }
}
