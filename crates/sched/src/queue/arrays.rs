//! Arrays: ready tasks go to the owners of machines with free resources, and ahead of what becomes free.

use super::Pass;
use crate::leader::LONGEST_BACKOFF_S;
use crate::leader::{Action, Active, Leader, StartRecord, TaskLocation};
use crate::ranges::runs;
use crate::Secs;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{AllowedMachineType, TaskRequirements, ToOwner};

/// Tasks may wait at an owner for what becomes free in so many times the time that the leader needs
/// to learn of capacity and to give it away.
const BACKLOG_FACTOR: f64 = 2.0;

/// What found no capacity after this many times the same is handed back.
const BACKLOG_WAIT_FACTOR: f64 = 5.0;

impl Leader {
    pub(super) fn place_array(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        quota: u32,
        pass: &mut Pass,
        now: Secs,
    ) {
        let Some((start_record, cpus)) = self
            .cluster
            .jobs
            .get(id)
            .map(|j| (j.start_record, j.spec.cpus))
        else {
            return;
        };
        let found = self
            .cluster
            .index
            .fits_outside(requirements, pass.cordon_against(id));
        // Recorded before its first start, so that a later leader knows which jobs an earlier
        // one has never touched and need not wait for every machine with them.
        if start_record != StartRecord::Written {
            let fits = found
                .iter()
                .map(|f| f.slots)
                .fold(0, u32::saturating_add)
                .min(quota);
            if fits < quota {
                self.note_unmet(id, quota - fits, now);
            }
            // Those whose turn comes soon are recorded in time.
            let turnover = *pass.turnover.get_or_insert_with(|| self.cluster.turnover());
            let soon = pass.queued <= turnover * self.reaction_s() * BACKLOG_WAIT_FACTOR;
            pass.queued += f64::from(quota - fits) * cpus;
            if let Some(job) = self.cluster.jobs.get_mut(id).filter(|_| soon || fits > 0) {
                job.start_record = StartRecord::Requested;
            }
            return;
        }
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let zoned = job.spec.one_zone || job.spec.spread;
        let mut limits = if zoned {
            self.cluster.zone_limits(job, &found)
        } else {
            Some(BTreeMap::new())
        };
        let Some(limits) = limits.as_mut() else {
            return;
        };
        let (resources, team) = (job.resources(), job.spec.team.clone());
        let mut indexes = job
            .ready
            .iter()
            .take(quota as usize)
            .collect::<Vec<u32>>()
            .into_iter();
        let mut assigned: BTreeMap<(String, Option<Rc<str>>), Vec<u32>> = BTreeMap::new();
        let attempt = self.next_attempt();
        let mut placed = 0;
        for f in found {
            let most = if zoned {
                limits.get(&f.zone).copied().unwrap_or(0)
            } else {
                u32::MAX
            };
            let mine: Vec<u32> = indexes.by_ref().take(f.slots.min(most) as usize).collect();
            if mine.is_empty() {
                if indexes.len() == 0 {
                    break;
                }
                continue;
            }
            let n = mine.len() as u32;
            if let Some(left) = limits.get_mut(&f.zone) {
                *left = left.saturating_sub(n);
            }
            let Some(owner) = self.cluster.index.get(&f.name).map(|s| s.owner.clone()) else {
                continue;
            };
            self.cluster
                .index
                .take(&f.name, resources, n, &requirements.image);
            self.note_image(&f.name, &requirements.image);
            for index in &mine {
                self.assign_task(id, *index, attempt, owner.clone(), f.name.to_string(), now);
            }
            assigned
                .entry((owner, zoned.then(|| f.zone.clone())))
                .or_default()
                .extend(mine);
            placed += n;
        }
        pass.charge(&team, resources, placed);
        for ((owner, zone), indexes) in assigned {
            let mut requirements = requirements.clone();
            if let Some(zone) = zone {
                requirements.zone = Some(zone.to_string());
            }
            self.actions.push(Action::Send(
                owner,
                ToOwner::Assign {
                    job: id.into(),
                    attempt,
                    requirements,
                    tasks: runs(indexes),
                },
            ));
        }
        if placed < quota {
            pass.queued += resources.cpus * f64::from(quota - placed);
            self.note_unmet(id, quota - placed, now);
            if !zoned {
                self.assign_backlog(id, requirements, quota - placed, pass, now);
            }
        }
    }

