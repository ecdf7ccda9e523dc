//! A job in the leader's hands, and where its tasks may be.

use crate::placement::Resources;
use crate::ranges::Ranges;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::TaskRef;
use wire::users::{Job as Spec, Priority, Shape};

/// Where a task in somebody's hands is.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskLocation {
    /// Given to an owner, which is expected to choose that machine; where no machine is named, the
    /// first of its part with capacity.
    Assigned(String, String),
    OnMachine(String),
    /// In the hands of an owner that was lost; settled with the group of its machines.
    Unresolved(u64),
}

#[derive(Clone, Debug)]
pub(crate) struct Active {
    pub attempt: u64,
    pub location: TaskLocation,
    pub running: bool,
    pub stop_sent: bool,
    pub since: Secs,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Phase {
    Idle,
    Reserving {
        attempt: u64,
        waiting: BTreeSet<String>,
        until: Secs,
        places: Vec<(String, u32, u32)>,
    },
    Binding {
        attempt: u64,
        until: Secs,
        places: Vec<(String, u32, u32)>,
    },
    Running {
        attempt: u64,
    },
    /// A task is gone, or the binding did not come about: the rest has to go as well.
    Ending,
}

/// Whether the store says that tasks of an array may have been given out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum StartRecord {
    None,
    /// There is capacity for it, so that a record is due, or on its way.
    Requested,
    Written,
}

pub(crate) struct Job {
    pub spec: Rc<Spec>,
    /// The most urgent priority among its own and that of the open jobs that need it.
    pub priority: Priority,
    pub revision: u64,
    /// When this leader learned of it.
    pub seen: Secs,
    pub terminal: bool,
    pub finishing: bool,
    pub done: Ranges,
    pub durable: Ranges,
    pub dirty: BTreeSet<u32>,
    pub ready: Ranges,
    pub active: BTreeMap<u32, Active>,
    /// Started by an earlier leader perhaps; not to be started until the suspects are known.
    pub uncertain: bool,
    /// Machines on which it may be, if it was started; none stands for any.
    pub suspects: Option<BTreeSet<String>>,
    pub start_record: StartRecord,
    pub backoff_until: Secs,
    pub failures: u32,
    /// Machines on which its tasks failed since one of them was last done, a few.
    pub failed_on: BTreeSet<String>,
    pub phase: Phase,
    pub clears: Vec<(String, TaskRef)>,
    pub within_guarantee: bool,
    /// Tasks of others were told to stop so that this whole gang has capacity. Until then that capacity is
    /// cordoned for it and nothing is provisioned.
    pub reclaims_until: Secs,
}

/// A job that failed on so many machines, and was done on none, is taken to fail on any.
const MACHINES_TO_BLAME_JOB: usize = 3;

impl Job {
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.spec.cpus,
            gpus: self.spec.gpus,
            memory_gb: self.spec.memory_gb,
        }
    }
    pub fn is_gang(&self) -> bool {
        self.spec.shape == Shape::Gang
    }
    /// Whether several tasks can only start together.
    pub(crate) fn is_multi_task_gang(&self) -> bool {
        self.is_gang() && self.spec.tasks > 1
    }
    /// Whether it fails wherever it is tried, so that the fault is its own and not the machines'.
    pub(crate) fn is_broken(&self) -> bool {
        self.failed_on.len() >= MACHINES_TO_BLAME_JOB
    }
    /// The smallest number of tasks that may run: all of a gang, one of an array.
    pub(crate) fn minimum(&self) -> u32 {
        if self.is_gang() {
            self.spec.tasks
        } else {
            1
        }
    }
}

/// The owner at which a task waits for the first capacity that becomes free.
pub(crate) fn waits_at(location: &TaskLocation) -> Option<&str> {
    match location {
        TaskLocation::Assigned(owner, machine) if machine.is_empty() => Some(owner),
        _ => None,
    }
}

/// An open job as the store holds it.
pub struct OpenJob {
    pub spec: Rc<Spec>,
    pub revision: u64,
    pub done: Ranges,
    pub prior_runs: PriorRuns,
}

impl OpenJob {
    /// A job of which no task is done.
    pub fn new(spec: Rc<Spec>, revision: u64, prior_runs: PriorRuns) -> OpenJob {
        OpenJob {
            spec,
            revision,
            done: Ranges::default(),
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
