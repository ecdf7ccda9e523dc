//! Jobs that came lately: how much idle capacity is worth keeping for those still to come.

use crate::Secs;
use std::collections::VecDeque;
use wire::users::Job as JobSpec;

/// Idle capacity of up to so many times what the jobs need that came lately is worth keeping.
const DEMAND_FACTOR: f64 = 4.0;

/// Part of the time that idle machines are kept where no jobs came lately: they may come again.
const MIN_RETENTION_SHARE: f64 = 0.25;

/// A job that came.
struct Arrival {
    /// When it came.
    at: Secs,
    /// CPUs of all its tasks together.
    cpus: f64,
}

/// Jobs that came, as far back as they still count.
#[derive(Default)]
pub(super) struct Arrivals {
    /// In the order in which they came.
    jobs: VecDeque<Arrival>,
}

impl Arrivals {
    /// A job came.
    pub fn record(&mut self, job: &JobSpec, now: Secs) {
        let cpus = job.cpus * f64::from(job.tasks);
        self.jobs.push_back(Arrival { at: now, cpus });
    }

    /// Which part of its time idle capacity is kept, as the jobs that came after an instant make it worth. It
    /// waits for jobs still to come: when hardly any came for as long as it is kept, it is returned sooner.
    pub fn retention_share(&self, since: Secs, idle_cpus: f64) -> f64 {
        let arrived = self.jobs.iter().rev().take_while(|job| job.at >= since);
        let cpus: f64 = arrived.map(|job| job.cpus).sum();
        (cpus * DEMAND_FACTOR / idle_cpus.max(1.0)).clamp(MIN_RETENTION_SHARE, 1.0)
    }

    /// CPUs of the tasks that came in a second, over the last `over_s` seconds.
    pub fn cpus_per_s(&self, now: Secs, over_s: Secs) -> f64 {
        let latest_first = self.jobs.iter().rev();
        let recent = latest_first.take_while(|job| now - job.at <= over_s);
        recent.map(|job| job.cpus).sum::<f64>() / over_s.max(1.0)
    }

    /// Forgets the jobs that came before an instant.
    pub fn forget_before(&mut self, instant: Secs) {
        while self.jobs.front().is_some_and(|job| job.at < instant) {
            self.jobs.pop_front();
        }
    }
}
