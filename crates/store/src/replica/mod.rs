//! A controller's replica of all keys in the state service, loaded in pages and kept up to date
//! with the store's changes.
//!
//! Invariant: the version of each key only grows, and a terminal job (done or cancelled) stays
//! terminal. An outdated or repeated response therefore changes nothing.

mod bindings;
mod bitmap;
mod jobs;
mod leader;
mod progress;
mod roster;

pub use bindings::Bindings;
pub use bitmap::{decode_hex_bitmap, Bitmap};
pub use jobs::{CancelledJob, JobEntry, JobResources, Jobs};
pub use leader::Leader;
pub use progress::{ProgressPages, Section};
pub use roster::Roster;

use crate::keys::{self, KeyKind};
use crate::versions::{KeyVersions, Presence};
use std::collections::BTreeSet;
use std::time::Duration;
use wire::store::{
    from_value, Change, Changes, JobRecord, LeaderRecord, Page, ProgressPage, StartedArraysRecord,
    Value,
};

/// Key to which a change was applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangedKey {
    /// Record of the job with this id.
    Job(String),
    /// Leader's key.
    Leader,
    /// Any other key.
    Other,
}

/// Replica of all keys.
#[derive(Default)]
pub struct Replica {
    /// Revision up to which all changes are applied.
    pub revision: u64,
    /// Jobs by id.
    pub jobs: Jobs,
    /// Current leader.
    pub leader: Leader,
    /// Machines on which tasks may have been started.
    pub roster: Roster,
    /// Pages with the progress of jobs.
    pub progress: ProgressPages,
    /// Bindings of gangs to machines.
    pub bindings: Bindings,
    /// Arrays whose tasks may have been started.
    pub started_arrays: StartedArraysRecord,
    /// Versions of the keys that a leader writes repeatedly: all except those
    /// of jobs, the leader and the term.
    pub versions: KeyVersions,
}

impl Replica {
    /// Creates an empty replica. `tasks_per_chunk` is the number of tasks in a chunk of a progress
    /// page that version 0.1 wrote.
    pub fn new(tasks_per_chunk: u32) -> Replica {
        Replica {
            progress: ProgressPages::new(tasks_per_chunk),
            ..Replica::default()
        }
    }

    /// Creates a replica from the first page of a load and takes its revision from that page. Later
    /// pages may already contain some of the changes after that revision, so all of these changes
    /// have to be applied once the pages are loaded.
    pub fn from_first_page(tasks_per_chunk: u32, page: &Page) -> Replica {
        let mut replica = Replica::new(tasks_per_chunk);
        replica.revision = page.revision;
        replica.load(page);
        replica
    }

    /// Adds another page of a load.
    pub fn load(&mut self, page: &Page) {
        for item in &page.items {
            self.put(&item.key, &item.value, item.version);
        }
    }

    /// Merges the records of another replica that are newer than the pages from which this one was
    /// loaded.
    pub(crate) fn merge_newer(&mut self, other: Replica) {
        self.jobs.merge_newer(other.jobs);
        self.leader.merge_newer(other.leader, self.revision);
        self.versions.merge_newer(other.versions, self.revision);
    }

    /// Applies the changes that are newer than this replica's revision, and returns the changed
    /// keys.
    pub fn apply(&mut self, changes: &Changes) -> Vec<ChangedKey> {
        // Two requests can return the same change. The older response must not undo a newer one.
        let revision = self.revision;
        let newer = changes.changes.iter().filter(|c| c.version > revision);
        let changed = newer.filter_map(|change| self.apply_one(change)).collect();
        self.revision = self.revision.max(changes.revision);
        changed
    }

    fn apply_one(&mut self, change: &Change) -> Option<ChangedKey> {
        match (&change.written_key, &change.value, &change.deleted_key) {
            (Some(key), Some(value), _) => Some(self.put(key, value, change.version)),
            (_, _, Some(key)) => {
                self.versions.forget_dropped(key, change.version);
                Some(self.remove(key))
            }
            _ => None,
        }
    }

