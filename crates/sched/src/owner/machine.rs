//! A machine as its owner sees it: what its newest heartbeat shows, and what it is to start, stop and clear.

use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::peers::{MachineStatus, TaskRef, TaskStatus, ToLeader};
use wire::task_name;
use wire::workers::{Order, TaskState};

/// A machine that lost this many answers in a row gets no more tasks until it is seen to get one.
const MAX_MISSED_RESPONSES: u32 = 2;

/// Most starts in one answer, so that it stays below the protocol's limit.
pub(super) const STARTS_AT_ONCE: usize = 400;

/// Images remembered for each machine.
const IMAGES: usize = 8;

pub(super) struct Machine {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    pub(super) usable: bool,
    /// Token under which this controller became the owner.
    pub(super) since: u64,
    pub(super) known: bool,
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    /// The newest incarnation that got an answer before the lease was over. A heartbeat of it that comes
    /// after the lease's end is a late copy, also if no heartbeat has counted until then.
    pub(super) last_heard: u64,
    /// The newest instant at which an answer may have prolonged the worker's lease.
    pub(super) answered: Secs,
    pub(super) lapsed: bool,
    pub(super) notice_s: Option<f64>,
    /// (incarnation, seq) of the last heartbeat that was answered with orders, and how many since came
    /// from a worker that had not stayed here, so that the answer did not reach it.
    pub(super) last_ordered: (u64, u64),
    pub(super) missed_responses: u32,
    pub(super) tasks: BTreeMap<TaskRef, TaskStatus>,
    pub(super) pending: BTreeMap<TaskRef, Resources>,
    pub(super) stops: BTreeMap<TaskRef, f64>,
    pub(super) clears: BTreeSet<TaskRef>,
    pub(super) images: VecDeque<String>,
    pub(super) dirty: bool,
}

impl Machine {
    /// Whether tasks may be placed there.
    pub(super) fn open(&self) -> bool {
        self.usable
            && self.known
            && !self.lapsed
            && self.notice_s.is_none()
            && !self.is_unreachable()
    }

    pub(super) fn is_unreachable(&self) -> bool {
        self.missed_responses >= MAX_MISSED_RESPONSES
    }
}

pub(super) fn new_machine(
    kind: String,
    zone: String,
    spot: bool,
    since: u64,
    answered: Secs,
) -> Machine {
    Machine {
        kind,
        zone,
        spot,
        usable: false,
        since,
        known: false,
        incarnation: 0,
        seq: 0,
        last_heard: 0,
        answered,
        lapsed: false,
        notice_s: None,
        last_ordered: (0, 0),
        missed_responses: 0,
        tasks: BTreeMap::new(),
        pending: BTreeMap::new(),
        stops: BTreeMap::new(),
        clears: BTreeSet::new(),
        images: VecDeque::new(),
        dirty: false,
    }
}

/// A machine is to start tasks of a job, with the answers to its heartbeats; says how many.
pub(super) fn add_starts(
    m: &mut Machine,
    job: &str,
    attempt: u64,
    indexes: impl Iterator<Item = u32>,
    resources: Resources,
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
            resources,
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

pub(super) fn status_of(token: u64, name: &str, m: &Machine) -> MachineStatus {
    MachineStatus {
        token,
        name: name.into(),
        kind: m.kind.clone(),
        zone: m.zone.clone(),
        spot: m.spot,
        incarnation: m.incarnation,
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
pub(super) fn withdraw_starts(
    m: &mut Machine,
    out: &mut Vec<ToLeader>,
    which: impl Fn(&TaskRef) -> bool,
) -> bool {
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

/// The newest heartbeat of a machine has just been taken. It settles every earlier order: a start that
/// it lacks did not take effect and never will. What it shows of jobs that are over is to be stopped,
/// in every answer until a heartbeat shows it gone, whoever owned the machine before and whether or not
/// the leader has said so.
pub(super) fn reconcile_orders(
    m: &mut Machine,
    is_terminal: impl Fn(&str) -> bool,
    out: &mut Vec<ToLeader>,
) {
    for t in m
        .tasks
        .values()
        .filter(|t| t.state != TaskState::Exited && is_terminal(&t.task.job))
    {
        m.stops.insert(t.task.clone(), 0.0);
    }
    let (stops, unusable) = (
        std::mem::take(&mut m.stops),
        !m.usable || m.notice_s.is_some(),
    );
    withdraw_starts(m, out, |t| {
        unusable || stops.contains_key(t) || is_terminal(&t.job)
    });
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

/// Orders for a machine whose newest heartbeat was settled; starts only if they are allowed now.
pub(super) fn orders(m: &Machine, starts: bool) -> Vec<Order> {
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
