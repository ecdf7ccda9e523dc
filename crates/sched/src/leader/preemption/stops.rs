//! Execution of preemption plans: victims are stopped, with a grace period for saving if their job
//! saves checkpoints.

use crate::cluster::Cluster;
use crate::leader::Leader;
use crate::Secs;

/// Grace period as a multiple of the save time that the job declares.
const SAVE_TIME_FACTOR: f64 = 1.2;

/// Seconds added to the grace period, in addition to the multiplied save time.
const SAVE_EXTRA_S: Secs = 0.5;

/// The tasks to be stopped for one queue entry.
pub(super) struct Preemption {
    /// The job for which capacity is freed.
    pub(super) job: String,
    /// The tasks to be stopped.
    pub(super) stops: Vec<Stop>,
    /// For a multi-task gang, the time until which the capacity is cordoned for it.
    pub(super) preempting_until: Option<Secs>,
}

/// A task that is to be stopped.
pub(super) struct Stop {
    /// The machine that the task is on.
    pub(super) machine: String,
    /// The task's job.
    pub(super) job: String,
    /// The task's index in its job.
    pub(super) index: u32,
    /// The grace period for saving, in seconds.
    pub(super) grace_s: Secs,
}

impl Leader {
    /// Stops the victims of a plan. For a multi-task gang, the capacity that becomes free is
    /// cordoned until `preempting_until`.
    pub(super) fn stop_victims(&mut self, preemption: Preemption) {
        let job = self.cluster.jobs.get_mut(&preemption.job);
        if let (Some(job), Some(until)) = (job, preemption.preempting_until) {
            job.preempting_until = until;
        }
        for stop in preemption.stops {
            log::info!(
                "event=preempt task={}/{} machine={} for={}",
                stop.job,
                stop.index,
                stop.machine,
                preemption.job
            );
            self.stop_task(&stop.job, stop.index, stop.grace_s);
        }
    }

    /// Returns the grace period, in seconds, for a stopped task of a job to save.
    pub(crate) fn grace_s(&self, id: &str) -> Secs {
        grace_s(&self.cluster, id)
    }
}

/// Returns the grace period, in seconds, for a stopped task of a job to save; 0 if the job cannot
/// save.
pub(super) fn grace_s(cluster: &Cluster, id: &str) -> Secs {
    cluster
        .jobs
        .get(id)
        .filter(|job| job.spec.checkpoint_s > 0.0)
        .map_or(0.0, |job| job.spec.save_s * SAVE_TIME_FACTOR + SAVE_EXTRA_S)
}
