//! The cluster view: this controller's replica of the store, the state derived from it, and
//! `read_at`, the instant as of which the replica is known to be complete.
//!
//! The store responds with everything it holds when it serves a request, so once a response has
//! been applied, the view is complete as of the instant at which the request was *sent*. That
//! instant is valid only for the replica to which the response was applied, so `read_at` changes
//! only together with the replica, in `ClusterView::apply` and `ClusterView::finish_reload`.
//!
//! The view never replaces a record by an older one of the same key, whether the records come from
//! a read of changes, a write of this controller, a direct read, or a reload of all keys. A read of
//! changes that was sent before a reload began is discarded, which guarantees that the loaded pages
//! are at least as new as any changes that have been applied.

use sched::dependencies::{DependencyGraph, DependencyState, Effect};
use sched::Secs;
use store::reload::{LoadState, Reload};
use store::replica::{ChangedKey, Replica};
use wire::store::{Changes, JobRecord, LeaderRecord, Page, Recorded, Write};
use wire::users::Priority;

/// Effect of a change of the view on a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// The entry of the job with this id may have changed.
    Updated(String),
    /// The job with this id is no longer blocked: its last dependency is done.
    Unblocked(String),
    /// The job with this id is cancelled because one of its ancestors is: a job on which it
    /// depends, directly or indirectly.
    Cancelled(String),
    /// The job with this id is now scheduled at this priority: its own, or a more urgent one of a
    /// job that depends on it, directly or indirectly.
    Reprioritized(String, Priority),
}

/// A read of the store's changes, in progress.
#[derive(Clone, Copy, Debug)]
pub struct ChangesRead {
    /// The store revision after which changes are requested.
    pub since: u64,
    sent_at: Secs,
    /// The number of reloads that had begun when the read was sent.
    reloads_begun: u64,
}

/// A reload of all keys in progress.
pub struct ViewReload {
    pages: Reload,
    first_page_sent_at: Secs,
}

impl ViewReload {
    /// Returns the key after which the next page begins; `None` for the first page.
    pub fn last_key(&self) -> Option<&str> {
        self.pages.last_key()
    }

    /// Returns the number of pages read so far.
    pub fn pages(&self) -> u32 {
        self.pages.pages()
    }

    /// Returns when the first page was requested.
    pub fn first_page_sent_at(&self) -> Secs {
        self.first_page_sent_at
    }

    /// Adds the page that begins after `last_key`.
    pub fn add_page(&mut self, page: &Page) -> LoadState {
        self.pages.add_page(page)
    }
}

/// The replica of the store, the dependencies between its jobs, and the instant as of which the
/// replica is known to be complete.
///
/// Invariant: the replica holds, for each key, the store's record as of `read_at` or a newer one.
pub struct ClusterView {
    replica: Replica,
    dependencies: DependencyGraph,
    read_at: Secs,
    /// Whether all keys have been loaded and the store still has the changes since the replica's
    /// revision, so that these changes bring the replica up to date.
    complete: bool,
    /// Number of reloads that have begun.
    reloads_begun: u64,
    tasks_per_chunk: u32,
}

impl ClusterView {
    /// Creates an empty view, which has to be filled by a reload. `tasks_per_chunk` is the number
    /// of tasks in a chunk of a progress page that version 0.1 wrote.
    pub fn new(tasks_per_chunk: u32) -> ClusterView {
        ClusterView {
            replica: Replica::new(tasks_per_chunk),
            dependencies: DependencyGraph::default(),
            read_at: f64::MIN,
            complete: false,
            reloads_begun: 0,
            tasks_per_chunk,
        }
    }

    /// Returns the replica of the store.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the dependencies between the jobs.
    pub fn dependencies(&self) -> &DependencyGraph {
        &self.dependencies
    }

    /// Returns the instant as of which the view is known to be complete, in seconds on the
    /// controller's monotonic clock: the view contains everything that the store held at that
    /// instant.
    pub fn read_at(&self) -> Secs {
        self.read_at
    }

    /// Returns whether all keys have been loaded and a read of changes can bring the view up to
    /// date.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Begins a read of changes that is sent at `now`. Returns `None` if changes can't bring the
    /// view up to date.
    pub fn begin_read(&self, now: Secs) -> Option<ChangesRead> {
        self.complete.then_some(ChangesRead {
            since: self.replica.revision,
            sent_at: now,
            reloads_begun: self.reloads_begun,
        })
    }

