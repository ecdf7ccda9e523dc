//! Bindings of gangs to machines, each stored in one or more chunks.

use std::collections::{BTreeMap, BTreeSet};
use wire::store::BindingRecord;

/// Binding records by job and chunk.
///
/// Invariant: each chunk is as the newest change of its key left it. If the binding of an attempt
/// has fewer chunks than that of an older attempt, some older chunks remain. They are ignored.
#[derive(Default)]
pub struct Bindings {
    chunks: BTreeMap<String, BTreeMap<u32, BindingRecord>>,
}

impl Bindings {
    /// Returns the chunks of a job by number, including those of older attempts.
    pub fn get(&self, job: &str) -> Option<&BTreeMap<u32, BindingRecord>> {
        self.chunks.get(job)
    }

    /// Returns the machines of the newest attempt to bind a job, or `None` if it was never bound.
    pub(super) fn machines(&self, job: &str) -> Option<BTreeSet<String>> {
        let records = self.chunks.get(job)?;
        let newest = records.values().map(|record| record.attempt).max()?;
        let current = records.values().filter(|record| record.attempt == newest);
        let places = current.flat_map(|record| &record.places);
        Some(places.map(|(machine, _, _)| machine.clone()).collect())
    }

    pub(super) fn put(&mut self, job: &str, chunk: u32, record: BindingRecord) {
        let chunks = self.chunks.entry(job.to_string()).or_default();
        chunks.insert(chunk, record);
    }

    pub(super) fn remove(&mut self, job: &str, chunk: u32) {
        if let Some(chunks) = self.chunks.get_mut(job) {
            chunks.remove(&chunk);
            if chunks.is_empty() {
                self.chunks.remove(job);
            }
        }
    }
}
