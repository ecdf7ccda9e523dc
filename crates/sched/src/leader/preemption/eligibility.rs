//! Eligibility: for which entries of the queue tasks of others may be stopped.

use super::team_usage::TeamUsage;
use super::PREEMPTION_DELAY_SHARE;
use crate::cluster::Cluster;
use crate::leader::Job;
use crate::Secs;
use std::ops::RangeInclusive;
use wire::users::Priority;

/// A job that missed its guaranteed start waits for capacity to become free, which is soon as a rule
/// and loses no work. After this many times the time allowed for the start, capacity may be taken
/// back for it again.
const STARVATION_FACTOR: f64 = 12.0;

/// An entry of the queue that found no capacity, and may have others stopped for it.
pub(super) struct UnplacedEntry<'a> {
    /// The job that waits.
    pub(super) job: &'a Job,
    /// How many of its tasks found no capacity.
    pub(super) tasks: u32,
}

/// The entries that the last pass could not place and that may have others stopped now.
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

/// Whether anything runs that may be stopped for one of these entries, as far as can be told without
/// a look at all tasks: borrowed capacity is in use, or work of lower priority runs.
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

/// Whether others may be stopped for a job that found no capacity.
fn may_preempt(cluster: &Cluster, job: &Job, now: Secs) -> bool {
    let waited_s = now - job.first_seen_at;
    let in_window = preemption_window(cluster, job).contains(&waited_s);
    let starved = waited_s > cluster.config.guarantee_s * STARVATION_FACTOR;
    (in_window || starved)
        && (job.within_guarantee || runs_lower_priority(cluster, job.spec.priority))
}

/// The range of waiting times, in seconds, in which others may be stopped for a job.
fn preemption_window(cluster: &Cluster, job: &Job) -> RangeInclusive<Secs> {
    let guarantee_s = cluster.config.guarantee_s;
    if !job.is_multi_task_gang() {
        return guarantee_s * PREEMPTION_DELAY_SHARE..=guarantee_s;
    }
    // Many machines at once seldom become free by themselves, and would be provisioned meanwhile.
    // It is worth trying for as long as the objective of the gang's class can still be met.
    let objective_s = cluster
        .config
        .wait_s
        .get(&job.spec.class)
        .copied()
        .unwrap_or_default();
    0.0..=objective_s.max(guarantee_s)
}

/// Whether work of a lower priority than this runs.
fn runs_lower_priority(cluster: &Cluster, priority: Priority) -> bool {
    cluster
        .jobs
        .values()
        .any(|job| job.priority > priority && !job.active.is_empty())
}
