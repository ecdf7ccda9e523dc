//! The queue and the one pass that places its entries.
//!
//! Order: entries within their team's guarantee first, then by priority, creation (the store's
//! revision), id. A gang is one entry. An entry that backs off or does not fit is passed over
//! and does not block those behind it.

mod arrays;
mod gangs;

use crate::leader::{Job, Leader, Phase};
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::{AllowedMachineType, TaskRequirements};

/// What one pass keeps for itself.
struct Pass {
    /// What each team may still use beside what is and may be in use.
    limits: BTreeMap<String, Resources>,
    /// A gang that has waited long, and the machines cordoned for it.
    cordon: Option<(String, TaskRequirements)>,
    /// CPUs that tasks may wait for at each owner, once that was asked.
    backlog: Option<BTreeMap<String, f64>>,
    /// CPUs of array tasks that found no capacity so far.
    queued: f64,
    /// CPUs that array tasks free in a second; none once more were given.
    turnover: Option<f64>,
}

impl Leader {
    pub(crate) fn schedule(&mut self, now: Secs) {
        self.cluster.refresh_index();
        self.cluster.mark_within();
        let scarce = self.cluster.scarce();
        let mut pass = Pass {
            limits: self.cluster.limits(),
            cordon: self.cordon_for_gang(&scarce, now),
            backlog: None,
            queued: 0.0,
            turnover: None,
        };
        let mut order: Vec<_> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, j)| {
                !j.ready.is_empty() && !j.uncertain && !j.terminal && now >= j.backoff_until
            })
            .map(|(id, j)| (!j.within_guarantee, j.priority, j.revision, id.clone()))
            .collect();
        order.sort_unstable();
        // Machines kept for gangs take array tasks, last of all, while no such gang waits for capacity.
        let gang_waits = self.cluster.waits_for_scarce(&scarce);
        self.cluster.unmet.clear();
        for (_, _, _, id) in order {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            let quota = pass.quota(job);
            if quota == 0 {
                continue;
            }
            let mut requirements = self.cluster.requirements_sparing(job, &scarce);
            if !job.is_gang() && !gang_waits {
                let all = self.cluster.requirements(job, None);
                let last = all.kinds.into_iter().filter(|a| {
                    !requirements
                        .kinds
                        .iter()
                        .any(|n| n.kind == a.kind && n.spot == a.spot)
                });
                requirements.kinds.extend(
                    last.map(|a| AllowedMachineType { tier: 2, ..a })
                        .collect::<Vec<_>>(),
                );
            }
            if job.is_gang() {
                self.place_gang(&id, &requirements, quota, &mut pass, now);
            } else {
                self.place_array(&id, &requirements, quota, &mut pass, now);
            }
        }
        self.request_start_record();
    }

    /// The gang of several tasks that has waited longest, if too long, and where machines are left
    /// to it: all that it may use of one zone. Without this, smaller gangs and arrays take each
    /// machine that becomes free, for ever.
    pub(crate) fn cordon_for_gang(
        &self,
        scarce: &BTreeSet<(String, bool)>,
        now: Secs,
    ) -> Option<(String, TaskRequirements)> {
        let waits = |job: &Job| {
            let whole = job.is_multi_task_gang()
                && job.phase == Phase::Idle
                && !job.terminal
                && !job.ready.is_empty();
            whole && (now < job.reclaims_until || self.cluster.waits_long(&job.spec.id, now))
        };
        let unmet = self
            .cluster
            .unmet
            .iter()
            .filter_map(|(id, _)| Some((self.cluster.jobs.get(id)?, id)));
        let (_, id) = unmet
            .filter(|(job, _)| waits(job))
            .min_by_key(|(job, _)| job.revision)?;
        let requirements = self
            .cluster
            .requirements_sparing(self.cluster.jobs.get(id)?, scarce);
        let zone = requirements
            .zone
            .clone()
            .or_else(|| self.autoscaler.gang_zone(id).cloned());
        Some((
            id.clone(),
            TaskRequirements {
                zone,
                ..requirements
            },
        ))
    }
}

impl Pass {
    /// How many more tasks of a job its team's limit allows (all or nothing for a gang).
    fn quota(&self, job: &Job) -> u32 {
        let Some(free) = self.limits.get(&job.spec.team) else {
            return 0;
        };
        let mut n = free
            .count_fitting(Resources {
                memory_gb: 0.0,
                ..job.resources()
            })
            .min(job.ready.len());
        if job.is_broken() && !job.is_gang() {
            // One at a time shows whether it still fails.
            n = n.min(1).saturating_sub(job.active.len() as u32);
        }
        if job.is_gang() && n < job.spec.tasks {
            0
        } else {
            n
        }
    }

    /// What is cordoned for another job than this.
    fn cordon_against(&self, id: &str) -> Option<&TaskRequirements> {
        self.cordon
            .as_ref()
            .filter(|(job, _)| job != id)
            .map(|(_, requirements)| requirements)
    }

    fn charge(&mut self, team: &str, resources: Resources, n: u32) {
        if let Some(free) = self.limits.get_mut(team) {
            free.sub(Resources {
                memory_gb: 0.0,
                ..resources.scaled(n)
            });
        }
        self.turnover = None;
    }
}
