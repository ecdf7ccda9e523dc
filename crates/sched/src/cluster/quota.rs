//! Team quotas: guarantees and limits, including usage that may be hidden on machines of unknown
//! content.

use super::{Cluster, GangPhase, Job};
use crate::config::Team;
use crate::placement::{Resources, ROUNDING_TOLERANCE};
use std::collections::BTreeMap;

/// Total demand of a team's jobs, capped per job by the team's limit.
#[derive(Default)]
struct TeamDemand {
    cpus: f64,
    gpus: f64,
}

impl TeamDemand {
    fn add(&mut self, job: &Job, team: &Team) {
        let tasks = f64::from(job.unfinished_tasks());
        self.cpus += capped_usage(tasks, job.spec.cpus, team.cpus_max);
        self.gpus += capped_usage(tasks, job.spec.gpus, team.gpus_max);
    }

    fn fits_guarantee(&self, team: &Team) -> bool {
        self.cpus <= team.cpus + ROUNDING_TOLERANCE && self.gpus <= team.gpus + ROUNDING_TOLERANCE
    }
}

/// Returns the total usage of `tasks` tasks that use `each`, counting no more whole tasks than
/// `limit` allows.
fn capped_usage(tasks: f64, each: f64, limit: f64) -> f64 {
    if each > 0.0 {
        tasks.min((limit / each).floor()) * each
    } else {
        0.0
    }
}

/// Capacity of the machines on which tasks that the leader does not know of may be running.
#[derive(Clone, Copy, Default, PartialEq)]
struct UnobservedCapacity {
    /// Capacity of machines with tasks of unknown jobs.
    unknown_jobs: Resources,
    /// Capacity of machines of unknown content.
    unknown_content: Resources,
}

impl Cluster {
    /// Marks the jobs that fit within their team's guarantee together with the team's earlier jobs.
    pub(crate) fn mark_within_guarantee(&mut self) {
        let teams = &self.config.teams;
        let mut demand_by_team: BTreeMap<&str, TeamDemand> = BTreeMap::new();
        self.jobs.for_each_by_creation(|job| {
            let Some((name, team)) = teams.get_key_value(&job.spec.team) else {
                return;
            };
            if job.terminal {
                return;
            }
            let demand = demand_by_team.entry(name).or_default();
            demand.add(job, team);
            job.within_guarantee = demand.fits_guarantee(team);
        });
    }

    fn unobserved_capacity(&self) -> UnobservedCapacity {
        let mut unobserved = UnobservedCapacity::default();
        for machine in self.machines.values() {
            let sum = match (machine.content_unknown, machine.has_unknown_jobs) {
                (true, _) => &mut unobserved.unknown_content,
                (false, true) => &mut unobserved.unknown_jobs,
                (false, false) => continue,
            };
            sum.add(self.capacity(&machine.kind).unwrap_or_default());
        }
        unobserved
    }

    /// Returns the maximum usage by unknown tasks that may count against a team's limit: the full
    /// capacity of machines with unknown jobs, plus the capacity of machines of unknown content.
    /// The latter is limited to what the team's jobs that may be running there could use.
    fn possible_unobserved_usage(&self, team: &str, unobserved: UnobservedCapacity) -> Resources {
        let mut max_usage = self.usage.recently_cancelled(team);
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.awaits_reconciliation && job.spec.team == team) {
            let tasks = f64::from(job.unfinished_tasks()) - job.active.len() as f64;
            max_usage.cpus += tasks.max(0.0) * job.spec.cpus;
            max_usage.gpus += tasks.max(0.0) * job.spec.gpus;
        }
        let mut unknown_content = unobserved.unknown_content;
        unknown_content.cpus = unknown_content.cpus.min(max_usage.cpus);
        unknown_content.gpus = unknown_content.gpus.min(max_usage.gpus);
        let mut usage = unobserved.unknown_jobs;
        usage.add(unknown_content);
        usage
    }

    /// Returns how much each team may still use within its limit, after subtracting the usage of
    /// its active tasks, gang reservations, and possible usage by unknown tasks.
    pub(crate) fn quota_headroom(&self) -> BTreeMap<String, Resources> {
        let unobserved = self.unobserved_capacity();
        let mut headroom: BTreeMap<String, Resources> = BTreeMap::new();
        for (name, team) in &self.config.teams {
            let mut free = Resources {
                cpus: team.cpus_max,
                gpus: team.gpus_max,
                memory_gb: f64::MAX,
            };
            if unobserved != UnobservedCapacity::default() {
                free.sub(without_memory(
                    self.possible_unobserved_usage(name, unobserved),
                ));
            }
            free.sub(without_memory(self.usage.team_usage(name)));
            headroom.insert(name.clone(), free);
        }
        let has_reservation = |job: &&Job| {
            matches!(
                job.phase,
                GangPhase::Reserving { .. } | GangPhase::Binding { .. }
            )
        };
        for job in self.jobs.values().filter(has_reservation) {
            if let Some(free) = headroom.get_mut(&job.spec.team) {
                let reserved = job.resources().scaled(job.spec.tasks);
                free.sub(without_memory(reserved));
            }
        }
        headroom
    }

    /// If a job becomes terminal before it is reconciled, charges its team for the tasks that no
    /// owner has reported, since they may still be running.
    pub(crate) fn charge_unobserved_tasks(&mut self, id: &str) {
        let job = self.jobs.get(id);
        let Some(job) = job.filter(|job| job.awaits_reconciliation) else {
            return;
        };
        let unobserved = job
            .unfinished_tasks()
            .saturating_sub(job.active.len() as u32);
        let resources = job.resources().scaled(unobserved);
        self.usage.add_cancelled(&job.spec.team, resources);
    }
}

/// Returns the resources with memory set to zero, since quotas do not cover memory.
fn without_memory(resources: Resources) -> Resources {
    Resources {
        memory_gb: 0.0,
        ..resources
    }
}
