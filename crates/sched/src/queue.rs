//! The queue and the one pass that places its entries.
//!
//! Order: entries within their team's guarantee first, then by priority, creation (the store's
//! revision), id. A gang is one entry. An entry that backs off or does not fit is passed over
//! and does not block those behind it.

use crate::index::{Found, Spot};
use crate::leader::{Action, Active, Begun, Job, Leader, Machine, Phase, Place};
use crate::place::{Room, SLACK};
use crate::ranges::runs;
use crate::views::LONGEST_BACKOFF_S;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::{Allowed, Needs, ToOwner};

/// What one pass keeps for itself.
struct Pass {
    /// What each team may still use beside what is and may be in use.
    limits: BTreeMap<String, Room>,
    /// A gang that has waited long, and the machines set aside for it.
    aside: Option<(String, Needs)>,
    /// CPUs that tasks may wait for at each owner, once that was asked.
    ahead: Option<BTreeMap<String, f64>>,
    /// CPUs of array tasks that found no room so far.
    queued: f64,
    /// CPUs that array tasks free in a second; none once more were given.
    turnover: Option<f64>,
}

/// Tasks may wait at an owner for what becomes free in so many times the time that the leader needs
/// to learn of room and to give it away.
const AHEAD: f64 = 2.0;
/// What found no room after this many times the same is handed back.
const AHEAD_WAIT: f64 = 5.0;

impl Leader {
    pub(crate) fn schedule(&mut self, now: Secs) {
        self.refresh_index();
        self.mark_within();
        let scarce = self.scarce();
        let mut pass = Pass {
            limits: self.limits(),
            aside: self.set_aside(&scarce, now),
            ahead: None,
            queued: 0.0,
            turnover: None,
        };
        let mut order: Vec<_> = self
            .jobs
            .iter()
            .filter(|(_, j)| {
                !j.ready.is_empty() && !j.uncertain && !j.over && now >= j.backoff_until
            })
            .map(|(id, j)| (!j.within, j.priority, j.revision, id.clone()))
            .collect();
        order.sort_unstable();
        // Machines kept for gangs take array tasks, last of all, while no such gang waits for room.
        let gang_waits = self.waits_for_scarce(&scarce);
        self.fleet.unmet.clear();
        for (_, _, _, id) in order {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let quota = pass.quota(job);
            if quota == 0 {
                continue;
            }
            let mut needs = self.needs_sparing(job, &scarce);
            if !job.is_gang() && !gang_waits {
                let all = self.needs(job, None);
                let last = all.kinds.into_iter().filter(|a| {
                    !needs
                        .kinds
                        .iter()
                        .any(|n| n.kind == a.kind && n.spot == a.spot)
                });
                needs
                    .kinds
                    .extend(last.map(|a| Allowed { tier: 2, ..a }).collect::<Vec<_>>());
            }
            if job.is_gang() {
                self.place_gang(&id, &needs, quota, &mut pass, now);
            } else {
                self.place_array(&id, &needs, quota, &mut pass, now);
            }
        }
        self.ask_begin();
    }

    /// The gang of several tasks that has waited longest, if too long, and where machines are left
    /// to it: all that it may use of one zone. Without this, smaller gangs and arrays take each
    /// machine that becomes free, for ever.
    pub(crate) fn set_aside(
        &self,
        scarce: &BTreeSet<(String, bool)>,
        now: Secs,
    ) -> Option<(String, Needs)> {
        let waits = |job: &Job| {
            let whole = job.needs_many_at_once()
                && job.phase == Phase::Idle
                && !job.over
                && !job.ready.is_empty();
            whole && (now < job.reclaims_until || self.waits_long(&job.spec.id, now))
        };
        let unmet = self
            .fleet
            .unmet
            .iter()
            .filter_map(|(id, _)| Some((self.jobs.get(id)?, id)));
        let (_, id) = unmet
            .filter(|(job, _)| waits(job))
            .min_by_key(|(job, _)| job.revision)?;
        let needs = self.needs_sparing(self.jobs.get(id)?, scarce);
        let zone = needs
            .zone
            .clone()
            .or_else(|| self.fleet.gang_zone(id).cloned());
        Some((id.clone(), Needs { zone, ..needs }))
    }

