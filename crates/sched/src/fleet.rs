//! Fleet: which machines to rent and which to return.

use crate::leader::{Action, Job, Leader, Rostered};
use crate::place::{tier, Room};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::cloud::{Hire, Listed, ListedMachine, MachineType};
use wire::peers::{Allowed, Needs};
use wire::users::{Job as Spec, Shape};

/// The cloud charges at least this long for a machine (a figure of the protocol).
const LEAST_CHARGE_S: f64 = 60.0;
/// A machine that takes this many times its nominal boot time is given up.
const BOOTS_TO_WAIT: f64 = 3.5;
/// What a slow boot takes of the nominal time, with the start of the gang's tasks.
const SLOW_BOOT: f64 = 1.25;
/// Report intervals for which an idle machine is kept at least: work that was given to it may
/// show only then.
const REPORTS_KEPT: f64 = 1.25;
/// Part of all machines that a new leader returns soon if they are the only ones not heard.
const FEW_UNKNOWN: f64 = 0.02;
/// Idle capacity of up to so many times what the jobs need that came lately is worth keeping.
const DEMAND_COVER: f64 = 4.0;
/// Part of the time that idle machines are kept where no jobs came lately: they may come again.
const LEAST_KEPT: f64 = 0.25;
/// Most machines of one request (a figure of the protocol).
const MOST_AT_ONCE: u32 = 50;
/// Most names of one release (a figure of the protocol).
const MOST_RELEASED: usize = 100;

/// An offer is not taken at this many times the price of one whose answer is still to come.
const MUCH_DEARER: f64 = 1.3;

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
    gang: bool,
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
    /// The zone that each waiting gang's machines are rented in.
    gang_zones: BTreeMap<String, Option<String>>,
    /// Machines that are there for waiting gangs: not returned meanwhile.
    kept: BTreeSet<String>,
    released: BTreeSet<String>,
    releasing: BTreeSet<String>,
    counter: u64,
    last: Secs,
    /// When jobs came, and the CPUs of all their tasks together.
    arrivals: VecDeque<(Secs, f64)>,
}

/// Whether an offer is of a type and kind that tasks may use, and in a zone if one is given.
fn allows(needs: &Needs, zone: &Option<String>, o: &Offer) -> bool {
    needs.kinds.iter().any(|a| a.kind == o.0 && a.spot == o.2)
        && zone.as_ref().is_none_or(|z| *z == o.1)
}

impl Fleet {
    pub fn gang_zone(&self, id: &str) -> Option<&String> {
        self.gang_zones.get(id)?.as_ref()
    }

    pub fn forget_job(&mut self, id: &str) {
        self.gang_zones.remove(id);
    }

    pub fn arrived(&mut self, job: &Spec, now: Secs) {
        self.arrivals
            .push_back((now, job.cpus * f64::from(job.tasks)));
        let room = Room {
            cpus: job.cpus,
            gpus: job.gpus,
            memory_gb: job.memory_gb,
        };
        let shape = self
            .shapes
            .entry(job.class.clone())
            .or_insert_with(|| ClassShape {
                room,
                types: job.types.clone(),
                spot: job.spot,
                gang: job.shape == Shape::Gang,
            });
        // The largest task seen stands for its class.
        if room.cpus > shape.room.cpus {
            shape.room = room;
        }
    }

