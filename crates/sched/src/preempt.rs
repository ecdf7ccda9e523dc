//! Taking room back for work within its team's guarantee, and for work of higher priority.
//!
//! Only two kinds of tasks are stopped: work that another team runs beyond its own guarantee,
//! and work of lower priority. Those that began last lose least, so they go first, and no
//! more than the guarantee lacks.

use crate::leader::{Job, Leader, Place};
use crate::place::{tier, Room, SLACK};
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::Needs;
use wire::users::Priority;

/// Part of the time allowed for a guaranteed start that is left to room freed by itself.
const PATIENCE: f64 = 0.2;

/// A job that missed its time waits for room to become free, which is soon as a rule and loses
/// no work; after this many times the time allowed it may take room back again.
const STARVED: f64 = 12.0;

/// Borrowed work that can't save is stopped only in this first part of its expected run: later
/// it costs more to repeat than its end is away.
const MOST_LOST: f64 = 0.25;

/// A task that may be stopped.
#[derive(Clone)]
struct Victim {
    job: String,
    index: u32,
    room: Room,
    lost_s: f64,
    team: String,
    priority: Priority,
    within: bool,
    /// Stopping it loses more than waiting for its end, unless its priority is lower.
    costly: bool,
}

/// A machine with what may be stopped there, what loses least first.
struct Field {
    name: String,
    kind: String,
    zone: String,
    spot: bool,
    /// Its room once the tasks that were told to stop are gone.
    free: Room,
    victims: Vec<Victim>,
}

impl Leader {
    /// Stops what the protocol allows for entries that the pass could not place. The look at
    /// all tasks is made only when there is somebody who may have others stopped.
    pub(crate) fn preempt(&mut self, now: Secs) {
        if now - self.preempted_at < self.setup.guarantee_s * PATIENCE / 2.0 {
            return;
        }
        let due = |(id, n): &(String, u32)| {
            let job = self.jobs.get(id)?;
            let waited = now - job.seen;
            let in_time = waited >= self.setup.guarantee_s * PATIENCE && waited <= self.setup.guarantee_s;
            let starved = waited > self.setup.guarantee_s * STARVED;
            let whole = !job.is_gang() || job.spec.tasks == 1;
            ((in_time || starved) && whole && (job.within || self.lower(job.spec.priority))).then(|| (id.clone(), *n))
        };
        let due: Vec<(String, u32)> = self.fleet.unmet.iter().filter_map(due).collect();
        let mut used = self.used_after_stops();
        let over = |(team, used): (&String, &Room)| self.setup.teams.get(team).is_some_and(|t| used.cpus > t.cpus + SLACK);
        if due.is_empty() || !used.iter().any(over) && !due.iter().any(|(id, _)| self.lower(self.jobs[id].spec.priority)) {
            return;
        }
        self.preempted_at = now;
        let mut fields = self.fields(now);
        for (id, n) in due {
            let Some(job) = self.jobs.get(&id) else { continue };
            let needs = self.needs(job, None);
            for _ in 0..n {
                let Some(job) = self.jobs.get(&id) else { break };
                let Some((at, victims)) = self.make_room(job, &needs, &mut fields, &mut used) else { break };
                for v in victims {
                    log::info!("event=preempt task={}/{} machine={} for={id}", v.job, v.index, fields[at].name);
                    let grace =
                        self.jobs.get(&v.job).map_or(0.0, |j| if j.spec.checkpoint_s > 0.0 { j.spec.save_s * 1.2 + 0.5 } else { 0.0 });
                    self.stop_task(&v.job, v.index, grace);
                }
            }
        }
    }

    /// Whether work of a lower priority than this runs.
    fn lower(&self, priority: Priority) -> bool {
        self.jobs.values().any(|j| j.spec.priority > priority && !j.active.is_empty())
    }

    /// What each team uses once the tasks that were told to stop are gone.
    fn used_after_stops(&self) -> BTreeMap<String, Room> {
        let mut used = self.team_used.clone();
        for j in self.jobs.values() {
            let stopped = j.active.values().filter(|a| a.stop_sent).count() as u32;
            if let Some(u) = used.get_mut(&j.spec.team) {
                u.sub(j.room().scaled(stopped));
            }
        }
        used
    }

