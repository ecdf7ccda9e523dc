//! Selection of the decisions for the leader's next transaction: the most urgent first, as many as
//! fit.

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

/// Bytes reserved in a value for each place of a binding, that is, for a machine and the tasks of
/// the gang that are bound to it.
const BYTES_PER_PLACE: f64 = 64.0;
/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// Decisions that are written in one transaction.
#[derive(Default)]
pub struct Batch {
    /// Decisions that are durable once the transaction is applied.
    pub actions: Vec<Action>,
    /// Conditions of the transaction, in addition to the one on leadership.
    pub conditions: Vec<Condition>,
    /// Writes of the transaction.
    pub writes: Vec<Write>,
    /// Roster pages that are among the writes.
    pub roster_pages: Vec<u32>,
    /// Progress pages that are among the writes.
    pub progress_pages: Vec<u32>,
    /// The part of a binding that is among the writes, if the binding does not fit in one
    /// transaction.
    pub partial_binding: Option<PartialBinding>,
}

/// Part of a gang's binding to machines that takes several transactions. The gang starts when all
/// parts are written; until then, nothing of it has been started on the machines in the records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartialBinding {
    /// Attempt of the gang that is bound.
    pub attempt: u64,
    /// Number of the binding's places that are in the store after this transaction.
    pub places: usize,
}

impl Batch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.actions.is_empty() && self.writes.is_empty()
    }

    /// Returns whether the batch issues a new fencing token. That takes requests of its own, which
    /// are not among `writes`.
    pub fn issues_token(&self) -> bool {
        matches!(self.actions.first(), Some(Action::IssueToken))
    }
}

/// Result of adding a decision to a batch.
enum AddResult {
    /// The decision is part of the batch.
    Added,
    /// The decision has to wait for a later batch, and so have all less urgent ones.
    Deferred,
    /// The decision needs no write of its own now.
    NothingToWrite,
}

/// Assembles a batch.
struct BatchBuilder<'a> {
    /// The leader's small records, which share keys as pages.
    records: &'a mut RecordPages,
    /// Replica of the contents of the store.
    replica: &'a Replica,
    /// Leader, which is notified immediately when the end of a job needs no write.
    leader: &'a mut Leader,
    /// Limits of the transaction.
    limits: TxnLimits,
    /// Batch as assembled so far.
    batch: Batch,
}

/// Removes the decisions of the next batch from the pending ones and returns the batch.
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
    /// Returns how many more writes fit in the transaction.
    fn remaining_writes(&self) -> usize {
        let batch = &self.batch;
        let used = batch.writes.len() + batch.roster_pages.len() + batch.progress_pages.len();
        self.limits.max_writes.saturating_sub(used)
    }

    /// Adds the decisions of a group in order, until one has to wait, and returns those that have
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

    /// Adds the writes of one decision.
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
            Action::Send(..)
            | Action::ConfirmCancellations { .. }
            | Action::Provision(_)
            | Action::Deprovision(_) => AddResult::NothingToWrite,
        }
    }

    /// Adds the roster entry of a machine.
    fn add_machine(&mut self, name: &str, record: &RosterRecord) -> AddResult {
        let page = self.records.put_machine(name, record);
        self.add_roster_page(page)
    }

    /// Adds a roster page, with the pages into which it is split.
    fn add_roster_page(&mut self, page: u32) -> AddResult {
        let unit = self.records.roster_write_unit(page);
        let (pages, added) = self.pages_to_add(&self.batch.roster_pages, unit);
        self.batch.roster_pages.extend(pages);
        added
    }

    /// Adds the progress of one chunk of a job's tasks.
    fn add_progress(&mut self, job: &str, first_task: u32, bits: &str) -> AddResult {
        let page = self.records.put_progress(job, first_task, bits);
        let unit = self.records.progress_write_unit(page);
        let (pages, added) = self.pages_to_add(&self.batch.progress_pages, unit);
        self.batch.progress_pages.extend(pages);
        added
    }

    /// Returns which pages of a write unit (a page and those into which it is split) to add to the
    /// batch: all that the batch lacks, or none if they do not fit. An exception is a unit that is
    /// too large for any transaction: its new pages are written first, as many as fit, since they
    /// are copies of entries that the first page still holds in the store.
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

    /// Adds the record of the arrays that have started.
    fn add_started_arrays(&mut self, record: &StartedArraysRecord) -> AddResult {
        self.put(keys::STARTED_ARRAYS.into(), to_value(record));
        AddResult::Added
    }

    /// Adds the binding of a gang. A long binding is split into records that fit the store's
    /// maximum value size. A binding with more records than one transaction may write takes several
    /// transactions.
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

    /// Adds the end of a job, and the deletion of its binding: only a later leader would need the
    /// binding, if it still had to run the job.
    fn add_finish(&mut self, job: &str) -> AddResult {
        let replica = self.replica;
        let entry = replica.jobs.get(job);
        let Some((entry, spec)) = entry.and_then(|entry| Some((entry, entry.job.as_ref()?))) else {
            self.leader.on_finish_result(job, false);
            return AddResult::NothingToWrite;
        };
        let chunks = self.stored_binding_chunks(job);
        if 1 + chunks.len() > self.remaining_writes() && !self.batch.writes.is_empty() {
            return AddResult::Deferred;
        }
        self.put_terminal_record(job, entry, spec);
        let deletes = chunks.into_iter().map(|chunk| Write::Delete {
            key: keys::binding(job, chunk),
        });
        let max_deletes = self.limits.max_writes.saturating_sub(1);
        self.batch.writes.extend(deletes.take(max_deletes));
        AddResult::Added
    }

    /// Returns the numbers of a job's binding records in the store.
    fn stored_binding_chunks(&self, job: &str) -> Vec<u32> {
        let binding = self.replica.bindings.get(job);
        binding
            .map(|records| records.keys().copied().collect())
            .unwrap_or_default()
    }

    /// Adds the terminal record of a job, on the condition that its stored record is unchanged.
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

    /// Adds other dirty roster pages (those that differ from their stored versions) while there is
    /// capacity, the writes of all pages, and the version conditions. Returns the batch.
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

    /// Fills the rest of the transaction with dirty roster pages.
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

    /// Returns the condition that the written key is unchanged, so that a delayed or repeated write
    /// cannot undo a newer write of the same leader. Job records have their own conditions, and
    /// binding records deleted with their job are never written again.
    fn version_condition(&self, write: &Write) -> Option<Condition> {
        let key = match write {
            Write::Put { key, .. } if KeyKind::of(key) != KeyKind::Job => key,
            Write::Delete { key } if KeyKind::of(key) != KeyKind::Binding => key,
            _ => return None,
        };
        Some(self.replica.versions.condition(key))
    }
}