    /// Marks the jobs that fit into their team's guarantee together with its earlier ones.
    fn mark_within(&mut self) {
        let mut sums: BTreeMap<&str, (f64, f64)> = BTreeMap::new();
        for (_, id) in &self.by_age {
            let Some(job) = self.jobs.get_mut(id).filter(|j| !j.over) else {
                continue;
            };
            let Some((name, team)) = self.setup.teams.get_key_value(&job.spec.team) else {
                continue;
            };
            let n = f64::from(job.spec.tasks - job.done.len().min(job.spec.tasks));
            let sum = sums.entry(name).or_default();
            let cap = |n: f64, each: f64, most: f64| {
                if each > 0.0 {
                    n.min((most / each).floor()) * each
                } else {
                    0.0
                }
            };
            sum.0 += cap(n, job.spec.cpus, team.cpus_max);
            sum.1 += cap(n, job.spec.gpus, team.gpus_max);
            job.within = sum.0 <= team.cpus + SLACK && sum.1 <= team.gpus + SLACK;
        }
    }

    /// What machines with tasks of unknown jobs have together, and those of unknown content.
    fn unseen_rooms(&self) -> (Room, Room) {
        let (mut foreign, mut unknown) = (Room::default(), Room::default());
        for m in self.machines.values().filter(|m| m.unknown || m.foreign) {
            let sum = if m.unknown {
                &mut unknown
            } else {
                &mut foreign
            };
            sum.add(self.cap(&m.kind).unwrap_or_default());
        }
        (foreign, unknown)
    }

    /// What those may take from a team's limit: all they have, but of unknown content no more than
    /// the team's jobs that may be there could use.
    fn unseen_by(&self, team: &str, (mut foreign, mut unknown): (Room, Room)) -> Room {
        let mut most = self.lately_cancelled.get(team).copied().unwrap_or_default();
        for j in self
            .jobs
            .values()
            .filter(|j| j.uncertain && j.spec.team == team)
        {
            let n =
                f64::from(j.spec.tasks - j.done.len().min(j.spec.tasks)) - j.active.len() as f64;
            most.cpus += n.max(0.0) * j.spec.cpus;
            most.gpus += n.max(0.0) * j.spec.gpus;
        }
        unknown.cpus = unknown.cpus.min(most.cpus);
        unknown.gpus = unknown.gpus.min(most.gpus);
        foreign.add(unknown);
        foreign
    }

    /// What each team may still use, beside what its tasks use, hold, or may use unseen.
    fn limits(&self) -> BTreeMap<String, Room> {
        let unseen = self.unseen_rooms();
        let mut out: BTreeMap<String, Room> = BTreeMap::new();
        for (name, t) in &self.setup.teams {
            let mut free = Room {
                cpus: t.cpus_max,
                gpus: t.gpus_max,
                memory_gb: f64::MAX,
            };
            let charge = |free: &mut Room, r: Room| {
                free.sub(Room {
                    memory_gb: 0.0,
                    ..r
                })
            };
            if unseen != Default::default() {
                charge(&mut free, self.unseen_by(name, unseen));
            }
            charge(
                &mut free,
                self.team_used.get(name).copied().unwrap_or_default(),
            );
            out.insert(name.clone(), free);
        }
        for j in self
            .jobs
            .values()
            .filter(|j| matches!(j.phase, Phase::Holding { .. } | Phase::Binding { .. }))
        {
            if let Some(free) = out.get_mut(&j.spec.team) {
                free.sub(Room {
                    memory_gb: 0.0,
                    ..j.room().scaled(j.spec.tasks)
                });
            }
        }
        out
    }

