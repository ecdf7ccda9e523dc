//! A part's owner: answers the reports of its machines and alone starts tasks there.
//!
//! A report counts only if it shows a token at least as high as the one under which this
//! controller became the machine's owner: it was then sent after the worker had begun to drop
//! the orders of every earlier owner, and later ones are ordered by (session, seq). So a
//! report that was held up in the network is never taken for the present.

use crate::authority::Authority;
use crate::index::{Index, Spot};
use crate::place::{tier, Room};
use crate::setup::Setup;
use crate::shard;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::cloud::MachineType;
use wire::peers::{MachineView, Needs, TaskRef, TaskView, ToLeader, ToOwner};
use wire::workers::{Order, Orders, Report, TaskState};
use wire::{split_task, task_name};

/// What a task of a job takes; none if the job is not known here.
pub trait Jobs {
    fn room(&self, job: &str) -> Option<Room>;
    fn image(&self, job: &str) -> Option<String>;
    /// Whether the job is known to be done or cancelled.
    fn over(&self, job: &str) -> bool;
}

/// The answer to a report.
#[derive(Debug, PartialEq)]
pub enum Answer {
    Orders(Orders),
    /// Report to that member instead.
    Elsewhere(String),
    /// Not entitled to act at present.
    NotNow,
}

/// A machine that lost this many answers in a row gets no more tasks until it is seen to get one.
const ANSWERS_LOST: u32 = 2;
/// Most starts in one answer, so that it stays below the protocol's limit.
const STARTS_AT_ONCE: usize = 400;
/// A closed machine that is lost stays in the book for this many leases.
const LEASES_REMEMBERED: f64 = 20.0;
/// Images remembered for each machine.
const IMAGES: usize = 8;
/// Most machines in one message to the leader, so that it stays small.
const VIEWS_AT_ONCE: usize = 64;
/// Parts of a report interval for which changes that reports bring are collected.
pub(crate) const VIEWS_PER_REPORT: f64 = 20.0;

struct Machine {
    kind: String,
    zone: String,
    spot: bool,
    usable: bool,
    /// Token under which this controller became the owner.
    since: u64,
    known: bool,
    session: u64,
    seq: u64,
    /// The newest session that got an answer before the lease was over. A report of it that comes
    /// after the lease's end is a late copy, also if no report has counted until then.
    heard: u64,
    /// The newest instant at which an answer may have prolonged the worker's lease.
    answered: Secs,
    lapsed: bool,
    notice_s: Option<f64>,
    /// (session, seq) of the last report that was answered with orders, and how many since came
    /// from a worker that had not stayed here, so that the answer did not reach it.
    asked: (u64, u64),
    unheard: u32,
    tasks: BTreeMap<TaskRef, TaskView>,
    pending: BTreeMap<TaskRef, Room>,
    stops: BTreeMap<TaskRef, f64>,
    clears: BTreeSet<TaskRef>,
    images: VecDeque<String>,
    dirty: bool,
}

impl Machine {
    /// Whether tasks may be placed there.
    fn open(&self) -> bool {
        self.usable
            && self.known
            && !self.lapsed
            && self.notice_s.is_none()
            && !self.is_unreachable()
    }

    fn is_unreachable(&self) -> bool {
        self.unheard >= ANSWERS_LOST
    }
}

struct Hold {
    job: String,
    room: Room,
    image: String,
    places: Vec<(String, u32, u32)>,
    until: Secs,
}

/// Tasks that wait for room to become free in this part.
struct Ahead {
    job: String,
    attempt: u64,
    needs: Needs,
    indexes: VecDeque<u32>,
    until: Secs,
}

/// The owner's book.
pub struct Owner {
    me: String,
    setup: Setup,
    token: u64,
    members: Vec<String>,
    types: BTreeMap<String, MachineType>,
    pub authority: Authority,
    epoch_at: Secs,
    extra_s: Secs,
    machines: BTreeMap<String, Machine>,
    holds: BTreeMap<u64, Hold>,
    ahead: VecDeque<Ahead>,
    /// Jobs that the leader said are over, and when: their tasks are stopped and never started,
    /// whether this controller's own replica knows it or not.
    over: BTreeMap<String, Secs>,
    out: Vec<ToLeader>,
    /// Machines as placement looks at them, and those that changed since.
    index: Index,
    stale: BTreeSet<String>,
    /// What has changed is to be shown to the leader now.
    show: bool,
    shown_at: Secs,
}

