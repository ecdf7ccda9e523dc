//! The durable watermark of started arrays, which tells a later leader which arrays were certainly
//! never started.
//!
//! Invariant: no task of an array is assigned before the store holds a record that covers the
//! array, that is, says that it may have been started. A later leader can then start arrays that
//! are not covered without waiting for every machine to be reconciled.

use super::{Action, Job, Leader, StartRecord};
use wire::store::StartedArraysRecord;

/// The record of started arrays may list one revision per this number of bits in a progress record,
/// which bounds the list to half of the size limit of a value.
const BITS_PER_WAITING_REVISION: usize = 48;

/// The watermark in the store, and whether a new record is being written.
pub(crate) struct StartedArrays {
    /// No array accepted at a later revision is recorded as started.
    upto: u64,
    write_pending: bool,
}

impl StartedArrays {
    pub(crate) fn new(upto: u64) -> StartedArrays {
        StartedArrays {
            upto,
            write_pending: false,
        }
    }
}

impl Leader {
    /// Requests a record of started arrays if any array is about to start and no record is being written.
    pub(crate) fn request_start_record(&mut self) {
        let is_requested = |job: &Job| job.start_record == StartRecord::Requested;
        if self.started_arrays.write_pending || !self.cluster.jobs.values().any(is_requested) {
            return;
        }
        self.started_arrays.write_pending = true;
        let record = self.start_record();
        self.actions.push(Action::RecordStartedArrays(record));
    }

    /// Returns a record that covers every array accepted up to its revision `upto`, except those in
    /// its list `waiting`: open arrays that are not about to start.
    fn start_record(&self) -> StartedArraysRecord {
        let jobs = self.cluster.jobs.values();
        let arrays: Vec<&Job> = jobs.filter(|job| !job.is_gang() && !job.terminal).collect();
        let revisions = arrays.iter().map(|job| job.revision);
        let upto = revisions.fold(self.started_arrays.upto, u64::max);
        let waiting = arrays.iter();
        let waiting = waiting.filter(|job| job.start_record == StartRecord::None);
        let mut waiting: Vec<u64> = waiting.map(|job| job.revision).collect();
        waiting.sort_unstable();
        // An array that is left out of the list is merely treated as possibly started.
        waiting.truncate(self.tasks_per_chunk as usize / BITS_PER_WAITING_REVISION);
        StartedArraysRecord { upto, waiting }
    }

    /// Handles the outcome of [`Action::RecordStartedArrays`]. If the write failed or its outcome
    /// is unknown, the next pass requests a record again.
    pub fn on_start_record_result(&mut self, record: &StartedArraysRecord, written: bool) {
        self.started_arrays.write_pending = false;
        if written {
            self.started_arrays.upto = self.started_arrays.upto.max(record.upto);
        }
        let outcome = if written {
            StartRecord::Written
        } else {
            StartRecord::None
        };
        let covered = self.cluster.jobs.values_mut();
        let covered = covered.filter(|job| job.start_record != StartRecord::Written);
        for job in covered.filter(|job| record.covers(job.revision)) {
            job.start_record = outcome;
        }
        self.pass_requested = true;
    }
}