    /// Machine types that are the only ones on which some class's tasks fit: kept for those.
    pub(crate) fn scarce(&self) -> BTreeSet<(String, bool)> {
        let mut out = BTreeSet::new();
        for shape in self.fleet.shapes.values() {
            let kinds: BTreeSet<&str> = self
                .types
                .values()
                .filter(|t| shape.fits(t))
                .map(|t| t.name.as_str())
                .collect();
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
            if s.types.as_ref().is_some_and(|l| !l.contains(&t.name))
                || !Room::of_type(t).holds(job.room())
            {
                continue;
            }
            for spot in [true, false] {
                let pair = (t.name.clone(), spot);
                if (!spot || s.spot) && !without.is_some_and(|w| w.contains(&pair)) {
                    // Cheap machines first, so that dear ones become empty and can be returned.
                    kinds.push(Allowed {
                        kind: pair.0,
                        spot,
                        tier: u8::from(!spot),
                    });
                }
            }
        }
        let image = s.image.clone();
        Needs {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
            image,
            image_gb: s.image_gb,
            kinds,
            zone: s.zone.clone(),
        }
    }

    /// Whether a gang that fits no other machine types waits for these.
    pub(crate) fn waits_for_scarce(&self, scarce: &BTreeSet<(String, bool)>) -> bool {
        let unmet = self.fleet.unmet.iter();
        let mut gangs = unmet.filter_map(|(id, _)| self.jobs.get(id).filter(|j| j.is_gang()));
        gangs.any(|job| self.needs(job, Some(scarce)).kinds.is_empty())
    }

    /// The same without scarce machine types, unless the job has no other.
    pub(crate) fn needs_sparing(&self, job: &Job, scarce: &BTreeSet<(String, bool)>) -> Needs {
        let needs = self.needs(job, Some(scarce));
        if needs.kinds.is_empty() {
            return self.needs(job, None);
        }
        needs
    }

    /// Brings the index up to what has changed since the last pass.
    fn refresh_index(&mut self) {
        for name in std::mem::take(&mut self.stale) {
            let found = self
                .machines
                .get(&name)
                .filter(|m| m.open())
                .and_then(|m| Some((m, self.types.get(&m.kind)?)));
            match found {
                Some((m, t)) => self.index.put(
                    &name,
                    t,
                    &m.zone,
                    m.spot,
                    self.setup.guarantee_s,
                    spot_of(m, t),
                ),
                None => self.index.remove(&name),
            }
        }
    }

