//! The leader: orders the queue, places gangs in one pass, has capacity held and bound, splits
//! arrays among the parts, and keeps the record of what may be where.
//!
//! A task is *possibly somewhere* (`Job::active`) from the decision to start it until an owner
//! shows that it is not. Only tasks in `Job::ready` are ever started.

mod jobs;
mod machines;
mod notices;
mod progress;
mod requeue;
mod scaling;
mod summary;

pub(crate) use crate::cluster::{
    Active, Cluster, Job, Machine, Phase, Rostered, StartRecord, TaskLocation,
};
pub use crate::cluster::{OpenJob, PriorRuns};
pub use progress::chunk_bits;
pub use summary::Summary;

use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::ToOwner;
use wire::store::{RosterRecord, StartedArraysRecord};

/// What the leader wants done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send(String, ToOwner),
    NewToken,
    Roster(String, Option<RosterRecord>),
    /// Record of which arrays tasks may be given out from now on.
    RecordStartedArrays(StartedArraysRecord),
    /// Which of a job's tasks are done, from `first_task` on, as a bitmap in hexadecimal.
    Progress {
        job: String,
        first_task: u32,
        bits: String,
    },
    Finish {
        job: String,
    },
    Bind {
        job: String,
        attempt: u64,
        places: Vec<(String, u32, u32)>,
    },
    Provision(ProvisionRequest),
    Deprovision(Vec<String>),
}

pub(crate) struct OwnerLink {
    pub since: Secs,
    pub last_heard: Secs,
    pub granted_until: Secs,
}

pub(crate) struct UnresolvedGroup {
    pub machines: BTreeSet<String>,
    pub tasks: Vec<(String, u32)>,
}

pub struct Leader {
    pub(crate) member: String,
    pub(crate) cluster: Cluster,
    pub(crate) rng: fastrand::Rng,
    pub(crate) token: u64,
    /// Token of the present epoch; 0 before the first.
    pub(crate) epoch_token: u64,
    /// An owner's connection broke: what was sent to it may be lost, so a new epoch is due.
    pub(crate) epoch_broken: bool,
    pub(crate) broken: BTreeSet<String>,
    pub(crate) counter: u64,
    pub(crate) started_at: Secs,
    /// The time of the last tick.
    pub(crate) time: Secs,
    pub(crate) members: Vec<String>,
    pub(crate) epoch_set: bool,
    pub(crate) token_requested: bool,
    pub(crate) others_starting: bool,
    pub(crate) links: BTreeMap<String, OwnerLink>,
    pub(crate) lost_until: Secs,
    /// No array accepted later is recorded as begun; and a new record is on its way to the store.
    pub(crate) started_upto: u64,
    pub(crate) start_record_pending: bool,
    pub(crate) groups: BTreeMap<u64, UnresolvedGroup>,
    pub(crate) next_group: u64,
    pub(crate) start_open: bool,
    /// Jobs that are over, of which tasks may still run, and since when this leader knows: owners
    /// are told, those of later epochs too.
    pub(crate) recently_terminal: BTreeMap<String, Secs>,
    pub(crate) epoch_at: Secs,
    pub(crate) autoscaler: crate::autoscaler::Autoscaler,
    pub(crate) actions: Vec<Action>,
    pub(crate) wake: bool,
    pub(crate) progress_flushed_at: Secs,
    pub(crate) chunk_bits: u32,
    pub(crate) last_running_counts: Vec<(String, u32)>,
    pub(crate) running_counts_sent_at: Secs,
    pub(crate) pass_at: Secs,
    pub(crate) preemption_at: Secs,
}

