//! Lookup of jobs in the replica for the shard owner.

use sched::owner::JobLookup;
use sched::placement::Resources;
use store::replica::Replica;
use wire::store::Recorded;
use wire::users::Job;

/// Answers a shard owner's lookups of jobs from the replica of the store.
pub struct ReplicaJobs<'a>(pub &'a Replica);

impl ReplicaJobs<'_> {
    /// Returns the specification of a job that is open; `None` for other jobs.
    fn spec(&self, job: &str) -> Option<&Job> {
        self.0.jobs.get(job)?.job.as_deref()
    }
}

impl JobLookup for ReplicaJobs<'_> {
    fn resources(&self, job: &str) -> Option<Resources> {
        let spec = self.spec(job)?;
        Some(Resources {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
        })
    }

    fn image(&self, job: &str) -> Option<String> {
        Some(self.spec(job)?.image.clone())
    }

    fn is_terminal(&self, job: &str) -> bool {
        let entry = self.0.jobs.get(job);
        entry.is_some_and(|entry| entry.state != Recorded::Open)
    }
}