    /// How much of idle capacity the jobs that came after an instant make worth keeping. It waits for jobs
    /// still to come: when hardly any came for as long as it is kept, it is returned sooner.
    fn demand_share(&self, since: Secs, idle_cpus: f64) -> f64 {
        let arrived = self
            .arrivals
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= since);
        let cpus: f64 = arrived.map(|(_, cpus)| cpus).sum();
        (cpus * DEMAND_COVER / idle_cpus.max(1.0)).clamp(LEAST_KEPT, 1.0)
    }

    /// CPUs of the tasks that came in a second, over some time.
    fn arrival_rate(&self, now: Secs, over_s: Secs) -> f64 {
        let arrived = self.arrivals.iter().rev();
        let lately = arrived.take_while(|(at, _)| now - at <= over_s);
        lately.map(|(_, cpus)| cpus).sum::<f64>() / over_s.max(1.0)
    }

    /// Forgets arrivals before an instant.
    fn forget_arrivals(&mut self, before: Secs) {
        while self.arrivals.front().is_some_and(|(at, _)| *at < before) {
            self.arrivals.pop_front();
        }
    }

    pub fn booted(&mut self, name: &str, now: Secs) {
        if let Some(b) = self.booting.remove(name) {
            log::info!(
                "event=booted machine={name} kind={} after_s={:.1}",
                b.kind,
                now - b.hired_at
            );
        }
    }

    pub fn is_released(&self, name: &str) -> bool {
        self.released.contains(name)
    }

    fn available(&self, offer: &Offer, now: Secs) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|(until, _)| now >= *until)
    }

    /// Whether the cloud had fewer machines of an offer than were last asked for.
    fn is_exhausted(&self, offer: &Offer) -> bool {
        self.refused.contains_key(offer)
    }
}

/// How many times cheaper than an ordinary machine one of this type and kind is.
fn cheapness(t: &MachineType, spot: bool) -> f64 {
    if spot {
        t.price / t.spot_price.max(1e-9)
    } else {
        1.0
    }
}

/// Machines on their way that have the same room left.
struct Coming {
    offer: Offer,
    free: Room,
    n: u32,
}

/// Takes room for up to `left` tasks out of what is on its way; says how many remain.
fn take_coming(
    coming: &mut Vec<Coming>,
    allowed: impl Fn(&Offer) -> bool,
    room: Room,
    mut left: u32,
) -> u32 {
    let mut changed = Vec::new();
    for c in coming.iter_mut().filter(|c| allowed(&c.offer)) {
        let times = c.free.times(room);
        if left == 0 || times == 0 {
            continue;
        }
        let whole = (left / times).min(c.n);
        let part = if whole < c.n { left - whole * times } else { 0 };
        for (n, tasks) in [(whole, times), (u32::from(part > 0), part)] {
            if n > 0 {
                let mut free = c.free;
                free.sub(room.scaled(tasks));
                changed.push(Coming {
                    offer: c.offer.clone(),
                    free,
                    n,
                });
                c.n -= n;
                left -= n * tasks;
            }
        }
    }
    coming.retain(|c| c.n > 0);
    coming.append(&mut changed);
    left
}

/// When machines in use are expected to be empty, the earliest first.
type Busy = Vec<(Secs, String)>;

impl Leader {
    /// Rents for what does not fit, and returns what is idle. Paced by the report interval, but
    /// sooner when the cloud has answered all that was asked.
    pub(crate) fn run_fleet(&mut self, now: Secs) {
        let pace = self.setup.report_s.min(1.0);
        let soon = self.fleet.asked.is_empty()
            && !self.fleet.unmet.is_empty()
            && now - self.fleet.last >= pace / 4.0;
        if now - self.fleet.last < pace && !soon || self.types.is_empty() {
            return;
        }
        self.fleet.last = now;
        let scarce = self.scarce();
        self.rent(&scarce, now);
        self.return_idle(&scarce, now);
    }

    fn coming(&self) -> Vec<Coming> {
        let mut sums: BTreeMap<Offer, u32> = BTreeMap::new();
        let booting = self
            .fleet
            .booting
            .values()
            .map(|b| (&b.kind, &b.zone, b.spot, 1));
        let asked = self
            .fleet
            .asked
            .values()
            .map(|h| (&h.kind, &h.zone, h.spot, h.count));
        let fresh = self
            .machines
            .values()
            .filter(|m| m.rostered != Rostered::Yes && m.lapsed_at.is_none() && !m.drain)
            .map(|m| (&m.kind, &m.zone, m.spot, 1));
        for (kind, zone, spot, n) in booting.chain(asked).chain(fresh) {
            *sums.entry((kind.clone(), zone.clone(), spot)).or_default() += n;
        }
        sums.into_iter()
            .filter_map(|(offer, n)| {
                Some(Coming {
                    free: self.cap(&offer.0)?,
                    offer,
                    n,
                })
            })
            .collect()
    }

