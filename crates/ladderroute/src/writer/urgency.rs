//! How soon a decision has to be durable, and with which others it may be written.

use sched::leader::Action;

/// How soon a decision has to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A fencing token: nobody has authority until it is durable.
    Token,
    /// A binding: a gang holds resources until it is durable.
    Binding,
    /// A machine or the started arrays: tasks wait for it.
    Admission,
    /// The end of a job: a user waits to hear it.
    Finish,
    /// Progress: workers' heartbeats repeat it until it is durable.
    Progress,
}

impl Urgency {
    /// The urgency of a decision.
    pub fn of(action: &Action) -> Urgency {
        match action {
            Action::IssueToken => Urgency::Token,
            Action::Bind { .. } => Urgency::Binding,
            Action::UpdateRoster(_, Some(_)) | Action::RecordStartedArrays(_) => Urgency::Admission,
            Action::FinishJob { .. } => Urgency::Finish,
            _ => Urgency::Progress,
        }
    }

    /// Whether something can start only once the decision is durable.
    pub fn blocks_starts(self) -> bool {
        self < Urgency::Finish
    }
}

/// Decisions that may share a transaction. A new token goes alone, and ends of jobs among
/// themselves, since those have conditions that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    /// A new token.
    Token,
    /// Ends of jobs.
    Finish,
    /// All the rest.
    Records,
}

impl Group {
    /// The group of a decision.
    pub(super) fn of(action: &Action) -> Group {
        match action {
            Action::IssueToken => Group::Token,
            Action::FinishJob { .. } => Group::Finish,
            _ => Group::Records,
        }
    }
}