    /// Whether the index is what a plain rebuild from the picture gives; for tests.
    pub fn index_agrees(&mut self) -> bool {
        self.refresh_index();
        let one = |(n, m): (&String, &Machine)| {
            let t = self.types.get(&m.kind)?;
            Some((
                n.clone(),
                (m.kind.clone(), m.zone.clone(), m.spot, spot_of(m, t)),
            ))
        };
        let plain: BTreeMap<_, _> = self
            .machines
            .iter()
            .filter(|(_, m)| m.open())
            .filter_map(one)
            .collect();
        plain == self.index.contents()
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

    /// How many more tasks of an array each zone may take, when zones matter to its job.
    fn zone_limits(&self, job: &Job, found: &[Found]) -> Option<BTreeMap<Rc<str>, u32>> {
        let used = self.zones_in_use(job)?;
        let half = job.spec.tasks.div_ceil(2);
        let one: Option<Rc<str>> = match used.keys().next() {
            _ if !job.spec.one_zone => None,
            Some(zone) => Some(zone.as_str().into()),
            None => {
                let mut room: BTreeMap<&Rc<str>, u32> = BTreeMap::new();
                found
                    .iter()
                    .for_each(|f| *room.entry(&f.zone).or_default() += f.times);
                room.into_iter()
                    .max_by_key(|(_, n)| *n)
                    .map(|(z, _)| z.clone())
            }
        };
        let limit = |z: &str| {
            if job.spec.spread {
                half.saturating_sub(used.get(z).copied().unwrap_or(0))
            } else {
                u32::MAX
            }
        };
        let zones: BTreeSet<&Rc<str>> = found.iter().map(|f| &f.zone).collect();
        let zones = zones
            .into_iter()
            .filter(|z| !job.spec.one_zone || one.as_ref() == Some(z));
        Some(zones.map(|z| (z.clone(), limit(z))).collect())
    }

    fn place_array(&mut self, id: &str, needs: &Needs, quota: u32, pass: &mut Pass, now: Secs) {
        let Some((begun, cpus)) = self.jobs.get(id).map(|j| (j.begun, j.spec.cpus)) else {
            return;
        };
        let found = self.index.fits_beside(needs, pass.aside_for(id));
        // Recorded before its first start, so that a later leader knows which jobs an earlier
        // one has never touched and need not wait for every machine with them.
        if begun != Begun::Yes {
            let fits = found
                .iter()
                .map(|f| f.times)
                .fold(0, u32::saturating_add)
                .min(quota);
            if fits < quota {
                self.want_room(id, quota - fits, now);
            }
            // Those whose turn comes soon are recorded in time.
            let turnover = *pass.turnover.get_or_insert_with(|| self.turnover());
            let soon = pass.queued <= turnover * self.reaction_s() * AHEAD_WAIT;
            pass.queued += f64::from(quota - fits) * cpus;
            if let Some(job) = self.jobs.get_mut(id).filter(|_| soon || fits > 0) {
                job.begun = Begun::Asked;
            }
            return;
        }
        let Some(job) = self.jobs.get(id) else { return };
        let zoned = job.spec.one_zone || job.spec.spread;
        let mut limits = if zoned {
            self.zone_limits(job, &found)
        } else {
            Some(BTreeMap::new())
        };
        let Some(limits) = limits.as_mut() else {
            return;
        };
        let (room, team) = (job.room(), job.spec.team.clone());
        let mut indexes = job
            .ready
            .iter()
            .take(quota as usize)
            .collect::<Vec<u32>>()
            .into_iter();
        let mut given: BTreeMap<(String, Option<Rc<str>>), Vec<u32>> = BTreeMap::new();
        let attempt = self.next_attempt();
        let mut placed = 0;
        for f in found {
            let most = if zoned {
                limits.get(&f.zone).copied().unwrap_or(0)
            } else {
                u32::MAX
            };
            let mine: Vec<u32> = indexes.by_ref().take(f.times.min(most) as usize).collect();
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
            let Some(owner) = self.index.get(&f.name).map(|s| s.owner.clone()) else {
                continue;
            };
            self.index.take(&f.name, room, n, &needs.image);
            self.see_image(&f.name, &needs.image);
            for index in &mine {
                self.give_active(id, *index, attempt, owner.clone(), f.name.to_string(), now);
            }
            given
                .entry((owner, zoned.then(|| f.zone.clone())))
                .or_default()
                .extend(mine);
            placed += n;
        }
        pass.charge(&team, room, placed);
        for ((owner, zone), indexes) in given {
            let mut needs = needs.clone();
            if let Some(zone) = zone {
                needs.zone = Some(zone.to_string());
            }
            self.actions.push(Action::Send(
                owner,
                ToOwner::Give {
                    job: id.into(),
                    attempt,
                    needs,
                    tasks: runs(indexes),
                },
            ));
        }
        if placed < quota {
            pass.queued += room.cpus * f64::from(quota - placed);
            self.want_room(id, quota - placed, now);
            if !zoned {
                self.give_ahead(id, needs, quota - placed, pass, now);
            }
        }
    }

    /// What found no room counts as demand. For what fails wherever it is tried nothing is rented at
    /// once, but should it be the machines' fault after all, it must not wait for ever.
    fn want_room(&mut self, id: &str, tasks: u32, now: Secs) {
        if self
            .jobs
            .get(id)
            .is_some_and(|j| !j.is_broken() || now - j.backoff_until > LONGEST_BACKOFF_S)
        {
            self.fleet.unmet.push((id.into(), tasks));
        }
    }

    /// The time after which room that a report showed has a task from here.
    fn reaction_s(&self) -> Secs {
        self.setup.report_s.min(1.0) / 2.0 + self.setup.report_s / crate::owner::VIEWS_PER_REPORT
    }

    /// CPUs that tasks may wait for at each owner: what array tasks free there in a short time,
    /// less what waits already.
    fn ahead_room(&self) -> BTreeMap<String, f64> {
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.open()) {
            *used.entry(&m.owner).or_default() += m.used.cpus;
        }
        let all: f64 = used.values().sum();
        let free = self.turnover() * self.reaction_s() * AHEAD;
        let waits = |owner: &str| self.ahead.get(owner).copied().unwrap_or(0.0);
        used.into_iter()
            .map(|(owner, cpus)| (owner.to_string(), free * cpus / all.max(1.0) - waits(owner)))
            .collect()
    }

