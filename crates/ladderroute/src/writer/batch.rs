//! What goes into the leader's next transaction: as much as one holds, the most urgent first.

use super::pages::RecordPages;
use sched::leader::{Action, Leader};
use std::collections::VecDeque;
use store::keys::{self, Kind};
use store::replica::Replica;
use wire::store::{
    to_value, BindingRecord, Condition, JobRecord, Recorded, RosterRecord, StartedArraysRecord,
    Write,
};

/// Least bytes of a value for each place of a binding.
const PLACE_BYTES: f64 = 64.0;

/// How soon a decision has to be durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Urgency {
    /// Nobody has authority until it is.
    Token,
    /// A gang holds resources until it is.
    Binding,
    /// Tasks wait for it.
    Admission,
    /// A user waits to hear it.
    Finish,
    /// Workers' heartbeats hold it until it is.
    Progress,
}

impl Urgency {
    /// The urgency of a decision.
    pub fn of(action: &Action) -> Urgency {
        match action {
            Action::NewToken => Urgency::Token,
            Action::Bind { .. } => Urgency::Binding,
            Action::Roster(_, Some(_)) | Action::RecordStartedArrays(_) => Urgency::Admission,
            Action::Finish { .. } => Urgency::Finish,
            _ => Urgency::Progress,
        }
    }

    /// Whether something can start only once the decision is durable.
    pub fn holds_up_starts(self) -> bool {
        self < Urgency::Finish
    }
}

/// Decisions that may share a transaction. A new token goes alone, and ends of jobs among
/// themselves, since those have conditions that may fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Group {
    Token,
    Finish,
    Records,
}

impl Group {
    fn of(action: &Action) -> Group {
        match action {
            Action::NewToken => Group::Token,
            Action::Finish { .. } => Group::Finish,
            _ => Group::Records,
        }
    }
}

/// Decisions that are written together.
#[derive(Default)]
pub struct Batch {
    /// The decisions themselves.
    pub actions: Vec<Action>,
    /// Conditions beside that of the leadership.
    pub conditions: Vec<Condition>,
    /// What is written.
    pub writes: Vec<Write>,
    /// Pages of the roster among the writes.
    pub roster: Vec<u32>,
    /// Pages of progress among the writes.
    pub progress: Vec<u32>,
    /// The part of a long binding that is among the writes.
    pub binding: Option<PartialBinding>,
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
    pub fn is_token(&self) -> bool {
        matches!(self.actions.first(), Some(Action::NewToken))
    }
}

/// The limits of one transaction.
#[derive(Clone, Copy, Debug)]
pub struct TxnLimits {
    /// Most writes.
    pub operations: usize,
    /// Most KiB of a value.
    pub value_kb: f64,
}

/// Values are made no smaller than this many KiB, whatever the store refuses.
const LEAST_VALUE_KB: f64 = 0.5;

impl TxnLimits {
    /// The limits to keep to once the store has called a transaction malformed that held so many writes,
    /// the largest value of so many bytes: first fewer writes, so that what is too large stands alone and
    /// the rest is written, then smaller values.
    pub fn lowered(self, writes: usize, largest_bytes: usize) -> TxnLimits {
        if writes > 1 {
            return TxnLimits {
                operations: writes / 2,
                ..self
            };
        }
        let half_kb = largest_bytes as f64 / 2048.0;
        TxnLimits {
            value_kb: half_kb.clamp(LEAST_VALUE_KB, self.value_kb.max(LEAST_VALUE_KB)),
            ..self
        }
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
    records: &'a mut RecordPages,
    replica: &'a Replica,
    leader: &'a mut Leader,
    limits: TxnLimits,
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
    let first = actions.first().map(Group::of);
    let batch = Batch::default();
    let mut builder = Builder {
        records,
        replica,
        leader,
        limits,
        batch,
    };
    let mut full = false;
    for action in actions {
        let alone = first == Some(Group::Token) && !builder.batch.actions.is_empty();
        if full || alone || Some(Group::of(&action)) != first {
            waiting.push_back(action);
            continue;
        }
        match builder.join(&action) {
            Joined::Yes => builder.batch.actions.push(action),
            Joined::Nothing => {}
            Joined::Later => {
                full = true;
                waiting.push_back(action);
            }
        }
    }
    builder.finish(first.unwrap_or(Group::Records))
}

impl Builder<'_> {
    /// How many more writes the transaction may hold.
    fn remaining_writes(&self) -> usize {
        let batch = &self.batch;
        let used = batch.writes.len() + batch.roster.len() + batch.progress.len();
        self.limits.operations.saturating_sub(used)
    }

