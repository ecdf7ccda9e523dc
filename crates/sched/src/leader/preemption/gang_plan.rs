//! Capacity planning for a whole gang. Capacity for only some of a gang's tasks is of no use, so no
//! task is stopped for a gang unless this makes room for all tasks of the gang.

use super::task_plan::{ClusterSnapshot, TaskPlan};
use crate::leader::Job;
use std::collections::BTreeSet;
use wire::peers::TaskRequirements;

/// A plan for a whole gang, and the snapshot with the plan applied.
struct GangPlan<'a> {
    /// Work lost with the victims, in CPU seconds.
    lost_cpu_s: f64,
    /// The plans of the gang's tasks, one for each.
    tasks: Vec<TaskPlan<'a>>,
    /// The snapshot with the plan applied, limited to the machines that the gang may use.
    remaining: ClusterSnapshot<'a>,
}

impl<'a> ClusterSnapshot<'a> {
    /// Finds capacity for all tasks of a gang and takes it out of the snapshot; `None` if there is
    /// not enough, or if the gang is to be spread over zones. A gang that must run in one zone gets
    /// the zone in which the least work is lost.
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

    /// Returns the zones to plan for, each separately; the entry `None` stands for all zones
    /// together.
    fn zones_to_try(&self, job: &Job, requirements: &TaskRequirements) -> BTreeSet<Option<String>> {
        if requirements.zone.is_some() || !job.spec.one_zone {
            return BTreeSet::from([requirements.zone.clone()]);
        }
        self.candidates
            .values()
            .map(|machine| Some(machine.zone().to_string()))
            .collect()
    }

    /// Plans capacity for a whole gang, within one zone if the requirements name a zone; `None` if
    /// there is not enough capacity.
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

    /// Returns a copy to plan on, with only the machines that these requirements allow.
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