    fn rent(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) {
        let mut coming = self.coming();
        // Running tasks free their room again and again while a machine boots.
        let turnover = self.turnover();
        let mut ahead = 0.0;
        let gang_waits = self.waits_for_scarce(scarce);
        let mut busy: Option<Busy> = None;
        let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
        self.fleet.kept.clear();
        for (id, n) in self.fleet.unmet.clone() {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let room = job.room();
            let needs = self.needs_sparing(job, scarce);
            if now < job.reclaims_until {
                continue;
            }
            if job.is_gang() {
                let mut slots = busy.take().unwrap_or_else(|| self.busy_until(&needs, now));
                if !self.can_wait(&id, &needs, &mut slots, now) {
                    self.rent_for_gang(&id, &needs, &mut coming, &mut wanted, now);
                }
                busy = Some(slots);
                continue;
            }
            let all = self.needs(job, None);
            let mut left = take_coming(&mut coming, |o| allows(&all, &needs.zone, o), room, n);
            while left > 0 {
                let mut found = self.cheapest(
                    &needs.kinds,
                    needs.zone.as_deref(),
                    room,
                    left,
                    &wanted,
                    now,
                );
                if found.is_none() && !gang_waits && self.all_exhausted(&needs) {
                    // Types kept for gangs, while none waits and the others are used up.
                    found =
                        self.cheapest(&all.kinds, needs.zone.as_deref(), room, left, &wanted, now);
                }
                let Some((offer, cap)) = found else { break };
                let boot = self
                    .types
                    .get(&offer.0)
                    .map_or(LEAST_CHARGE_S, |t| t.boot_s);
                // New jobs take a part of what becomes free meanwhile.
                let net =
                    (turnover - self.fleet.arrival_rate(now, boot.max(LEAST_CHARGE_S))).max(0.0);
                let served = ((net * boot - ahead) / room.cpus.max(0.01))
                    .floor()
                    .clamp(0.0, f64::from(left));
                ahead += served * room.cpus;
                left -= served as u32;
                if left == 0 || cap.times(room) == 0 {
                    break;
                }
                left = self.want(offer, cap, room, left, &mut coming, &mut wanted);
            }
        }
        for ((kind, zone, spot), mut count) in wanted {
            while count > 0 {
                self.fleet.counter += 1;
                let name = format!("lr-{}-{}", self.token(), self.fleet.counter);
                let hire = Hire {
                    name: name.clone(),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: count.min(MOST_AT_ONCE),
                };
                count -= hire.count;
                log::info!(
                    "event=hire name={name} kind={} zone={} spot={} count={}",
                    hire.kind,
                    hire.zone,
                    hire.spot,
                    hire.count
                );
                self.fleet.asked.insert(name, hire.clone());
                self.actions.push(Action::Hire(hire));
            }
        }
    }

    /// Has machines of an offer rented for `left` tasks, as many as may be asked for at present; says
    /// how many tasks remain. At least one task must fit.
    fn want(
        &self,
        offer: Offer,
        cap: Room,
        room: Room,
        left: u32,
        coming: &mut Vec<Coming>,
        wanted: &mut BTreeMap<Offer, u32>,
    ) -> u32 {
        let n = (left / cap.times(room)).clamp(1, self.most_wanted(&offer, wanted).max(1));
        coming.push(Coming {
            offer: offer.clone(),
            free: cap,
            n,
        });
        *wanted.entry(offer.clone()).or_default() += n;
        take_coming(coming, |o| *o == offer, room, left)
    }

    /// Whether any offer on which these tasks may run was not refused lately.
    fn any_offer(&self, needs: &Needs, now: Secs) -> bool {
        self.offers(needs).any(|o| self.fleet.available(&o, now))
    }

    /// Whether the cloud refused every offer on which these tasks may run when it was last asked for.
    fn all_exhausted(&self, needs: &Needs) -> bool {
        self.offers(needs).all(|o| self.fleet.is_exhausted(&o))
    }

