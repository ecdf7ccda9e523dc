//! Updates of the cluster view, and what follows from them at once: the leader, if it is here, is told, and
//! messages are exchanged under the same lock.

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
    /// Takes the changes that a read has brought into the view, and what follows; false if the view was
    /// read anew since the read was sent.
    pub fn apply_changes(&self, changes: &Changes, read: ChangesRead) -> bool {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(job_changes) = state.shared.view.apply(read, changes) else {
            Counters::increment(&self.counters.reads_dropped);
            log::info!("event=read_dropped since={}", read.since);
            return false;
        };
        self.notify_leader_of_changes(&mut state.shared, job_changes);
        self.act_on_view(state);
        true
    }

    /// Takes all keys as they were read into the view, and what follows.
    pub fn finish_reload(&self, reload: ViewReload) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (pages, took_s) = (reload.pages(), self.now() - reload.first_page_sent_at());
        state.shared.view.finish_reload(reload);
        Counters::increment(&self.counters.reloads);
        let replica = state.shared.view.replica();
        let (jobs, revision) = (replica.jobs.len(), replica.revision);
        log::info!("event=loaded jobs={jobs} revision={revision} pages={pages} took_s={took_s:.2}");
        self.notify_leader_of_all_jobs(&mut state.shared);
        self.act_on_view(state);
    }

    /// What was cancelled is stopped before any heartbeat is answered on the strength of the view: messages
    /// are exchanged first, and only then is the view's staleness proved to the owner.
    fn act_on_view(&self, state: &mut State) {
        self.exchange_messages(state);
        let read_at = state.shared.view.read_at();
        state.owner.authority.record_read(read_at);
    }

    /// Takes a job's record, as the store holds it at a version, with all that follows.
    pub fn apply_job_record(&self, state: &mut State, id: &str, record: JobRecord, version: u64) {
        let changes = state.shared.view.apply_job_record(id, record, version);
        self.notify_leader_of_changes(&mut state.shared, changes);
        self.exchange_messages(state);
    }

    /// Tells the leader, if it is here, what is new in the view.
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

    /// Tells the leader, if it is here, what the view says of each job.
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

/// Tells the leader, if it is here, what the view says of a job. It never gets to know a job that waits for
/// others: nothing in a pass, in quotas or in demand can then count it.
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
    // What is new to this leader was never given out. No other could have led since, and what was
    // blocked when this one began had been blocked before: an earlier leader started a job only on
    // the written `done` of all that it needs, which this one's view then holds.
    let open = open_job(entry, spec.clone(), PriorRuns::None);
    leadership.leader.add_job(open);
    let priority = view.dependencies().priority(id, spec.priority);
    leadership.leader.set_priority(id, priority);
}

/// A job of the replica as the leader takes it.
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
