//! Deliberate defects, which show that the rules notice what they are meant to notice.

/// A deliberate defect of the simulated system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// None: the decisions as they are.
    None,
    /// Owners accept every heartbeat, including those delayed from before a change of owners.
    TrustAnyHeartbeat,
    /// A new leader starts with an empty roster and does not wait for its machines to reconcile.
    ForgetRoster,
    /// The leader works with twice the teams' limits.
    DoubleLimit,
    /// The leader does not learn which machine types and zones jobs allow.
    IgnoreTypes,
    /// The leader does not learn of cancellations.
    IgnoreCancel,
    /// A job is recorded as done when half of its tasks are.
    FinishAtHalf,
    /// The same, and no controller reads that the job is done.
    FinishAtHalfUnseen,
    /// A controller that reloads all records prefers them to its own, newer writes.
    ReloadDiscardsOwnWrites,
    /// A new leader does not learn of half of the open jobs.
    LoseJobs,
    /// The leader never learns of the largest gangs.
    HideLargestGangs,
    /// The leader never learns of one team's arrays.
    HideRedArrays,
    /// Controllers take their view of the store to be current, however old it is.
    TrustStaleView,
    /// The store ignores the expected versions of writes.
    IgnoreVersions,
    /// The leader learns of jobs whose dependencies are not done.
    StartBlocked,
    /// Controllers do not derive that a job is cancelled along with its dependencies.
    IgnoreCancelledDependencies,
    /// Controllers never learn of cancellations from their own reads, and a new leader knows of
    /// none from before its election.
    ForgetCancelled,
}
