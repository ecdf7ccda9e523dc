//! The queue and the one pass that places its entries.
//!
//! Order: entries within their team's guarantee first, then by priority, creation (the store's
//! revision), id. A gang is one entry. An entry that backs off or does not fit is passed over
//! and does not block those behind it.

use crate::leader::{Active, Begun, Deed, Job, Leader, Machine, Phase, Place};
use crate::place::{rank, slow_above_gb, tier, Candidate, Room, SLACK};
use crate::ranges::runs;
use crate::setup::Team;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::{Allowed, Needs, ToOwner};

/// Most array tasks given out in one pass; the rest follows in the next.
const TASKS_AT_ONCE: u32 = 400;

/// A machine as the pass sees it.
struct Spot {
    kind: String,
    zone: String,
    spot: bool,
    owner: String,
    free: Room,
    images: Vec<String>,
    empty: bool,
    /// Images above this size take long to fetch.
    slow_above_gb: f64,
}

type Spots = BTreeMap<String, Spot>;

fn candidate<'a>(s: &'a Spot, needs: &Needs) -> Candidate<'a> {
    Candidate {
        kind: &s.kind,
        zone: &s.zone,
        spot: s.spot,
        free: s.free,
        has_image: s.images.contains(&needs.image),
        slow_fetch: needs.image_gb > s.slow_above_gb,
        empty: s.empty,
    }
}

fn best(spots: &Spots, needs: &Needs) -> Option<String> {
    spots.iter().filter_map(|(n, s)| Some((rank(needs, &candidate(s, needs))?, n))).min().map(|(_, n)| n.clone())
}

