//! Taking capacity back for work within its team's guarantee, and for work of higher priority.
//!
//! Only two kinds of tasks are stopped: work that another team runs beyond its own guarantee,
//! and work of lower priority. Those that began last lose least, so they go first, and no
//! more than the guarantee lacks. For a gang of several tasks either all of its capacity is taken
//! back or nothing is stopped.

use crate::leader::{Job, Leader, TaskLocation};
use crate::placement::{tier, Resources, ROUNDING_SLACK};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::TaskRequirements;
use wire::users::Priority;

/// Part of the time allowed for a guaranteed start that is left to capacity freed by itself.
const GRACE_SHARE: f64 = 0.2;

/// A job that missed its time waits for capacity to become free, which is soon as a rule and loses
/// no work; after this many times the time allowed it may take capacity back again.
const STARVED: f64 = 12.0;

/// Borrowed work that can't save is stopped only in this first part of its expected run: later
/// it costs more to repeat than its end is away.
const MOST_LOST: f64 = 0.25;

/// Heartbeat intervals within which a stop has reached its machine and the machine has shown the end.
const HEARTBEATS_TO_STOP: f64 = 3.0;

/// A machine, as a position among the candidates, and the tasks to stop there.
type Stops = (usize, Vec<Victim>);

/// A task that may be stopped.
#[derive(Clone)]
struct Victim {
    job: String,
    index: u32,
    resources: Resources,
    lost_s: f64,
    team: String,
    priority: Priority,
    within_guarantee: bool,
    /// Stopping it loses more than waiting for its end, unless its priority is lower.
    costly: bool,
}

/// A machine with what may be stopped there, what loses least first.
#[derive(Clone)]
struct Field {
    name: String,
    kind: String,
    zone: String,
    spot: bool,
    /// Its capacity once the tasks that were told to stop are gone.
    free: Resources,
    victims: Vec<Victim>,
}

/// How a whole gang gets its capacity, and what is left of the candidates then.
struct Plan {
    /// CPU seconds of work that is stopped.
    lost: f64,
    stops: Vec<Stops>,
    used: BTreeMap<String, Resources>,
    fields: Vec<(usize, Field)>,
}

impl Leader {
    /// Stops what the protocol allows for entries that the pass could not place. The look at
    /// all tasks is made only when there is somebody who may have others stopped.
    pub(crate) fn preempt(&mut self, now: Secs) {
        if now - self.preemption_at < self.cluster.config.guarantee_s * GRACE_SHARE / 2.0 {
            return;
        }
        let due = |(id, n): &(String, u32)| {
            self.may_reclaim(self.cluster.jobs.get(id)?, now)
                .then(|| (id.clone(), *n))
        };
        let due: Vec<(String, u32)> = self.cluster.unmet.iter().filter_map(due).collect();
        let mut used = self.used_after_stops();
        let over_guarantee = |(team, used): (&String, &Resources)| {
            self.cluster
                .config
                .teams
                .get(team)
                .is_some_and(|t| used.cpus > t.cpus + ROUNDING_SLACK)
        };
        if due.is_empty()
            || !used.iter().any(over_guarantee)
                && !due
                    .iter()
                    .any(|(id, _)| self.lower(self.cluster.jobs[id].spec.priority))
        {
            return;
        }
        self.preemption_at = now;
        let scarce = self.cluster.scarce();
        let first = self.cordon_for_gang(&scarce, now).map(|cordon| cordon.job);
        let mut fields = self.fields(now);
        for (id, n) in due {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            if job.is_multi_task_gang() {
                if first
                    .as_ref()
                    .is_some_and(|first| self.blocks(first, &id, now))
                {
                    continue;
                }
                // On the machines on which the pass would place it.
                let requirements = self.cluster.requirements_sparing(job, &scarce);
                let stops = self.plan_for_gang(job, &requirements, &mut fields, &mut used);
                if let Some(stops) = stops {
                    self.reclaim(&id, &fields, stops, now);
                }
                continue;
            }
            let requirements = self.cluster.requirements(job, None);
            for _ in 0..n {
                let Some(job) = self.cluster.jobs.get(&id) else {
                    break;
                };
                let Some(stops) = self.plan_for_task(job, &requirements, &mut fields, &mut used)
                else {
                    break;
                };
                self.stop_victims(&id, &fields, vec![stops]);
            }
        }
    }

    /// Whether machines are cordoned for another gang for which no capacity can be taken back: until it is
    /// placed, this one can't be, whatever is stopped for it.
    fn blocks(&self, first: &str, id: &str, now: Secs) -> bool {
        let reclaims = |job: &Job| now < job.reclaims_until;
        first != id && !self.cluster.jobs.get(first).is_some_and(reclaims)
    }

