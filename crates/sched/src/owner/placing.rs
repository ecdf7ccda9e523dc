//! Placing tasks on machines: starts at once, reservations for gangs, and tasks that wait for resources.

use super::machine::{add_starts, Machine};
use super::{Jobs, Owner};
use crate::capacity_index::IndexedMachine;
use crate::placement::Resources;
use crate::Secs;
use std::collections::VecDeque;
use wire::peers::{TaskRequirements, ToLeader};
use wire::workers::TaskState;

/// Resources reserved on machines for a gang until it is bound, or until the wait ends.
pub(super) struct Reservation {
    pub(super) job: String,
    pub(super) resources: Resources,
    pub(super) image: String,
    pub(super) places: Vec<(String, u32, u32)>,
    pub(super) until: Secs,
}

/// Tasks that wait for capacity to become free in this part.
pub(super) struct BacklogEntry {
    pub(super) job: String,
    pub(super) attempt: u64,
    pub(super) requirements: TaskRequirements,
    pub(super) indexes: VecDeque<u32>,
    pub(super) until: Secs,
}

impl Owner {
    /// Hands tasks that wait for capacity back to the leader.
    pub(super) fn hand_back(&mut self, which: impl Fn(&BacklogEntry) -> bool) {
        let out = &mut self.out;
        self.backlog.retain_mut(|a| {
            let back = which(a);
            if back {
                let tasks = crate::ranges::runs(std::mem::take(&mut a.indexes));
                out.push(ToLeader::HandBack {
                    job: std::mem::take(&mut a.job),
                    attempt: a.attempt,
                    tasks,
                });
            }
            !back
        });
    }

    /// Brings the index up to what has changed since it was last looked at.
    pub(super) fn refresh_index(&mut self, jobs: &dyn Jobs) {
        for name in std::mem::take(&mut self.dirty_machines) {
            let found = self
                .machines
                .get(&name)
                .filter(|m| m.open())
                .and_then(|m| Some((m, self.types.get(&m.kind)?)));
            let Some((m, t)) = found else {
                self.index.remove(&name);
                continue;
            };
            let mut images: Vec<String> = m.images.iter().cloned().collect();
            for image in m.tasks.keys().filter_map(|t| self.image(&t.job, jobs)) {
                if !images.contains(&image) {
                    images.push(image);
                }
            }
            let empty =
                m.pending.is_empty() && m.tasks.values().all(|t| t.state == TaskState::Exited);
            let free = self.free(&name, m, jobs);
            let spot = IndexedMachine {
                owner: String::new(),
                free: free.unwrap_or_default(),
                images,
                empty,
            };
            self.index
                .put(&name, t, &m.zone, m.spot, self.config.guarantee_s, spot);
            if free.is_none() {
                // A job that is not known here yet: look again next time.
                self.dirty_machines.insert(name);
            }
        }
    }

    /// What a task of a job takes, by this controller's view or by the leader's word.
    fn resources(&self, job: &str, jobs: &dyn Jobs) -> Option<Resources> {
        jobs.resources(job).or_else(|| self.assigned.resources(job))
    }

    fn image(&self, job: &str, jobs: &dyn Jobs) -> Option<String> {
        let assigned = || self.assigned.image(job).map(str::to_string);
        jobs.image(job).or_else(assigned)
    }

    /// Forgets what was given and is neither on a machine nor on its way to one.
    pub(super) fn forget_unused_jobs(&mut self) {
        let machines = self.machines.values();
        let on_machines = machines.flat_map(|m| m.tasks.keys().chain(m.pending.keys()));
        let on_machines = on_machines.map(|task| task.job.as_str());
        let reserved = self.reservations.values().map(|r| r.job.as_str());
        let waiting = self.backlog.iter().map(|a| a.job.as_str());
        let in_use = on_machines.chain(reserved).chain(waiting);
        self.assigned.keep(&in_use.collect());
    }

