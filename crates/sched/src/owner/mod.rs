//! A shard's owner: answers the heartbeats of its machines and alone starts tasks there.
//!
//! A heartbeat counts only if it shows a token at least as high as the one under which this
//! controller became the machine's owner: it was then sent after the worker had begun to drop
//! the orders of every earlier owner, and later ones are ordered by (incarnation, seq). So a
//! heartbeat that was held up in the network is never taken for the present.

mod assigned_jobs;
mod heartbeats;
mod machine;
mod placing;

use crate::authority::Authority;
use crate::capacity_index::Index;
use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::shard;
use crate::Secs;
use assigned_jobs::AssignedJobs;
use machine::{new_machine, status_of, withdraw_starts, Machine};
use placing::{BacklogEntry, Reservation};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::cloud::MachineType;
use wire::peers::{ToLeader, ToOwner};
use wire::workers::Orders;

/// What a task of a job takes; none if the job is not known here.
pub trait Jobs {
    fn resources(&self, job: &str) -> Option<Resources>;
    fn image(&self, job: &str) -> Option<String>;
    /// Whether the job is known to be done or cancelled.
    fn is_terminal(&self, job: &str) -> bool;
}

/// The answer to a heartbeat.
#[derive(Debug, PartialEq)]
pub enum HeartbeatResponse {
    Orders(Orders),
    /// Heartbeat to that member instead.
    Redirect(String),
    /// Not entitled to act at present.
    Unavailable,
}

/// A closed machine that is lost stays in the book for this many leases.
const LEASES_RETAINED: f64 = 20.0;

/// Most machines in one message to the leader, so that it stays small.
const STATUSES_PER_MESSAGE: usize = 64;

/// Parts of a heartbeat interval for which changes that heartbeats bring are collected.
pub(crate) const STATUS_ROUNDS_PER_HEARTBEAT: f64 = 20.0;

/// The owner.
pub struct Owner {
    member: String,
    config: SchedulerConfig,
    token: u64,
    members: Vec<String>,
    types: BTreeMap<String, MachineType>,
    pub authority: Authority,
    epoch_at: Secs,
    extra_s: Secs,
    machines: BTreeMap<String, Machine>,
    reservations: BTreeMap<u64, Reservation>,
    backlog: VecDeque<BacklogEntry>,
    /// What the tasks of a job take, by the leader's word: this controller's own view may have stayed
    /// behind.
    assigned: AssignedJobs,
    /// Jobs that the leader said are over, and when: their tasks are stopped and never started,
    /// whether this controller's own replica knows it or not.
    terminal_jobs: BTreeMap<String, Secs>,
    out: Vec<ToLeader>,
    /// Machines as placement looks at them, and those that changed since.
    index: Index,
    dirty_machines: BTreeSet<String>,
    /// What has changed is to be shown to the leader now.
    show: bool,
    shown_at: Secs,
}

impl Owner {
    pub fn new(member: &str, config: SchedulerConfig) -> Owner {
        Owner {
            member: member.into(),
            authority: Authority::new(&config),
            config,
            token: 0,
            members: Vec::new(),
            types: BTreeMap::new(),
            epoch_at: 0.0,
            extra_s: 0.0,
            machines: BTreeMap::new(),
            reservations: BTreeMap::new(),
            backlog: VecDeque::new(),
            assigned: AssignedJobs::default(),
            terminal_jobs: BTreeMap::new(),
            out: Vec::new(),
            index: Index::default(),
            dirty_machines: BTreeSet::new(),
            show: false,
            shown_at: f64::MIN,
        }
    }

