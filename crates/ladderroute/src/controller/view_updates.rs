//! Updates of the cluster view and their immediate consequences: the leader, if it runs in this
//! process, is notified, and messages are exchanged while the same lock is held.

use super::{Controller, Shared, State};
use crate::cluster_view::{ChangesRead, JobChange, ViewReload};
use crate::counters::Counters;
use sched::leader::{OpenJob, PriorRuns};
use sched::ranges::RangeSet;
use std::rc::Rc;
use store::replica::JobEntry;
use wire::store::{Changes, JobRecord};
use wire::users::Job;

impl Controller {
    /// Applies the changes that a read returned and acts on them. Returns false, and applies
    /// nothing, if a reload of the view has begun since the read was sent.
    pub fn apply_changes(&self, changes: &Changes, read: ChangesRead) -> bool {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(job_changes) = state.shared.view.apply(read, changes) else {
            Counters::increment(&self.counters.reads_dropped);
            log::info!("event=read_dropped since={}", read.since);
            return false;
        };
        self.record_view_revision(&mut state.shared);
        self.notify_leader_of_changes(&mut state.shared, job_changes);
        self.act_on_view(state);
        true
    }

    /// Replaces the view by a complete reload of all keys and acts on it.
    pub fn finish_reload(&self, reload: ViewReload) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (pages, took_s) = (reload.pages(), self.now() - reload.first_page_sent_at());
        state.shared.view.finish_reload(reload);
        Counters::increment(&self.counters.reloads);
        let replica = state.shared.view.replica();
        let (jobs, revision) = (replica.jobs.len(), replica.revision);
        log::info!("event=loaded jobs={jobs} revision={revision} pages={pages} took_s={took_s:.2}");
        self.record_view_revision(&mut state.shared);
        self.notify_leader_of_all_jobs(&mut state.shared);
        self.act_on_view(state);
    }

    /// Records that the store has reached the revision of the view.
    fn record_view_revision(&self, shared: &mut Shared) {
        let revision = shared.view.replica().revision;
        shared.cancellations.record_revision(revision, self.now());
    }

    /// Acts on an updated view. Messages are exchanged before the owner learns that the view is
    /// fresher: tasks of cancelled jobs must be stopped before any heartbeat is answered from the
    /// new view.
    fn act_on_view(&self, state: &mut State) {
        self.exchange_messages(state);
        let read_at = state.shared.view.read_at();
        state.owner.authority.record_read(read_at);
    }

    /// Applies a job's record as of a version in the store and acts on it.
    pub fn apply_job_record(&self, state: &mut State, id: &str, record: JobRecord, version: u64) {
        let changes = state.shared.view.apply_job_record(id, record, version);
        let cancellations = &mut state.shared.cancellations;
        cancellations.record_revision(version, self.now());
        self.notify_leader_of_changes(&mut state.shared, changes);
        self.exchange_messages(state);
    }

    /// Notifies the leader, if it runs in this process, of changes to the view.
    pub fn notify_leader_of_changes(&self, shared: &mut Shared, changes: Vec<JobChange>) {
        for change in changes {
            match change {
                JobChange::Updated(id) | JobChange::Unblocked(id) | JobChange::Cancelled(id) => {
                    notify_leader_of_job(shared, &id);
                }
                JobChange::Reprioritized(id, priority) => {
                    if let Some(leadership) = &mut shared.leadership {
                        leadership.leader.set_priority(&id, priority);
                    }
                }
            }
        }
    }

    /// Notifies the leader, if it runs in this process, of the state of every job.
    fn notify_leader_of_all_jobs(&self, shared: &mut Shared) {
        if shared.leadership.is_none() {
            return;
        }
        let ids: Vec<String> = shared.view.replica().jobs.keys().cloned().collect();
        for id in ids {
            notify_leader_of_job(shared, &id);
        }
    }
}

/// Notifies the leader, if it runs in this process, of the state of a job. Jobs that are blocked by
/// dependencies are withheld from the leader, so that no scheduling pass, quota or demand counts
/// them.
fn notify_leader_of_job(shared: &mut Shared, id: &str) {
    let view = &shared.view;
    let (Some(leadership), Some(entry)) = (&mut shared.leadership, view.replica().jobs.get(id))
    else {
        return;
    };
    let Some(spec) = &entry.job else {
        leadership.records.on_job_terminal(id);
        leadership.leader.on_job_terminal(id);
        return;
    };
    if view.dependencies().is_blocked(id) {
        return;
    }
    // No task of a job that is new to this leader has ever been started. No other leader can have
    // led since this one began, so only an earlier leader could have started it. A job that was
    // blocked when this leader began had been blocked under the earlier leaders as well: they
    // started a job only once all its dependencies were recorded as done, and this leader's view
    // would contain these records.
    let open = open_job(entry, spec.clone(), PriorRuns::None);
    leadership.leader.add_job(open);
    let priority = view.dependencies().priority(id, spec.priority);
    leadership.leader.set_priority(id, priority);
}

/// Converts a job of the replica to the form that the leader accepts.
pub fn open_job(entry: &JobEntry, spec: Rc<Job>, prior_runs: PriorRuns) -> OpenJob {
    let mut done = RangeSet::default();
    done.insert_bitmap(0, entry.progress.bytes(), spec.tasks);
    OpenJob {
        spec,
        revision: entry.version,
        done,
        prior_runs,
    }
}
