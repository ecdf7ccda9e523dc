//! The cluster view: this controller's replica of the store, what is derived from it, and `read_at`, the
//! instant for which it is proved complete.
//!
//! What proves freshness: the store answers a request with all that it holds, so an answer that was applied
//! proves the view complete as of the instant at which its request was *sent*. The proof is about one replica,
//! so replica and `read_at` change together, in `ClusterView::apply` and `ClusterView::finish_reload` only.
//!
//! For each key the view never goes back, whether a record stems from a read of changes, a write of this
//! controller, a direct read, or a reload of all keys. A read of changes that was sent before a reload is
//! discarded once the reload has begun: the loaded pages are then certainly as new as any changes that were
//! applied.

use sched::dependencies::{DependencyGraph, DependencyState, Effect};
use sched::Secs;
use store::reload::{LoadState, Reload};
use store::replica::{ChangedKey, Replica};
use wire::store::{Changes, JobRecord, LeaderRecord, Page, Recorded, Write};
use wire::users::Priority;

/// What a change of the view means for a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobChange {
    /// The entry of the job with this id may have changed.
    Updated(String),
    /// The last dependency of the job with this id is done.
    Unblocked(String),
    /// The job with this id is cancelled because an ancestor is.
    Cancelled(String),
    /// The job with this id is scheduled with another priority than its own.
    Reprioritized(String, Priority),
}

/// A read of changes in progress.
#[derive(Clone, Copy, Debug)]
pub struct ChangesRead {
    /// The revision after which changes are requested.
    pub since: u64,
    sent_at: Secs,
    /// The reloads that had begun when it was sent.
    reloads_begun: u64,
}

/// A reload of all keys in progress.
pub struct ViewReload {
    pages: Reload,
    first_page_sent_at: Secs,
}

impl ViewReload {
    /// The key after which the next page begins; none for the first.
    pub fn last_key(&self) -> Option<&str> {
        self.pages.last_key()
    }

    /// The number of pages that were read.
    pub fn pages(&self) -> u32 {
        self.pages.pages()
    }

    /// When its first page was requested.
    pub fn first_page_sent_at(&self) -> Secs {
        self.first_page_sent_at
    }

    /// Adds the page that begins after `last_key`.
    pub fn add_page(&mut self, page: &Page) -> LoadState {
        self.pages.add_page(page)
    }
}

/// The replica, the dependencies between its jobs, and the proof of its freshness.
///
/// Invariant: the replica holds, for each key, the store's record as of `read_at` or a newer one.
pub struct ClusterView {
    replica: Replica,
    dependencies: DependencyGraph,
    read_at: Secs,
    /// Whether the store's changes since the replica's revision can bring it up to date.
    complete: bool,
    reloads_begun: u64,
    chunk_bits: u32,
}

impl ClusterView {
    /// An empty view, which a reload has to fill. `chunk_bits` is the number of tasks in a chunk of a progress
    /// page that version 0.1 wrote.
    pub fn new(chunk_bits: u32) -> ClusterView {
        ClusterView {
            replica: Replica::new(chunk_bits),
            dependencies: DependencyGraph::default(),
            read_at: f64::MIN,
            complete: false,
            reloads_begun: 0,
            chunk_bits,
        }
    }

    /// The replica of the store.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The dependencies between the jobs.
    pub fn dependencies(&self) -> &DependencyGraph {
        &self.dependencies
    }

    /// The instant for which the view is proved complete, in seconds on the node's clock: it holds all that
    /// the store held then.
    pub fn read_at(&self) -> Secs {
        self.read_at
    }

    /// Whether all keys were read, and changes can bring the view up to date.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Begins a read of changes that is sent at `now`; none if changes can't bring the view up to date.
    pub fn begin_read(&self, now: Secs) -> Option<ChangesRead> {
        self.complete.then_some(ChangesRead {
            since: self.replica.revision,
            sent_at: now,
            reloads_begun: self.reloads_begun,
        })
    }

    /// Applies the changes that a read returned; none, and nothing is applied, if a reload has begun since the
    /// read was sent.
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

    /// Notes that the store could not return the changes that a read requested: all keys have to be read.
    pub fn on_revision_too_old(&mut self, read: ChangesRead) {
        if self.is_current(read) {
            self.complete = false;
        }
    }

    /// Whether no reload has begun since the read was sent.
    fn is_current(&self, read: ChangesRead) -> bool {
        read.reloads_begun == self.reloads_begun
    }

    /// Begins a reload, the first page of which is requested at `now`.
    pub fn begin_reload(&mut self, now: Secs) -> ViewReload {
        self.complete = false;
        self.reloads_begun += 1;
        ViewReload {
            pages: Reload::new(self.chunk_bits),
            first_page_sent_at: now,
        }
    }

    /// Replaces the replica by a complete reload, merged with newer records. Any job may have changed.
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

    /// Applies a job's record, as the store holds it at a version.
    pub fn apply_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
    ) -> Vec<JobChange> {
        self.replica.put_job(id, record, version);
        self.update_derived_state(id)
    }

    /// Applies this controller's own write of a job's end.
    pub fn mark_job_done(&mut self, id: &str, version: u64) -> Vec<JobChange> {
        self.replica.mark_job_done(id, version);
        self.update_derived_state(id)
    }

    /// Notes that this controller's writes were applied at a revision.
    pub fn record_writes(&mut self, writes: &[Write], revision: u64) {
        self.replica.versions.record_applied(writes, revision);
    }

    /// Applies this controller's own write of the leader's key.
    pub fn set_leader(&mut self, leader: LeaderRecord, version: u64) {
        self.replica.set_leader(leader, version);
    }

    /// Notes that a member does not lead any more, before the store reports it.
    pub fn forget_leader(&mut self, member: &str) {
        self.replica.forget_leader(member);
    }

    /// Brings the derived state of a job up to date with the replica. Descendants that are cancelled with it
    /// are closed in the replica too.
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

/// A job's state as the dependencies need it.
fn dependency_state(replica: &Replica, id: &str) -> Option<DependencyState> {
    let entry = replica.jobs.get(id)?;
    Some(match (&entry.job, entry.state) {
        (Some(job), Recorded::Open) => DependencyState::Open(job.priority),
        (_, Recorded::Done) => DependencyState::Done,
        _ => DependencyState::Cancelled,
    })
}
