//! The table of all jobs that the leader tracks.
//!
//! Invariant: every job appears exactly once in the creation-order index.

use super::Job;
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// Jobs indexed by id and by order of creation.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<String, Job>,
    /// Creation revision and job id.
    by_creation: BTreeSet<(u64, String)>,
}

impl JobTable {
    /// Inserts a job that is not in the table yet.
    pub(crate) fn insert(&mut self, job: Job) {
        let id = job.spec.id.clone();
        self.by_creation.insert((job.revision, id.clone()));
        self.jobs.insert(id, job);
    }

    /// Removes a job none of whose tasks may be running.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            self.by_creation.remove(&(job.revision, id.to_string()));
        }
    }

    /// Returns whether the table contains the job.
    pub(crate) fn contains_key(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns a job by id.
    pub(crate) fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a mutable reference to a job by id.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// Iterates over all jobs and their ids, in order of id.
    pub(crate) fn iter(&self) -> btree_map::Iter<'_, String, Job> {
        self.jobs.iter()
    }

    /// Iterates mutably over all jobs and their ids, in order of id.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, String, Job> {
        self.jobs.iter_mut()
    }

    /// Iterates over all jobs, in order of id.
    pub(crate) fn values(&self) -> btree_map::Values<'_, String, Job> {
        self.jobs.values()
    }

    /// Iterates mutably over all jobs, in order of id.
    pub(crate) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, String, Job> {
        self.jobs.values_mut()
    }

    /// Calls `action` on each job, in order of creation.
    pub(crate) fn for_each_by_creation(&mut self, mut action: impl FnMut(&mut Job)) {
        for (_, id) in &self.by_creation {
            if let Some(job) = self.jobs.get_mut(id) {
                action(job);
            }
        }
    }
}
