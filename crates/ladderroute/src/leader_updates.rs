//! What the leader, if it is here, gets to know when something new of jobs is in the view.

use crate::cluster_view::JobChange;
use crate::controller::{Controller, Shared, State};
use sched::leader::{OpenJob, PriorRuns};
use std::rc::Rc;
use store::replica::JobEntry;
use wire::store::JobRecord;
use wire::users::Job;

impl Controller {
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
                JobChange::Record(id) | JobChange::Unblocked(id) | JobChange::Cancelled(id) => {
                    self.notify_leader_of_job(shared, &id);
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
    pub fn notify_leader_of_all_jobs(&self, shared: &mut Shared) {
        if shared.leadership.is_none() {
            return;
        }
        let ids: Vec<String> = shared.view.replica().jobs.keys().cloned().collect();
        for id in ids {
            self.notify_leader_of_job(shared, &id);
        }
    }

    /// Tells the leader, if it is here, what the view says of a job. It never gets to know a job that
    /// waits for others: nothing in a pass, in quotas or in demand can then count it.
    fn notify_leader_of_job(&self, shared: &mut Shared, id: &str) {
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
}

/// A job of the replica as the leader takes it.
pub fn open_job(entry: &JobEntry, spec: Rc<Job>, prior_runs: PriorRuns) -> OpenJob {
    let mut done = sched::ranges::Ranges::default();
    done.add_bits(0, entry.progress.bytes(), spec.tasks);
    OpenJob {
        spec,
        revision: entry.version,
        done,
        prior_runs,
    }
}
