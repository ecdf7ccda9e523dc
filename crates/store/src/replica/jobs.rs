//! Jobs by id, with the progress of open jobs.

use super::bitmap::{decode_hex_bitmap, Bitmap};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::store::{JobRecord, Recorded};
use wire::users::{Job, MAX_TASKS};

/// Total CPUs and GPUs of all tasks of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobResources {
    /// CPU cores.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
}

impl JobResources {
    fn of(job: &Job) -> JobResources {
        let tasks = f64::from(job.tasks);
        JobResources {
            cpus: job.cpus * tasks,
            gpus: job.gpus * tasks,
        }
    }
}

/// One job. A terminal job (done or cancelled) keeps only the fields that are needed to respond to
/// a status query.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// State of the job. It is also `Cancelled` if an ancestor (a job on which it depends, directly
    /// or not) is cancelled while the job's own record is still open.
    pub state: Recorded,
    /// Version of the record. While the job is open, this is the revision of its creation.
    pub version: u64,
    /// Wall-clock time of acceptance, in milliseconds since the Unix epoch. For display only.
    pub created_ms: u64,
    /// Number of tasks.
    pub tasks: u32,
    /// Owning team.
    pub team: String,
    /// Total resources of all tasks.
    pub resources: JobResources,
    /// When this controller learned that the job's record is terminal.
    pub terminal_since: Option<Instant>,
    /// Specification, while the job is open.
    pub job: Option<Rc<Job>>,
    /// Tasks that are done according to the store, while the job is open.
    pub progress: Bitmap,
}

impl JobEntry {
    fn new(record: JobRecord, version: u64, progress: Bitmap) -> JobEntry {
        let JobRecord {
            state,
            created_ms,
            job,
        } = record;
        let is_open = state == Recorded::Open;
        JobEntry {
            state,
            version,
            created_ms,
            tasks: job.tasks,
            team: job.team.clone(),
            resources: JobResources::of(&job),
            terminal_since: (!is_open).then(Instant::now),
            job: is_open.then(|| Rc::new(job)),
            progress,
        }
    }

    /// Returns whether the job is neither done nor cancelled.
    pub fn is_open(&self) -> bool {
        self.state == Recorded::Open
    }

    /// Returns the version of the record that cancels the job. `None` if the job is not cancelled, or
    /// only because an ancestor is: such a job was blocked by its dependencies, and no task of it was
    /// or will be started.
    pub fn cancelled_at_version(&self) -> Option<u64> {
        let is_recorded = self.terminal_since.is_some();
        (self.state == Recorded::Cancelled && is_recorded).then_some(self.version)
    }

    /// Returns the number of tasks that are done.
    pub fn done_tasks(&self) -> u32 {
        match self.state {
            Recorded::Done => self.tasks,
            _ => self.progress.count(),
        }
    }

    fn close(&mut self, state: Recorded) {
        self.state = state;
        self.job = None;
        self.progress = Bitmap::default();
    }

    /// Merges another entry of the same job. A terminal state is kept, even one that is not in the
    /// job's own record but follows from a cancelled ancestor.
    fn merge_newer(&mut self, other: JobEntry) {
        if other.version > self.version || !other.is_open() && self.is_open() {
            *self = other;
        } else if !other.is_open() {
            self.terminal_since = other.terminal_since;
        } else if self.is_open() {
            self.progress.merge(0, other.progress.bytes());
        }
    }
}

/// A cancelled job whose tasks may still occupy machines.
#[derive(Clone, Debug, PartialEq)]
pub struct CancelledJob {
    /// Id of the job.
    pub id: String,
    /// Owning team.
    pub team: String,
    /// Total resources of all tasks.
    pub resources: JobResources,
}

/// All jobs by id.
///
/// Invariant: the version of a job only grows, a terminal job never becomes open again, and no job
/// is removed.
#[derive(Default)]
pub struct Jobs {
    entries: BTreeMap<String, JobEntry>,
    /// Progress that was loaded before the record of its job, which can happen because a load reads
    /// all keys in the order of their names.
    pending_progress: BTreeMap<String, Bitmap>,
}

impl Jobs {
    /// Returns a job's entry.
    pub fn get(&self, id: &str) -> Option<&JobEntry> {
        self.entries.get(id)
    }

    /// Returns whether a job has an entry.
    pub fn contains_key(&self, id: &str) -> bool {
        self.entries.contains_key(id)
    }

    /// Returns the number of jobs, including terminal ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the ids, in order.
    pub fn keys(&self) -> impl Iterator<Item = &String> {
        self.entries.keys()
    }

    /// Returns the entries, in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &JobEntry> {
        self.entries.values()
    }

    /// Returns the ids with their entries, in the order of the ids.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &JobEntry)> {
        self.entries.iter()
    }

    /// Returns the cancelled jobs whose cancellation this controller learned of within the last
    /// `window`.
    pub(super) fn recently_cancelled(&self, window: Duration) -> Vec<CancelledJob> {
        let is_recent = |entry: &JobEntry| {
            let since = entry.terminal_since;
            entry.state == Recorded::Cancelled
                && since.is_some_and(|since| since.elapsed() < window)
        };
        let recent = self.entries.iter().filter(|(_, entry)| is_recent(entry));
        recent
            .map(|(id, entry)| CancelledJob {
                id: id.clone(),
                team: entry.team.clone(),
                resources: entry.resources,
            })
            .collect()
    }

    /// Applies a job's record, unless the job's entry is at least as new, or is terminal while the
    /// record is open.
    pub(super) fn put(&mut self, id: &str, record: JobRecord, version: u64) {
        let is_open = record.state == Recorded::Open;
        let is_superseded =
            |known: &JobEntry| known.version >= version || is_open && !known.is_open();
        if self.entries.get(id).is_some_and(is_superseded) {
            return;
        }
        let progress = if is_open {
            self.pending_progress.remove(id).unwrap_or_default()
        } else {
            Bitmap::default()
        };
        let entry = JobEntry::new(record, version, progress);
        self.entries.insert(id.to_string(), entry);
    }

    /// Adds a section of a job's progress, given as a bitmap in hexadecimal.
    pub(super) fn add_progress(&mut self, id: &str, first_task: u32, text: &str) {
        // No job has that many tasks: the record is damaged, or another service has written it.
        if first_task >= MAX_TASKS || text.len() as u32 > MAX_TASKS {
            return;
        }
        match self.entries.get_mut(id) {
            Some(entry) if entry.is_open() => {
                entry.progress.merge(first_task, &decode_hex_bitmap(text))
            }
            Some(_) => {}
            None => {
                let pending = self.pending_progress.entry(id.to_string()).or_default();
                pending.merge(first_task, &decode_hex_bitmap(text));
            }
        }
    }

    /// Marks a job as done after a write of this controller has recorded that at `version`.
    pub(super) fn mark_done(&mut self, id: &str, version: u64) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.version < version {
            entry.version = version;
            entry.close(Recorded::Done);
            entry.terminal_since = Some(Instant::now());
        }
    }

    /// Marks an open job as cancelled because one of its ancestors is cancelled.
    pub(super) fn cancel_with_ancestor(&mut self, id: &str) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|entry| entry.is_open()) {
            entry.close(Recorded::Cancelled);
        }
    }

    /// Merges the entries of another replica, job by job.
    pub(super) fn merge_newer(&mut self, other: Jobs) {
        for (id, entry) in other.entries {
            match self.entries.get_mut(&id) {
                Some(known) => known.merge_newer(entry),
                None => {
                    self.entries.insert(id, entry);
                }
            }
        }
    }
}