    /// Lets tasks that found no room wait at the owners for the first that becomes free: a task's
    /// end and the next one's start then take one report and its answer.
    fn give_ahead(&mut self, id: &str, needs: &Needs, most: u32, pass: &mut Pass, now: Secs) {
        let Some(job) = self.jobs.get(id) else { return };
        let (each, team) = (job.room(), job.spec.team.clone());
        let aside = pass.aside_for(id).map_or(&[][..], |a| &a.kinds);
        let kinds: Vec<Allowed> = needs
            .kinds
            .iter()
            .filter(|k| !aside.iter().any(|a| a.kind == k.kind && a.spot == k.spot))
            .cloned()
            .collect();
        if kinds.is_empty() {
            return;
        }
        let room = pass.ahead.get_or_insert_with(|| self.ahead_room());
        let fits = |cpus: f64| (cpus / each.cpus.max(0.01)).floor().max(0.0) as u32;
        let n = room
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
        let needs = Needs {
            kinds,
            ..needs.clone()
        };
        let attempt = self.next_attempt();
        let wait_ms = (self.reaction_s() * AHEAD_WAIT * 1000.0) as u64;
        for (owner, cpus) in room.iter_mut() {
            let mine: Vec<u32> = indexes.by_ref().take(fits(*cpus) as usize).collect();
            if mine.is_empty() {
                continue;
            }
            *cpus -= each.cpus * mine.len() as f64;
            for index in &mine {
                self.give_active(id, *index, attempt, owner.clone(), String::new(), now);
            }
            let message = ToOwner::Ahead {
                job: id.into(),
                attempt,
                needs: needs.clone(),
                tasks: runs(mine),
                wait_ms,
            };
            self.actions.push(Action::Send(owner.clone(), message));
        }
        pass.charge(&team, each, n);
    }

