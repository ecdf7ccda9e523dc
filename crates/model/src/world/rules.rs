//! The rules of the protocol and of the users, checked on the true state of the world.

use super::*;

impl World {
    pub(super) fn live_on(w: &Worker) -> impl Iterator<Item = &Key> {
        w.tasks
            .iter()
            .filter(|(_, t)| t.state != TaskState::Exited)
            .map(|(k, _)| k)
    }

    pub(super) fn check_start(&mut self, machine: &str, job: &str, index: u32) {
        self.check_too_early(job);
        let mut broken = Vec::new();
        // Only an answer that was under way, from a leader that could not know yet.
        let allowed = self.config.start_staleness_s() + wire::ANSWER_DROPPED_S;
        if self
            .jobs
            .get(job)
            .is_some_and(|j| j.cancelled && j.terminal_at.is_some_and(|at| self.now > at + allowed))
        {
            broken.push("started_cancelled");
        }
        let is_done = |j: &JobState| j.own_end.is_some() && !j.cancelled;
        if self.jobs.get(job).is_some_and(is_done) {
            broken.push("started_done");
        }
        if self
            .workers
            .values()
            .any(|w| Self::live_on(w).any(|(j, i, _)| j == job && *i == index))
        {
            broken.push("ran_twice");
        }
        if let (Some(j), Some(w)) = (self.jobs.get(job), self.workers.get(machine)) {
            let s = &j.spec;
            let bad_type = s.types.as_ref().is_some_and(|l| !l.contains(&w.kind));
            let bad_zone = s.zone.as_ref().is_some_and(|z| *z != w.zone);
            let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
            for o in self.workers.values() {
                for _ in Self::live_on(o).filter(|(j, _, _)| j == job) {
                    *zones.entry(o.zone.as_str()).or_default() += 1;
                }
            }
            let elsewhere = s.one_zone && zones.keys().any(|z| *z != w.zone);
            let crowded = s.spread
                && zones.get(w.zone.as_str()).copied().unwrap_or(0) + 1 > s.tasks.div_ceil(2);
            if bad_type || bad_zone || (w.spot && !s.spot) || elsewhere || crowded {
                broken.push("wrong_place");
            }
        }
        broken.into_iter().for_each(|r| self.break_rule(r));
    }

    pub(super) fn check(&mut self) {
        let limits = &self.limits;
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut broken = Vec::new();
        for w in self.workers.values() {
            for (job, _, _) in Self::live_on(w) {
                let Some(j) = self.jobs.get(job) else {
                    continue;
                };
                let team = used.entry(j.spec.team.as_str()).or_default();
                team.0 += j.spec.cpus;
                team.1 += j.spec.gpus;
                if j.terminal_at
                    .is_some_and(|at| self.now > at + self.config.cancel_s)
                {
                    // Of a job that is done, no controller knows the task any more.
                    broken.push(if j.cancelled {
                        "ran_cancelled"
                    } else {
                        "orphaned"
                    });
                }
            }
        }
        let within =
            |l: &Team, cpus: f64, gpus: f64| cpus <= l.cpus_max + 1e-6 && gpus <= l.gpus_max + 1e-6;
        if used
            .iter()
            .any(|(t, (cpus, gpus))| !limits.get(*t).is_some_and(|l| within(l, *cpus, *gpus)))
        {
            broken.push("quota");
        }
        broken.into_iter().for_each(|r| self.break_rule(r));
    }

    /// Once faults are over, every accepted job that may run and is not over is known to the leader,
    /// as soon as it has read what made it ready.
    pub(super) fn check_known(&mut self) {
        let Some((_, leader, _)) = &self.leader else {
            return;
        };
        if self.jobs.iter().any(|(id, j)| {
            let is_ready = j.ready_at.is_some_and(|at| self.now - at > TTL);
            j.terminal_at.is_none() && is_ready && !leader.knows(id)
        }) {
            self.break_rule("forgotten");
        }
    }

