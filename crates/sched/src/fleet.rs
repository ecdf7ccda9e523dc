//! Fleet: which machines to rent and which to return.

use crate::leader::{Deed, Job, Leader, Rostered};
use crate::place::{tier, Room};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::{Hire, Listed, ListedMachine, MachineType};
use wire::peers::{Allowed, Needs};
use wire::users::{Job as Spec, Shape};

/// The cloud charges at least this long for a machine (a figure of the protocol).
const LEAST_CHARGE_S: f64 = 60.0;
/// A machine that takes this many times its nominal boot time is given up.
const BOOTS_TO_WAIT: f64 = 3.5;
/// Most machines of one request (a figure of the protocol).
const MOST_AT_ONCE: u32 = 50;
/// Most names of one release (a figure of the protocol).
const MOST_RELEASED: usize = 100;

/// Type, zone and kind (spot or ordinary).
type Offer = (String, String, bool);

pub(crate) struct Boot {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub hired_at: Secs,
}

/// What one task of a class takes, to know which machine types it needs.
#[derive(Clone, Debug)]
pub(crate) struct ClassShape {
    room: Room,
    types: Option<Vec<String>>,
    pub spot: bool,
}

impl ClassShape {
    pub fn fits(&self, t: &MachineType) -> bool {
        self.types.as_ref().is_none_or(|l| l.contains(&t.name)) && Room::of_type(t).holds(self.room)
    }
}

#[derive(Default)]
pub(crate) struct Fleet {
    pub booting: BTreeMap<String, Boot>,
    pub unmet: Vec<(String, u32)>,
    pub shapes: BTreeMap<String, ClassShape>,
    asked: BTreeMap<String, Hire>,
    refused: BTreeMap<Offer, (Secs, u32)>,
    released: BTreeSet<String>,
    releasing: BTreeSet<String>,
    counter: u64,
    last: Secs,
}

impl Fleet {
    pub fn arrived(&mut self, job: &Spec) {
        let room = Room { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb };
        let shape = self.shapes.entry(job.class.clone()).or_insert_with(|| ClassShape { room, types: job.types.clone(), spot: job.spot });
        // The largest task seen stands for its class.
        if room.cpus > shape.room.cpus {
            shape.room = room;
        }
    }

    pub fn booted(&mut self, name: &str, now: Secs) {
        if let Some(b) = self.booting.remove(name) {
            log::info!("event=booted machine={name} kind={} after_s={:.1}", b.kind, now - b.hired_at);
        }
    }

    pub fn is_released(&self, name: &str) -> bool {
        self.released.contains(name)
    }

    fn available(&self, offer: &Offer, now: Secs) -> bool {
        self.refused.get(offer).is_none_or(|(until, _)| now >= *until)
    }
}

/// Room that is on its way.
struct Coming {
    kind: String,
    zone: String,
    spot: bool,
    free: Room,
}

impl Leader {
    /// Rents for what does not fit, and returns what is idle. Paced by the report interval.
    pub(crate) fn run_fleet(&mut self, now: Secs) {
        if now - self.fleet.last < self.setup.report_s.min(1.0) || self.types.is_empty() {
            return;
        }
        self.fleet.last = now;
        self.rent(now);
        self.return_idle(now);
    }

    fn coming(&self) -> Vec<Coming> {
        let booting = self.fleet.booting.values().map(|b| (&b.kind, &b.zone, b.spot, 1));
        let asked = self.fleet.asked.values().map(|h| (&h.kind, &h.zone, h.spot, h.count));
        let fresh = self
            .machines
            .values()
            .filter(|m| m.rostered != Rostered::Yes && m.lapsed_at.is_none() && !m.drain)
            .map(|m| (&m.kind, &m.zone, m.spot, 1));
        let mut out = Vec::new();
        for (kind, zone, spot, n) in booting.chain(asked).chain(fresh) {
            let Some(free) = self.cap(kind) else { continue };
            for _ in 0..n {
                out.push(Coming { kind: kind.clone(), zone: zone.clone(), spot, free });
            }
        }
        out
    }

