//! Teams: their guarantees and limits, with what machines of unknown content may hold of them.

use super::{Cluster, GangPhase, Job};
use crate::config::Team;
use crate::placement::{Resources, ROUNDING_TOLERANCE};
use std::collections::BTreeMap;

/// What a team's jobs want together, as far as its limit goes.
#[derive(Default)]
struct Wanted {
    cpus: f64,
    gpus: f64,
}

impl Wanted {
    fn add(&mut self, job: &Job, team: &Team) {
        let tasks = f64::from(job.unfinished_tasks());
        self.cpus += bounded_sum(tasks, job.spec.cpus, team.cpus_max);
        self.gpus += bounded_sum(tasks, job.spec.gpus, team.gpus_max);
    }

    fn is_guaranteed(&self, team: &Team) -> bool {
        self.cpus <= team.cpus + ROUNDING_TOLERANCE && self.gpus <= team.gpus + ROUNDING_TOLERANCE
    }
}

/// What so many tasks use together, as many as a limit allows.
fn bounded_sum(tasks: f64, each: f64, limit: f64) -> f64 {
    if each > 0.0 {
        tasks.min((limit / each).floor()) * each
    } else {
        0.0
    }
}

/// Capacity that may be used by tasks which the leader does not know.
#[derive(Clone, Copy, Default, PartialEq)]
struct Unseen {
    /// Of machines with tasks of unknown jobs.
    unknown_jobs: Resources,
    /// Of machines of unknown content.
    unknown_content: Resources,
}

impl Cluster {
    /// Marks the jobs that fit into their team's guarantee together with its earlier ones.
    pub(crate) fn mark_within_guarantee(&mut self) {
        let teams = &self.config.teams;
        let mut wanted_by: BTreeMap<&str, Wanted> = BTreeMap::new();
        self.jobs.for_each_by_creation(|job| {
            let Some((name, team)) = teams.get_key_value(&job.spec.team) else {
                return;
            };
            if job.terminal {
                return;
            }
            let wanted = wanted_by.entry(name).or_default();
            wanted.add(job, team);
            job.within_guarantee = wanted.is_guaranteed(team);
        });
    }

    fn unseen_capacity(&self) -> Unseen {
        let mut unseen = Unseen::default();
        for machine in self.machines.values() {
            let sum = match (machine.content_unknown, machine.has_unknown_jobs) {
                (true, _) => &mut unseen.unknown_content,
                (false, true) => &mut unseen.unknown_jobs,
                (false, false) => continue,
            };
            sum.add(self.capacity(&machine.kind).unwrap_or_default());
        }
        unseen
    }

    /// What tasks that are not known may take from a team's limit: all that their machines have, but of
    /// unknown content no more than the team's jobs that may be there could use.
    fn unseen_usage(&self, team: &str, unseen: Unseen) -> Resources {
        let mut most = self.usage.recently_cancelled(team);
        let jobs = self.jobs.values();
        for job in jobs.filter(|job| job.awaits_reconciliation && job.spec.team == team) {
            let tasks = f64::from(job.unfinished_tasks()) - job.active.len() as f64;
            most.cpus += tasks.max(0.0) * job.spec.cpus;
            most.gpus += tasks.max(0.0) * job.spec.gpus;
        }
        let mut unknown_content = unseen.unknown_content;
        unknown_content.cpus = unknown_content.cpus.min(most.cpus);
        unknown_content.gpus = unknown_content.gpus.min(most.gpus);
        let mut usage = unseen.unknown_jobs;
        usage.add(unknown_content);
        usage
    }

    /// What each team may still use, beside what its tasks use, have reserved, or may use unseen.
    pub(crate) fn quota_headroom(&self) -> BTreeMap<String, Resources> {
        let unseen = self.unseen_capacity();
        let mut limits: BTreeMap<String, Resources> = BTreeMap::new();
        for (name, team) in &self.config.teams {
            let mut free = Resources {
                cpus: team.cpus_max,
                gpus: team.gpus_max,
                memory_gb: f64::MAX,
            };
            if unseen != Unseen::default() {
                free.sub(without_memory(self.unseen_usage(name, unseen)));
            }
            free.sub(without_memory(self.usage.used_by(name)));
            limits.insert(name.clone(), free);
        }
        let has_reservation = |job: &&Job| {
            matches!(
                job.phase,
                GangPhase::Reserving { .. } | GangPhase::Binding { .. }
            )
        };
        for job in self.jobs.values().filter(has_reservation) {
            if let Some(free) = limits.get_mut(&job.spec.team) {
                let reserved = job.resources().scaled(job.spec.tasks);
                free.sub(without_memory(reserved));
            }
        }
        limits
    }

    /// A job became terminal before all machines were known: what was not seen of it may still be running.
    pub(crate) fn charge_unobserved_tasks(&mut self, id: &str) {
        let job = self.jobs.get(id);
        let Some(job) = job.filter(|job| job.awaits_reconciliation) else {
            return;
        };
        let unseen = job
            .unfinished_tasks()
            .saturating_sub(job.active.len() as u32);
        let resources = job.resources().scaled(unseen);
        self.usage.add_cancelled(&job.spec.team, resources);
    }
}

/// Quotas do not count memory.
fn without_memory(resources: Resources) -> Resources {
    Resources {
        memory_gb: 0.0,
        ..resources
    }
}
