//! Teams: their guarantees and limits, with what machines of unknown content may hold of them.

use super::{Cluster, Phase};
use crate::placement::{Resources, ROUNDING_SLACK};
use std::collections::BTreeMap;

impl Cluster {
    /// Marks the jobs that fit into their team's guarantee together with its earlier ones.
    pub(crate) fn mark_within(&mut self) {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (_, id) in &self.by_creation {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.terminal) else {
                continue;
            };
            let Some((name, team)) = self.config.teams.get_key_value(&job.spec.team) else {
                continue;
            };
            let n = f64::from(job.spec.tasks - job.done.len().min(job.spec.tasks));
            let sum = sums.entry(name).or_default();
            let bounded_sum = |n: f64, each: f64, most: f64| {
                if each > 0.0 {
                    n.min((most / each).floor()) * each
                } else {
                    0.0
                }
            };
            sum.0 += bounded_sum(n, job.spec.cpus, team.cpus_max);
            sum.1 += bounded_sum(n, job.spec.gpus, team.gpus_max);
            job.within_guarantee =
                sum.0 <= team.cpus + ROUNDING_SLACK && sum.1 <= team.gpus + ROUNDING_SLACK;
        }
    }

    /// What machines with tasks of unknown jobs have together, and those of unknown content.
    fn unseen_resources(&self) -> (Resources, Resources) {
        let (mut has_unknown_jobs, mut unknown) = (Resources::default(), Resources::default());
        for m in self
            .machines
            .values()
            .filter(|m| m.unknown || m.has_unknown_jobs)
        {
            let sum = if m.unknown {
                &mut unknown
            } else {
                &mut has_unknown_jobs
            };
            sum.add(self.capacity(&m.kind).unwrap_or_default());
        }
        (has_unknown_jobs, unknown)
    }

    /// What those may take from a team's limit: all they have, but of unknown content no more than
    /// the team's jobs that may be there could use.
    fn unseen_by(
        &self,
        team: &str,
        (mut has_unknown_jobs, mut unknown): (Resources, Resources),
    ) -> Resources {
        let mut most = self
            .recently_cancelled
            .get(team)
            .copied()
            .unwrap_or_default();
        for j in self
            .jobs
            .values()
            .filter(|j| j.uncertain && j.spec.team == team)
        {
            let n =
                f64::from(j.spec.tasks - j.done.len().min(j.spec.tasks)) - j.active.len() as f64;
            most.cpus += n.max(0.0) * j.spec.cpus;
            most.gpus += n.max(0.0) * j.spec.gpus;
        }
        unknown.cpus = unknown.cpus.min(most.cpus);
        unknown.gpus = unknown.gpus.min(most.gpus);
        has_unknown_jobs.add(unknown);
        has_unknown_jobs
    }

    /// What each team may still use, beside what its tasks use, hold, or may use unseen.
    pub(crate) fn limits(&self) -> BTreeMap<String, Resources> {
        let unseen = self.unseen_resources();
        let mut out: BTreeMap<String, Resources> = BTreeMap::new();
        for (name, t) in &self.config.teams {
            let mut free = Resources {
                cpus: t.cpus_max,
                gpus: t.gpus_max,
                memory_gb: f64::MAX,
            };
            let charge = |free: &mut Resources, r: Resources| {
                free.sub(Resources {
                    memory_gb: 0.0,
                    ..r
                })
            };
            if unseen != Default::default() {
                charge(&mut free, self.unseen_by(name, unseen));
            }
            charge(
                &mut free,
                self.team_used.get(name).copied().unwrap_or_default(),
            );
            out.insert(name.clone(), free);
        }
        for j in self
            .jobs
            .values()
            .filter(|j| matches!(j.phase, Phase::Reserving { .. } | Phase::Binding { .. }))
        {
            if let Some(free) = out.get_mut(&j.spec.team) {
                free.sub(Resources {
                    memory_gb: 0.0,
                    ..j.resources().scaled(j.spec.tasks)
                });
            }
        }
        out
    }
}