    fn rent(&mut self, now: Secs) {
        let scarce = self.scarce();
        let mut coming = self.coming();
        // Running tasks free their room again and again while a machine boots.
        let turnover = self.turnover();
        let mut ahead = 0.0;
        let mut busy = self.busy_until(now);
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        for (id, n) in self.fleet.unmet.clone() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let (room, gang) = (job.room(), job.is_gang());
            let needs = self.needs_sparing(job, &scarce);
            if gang && self.can_wait(&id, &needs, &mut busy, now) {
                continue;
            }
            let mut left = n;
            let mut zones: Option<String> = needs.zone.clone();
            for c in coming.iter_mut() {
                if left == 0 {
                    break;
                }
                if needs.kinds.iter().any(|a| a.kind == c.kind && a.spot == c.spot) && zones.as_ref().is_none_or(|z| *z == c.zone) {
                    let take = c.free.times(room).min(left);
                    (0..take).for_each(|_| c.free.sub(room));
                    left -= take;
                    if take > 0 && gang && job.spec.one_zone {
                        zones = Some(c.zone.clone());
                    }
                }
            }
            while left > 0 {
                let Some((offer, cap)) = self.cheapest(&needs.kinds, zones.as_deref(), room, left, now) else { break };
                if !gang {
                    let boot = self.types.get(&offer.0).map_or(LEAST_CHARGE_S, |t| t.boot_s);
                    let served = ((turnover * boot - ahead) / room.cpus.max(0.01)).floor().clamp(0.0, f64::from(left));
                    ahead += served * room.cpus;
                    left -= served as u32;
                    if left == 0 {
                        break;
                    }
                }
                let mut free = cap;
                let take = free.times(room).min(left);
                if take == 0 {
                    break;
                }
                (0..take).for_each(|_| free.sub(room));
                left -= take;
                if gang && self.jobs.get(&id).is_some_and(|j| j.spec.one_zone) {
                    zones = Some(offer.1.clone());
                }
                coming.push(Coming { kind: offer.0.clone(), zone: offer.1.clone(), spot: offer.2, free });
                *wanted.entry(offer).or_default() += 1;
            }
        }
        for ((kind, zone, spot), count) in wanted {
            self.fleet.counter += 1;
            let name = format!("lr-{}-{}", self.token(), self.fleet.counter);
            let hire = Hire { name: name.clone(), kind, zone, spot, count: count.min(MOST_AT_ONCE) };
            log::info!("event=hire name={name} kind={} zone={} spot={} count={}", hire.kind, hire.zone, hire.spot, hire.count);
            self.fleet.asked.insert(name, hire.clone());
            self.deeds.push(Deed::Hire(hire));
        }
    }

    /// When machines in use are expected to be empty, the earliest first.
    fn busy_until(&self, now: Secs) -> Vec<(Secs, String)> {
        let mut out: Vec<(Secs, String)> = self
            .machines
            .iter()
            .filter(|(_, m)| m.open())
            .map(|(name, m)| {
                let ends = m.tasks.keys().filter_map(|(id, i)| {
                    let job = self.jobs.get(id)?;
                    let a = job.active.get(i)?;
                    let run = self.run_s(job);
                    Some(if a.running { (a.since + run).max(now + run * 0.25) } else { now + run })
                });
                (ends.fold(now, f64::max), name.clone())
            })
            .collect();
        out.sort_by(|a, b| a.0.total_cmp(&b.0));
        out
    }

    /// How long a task of a job runs, as far as was learned of its class.
    pub(crate) fn run_s(&self, job: &Job) -> f64 {
        self.classes.get(&job.spec.class).map_or(job.spec.estimate_s, |c| c.run_s).max(1.0)
    }

    /// Whether a gang that fits on one machine is expected to get one that is in use early
    /// enough for its class's objective; that machine is then taken.
    fn can_wait(&self, id: &str, needs: &Needs, busy: &mut [(Secs, String)], now: Secs) -> bool {
        let Some(job) = self.jobs.get(id) else { return false };
        let Some(within) = self.setup.wait_s.get(&job.spec.class) else { return false };
        let latest = job.seen + within * self.setup.patience;
        let found = busy.iter_mut().find(|(_, name)| {
            self.machines.get(name).is_some_and(|m| {
                tier(needs, &m.kind, &m.zone, m.spot).is_some() && self.cap(&m.kind).is_some_and(|c| c.times(job.room()) >= job.spec.tasks)
            })
        });
        match found {
            Some(slot) if slot.0.max(now) <= latest => {
                slot.0 += self.run_s(job);
                busy.sort_by(|a, b| a.0.total_cmp(&b.0));
                true
            }
            _ => false,
        }
    }

    /// CPUs per second that running array tasks free for others.
    fn turnover(&self) -> f64 {
        let arrays = self.jobs.values().filter(|j| j.spec.shape == Shape::Array);
        arrays.map(|j| j.active.len() as f64 * j.spec.cpus / self.run_s(j)).sum()
    }

    /// The offer with the lowest price per task that fits, preferring one that is not too big.
    fn cheapest(&mut self, kinds: &[Allowed], zone: Option<&str>, room: Room, n: u32, now: Secs) -> Option<(Offer, Room)> {
        let mut best: Option<(f64, Offer, Room)> = None;
        for Allowed { kind, spot, .. } in kinds {
            let Some(t) = self.types.get(kind) else { continue };
            let cap = Room::of_type(t);
            let slots = cap.times(room).min(n);
            if slots == 0 {
                continue;
            }
            // Boot time is paid as well; a peak pays for little more than the least charge.
            let hourly = if *spot { t.spot_price } else { t.price };
            let price = hourly * (t.boot_s + LEAST_CHARGE_S) / f64::from(slots);
            for z in t.zones.iter().filter(|z| zone.is_none_or(|w| w == z.as_str())) {
                let offer = (kind.clone(), z.clone(), *spot);
                // A little noise spreads machines over zones of the same price.
                let price = price * (1.0 + 0.01 * self.rng.f64());
                if self.fleet.available(&offer, now) && best.as_ref().is_none_or(|(p, _, _)| price < *p) {
                    best = Some((price, offer, cap));
                }
            }
        }
        best.map(|(_, offer, cap)| (offer, cap))
    }

    fn return_idle(&mut self, now: Secs) {
        let mut release: Vec<String> = Vec::new();
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else { continue };
            if m.releasing {
                continue;
            }
            let boot = self.types.get(&m.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s);
            let cheapness = self.types.get(&m.kind).map_or(1.0, |t| if m.spot { t.price / t.spot_price.max(1e-9) } else { 1.0 });
            if !m.tasks.is_empty() || !m.held.is_empty() || !m.quiet {
                m.idle_since = now;
            }
            let keep = boot * self.setup.keep_boots * cheapness;
            let faulty = m.failed_jobs.len() >= 2;
            let lost = m.lapsed_at.is_some_and(|at| now - at > boot);
            if (lost || m.rostered == Rostered::Yes && (now - m.idle_since > keep || faulty)) && !m.drain {
                log::info!("event=drain machine={name} idle_s={:.0} faulty={faulty} lost={lost}", now - m.idle_since);
                m.drain = true;
                self.tell_usable(&name);
                continue;
            }
            // Also of a lost machine its owner must show first that it places nothing there: it
            // may have come back meanwhile, and what is placed on a returned machine is lost.
            if m.drain && m.closed && m.accounted && m.quiet && m.tasks.is_empty() && m.held.is_empty() {
                m.releasing = true;
                release.push(name);
            }
        }
        if self.waits_for_unknown() && now - self.regime_at > 2.0 * wire::ANSWER_DROPPED_S + 1.5 * self.setup.report_s {
            // Long enough for a worker to give up twice on a controller that does not answer.
            // Work waits for machines that do not report: once returned they are accounted for.
            let silent: Vec<String> = self.machines.iter().filter(|(_, m)| m.unknown && !m.releasing).map(|(n, _)| n.clone()).collect();
            for name in silent {
                log::info!("event=unheard machine={name}");
                if let Some(m) = self.machines.get_mut(&name) {
                    m.releasing = true;
                }
                // It may be heard after all before it is gone; nothing is to be placed on it.
                self.tell_usable(&name);
                release.push(name);
            }
        }
        let late: Vec<String> = self
            .fleet
            .booting
            .iter()
            .filter(|(_, b)| now - b.hired_at > BOOTS_TO_WAIT * self.types.get(&b.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s))
            .map(|(n, _)| n.clone())
            .collect();
        for name in late {
            log::info!("event=never_booted machine={name}");
            release.push(name);
        }
        release.retain(|n| self.fleet.releasing.insert(n.clone()));
        for names in release.chunks(MOST_RELEASED) {
            self.deeds.push(Deed::Release(names.to_vec()));
        }
    }

    /// The cloud's answer to a hire: machines, or none for no capacity. `None`: it was not
    /// carried out or its outcome stays unknown; what came of it will be listed or report.
    pub fn hired(&mut self, name: &str, machines: Option<Vec<String>>, now: Secs) {
        let Some(hire) = self.fleet.asked.remove(name) else { return };
        let offer = (hire.kind.clone(), hire.zone.clone(), hire.spot);
        let got = machines.as_ref().map_or(0, Vec::len) as u32;
        if got < hire.count {
            let n = self.fleet.refused.get(&offer).map_or(0, |(_, n)| *n);
            let base = self.setup.list_lag_s / 2.0;
            let wait = if machines.is_some() { base * f64::from(1u32 << n.min(2)) * (0.75 + 0.5 * self.rng.f64()) } else { base / 4.0 };
            self.fleet.refused.insert(offer, (now + wait, n + 1));
        } else {
            self.fleet.refused.remove(&offer);
        }
        for m in machines.unwrap_or_default() {
            if !self.machines.contains_key(&m) {
                self.fleet.booting.insert(m, Boot { kind: hire.kind.clone(), zone: hire.zone.clone(), spot: hire.spot, hired_at: now });
            }
        }
    }

    /// The cloud has carried out a release, or it has to be asked again.
    pub fn released(&mut self, names: &[String], ok: bool) {
        for name in names {
            self.fleet.releasing.remove(name);
            if ok {
                self.fleet.released.insert(name.clone());
                self.fleet.booting.remove(name);
                self.forget_machine(name);
            } else if let Some(m) = self.machines.get_mut(name) {
                m.releasing = false;
            }
        }
    }

    /// A list of the cloud's machines: adopts what is not known, returns what has failed.
    pub fn listed(&mut self, list: &[ListedMachine], now: Secs) {
        let mut failed = Vec::new();
        for l in list {
            if self.fleet.is_released(&l.name) || self.machines.contains_key(&l.name) {
                continue;
            }
            if l.state == Listed::Failed {
                if self.fleet.releasing.insert(l.name.clone()) {
                    failed.push(l.name.clone());
                }
                continue;
            }
            if !self.fleet.booting.contains_key(&l.name) {
                log::info!("event=adopt machine={} kind={}", l.name, l.kind);
                let hired_at =
                    if l.state == Listed::Booting { now - l.age_s } else { now - self.types.get(&l.kind).map_or(0.0, |t| t.boot_s) };
                self.fleet.booting.insert(l.name.clone(), Boot { kind: l.kind.clone(), zone: l.zone.clone(), spot: l.spot, hired_at });
            }
        }
        for names in failed.chunks(MOST_RELEASED) {
            self.deeds.push(Deed::Release(names.to_vec()));
        }
    }
}