impl Owner {
    pub fn new(me: &str, setup: Setup) -> Owner {
        Owner {
            me: me.into(),
            authority: Authority::new(&setup),
            setup,
            token: 0,
            members: Vec::new(),
            types: BTreeMap::new(),
            epoch_at: 0.0,
            extra_s: 0.0,
            machines: BTreeMap::new(),
            holds: BTreeMap::new(),
            ahead: VecDeque::new(),
            over: BTreeMap::new(),
            out: Vec::new(),
            index: Index::default(),
            stale: BTreeSet::new(),
            show: false,
            shown_at: f64::MIN,
        }
    }

    /// The book in words, for logs and failed tests.
    pub fn explain(&self) -> String {
        let line = |(n, m): (&String, &Machine)| {
            format!(
                "{n} usable={} since={} known={} session={} seq={} answered={:.1} lapsed={} tasks={} pending={} stops={}",
                m.usable,
                m.since,
                m.known,
                m.session,
                m.seq,
                m.answered,
                m.lapsed,
                m.tasks.len(),
                m.pending.len(),
                m.stops.len()
            )
        };
        self.machines
            .iter()
            .map(line)
            .collect::<Vec<_>>()
            .join("\n")
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether reports may be answered now.
    pub fn has_authority(&self, now: Secs) -> bool {
        now < self.authority.answers_until()
    }

    /// What is to be told to the leader. What reports change is collected for a short while;
    /// what the leader's own messages change is shown at once, before any later report.
    pub fn drain(&mut self) -> Vec<ToLeader> {
        if std::mem::take(&mut self.show) {
            let token = self.token;
            let mut views = Vec::new();
            for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.dirty) {
                m.dirty = false;
                if m.known || m.lapsed {
                    views.push(view(token, name, m));
                }
            }
            while !views.is_empty() {
                let rest = views.split_off(views.len().min(VIEWS_AT_ONCE));
                self.out
                    .push(ToLeader::Machines(std::mem::replace(&mut views, rest)));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Takes a message of the leader (its grants are the caller's business).
    pub fn on_leader(&mut self, message: ToOwner, now: Secs, jobs: &dyn Jobs) {
        self.show = true;
        match message {
            ToOwner::Epoch {
                token,
                prev,
                members,
                extra_ms,
                machines,
            } => {
                if token < self.token {
                    return;
                }
                self.epoch(token, prev, members, extra_ms, machines, now);
            }
            ToOwner::Catalog { types } => self.catalog(&types),
            ToOwner::Use { machine, usable } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.usable = usable;
                    m.dirty = true;
                    self.stale.insert(machine);
                }
            }
            ToOwner::Give {
                job,
                attempt,
                needs,
                tasks,
            } => self.give(job, attempt, &needs, &tasks, now, jobs),
            ToOwner::Ahead {
                job,
                attempt,
                needs,
                tasks,
                wait_ms,
            } => {
                let indexes = tasks
                    .iter()
                    .flat_map(|(a, n)| *a..a.saturating_add(*n))
                    .collect();
                self.ahead.push_back(Ahead {
                    job,
                    attempt,
                    needs,
                    indexes,
                    until: now + wait_ms as f64 / 1000.0,
                });
            }
            ToOwner::Hold {
                job,
                attempt,
                needs,
                places,
                wait_ms,
            } => {
                let until = now + wait_ms as f64 / 1000.0;
                let held = self.hold(job, attempt, &needs, places, until, jobs);
                self.out.push(ToLeader::HoldAnswer { attempt, held });
            }
            ToOwner::Bind { attempt } => self.bind(attempt, now),
            ToOwner::Release { attempt } => {
                if let Some(h) = self.holds.remove(&attempt) {
                    self.stale.extend(h.places.into_iter().map(|(m, _, _)| m));
                }
            }
            ToOwner::Stop {
                machine,
                task,
                grace_s,
            } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    let grace = m.stops.get(&task).map_or(grace_s, |g| g.min(grace_s));
                    m.stops.insert(task, grace);
                }
            }
            ToOwner::Clear { machine, task } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.clears.insert(task);
                }
            }
            ToOwner::Over { jobs: ids } => {
                for id in ids {
                    self.hand_back(|ahead| ahead.job == id);
                    self.over.insert(id, now);
                }
            }
            ToOwner::Grant { .. } | ToOwner::Known { .. } | ToOwner::Display { .. } => {}
        }
    }

    fn catalog(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|t| (t.name.clone(), t.clone())).collect();
        self.index.clear();
        self.stale.extend(self.machines.keys().cloned());
    }

    fn epoch(
        &mut self,
        token: u64,
        prev: u64,
        members: Vec<String>,
        extra_ms: u64,
        cards: Vec<wire::peers::MachineCard>,
        now: Secs,
    ) {
        // Room that was lent ends with the epoch: the leader releases its waiting gangs.
        self.holds.clear();
        // What waits for room is nowhere yet; the leader takes it back once all is reconciled.
        self.ahead.clear();
        self.out.clear();
        if self.token != prev || prev == 0 {
            self.machines.clear();
        }
        self.token = token;
        self.members = members;
        self.epoch_at = now;
        self.extra_s = extra_ms as f64 / 1000.0;
        let (me, members) = (&self.me, &self.members);
        self.machines
            .retain(|name, _| shard::owner(name, members) == Some(me.as_str()));
        for card in cards {
            if shard::owner(&card.name, &self.members) != Some(self.me.as_str()) {
                continue;
            }
            let m = self.machines.entry(card.name).or_insert_with(|| {
                new_machine(card.kind, card.zone, card.spot, token, now + self.extra_s)
            });
            m.usable = card.usable;
        }
        for m in self.machines.values_mut() {
            m.dirty = true;
        }
        self.index.clear();
        self.stale = self.machines.keys().cloned().collect();
    }

    /// Decides the answer to a report; `now` must be read just before.
    pub fn on_report(&mut self, report: &Report, now: Secs, jobs: &dyn Jobs) -> Answer {
        if !self.has_authority(now) || self.token == 0 {
            return Answer::NotNow;
        }
        match shard::owner(&report.machine, &self.members) {
            Some(o) if o == self.me => {}
            Some(o) => return Answer::Elsewhere(o.to_string()),
            None => return Answer::NotNow,
        }
        let (token, since) = (self.token, self.epoch_at + self.extra_s);
        if !self.machines.contains_key(&report.machine) {
            let new = new_machine(
                report.kind.clone(),
                report.zone.clone(),
                report.spot,
                token,
                since,
            );
            self.machines.insert(report.machine.clone(), new);
        }
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return Answer::NotNow;
        };
        let order = (report.session, report.seq);
        if m.known && order <= (m.session, m.seq) || m.lapsed && report.session <= m.heard {
            // A copy that was held up; nobody waits for its answer any more.
            return Answer::NotNow;
        }
        m.answered = m.answered.max(now);
        if !m.lapsed {
            m.heard = m.heard.max(report.session);
        }
        let over = |job: &str| self.over.contains_key(job) || jobs.over(job);
        if report.token < m.since {
            // The answer tells the worker the token; the report that shows it will count. It prolongs
            // the lease, though, and leaders may change faster than workers report: what is over is
            // stopped all the same, for that is safe whenever the report was sent.
            let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
            let known = live.filter(|t| split_task(&t.task).is_some_and(|(job, _)| over(job)));
            let orders = known
                .map(|t| Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                })
                .collect();
            return Answer::Orders(Orders { token, orders });
        }
        // A worker that gets its answer stays, so that its next report comes here as well; one that
        // does not goes to the next controller first. What such a machine was to start it never
        // will: this report lacks it, and no later answer repeats it.
        let unreachable = m.is_unreachable();
        if m.asked != (0, 0) {
            m.unheard = if order == (m.asked.0, m.asked.1 + 1) {
                0
            } else {
                m.unheard + 1
            };
        }
        m.asked = order;
        m.dirty |= m.is_unreachable() != unreachable;
        m.dirty |= m.lapsed || !m.known;
        m.lapsed = false;
        m.known = true;
        m.heard = m.heard.max(report.session);
        (m.session, m.seq) = order;
        let tasks: BTreeMap<TaskRef, TaskView> = report
            .tasks
            .iter()
            .filter_map(|t| {
                let (job, index) = split_task(&t.task)?;
                let task = TaskRef {
                    job: job.into(),
                    index,
                    attempt: t.attempt,
                };
                Some((
                    task.clone(),
                    TaskView {
                        task,
                        state: t.state,
                        why: t.why,
                        saved: t.saved.unwrap_or(false),
                    },
                ))
            })
            .collect();
        if tasks != m.tasks || report.notice_s.is_some() != m.notice_s.is_some() {
            m.dirty = true;
        }
        m.tasks = tasks;
        m.notice_s = report.notice_s;
        if m.is_unreachable() {
            log::info!(
                "event=starts_lost machine={} tasks={}",
                report.machine,
                m.pending.len()
            );
            self.show |= give_up(m, &mut self.out, |_| true);
        }
        settle(m, over, &mut self.out);
        let starts = now < self.authority.starts_until();
        if starts {
            self.fill(&report.machine, jobs);
        }
        let Some(m) = self.machines.get(&report.machine) else {
            return Answer::NotNow;
        };
        // What is pending stays so until knowledge is fresh enough for starts.
        let orders = orders(m, starts);
        if m.dirty {
            self.stale.insert(report.machine.clone());
        }
        Answer::Orders(Orders { token, orders })
    }

    /// Fills what a machine's report shows to be free with tasks that wait for room, in the very
    /// answer: otherwise the room waits for the leader and then for the machine's next report.
    fn fill(&mut self, name: &str, jobs: &dyn Jobs) {
        if self.ahead.is_empty() {
            return;
        }
        let Some(m) = self.machines.get(name).filter(|m| m.open()) else {
            return;
        };
        let Some(mut free) = self.free(name, m, jobs) else {
            return;
        };
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        for a in self.ahead.iter_mut() {
            // A job that is over is not known any more.
            if tier(&a.needs, &m.kind, &m.zone, m.spot).is_none()
                || jobs.room(&a.job).is_none()
                || self.over.contains_key(&a.job)
            {
                continue;
            }
            let room = Room::of(&a.needs);
            let most = STARTS_AT_ONCE.saturating_sub(m.pending.len());
            let n = (free.times(room) as usize).min(a.indexes.len()).min(most);
            free.sub(room.scaled(n as u32));
            take_on(
                m,
                &a.job,
                a.attempt,
                a.indexes.drain(..n),
                room,
                &a.needs.image,
            );
        }
        self.ahead.retain(|a| !a.indexes.is_empty());
    }

    /// Hands tasks that wait for room back to the leader.
    fn hand_back(&mut self, which: impl Fn(&Ahead) -> bool) {
        let out = &mut self.out;
        self.ahead.retain_mut(|a| {
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

    /// Lets holds and leases run out.
    pub fn tick(&mut self, now: Secs) {
        self.hand_back(|a| now >= a.until);
        let remembered = self.setup.over_remembered_s();
        self.over.retain(|_, at| now - *at < remembered);
        if now - self.shown_at >= self.setup.report_s / VIEWS_PER_REPORT {
            self.shown_at = now;
            self.show = true;
        }
        let stale = &mut self.stale;
        self.holds.retain(|_, h| {
            let keep = now < h.until;
            if !keep {
                stale.extend(h.places.iter().map(|(m, _, _)| m.clone()));
            }
            keep
        });
        let over = self.setup.lease_certainly_over_s();
        // A closed machine that was not heard for many leases is forgotten; should it report
        // again, it is taken up as a new one.
        self.machines.retain(|_, m| {
            !m.lapsed || m.usable || m.dirty || now <= m.answered + over * LEASES_REMEMBERED
        });
        for (name, m) in self.machines.iter_mut() {
            if !m.lapsed && now > m.answered + over {
                // The worker has killed and forgotten its tasks; only a later session counts.
                log::info!(
                    "event=machine_lapsed machine={name} tasks={}",
                    m.tasks.len()
                );
                m.lapsed = true;
                m.tasks.clear();
                give_up(m, &mut self.out, |_| true);
                m.stops.clear();
                m.clears.clear();
                m.images.clear();
                m.dirty = true;
                self.stale.insert(name.clone());
            }
        }
    }

    /// Brings the index up to what has changed since it was last looked at.
    fn refresh_index(&mut self, jobs: &dyn Jobs) {
        for name in std::mem::take(&mut self.stale) {
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
            for image in m.tasks.keys().filter_map(|t| jobs.image(&t.job)) {
                if !images.contains(&image) {
                    images.push(image);
                }
            }
            let empty =
                m.pending.is_empty() && m.tasks.values().all(|t| t.state == TaskState::Exited);
            let free = self.free(&name, m, jobs);
            let spot = Spot {
                owner: String::new(),
                free: free.unwrap_or_default(),
                images,
                empty,
            };
            self.index
                .put(&name, t, &m.zone, m.spot, self.setup.guarantee_s, spot);
            if free.is_none() {
                // A job that is not known here yet: look again next time.
                self.stale.insert(name);
            }
        }
    }

    /// What is left of a machine's room; none while what a task takes there is not known.
    fn free(&self, name: &str, m: &Machine, jobs: &dyn Jobs) -> Option<Room> {
        let mut free = self.types.get(&m.kind).map(Room::of_type)?;
        for t in m.tasks.values().filter(|t| t.state != TaskState::Exited) {
            free.sub(jobs.room(&t.task.job)?);
        }
        m.pending.values().for_each(|r| free.sub(*r));
        for h in self.holds.values() {
            for (machine, _, n) in &h.places {
                if machine == name {
                    free.sub(h.room.scaled(*n));
                }
            }
        }
        Some(free)
    }

    fn give(
        &mut self,
        job: String,
        attempt: u64,
        needs: &Needs,
        runs: &[(u32, u32)],
        now: Secs,
        jobs: &dyn Jobs,
    ) {
        let room = Room::of(needs);
        self.refresh_index(jobs);
        let mut indexes = runs
            .iter()
            .flat_map(|(a, n)| *a..a.saturating_add(*n))
            .peekable();
        let mut found = self.index.fits(needs);
        // A start goes with the answer to a report: of machines that suit alike, the one that
        // reports next starts first.
        let quarter = self.setup.report_s / 4.0;
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
            let n = take_on(
                m,
                &job,
                attempt,
                indexes.by_ref().take(f.times as usize),
                room,
                &needs.image,
            );
            self.index.take(&f.name, room, n, &needs.image);
            self.stale.insert(f.name.to_string());
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

    fn hold(
        &mut self,
        job: String,
        attempt: u64,
        needs: &Needs,
        places: Vec<(String, u32, u32)>,
        until: Secs,
        jobs: &dyn Jobs,
    ) -> bool {
        let room = Room::of(needs);
        for (name, _, n) in &places {
            let Some(m) = self.machines.get(name) else {
                return false;
            };
            let fits = || {
                self.free(name, m, jobs)
                    .is_some_and(|f| f.times(room) >= *n)
            };
            if !m.open() || !fits() {
                return false;
            }
        }
        self.stale.extend(places.iter().map(|(m, _, _)| m.clone()));
        self.holds.insert(
            attempt,
            Hold {
                job,
                room,
                image: needs.image.clone(),
                places,
                until,
            },
        );
        true
    }

    fn bind(&mut self, attempt: u64, now: Secs) {
        let Some(h) = self.holds.remove(&attempt) else {
            self.out.push(ToLeader::HoldAnswer {
                attempt,
                held: false,
            });
            return;
        };
        self.stale
            .extend(h.places.iter().map(|(m, _, _)| m.clone()));
        // A machine that was lost while it held room would never start the task, nor show it gone.
        let here = |name: &String| self.machines.get(name).is_some_and(Machine::open);
        if now >= h.until || !h.places.iter().all(|(m, _, _)| here(m)) {
            self.out.push(ToLeader::HoldAnswer {
                attempt,
                held: false,
            });
            return;
        }
        for (name, first, n) in h.places {
            if let Some(m) = self.machines.get_mut(&name) {
                take_on(m, &h.job, attempt, first..first + n, h.room, &h.image);
            }
        }
    }
}

fn new_machine(kind: String, zone: String, spot: bool, since: u64, answered: Secs) -> Machine {
    Machine {
        kind,
        zone,
        spot,
        usable: false,
        since,
        known: false,
        session: 0,
        seq: 0,
        heard: 0,
        answered,
        lapsed: false,
        notice_s: None,
        asked: (0, 0),
        unheard: 0,
        tasks: BTreeMap::new(),
        pending: BTreeMap::new(),
        stops: BTreeMap::new(),
        clears: BTreeSet::new(),
        images: VecDeque::new(),
        dirty: false,
    }
}

/// A machine is to start tasks of a job, with the answers to its reports; says how many.
fn take_on(
    m: &mut Machine,
    job: &str,
    attempt: u64,
    indexes: impl Iterator<Item = u32>,
    room: Room,
    image: &str,
) -> u32 {
    let before = m.pending.len();
    m.pending.extend(indexes.map(|index| {
        (
            TaskRef {
                job: job.into(),
                index,
                attempt,
            },
            room,
        )
    }));
    let n = m.pending.len() - before;
    if n > 0 {
        remember(m, image);
        m.dirty = true;
    }
    n as u32
}

fn remember(m: &mut Machine, image: &str) {
    m.images.retain(|i| i != image);
    m.images.push_front(image.to_string());
    m.images.truncate(IMAGES);
}

fn view(token: u64, name: &str, m: &Machine) -> MachineView {
    MachineView {
        token,
        name: name.into(),
        kind: m.kind.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
        session: m.session,
        lapsed: m.lapsed,
        notice_s: m.notice_s,
        tasks: m.tasks.values().cloned().collect(),
        pending: m.pending.keys().cloned().collect(),
        usable: m.usable,
        unreachable: m.is_unreachable(),
    }
}

/// Takes back starts that certainly did not take effect and never will, and says so. A view alone does
/// not: the leader may never have been shown that this machine took them on.
fn give_up(m: &mut Machine, out: &mut Vec<ToLeader>, which: impl Fn(&TaskRef) -> bool) -> bool {
    let before = m.pending.len();
    let tasks = &m.tasks;
    m.pending.retain(|t, _| {
        let drop = !tasks.contains_key(t) && which(t);
        if drop {
            out.push(ToLeader::HandBack {
                job: t.job.clone(),
                attempt: t.attempt,
                tasks: vec![(t.index, 1)],
            });
        }
        !drop
    });
    let changed = m.pending.len() != before;
    m.dirty |= changed;
    changed
}

/// The newest report of a machine has just been taken. It settles every earlier order: a start that
/// it lacks did not take effect and never will. What it shows of jobs that are over is to be stopped,
/// in every answer until a report shows it gone, whoever owned the machine before and whether or not
/// the leader has said so.
fn settle(m: &mut Machine, over: impl Fn(&str) -> bool, out: &mut Vec<ToLeader>) {
    for t in m
        .tasks
        .values()
        .filter(|t| t.state != TaskState::Exited && over(&t.task.job))
    {
        m.stops.insert(t.task.clone(), 0.0);
    }
    let (stops, closed) = (
        std::mem::take(&mut m.stops),
        !m.usable || m.notice_s.is_some(),
    );
    give_up(m, out, |t| closed || stops.contains_key(t) || over(&t.job));
    m.stops = stops;
    let tasks = &m.tasks;
    let before = m.pending.len();
    m.pending.retain(|t, _| !tasks.contains_key(t));
    m.dirty |= m.pending.len() != before;
    m.clears
        .retain(|t| tasks.get(t).is_some_and(|v| v.state == TaskState::Exited));
    m.stops
        .retain(|t, _| tasks.get(t).is_some_and(|v| v.state != TaskState::Exited));
}

/// Orders for a machine whose newest report was settled; starts only if they are allowed now.
fn orders(m: &Machine, starts: bool) -> Vec<Order> {
    let mut out = Vec::new();
    for t in &m.clears {
        out.push(Order::Clear {
            task: task_name(&t.job, t.index),
            attempt: t.attempt,
        });
    }
    for (t, grace) in &m.stops {
        out.push(Order::Stop {
            task: task_name(&t.job, t.index),
            attempt: t.attempt,
            grace_s: *grace,
        });
    }
    for t in m
        .pending
        .keys()
        .take(if starts { STARTS_AT_ONCE } else { 0 })
    {
        out.push(Order::Start {
            task: task_name(&t.job, t.index),
            attempt: t.attempt,
        });
    }
    out
}
