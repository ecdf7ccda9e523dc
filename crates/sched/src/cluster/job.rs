//! The leader's state of a job.

use super::ActiveTask;
use crate::placement::Resources;
use crate::ranges::RangeSet;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::TaskRef;
use wire::users::{Job as JobSpec, Priority, Shape};

/// State of a gang between queueing and running.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum GangPhase {
    /// Waiting in the queue. Arrays are always in this phase.
    Idle,
    /// Owners were asked to reserve resources for it.
    Reserving {
        /// The attempt.
        attempt: u64,
        /// Owners that have not answered yet.
        waiting: BTreeSet<String>,
        /// When the reservations end.
        until: Secs,
        /// Machine, first task and number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// All resources are reserved, and the binding (the record of the attempt and its places) is
    /// being written to the store.
    Binding {
        /// The attempt.
        attempt: u64,
        /// When the reservations end.
        until: Secs,
        /// Machine, first task and number of tasks.
        places: Vec<(String, u32, u32)>,
    },
    /// The binding is durable, so its tasks may be running.
    Running {
        /// The attempt.
        attempt: u64,
    },
    /// A task is gone (ended early or lost) or the binding failed, so the remaining tasks must be
    /// stopped.
    Ending,
}

/// Whether the store has a record that tasks of an array may have been started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StartRecord {
    /// No record exists.
    None,
    /// Capacity for the array was found; the record is requested or being written.
    Requested,
    /// The record is durable.
    Written,
}

/// A job that is open (neither done nor cancelled), or that is terminal while some of its tasks may
/// still be running.
pub(crate) struct Job {
    /// The specification submitted by the user.
    pub spec: Rc<JobSpec>,
    /// The highest of its own priority and the priorities of the open jobs that depend on it.
    pub priority: Priority,
    /// Store revision at which it was created; defines the order of creation.
    pub revision: u64,
    /// Time at which this leader first saw it.
    pub first_seen_at: Secs,
    /// Whether it is done or cancelled.
    pub terminal: bool,
    /// Whether its completion is being written to the store.
    pub finishing: bool,
    /// Tasks that are done.
    pub done: RangeSet,
    /// Done tasks whose progress is durable in the store.
    pub durable_done: RangeSet,
    /// Progress chunks that must be written to the store.
    pub dirty_chunks: BTreeSet<u32>,
    /// Tasks that may be started.
    pub ready_tasks: RangeSet,
    /// Tasks that may be running.
    pub active: BTreeMap<u32, ActiveTask>,
    /// Whether an earlier leader may have started it. No task is started until the content of
    /// `possible_machines` is known.
    pub awaits_reconciliation: bool,
    /// Machines on which an earlier leader may have started it; `None` means any machine.
    pub possible_machines: Option<BTreeSet<String>>,
    /// For an array: whether the store records that it may have been started.
    pub start_record: StartRecord,
    /// No task is started before this time.
    pub backoff_until: Secs,
    /// Number of failures since one of its tasks was last done or, for a gang, since it was last
    /// bound.
    pub failures: u32,
    /// Machines on which its tasks failed since one of them was last done; at most a few.
    pub failed_machines: BTreeSet<String>,
    /// For a gang: its state between queueing and running.
    pub phase: GangPhase,
    /// Done tasks that workers keep until the progress is durable, each after the name of its
    /// machine.
    pub pending_clears: Vec<(String, TaskRef)>,
    /// Whether it fits within its team's guaranteed quota together with the team's earlier jobs.
    pub within_guarantee: bool,
    /// Time until which tasks of other jobs are being preempted to make room for this whole gang.
    /// Until then that capacity is held for it and no machines are provisioned for it.
    pub preempting_until: Secs,
}

/// A job that failed on this many machines without completing a task is assumed to fail everywhere.
const MIN_FAILED_MACHINES: usize = 3;

impl Job {
    /// Creates the state of a job that this leader first sees at `now`.
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

    /// Returns whether this attempt of the task may be running.
    pub(crate) fn is_active(&self, task: &TaskRef) -> bool {
        let active = self.active.get(&task.index);
        active.is_some_and(|active| active.attempt == task.attempt)
    }

    /// Marks a task as done; for a gang marks all tasks, because they complete together. Progress
    /// is recorded in chunks of `tasks_per_chunk` tasks.
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

    /// Returns the number of tasks that are not done.
    pub(crate) fn unfinished_tasks(&self) -> u32 {
        self.spec.tasks - self.done.len().min(self.spec.tasks)
    }

    /// Returns the resources that one task requires.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.memory_gb,
        }
    }

    /// Returns whether all tasks must run at the same time.
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }

    /// Returns whether it is a gang of more than one task.
    pub(crate) fn is_multi_task_gang(&self) -> bool {
        self.is_gang() && self.spec.tasks > 1
    }

    /// Returns whether it failed on so many machines that the fault is assumed to be in the job
    /// rather than in the machines.
    pub(crate) fn fails_everywhere(&self) -> bool {
        self.failed_machines.len() >= MIN_FAILED_MACHINES
    }

    /// Returns the minimum number of tasks that may run: all tasks of a gang, one task of an array.
    pub(crate) fn min_tasks(&self) -> u32 {
        if self.is_gang() {
            self.spec.tasks
        } else {
            1
        }
    }
}

/// An open job as loaded from the store.
pub struct OpenJob {
    /// What its user submitted.
    pub spec: Rc<JobSpec>,
    /// Store revision at which it was created.
    pub revision: u64,
    /// Tasks that are done.
    pub done: RangeSet,
    /// Which of its tasks earlier leaders may have started.
    pub prior_runs: PriorRuns,
}

impl OpenJob {
    /// Creates a job with no done tasks.
    pub fn new(spec: Rc<JobSpec>, revision: u64, prior_runs: PriorRuns) -> OpenJob {
        OpenJob {
            spec,
            revision,
            done: RangeSet::default(),
            prior_runs,
        }
    }
}

/// What earlier leaders may have started of a job, according to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum PriorRuns {
    /// Nothing: no record says that any of its tasks was assigned.
    None,
    /// Its tasks may be running on any machine of the roster.
    Anywhere,
    /// A gang whose tasks may be running on the machines of its newest binding. Every earlier
    /// attempt had certainly ended before that binding was written.
    Bound(BTreeSet<String>),
}
