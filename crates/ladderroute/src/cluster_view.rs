//! The cluster view: this controller's replica of the store, what is derived from it, and the instant for
//! which it is proved to be complete.
//!
//! The proof, "the view holds all that the store held at `read_at`", is about one view, so view and
//! `read_at` change together, here only. For each key the view never goes back, whichever way a record
//! comes: a read of changes, a write of this controller, a direct read, or a reload of all keys. A read of
//! changes that was sent before a reload is dropped once the reload has begun: what the pages hold is then
//! certainly as new as anything that changes brought.

use sched::dependencies::{Dependencies, Effect, Record};
use sched::Secs;
use store::reload::Reload;
use store::replica::{Changed, Replica};
use wire::store::{Changes, JobRecord, LeaderRecord, Page, Recorded, Write};
use wire::users::Priority;

/// What follows from something new in the view for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// The view holds something new of the job itself.
    Record(String),
    /// The last job that it needs is done.
    Unblocked(String),
    /// It is cancelled because a job that it needs is.
    Cancelled(String),
    /// It is treated with another priority.
    Reprioritized(String, Priority),
}

/// A read of changes that is under way.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    /// The revision after which changes are asked for.
    pub since: u64,
    sent: Secs,
    reloads: u64,
}

/// A reload of all keys that is under way.
pub struct ViewReload {
    pages: Reload,
    sent: Secs,
}

impl ViewReload {
    /// The key after which the next page begins; none for the first.
    pub fn last_key(&self) -> Option<&str> {
        self.pages.last_key()
    }

    /// How many pages were read.
    pub fn pages(&self) -> u32 {
        self.pages.pages()
    }

    /// When its first page was asked for.
    pub fn sent(&self) -> Secs {
        self.sent
    }

    /// Takes the next page; true if it was the last.
    pub fn take(&mut self, page: &Page) -> bool {
        self.pages.take(page)
    }
}

/// The cluster view.
pub struct ClusterView {
    replica: Replica,
    dependencies: Dependencies,
    read_at: Secs,
    /// Whether changes since the replica's revision can bring it up to date.
    complete: bool,
    /// How many reloads have begun.
    reloads: u64,
    chunk_bits: u32,
}

impl ClusterView {
    /// A view that holds nothing so far; chunks of so many tasks are in pages of version 0.1.
    pub fn new(chunk_bits: u32) -> ClusterView {
        ClusterView {
            replica: Replica::new(chunk_bits),
            dependencies: Dependencies::default(),
            read_at: f64::MIN,
            complete: false,
            reloads: 0,
            chunk_bits,
        }
    }

    /// The records themselves.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The dependencies between the jobs.
    pub fn dependencies(&self) -> &Dependencies {
        &self.dependencies
    }

    /// The view holds all that the store held at this instant.
    pub fn read_at(&self) -> Secs {
        self.read_at
    }

    /// Whether all keys were read, and changes can bring the view up to date.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// A read of changes is sent now; none if that can't bring the view up to date.
    pub fn begin_read(&self, now: Secs) -> Option<Read> {
        self.complete.then_some(Read {
            since: self.replica.revision,
            sent: now,
            reloads: self.reloads,
        })
    }

    /// Takes the changes that a read has brought; none if all keys are being read, or were read, since it
    /// was sent.
    pub fn apply(&mut self, read: Read, changes: &Changes) -> Option<Vec<JobChange>> {
        if read.reloads != self.reloads {
            return None;
        }
        let changed = self.replica.apply(changes);
        self.read_at = self.read_at.max(read.sent);
        let jobs = changed.into_iter().filter_map(|changed| match changed {
            Changed::Job(id) => Some(id),
            Changed::Leader | Changed::Other => None,
        });
        let jobs: Vec<String> = jobs.collect();
        Some(jobs.iter().flat_map(|id| self.update(id)).collect())
    }

    /// The store does not bring the changes that a read asked for: all keys have to be read.
    pub fn too_old(&mut self, read: Read) {
        if read.reloads == self.reloads {
            self.complete = false;
        }
    }

    /// The first page of all keys is asked for now.
    pub fn begin_reload(&mut self, now: Secs) -> ViewReload {
        self.complete = false;
        self.reloads += 1;
        ViewReload {
            pages: Reload::new(self.chunk_bits),
            sent: now,
        }
    }

    /// Takes all keys as they were read, beside what is newer. All jobs may have changed.
    pub fn finish_reload(&mut self, reload: ViewReload) {
        let in_use = std::mem::take(&mut self.replica);
        self.replica = reload.pages.finish(in_use);
        self.read_at = reload.sent;
        self.complete = true;
        self.dependencies = Dependencies::default();
        let ids: Vec<String> = self.replica.jobs.keys().cloned().collect();
        for id in ids {
            self.update(&id);
        }
    }

    /// Takes a job's record, as the store holds it at a version.
    pub fn apply_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
    ) -> Vec<JobChange> {
        self.replica.put_job(id, record, version);
        self.update(id)
    }

    /// This controller has written the end of a job.
    pub fn job_done(&mut self, id: &str, version: u64) -> Vec<JobChange> {
        self.replica.job_done(id, version);
        self.update(id)
    }

    /// This controller's writes were carried out at a revision.
    pub fn written(&mut self, writes: &[Write], revision: u64) {
        self.replica.versions.applied(writes, revision);
    }

    /// This controller has written who leads.
    pub fn set_leader(&mut self, leader: LeaderRecord, version: u64) {
        self.replica.set_leader(leader, version);
    }

    /// A member does not lead any more.
    pub fn leader_ended(&mut self, member: &str) {
        self.replica.leader_ended(member);
    }

    /// Brings what is derived up to what the replica holds of a job. Jobs that are cancelled with it are so
    /// in the replica afterwards.
    fn update(&mut self, id: &str) -> Vec<JobChange> {
        let Some(entry) = self.replica.jobs.get(id) else {
            return Vec::new();
        };
        let effects = match (&entry.job, entry.state) {
            (Some(job), Recorded::Open) => {
                let replica = &self.replica;
                self.dependencies
                    .accepted(job, |other| record_of(replica, other))
            }
            (_, Recorded::Done) => self.dependencies.done(id),
            _ => self.dependencies.cancelled(id),
        };
        let mut changes = vec![JobChange::Record(id.to_string())];
        for effect in effects {
            changes.push(match effect {
                Effect::Unblocked(id) => JobChange::Unblocked(id),
                Effect::Reprioritized(id, priority) => JobChange::Reprioritized(id, priority),
                Effect::Cancelled(id) => {
                    log::info!("event=cancelled_with_dependency job={id}");
                    self.replica.cancelled_with_ancestor(&id);
                    JobChange::Cancelled(id)
                }
            });
        }
        changes
    }
}

/// What the replica holds of a job, as the dependencies need it.
fn record_of(replica: &Replica, id: &str) -> Option<Record> {
    let entry = replica.jobs.get(id)?;
    Some(match (&entry.job, entry.state) {
        (Some(job), Recorded::Open) => Record::Open(job.priority),
        (_, Recorded::Done) => Record::Done,
        _ => Record::Cancelled,
    })
}
