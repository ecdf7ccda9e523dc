//! Whether work may wait for a machine in use rather than have one provisioned, and how long tasks run.

use super::{Cluster, Job};
use crate::placement::tier;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::TaskRequirements;
use wire::users::Shape;

/// What a slow boot takes of the nominal time, with the start of the gang's tasks.
pub(crate) const SLOW_BOOT_FACTOR: f64 = 1.25;

/// When machines in use are expected to be empty, the earliest first.
pub(crate) type BusyMachines = Vec<(Secs, String)>;

impl Cluster {
    /// Whether a gang has waited so long that machines are cordoned for it.
    pub(crate) fn waits_long(&self, id: &str, now: Secs) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let within = self
            .config
            .wait_s
            .get(&job.spec.class)
            .copied()
            .unwrap_or(self.config.guarantee_s * 4.0);
        now - job.seen > within * self.config.max_wait_share
    }

    /// When machines on which these tasks may run are expected to be empty, the earliest first.
    pub(crate) fn busy_until(&self, requirements: &TaskRequirements, now: Secs) -> BusyMachines {
        let mut out: BusyMachines = self
            .machines
            .iter()
            .filter(|(_, m)| m.open() && tier(requirements, &m.kind, &m.zone, m.spot).is_some())
            .map(|(name, m)| {
                let ends = m.tasks.keys().filter_map(|(id, i)| {
                    let job = self.jobs.get(id)?;
                    let a = job.active.get(i)?;
                    let run = self.run_s(job);
                    Some(if a.running {
                        (a.since + run).max(now + run * 0.25)
                    } else {
                        now + run
                    })
                });
                (ends.fold(now, f64::max), name.clone())
            })
            .collect();
        out.sort_by(|a, b| a.0.total_cmp(&b.0));
        out
    }

    /// How long a task of a job runs, as far as was learned of its class.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.run_times
            .get(&job.spec.class)
            .map_or(job.spec.estimate_s, |run_time| run_time.mean_s)
            .max(1.0)
    }

    /// Whether a gang is expected to get machines that are in use early enough for its class's
    /// objective; those machines are then taken.
    pub(crate) fn can_wait(
        &self,
        id: &str,
        requirements: &TaskRequirements,
        busy_machines: &mut BusyMachines,
        now: Secs,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(within) = self.config.wait_s.get(&job.spec.class) else {
            return false;
        };
        // What is provisioned at once must still be up in time, slow boots included.
        let boot = requirements
            .kinds
            .iter()
            .filter_map(|a| self.types.get(&a.kind))
            .map(|t| t.boot_s)
            .fold(f64::MAX, f64::min);
        let latest =
            job.seen + (within * self.config.max_wait_share).min(within - boot * SLOW_BOOT_FACTOR);
        let mut slots: BTreeMap<&str, (u32, Vec<usize>)> = BTreeMap::new();
        let mut found = None;
        for (at, (until, name)) in busy_machines.iter().enumerate() {
            let Some(m) = self
                .machines
                .get(name)
                .filter(|m| tier(requirements, &m.kind, &m.zone, m.spot).is_some())
            else {
                continue;
            };
            if until.max(now) > latest {
                break;
            }
            let (have, chosen) = slots
                .entry(if job.spec.one_zone { &m.zone } else { "" })
                .or_default();
            *have += self
                .capacity(&m.kind)
                .map_or(0, |c| c.count_fitting(job.resources()));
            chosen.push(at);
            if *have >= job.spec.tasks {
                found = Some(std::mem::take(chosen));
                break;
            }
        }
        let Some(chosen) = found else { return false };
        let run = self.run_s(job);
        chosen.into_iter().for_each(|at| busy_machines[at].0 += run);
        busy_machines.sort_by(|a, b| a.0.total_cmp(&b.0));
        true
    }

    /// CPUs per second that running array tasks free for others.
    pub(crate) fn turnover(&self) -> f64 {
        let arrays = self.jobs.values().filter(|j| j.spec.shape == Shape::Array);
        arrays
            .map(|j| j.active.len() as f64 * j.spec.cpus / self.run_s(j))
            .sum()
    }
}