    fn see_image(&mut self, machine: &str, image: &str) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.images.retain(|i| i != image);
            m.images.insert(0, image.to_string());
            m.images.truncate(8);
        }
        self.stale.insert(machine.into());
    }

    fn give_active(
        &mut self,
        id: &str,
        index: u32,
        attempt: u64,
        owner: String,
        machine: String,
        now: Secs,
    ) {
        self.set_active(
            id,
            index,
            Active {
                attempt,
                place: Place::Given(owner, machine),
                running: false,
                stop_sent: false,
                since: now,
            },
        );
    }

    /// Finds room for a whole gang in the picture; only then are the owners asked to hold it.
    fn place_gang(&mut self, id: &str, needs: &Needs, quota: u32, pass: &mut Pass, now: Secs) {
        let Some(job) = self.jobs.get(id) else { return };
        let here = job.ready.len() + job.active.len() as u32;
        // The count check: a group with fewer tasks than its minimum is turned away.
        if here < job.minimum()
            || job.phase != Phase::Idle
            || !job.active.is_empty()
            || quota < job.spec.tasks
        {
            return;
        }
        let n = job.spec.tasks;
        if job.spec.one_zone && job.spec.spread && n.div_ceil(2) < n {
            // No zone may hold all of it: it stays known until it is cancelled, and rents nothing.
            return;
        }
        let zones: Vec<Option<String>> = match (&needs.zone, job.spec.one_zone) {
            (None, true) => self
                .index
                .zones()
                .iter()
                .map(|z| Some(z.to_string()))
                .collect(),
            (zone, _) => vec![zone.clone()],
        };
        let most_in_zone = if job.spec.spread { n.div_ceil(2) } else { n };
        let found = zones.into_iter().find_map(|zone| {
            let needs = Needs {
                zone,
                ..needs.clone()
            };
            fit(
                self.index.fits_beside(&needs, pass.aside_for(id)),
                n,
                most_in_zone,
            )
        });
        let Some(counts) = found else {
            self.want_room(id, n, now);
            return;
        };
        let room = job.room();
        pass.charge(&job.spec.team, room, n);
        let attempt = self.next_attempt();
        let mut places = Vec::new();
        let mut by_owner: BTreeMap<String, Vec<(String, u32, u32)>> = BTreeMap::new();
        let mut first = 0;
        for (machine, count) in counts {
            let Some(owner) = self.index.get(&machine).map(|s| s.owner.clone()) else {
                continue;
            };
            self.index.take(&machine, room, count, &needs.image);
            if let Some(m) = self.machines.get_mut(&machine) {
                m.held.insert(attempt, room.scaled(count));
            }
            self.see_image(&machine, &needs.image);
            places.push((machine.clone(), first, count));
            by_owner
                .entry(owner)
                .or_default()
                .push((machine, first, count));
            first += count;
        }
        // Jitter, so that gangs held in one burst don't lapse in step.
        let wait = self.setup.hold_s * (0.75 + 0.5 * self.rng.f64());
        log::info!(
            "event=hold job={id} attempt={attempt} machines={} wait_s={wait:.1}",
            places.len()
        );
        if let Some(job) = self.jobs.get_mut(id) {
            job.phase = Phase::Holding {
                attempt,
                waiting: by_owner.keys().cloned().collect(),
                until: now + wait,
                places,
            };
        }
        for (owner, places) in by_owner {
            let message = ToOwner::Hold {
                job: id.into(),
                attempt,
                needs: needs.clone(),
                places,
                wait_ms: (wait * 1000.0) as u64,
            };
            self.actions.push(Action::Send(owner, message));
        }
    }

    pub(crate) fn on_hold_answer(&mut self, from: &str, attempt: u64, held: bool, now: Secs) {
        let found = self.jobs.iter().find(|(_, j)| match &j.phase {
            Phase::Holding { attempt: a, .. }
            | Phase::Binding { attempt: a, .. }
            | Phase::Running { attempt: a } => *a == attempt,
            // Another owner has refused its part before.
            Phase::Ending => j.active.values().any(|a| a.attempt == attempt),
            Phase::Idle => false,
        });
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        match &mut job.phase {
            Phase::Holding {
                waiting,
                until,
                places,
                ..
            } if held => {
                waiting.remove(from);
                if waiting.is_empty() {
                    let (until, places) = (*until, places.clone());
                    job.phase = Phase::Binding {
                        attempt,
                        until,
                        places: places.clone(),
                    };
                    self.actions.push(Action::Bind {
                        job: id,
                        attempt,
                        places,
                    });
                }
            }
            Phase::Holding { .. } | Phase::Binding { .. } if !held => {
                log::info!("event=hold_refused job={id} owner={from}");
                self.end_hold(&id, now, true);
            }
            Phase::Running { .. } | Phase::Ending if !held => {
                // The room was given up before the binding came: the gang has to begin anew.
                let lost: Vec<u32> = job
                    .active
                    .iter()
                    .filter(|(_, a)| matches!(&a.place, Place::Given(o, _) if o == from))
                    .map(|(i, _)| *i)
                    .collect();
                for i in lost {
                    self.gone(&id, i);
                }
            }
            _ => {}
        }
    }

    /// The binding is durable, or could not be written.
    pub fn bind_result(&mut self, id: &str, attempt: u64, written: bool, now: Secs) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Phase::Binding {
            attempt: a,
            until,
            places,
        } = &job.phase
        else {
            return;
        };
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
            let Some(m) = self.machines.get_mut(machine) else {
                continue;
            };
            m.held.remove(&attempt);
            self.stale.insert(machine.clone());
            let owner = m.owner.clone();
            owners.insert(owner.clone());
            for i in *first..first + n {
                self.give_active(id, i, attempt, owner.clone(), machine.clone(), now);
            }
        }
        log::info!("event=bound job={id} attempt={attempt}");
        for owner in owners {
            self.actions
                .push(Action::Send(owner, ToOwner::Bind { attempt }));
        }
    }

    /// Releases the room of a waiting gang everywhere; with a failure it backs off longer
    /// each time, and keeps its place in the order.
    pub(crate) fn end_hold(&mut self, id: &str, now: Secs, failed: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let phase = std::mem::replace(&mut job.phase, Phase::Idle);
        if failed {
            job.failures += 1;
            let wait = self.setup.hold_s / 20.0
                * f64::from(1u32 << job.failures.min(6))
                * (0.75 + 0.5 * self.rng.f64());
            job.backoff_until = now + wait;
        }
        self.release_hold(&phase);
    }

    pub(crate) fn release_hold(&mut self, phase: &Phase) {
        let (Phase::Holding {
            attempt, places, ..
        }
        | Phase::Binding {
            attempt, places, ..
        }) = phase
        else {
            return;
        };
        let mut owners = BTreeSet::new();
        for (machine, _, _) in places {
            if let Some(m) = self.machines.get_mut(machine) {
                m.held.remove(attempt);
                self.stale.insert(machine.clone());
                owners.insert(m.owner.clone());
            }
        }
        for owner in owners {
            self.actions
                .push(Action::Send(owner, ToOwner::Release { attempt: *attempt }));
        }
        self.wake();
    }
}

