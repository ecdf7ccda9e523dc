//! Team resource usage, and how much of it is borrowed, that is, beyond the team's guarantee.

use super::victims::Victim;
use crate::cluster::Cluster;
use crate::config::Team;
use crate::leader::Job;
use crate::placement::{Resources, ROUNDING_TOLERANCE};
use std::collections::BTreeMap;

/// The usage of each team without the tasks that are being stopped or planned to be stopped.
#[derive(Clone)]
pub(super) struct TeamUsage<'a> {
    teams: &'a BTreeMap<String, Team>,
    used: BTreeMap<&'a str, Resources>,
}

impl<'a> TeamUsage<'a> {
    /// Returns each team's usage without the tasks that are already being stopped.
    pub(super) fn after_stops(cluster: &'a Cluster) -> TeamUsage<'a> {
        let mut usage = TeamUsage {
            teams: &cluster.config.teams,
            used: cluster
                .usage
                .by_team()
                .iter()
                .map(|(team, used)| (team.as_str(), *used))
                .collect(),
        };
        for job in cluster.jobs.values() {
            let stopped = job.active.values().filter(|task| task.stop_sent).count() as u32;
            usage.release(&job.spec.team, job.resources().scaled(stopped));
        }
        usage
    }

    /// Returns whether any team uses more CPUs than its guarantee.
    pub(super) fn any_borrowed(&self) -> bool {
        self.used.iter().any(|(team, used)| {
            self.teams
                .get(*team)
                .is_some_and(|team| used.cpus > team.cpus + ROUNDING_TOLERANCE)
        })
    }

    /// Deducts the resources of tasks that are being stopped, or planned to be, from a team's
    /// usage.
    pub(super) fn release(&mut self, team: &str, resources: Resources) {
        if let Some(used) = self.used.get_mut(team) {
            used.sub(resources);
        }
    }

    /// Returns whether stopping these victims for a job takes only borrowed capacity, so that every
    /// team keeps its guarantee. Victims of a lower priority than the job are left out: they may be
    /// stopped regardless of how much their team uses.
    pub(super) fn takes_only_borrowed<'v>(
        &self,
        job: &Job,
        victims: impl Iterator<Item = &'v Victim<'v>>,
    ) -> bool {
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for victim in victims.filter(|victim| !victim.has_lower_priority_than(job)) {
            taken.entry(victim.team).or_default().add(victim.resources);
        }
        taken
            .into_iter()
            .all(|(team, resources)| self.keeps_guarantee(team, resources))
    }

    /// Returns whether a team keeps its guarantee if `taken` is deducted from its usage; false for
    /// an unknown team.
    fn keeps_guarantee(&self, name: &str, taken: Resources) -> bool {
        let Some(team) = self.teams.get(name) else {
            return false;
        };
        let mut left = self.used.get(name).copied().unwrap_or_default();
        left.sub(taken);
        left.cpus >= team.cpus - ROUNDING_TOLERANCE
            && left.gpus >= team.gpus.min(left.gpus) - ROUNDING_TOLERANCE
    }
}
