//! Planning of a preemption round, entry by entry.

use super::candidates::candidates;
use super::eligibility::UnplacedEntry;
use super::stops::{grace_s, Preemption, Stop};
use super::task_plan::{ClusterSnapshot, TaskPlan};
use super::team_usage::TeamUsage;
use crate::cluster::Cluster;
use crate::leader::queue::Cordon;
use crate::leader::Job;
use crate::Secs;
use std::collections::BTreeSet;

/// Number of heartbeat intervals within which a stop reaches its machine and the machine reports
/// that the task has ended.
const STOP_HEARTBEAT_INTERVALS: f64 = 3.0;

/// Plans one round of preemption without changing the cluster.
pub(super) struct Planner<'a> {
    cluster: &'a Cluster,
    /// Capacity and usage as they will be after the plans made so far.
    snapshot: ClusterSnapshot<'a>,
    /// Scarce machine types (name, and whether spot): the only ones that fit the jobs of some
    /// class.
    scarce: &'a BTreeSet<(String, bool)>,
    /// The gang for which machines are cordoned, unless tasks are already being stopped for it.
    /// While this is set, nothing is planned for other gangs of several tasks: they cannot be
    /// placed before this gang, whatever is stopped for them.
    blocking_gang: Option<&'a str>,
    /// The time of the round.
    now: Secs,
    /// The plans made so far, in queue order.
    preemptions: Vec<Preemption>,
}

impl<'a> Planner<'a> {
    /// Returns a planner with no plans yet.
    pub(super) fn new(
        cluster: &'a Cluster,
        usage: TeamUsage<'a>,
        scarce: &'a BTreeSet<(String, bool)>,
        cordon: Option<&'a Cordon>,
        now: Secs,
    ) -> Planner<'a> {
        let is_preempted_for = |job: &Job| now < job.preempting_until;
        Planner {
            cluster,
            snapshot: ClusterSnapshot {
                candidates: candidates(cluster, now),
                usage,
            },
            scarce,
            blocking_gang: cordon
                .map(|cordon| cordon.job.as_str())
                .filter(|id| !cluster.jobs.get(id).is_some_and(is_preempted_for)),
            now,
            preemptions: Vec::new(),
        }
    }

    /// Returns the preemptions for these entries, in queue order.
    pub(super) fn plan(mut self, entries: &[UnplacedEntry]) -> Vec<Preemption> {
        for entry in entries {
            if entry.job.is_multi_task_gang() {
                self.plan_for_gang(entry.job);
            } else {
                self.plan_for_tasks(entry);
            }
        }
        self.preemptions
    }

    /// Plans for a whole gang, on the machines on which the pass would place it.
    fn plan_for_gang(&mut self, job: &Job) {
        let id = job.spec.id.as_str();
        if self.blocking_gang.is_some_and(|blocking| blocking != id) {
            return;
        }
        let requirements = self.cluster.requirements_avoiding_scarce(job, self.scarce);
        let Some(tasks) = self.snapshot.plan_gang(job, &requirements) else {
            return;
        };
        let preempting_until = self.reclaim_deadline(&tasks);
        if self.now < preempting_until && self.blocking_gang == Some(id) {
            self.blocking_gang = None;
        }
        self.preemptions.push(Preemption {
            job: id.into(),
            stops: self.stops(tasks),
            preempting_until: Some(preempting_until),
        });
    }

    /// Plans for the tasks of an entry one by one, until no capacity is found for a task.
    fn plan_for_tasks(&mut self, entry: &UnplacedEntry) {
        let requirements = self.cluster.requirements(entry.job, None);
        let tasks: Vec<TaskPlan> = (0..entry.tasks)
            .map_while(|_| self.snapshot.plan_task(entry.job, &requirements))
            .collect();
        self.preemptions.push(Preemption {
            job: entry.job.spec.id.clone(),
            stops: self.stops(tasks),
            preempting_until: None,
        });
    }

    /// Returns the time by which the victims of these plans will be gone, including their grace
    /// period for saving.
    fn reclaim_deadline(&self, tasks: &[TaskPlan]) -> Secs {
        let longest_grace_s = tasks
            .iter()
            .flat_map(|task| &task.victims)
            .map(|victim| grace_s(self.cluster, victim.job))
            .fold(0.0, f64::max);
        self.now + longest_grace_s + self.cluster.config.heartbeat_s * STOP_HEARTBEAT_INTERVALS
    }

    /// Returns the stops that carry out these plans.
    fn stops(&self, tasks: Vec<TaskPlan>) -> Vec<Stop> {
        tasks
            .into_iter()
            .flat_map(|TaskPlan { machine, victims }| {
                victims.into_iter().map(move |victim| Stop {
                    machine: machine.to_string(),
                    job: victim.job.to_string(),
                    index: victim.index,
                    grace_s: grace_s(self.cluster, victim.job),
                })
            })
            .collect()
    }
}
