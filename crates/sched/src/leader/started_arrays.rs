//! The durable watermark of started arrays: which arrays an earlier leader has certainly never touched.
//!
//! Invariant: no task of an array is assigned before the store holds a record that covers the array, so that a
//! later leader need not wait for every machine with the others.

use super::{Action, Job, Leader, StartRecord};
use wire::store::StartedArraysRecord;

/// Bits of a progress record for each revision that the record of started arrays may name: half of
/// what a value holds.
const BITS_PER_WAITING_REVISION: usize = 48;

/// The watermark as the store holds it, and whether a new one is being written.
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
    /// Has it recorded which arrays start, if any are to and no record is being written.
    pub(crate) fn request_start_record(&mut self) {
        let is_requested = |job: &Job| job.start_record == StartRecord::Requested;
        if self.started_arrays.write_pending || !self.cluster.jobs.values().any(is_requested) {
            return;
        }
        self.started_arrays.write_pending = true;
        let record = self.start_record();
        self.actions.push(Action::RecordStartedArrays(record));
    }

    /// The record that covers all arrays but those that are not to start yet.
    fn start_record(&self) -> StartedArraysRecord {
        let jobs = self.cluster.jobs.values();
        let arrays: Vec<&Job> = jobs.filter(|job| !job.is_gang() && !job.terminal).collect();
        let revisions = arrays.iter().map(|job| job.revision);
        let upto = revisions.fold(self.started_arrays.upto, u64::max);
        let waiting = arrays.iter();
        let waiting = waiting.filter(|job| job.start_record == StartRecord::None);
        let mut waiting: Vec<u64> = waiting.map(|job| job.revision).collect();
        waiting.sort_unstable();
        // One that is not named is only taken to have started.
        waiting.truncate(self.chunk_bits as usize / BITS_PER_WAITING_REVISION);
        StartedArraysRecord { upto, waiting }
    }

    /// The record of started arrays is durable, or its outcome is not known (the next pass asks again).
    pub fn start_record_result(&mut self, record: &StartedArraysRecord, written: bool) {
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
