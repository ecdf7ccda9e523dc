//! What goes into the leader's next transaction: as much as one holds, the most urgent first.

use super::limits::TxnLimits;
use super::pages::RecordPages;
use super::urgency::{Group, Urgency};
use super::writes::put;
use sched::leader::{Action, Leader};
use std::collections::VecDeque;
use store::keys::{self, KeyKind};
use store::replica::{JobEntry, Replica};
use wire::store::{
    to_value, BindingRecord, Condition, JobRecord, Recorded, RosterRecord, StartedArraysRecord,
    Value, Write,
};
use wire::users::Job;

/// Least bytes of a value for each place of a binding.
const PLACE_BYTES: f64 = 64.0;
/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// Decisions that are written together.
#[derive(Default)]
pub struct Batch {
    /// The decisions themselves.
    pub actions: Vec<Action>,
    /// Conditions beside that on the leadership.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
    /// Pages of the roster among the writes.
    pub roster_pages: Vec<u32>,
    /// Pages of progress among the writes.
    pub progress_pages: Vec<u32>,
    /// The part of a long binding that is among the writes.
    pub partial_binding: Option<PartialBinding>,
}

/// A binding of which this transaction and the ones before it hold a part. The gang starts once all of
/// it is written; until then the records name machines on which nothing was started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialBinding {
    /// The attempt that is bound.
    pub attempt: u64,
    /// How many of its places are written with this transaction.
    pub places: usize,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty() && self.writes.is_empty()
    }

    /// Whether it is the new token, which is not written like the rest.
    pub fn issues_token(&self) -> bool {
        matches!(self.actions.first(), Some(Action::IssueToken))
    }
}

/// What became of a decision that was to join a batch.
enum Joined {
    /// It is part of the batch.
    Yes,
    /// It has to wait for a later one, and so has all that is less urgent.
    Later,
    /// There is nothing to write for it now.
    Nothing,
}

/// A batch while it is put together.
struct Builder<'a> {
    /// The leader's pages of small records.
    records: &'a mut RecordPages,
    /// What the store holds.
    replica: &'a Replica,
    /// The leader, which is told at once of ends of jobs that need no write.
    leader: &'a mut Leader,
    /// What the transaction may hold.
    limits: TxnLimits,
    /// What has joined so far.
    batch: Batch,
}

/// Takes the next batch out of the decisions that wait.
pub fn next_batch(
    waiting: &mut VecDeque<Action>,
    records: &mut RecordPages,
    replica: &Replica,
    leader: &mut Leader,
    limits: TxnLimits,
) -> Batch {
    let mut actions: Vec<Action> = waiting.drain(..).collect();
    actions.sort_by_key(Urgency::of);
    let group = actions.first().map_or(Group::Records, Group::of);
    let mut builder = Builder {
        records,
        replica,
        leader,
        limits,
        batch: Batch::default(),
    };
    waiting.extend(builder.join_all(actions, group));
    builder.finish(group)
}

