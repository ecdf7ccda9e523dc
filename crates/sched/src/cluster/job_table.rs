//! The jobs that the leader knows.
//!
//! Invariant: every job here is listed once in the order of creation.

use super::Job;
use std::collections::{btree_map, BTreeMap, BTreeSet};

/// Jobs by id, and in the order of their creation.
#[derive(Default)]
pub(crate) struct JobTable {
    jobs: BTreeMap<String, Job>,
    /// Revision of the creation, and id.
    by_creation: BTreeSet<(u64, String)>,
}

impl JobTable {
    /// Takes in a job that is not known yet.
    pub(crate) fn insert(&mut self, job: Job) {
        let id = job.spec.id.clone();
        self.by_creation.insert((job.revision, id.clone()));
        self.jobs.insert(id, job);
    }

    /// Forgets a job of which no task may be running.
    pub(crate) fn remove(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            self.by_creation.remove(&(job.revision, id.to_string()));
        }
    }

    /// Whether a job is known.
    pub(crate) fn contains_key(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// A job by its id.
    pub(crate) fn get(&self, id: &str) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// The same, to change it.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Job> {
        self.jobs.get_mut(id)
    }

    /// All jobs, by id.
    pub(crate) fn iter(&self) -> btree_map::Iter<'_, String, Job> {
        self.jobs.iter()
    }

    /// The same, to change them.
    pub(crate) fn iter_mut(&mut self) -> btree_map::IterMut<'_, String, Job> {
        self.jobs.iter_mut()
    }

    /// All jobs, in the order of their ids.
    pub(crate) fn values(&self) -> btree_map::Values<'_, String, Job> {
        self.jobs.values()
    }

    /// The same, to change them.
    pub(crate) fn values_mut(&mut self) -> btree_map::ValuesMut<'_, String, Job> {
        self.jobs.values_mut()
    }

    /// Does something with each job, in the order of their creation.
    pub(crate) fn for_each_by_creation(&mut self, mut action: impl FnMut(&mut Job)) {
        for (_, id) in &self.by_creation {
            if let Some(job) = self.jobs.get_mut(id) {
                action(job);
            }
        }
    }
}
