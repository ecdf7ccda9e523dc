//! A job as the leader knows it, and where its tasks may be running.

use crate::placement::Resources;
use crate::ranges::RangeSet;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::TaskRef;
use wire::users::{Job as JobSpec, Priority, Shape};

/// Where an active task may be running.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskLocation {
    /// Assigned to an owner, which is expected to choose that machine; where no machine is named, the
    /// first of its shard with capacity.
    Assigned(String, String),
    /// Shown on a machine by its owner.
    OnMachine(String),
    /// Assigned to an owner that was lost; reconciled with a group of its machines.
    Unresolved(u64),
}

/// A task that may be running.
#[derive(Clone, Debug)]
pub(crate) struct ActiveTask {
    /// The attempt that may be running.
    pub attempt: u64,
    /// Where.
    pub location: TaskLocation,
    /// Whether it was shown to run.
    pub running: bool,
    /// Whether its owner was sent a stop in this epoch.
    pub stop_sent: bool,
    /// When it was shown to run; before that, when it was assigned.
    pub since: Secs,
}

/// How far a gang is on its way to running.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangPhase {
    /// It waits in the queue. So does every array.
    Idle,
    /// Owners were asked to reserve resources.
    Reserving {
        /// The attempt.
        attempt: u64,
        /// Owners whose answer is missing.
        waiting: BTreeSet<String>,
        /// When the reservations end.
        until: Secs,
        /// Machine, first task and number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// All is reserved, and the binding is being written.
    Binding {
        /// The attempt.
        attempt: u64,
        /// When the reservations end.
        until: Secs,
        /// Machine, first task and number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// The binding is durable: its tasks may be running.
    Running {
        /// The attempt.
        attempt: u64,
    },
    /// A task is gone, or the binding did not come about: the rest has to go as well.
    Ending,
}

/// Whether the store says that tasks of an array may have been started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StartRecord {
    /// It does not.
    None,
    /// There is capacity for the array, so that a record is due, or being written.
    Requested,
    /// It does.
    Written,
}

/// An open job, or a terminal one of which tasks may still be running.
pub(crate) struct Job {
    /// What its user submitted.
    pub spec: Rc<JobSpec>,
    /// The most urgent priority among its own and that of the open jobs that need it.
    pub priority: Priority,
    /// The store's revision at its creation: the order of creation.
    pub revision: u64,
    /// When this leader learned of it.
    pub first_seen_at: Secs,
    /// Done or cancelled.
    pub terminal: bool,
    /// Its end is being written.
    pub finishing: bool,
    /// Tasks that are done.
    pub done: RangeSet,
    /// Those of which the store knows.
    pub durable_done: RangeSet,
    /// Chunks of progress that have to be written.
    pub dirty_chunks: BTreeSet<u32>,
    /// Tasks that may be started.
    pub ready_tasks: RangeSet,
    /// Tasks that may be running.
    pub active: BTreeMap<u32, ActiveTask>,
    /// Started by an earlier leader perhaps; not to be started until the suspects are known.
    pub awaits_reconciliation: bool,
    /// Machines on which it may be running, if it was started; none stands for any.
    pub possible_machines: Option<BTreeSet<String>>,
    /// Of an array: whether it is recorded that it may have been started.
    pub start_record: StartRecord,
    /// No task is started before this.
    pub backoff_until: Secs,
    /// Failures since a task was last done or a gang last bound.
    pub failures: u32,
    /// Machines on which its tasks failed since one of them was last done, a few.
    pub failed_machines: BTreeSet<String>,
    /// Of a gang: how far it is on its way to running.
    pub phase: GangPhase,
    /// Done tasks that their workers keep until that is durable, with the machine.
    pub pending_clears: Vec<(String, TaskRef)>,
    /// Whether it fits into its team's guarantee together with the team's earlier jobs.
    pub within_guarantee: bool,
    /// Tasks of others are being stopped so that this whole gang has capacity. Until then that capacity is
    /// kept for it and no machine is provisioned.
    pub preempting_until: Secs,
}

/// A job that failed on so many machines, and was done on none, is taken to fail on any.
const MIN_FAILED_MACHINES: usize = 3;