    fn join(&mut self, action: &Action) -> Joined {
        match action {
            Action::NewToken => Joined::Yes,
            Action::Bind {
                job,
                attempt,
                places,
            } => self.join_binding(job, *attempt, places),
            Action::Finish { job } => self.join_finish(job),
            Action::Roster(name, None) => {
                self.records.drop_machine(name);
                Joined::Nothing
            }
            _ if self.remaining_writes() == 0 => Joined::Later,
            Action::Roster(name, Some(record)) => self.join_machine(name, record),
            Action::Progress {
                job,
                first_task,
                bits,
            } => self.join_progress(job, *first_task, bits),
            Action::RecordStartedArrays(record) => self.join_started_arrays(record),
            Action::Send(..) | Action::Provision(_) | Action::Deprovision(_) => Joined::Nothing,
        }
    }

    fn join_machine(&mut self, name: &str, record: &RosterRecord) -> Joined {
        let page = self.records.put_machine(name, record);
        self.join_roster(page)
    }

    fn join_roster(&mut self, page: u32) -> Joined {
        let unit = self.records.roster_unit(page);
        let (pages, joined) = self.pages_to_add(&self.batch.roster, unit);
        self.batch.roster.extend(pages);
        joined
    }

    fn join_progress(&mut self, job: &str, first_task: u32, bits: &str) -> Joined {
        let page = self.records.put_progress(job, first_task, bits);
        let unit = self.records.progress_unit(page);
        let (pages, joined) = self.pages_to_add(&self.batch.progress, unit);
        self.batch.progress.extend(pages);
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
        if unit.len() <= self.limits.operations {
            return (Vec::new(), Joined::Later);
        }
        let copies = missing.into_iter().filter(|page| *page != unit[0]);
        (
            copies.take(self.remaining_writes()).collect(),
            Joined::Later,
        )
    }

    fn join_started_arrays(&mut self, record: &StartedArraysRecord) -> Joined {
        self.put(keys::STARTED_ARRAYS.into(), to_value(record));
        Joined::Yes
    }

    /// Long bindings take several records, each below the value limit.
    fn join_binding(&mut self, job: &str, attempt: u64, places: &[(String, u32, u32)]) -> Joined {
        let each = ((self.limits.value_kb * 1024.0 / PLACE_BYTES) as usize).max(1);
        let written = self.records.bound_places(attempt) / each;
        let records = places.chunks(each).enumerate().skip(written);
        let left = records.len();
        let fits = left <= self.remaining_writes();
        if !fits && (left <= self.limits.operations || !self.batch.writes.is_empty()) {
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
        self.batch.binding = Some(PartialBinding { attempt, places });
        Joined::Later
    }

    /// The end of a job: what a later leader would need to run it is not needed any more.
    fn join_finish(&mut self, job: &str) -> Joined {
        let entry = self.replica.jobs.get(job);
        let Some((entry, spec)) = entry.and_then(|e| Some((e, e.job.clone()?))) else {
            self.leader.finish_result(job, false);
            return Joined::Nothing;
        };
        let bound = self.replica.bindings.get(job);
        let bound: Vec<u32> = bound
            .map(|b| b.keys().copied().collect())
            .unwrap_or_default();
        if 1 + bound.len() > self.remaining_writes() && !self.batch.writes.is_empty() {
            return Joined::Later;
        }
        let key = keys::job(job);
        let condition = Condition {
            key: key.clone(),
            version: entry.version,
        };
        self.batch.conditions.push(condition);
        let record = JobRecord::terminal(Recorded::Done, entry.created_ms, &spec);
        self.put(key, to_value(&record));
        let drops = bound.into_iter().map(|chunk| keys::binding(job, chunk));
        let drops = drops.map(|key| Write::Drop { key });
        self.batch
            .writes
            .extend(drops.take(self.limits.operations.saturating_sub(1)));
        Joined::Yes
    }

    fn put(&mut self, key: String, value: wire::store::Value) {
        self.batch.writes.push(Write::Put {
            key,
            value,
            lease: None,
        });
    }

    /// Adds the pages, old ones as far as there is capacity, and their conditions.
    fn finish(mut self, group: Group) -> Batch {
        if group == Group::Records {
            while self.remaining_writes() > 0 {
                let page = self.records.next_roster_page(&self.batch.roster);
                let Some(page) = page else { break };
                if matches!(self.join_roster(page), Joined::Later) {
                    break;
                }
            }
        }
        let roster = self
            .batch
            .roster
            .iter()
            .map(|page| self.records.roster_write(*page));
        let progress = self.batch.progress.iter();
        let progress = progress.map(|page| self.records.progress_write(*page));
        self.batch.writes.extend(roster.chain(progress));
        let conditions = self
            .batch
            .writes
            .iter()
            .filter_map(|write| self.condition(write));
        self.batch.conditions.extend(conditions.collect::<Vec<_>>());
        self.batch
    }

    /// A write that comes late, or once more, must not undo a newer one of this same leader. (The
    /// records of jobs have their own conditions; what is dropped with a job is written no more.)
    fn condition(&self, write: &Write) -> Option<Condition> {
        let key = match write {
            Write::Put { key, .. } if Kind::of(key) != Kind::Job => key,
            Write::Drop { key } if Kind::of(key) != Kind::Binding => key,
            _ => return None,
        };
        Some(self.replica.versions.condition(key))
    }
}