    /// What is left of a machine's capacity; none while what a task takes there is not known.
    pub(super) fn free(&self, name: &str, m: &Machine, jobs: &dyn Jobs) -> Option<Resources> {
        let mut free = self.types.get(&m.kind).map(Resources::of_type)?;
        for t in m.tasks.values().filter(|t| t.state != TaskState::Exited) {
            free.sub(self.resources(&t.task.job, jobs)?);
        }
        m.pending.values().for_each(|r| free.sub(*r));
        for h in self.reservations.values() {
            for (machine, _, n) in &h.places {
                if machine == name {
                    free.sub(h.resources.scaled(*n));
                }
            }
        }
        Some(free)
    }

    pub(super) fn assign(
        &mut self,
        job: String,
        attempt: u64,
        requirements: &TaskRequirements,
        runs: &[(u32, u32)],
        now: Secs,
        jobs: &dyn Jobs,
    ) {
        let resources = Resources::of(requirements);
        self.assigned.learn(&job, requirements);
        self.refresh_index(jobs);
        let mut indexes = runs
            .iter()
            .flat_map(|(a, n)| *a..a.saturating_add(*n))
            .peekable();
        let mut found = self.index.fits(requirements);
        // A start goes with the answer to a heartbeat: of machines that suit alike, the one that
        // heartbeats next starts first.
        let quarter = self.config.heartbeat_s / 4.0;
        let silent = |name: &str| {
            self.machines
                .get(name)
                .map_or(0, |m| ((now - m.answered) / quarter).clamp(0.0, 4.0) as u32)
        };
        found.sort_by_cached_key(|f| {
            let (slow, tier, empty, fetch, left) = f.rank;
            (
                slow,
                tier,
                empty,
                fetch,
                std::cmp::Reverse(silent(&f.name)),
                left,
                f.name.clone(),
            )
        });
        for f in found {
            if indexes.peek().is_none() {
                break;
            }
            let Some(m) = self.machines.get_mut(&*f.name) else {
                continue;
            };
            let n = add_starts(
                m,
                &job,
                attempt,
                indexes.by_ref().take(f.slots as usize),
                resources,
                &requirements.image,
            );
            self.index.take(&f.name, resources, n, &requirements.image);
            self.dirty_machines.insert(f.name.to_string());
        }
        let back: Vec<u32> = indexes.collect();
        if !back.is_empty() {
            self.out.push(ToLeader::HandBack {
                job,
                attempt,
                tasks: crate::ranges::runs(back),
            });
        }
    }

    pub(super) fn reserve(
        &mut self,
        job: String,
        attempt: u64,
        requirements: &TaskRequirements,
        places: Vec<(String, u32, u32)>,
        until: Secs,
        jobs: &dyn Jobs,
    ) -> bool {
        let resources = Resources::of(requirements);
        for (name, _, n) in &places {
            let Some(m) = self.machines.get(name) else {
                return false;
            };
            let fits = || {
                self.free(name, m, jobs)
                    .is_some_and(|f| f.count_fitting(resources) >= *n)
            };
            if !m.open() || !fits() {
                return false;
            }
        }
        self.dirty_machines
            .extend(places.iter().map(|(m, _, _)| m.clone()));
        self.assigned.learn(&job, requirements);
        self.reservations.insert(
            attempt,
            Reservation {
                job,
                resources,
                image: requirements.image.clone(),
                places,
                until,
            },
        );
        true
    }

    pub(super) fn bind(&mut self, attempt: u64, now: Secs) {
        let Some(h) = self.reservations.remove(&attempt) else {
            self.out.push(ToLeader::ReserveResult {
                attempt,
                reserved: false,
            });
            return;
        };
        self.dirty_machines
            .extend(h.places.iter().map(|(m, _, _)| m.clone()));
        // A machine that was lost while it reserved capacity would never start the task, nor show it gone.
        let here = |name: &String| self.machines.get(name).is_some_and(Machine::open);
        if now >= h.until || !h.places.iter().all(|(m, _, _)| here(m)) {
            self.out.push(ToLeader::ReserveResult {
                attempt,
                reserved: false,
            });
            return;
        }
        for (name, first, n) in h.places {
            if let Some(m) = self.machines.get_mut(&name) {
                add_starts(m, &h.job, attempt, first..first + n, h.resources, &h.image);
            }
        }
    }
}
