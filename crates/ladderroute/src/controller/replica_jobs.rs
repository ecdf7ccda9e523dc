//! The jobs of the replica, as the owner asks for them.

use sched::owner::Jobs;
use sched::placement::Resources;
use store::replica::Replica;
use wire::store::Recorded;

/// What owners need to know of jobs, out of the replica.
pub struct ReplicaJobs<'a>(pub &'a Replica);

impl Jobs for ReplicaJobs<'_> {
    fn resources(&self, job: &str) -> Option<Resources> {
        let j = self.0.jobs.get(job)?.job.as_ref()?;
        Some(Resources {
            cpus: j.cpus,
            gpus: j.gpus,
            memory_gb: j.memory_gb,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        Some(self.0.jobs.get(job)?.job.as_ref()?.image.clone())
    }
    fn is_terminal(&self, job: &str) -> bool {
        self.0
            .jobs
            .get(job)
            .is_some_and(|e| e.state != Recorded::Open)
    }
}