    /// Whether others may be stopped for a job that found no capacity.
    fn may_reclaim(&self, job: &Job, now: Secs) -> bool {
        let waited = now - job.seen;
        let mut window =
            self.cluster.config.guarantee_s * GRACE_SHARE..=self.cluster.config.guarantee_s;
        if job.is_multi_task_gang() {
            // Many machines at once seldom become free by themselves, and would be provisioned meanwhile. It
            // is worth trying for as long as its class's objective can still be met.
            let objective = self
                .cluster
                .config
                .wait_s
                .get(&job.spec.class)
                .copied()
                .unwrap_or_default();
            window = 0.0..=objective.max(self.cluster.config.guarantee_s);
        }
        let in_time = window.contains(&waited);
        let starved = waited > self.cluster.config.guarantee_s * STARVED;
        (in_time || starved) && (job.within_guarantee || self.lower(job.spec.priority))
    }

    /// Has capacity for a whole gang taken back, and kept for it meanwhile.
    fn reclaim(&mut self, id: &str, fields: &[Field], stops: Vec<Stops>, now: Secs) {
        let victims = stops.iter().flat_map(|(_, victims)| victims);
        let grace_s = victims.map(|v| self.grace_s(&v.job)).fold(0.0, f64::max);
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.reclaims_until =
                now + grace_s + self.cluster.config.heartbeat_s * HEARTBEATS_TO_STOP;
        }
        self.stop_victims(id, fields, stops);
    }

    /// How long a task of a job may take to save when it is stopped.
    pub(crate) fn grace_s(&self, id: &str) -> Secs {
        self.cluster
            .jobs
            .get(id)
            .filter(|j| j.spec.checkpoint_s > 0.0)
            .map_or(0.0, |j| j.spec.save_s * 1.2 + 0.5)
    }

    /// Has victims stopped, with time to save where their jobs can.
    fn stop_victims(&mut self, id: &str, fields: &[Field], stops: Vec<Stops>) {
        for (at, victims) in stops {
            for v in victims {
                log::info!(
                    "event=preempt task={}/{} machine={} for={id}",
                    v.job,
                    v.index,
                    fields[at].name
                );
                self.stop_task(&v.job, v.index, self.grace_s(&v.job));
            }
        }
    }

    /// Finds capacity for all tasks of a gang, in the zone where that costs least if it wants one. Half
    /// a gang's capacity serves nobody: without capacity for the whole nothing is stopped.
    fn plan_for_gang(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
        fields: &mut [Field],
        used: &mut BTreeMap<String, Resources>,
    ) -> Option<Vec<Stops>> {
        if job.spec.spread {
            return None;
        }
        let zones: BTreeSet<Option<String>> = if job.spec.one_zone && requirements.zone.is_none() {
            fields.iter().map(|f| Some(f.zone.clone())).collect()
        } else {
            BTreeSet::from([requirements.zone.clone()])
        };
        let plans = zones.into_iter().filter_map(|zone| {
            self.plan_in_zone(
                job,
                &TaskRequirements {
                    zone,
                    ..requirements.clone()
                },
                fields,
                used,
            )
        });
        let plan = plans.min_by(|a, b| a.lost.total_cmp(&b.lost))?;
        for (at, field) in plan.fields {
            fields[at] = field;
        }
        *used = plan.used;
        Some(plan.stops)
    }

    /// What would have to be stopped in one zone for a whole gang; none if it can't be had there.
    fn plan_in_zone(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
        fields: &[Field],
        used: &BTreeMap<String, Resources>,
    ) -> Option<Plan> {
        let allowed = |f: &Field| tier(requirements, &f.kind, &f.zone, f.spot).is_some();
        let (positions, mut fields): (Vec<usize>, Vec<Field>) = fields
            .iter()
            .enumerate()
            .filter(|(_, f)| allowed(f))
            .map(|(at, f)| (at, f.clone()))
            .unzip();
        let mut used = used.clone();
        let mut stops = Vec::new();
        for _ in 0..job.spec.tasks {
            let (at, victims) = self.plan_for_task(job, requirements, &mut fields, &mut used)?;
            stops.push((positions[at], victims));
        }
        let lost = stops
            .iter()
            .flat_map(|(_, victims)| victims)
            .map(|v| v.lost_s * v.resources.cpus)
            .sum();
        Some(Plan {
            lost,
            stops,
            used,
            fields: positions.into_iter().zip(fields).collect(),
        })
    }

    /// Whether work of a lower priority than this runs.
    fn lower(&self, priority: Priority) -> bool {
        self.cluster
            .jobs
            .values()
            .any(|j| j.priority > priority && !j.active.is_empty())
    }

    /// What each team uses once the tasks that were told to stop are gone.
    fn used_after_stops(&self) -> BTreeMap<String, Resources> {
        let mut used = self.cluster.team_used.clone();
        for j in self.cluster.jobs.values() {
            let stopped = j.active.values().filter(|a| a.stop_sent).count() as u32;
            if let Some(u) = used.get_mut(&j.spec.team) {
                u.sub(j.resources().scaled(stopped));
            }
        }
        used
    }

    fn fields(&self, now: Secs) -> Vec<Field> {
        let mut out = Vec::new();
        for (name, m) in self.cluster.machines.iter().filter(|(_, m)| m.open()) {
            let Some(mut free) = self.cluster.capacity(&m.kind).map(|c| m.free(c)) else {
                continue;
            };
            let mut victims = Vec::new();
            for (id, i) in m.tasks.keys() {
                let Some((job, a)) = self
                    .cluster
                    .jobs
                    .get(id)
                    .and_then(|j| Some((j, j.active.get(i)?)))
                else {
                    continue;
                };
                if a.stop_sent {
                    free.add(job.resources());
                } else if !job.terminal
                    && matches!(a.location, TaskLocation::OnMachine(_))
                    && (!job.is_gang() || job.spec.tasks == 1)
                {
                    let ran_s = if a.running { now - a.since } else { 0.0 };
                    // What saves when it is stopped loses no more than the time that takes.
                    let saves = job.spec.checkpoint_s > 0.0;
                    let lost_s = if saves {
                        ran_s.min(job.spec.save_s)
                    } else {
                        ran_s
                    };
                    victims.push(Victim {
                        job: id.clone(),
                        index: *i,
                        resources: job.resources(),
                        lost_s,
                        team: job.spec.team.clone(),
                        priority: job.priority,
                        within_guarantee: job.within_guarantee,
                        costly: job.spec.checkpoint_s <= 0.0
                            && lost_s > self.cluster.run_s(job) * MOST_LOST,
                    });
                }
            }
            victims.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
            out.push(Field {
                name: name.clone(),
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                free,
                victims,
            });
        }
        out
    }

    /// Finds capacity for one task where that costs least: the machine and what is to be stopped
    /// there (nothing if earlier stops will free enough). None if it can't be had.
    fn plan_for_task(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
        fields: &mut [Field],
        used: &mut BTreeMap<String, Resources>,
    ) -> Option<Stops> {
        let resources = job.resources();
        let allowed = |f: &Field| tier(requirements, &f.kind, &f.zone, f.spot).is_some();
        if let Some((at, f)) = fields
            .iter_mut()
            .enumerate()
            .find(|(_, f)| f.free.can_fit(resources) && allowed(f))
        {
            f.free.sub(resources);
            return Some((at, Vec::new()));
        }
        let may = |v: &&Victim| {
            let lower = v.priority > job.spec.priority;
            lower
                || job.within_guarantee
                    && !v.within_guarantee
                    && v.team != job.spec.team
                    && !v.costly
        };
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for (at, f) in fields
            .iter()
            .enumerate()
            .filter(|(_, f)| !f.victims.is_empty() && allowed(f))
        {
            let (mut have, mut lost, mut chosen) = (f.free, 0.0, Vec::new());
            for (i, v) in f.victims.iter().enumerate().filter(|(_, v)| may(v)) {
                have.add(v.resources);
                lost += v.lost_s * v.resources.cpus;
                chosen.push(i);
                if have.can_fit(resources) {
                    break;
                }
            }
            let better = have.can_fit(resources) && best.as_ref().is_none_or(|(l, _, _)| lost < *l);
            if better && self.within_borrowed(job, chosen.iter().map(|i| &f.victims[*i]), used) {
                best = Some((lost, at, chosen));
            }
        }
        let (_, at, chosen) = best?;
        let f = &mut fields[at];
        let mut out = Vec::new();
        for i in chosen.into_iter().rev() {
            let v = f.victims.remove(i);
            f.free.add(v.resources);
            if let Some(u) = used.get_mut(&v.team) {
                u.sub(v.resources);
            }
            out.push(v);
        }
        f.free.sub(resources);
        Some((at, out))
    }

    /// Whether stopping these leaves every team what its guarantee gives it.
    fn within_borrowed<'a>(
        &self,
        job: &Job,
        victims: impl Iterator<Item = &'a Victim>,
        used: &BTreeMap<String, Resources>,
    ) -> bool {
        let mut taken: BTreeMap<&str, Resources> = BTreeMap::new();
        for v in victims.filter(|v| v.priority <= job.spec.priority) {
            taken.entry(&v.team).or_default().add(v.resources);
        }
        taken.into_iter().all(|(name, resources)| {
            let Some(team) = self.cluster.config.teams.get(name) else {
                return false;
            };
            let mut u = used.get(name).copied().unwrap_or_default();
            u.sub(resources);
            u.cpus >= team.cpus - ROUNDING_SLACK && u.gpus >= team.gpus.min(u.gpus) - ROUNDING_SLACK
        })
    }
}