    /// Troubles over, no job waits long while the same machine has capacity for a task of it (for a gang:
    /// while machines have capacity for all of it) and its team is under its limit.
    pub(super) fn check_waiting(&mut self) {
        let mut used: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        let mut free: Vec<(&String, &Worker, Resources)> = Vec::new();
        for (name, w) in self
            .workers
            .iter()
            .filter(|(_, w)| !w.gone && self.now >= w.up_at && self.now >= w.hung_until)
            .filter(|(_, w)| w.taken_at.is_none())
        {
            let Some(t) = self.types.iter().find(|t| t.name == w.kind) else {
                continue;
            };
            let mut left = Resources::of_type(t);
            for j in Self::live_on(w).filter_map(|(id, _, _)| self.jobs.get(id)) {
                let team = used.entry(j.spec.team.as_str()).or_default();
                team.0 += j.spec.cpus;
                team.1 += j.spec.gpus;
                left.cpus -= j.spec.cpus;
                left.gpus -= j.spec.gpus;
                left.memory_gb -= j.spec.memory_gb;
            }
            free.push((name, w, left));
        }
        let mut fitting: BTreeSet<(String, String)> = BTreeSet::new();
        for (id, j) in self.jobs.iter().filter(|(id, j)| {
            j.terminal_at.is_none() && j.ready_at.is_some() && self.live_tasks(id) == 0
        }) {
            let s = &j.spec;
            let done = (0..s.tasks)
                .filter(|i| self.completed.contains(&(id.clone(), *i)))
                .count();
            let (lacks, gang) = (s.tasks as usize - done, s.shape == Shape::Gang);
            let needs = if gang { lacks } else { lacks.min(1) };
            let limit = self.limits.get(&s.team);
            let (cpus_max, gpus_max) = limit.map_or((0.0, 0.0), |l| (l.cpus_max, l.gpus_max));
            let (cpus, gpus) = used.get(s.team.as_str()).copied().unwrap_or_default();
            if needs == 0
                || cpus + s.cpus * needs as f64 > cpus_max + 1e-6
                || s.gpus > 0.0 && gpus + s.gpus * needs as f64 > gpus_max + 1e-6
            {
                continue;
            }
            let allowed = |w: &Worker| {
                s.types.as_ref().is_none_or(|l| l.contains(&w.kind))
                    && s.zone.as_ref().is_none_or(|z| *z == w.zone)
                    && (s.spot || !w.spot)
            };
            let fitting_tasks = |free: &Resources| {
                let gpus = (free.gpus + 1e-6) / s.gpus;
                ((free.cpus + 1e-6) / s.cpus)
                    .min((free.memory_gb + 1e-6) / s.memory_gb)
                    .min(if s.gpus > 0.0 { gpus } else { f64::MAX })
                    .max(0.0) as usize
            };
            let mut zones: BTreeMap<&str, usize> = BTreeMap::new();
            for (name, w, left) in free.iter().filter(|(_, w, _)| allowed(w)) {
                *zones.entry(w.zone.as_str()).or_default() += fitting_tasks(left);
                if !gang && fitting_tasks(left) > 0 {
                    fitting.insert((id.clone(), name.to_string()));
                }
            }
            let half = if s.spread {
                s.tasks.div_ceil(2) as usize
            } else {
                usize::MAX
            };
            let places = zones.values().map(|n| (*n).min(half));
            let most = if s.one_zone {
                places.max().unwrap_or(0)
            } else {
                places.sum()
            };
            if gang && most >= needs {
                fitting.insert((id.clone(), String::new()));
            }
        }
        self.fits_since.retain(|k, _| fitting.contains(k));
        for k in fitting {
            self.fits_since.entry(k).or_insert(self.now);
        }
        if self
            .fits_since
            .values()
            .any(|since| self.now - since > WAITS_S)
        {
            self.break_rule("waits");
        }
    }

    /// At least half of each class, team, and of the largest jobs is served, and all that began,
    /// also the largest, did so in time. What could begin late for lack of time does not count.
    pub(super) fn check_served(&mut self) {
        let mut groups: BTreeMap<String, (u32, u32)> = BTreeMap::new();
        let mut broken = Vec::new();
        // The times of a job that needs others count from the moment when the last of them is done.
        let ready = self
            .jobs
            .values()
            .filter(|j| !j.cancelled)
            .filter_map(|j| Some((j, j.ready_at?)));
        for (j, ready_at) in ready.filter(|(_, at)| self.now - at > BEGIN_S) {
            let late = j.started_at.is_none_or(|at| at - ready_at > BEGIN_S);
            let mut of = vec![
                format!("{:?}", j.spec.shape),
                format!("{:?} of {}", j.spec.shape, j.spec.team),
            ];
            if j.spec.shape == Shape::Gang && j.spec.tasks == LARGEST_GANG {
                of.push("largest gangs".into());
            }
            for g in of {
                let (all, served) = groups.entry(g).or_default();
                *all += 1;
                *served += u32::from(!late);
            }
        }
        for (group, (all, served)) in groups {
            if served * 2 < all {
                broken.push(if group == "largest gangs" {
                    "late"
                } else {
                    "unserved"
                });
            }
        }
        broken.into_iter().for_each(|r| self.break_rule(r));
    }
}