impl Pass {
    /// How many more tasks of a job its team's limit allows (all or nothing for a gang).
    fn quota(&self, job: &Job) -> u32 {
        let Some(free) = self.limits.get(&job.spec.team) else {
            return 0;
        };
        let mut n = free
            .times(Room {
                memory_gb: 0.0,
                ..job.room()
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

    /// What is set aside for another job than this.
    fn aside_for(&self, id: &str) -> Option<&Needs> {
        self.aside
            .as_ref()
            .filter(|(job, _)| job != id)
            .map(|(_, needs)| needs)
    }

    fn charge(&mut self, team: &str, room: Room, n: u32) {
        if let Some(free) = self.limits.get_mut(team) {
            free.sub(Room {
                memory_gb: 0.0,
                ..room.scaled(n)
            });
        }
        self.turnover = None;
    }
}

fn spot_of(m: &Machine, t: &MachineType) -> Spot {
    Spot {
        owner: m.owner.clone(),
        free: m.free(Room::of_type(t)),
        images: m.images.clone(),
        empty: m.tasks.is_empty(),
    }
}

/// Machines for `n` tasks, at most `most_in_zone` in one zone; none if they don't all fit.
fn fit(found: Vec<Found>, n: u32, most_in_zone: u32) -> Option<Vec<(String, u32)>> {
    let mut in_zone: BTreeMap<Rc<str>, u32> = BTreeMap::new();
    let (mut left, mut out) = (n, Vec::new());
    for f in found {
        let used = in_zone.entry(f.zone).or_default();
        let take = f.times.min(left).min(most_in_zone - *used);
        if take > 0 {
            *used += take;
            left -= take;
            out.push((f.name.to_string(), take));
        }
    }
    (left == 0).then_some(out)
}
