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
const BYTES_PER_PLACE: f64 = 64.0;
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
enum AddResult {
    /// It is part of the batch.
    Added,
    /// It has to wait for a later one, and so has all that is less urgent.
    Deferred,
    /// There is nothing to write for it now.
    NothingToWrite,
}

/// A batch while it is put together.
struct BatchBuilder<'a> {
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
    pending: &mut VecDeque<Action>,
    records: &mut RecordPages,
    replica: &Replica,
    leader: &mut Leader,
    limits: TxnLimits,
) -> Batch {
    let mut actions: Vec<Action> = pending.drain(..).collect();
    actions.sort_by_key(Urgency::of);
    let group = actions.first().map_or(Group::Records, Group::of);
    let mut builder = BatchBuilder {
        records,
        replica,
        leader,
        limits,
        batch: Batch::default(),
    };
    pending.extend(builder.add_all(actions, group));
    builder.build(group)
}

impl BatchBuilder<'_> {
    /// How many more writes the transaction may hold.
    fn remaining_writes(&self) -> usize {
        let batch = &self.batch;
        let used = batch.writes.len() + batch.roster_pages.len() + batch.progress_pages.len();
        self.limits.max_writes.saturating_sub(used)
    }

    /// Joins the decisions of a group, in their order, until one has to wait; gives back those that have
    /// to wait.
    fn add_all(&mut self, actions: Vec<Action>, group: Group) -> Vec<Action> {
        let mut deferred = Vec::new();
        let mut is_full = false;
        for action in actions {
            let has_token = group == Group::Token && !self.batch.actions.is_empty();
            if is_full || has_token || Group::of(&action) != group {
                deferred.push(action);
                continue;
            }
            match self.add(&action) {
                AddResult::Added => self.batch.actions.push(action),
                AddResult::NothingToWrite => {}
                AddResult::Deferred => {
                    is_full = true;
                    deferred.push(action);
                }
            }
        }
        deferred
    }

    /// Adds the writes of a decision.
    fn add(&mut self, action: &Action) -> AddResult {
        match action {
            Action::IssueToken => AddResult::Added,
            Action::Bind {
                job,
                attempt,
                places,
            } => self.add_binding(job, *attempt, places),
            Action::FinishJob { job } => self.add_finish(job),
            Action::UpdateRoster(name, None) => {
                self.records.remove_machine(name);
                AddResult::NothingToWrite
            }
            _ if self.remaining_writes() == 0 => AddResult::Deferred,
            Action::UpdateRoster(name, Some(record)) => self.add_machine(name, record),
            Action::RecordProgress {
                job,
                first_task,
                bits,
            } => self.add_progress(job, *first_task, bits),
            Action::RecordStartedArrays(record) => self.add_started_arrays(record),
            Action::Send(..) | Action::Provision(_) | Action::Deprovision(_) => {
                AddResult::NothingToWrite
            }
        }
    }

    /// A machine's entry on the roster.
    fn add_machine(&mut self, name: &str, record: &RosterRecord) -> AddResult {
        let page = self.records.put_machine(name, record);
        self.add_roster_page(page)
    }

    /// A page of the roster, with the pages that it is split into.
    fn add_roster_page(&mut self, page: u32) -> AddResult {
        let unit = self.records.roster_write_unit(page);
        let (pages, added) = self.pages_to_add(&self.batch.roster_pages, unit);
        self.batch.roster_pages.extend(pages);
        added
    }

    /// What is done of a chunk of a job's tasks.
    fn add_progress(&mut self, job: &str, first_task: u32, bits: &str) -> AddResult {
        let page = self.records.put_progress(job, first_task, bits);
        let unit = self.records.progress_write_unit(page);
        let (pages, added) = self.pages_to_add(&self.batch.progress_pages, unit);
        self.batch.progress_pages.extend(pages);
        added
    }

    /// Which pages of a unit join the batch: all or none. Only of a unit that fits no transaction, new
    /// pages go first, as copies of entries that the first page still holds.
    fn pages_to_add(&self, already_added: &[u32], unit: Vec<u32>) -> (Vec<u32>, AddResult) {
        let missing: Vec<u32> = unit
            .iter()
            .filter(|page| !already_added.contains(page))
            .copied()
            .collect();
        if missing.len() <= self.remaining_writes() {
            return (missing, AddResult::Added);
        }
        if unit.len() <= self.limits.max_writes {
            return (Vec::new(), AddResult::Deferred);
        }
        let copies = missing.into_iter().filter(|page| *page != unit[0]);
        (
            copies.take(self.remaining_writes()).collect(),
            AddResult::Deferred,
        )
    }

    /// The arrays that have started.
    fn add_started_arrays(&mut self, record: &StartedArraysRecord) -> AddResult {
        self.put(keys::STARTED_ARRAYS.into(), to_value(record));
        AddResult::Added
    }

    /// A gang's binding. Long ones take several records, each below the value limit, and one that no
    /// transaction holds is written in parts, by several transactions.
    fn add_binding(&mut self, job: &str, attempt: u64, places: &[(String, u32, u32)]) -> AddResult {
        let places_per_record = ((self.limits.value_kb * KIB / BYTES_PER_PLACE) as usize).max(1);
        let written_records = self.records.bound_places(attempt) / places_per_record;
        let records = places
            .chunks(places_per_record)
            .enumerate()
            .skip(written_records);
        let remaining_records = records.len();
        let fits = remaining_records <= self.remaining_writes();
        if !fits && (remaining_records <= self.limits.max_writes || !self.batch.writes.is_empty()) {
            return AddResult::Deferred;
        }
        for (chunk, places) in records.take(self.remaining_writes()) {
            let record = BindingRecord {
                attempt,
                places: places.to_vec(),
            };
            self.put(keys::binding(job, chunk as u32), to_value(&record));
        }
        if fits {
            return AddResult::Added;
        }
        let places = (written_records + self.batch.writes.len()) * places_per_record;
        self.batch.partial_binding = Some(PartialBinding { attempt, places });
        AddResult::Deferred
    }

    /// The end of a job: what a later leader would need to run it is not needed any more.
    fn add_finish(&mut self, job: &str) -> AddResult {
        let replica = self.replica;
        let entry = replica.jobs.get(job);
        let Some((entry, spec)) = entry.and_then(|entry| Some((entry, entry.job.as_ref()?))) else {
            self.leader.finish_result(job, false);
            return AddResult::NothingToWrite;
        };
        let chunks = self.stored_binding_chunks(job);
        if 1 + chunks.len() > self.remaining_writes() && !self.batch.writes.is_empty() {
            return AddResult::Deferred;
        }
        self.put_terminal_record(job, entry, spec);
        let drops = chunks.into_iter().map(|chunk| Write::Delete {
            key: keys::binding(job, chunk),
        });
        let max_drops = self.limits.max_writes.saturating_sub(1);
        self.batch.writes.extend(drops.take(max_drops));
        AddResult::Added
    }

    /// The records that the store holds of a job's binding.
    fn stored_binding_chunks(&self, job: &str) -> Vec<u32> {
        let binding = self.replica.bindings.get(job);
        binding
            .map(|records| records.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Puts a job's terminal record, on the condition that its record has not changed.
    fn put_terminal_record(&mut self, job: &str, entry: &JobEntry, spec: &Job) {
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
    fn build(mut self, group: Group) -> Batch {
        if group == Group::Records {
            self.add_dirty_roster_pages();
        }
        self.add_page_writes();
        let writes = self.batch.writes.iter();
        let conditions: Vec<Condition> = writes
            .filter_map(|write| self.version_condition(write))
            .collect();
        self.batch.conditions.extend(conditions);
        self.batch
    }

    /// Fills what remains of the transaction with pages of the roster that the store lacks.
    fn add_dirty_roster_pages(&mut self) {
        while self.remaining_writes() > 0 {
            let Some(page) = self
                .records
                .next_dirty_roster_page(&self.batch.roster_pages)
            else {
                return;
            };
            if matches!(self.add_roster_page(page), AddResult::Deferred) {
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
    fn version_condition(&self, write: &Write) -> Option<Condition> {
        let key = match write {
            Write::Put { key, .. } if KeyKind::of(key) != KeyKind::Job => key,
            Write::Delete { key } if KeyKind::of(key) != KeyKind::Binding => key,
            _ => return None,
        };
        Some(self.replica.versions.condition(key))
    }
}