impl Leader {
    /// A new leader with a new token. Jobs in `jobs` may have been started by an earlier one.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        member: &str,
        config: SchedulerConfig,
        seed: u64,
        token: u64,
        value_kb: f64,
        jobs: Vec<OpenJob>,
        roster: &BTreeMap<String, RosterRecord>,
        started_upto: u64,
        now: Secs,
    ) -> Leader {
        let mut l = Leader {
            member: member.into(),
            cluster: Cluster::new(config, now),
            rng: fastrand::Rng::with_seed(seed),
            token,
            epoch_token: 0,
            epoch_broken: false,
            broken: BTreeSet::new(),
            counter: 0,
            started_at: now,
            time: now,
            members: Vec::new(),
            epoch_set: false,
            token_requested: false,
            others_starting: false,
            links: BTreeMap::new(),
            lost_until: now,
            started_upto,
            start_record_pending: false,
            groups: BTreeMap::new(),
            next_group: 0,
            start_open: true,
            recently_terminal: BTreeMap::new(),
            epoch_at: now,
            autoscaler: crate::autoscaler::Autoscaler::default(),
            actions: Vec::new(),
            wake: false,
            progress_flushed_at: now,
            chunk_bits: chunk_bits(value_kb),
            last_running_counts: Vec::new(),
            running_counts_sent_at: now,
            pass_at: f64::MIN,
            preemption_at: f64::MIN,
        };
        for j in jobs {
            l.add_job(j);
        }
        for (name, r) in roster {
            let mut m = l.new_machine(&r.kind, &r.zone, r.spot, now);
            m.rostered = Rostered::Yes;
            m.unknown = true;
            l.cluster.unknown.insert(name.clone());
            l.cluster.machines.insert(name.clone(), m);
        }
        l
    }

    /// What a team's tasks may use together, as they are charged to its quota.
    pub fn used_by(&self, team: &str) -> Resources {
        self.cluster.used_by(team)
    }

    /// Whether the index of free resources agrees with a plain rebuild; for tests.
    pub fn index_agrees(&mut self) -> bool {
        self.cluster.index_agrees()
    }

    pub fn token(&self) -> u64 {
        self.token
    }

    pub fn members(&self) -> &[String] {
        &self.members
    }

    /// What is to be done now.
    pub fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn send(&mut self, to: &str, message: ToOwner) {
        self.actions.push(Action::Send(to.to_string(), message));
    }

    /// Does what is due: `known` is the number of other controllers in the settings.
    pub fn tick(&mut self, now: Secs, known: usize) {
        self.time = now;
        let remembered = self.cluster.config.terminal_retention_s();
        self.recently_terminal
            .retain(|_, since| now - *since < remembered);
        self.review_epoch(now, known);
        if !self.epoch_set {
            return;
        }
        let late: Vec<String> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, j)| matches!(&j.phase, Phase::Reserving { until, .. } | Phase::Binding { until, .. } if now >= *until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in late {
            log::info!("event=reservation_expired job={id}");
            self.end_reservation(&id, now, true);
        }
        self.handle_spot_notices(now);
        if std::mem::take(&mut self.wake)
            || now - self.pass_at > self.cluster.config.heartbeat_s.min(1.0) / 2.0
        {
            self.pass_at = now;
            self.schedule(now);
            self.preempt(now);
        }
        self.autoscale(now);
        // What is not recorded yet is still in the workers' heartbeats, should this leader be lost.
        if now - self.progress_flushed_at > self.cluster.config.lease_s / 12.0 {
            self.progress_flushed_at = now;
            self.flush_progress();
        }
        if now - self.running_counts_sent_at > 1.0 {
            self.running_counts_sent_at = now;
            self.send_running_counts();
        }
    }

    pub(crate) fn wake(&mut self) {
        self.wake = true;
    }

    pub(crate) fn next_attempt(&mut self) -> u64 {
        self.counter += 1;
        // Unique among all leaders: the token is.
        (self.token << 24) | (self.counter & 0xff_ffff)
    }

    /// The cloud's machine types, as they are at present.
    pub fn catalog(&mut self, types: Vec<MachineType>) {
        let same = self.cluster.types.len() == types.len();
        self.cluster.types = types.into_iter().map(|t| (t.name.clone(), t)).collect();
        if !same {
            self.cluster.index.clear();
            self.cluster
                .dirty_machines
                .extend(self.cluster.machines.keys().cloned());
        }
        if !same && self.epoch_set {
            let message = ToOwner::Catalog {
                types: self.cluster.types.values().cloned().collect(),
            };
            for m in self.members.clone() {
                self.send(&m, message.clone());
            }
        }
        self.wake = true;
    }
}