    /// The offers on which these tasks may run.
    fn offers<'a>(&'a self, needs: &'a Needs) -> impl Iterator<Item = Offer> + 'a {
        let offers = needs.kinds.iter().flat_map(|a| {
            let zones = self.types.get(&a.kind).map_or(&[][..], |t| &t.zones);
            zones.iter().map(|z| (a.kind.clone(), z.clone(), a.spot))
        });
        offers.filter(|o| allows(needs, &needs.zone, o))
    }

    /// How many more machines of an offer may be asked for at present: what is refused shows
    /// only in the answers, and requests are few.
    fn most_wanted(&self, offer: &Offer, wanted: &BTreeMap<Offer, u32>) -> u32 {
        let asked = self
            .fleet
            .asked
            .values()
            .filter(|h| (&h.kind, &h.zone, h.spot) == (&offer.0, &offer.1, offer.2));
        let sum: u32 =
            asked.map(|h| h.count).sum::<u32>() + wanted.get(offer).copied().unwrap_or(0);
        // One machine shows whether there are some again.
        let most = if self.fleet.is_exhausted(offer) {
            1
        } else {
            MOST_AT_ONCE * 2
        };
        most.saturating_sub(sum)
    }

    /// Rents what a whole gang lacks. If its job wants one zone, that is the one which lacks
    /// least of those that are said to have machines, and it is kept to: half a gang's machines
    /// in each of two zones serve nobody. What is there for it already is not returned.
    fn rent_for_gang(
        &mut self,
        id: &str,
        needs: &Needs,
        coming: &mut Vec<Coming>,
        wanted: &mut BTreeMap<Offer, u32>,
        now: Secs,
    ) {
        let Some(job) = self.jobs.get(id) else { return };
        let (room, n, spread) = (job.room(), job.spec.tasks, job.spec.spread);
        let every: BTreeSet<Option<String>> = needs
            .kinds
            .iter()
            .filter_map(|a| self.types.get(&a.kind))
            .flat_map(|t| t.zones.iter().cloned().map(Some))
            .collect();
        if needs.zone.is_some() || !job.spec.one_zone && !spread {
            self.rent_in_zone(needs, room, n, coming, wanted, now);
            return;
        }
        let within = |zone: &Option<String>| Needs {
            zone: zone.clone(),
            ..needs.clone()
        };
        let has = |l: &Leader, zone: &Option<String>| {
            let here: u32 = l.index.fits(&within(zone)).iter().map(|f| f.times).sum();
            let on_way: u32 = coming
                .iter()
                .filter(|c| allows(needs, zone, &c.offer))
                .map(|c| c.free.times(room) * c.n)
                .sum();
            here.saturating_add(on_way)
        };
        let offers = |l: &Leader, zone: &Option<String>| l.any_offer(&within(zone), now);
        if spread {
            // No zone may have more than half: what is above that in one is of no use.
            let half = n.div_ceil(2);
            let mut order: Vec<_> = every
                .iter()
                .map(|z| (!offers(self, z), has(self, z).min(half), z.clone()))
                .collect();
            order.sort_by_key(|(none, has, _)| (*none, std::cmp::Reverse(*has)));
            let mut left = n;
            for (_, _, zone) in order {
                let take = left.min(half);
                left -= take;
                self.rent_in_zone(&within(&zone), room, take, coming, wanted, now);
            }
            return;
        }
        let lacks = |l: &Leader, zone: &Option<String>| n.saturating_sub(has(l, zone));
        let long = self.waits_long(id, now);
        let good = |z: &&Option<String>| {
            every.contains(*z) && (long || lacks(self, z) == 0 || offers(self, z))
        };
        let stays = self.fleet.gang_zones.get(id).filter(good).cloned();
        let best = || {
            every
                .iter()
                .min_by_key(|z| (lacks(self, z) > 0 && !offers(self, z), lacks(self, z)))
                .cloned()
        };
        let Some(zone) = stays.or_else(best) else {
            return;
        };
        self.fleet.gang_zones.insert(id.into(), zone.clone());
        self.rent_in_zone(&within(&zone), room, n, coming, wanted, now);
    }