    /// The book in words, for logs and failed tests.
    pub fn explain(&self) -> String {
        let line = |(n, m): (&String, &Machine)| {
            format!(
                "{n} usable={} since={} known={} incarnation={} seq={} answered={:.1} lapsed={} tasks={} pending={} stops={}",
                m.usable,
                m.since,
                m.known,
                m.incarnation,
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

    /// Whether heartbeats may be answered now.
    pub fn has_authority(&self, now: Secs) -> bool {
        now < self.authority.answers_until()
    }

    /// What is to be told to the leader. What heartbeats change is collected for a short while;
    /// what the leader's own messages change is shown at once, before any later heartbeat.
    pub fn drain(&mut self) -> Vec<ToLeader> {
        if std::mem::take(&mut self.show) {
            let token = self.token;
            let mut statuses = Vec::new();
            for (name, m) in self.machines.iter_mut().filter(|(_, m)| m.dirty) {
                m.dirty = false;
                if m.known || m.lapsed {
                    statuses.push(status_of(token, name, m));
                }
            }
            while !statuses.is_empty() {
                let rest = statuses.split_off(statuses.len().min(STATUSES_PER_MESSAGE));
                self.out.push(ToLeader::MachineStatuses(std::mem::replace(
                    &mut statuses,
                    rest,
                )));
            }
        }
        std::mem::take(&mut self.out)
    }

    /// Takes a message of the leader (its grants are the caller's business).
    pub fn on_leader_message(&mut self, message: ToOwner, now: Secs, jobs: &dyn Jobs) {
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
            ToOwner::SetUsable { machine, usable } => {
                if let Some(m) = self.machines.get_mut(&machine) {
                    m.usable = usable;
                    m.dirty = true;
                    self.dirty_machines.insert(machine);
                }
            }
            ToOwner::Assign {
                job,
                attempt,
                requirements,
                tasks,
            } => self.assign(job, attempt, &requirements, &tasks, now, jobs),
            ToOwner::AssignBacklog {
                job,
                attempt,
                requirements,
                tasks,
                wait_ms,
            } => {
                self.assigned.learn(&job, &requirements);
                let indexes = tasks
                    .iter()
                    .flat_map(|(a, n)| *a..a.saturating_add(*n))
                    .collect();
                self.backlog.push_back(BacklogEntry {
                    job,
                    attempt,
                    requirements,
                    indexes,
                    until: now + wait_ms as f64 / 1000.0,
                });
            }
            ToOwner::Reserve {
                job,
                attempt,
                requirements,
                places,
                wait_ms,
            } => {
                let until = now + wait_ms as f64 / 1000.0;
                let reserved = self.reserve(job, attempt, &requirements, places, until, jobs);
                self.out.push(ToLeader::ReserveResult { attempt, reserved });
            }
            ToOwner::Bind { attempt } => self.bind(attempt, now),
            ToOwner::ReleaseReservation { attempt } => {
                if let Some(h) = self.reservations.remove(&attempt) {
                    self.dirty_machines
                        .extend(h.places.into_iter().map(|(m, _, _)| m));
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
            ToOwner::Terminal { jobs: ids } => {
                for id in ids {
                    self.hand_back(|backlog| backlog.job == id);
                    self.terminal_jobs.insert(id, now);
                }
            }
            ToOwner::Grant { .. } | ToOwner::ViewAge { .. } | ToOwner::RunningCounts { .. } => {}
        }
    }

    fn catalog(&mut self, types: &[MachineType]) {
        self.types = types.iter().map(|t| (t.name.clone(), t.clone())).collect();
        self.index.clear();
        self.dirty_machines.extend(self.machines.keys().cloned());
    }

    fn epoch(
        &mut self,
        token: u64,
        prev: u64,
        members: Vec<String>,
        extra_ms: u64,
        descriptors: Vec<wire::peers::MachineDescriptor>,
        now: Secs,
    ) {
        // Capacity that was lent ends with the epoch: the leader releases its waiting gangs.
        self.reservations.clear();
        // What waits for capacity is nowhere yet; the leader takes it back once all is reconciled.
        self.backlog.clear();
        self.out.clear();
        if self.token != prev || prev == 0 {
            self.machines.clear();
        }
        self.token = token;
        self.members = members;
        self.epoch_at = now;
        self.extra_s = extra_ms as f64 / 1000.0;
        let (member, members) = (&self.member, &self.members);
        self.machines
            .retain(|name, _| shard::owner(name, members) == Some(member.as_str()));
        for descriptor in descriptors {
            if shard::owner(&descriptor.name, &self.members) != Some(self.member.as_str()) {
                continue;
            }
            let m = self.machines.entry(descriptor.name).or_insert_with(|| {
                new_machine(
                    descriptor.kind,
                    descriptor.zone,
                    descriptor.spot,
                    token,
                    now + self.extra_s,
                )
            });
            m.usable = descriptor.usable;
        }
        for m in self.machines.values_mut() {
            m.dirty = true;
        }
        self.index.clear();
        self.dirty_machines = self.machines.keys().cloned().collect();
    }

    /// Lets reservations and leases run out.
    pub fn tick(&mut self, now: Secs) {
        self.hand_back(|a| now >= a.until);
        let remembered = self.config.terminal_retention_s();
        self.terminal_jobs.retain(|_, at| now - *at < remembered);
        if self.assigned.is_due(now, self.config.lease_s) {
            self.forget_unused_jobs();
        }
        if now - self.shown_at >= self.config.heartbeat_s / STATUS_ROUNDS_PER_HEARTBEAT {
            self.shown_at = now;
            self.show = true;
        }
        let dirty_machines = &mut self.dirty_machines;
        self.reservations.retain(|_, h| {
            let keep = now < h.until;
            if !keep {
                dirty_machines.extend(h.places.iter().map(|(m, _, _)| m.clone()));
            }
            keep
        });
        let lease_expiry_s = self.config.lease_expiry_s();
        // A closed machine that was not heard for many leases is forgotten; should it heartbeat
        // again, it is taken up as a new one.
        self.machines.retain(|_, m| {
            !m.lapsed || m.usable || m.dirty || now <= m.answered + lease_expiry_s * LEASES_RETAINED
        });
        for (name, m) in self.machines.iter_mut() {
            if !m.lapsed && now > m.answered + lease_expiry_s {
                // The worker has killed and forgotten its tasks; only a later incarnation counts.
                log::info!(
                    "event=machine_lease_expired machine={name} tasks={}",
                    m.tasks.len()
                );
                m.lapsed = true;
                m.tasks.clear();
                withdraw_starts(m, &mut self.out, |_| true);
                m.stops.clear();
                m.clears.clear();
                m.images.clear();
                m.dirty = true;
                self.dirty_machines.insert(name.clone());
            }
        }
    }
}