impl Builder<'_> {
    /// How many more writes the transaction may hold.
    fn remaining_writes(&self) -> usize {
        let batch = &self.batch;
        let used = batch.writes.len() + batch.roster_pages.len() + batch.progress_pages.len();
        self.limits.max_writes.saturating_sub(used)
    }

    /// Joins the decisions of a group, in their order, until one has to wait; gives back those that have
    /// to wait.
    fn join_all(&mut self, actions: Vec<Action>, group: Group) -> Vec<Action> {
        let mut waiting = Vec::new();
        let mut is_full = false;
        for action in actions {
            let has_token = group == Group::Token && !self.batch.actions.is_empty();
            if is_full || has_token || Group::of(&action) != group {
                waiting.push(action);
                continue;
            }
            match self.join(&action) {
                Joined::Yes => self.batch.actions.push(action),
                Joined::Nothing => {}
                Joined::Later => {
                    is_full = true;
                    waiting.push(action);
                }
            }
        }
        waiting
    }

    /// Adds the writes of a decision.
    fn join(&mut self, action: &Action) -> Joined {
        match action {
            Action::IssueToken => Joined::Yes,
            Action::Bind {
                job,
                attempt,
                places,
            } => self.join_binding(job, *attempt, places),
            Action::FinishJob { job } => self.join_finish(job),
            Action::UpdateRoster(name, None) => {
                self.records.drop_machine(name);
                Joined::Nothing
            }
            _ if self.remaining_writes() == 0 => Joined::Later,
            Action::UpdateRoster(name, Some(record)) => self.join_machine(name, record),
            Action::RecordProgress {
                job,
                first_task,
                bits,
            } => self.join_progress(job, *first_task, bits),
            Action::RecordStartedArrays(record) => self.join_started_arrays(record),
            Action::Send(..) | Action::Provision(_) | Action::Deprovision(_) => Joined::Nothing,
        }
    }

    /// A machine's entry on the roster.
    fn join_machine(&mut self, name: &str, record: &RosterRecord) -> Joined {
        let page = self.records.put_machine(name, record);
        self.join_roster(page)
    }

    /// A page of the roster, with the pages that it is split into.
    fn join_roster(&mut self, page: u32) -> Joined {
        let unit = self.records.roster_unit(page);
        let (pages, joined) = self.pages_to_add(&self.batch.roster_pages, unit);
        self.batch.roster_pages.extend(pages);
        joined
    }

    /// What is done of a chunk of a job's tasks.
    fn join_progress(&mut self, job: &str, first_task: u32, bits: &str) -> Joined {
        let page = self.records.put_progress(job, first_task, bits);
        let unit = self.records.progress_unit(page);
        let (pages, joined) = self.pages_to_add(&self.batch.progress_pages, unit);
        self.batch.progress_pages.extend(pages);
        joined
    }

    /// Which pages of a unit join the batch: all or none. Only of a unit that fits no transaction, new
    /// pages go first, as copies of entries that the first page still holds.
    fn pages_to_add(&self, present: &[u32], unit: Vec<u32>) -> (Vec<u32>, Joined) {
        let missing: Vec<u32> = unit
            .iter()
            .filter(|page| !present.contains(page))
            .copied()
            .collect();
        if missing.len() <= self.remaining_writes() {
            return (missing, Joined::Yes);
        }
        if unit.len() <= self.limits.max_writes {
            return (Vec::new(), Joined::Later);
        }
        let copies = missing.into_iter().filter(|page| *page != unit[0]);
        (
            copies.take(self.remaining_writes()).collect(),
            Joined::Later,
        )
    }

    /// The arrays that have started.
    fn join_started_arrays(&mut self, record: &StartedArraysRecord) -> Joined {
        self.put(keys::STARTED_ARRAYS.into(), to_value(record));
        Joined::Yes
    }

    /// A gang's binding. Long ones take several records, each below the value limit, and one that no
    /// transaction holds is written in parts, by several transactions.
    fn join_binding(&mut self, job: &str, attempt: u64, places: &[(String, u32, u32)]) -> Joined {
        let each = ((self.limits.value_kb * KIB / PLACE_BYTES) as usize).max(1);
        let written = self.records.bound_places(attempt) / each;
        let records = places.chunks(each).enumerate().skip(written);
        let left = records.len();
        let fits = left <= self.remaining_writes();
        if !fits && (left <= self.limits.max_writes || !self.batch.writes.is_empty()) {
            return Joined::Later;
        }
        for (chunk, places) in records.take(self.remaining_writes()) {
            let record = BindingRecord {
                attempt,
                places: places.to_vec(),
            };
            self.put(keys::binding(job, chunk as u32), to_value(&record));
        }
        if fits {
            return Joined::Yes;
        }
        let places = (written + self.batch.writes.len()) * each;
        self.batch.partial_binding = Some(PartialBinding { attempt, places });
        Joined::Later
    }

    /// The end of a job: what a later leader would need to run it is not needed any more.
    fn join_finish(&mut self, job: &str) -> Joined {
        let replica = self.replica;
        let entry = replica.jobs.get(job);
        let Some((entry, spec)) = entry.and_then(|entry| Some((entry, entry.job.as_ref()?))) else {
            self.leader.finish_result(job, false);
            return Joined::Nothing;
        };
        let chunks = self.binding_chunks(job);
        if 1 + chunks.len() > self.remaining_writes() && !self.batch.writes.is_empty() {
            return Joined::Later;
        }
        self.put_terminal(job, entry, spec);
        let drops = chunks.into_iter().map(|chunk| Write::Delete {
            key: keys::binding(job, chunk),
        });
        let most = self.limits.max_writes.saturating_sub(1);
        self.batch.writes.extend(drops.take(most));
        Joined::Yes
    }

    /// The records that the store holds of a job's binding.
    fn binding_chunks(&self, job: &str) -> Vec<u32> {
        let binding = self.replica.bindings.get(job);
        binding
            .map(|records| records.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Puts a job's terminal record, on the condition that its record has not changed.
    fn put_terminal(&mut self, job: &str, entry: &JobEntry, spec: &Job) {
        let key = keys::job(job);
        self.batch.conditions.push(Condition {
            key: key.clone(),
            version: entry.version,
        });
        let record = JobRecord::terminal(Recorded::Done, entry.created_ms, spec);
        self.put(key, to_value(&record));
    }

    fn put(&mut self, key: String, value: Value) {
        self.batch.writes.push(put(key, value));
    }

    /// Adds the pages' writes, old pages as far as there is capacity, and the conditions.
    fn finish(mut self, group: Group) -> Batch {
        if group == Group::Records {
            self.join_dirty_roster();
        }
        self.add_page_writes();
        let writes = self.batch.writes.iter();
        let conditions: Vec<Condition> = writes.filter_map(|write| self.condition(write)).collect();
        self.batch.conditions.extend(conditions);
        self.batch
    }

    /// Fills what remains of the transaction with pages of the roster that the store lacks.
    fn join_dirty_roster(&mut self) {
        while self.remaining_writes() > 0 {
            let Some(page) = self.records.next_roster_page(&self.batch.roster_pages) else {
                return;
            };
            if matches!(self.join_roster(page), Joined::Later) {
                return;
            }
        }
    }

    fn add_page_writes(&mut self) {
        let roster = self.batch.roster_pages.iter();
        let roster = roster.map(|page| self.records.roster_write(*page));
        let progress = self.batch.progress_pages.iter();
        let progress = progress.map(|page| self.records.progress_write(*page));
        self.batch.writes.extend(roster.chain(progress));
    }

    /// A write that comes late, or once more, must not undo a newer one of this same leader. (The
    /// records of jobs have their own conditions; what is dropped with a job is written no more.)
    fn condition(&self, write: &Write) -> Option<Condition> {
        let key = match write {
            Write::Put { key, .. } if KeyKind::of(key) != KeyKind::Job => key,
            Write::Delete { key } if KeyKind::of(key) != KeyKind::Binding => key,
            _ => return None,
        };
        Some(self.replica.versions.condition(key))
    }
}
