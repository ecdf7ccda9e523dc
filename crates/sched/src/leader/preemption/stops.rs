//! Carrying a plan out: its victims are stopped, with time to save where their jobs can.

use crate::cluster::Cluster;
use crate::leader::Leader;
use crate::Secs;

/// The time allowed for saving, as a multiple of what the job says that it takes.
const SAVE_TIME_FACTOR: f64 = 1.2;

/// Seconds allowed beside that.
const SAVE_EXTRA_S: Secs = 0.5;

/// What is stopped for one entry.
pub(super) struct Preemption {
    /// The job that gets the capacity.
    pub(super) job: String,
    /// The tasks that give it up.
    pub(super) stops: Vec<Stop>,
    /// For a whole gang, until when the capacity is cordoned for it.
    pub(super) reclaims_until: Option<Secs>,
}

/// A task that is to be stopped.
pub(super) struct Stop {
    /// The machine that it is on.
    pub(super) machine: String,
    /// The job that it belongs to.
    pub(super) job: String,
    /// Its index in the job.
    pub(super) index: u32,
    /// How long it may take to save.
    pub(super) grace_s: Secs,
}

impl Leader {
    /// Stops the victims of a plan. For a whole gang the capacity that becomes free is cordoned
    /// meanwhile.
    pub(super) fn stop_victims(&mut self, preemption: Preemption) {
        let job = self.cluster.jobs.get_mut(&preemption.job);
        if let (Some(job), Some(until)) = (job, preemption.reclaims_until) {
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

    /// How long a task of a job may take to save when it is stopped.
    pub(crate) fn grace_s(&self, id: &str) -> Secs {
        grace_s(&self.cluster, id)
    }
}

/// How long a task of a job may take to save when it is stopped; no time if it can't.
pub(super) fn grace_s(cluster: &Cluster, id: &str) -> Secs {
    cluster
        .jobs
        .get(id)
        .filter(|job| job.spec.checkpoint_s > 0.0)
        .map_or(0.0, |job| job.spec.save_s * SAVE_TIME_FACTOR + SAVE_EXTRA_S)
}
