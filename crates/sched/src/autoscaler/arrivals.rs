//! Recent job arrivals, which determine how much idle capacity is worth keeping for future jobs.

use crate::Secs;
use std::collections::VecDeque;
use wire::users::Job as JobSpec;

/// Idle capacity of up to this multiple of the CPUs of recently arrived jobs is kept for the full
/// retention time.
const DEMAND_FACTOR: f64 = 4.0;

/// Minimum fraction of the retention time for which idle machines are kept even if no jobs arrived
/// recently, since jobs may arrive again.
const MIN_RETENTION_SHARE: f64 = 0.25;

/// The arrival of a job.
struct Arrival {
    /// Time of the arrival.
    at: Secs,
    /// Total CPUs of all its tasks.
    cpus: f64,
}

/// Recent job arrivals. Older ones are dropped by `forget_before`.
#[derive(Default)]
pub(super) struct Arrivals {
    /// In order of arrival.
    jobs: VecDeque<Arrival>,
}

impl Arrivals {
    /// Records the arrival of a job.
    pub fn record(&mut self, job: &JobSpec, now: Secs) {
        let cpus = job.cpus * f64::from(job.tasks);
        self.jobs.push_back(Arrival { at: now, cpus });
    }

    /// Returns the fraction of the retention time for which idle capacity is kept, based on the
    /// demand of the jobs that arrived since `since`. Idle capacity is kept for future jobs, so it
    /// is released earlier when few jobs arrived within the retention time.
    pub fn retention_share(&self, since: Secs, idle_cpus: f64) -> f64 {
        let arrived = self.jobs.iter().rev().take_while(|job| job.at >= since);
        let cpus: f64 = arrived.map(|job| job.cpus).sum();
        (cpus * DEMAND_FACTOR / idle_cpus.max(1.0)).clamp(MIN_RETENTION_SHARE, 1.0)
    }

    /// Returns the CPUs of the tasks that arrived per second, averaged over the last `over_s`
    /// seconds.
    pub fn cpus_per_s(&self, now: Secs, over_s: Secs) -> f64 {
        let latest_first = self.jobs.iter().rev();
        let recent = latest_first.take_while(|job| now - job.at <= over_s);
        recent.map(|job| job.cpus).sum::<f64>() / over_s.max(1.0)
    }

    /// Drops the arrivals before an instant.
    pub fn forget_before(&mut self, instant: Secs) {
        while self.jobs.front().is_some_and(|job| job.at < instant) {
            self.jobs.pop_front();
        }
    }
}