    /// Keeps what is free for `n` tasks, and rents what they lack beside what is on its way.
    fn rent_in_zone(
        &mut self,
        needs: &Needs,
        room: Room,
        n: u32,
        coming: &mut Vec<Coming>,
        wanted: &mut BTreeMap<Offer, u32>,
        now: Secs,
    ) {
        let mut left = n;
        for f in self.index.fits(needs) {
            if left == 0 {
                break;
            }
            left -= f.times.min(left);
            self.fleet.kept.insert(f.name.to_string());
        }
        left = take_coming(coming, |o| allows(needs, &needs.zone, o), room, left);
        while left > 0 {
            let Some((offer, cap)) =
                self.cheapest(&needs.kinds, needs.zone.as_deref(), room, left, wanted, now)
            else {
                break;
            };
            if cap.times(room) == 0 {
                break;
            }
            left = self.want(offer, cap, room, left, coming, wanted);
        }
    }

    /// Whether a gang has waited so long that machines are set aside for it.
    pub(crate) fn waits_long(&self, id: &str, now: Secs) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let within = self
            .setup
            .wait_s
            .get(&job.spec.class)
            .copied()
            .unwrap_or(self.setup.guarantee_s * 4.0);
        now - job.seen > within * self.setup.patience
    }

    /// When machines on which these tasks may run are expected to be empty, the earliest first.
    fn busy_until(&self, needs: &Needs, now: Secs) -> Busy {
        let mut out: Busy = self
            .machines
            .iter()
            .filter(|(_, m)| m.open() && tier(needs, &m.kind, &m.zone, m.spot).is_some())
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
        self.classes
            .get(&job.spec.class)
            .map_or(job.spec.estimate_s, |c| c.run_s)
            .max(1.0)
    }

    /// Whether a gang is expected to get machines that are in use early enough for its class's
    /// objective; those machines are then taken.
    fn can_wait(&self, id: &str, needs: &Needs, busy: &mut Busy, now: Secs) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(within) = self.setup.wait_s.get(&job.spec.class) else {
            return false;
        };
        // What is rented at once must still be up in time, slow boots included.
        let boot = needs
            .kinds
            .iter()
            .filter_map(|a| self.types.get(&a.kind))
            .map(|t| t.boot_s)
            .fold(f64::MAX, f64::min);
        let latest = job.seen + (within * self.setup.patience).min(within - boot * SLOW_BOOT);
        let mut slots: BTreeMap<&str, (u32, Vec<usize>)> = BTreeMap::new();
        let mut found = None;
        for (at, (until, name)) in busy.iter().enumerate() {
            let Some(m) = self
                .machines
                .get(name)
                .filter(|m| tier(needs, &m.kind, &m.zone, m.spot).is_some())
            else {
                continue;
            };
            if until.max(now) > latest {
                break;
            }
            let (have, chosen) = slots
                .entry(if job.spec.one_zone { &m.zone } else { "" })
                .or_default();
            *have += self.cap(&m.kind).map_or(0, |c| c.times(job.room()));
            chosen.push(at);
            if *have >= job.spec.tasks {
                found = Some(std::mem::take(chosen));
                break;
            }
        }
        let Some(chosen) = found else { return false };
        let run = self.run_s(job);
        chosen.into_iter().for_each(|at| busy[at].0 += run);
        busy.sort_by(|a, b| a.0.total_cmp(&b.0));
        true
    }

    /// CPUs per second that running array tasks free for others.
    pub(crate) fn turnover(&self) -> f64 {
        let arrays = self.jobs.values().filter(|j| j.spec.shape == Shape::Array);
        arrays
            .map(|j| j.active.len() as f64 * j.spec.cpus / self.run_s(j))
            .sum()
    }

    /// The offer with the lowest price per task that fits, preferring one that is not too big.
    /// None if what costs much less than the rest is being asked for to the limit: its answer
    /// comes soon.
    fn cheapest(
        &mut self,
        kinds: &[Allowed],
        zone: Option<&str>,
        room: Room,
        n: u32,
        wanted: &BTreeMap<Offer, u32>,
        now: Secs,
    ) -> Option<(Offer, Room)> {
        let mut best: Option<(f64, Offer, Room)> = None;
        let mut least = f64::MAX;
        for Allowed { kind, spot, .. } in kinds {
            let Some(t) = self.types.get(kind) else {
                continue;
            };
            let cap = Room::of_type(t);
            let slots = cap.times(room).min(n);
            if slots == 0 {
                continue;
            }
            // Boot time is paid as well; a peak pays for little more than the least charge.
            let hourly = if *spot { t.spot_price } else { t.price };
            let price = hourly * (t.boot_s + LEAST_CHARGE_S) / f64::from(slots);
            for z in t
                .zones
                .iter()
                .filter(|z| zone.is_none_or(|w| w == z.as_str()))
            {
                let offer = (kind.clone(), z.clone(), *spot);
                // A little noise spreads machines over zones of the same price.
                let price = price * (1.0 + 0.01 * self.rng.f64());
                let is_probed =
                    self.fleet.is_exhausted(&offer) && self.most_wanted(&offer, wanted) == 0;
                if !self.fleet.available(&offer, now) || is_probed {
                    continue;
                }
                least = least.min(price);
                if self.most_wanted(&offer, wanted) > 0
                    && best.as_ref().is_none_or(|(p, _, _)| price < *p)
                {
                    best = Some((price, offer, cap));
                }
            }
        }
        best.filter(|(price, _, _)| *price <= least * MUCH_DEARER)
            .map(|(_, offer, cap)| (offer, cap))
    }

    /// How long machines are kept for the next gang of a class that has no other type, and that
    /// could hardly start in time on a machine that must boot first.
    fn kept_warm(&self, scarce: &BTreeSet<(String, bool)>) -> BTreeMap<(String, bool), f64> {
        let mut out: BTreeMap<(String, bool), f64> = BTreeMap::new();
        for (class, shape) in self.fleet.shapes.iter().filter(|(_, s)| s.gang) {
            let Some(within) = self.setup.wait_s.get(class) else {
                continue;
            };
            for t in self
                .types
                .values()
                .filter(|t| shape.fits(t) && t.boot_s * SLOW_BOOT > within / 2.0)
            {
                for spot in [true, false]
                    .into_iter()
                    .filter(|spot| scarce.contains(&(t.name.clone(), *spot)))
                {
                    let keep = out.entry((t.name.clone(), spot)).or_default();
                    *keep = keep.max(*within);
                }
            }
        }
        out
    }

    fn return_idle(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) {
        let mut release: Vec<String> = Vec::new();
        let warm = self.kept_warm(scarce);
        // While work waits until all machines are known, idle ones are not idle for lack of work.
        let blocked = self.waits_for_unknown();
        let idle = self
            .machines
            .values()
            .filter(|m| m.open() && m.tasks.is_empty() && m.held.is_empty());
        let idle_cpus = idle
            .filter_map(|m| self.cap(&m.kind))
            .map(|cap| cap.cpus)
            .sum();
        let longest_keep = self
            .types
            .values()
            .map(|t| t.boot_s * cheapness(t, true))
            .fold(0.0, f64::max);
        self.fleet
            .forget_arrivals(now - longest_keep * self.setup.keep_boots);
        let names: Vec<String> = self.machines.keys().cloned().collect();
        for name in names {
            let Some(m) = self.machines.get_mut(&name) else {
                continue;
            };
            if m.releasing {
                continue;
            }
            let boot = self.types.get(&m.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s);
            let cheapness = self
                .types
                .get(&m.kind)
                .map_or(1.0, |t| cheapness(t, m.spot));
            if !m.tasks.is_empty()
                || !m.held.is_empty()
                || !m.quiet
                || blocked
                || self.fleet.kept.contains(&name)
            {
                m.idle_since = now;
            }
            let keep = boot * self.setup.keep_boots * cheapness;
            let keep = keep * self.fleet.demand_share(now - keep, idle_cpus);
            let for_gangs = warm.get(&(m.kind.clone(), m.spot)).copied().unwrap_or(0.0);
            let keep = keep.max(for_gangs).max(self.setup.report_s * REPORTS_KEPT);
            let faulty = m.failed_jobs.len() >= 2;
            let lost = m.lapsed_at.is_some_and(|at| now - at > boot);
            if (lost || m.rostered == Rostered::Yes && (now - m.idle_since > keep || faulty))
                && !m.drain
            {
                log::info!(
                    "event=drain machine={name} idle_s={:.0} faulty={faulty} lost={lost}",
                    now - m.idle_since
                );
                m.drain = true;
                self.tell_usable(&name);
                continue;
            }
            // Also of a lost machine its owner must show first that it places nothing there: it
            // may have come back meanwhile, and what is placed on a returned machine is lost.
            if m.drain
                && m.closed
                && m.reconciled
                && m.quiet
                && m.tasks.is_empty()
                && m.held.is_empty()
            {
                m.releasing = true;
                release.push(name);
            }
        }
        // Nearly all were heard and the last of them a while ago, long enough for a worker whose report
        // was lost to try again: the few that are left are dead, and all work would wait for them.
        let few = self.unknown.len() as f64 <= self.machines.len() as f64 * FEW_UNKNOWN;
        let heard = now - self.known_at.max(self.epoch_at) <= wire::ANSWER_DROPPED_S * 1.25;
        let long = now - self.epoch_at > 2.0 * wire::ANSWER_DROPPED_S + 1.5 * self.setup.report_s;
        if blocked && (long || few && !heard) {
            // Long enough for a worker to give up twice on a controller that does not answer.
            // Work waits for machines that do not report: once returned they are reconciled.
            let silent: Vec<String> = self
                .machines
                .iter()
                .filter(|(_, m)| m.unknown && !m.releasing)
                .map(|(n, _)| n.clone())
                .collect();
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
            .filter(|(_, b)| {
                now - b.hired_at
                    > BOOTS_TO_WAIT * self.types.get(&b.kind).map_or(LEAST_CHARGE_S, |t| t.boot_s)
            })
            .map(|(n, _)| n.clone())
            .collect();
        for name in late {
            log::info!("event=never_booted machine={name}");
            release.push(name);
        }
        release.retain(|n| self.fleet.releasing.insert(n.clone()));
        for names in release.chunks(MOST_RELEASED) {
            self.actions.push(Action::Release(names.to_vec()));
        }
    }

    /// The cloud's answer to a hire: machines, or none for no capacity. `None`: it was not
    /// carried out or its outcome stays unknown; what came of it will be listed or report.
    pub fn hired(&mut self, name: &str, machines: Option<Vec<String>>, now: Secs) {
        let Some(hire) = self.fleet.asked.remove(name) else {
            return;
        };
        let offer = (hire.kind.clone(), hire.zone.clone(), hire.spot);
        let got = machines.as_ref().map_or(0, Vec::len) as u32;
        if got < hire.count {
            let n = self.fleet.refused.get(&offer).map_or(0, |(_, n)| *n);
            let base = self.setup.list_lag_s / 2.0;
            let wait = if machines.is_some() {
                base * f64::from(1u32 << n.min(2)) * (0.75 + 0.5 * self.rng.f64())
            } else {
                base / 4.0
            };
            self.fleet.refused.insert(offer, (now + wait, n + 1));
        } else {
            self.fleet.refused.remove(&offer);
        }
        for m in machines.unwrap_or_default() {
            if !self.machines.contains_key(&m) {
                self.fleet.booting.insert(
                    m,
                    Boot {
                        kind: hire.kind.clone(),
                        zone: hire.zone.clone(),
                        spot: hire.spot,
                        hired_at: now,
                    },
                );
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
                let hired_at = if l.state == Listed::Booting {
                    now - l.age_s
                } else {
                    now - self.types.get(&l.kind).map_or(0.0, |t| t.boot_s)
                };
                self.fleet.booting.insert(
                    l.name.clone(),
                    Boot {
                        kind: l.kind.clone(),
                        zone: l.zone.clone(),
                        spot: l.spot,
                        hired_at,
                    },
                );
            }
        }
        for names in failed.chunks(MOST_RELEASED) {
            self.actions.push(Action::Release(names.to_vec()));
        }
    }
}