impl Leader {
    pub(crate) fn schedule(&mut self, now: Secs) {
        self.mark_within();
        let scarce = self.scarce();
        let mut spots = self.spots();
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| !j.ready.is_empty() && !j.uncertain && !j.over)
            .map(|(id, j)| (!j.within, j.spec.priority, j.revision, id.clone()))
            .collect();
        order.sort();
        // Machines kept for gangs take array tasks, last of all, while no gang waits for room.
        let gang_waits = self.fleet.unmet.iter().any(|(id, _)| self.jobs.get(id).is_some_and(|j| j.is_gang()));
        self.fleet.unmet.clear();
        let mut left = TASKS_AT_ONCE;
        for (_, _, _, id) in order {
            let Some(job) = self.jobs.get(&id) else { continue };
            if now < job.backoff_until {
                continue;
            }
            let quota = self.quota(job);
            if quota == 0 {
                continue;
            }
            let all = self.needs(job, None);
            let mut needs = self.needs_sparing(job, &scarce);
            if !job.is_gang() && !gang_waits {
                let last = all.kinds.into_iter().filter(|a| !needs.kinds.iter().any(|n| n.kind == a.kind && n.spot == a.spot));
                needs.kinds.extend(last.map(|a| Allowed { tier: 2, ..a }).collect::<Vec<_>>());
            }
            if job.is_gang() {
                self.place_gang(&id, &needs, quota, &mut spots, now);
            } else {
                self.place_array(&id, &needs, quota, &mut spots, &mut left, now);
            }
        }
    }

    /// Marks the jobs that fit into their team's guarantee together with its earlier ones.
    fn mark_within(&mut self) {
        let mut order: Vec<(u64, String)> = self.jobs.iter().filter(|(_, j)| !j.over).map(|(id, j)| (j.revision, id.clone())).collect();
        order.sort();
        let mut sums: BTreeMap<String, (f64, f64)> = BTreeMap::new();
        for (_, id) in order {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let Some(team) = self.setup.teams.get(&job.spec.team) else { continue };
            let n = f64::from(job.spec.tasks - job.done.len().min(job.spec.tasks));
            let sum = sums.entry(job.spec.team.clone()).or_default();
            let cap = |n: f64, each: f64, most: f64| if each > 0.0 { n.min((most / each).floor()) * each } else { 0.0 };
            sum.0 += cap(n, job.spec.cpus, team.cpus_max);
            sum.1 += cap(n, job.spec.gpus, team.gpus_max);
            job.within = sum.0 <= team.cpus + SLACK && sum.1 <= team.gpus + SLACK;
        }
    }

    /// What machines of unknown content may take from a team's limit: all they have, but no
    /// more than the team's jobs that may be there could use.
    fn unknown_room(&self, team: &str) -> Room {
        let sum = |out: &mut Room, m: &Machine| out.add(self.cap(&m.kind).unwrap_or_default());
        let (mut foreign, mut unknown) = (Room::default(), Room::default());
        self.machines.values().filter(|m| m.foreign && !m.unknown).for_each(|m| sum(&mut foreign, m));
        self.machines.values().filter(|m| m.unknown).for_each(|m| sum(&mut unknown, m));
        if !self.lately_cancelled.contains(team) {
            let mut most = Room::default();
            for j in self.jobs.values().filter(|j| j.uncertain && j.spec.team == team) {
                let n = f64::from(j.spec.tasks - j.done.len().min(j.spec.tasks)) - j.active.len() as f64;
                most.cpus += n.max(0.0) * j.spec.cpus;
                most.gpus += n.max(0.0) * j.spec.gpus;
            }
            unknown.cpus = unknown.cpus.min(most.cpus);
            unknown.gpus = unknown.gpus.min(most.gpus);
        }
        foreign.add(unknown);
        foreign
    }

    /// How many more tasks of a job its team's limit allows (all or nothing for a gang).
    fn quota(&self, job: &Job) -> u32 {
        let Some(Team { cpus_max, gpus_max, .. }) = self.setup.teams.get(&job.spec.team) else {
            return 0;
        };
        let mut free = Room { cpus: *cpus_max, gpus: *gpus_max, memory_gb: f64::MAX };
        free.sub(Room { memory_gb: 0.0, ..self.unknown_room(&job.spec.team) });
        free.sub(Room { memory_gb: 0.0, ..self.team_used.get(&job.spec.team).copied().unwrap_or_default() });
        for j in self.jobs.values().filter(|j| j.spec.team == job.spec.team) {
            if let Phase::Holding { .. } | Phase::Binding { .. } = j.phase {
                (0..j.spec.tasks).for_each(|_| free.sub(Room { memory_gb: 0.0, ..j.room() }));
            }
        }
        let n = free.times(Room { memory_gb: 0.0, ..job.room() }).min(job.ready.len());
        if job.is_gang() && n < job.spec.tasks {
            0
        } else {
            n
        }
    }

    /// Machine types that are the only ones on which some class's tasks fit: kept for those.
    pub(crate) fn scarce(&self) -> BTreeSet<(String, bool)> {
        let mut out = BTreeSet::new();
        for shape in self.fleet.shapes.values() {
            let kinds: BTreeSet<&str> = self.types.values().filter(|t| shape.fits(t)).map(|t| t.name.as_str()).collect();
            if kinds.len() == 1 && self.types.len() > 1 {
                for k in kinds {
                    out.insert((k.to_string(), false));
                    if shape.spot {
                        out.insert((k.to_string(), true));
                    }
                }
            }
        }
        out
    }

    pub(crate) fn needs(&self, job: &Job, without: Option<&BTreeSet<(String, bool)>>) -> Needs {
        let s = &job.spec;
        let mut kinds = Vec::new();
        for t in self.types.values() {
            if s.types.as_ref().is_some_and(|l| !l.contains(&t.name)) || !Room::of_type(t).holds(job.room()) {
                continue;
            }
            for spot in [true, false] {
                let pair = (t.name.clone(), spot);
                if (!spot || s.spot) && !without.is_some_and(|w| w.contains(&pair)) {
                    // Cheap machines first, so that dear ones become empty and can be returned.
                    kinds.push(Allowed { kind: pair.0, spot, tier: u8::from(!spot) });
                }
            }
        }
        let image = s.image.clone();
        Needs { cpus: s.cpus, gpus: s.gpus, memory_gb: s.memory_gb, image, image_gb: s.image_gb, kinds, zone: s.zone.clone() }
    }

    /// The same without scarce machine types, unless the job has no other.
    pub(crate) fn needs_sparing(&self, job: &Job, scarce: &BTreeSet<(String, bool)>) -> Needs {
        let needs = self.needs(job, Some(scarce));
        if needs.kinds.is_empty() {
            return self.needs(job, None);
        }
        needs
    }

    fn spots(&self) -> Spots {
        self.machines
            .iter()
            .filter(|(_, m)| m.open())
            .filter_map(|(n, m)| {
                let t = self.types.get(&m.kind)?;
                let free = m.free(Room::of_type(t));
                Some((
                    n.clone(),
                    Spot {
                        kind: m.kind.clone(),
                        zone: m.zone.clone(),
                        spot: m.spot,
                        owner: m.owner.clone(),
                        free,
                        images: m.images.clone(),
                        empty: m.tasks.is_empty(),
                        slow_above_gb: slow_above_gb(t, self.setup.guarantee_s),
                    },
                ))
            })
            .collect()
    }

    /// Tasks of a job by zone, leftovers included; none while the place of one is not known.
    fn zones_in_use(&self, job: &Job) -> Option<BTreeMap<String, u32>> {
        let mut out = BTreeMap::new();
        for a in job.active.values() {
            let (Place::Given(_, m) | Place::On(m)) = &a.place else {
                return None;
            };
            *out.entry(self.machines.get(m)?.zone.clone()).or_insert(0) += 1;
        }
        Some(out)
    }

    /// Where an array's next task may go, zone by zone, when zones matter to its job.
    fn zone_limits(&self, job: &Job, spots: &Spots) -> Option<BTreeMap<String, u32>> {
        let used = self.zones_in_use(job)?;
        let half = job.spec.tasks.div_ceil(2);
        let zones: BTreeSet<&String> = spots.values().map(|s| &s.zone).collect();
        let one = job.spec.one_zone.then(|| used.keys().next().cloned().or_else(|| self.roomiest_zone(job, spots))).flatten();
        Some(
            zones
                .into_iter()
                .filter(|z| !job.spec.one_zone || one.as_ref() == Some(*z))
                .map(|z| (z.clone(), if job.spec.spread { half.saturating_sub(used.get(z).copied().unwrap_or(0)) } else { u32::MAX }))
                .collect(),
        )
    }

    fn roomiest_zone(&self, job: &Job, spots: &Spots) -> Option<String> {
        let needs = self.needs(job, None);
        let mut room: BTreeMap<&String, u32> = BTreeMap::new();
        for s in spots.values().filter(|s| tier(&needs, &s.kind, &s.zone, s.spot).is_some()) {
            *room.entry(&s.zone).or_default() += s.free.times(job.room());
        }
        room.into_iter().filter(|(_, n)| *n > 0).max_by_key(|(_, n)| *n).map(|(z, _)| z.clone())
    }

    fn place_array(&mut self, id: &str, needs: &Needs, quota: u32, spots: &mut Spots, left: &mut u32, now: Secs) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        // Recorded once before its first start, so that a later leader knows which jobs an
        // earlier one has never touched and need not wait for every machine with them.
        if job.begun != Begun::Yes {
            if job.begun == Begun::No {
                job.begun = Begun::Writing;
                self.deeds.push(Deed::Begin { job: id.into() });
            }
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        let zoned = job.spec.one_zone || job.spec.spread;
        let mut limits = if zoned { self.zone_limits(job, spots) } else { Some(BTreeMap::new()) };
        let Some(limits) = limits.as_mut() else { return };
        let room = job.room();
        let indexes: Vec<u32> = job.ready.iter().take(quota.min(*left) as usize).collect();
        let mut given: BTreeMap<(String, Option<String>), Vec<u32>> = BTreeMap::new();
        let attempt = self.next_attempt();
        let mut placed = 0;
        for index in indexes {
            let machine = if zoned {
                limits.iter().filter(|(_, n)| **n > 0).find_map(|(z, _)| best(spots, &Needs { zone: Some(z.clone()), ..needs.clone() }))
            } else {
                best(spots, needs)
            };
            let Some(machine) = machine else { break };
            let Some(s) = spots.get_mut(&machine) else { break };
            s.free.sub(room);
            s.empty = false;
            if !s.images.contains(&needs.image) {
                s.images.push(needs.image.clone());
            }
            if zoned {
                if let Some(n) = limits.get_mut(&s.zone) {
                    *n = n.saturating_sub(1);
                }
            }
            let zone = zoned.then(|| s.zone.clone());
            let owner = s.owner.clone();
            given.entry((owner.clone(), zone)).or_default().push(index);
            self.see_image(&machine, &needs.image);
            self.give_active(id, index, attempt, owner, machine, now);
            placed += 1;
        }
        *left -= placed;
        for ((owner, zone), indexes) in given {
            let mut needs = needs.clone();
            if zone.is_some() {
                needs.zone = zone;
            }
            self.deeds.push(Deed::Send(owner, ToOwner::Give { job: id.into(), attempt, needs, tasks: runs(indexes) }));
        }
        if placed < quota {
            self.fleet.unmet.push((id.into(), quota - placed));
        }
    }

    fn see_image(&mut self, machine: &str, image: &str) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.images.retain(|i| i != image);
            m.images.insert(0, image.to_string());
            m.images.truncate(8);
        }
    }

    fn give_active(&mut self, id: &str, index: u32, attempt: u64, owner: String, machine: String, now: Secs) {
        self.set_active(id, index, Active { attempt, place: Place::Given(owner, machine), running: false, stop_sent: false, since: now });
    }

    /// Finds room for a whole gang in the picture; only then are the owners asked to hold it.
    fn place_gang(&mut self, id: &str, needs: &Needs, quota: u32, spots: &mut Spots, now: Secs) {
        let Some(job) = self.jobs.get(id) else { return };
        let here = job.ready.len() + job.active.len() as u32;
        // The count check: a group with fewer tasks than its minimum is turned away.
        if here < job.minimum() || job.phase != Phase::Idle || !job.active.is_empty() || quota < job.spec.tasks {
            return;
        }
        let n = job.spec.tasks;
        let zones: Vec<Option<String>> = match (&needs.zone, job.spec.one_zone) {
            (None, true) => spots.values().map(|s| s.zone.clone()).collect::<BTreeSet<_>>().into_iter().map(Some).collect(),
            (zone, _) => vec![zone.clone()],
        };
        let most_in_zone = if job.spec.spread { n.div_ceil(2) } else { n };
        let found = zones.into_iter().find_map(|zone| fit(spots, &Needs { zone, ..needs.clone() }, n, most_in_zone));
        let Some(counts) = found else {
            self.fleet.unmet.push((id.into(), n));
            return;
        };
        let room = job.room();
        let attempt = self.next_attempt();
        let mut places = Vec::new();
        let mut by_owner: BTreeMap<String, Vec<(String, u32, u32)>> = BTreeMap::new();
        let mut first = 0;
        for (machine, count) in counts {
            let Some(s) = spots.get_mut(&machine) else { continue };
            let mut sum = Room::default();
            (0..count).for_each(|_| sum.add(room));
            s.free.sub(sum);
            s.empty = false;
            if let Some(m) = self.machines.get_mut(&machine) {
                m.held.insert(attempt, sum);
            }
            self.see_image(&machine, &needs.image);
            let Some(s) = spots.get(&machine) else { continue };
            places.push((machine.clone(), first, count));
            by_owner.entry(s.owner.clone()).or_default().push((machine, first, count));
            first += count;
        }
        // Jitter, so that gangs held in one burst don't lapse in step.
        let wait = self.setup.hold_s * (0.75 + 0.5 * self.rng.f64());
        log::info!("event=hold job={id} attempt={attempt} machines={} wait_s={wait:.1}", places.len());
        if let Some(job) = self.jobs.get_mut(id) {
            job.phase = Phase::Holding { attempt, waiting: by_owner.keys().cloned().collect(), until: now + wait, places };
        }
        for (owner, places) in by_owner {
            let message = ToOwner::Hold { job: id.into(), attempt, needs: needs.clone(), places, wait_ms: (wait * 1000.0) as u64 };
            self.deeds.push(Deed::Send(owner, message));
        }
    }

    pub(crate) fn on_hold_answer(&mut self, from: &str, attempt: u64, held: bool, now: Secs) {
        let found = self.jobs.iter().find(|(_, j)| match &j.phase {
            Phase::Holding { attempt: a, .. } | Phase::Binding { attempt: a, .. } | Phase::Running { attempt: a } => *a == attempt,
            _ => false,
        });
        let Some(id) = found.map(|(id, _)| id.clone()) else { return };
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match &mut job.phase {
            Phase::Holding { waiting, until, places, .. } if held => {
                waiting.remove(from);
                if waiting.is_empty() {
                    let (until, places) = (*until, places.clone());
                    job.phase = Phase::Binding { attempt, until, places: places.clone() };
                    self.deeds.push(Deed::Bind { job: id, attempt, places });
                }
            }
            Phase::Holding { .. } | Phase::Binding { .. } if !held => {
                log::info!("event=hold_refused job={id} owner={from}");
                self.end_hold(&id, now, true);
            }
            Phase::Running { .. } if !held => {
                // The room was given up before the binding came: the gang has to begin anew.
                let lost: Vec<u32> =
                    job.active.iter().filter(|(_, a)| matches!(&a.place, Place::Given(o, _) if o == from)).map(|(i, _)| *i).collect();
                for i in lost {
                    self.gone(&id, i);
                }
            }
            _ => {}
        }
    }

    /// The binding is durable, or could not be written.
    pub fn bind_result(&mut self, id: &str, attempt: u64, written: bool, now: Secs) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let Phase::Binding { attempt: a, until, places } = &job.phase else { return };
        if *a != attempt {
            return;
        }
        // A machine that was returned meanwhile took its held room with it.
        let here = places.iter().all(|(m, _, _)| self.machines.contains_key(m));
        if !written || !here || now >= *until {
            self.end_hold(id, now, true);
            return;
        }
        let places = places.clone();
        job.phase = Phase::Running { attempt };
        job.failures = 0;
        let mut owners = BTreeSet::new();
        for (machine, first, n) in &places {
            let Some(m) = self.machines.get_mut(machine) else { continue };
            m.held.remove(&attempt);
            let owner = m.owner.clone();
            owners.insert(owner.clone());
            for i in *first..first + n {
                self.give_active(id, i, attempt, owner.clone(), machine.clone(), now);
            }
        }
        log::info!("event=bound job={id} attempt={attempt}");
        for owner in owners {
            self.deeds.push(Deed::Send(owner, ToOwner::Bind { attempt }));
        }
    }

    /// Releases the room of a waiting gang everywhere; with a failure it backs off longer
    /// each time, and keeps its place in the order.
    pub(crate) fn end_hold(&mut self, id: &str, now: Secs, failed: bool) {
        let Some(job) = self.jobs.get_mut(id) else { return };
        let phase = std::mem::replace(&mut job.phase, Phase::Idle);
        if failed {
            job.failures += 1;
            let wait = self.setup.hold_s / 20.0 * f64::from(1u32 << job.failures.min(6)) * (0.75 + 0.5 * self.rng.f64());
            job.backoff_until = now + wait;
        }
        self.release_hold(&phase);
    }

    pub(crate) fn release_hold(&mut self, phase: &Phase) {
        let (Phase::Holding { attempt, places, .. } | Phase::Binding { attempt, places, .. }) = phase else {
            return;
        };
        let mut owners = BTreeSet::new();
        for (machine, _, _) in places {
            if let Some(m) = self.machines.get_mut(machine) {
                m.held.remove(attempt);
                owners.insert(m.owner.clone());
            }
        }
        for owner in owners {
            self.deeds.push(Deed::Send(owner, ToOwner::Release { attempt: *attempt }));
        }
        self.wake();
    }
}

/// Machines for `n` tasks, at most `most_in_zone` in one zone; none if they don't all fit.
fn fit(spots: &Spots, needs: &Needs, n: u32, most_in_zone: u32) -> Option<Vec<(String, u32)>> {
    let room = Room::of(needs);
    let mut fits: Vec<_> =
        spots.iter().filter_map(|(name, s)| Some((rank(needs, &candidate(s, needs))?, name, s.free.times(room), &s.zone))).collect();
    fits.sort();
    let mut in_zone: BTreeMap<&String, u32> = BTreeMap::new();
    let (mut left, mut out) = (n, Vec::new());
    for (_, name, times, zone) in fits {
        let used = in_zone.entry(zone).or_default();
        let take = times.min(left).min(most_in_zone - *used);
        if take > 0 {
            *used += take;
            left -= take;
            out.push((name.clone(), take));
        }
    }
    (left == 0).then_some(out)
}
