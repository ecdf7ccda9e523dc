//! Urgency of decisions, and which of them may share a transaction.

use sched::leader::Action;

/// How soon a decision has to be durable, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// A fencing token: no controller has authority until it is durable.
    Token,
    /// A binding of a gang: the gang holds resources unused until the binding is durable.
    Binding,
    /// The roster entry of a machine, or the record of started arrays: tasks wait until it is
    /// durable.
    Admission,
    /// The end of a job: a user waits to learn of it.
    Finish,
    /// Progress: workers' heartbeats repeat it until it is durable.
    Progress,
}

impl Urgency {
    /// Returns the urgency of a decision.
    pub fn of(action: &Action) -> Urgency {
        match action {
            Action::IssueToken => Urgency::Token,
            Action::Bind { .. } => Urgency::Binding,
            Action::UpdateRoster(_, Some(_)) | Action::RecordStartedArrays(_) => Urgency::Admission,
            Action::FinishJob { .. } => Urgency::Finish,
            _ => Urgency::Progress,
        }
    }

    /// Returns whether something can start only after the decision is durable.
    pub fn blocks_starts(self) -> bool {
        self < Urgency::Finish
    }
}

/// Groups of decisions that may share a transaction. A new token is written alone. Ends of jobs are
/// written only with each other, since a failed condition of theirs fails the whole transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Group {
    /// A new fencing token.
    Token,
    /// Ends of jobs.
    Finish,
    /// All other decisions.
    Records,
}

impl Group {
    /// Returns the group of a decision.
    pub(super) fn of(action: &Action) -> Group {
        match action {
            Action::IssueToken => Group::Token,
            Action::FinishJob { .. } => Group::Finish,
            _ => Group::Records,
        }
    }
}