    /// Applies the changes that a read returned. Returns `None`, and applies nothing, if a reload
    /// has begun since the read was sent.
    pub fn apply(&mut self, read: ChangesRead, changes: &Changes) -> Option<Vec<JobChange>> {
        if !self.is_current(read) {
            return None;
        }
        let changed = self.replica.apply(changes);
        self.read_at = self.read_at.max(read.sent_at);
        let jobs = changed.into_iter().filter_map(|changed| match changed {
            ChangedKey::Job(id) => Some(id),
            ChangedKey::Leader | ChangedKey::Other => None,
        });
        Some(jobs.flat_map(|id| self.update_derived_state(&id)).collect())
    }

    /// Records that the store can't return the changes that a read requested, so that all keys have
    /// to be reloaded.
    pub fn on_revision_too_old(&mut self, read: ChangesRead) {
        if self.is_current(read) {
            self.complete = false;
        }
    }

    /// Returns whether no reload has begun since the read was sent.
    fn is_current(&self, read: ChangesRead) -> bool {
        read.reloads_begun == self.reloads_begun
    }

    /// Begins a reload of all keys whose first page is requested at `now`.
    pub fn begin_reload(&mut self, now: Secs) -> ViewReload {
        self.complete = false;
        self.reloads_begun += 1;
        ViewReload {
            pages: Reload::new(self.tasks_per_chunk),
            first_page_sent_at: now,
        }
    }

    /// Replaces the replica by the records of a complete reload, merged with newer records of the
    /// previous replica. No changes are returned, since any job may have changed.
    pub fn finish_reload(&mut self, reload: ViewReload) {
        let previous = std::mem::take(&mut self.replica);
        self.replica = reload.pages.finish(previous);
        self.read_at = reload.first_page_sent_at;
        self.complete = true;
        self.dependencies = DependencyGraph::default();
        let ids: Vec<String> = self.replica.jobs.keys().cloned().collect();
        for id in ids {
            self.update_derived_state(&id);
        }
    }

    /// Applies a job's record as of a version in the store.
    pub fn apply_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
    ) -> Vec<JobChange> {
        self.replica.put_job(id, record, version);
        self.update_derived_state(id)
    }

    /// Applies this controller's own write that marks a job as done.
    pub fn mark_job_done(&mut self, id: &str, version: u64) -> Vec<JobChange> {
        self.replica.mark_job_done(id, version);
        self.update_derived_state(id)
    }

    /// Records that the store applied this controller's writes at a revision.
    pub fn record_writes(&mut self, writes: &[Write], revision: u64) {
        self.replica.versions.record_applied(writes, revision);
    }

    /// Applies this controller's own write of the leader record.
    pub fn set_leader(&mut self, leader: LeaderRecord, version: u64) {
        self.replica.set_leader(leader, version);
    }

    /// Removes the leader record if it names this member, without waiting for the store to report
    /// that the member's leadership has ended.
    pub fn forget_leader(&mut self, member: &str) {
        self.replica.forget_leader(member);
    }

    /// Updates the state derived from a job's entry in the replica. Descendants that are cancelled
    /// along with the job are marked as cancelled in the replica too.
    fn update_derived_state(&mut self, id: &str) -> Vec<JobChange> {
        let Some(entry) = self.replica.jobs.get(id) else {
            return Vec::new();
        };
        let effects = match (&entry.job, entry.state) {
            (Some(job), Recorded::Open) => {
                let replica = &self.replica;
                self.dependencies
                    .on_accepted(job, |other| dependency_state(replica, other))
            }
            (_, Recorded::Done) => self.dependencies.on_done(id),
            _ => self.dependencies.on_cancelled(id),
        };
        let updated = JobChange::Updated(id.to_string());
        let derived = effects.into_iter().map(|effect| self.apply_effect(effect));
        std::iter::once(updated).chain(derived).collect()
    }

    fn apply_effect(&mut self, effect: Effect) -> JobChange {
        match effect {
            Effect::Unblocked(id) => JobChange::Unblocked(id),
            Effect::Reprioritized(id, priority) => JobChange::Reprioritized(id, priority),
            Effect::Cancelled(id) => {
                log::info!("event=cancelled_with_dependency job={id}");
                self.replica.cancel_with_ancestor(&id);
                JobChange::Cancelled(id)
            }
        }
    }
}

/// Returns a job's state in the form that the dependency graph needs.
fn dependency_state(replica: &Replica, id: &str) -> Option<DependencyState> {
    let entry = replica.jobs.get(id)?;
    Some(match (&entry.job, entry.state) {
        (Some(job), Recorded::Open) => DependencyState::Open(job.priority),
        (_, Recorded::Done) => DependencyState::Done,
        _ => DependencyState::Cancelled,
    })
}
