//! Eligibility: which queue entries may preempt tasks of other jobs.

use super::team_usage::TeamUsage;
use super::PREEMPTION_DELAY_SHARE;
use crate::cluster::Cluster;
use crate::leader::Job;
use crate::Secs;
use std::ops::RangeInclusive;
use wire::users::Priority;

/// Multiple of `guarantee_s` after which a job that is still waiting may preempt tasks again.
/// Between the end of its preemption window and that time it waits for capacity to become free,
/// which usually happens soon and loses no work.
const STARVATION_FACTOR: f64 = 12.0;

/// A queue entry that found no capacity.
pub(super) struct UnplacedEntry<'a> {
    /// The waiting job.
    pub(super) job: &'a Job,
    /// Number of tasks of the job that found no capacity.
    pub(super) tasks: u32,
}

/// Returns the entries that the last scheduling pass could not place and that may now preempt tasks
/// of other jobs.
pub(super) fn eligible_entries(cluster: &Cluster, now: Secs) -> Vec<UnplacedEntry<'_>> {
    cluster
        .unplaced
        .iter()
        .filter_map(|(id, tasks)| {
            Some(UnplacedEntry {
                job: cluster.jobs.get(id)?,
                tasks: *tasks,
            })
        })
        .filter(|entry| may_preempt(cluster, entry.job, now))
        .collect()
}

/// Returns whether there may be something to preempt for one of these entries: borrowed capacity is
/// in use, or work of lower priority is active. This cheap check can make it unnecessary to examine
/// all tasks.
pub(super) fn any_preemptible(
    cluster: &Cluster,
    entries: &[UnplacedEntry],
    usage: &TeamUsage,
) -> bool {
    let lower_priority_work_runs = || {
        entries
            .iter()
            .any(|entry| runs_lower_priority(cluster, entry.job.spec.priority))
    };
    !entries.is_empty() && (usage.any_borrowed() || lower_priority_work_runs())
}

/// Returns whether a job that found no capacity may preempt tasks of other jobs.
fn may_preempt(cluster: &Cluster, job: &Job, now: Secs) -> bool {
    let waited_s = now - job.first_seen_at;
    let in_window = preemption_window(cluster, job).contains(&waited_s);
    let starved = waited_s > cluster.config.guarantee_s * STARVATION_FACTOR;
    (in_window || starved)
        && (job.within_guarantee || runs_lower_priority(cluster, job.spec.priority))
}

/// Returns the range of waiting times, in seconds, in which a job may preempt others.
fn preemption_window(cluster: &Cluster, job: &Job) -> RangeInclusive<Secs> {
    let guarantee_s = cluster.config.guarantee_s;
    if !job.is_multi_task_gang() {
        return guarantee_s * PREEMPTION_DELAY_SHARE..=guarantee_s;
    }
    // Many machines seldom become free on their own at the same time, and machines would be
    // provisioned in the meantime. So a gang may preempt from the start, for as long as the
    // objective of its class can still be met, and for at least `guarantee_s`.
    let objective_s = cluster
        .config
        .wait_s
        .get(&job.spec.class)
        .copied()
        .unwrap_or_default();
    0.0..=objective_s.max(guarantee_s)
}

/// Returns whether any job of a lower priority than the given one has active tasks.
fn runs_lower_priority(cluster: &Cluster, priority: Priority) -> bool {
    cluster
        .jobs
        .values()
        .any(|job| job.priority > priority && !job.active.is_empty())
}
