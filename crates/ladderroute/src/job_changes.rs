//! What follows when this controller learns of a job's record: for the dependencies between jobs, for
//! the replica, and for the leader if it is here.

use crate::node::{Node, Shared, State};
use sched::dependencies::{Effect, Record};
use sched::leader::{Earlier, OpenJob};
use std::rc::Rc;
use store::replica::{JobEntry, Replica};
use wire::store::{JobRecord, Recorded};
use wire::users::Job;

/// What the replica holds of a job, as the dependencies need it.
fn record_of(replica: &Replica, id: &str) -> Option<Record> {
    let entry = replica.jobs.get(id)?;
    Some(match (&entry.job, entry.state) {
        (Some(job), Recorded::Open) => Record::Open(job.priority),
        (_, Recorded::Done) => Record::Done,
        _ => Record::Cancelled,
    })
}

impl Shared {
    /// Brings the dependencies up to what the replica holds of a job. Jobs that are cancelled with it
    /// are so in the replica afterwards.
    fn update_dependencies(&mut self, id: &str) -> Vec<Effect> {
        let Shared {
            replica,
            dependencies,
            ..
        } = self;
        let Some(entry) = replica.jobs.get(id) else {
            return Vec::new();
        };
        let effects = match (&entry.job, entry.state) {
            (Some(job), Recorded::Open) => {
                dependencies.accepted(job, |other| record_of(replica, other))
            }
            (_, Recorded::Done) => dependencies.done(id),
            _ => dependencies.cancelled(id),
        };
        for effect in &effects {
            if let Effect::Cancelled(id) = effect {
                log::info!("event=cancelled_with_dependency job={id}");
                replica.cancelled_with_ancestor(id);
            }
        }
        effects
    }

    /// Takes a replica that was read anew, with the dependencies between its jobs.
    pub fn replace_replica(&mut self, replica: Replica) {
        self.replica = replica;
        self.dependencies = Default::default();
        let ids: Vec<String> = self.replica.jobs.keys().cloned().collect();
        for id in ids {
            self.update_dependencies(&id);
        }
    }
}

impl Node {
    /// Takes a job's record, as the store holds it at a version, with all that follows.
    pub fn learn_job(&self, state: &mut State, id: &str, record: JobRecord, version: u64) {
        state.shared.replica.put_job(id, record, version);
        self.job_changed(&mut state.shared, id);
        self.pump(state);
    }

    /// The replica holds something new of a job: passes on what follows.
    pub fn job_changed(&self, shared: &mut Shared, id: &str) {
        let effects = shared.update_dependencies(id);
        self.tell_leader(shared, id);
        for effect in effects {
            match effect {
                Effect::Unblocked(id) | Effect::Cancelled(id) => self.tell_leader(shared, &id),
                Effect::Reprioritized(id, priority) => {
                    if let Some(lead) = &mut shared.lead {
                        lead.leader.set_priority(&id, priority);
                    }
                }
            }
        }
    }

    /// Tells the leader, if it is here, what the replica says of a job. It never gets to know a job that
    /// waits for others: nothing in a pass, in quotas or in demand can then count it.
    pub fn tell_leader(&self, shared: &mut Shared, id: &str) {
        let (Some(lead), Some(entry)) = (&mut shared.lead, shared.replica.jobs.get(id)) else {
            return;
        };
        let Some(spec) = &entry.job else {
            lead.records.job_over(id);
            lead.leader.job_over(id);
            return;
        };
        if shared.dependencies.is_blocked(id) {
            return;
        }
        // What is new to this leader was never given out. No other could have led since, and what was
        // blocked when this one began had been blocked before: an earlier leader started a job only on
        // the written `done` of all that it needs, which this one's replica then holds.
        let open = open_job(entry, spec.clone(), Earlier::Untouched);
        lead.leader.add_job(open);
        let priority = shared.dependencies.priority(id, spec.priority);
        lead.leader.set_priority(id, priority);
    }
}

/// A job of the replica as the leader takes it.
pub fn open_job(entry: &JobEntry, spec: Rc<Job>, earlier: Earlier) -> OpenJob {
    let mut done = sched::ranges::Ranges::default();
    done.add_bits(0, entry.progress.bytes(), spec.tasks);
    OpenJob {
        spec,
        revision: entry.version,
        done,
        earlier,
    }
}
