//! Backlogs: array tasks that found no capacity wait at the owners for the first that becomes free.
//! A task's end and the next one's start then take one heartbeat and its answer, without the leader
//! in between.

use super::pass::Pass;
use super::{contains_offer, MS_PER_S};
use crate::leader::{Action, Leader, TaskLocation};
use crate::owner::STATUS_UPDATES_PER_HEARTBEAT;
use crate::placement::Resources;
use crate::ranges::to_runs;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{TaskRequirements, ToOwner};

/// Reaction times of the leader for which an owner's backlog lasts: it takes what array tasks free
/// there in that time.
const BACKLOG_REACTION_TIMES: f64 = 2.0;

/// Reaction times of the leader after which an owner hands back a task that found no capacity.
const BACKLOG_WAIT_REACTION_TIMES: f64 = 5.0;

/// The fewest CPUs that a task counts for in a backlog: one may ask for none at all.
const MIN_BACKLOG_CPUS: f64 = 0.01;

/// Two passes take place in each heartbeat interval, or in each period of this many seconds if the
/// interval is longer (see `Leader::tick`).
const MAX_TWO_PASS_PERIOD_S: Secs = 1.0;

impl Leader {
    /// The time from the heartbeat that shows free capacity to the leader's assignment of a task to
    /// it: the owner collects changes for a part of a heartbeat interval, then the next pass is due.
    fn reaction_time_s(&self) -> Secs {
        let heartbeat_s = self.cluster.config.heartbeat_s;
        heartbeat_s.min(MAX_TWO_PASS_PERIOD_S) / 2.0 + heartbeat_s / STATUS_UPDATES_PER_HEARTBEAT
    }

    /// Whether running array tasks are expected to free what the arrays so far in this pass lack
    /// within the time that a task may wait in a backlog, so that the next array's turn comes soon.
    pub(super) fn expects_capacity_soon(&self, pass: &mut Pass) -> bool {
        let freed_cpus_per_s = *pass
            .freed_cpus_per_s
            .get_or_insert_with(|| self.cluster.turnover_cpus_per_s());
        pass.unplaced_cpus
            <= freed_cpus_per_s * self.reaction_time_s() * BACKLOG_WAIT_REACTION_TIMES
    }

    /// CPUs of tasks that may join each owner's backlog: what array tasks free there in a short
    /// time, less what waits already.
    fn backlog_capacity_by_owner(&self) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for machine in self.cluster.machines.values().filter(|m| m.accepts_tasks()) {
            *used.entry(&machine.owner).or_default() += machine.used.cpus;
        }
        let total_used_cpus: f64 = used.values().sum();
        let freed_cpus =
            self.cluster.turnover_cpus_per_s() * self.reaction_time_s() * BACKLOG_REACTION_TIMES;
        let waiting = |owner: &str| self.cluster.backlogs.waiting_at(owner);
        used.into_iter()
            .map(|(owner, cpus)| {
                let share = freed_cpus * cpus / total_used_cpus.max(1.0);
                (owner.to_string(), share - waiting(owner))
            })
            .collect()
    }

    /// Lets up to `max_tasks` tasks that found no capacity join the owners' backlogs.
    pub(super) fn assign_to_backlogs(
        &mut self,
        id: &str,
        requirements: TaskRequirements,
        max_tasks: u32,
        pass: &mut Pass,
    ) {
        let Some(requirements) = outside_cordon(requirements, pass.cordon_applying_to(id)) else {
            return;
        };
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let (resources, spec) = (job.resources(), job.spec.clone());
        let backlog = pass
            .backlog_cpus
            .get_or_insert_with(|| self.backlog_capacity_by_owner());
        let count = backlog
            .values()
            .map(|cpus| tasks_fitting(*cpus, resources))
            .fold(0, u32::saturating_add)
            .min(max_tasks);
        if count == 0 {
            return;
        }
        let ready: Vec<u32> = job.ready_tasks.iter().take(count as usize).collect();
        self.send_to_backlogs(id, &requirements, ready, backlog, pass.now);
        pass.charge(&spec.team, resources, count);
    }

    /// Hands ready tasks to the owners, to each as many as its backlog takes.
    fn send_to_backlogs(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        ready: Vec<u32>,
        backlog: &mut BTreeMap<String, f64>,
        now: Secs,
    ) {
        let attempt = self.next_attempt();
        let wait_ms = (self.reaction_time_s() * BACKLOG_WAIT_REACTION_TIMES * MS_PER_S) as u64;
        let resources = Resources::of(requirements);
        let mut ready = ready.into_iter();
        for (owner, cpus) in backlog {
            let share = tasks_fitting(*cpus, resources);
            let tasks: Vec<u32> = ready.by_ref().take(share as usize).collect();
            if tasks.is_empty() {
                continue;
            }
            *cpus -= resources.cpus * tasks.len() as f64;
            for index in &tasks {
                let any_machine = TaskLocation::Assigned(owner.clone(), String::new());
                self.assign_task(id, *index, attempt, any_machine, now);
            }
            let message = ToOwner::AssignBacklog {
                job: id.into(),
                attempt,
                requirements: requirements.clone(),
                tasks: to_runs(tasks),
                wait_ms,
            };
            self.actions.push(Action::Send(owner.clone(), message));
        }
    }
}

/// How many tasks of this size a backlog of so many CPUs takes.
fn tasks_fitting(cpus: f64, task: Resources) -> u32 {
    (cpus / task.cpus.max(MIN_BACKLOG_CPUS)).floor().max(0.0) as u32
}

/// The requirements without the machine types that are cordoned; `None` if no type is left. The zone
/// of the cordon does not matter, as an owner is free to choose among the machines of its part.
fn outside_cordon(
    mut requirements: TaskRequirements,
    cordon: Option<&TaskRequirements>,
) -> Option<TaskRequirements> {
    if let Some(cordon) = cordon {
        requirements
            .kinds
            .retain(|offer| !contains_offer(&cordon.kinds, offer));
    }
    (!requirements.kinds.is_empty()).then_some(requirements)
}
