//! Taking room back for work within its team's guarantee, and for work of higher priority.
//!
//! Only two kinds of tasks are stopped: work that another team runs beyond its own guarantee,
//! and work of lower priority. Those that began last lose least, so they go first, and no
//! more than the guarantee lacks.

use crate::leader::{Leader, Place};
use crate::place::{tier, Room, SLACK};
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::Needs;

/// Part of the time allowed for a guaranteed start that is left to room freed by itself.
const PATIENCE: f64 = 0.2;

/// A job that missed its time waits for room to become free, which is soon as a rule and loses
/// no work; after this many times the time allowed it may take room back again.
const STARVED: f64 = 12.0;

/// Borrowed work that can't save is stopped only in this first part of its expected run: later
/// it costs more to repeat than its end is away.
const MOST_LOST: f64 = 0.25;

/// A task that may be stopped.
struct Victim {
    job: String,
    index: u32,
    room: Room,
    lost_s: f64,
    team: String,
    borrowed: bool,
}

impl Leader {
    /// Stops what the protocol allows for entries that the pass could not place.
    pub(crate) fn preempt(&mut self, now: Secs) {
        let patience = self.setup.guarantee_s * PATIENCE;
        let unmet: Vec<(String, u32)> = self.fleet.unmet.clone();
        let mut spare = self.spare_after_stops();
        for (id, n) in unmet {
            let Some(job) = self.jobs.get(&id) else { continue };
            let waited = now - job.seen;
            let in_time = waited >= patience && waited <= self.setup.guarantee_s;
            let starved = waited > self.setup.guarantee_s * STARVED;
            if !in_time && !starved || job.is_gang() && job.spec.tasks > 1 {
                continue;
            }
            let (needs, room) = (self.needs(job, None), job.room());
            for _ in 0..n {
                if !self.make_room(&id, &needs, room, &mut spare, now) {
                    break;
                }
            }
        }
    }

    /// Room of each usable machine once the tasks that were told to stop are gone.
    fn spare_after_stops(&self) -> BTreeMap<String, Room> {
        let mut out = BTreeMap::new();
        for (name, m) in self.machines.iter().filter(|(_, m)| m.open()) {
            let Some(mut free) = self.cap(&m.kind).map(|c| m.free(c)) else { continue };
            for (id, i) in m.tasks.keys() {
                if let Some(job) = self.jobs.get(id).filter(|j| j.active.get(i).is_some_and(|a| a.stop_sent)) {
                    free.add(job.room());
                }
            }
            out.insert(name.clone(), free);
        }
        out
    }

    /// Makes room for one task on the machine where that costs least; false if it can't be.
    fn make_room(&mut self, id: &str, needs: &Needs, room: Room, spare: &mut BTreeMap<String, Room>, now: Secs) -> bool {
        let allowed = |name: &String| self.machines.get(name).is_some_and(|m| tier(needs, &m.kind, &m.zone, m.spot).is_some());
        if let Some(free) = spare.iter_mut().find(|(n, f)| allowed(n) && f.holds(room)).map(|(_, f)| f) {
            // Room that earlier stops will free is enough.
            free.sub(room);
            return true;
        }
        let mut best: Option<(f64, String, Vec<Victim>)> = None;
        for (name, free) in spare.iter().filter(|(n, _)| allowed(n)) {
            let (mut have, mut lost, mut chosen) = (*free, 0.0, Vec::new());
            for v in self.victims(id, name, now) {
                if have.holds(room) {
                    break;
                }
                have.add(v.room);
                lost += v.lost_s * v.room.cpus;
                chosen.push(v);
            }
            if have.holds(room) && best.as_ref().is_none_or(|(l, _, _)| lost < *l) && self.within_borrowed(&chosen) {
                best = Some((lost, name.clone(), chosen));
            }
        }
        let Some((_, machine, victims)) = best else { return false };
        for v in victims {
            log::info!("event=preempt task={}/{} machine={machine} for={id}", v.job, v.index);
            if let Some(free) = spare.get_mut(&machine) {
                free.add(v.room);
            }
            let grace = self.jobs.get(&v.job).map_or(0.0, |j| if j.spec.checkpoint_s > 0.0 { j.spec.save_s * 1.2 + 0.5 } else { 0.0 });
            self.stop_task(&v.job, v.index, grace);
        }
        if let Some(free) = spare.get_mut(&machine) {
            free.sub(room);
        }
        true
    }

    /// Tasks on a machine that may be stopped for a job, those that lose least first.
    fn victims(&self, id: &str, machine: &str, now: Secs) -> Vec<Victim> {
        let (Some(job), Some(m)) = (self.jobs.get(id), self.machines.get(machine)) else { return Vec::new() };
        let mut out: Vec<Victim> = m
            .tasks
            .keys()
            .filter_map(|(other, index)| {
                let o = self.jobs.get(other)?;
                let a = o.active.get(index).filter(|a| !a.stop_sent && matches!(a.place, Place::On(_)))?;
                let borrowed = job.within && !o.within && o.spec.team != job.spec.team;
                if o.over || o.is_gang() && o.spec.tasks > 1 || !(borrowed || o.spec.priority > job.spec.priority) {
                    return None;
                }
                let lost_s = if a.running { now - a.since } else { 0.0 };
                if o.spec.priority <= job.spec.priority && o.spec.checkpoint_s <= 0.0 && lost_s > self.run_s(o) * MOST_LOST {
                    return None;
                }
                Some(Victim { job: other.clone(), index: *index, room: o.room(), lost_s, team: o.spec.team.clone(), borrowed })
            })
            .collect();
        out.sort_by(|a, b| a.lost_s.total_cmp(&b.lost_s));
        out
    }

    /// Whether stopping these leaves every team what its guarantee gives it.
    fn within_borrowed(&self, victims: &[Victim]) -> bool {
        let mut used = self.team_used.clone();
        for j in self.jobs.values() {
            for _ in j.active.values().filter(|a| a.stop_sent) {
                used.entry(j.spec.team.clone()).or_default().sub(j.room());
            }
        }
        victims.iter().filter(|v| v.borrowed).all(|v| {
            let Some(team) = self.setup.teams.get(&v.team) else { return false };
            let u = used.entry(v.team.clone()).or_default();
            u.sub(v.room);
            u.cpus >= team.cpus - SLACK && u.gpus >= team.gpus.min(u.gpus) - SLACK
        })
    }
}