    fn fields(&self, now: Secs) -> Vec<Field> {
        let mut out = Vec::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| m.open()) {
            let Some(mut free) = self.cap(&m.kind).map(|c| m.free(c)) else { continue };
            let mut victims = Vec::new();
            for (id, i) in m.tasks.keys() {
                let Some((job, a)) = self.jobs.get(id).and_then(|j| Some((j, j.active.get(i)?))) else { continue };
                if a.stop_sent {
                    free.add(job.room());
                } else if !job.over && matches!(a.place, Place::On(_)) && (!job.is_gang() || job.spec.tasks == 1) {
                    let lost_s = if a.running { now - a.since } else { 0.0 };
                    victims.push(Victim {
                        job: id.clone(),
                        index: *i,
                        room: job.room(),
                        lost_s,
                        team: job.spec.team.clone(),
                        priority: job.spec.priority,
                        within: job.within,
                        costly: job.spec.checkpoint_s <= 0.0 && lost_s > self.run_s(job) * MOST_LOST,
                    });
                }
            }
            victims.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
            out.push(Field { name: name.clone(), kind: m.kind.clone(), zone: m.zone.clone(), spot: m.spot, free, victims });
        }
        out
    }

    /// Finds room for one task where that costs least: the machine and what is to be stopped
    /// there (nothing if earlier stops will free enough). None if it can't be had.
    fn make_room(&self, job: &Job, needs: &Needs, fields: &mut [Field], used: &mut BTreeMap<String, Room>) -> Option<(usize, Vec<Victim>)> {
        let room = job.room();
        let allowed = |f: &Field| tier(needs, &f.kind, &f.zone, f.spot).is_some();
        if let Some((at, f)) = fields.iter_mut().enumerate().find(|(_, f)| f.free.holds(room) && allowed(f)) {
            f.free.sub(room);
            return Some((at, Vec::new()));
        }
        let may = |v: &&Victim| {
            let lower = v.priority > job.spec.priority;
            lower || job.within && !v.within && v.team != job.spec.team && !v.costly
        };
        let mut best: Option<(f64, usize, Vec<usize>)> = None;
        for (at, f) in fields.iter().enumerate().filter(|(_, f)| !f.victims.is_empty() && allowed(f)) {
            let (mut have, mut lost, mut chosen) = (f.free, 0.0, Vec::new());
            for (i, v) in f.victims.iter().enumerate().filter(|(_, v)| may(v)) {
                have.add(v.room);
                lost += v.lost_s * v.room.cpus;
                chosen.push(i);
                if have.holds(room) {
                    break;
                }
            }
            let better = have.holds(room) && best.as_ref().is_none_or(|(l, _, _)| lost < *l);
            if better && self.within_borrowed(job, chosen.iter().map(|i| &f.victims[*i]), used) {
                best = Some((lost, at, chosen));
            }
        }
        let (_, at, chosen) = best?;
        let f = &mut fields[at];
        let mut out = Vec::new();
        for i in chosen.into_iter().rev() {
            let v = f.victims.remove(i);
            f.free.add(v.room);
            if let Some(u) = used.get_mut(&v.team) {
                u.sub(v.room);
            }
            out.push(v);
        }
        f.free.sub(room);
        Some((at, out))
    }

    /// Whether stopping these leaves every team what its guarantee gives it.
    fn within_borrowed<'a>(&self, job: &Job, victims: impl Iterator<Item = &'a Victim>, used: &BTreeMap<String, Room>) -> bool {
        let mut taken: BTreeMap<&str, Room> = BTreeMap::new();
        for v in victims.filter(|v| v.priority <= job.spec.priority) {
            taken.entry(&v.team).or_default().add(v.room);
        }
        taken.into_iter().all(|(name, room)| {
            let Some(team) = self.setup.teams.get(name) else { return false };
            let mut u = used.get(name).copied().unwrap_or_default();
            u.sub(room);
            u.cpus >= team.cpus - SLACK && u.gpus >= team.gpus.min(u.gpus) - SLACK
        })
    }
}