impl Job {
    /// A job that this leader learns of at `now`.
    pub(crate) fn new(open: OpenJob, now: Secs) -> Job {
        let mut ready = RangeSet::full(open.spec.tasks);
        for index in open.done.iter() {
            ready.remove(index);
        }
        let never_started = open.prior_runs == PriorRuns::None;
        let start_record = if never_started {
            StartRecord::None
        } else {
            StartRecord::Written
        };
        let possible_machines = match open.prior_runs {
            PriorRuns::Bound(machines) => Some(machines),
            PriorRuns::None | PriorRuns::Anywhere => None,
        };
        Job {
            priority: open.spec.priority,
            revision: open.revision,
            first_seen_at: now,
            terminal: false,
            finishing: false,
            durable_done: open.done.clone(),
            done: open.done,
            dirty_chunks: BTreeSet::new(),
            ready_tasks: ready,
            active: BTreeMap::new(),
            awaits_reconciliation: !never_started,
            possible_machines,
            start_record,
            backoff_until: 0.0,
            failures: 0,
            failed_machines: BTreeSet::new(),
            phase: GangPhase::Idle,
            pending_clears: Vec::new(),
            within_guarantee: false,
            preempting_until: 0.0,
            spec: open.spec,
        }
    }

    /// Whether this attempt of a task may be running.
    pub(crate) fn is_active(&self, task: &TaskRef) -> bool {
        let active = self.active.get(&task.index);
        active.is_some_and(|active| active.attempt == task.attempt)
    }

    /// Notes that a task is done, and with it all of a gang: its tasks complete together. Progress is
    /// recorded in chunks of so many tasks.
    pub(crate) fn mark_done(&mut self, index: u32, tasks_per_chunk: u32) {
        let indexes = if self.is_gang() {
            0..self.spec.tasks
        } else {
            index..index + 1
        };
        for index in indexes {
            if self.done.insert(index) {
                self.ready_tasks.remove(index);
                self.dirty_chunks.insert(index / tasks_per_chunk);
            }
        }
    }

    /// How many tasks are not done.
    pub(crate) fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len().min(self.spec.tasks)
    }

    /// What a task takes.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.memory_gb,
        }
    }

    /// Whether its tasks run at the same time or not at all.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Whether several tasks can only start together.
    pub(crate) fn is_multi_task_gang(&self) -> bool {
        self.is_gang() && self.spec.tasks > 1
    }

    /// Whether it fails wherever it is tried, so that the fault is its own and not the machines'.
    pub(crate) fn fails_everywhere(&self) -> bool {
        self.failed_machines.len() >= MIN_FAILED_MACHINES
    }

    /// The smallest number of tasks that may run: all of a gang, one of an array.
    pub(crate) fn min_tasks(&self) -> u32 {
        if self.is_gang() {
            self.spec.tasks
        } else {
            1
        }
    }
}

/// The owner at which a task waits for the first capacity that becomes free.
pub(crate) fn waiting_owner(location: &TaskLocation) -> Option<&str> {
    match location {
        TaskLocation::Assigned(owner, machine) if machine.is_empty() => Some(owner),
        _ => None,
    }
}

/// An open job as the store holds it.
pub struct OpenJob {
    /// What its user submitted.
    pub spec: Rc<JobSpec>,
    /// The store's revision at its creation.
    pub revision: u64,
    /// Tasks that are done.
    pub done: RangeSet,
    /// What earlier leaders may have started of it.
    pub prior_runs: PriorRuns,
}

impl OpenJob {
    /// A job of which no task is done.
    pub fn new(spec: Rc<JobSpec>, revision: u64, prior_runs: PriorRuns) -> OpenJob {
        OpenJob {
            spec,
            revision,
            done: RangeSet::default(),
            prior_runs,
        }
    }
}

/// What earlier leaders may have done with a job, as the store shows it.
#[derive(Clone, Debug, PartialEq)]
pub enum PriorRuns {
    /// Nothing: no record says that any of its tasks was given out.
    None,
    /// Its tasks may be on any machine of the roster.
    Anywhere,
    /// A gang: its tasks may be on the machines of its newest binding. Every earlier attempt
    /// was certainly gone before that was written.
    Bound(BTreeSet<String>),
}
