//! Where a task may be running, and what the end of a machine says about it.

use crate::Secs;
use std::fmt;

/// Possible location of an active task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum TaskLocation {
    /// Assigned to an owner, which starts it on any machine of its shard.
    Assigned {
        /// The owner.
        owner: String,
        /// The machine that the owner is expected to choose. `None` if none is expected: the owner
        /// chooses the first machine with capacity, or the expected one no longer exists.
        predicted: Option<String>,
    },
    /// Task of a gang, which its owner starts on this machine or not at all.
    Bound {
        /// The owner.
        owner: String,
        /// The machine for which the owner has reserved resources.
        machine: String,
    },
    /// Reported on this machine by the machine's owner.
    OnMachine(String),
    /// Assigned to an owner that was lost; reconciled together with a group of that owner's
    /// machines. The value is the id of that group.
    Unresolved(u64),
}

impl fmt::Display for TaskLocation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TaskLocation::Assigned { owner, predicted } => {
                write!(
                    f,
                    "assigned:{owner}/{}",
                    predicted.as_deref().unwrap_or("any")
                )
            }
            TaskLocation::Bound { owner, machine } => write!(f, "bound:{owner}/{machine}"),
            TaskLocation::OnMachine(machine) => write!(f, "on:{machine}"),
            TaskLocation::Unresolved(group) => write!(f, "unresolved:{group}"),
        }
    }
}

/// What the end of a machine means for a task charged to it.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum EndOfMachine {
    /// The task is certainly not running any more.
    TaskEnded,
    /// Nothing: the task was only expected there, and may be running on another machine of the
    /// owner's shard. The location no longer names the machine.
    TaskMoves(TaskLocation),
}

impl TaskLocation {
    /// Returns the owner to which the task was assigned and whose machines have not shown it yet;
    /// `None` if it has been reported, or if that owner was lost.
    pub(crate) fn unreported_owner(&self) -> Option<&str> {
        match self {
            TaskLocation::Assigned { owner, .. } | TaskLocation::Bound { owner, .. } => Some(owner),
            TaskLocation::OnMachine(_) | TaskLocation::Unresolved(_) => None,
        }
    }

    /// Returns the machine to which the task is charged, if any.
    pub(crate) fn charged_machine(&self) -> Option<&str> {
        match self {
            TaskLocation::Assigned { predicted, .. } => predicted.as_deref(),
            TaskLocation::Bound { machine, .. } | TaskLocation::OnMachine(machine) => Some(machine),
            TaskLocation::Unresolved(_) => None,
        }
    }

    /// Returns the owner at which the task waits for capacity, as far as the leader knows.
    pub(crate) fn waiting_owner(&self) -> Option<&str> {
        match self {
            TaskLocation::Assigned {
                owner,
                predicted: None,
            } => Some(owner),
            _ => None,
        }
    }

    /// Returns what it means for a task at this location that the machine to which it is charged
    /// certainly no longer exists. Only an owner's report, or a binding, ties a task to a machine.
    pub(crate) fn after_end_of_machine(&self) -> EndOfMachine {
        match self {
            TaskLocation::OnMachine(_) | TaskLocation::Bound { .. } => EndOfMachine::TaskEnded,
            TaskLocation::Assigned { owner, .. } => {
                EndOfMachine::TaskMoves(TaskLocation::Assigned {
                    owner: owner.clone(),
                    predicted: None,
                })
            }
            TaskLocation::Unresolved(group) => {
                EndOfMachine::TaskMoves(TaskLocation::Unresolved(*group))
            }
        }
    }
}

/// A task that may be running.
#[derive(Clone, Debug)]
pub(crate) struct ActiveTask {
    /// The attempt that may be running.
    pub attempt: u64,
    /// The location where it may be running.
    pub location: TaskLocation,
    /// Whether an owner reported it as running.
    pub running: bool,
    /// Whether its owner was sent a stop request in this epoch.
    pub stop_sent: bool,
    /// Time at which it was first reported running; before that, time of its assignment.
    pub since: Secs,
}
