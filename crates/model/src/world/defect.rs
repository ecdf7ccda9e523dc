//! Deliberate defects, which verify that the checks detect the violations they are meant to detect.

/// A deliberate defect injected into the simulated system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// No defect.
    None,
    /// Owners accept every heartbeat, even delayed ones sent before a change of ownership.
    TrustAnyHeartbeat,
    /// A new leader starts with an empty roster of machines, and so does not wait until it knows
    /// which tasks run on them.
    ForgetRoster,
    /// The scheduler uses twice the teams' CPU limits.
    DoubleLimit,
    /// The leader is not told which machine types and zones jobs allow.
    IgnoreTypes,
    /// The leader is not told of cancellations.
    IgnoreCancel,
    /// A job is recorded as done when half of its tasks are done.
    FinishAtHalf,
    /// As `FinishAtHalf`, and no controller reads that the job is done.
    FinishAtHalfUnseen,
    /// A controller that reloads all records discards its own newer writes.
    ReloadDiscardsOwnWrites,
    /// A new leader is told of only about half of the open jobs.
    LoseJobs,
    /// The leader is never told of the largest gangs.
    HideLargestGangs,
    /// The leader is never told of the arrays of team `red`.
    HideRedArrays,
    /// Controllers treat their view of the store as current, however stale it is.
    TrustStaleView,
    /// The store applies conditional writes without checking the expected version.
    IgnoreVersions,
    /// The leader is told of jobs whose dependencies are not done.
    StartBlocked,
    /// Controllers do not treat the dependents of a cancelled job as cancelled.
    IgnoreCancelledDependencies,
    /// The leader forgets that it has requested the release of a machine once the machine reports.
    ForgetReleases,
    /// As `ForgetReleases`, and the leader queues the tasks again that it expected on a machine once
    /// the machine is released, although their owners may have started them elsewhere.
    RequeueExpectedTasks,
    /// A new leader assumes that no earlier leader, nor any of its owners, still has authority.
    IgnoreEarlierAuthority,
    /// Controllers tell users of a cancellation as soon as they know of it, although others may still
    /// start tasks of the job.
    ReportUnconfirmedCancellations,
    /// Controllers do not see cancellations in their own reads, and a new leader knows of none from
    /// before its election.
    ForgetCancelled,
}
