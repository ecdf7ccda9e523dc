//! Owner backlogs: array tasks that found no capacity wait at an owner and start on the first
//! machine there that has free resources. The end of one task and the start of the next then take a
//! single heartbeat and its response, without a round trip to the leader.

use super::pass::Pass;
use super::{contains_offer, MS_PER_S};
use crate::leader::{Action, Leader, TaskLocation};
use crate::owner::STATUS_UPDATES_PER_HEARTBEAT;
use crate::placement::Resources;
use crate::ranges::to_runs;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{TaskRequirements, ToOwner};

/// Size of the backlogs, as a number of leader reaction times: together, the backlogs hold tasks
/// for as many CPUs as running array tasks are expected to free in that time.
const BACKLOG_REACTION_TIMES: f64 = 2.0;

/// Longest wait of a task in a backlog, as a number of leader reaction times; after that wait the
/// owner hands the task back to the leader.
const BACKLOG_WAIT_REACTION_TIMES: f64 = 5.0;

/// Minimum number of CPUs assumed per task when calculating how many tasks fit into a backlog,
/// since a task may request no CPUs.
const MIN_BACKLOG_CPUS: f64 = 0.01;

/// Maximum time, in seconds, in which two scheduling passes run. If a heartbeat interval is
/// shorter, two passes run in one heartbeat interval (see `Leader::pass_is_due`).
const MAX_TWO_PASS_PERIOD_S: Secs = 1.0;

impl Leader {
    /// Returns the leader's reaction time: the time from a heartbeat that reports free capacity to
    /// the assignment of a task to it. The owner batches changes for a fraction of a heartbeat
    /// interval, after which they wait for the next pass.
    fn reaction_time_s(&self) -> Secs {
        let heartbeat_s = self.cluster.config.heartbeat_s;
        heartbeat_s.min(MAX_TWO_PASS_PERIOD_S) / 2.0 + heartbeat_s / STATUS_UPDATES_PER_HEARTBEAT
    }

    /// Returns whether, within the time that a task may wait in a backlog, active array tasks are
    /// expected to free enough CPUs for all array tasks that have found no capacity so far in this
    /// pass. If so, the array that comes next can expect capacity soon.
    pub(super) fn expects_capacity_soon(&self, pass: &mut Pass) -> bool {
        let freed_cpus_per_s = *pass
            .freed_cpus_per_s
            .get_or_insert_with(|| self.cluster.turnover_cpus_per_s());
        pass.unplaced_cpus
            <= freed_cpus_per_s * self.reaction_time_s() * BACKLOG_WAIT_REACTION_TIMES
    }

    /// Returns how many more CPUs' worth of tasks each owner's backlog can take: the owner's share
    /// of the CPUs that array tasks are expected to free in `BACKLOG_REACTION_TIMES`, in proportion
    /// to the CPUs in use on its machines, less the CPUs of tasks that already wait there.
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

    /// Sends up to `max_tasks` ready tasks that found no capacity to the owners' backlogs.
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

    /// Sends each owner as many of the ready tasks as its backlog can take.
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
                let any_machine = TaskLocation::Assigned {
                    owner: owner.clone(),
                    predicted: None,
                };
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

/// Returns how many tasks of the given size fit into `cpus` of backlog.
fn tasks_fitting(cpus: f64, task: Resources) -> u32 {
    (cpus / task.cpus.max(MIN_BACKLOG_CPUS)).floor().max(0.0) as u32
}

/// Returns the requirements without the cordoned machine types; `None` if no type is left. The
/// types are excluded in all zones, because an owner may place a backlog task on any machine of its
/// shard.
fn outside_cordon(
    mut requirements: TaskRequirements,
    cordon: Option<&TaskRequirements>,
) -> Option<TaskRequirements> {
    if let Some(cordon) = cordon {
        requirements
            .allowed_types
            .retain(|offer| !contains_offer(&cordon.allowed_types, offer));
    }
    (!requirements.allowed_types.is_empty()).then_some(requirements)
}
