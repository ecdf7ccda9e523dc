//! A controller's copy of the service's keys, loaded in pages and kept current by the store's changes.
//!
//! Invariant: for each key the version only grows, and a terminal job stays terminal. An answer that arrives
//! late or twice therefore changes nothing.

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

/// What a change was about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangedKey {
    /// The record of the job with this id.
    Job(String),
    /// The leader's key.
    Leader,
    /// Any other key.
    Other,
}

/// The copy of all keys.
#[derive(Default)]
pub struct Replica {
    /// All changes up to this revision are applied.
    pub revision: u64,
    /// The jobs by id.
    pub jobs: Jobs,
    /// Who leads.
    pub leader: Leader,
    /// The machines on which tasks may have been started.
    pub roster: Roster,
    /// The pages of the jobs' progress.
    pub progress: ProgressPages,
    /// The bindings of gangs.
    pub bindings: Bindings,
    /// The arrays of which tasks may have been started.
    pub started_arrays: StartedArraysRecord,
    /// Versions of the keys that a leader writes again and again: all but jobs, leader and term.
    pub versions: KeyVersions,
}

impl Replica {
    /// An empty replica. `chunk_bits` is the number of tasks in a chunk of a progress page that version 0.1
    /// wrote.
    pub fn new(chunk_bits: u32) -> Replica {
        Replica {
            progress: ProgressPages::new(chunk_bits),
            ..Replica::default()
        }
    }

    /// A replica with the first page of a load. Its revision is that page's: the changes after it have to be
    /// applied to the later pages too, which may hold only some of them.
    pub fn from_first_page(chunk_bits: u32, page: &Page) -> Replica {
        let mut replica = Replica::new(chunk_bits);
        replica.revision = page.revision;
        replica.load(page);
        replica
    }

    /// Adds a further page of a load.
    pub fn load(&mut self, page: &Page) {
        for item in &page.items {
            self.put(&item.key, &item.value, item.version);
        }
    }

    /// Merges what another replica holds that is newer than the pages this one was loaded from.
    pub(crate) fn merge_newer(&mut self, other: Replica) {
        self.jobs.merge_newer(other.jobs);
        self.leader.merge_newer(other.leader, self.revision);
        self.versions.merge_newer(other.versions, self.revision);
    }

    /// Applies the changes that are newer than this replica's revision; returns what they were about.
    pub fn apply(&mut self, changes: &Changes) -> Vec<ChangedKey> {
        // Two requests can return the same change; the older answer must not undo a newer one.
        let revision = self.revision;
        let newer = changes.changes.iter().filter(|c| c.version > revision);
        let changed = newer.filter_map(|change| self.apply_one(change)).collect();
        self.revision = self.revision.max(changes.revision);
        changed
    }

    fn apply_one(&mut self, change: &Change) -> Option<ChangedKey> {
        match (&change.put, &change.value, &change.dropped) {
            (Some(key), Some(value), _) => Some(self.put(key, value, change.version)),
            (_, _, Some(key)) => {
                self.versions.forget_dropped(key, change.version);
                Some(self.remove(key))
            }
            _ => None,
        }
    }

    /// Applies a key's value; one that can't be read is skipped.
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
            // The term is read directly when a leadership is acquired.
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

    /// Applies a job's record, also one that was read directly and of which no change was applied yet.
    pub fn put_job(&mut self, id: &str, record: JobRecord, version: u64) {
        self.jobs.put(id, record, version);
    }

    /// Marks a job as done by this controller's own write, applied at `version`.
    pub fn mark_job_done(&mut self, id: &str, version: u64) {
        self.jobs.mark_done(id, version);
    }

    /// Cancels an open job because an ancestor is cancelled. Its record stays open in the store; none of its
    /// tasks was ever started.
    pub fn cancel_with_ancestor(&mut self, id: &str) {
        self.jobs.cancel_with_ancestor(id);
    }

    /// Sets the leader that this controller's own write has recorded at `version`.
    pub fn set_leader(&mut self, record: LeaderRecord, version: u64) {
        self.leader.set(Some(record), version);
    }

    /// Forgets the leader if it is this member, before the store reports that its key is gone.
    pub fn forget_leader(&mut self, member: &str) {
        self.leader.clear_if_member(member);
    }

    /// The jobs of which this controller learned within the last `window` that they are cancelled.
    pub fn recently_cancelled(&self, window: Duration) -> Vec<CancelledJob> {
        self.jobs.recently_cancelled(window)
    }

    /// Machines on which a gang may have been started: those of its newest attempt; none if it was never
    /// bound.
    pub fn bound_machines(&self, job: &str) -> Option<BTreeSet<String>> {
        self.bindings.machines(job)
    }
}