    /// What found no capacity counts as demand. For what fails wherever it is tried nothing is provisioned at
    /// once, but should it be the machines' fault after all, it must not wait for ever.
    pub(super) fn note_unmet(&mut self, id: &str, tasks: u32, now: Secs) {
        if self
            .cluster
            .jobs
            .get(id)
            .is_some_and(|j| !j.is_broken() || now - j.backoff_until > LONGEST_BACKOFF_S)
        {
            self.cluster.unmet.push((id.into(), tasks));
        }
    }

    /// The time after which capacity that a heartbeat showed has a task from here.
    fn reaction_s(&self) -> Secs {
        self.cluster.config.heartbeat_s.min(1.0) / 2.0
            + self.cluster.config.heartbeat_s / crate::owner::STATUS_ROUNDS_PER_HEARTBEAT
    }

    /// CPUs that tasks may wait for at each owner: what array tasks free there in a short time,
    /// less what waits already.
    fn backlog_capacity(&self) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for m in self.cluster.machines.values().filter(|m| m.open()) {
            *used.entry(&m.owner).or_default() += m.used.cpus;
        }
        let all: f64 = used.values().sum();
        let free = self.cluster.turnover() * self.reaction_s() * BACKLOG_FACTOR;
        let waits = |owner: &str| self.cluster.backlogs.waiting_at(owner);
        used.into_iter()
            .map(|(owner, cpus)| (owner.to_string(), free * cpus / all.max(1.0) - waits(owner)))
            .collect()
    }

    /// Lets tasks that found no capacity wait at the owners for the first that becomes free: a task's
    /// end and the next one's start then take one heartbeat and its answer.
    fn assign_backlog(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        most: u32,
        pass: &mut Pass,
        now: Secs,
    ) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let (each, team) = (job.resources(), job.spec.team.clone());
        let cordon = pass.cordon_against(id).map_or(&[][..], |a| &a.kinds);
        let kinds: Vec<AllowedMachineType> = requirements
            .kinds
            .iter()
            .filter(|k| !cordon.iter().any(|a| a.kind == k.kind && a.spot == k.spot))
            .cloned()
            .collect();
        if kinds.is_empty() {
            return;
        }
        let resources = pass.backlog.get_or_insert_with(|| self.backlog_capacity());
        let fits = |cpus: f64| (cpus / each.cpus.max(0.01)).floor().max(0.0) as u32;
        let n = resources
            .values()
            .map(|cpus| fits(*cpus))
            .fold(0, u32::saturating_add)
            .min(most);
        if n == 0 {
            return;
        }
        let mut indexes = job
            .ready
            .iter()
            .take(n as usize)
            .collect::<Vec<u32>>()
            .into_iter();
        let requirements = TaskRequirements {
            kinds,
            ..requirements.clone()
        };
        let attempt = self.next_attempt();
        let wait_ms = (self.reaction_s() * BACKLOG_WAIT_FACTOR * 1000.0) as u64;
        for (owner, cpus) in resources.iter_mut() {
            let mine: Vec<u32> = indexes.by_ref().take(fits(*cpus) as usize).collect();
            if mine.is_empty() {
                continue;
            }
            *cpus -= each.cpus * mine.len() as f64;
            for index in &mine {
                self.assign_task(id, *index, attempt, owner.clone(), String::new(), now);
            }
            let message = ToOwner::AssignBacklog {
                job: id.into(),
                attempt,
                requirements: requirements.clone(),
                tasks: runs(mine),
                wait_ms,
            };
            self.actions.push(Action::Send(owner.clone(), message));
        }
        pass.charge(&team, each, n);
    }

    pub(super) fn note_image(&mut self, machine: &str, image: &str) {
        if let Some(m) = self.cluster.machines.get_mut(machine) {
            m.images.retain(|i| i != image);
            m.images.insert(0, image.to_string());
            m.images.truncate(8);
        }
        self.cluster.dirty_machines.insert(machine.into());
    }

    pub(super) fn assign_task(
        &mut self,
        id: &str,
        index: u32,
        attempt: u64,
        owner: String,
        machine: String,
        now: Secs,
    ) {
        self.cluster.set_active(
            id,
            index,
            Active {
                attempt,
                location: TaskLocation::Assigned(owner, machine),
                running: false,
                stop_sent: false,
                since: now,
            },
        );
    }
}