    /// Applies the value of a key. A value that can't be decoded is skipped.
    fn put(&mut self, key: &str, value: &Value, version: u64) -> ChangedKey {
        let kind = KeyKind::of(key);
        if !matches!(kind, KeyKind::Job | KeyKind::Leader | KeyKind::Term) {
            self.versions.record_change(key, version, Presence::Present);
        }
        match kind {
            KeyKind::Job => {
                let id = keys::job_id(key).unwrap_or_default();
                if let Some(record) = from_value(value) {
                    self.put_job(id, record, version);
                }
                return ChangedKey::Job(id.to_string());
            }
            KeyKind::Leader => {
                self.leader.set(from_value(value), version);
                return ChangedKey::Leader;
            }
            KeyKind::Progress => {
                if let (Some(number), Some(page)) = (keys::progress_page(key), from_value(value)) {
                    self.put_progress(number, page);
                }
            }
            KeyKind::Roster => {
                if let (Some(number), Some(page)) = (keys::roster_page(key), from_value(value)) {
                    self.roster.put(number, page);
                }
            }
            KeyKind::Binding => {
                if let (Some((job, chunk)), Some(record)) =
                    (keys::binding_chunk(key), from_value(value))
                {
                    self.bindings.put(job, chunk, record);
                }
            }
            KeyKind::StartedArrays => {
                if let Some(record) = from_value(value) {
                    self.started_arrays = record;
                }
            }
            // The term is read directly when leadership is acquired.
            KeyKind::Term | KeyKind::Other => {}
        }
        ChangedKey::Other
    }

    fn put_progress(&mut self, number: u32, page: ProgressPage) {
        for section in self.progress.sections(&page) {
            self.jobs
                .add_progress(section.job, section.first_task, section.bits);
        }
        self.progress.put(number, page);
    }

    fn remove(&mut self, key: &str) -> ChangedKey {
        match KeyKind::of(key) {
            KeyKind::Leader => {
                self.leader.clear();
                return ChangedKey::Leader;
            }
            KeyKind::Roster => {
                if let Some(number) = keys::roster_page(key) {
                    self.roster.remove(number);
                }
            }
            KeyKind::Progress => {
                if let Some(number) = keys::progress_page(key) {
                    self.progress.remove(number);
                }
            }
            KeyKind::Binding => {
                if let Some((job, chunk)) = keys::binding_chunk(key) {
                    self.bindings.remove(job, chunk);
                }
            }
            KeyKind::Job | KeyKind::Term | KeyKind::StartedArrays | KeyKind::Other => {}
        }
        ChangedKey::Other
    }

    /// Applies a job's record. It may have been read directly from the store, before the change
    /// that wrote it was applied.
    pub fn put_job(&mut self, id: &str, record: JobRecord, version: u64) {
        self.jobs.put(id, record, version);
    }

    /// Marks a job as done after a write of this controller has recorded that at `version`.
    pub fn mark_job_done(&mut self, id: &str, version: u64) {
        self.jobs.mark_done(id, version);
    }

    /// Marks an open job as cancelled because an ancestor (a job on which it depends, directly or
    /// not) is cancelled. Its record stays open in the store. None of its tasks was ever started.
    pub fn cancel_with_ancestor(&mut self, id: &str) {
        self.jobs.cancel_with_ancestor(id);
    }

    /// Sets the leader after a write of this controller has recorded it at `version`.
    pub fn set_leader(&mut self, record: LeaderRecord, version: u64) {
        self.leader.set(Some(record), version);
    }

    /// Forgets the leader if it is `member`, before the store reports that the leader's key is
    /// deleted.
    pub fn forget_leader(&mut self, member: &str) {
        self.leader.clear_if_member(member);
    }

    /// Returns the cancelled jobs whose cancellation this controller learned of within the last
    /// `window`.
    pub fn recently_cancelled(&self, window: Duration) -> Vec<CancelledJob> {
        self.jobs.recently_cancelled(window)
    }

    /// Returns the machines on which a gang may have been started, which are those of its newest
    /// attempt, or `None` if it was never bound.
    pub fn bound_machines(&self, job: &str) -> Option<BTreeSet<String>> {
        self.bindings.machines(job)
    }
}
