//! A controller's copy of the service's keys, kept current by `/follow`.

use crate::keys;
use crate::versions::Versions;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::store::{
    from_value, BindingRecord, Changes, JobRecord, LeaderRecord, Page, ProgressPage, Recorded,
    RosterPage, RosterRecord, StartedArraysRecord, TermRecord, Value,
};
use wire::users::{Job, MOST_TASKS};

/// What is remembered of a job. Jobs that are over keep only what a poll needs.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job's state; cancelled also if a job that it needs is.
    pub state: Recorded,
    /// Version of the record; while the job is open, the revision of its creation.
    pub version: u64,
    /// Time of day at acceptance, in milliseconds, for people.
    pub created_ms: u64,
    /// How many tasks it has.
    pub tasks: u32,
    /// Its team.
    pub team: String,
    /// CPUs and GPUs of all tasks.
    pub resources: (f64, f64),
    /// When this controller learned that the job is terminal.
    pub terminal_since: Option<Instant>,
    /// The job itself, while it is open.
    pub job: Option<Rc<Job>>,
    /// Done tasks as the store knows them, as a bitmap.
    pub progress: Bitmap,
}

/// Tasks of a job by number, one bit each.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Bitmap(Vec<u8>);

impl Bitmap {
    /// Adds the bits of a part that begins at a task.
    pub fn join(&mut self, first_task: u32, part: &[u8]) {
        let from = first_task as usize / 8;
        if self.0.len() < from + part.len() {
            self.0.resize(from + part.len(), 0);
        }
        for (byte, more) in self.0[from..].iter_mut().zip(part) {
            *byte |= more;
        }
    }

    /// How many tasks are in it.
    pub fn count(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// The bits from task 0 on.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl JobEntry {
    /// Takes what another entry of the same job holds that is newer. A state that is terminal stays so, also
    /// one that does not stand in the record but follows from that of another job.
    fn take_newer(&mut self, other: JobEntry) {
        let is_terminal = |entry: &JobEntry| entry.state != Recorded::Open;
        if other.version > self.version || is_terminal(&other) && !is_terminal(self) {
            *self = other;
        } else if is_terminal(&other) {
            self.terminal_since = other.terminal_since;
        } else if !is_terminal(self) {
            self.progress.join(0, other.progress.bytes());
        }
    }

    /// How many of its tasks are done.
    pub fn done_tasks(&self) -> u32 {
        match self.state {
            Recorded::Done => self.tasks,
            _ => self.progress.count(),
        }
    }
}

/// What a change was about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Changed {
    /// A job's record.
    Job(String),
    /// The leader's key.
    Leader,
    /// Anything else.
    Other,
}

#[derive(Default)]
/// The copy of all keys.
pub struct Replica {
    /// Tasks of a chunk in pages that version 0.1 wrote, with the present settings.
    chunk_bits: u32,
    /// All changes up to this revision are in it.
    pub revision: u64,
    /// The jobs by id.
    pub jobs: BTreeMap<String, JobEntry>,
    /// Who leads, and the version of that key.
    pub leader: Option<(LeaderRecord, u64)>,
    /// The highest fencing token, and the version of that key.
    pub term: (u64, u64),
    /// The rostered machines by name.
    pub roster: BTreeMap<String, RosterRecord>,
    /// The pages in which the roster and the jobs' progress are kept.
    pub roster_pages: BTreeMap<u32, RosterPage>,
    /// The pages in which the jobs' progress is kept.
    pub progress_pages: BTreeMap<u32, ProgressPage>,
    /// Machines of each gang's newest binding, by record.
    pub bindings: BTreeMap<String, BTreeMap<u32, BindingRecord>>,
    /// Which arrays may have begun.
    pub started_arrays: StartedArraysRecord,
    /// Versions of what the leader writes, jobs and leadership apart.
    pub versions: Versions,
    /// Progress that came before its job's record while loading.
    early: BTreeMap<String, Bitmap>,
    /// How many pages hold each machine: it may stand on two while a page is split.
    roster_copies: BTreeMap<String, u32>,
}

/// The bytes of a bitmap in hexadecimal.
pub fn bits(text: &str) -> Vec<u8> {
    text.as_bytes()
        .chunks(2)
        .filter_map(|c| {
            std::str::from_utf8(c)
                .ok()
                .and_then(|t| u8::from_str_radix(t, 16).ok())
        })
        .collect()
}

fn page_number(key: &str, prefix: &str) -> Option<u32> {
    key.strip_prefix(prefix)?.parse().ok()
}

impl Replica {
    /// An empty replica that reads chunks of so many tasks in pages of version 0.1.
    pub fn new(chunk_bits: u32) -> Replica {
        Replica {
            chunk_bits,
            ..Replica::default()
        }
    }

    /// Each bitmap of a page of progress: job, first task, bitmap in hexadecimal.
    pub fn sections<'a>(
        &self,
        page: &'a ProgressPage,
    ) -> impl Iterator<Item = (&'a String, u32, &'a String)> {
        let chunk_bits = self.chunk_bits;
        let chunks = page.chunks.iter();
        let chunks = chunks.map(move |(id, n, text)| (id, n.saturating_mul(chunk_bits), text));
        let sections = page.sections.iter();
        chunks.chain(sections.map(|(id, first_task, text)| (id, *first_task, text)))
    }

    /// Takes a page of the first load; `revision` becomes that of the first page.
    pub fn load(&mut self, page: &Page, first: bool) {
        if first {
            *self = Replica {
                revision: page.revision,
                ..Replica::new(self.chunk_bits)
            };
        }
        for item in &page.items {
            self.put(&item.key, &item.value, item.version);
        }
    }

    /// Takes what another replica holds that is newer than what this one has just read.
    pub(crate) fn take_newer(&mut self, other: Replica) {
        for (id, entry) in other.jobs {
            match self.jobs.get_mut(&id) {
                Some(known) => known.take_newer(entry),
                None => {
                    self.jobs.insert(id, entry);
                }
            }
        }
        let known = self.leader.as_ref().map(|(_, version)| *version);
        let known = known.unwrap_or(self.revision);
        self.leader = other
            .leader
            .filter(|(_, version)| *version > known)
            .or(self.leader.take());
        if other.term.1 > self.term.1 {
            self.term = other.term;
        }
        self.versions.take_newer(other.versions, self.revision);
    }

    /// Applies changes that are newer than what is known; says what they were about.
    pub fn apply(&mut self, changes: &Changes) -> Vec<Changed> {
        let mut out = Vec::new();
        for c in &changes.changes {
            // Two requests can bring the same change; the older answer must not undo a newer one.
            if c.version <= self.revision {
                continue;
            }
            match (&c.put, &c.value, &c.dropped) {
                (Some(key), Some(value), _) => out.push(self.put(key, value, c.version)),
                (_, _, Some(key)) => {
                    self.versions.seen_dropped(key, c.version);
                    out.push(self.remove(key));
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(changes.revision);
        out
    }

    fn put(&mut self, key: &str, value: &Value, version: u64) -> Changed {
        if let Some(id) = key.strip_prefix(keys::JOBS) {
            if let Some(r) = from_value::<JobRecord>(value) {
                self.put_job(id, r, version);
            }
            return Changed::Job(id.to_string());
        }
        if key != keys::LEADER && key != keys::TERM {
            self.versions.changed(key, version, true);
        }
        if let Some(n) = page_number(key, keys::PROGRESS) {
            if let Some(page) = from_value::<ProgressPage>(value) {
                self.put_progress(&page);
                self.progress_pages.insert(n, page);
            }
        } else if let Some(n) = page_number(key, keys::ROSTER) {
            if let Some(page) = from_value::<RosterPage>(value) {
                self.drop_roster(n);
                self.put_roster(n, page);
            }
        } else if let Some((id, chunk)) = key
            .strip_prefix(keys::BINDING)
            .and_then(|k| k.rsplit_once('/'))
        {
            if let (Ok(chunk), Some(b)) = (chunk.parse(), from_value(value)) {
                self.bindings
                    .entry(id.to_string())
                    .or_default()
                    .insert(chunk, b);
            }
        } else if key == keys::STARTED_ARRAYS {
            if let Some(b) = from_value::<StartedArraysRecord>(value) {
                self.started_arrays = b;
            }
        } else if key == keys::LEADER {
            self.leader = from_value(value).map(|l| (l, version));
            return Changed::Leader;
        } else if key == keys::TERM {
            if let Some(t) = from_value::<TermRecord>(value) {
                self.term = (t.term, version);
            }
        }
        Changed::Other
    }

    fn put_progress(&mut self, page: &ProgressPage) {
        let sections: Vec<_> = self.sections(page).collect();
        for (id, first_task, text) in sections {
            // No job has more tasks: what says so is not ours.
            if first_task >= MOST_TASKS || text.len() as u32 > MOST_TASKS {
                continue;
            }
            match self.jobs.get_mut(id) {
                Some(e) if e.state == Recorded::Open => e.progress.join(first_task, &bits(text)),
                Some(_) => {}
                None => {
                    let early = self.early.entry(id.clone()).or_default();
                    early.join(first_task, &bits(text));
                }
            };
        }
    }

    fn put_roster(&mut self, n: u32, page: RosterPage) {
        for (record, machines) in &page.groups {
            for machine in machines {
                *self.roster_copies.entry(machine.clone()).or_default() += 1;
                self.roster.insert(machine.clone(), record.clone());
            }
        }
        self.roster_pages.insert(n, page);
    }

    fn drop_roster(&mut self, page: u32) {
        for m in self
            .roster_pages
            .remove(&page)
            .into_iter()
            .flat_map(|p| p.groups)
            .flat_map(|(_, machines)| machines)
        {
            let copies = self.roster_copies.entry(m.clone()).or_default();
            *copies = copies.saturating_sub(1);
            if *copies == 0 {
                self.roster_copies.remove(&m);
                self.roster.remove(&m);
            }
        }
    }

    /// Ids, teams and resources of the jobs of which it became known within `span` that they are cancelled.
    pub fn recently_cancelled(&self, span: Duration) -> Vec<(String, String, (f64, f64))> {
        let recently = |e: &JobEntry| {
            e.state == Recorded::Cancelled && e.terminal_since.is_some_and(|t| t.elapsed() < span)
        };
        self.jobs
            .iter()
            .filter(|(_, e)| recently(e))
            .map(|(id, e)| (id.clone(), e.team.clone(), e.resources))
            .collect()
    }

    /// Machines on which a gang may have been started: those of the records with the newest
    /// attempt; none if it was never bound.
    pub fn bound_machines(&self, id: &str) -> Option<BTreeSet<String>> {
        let records = self.bindings.get(id)?;
        let newest = records.values().map(|b| b.attempt).max()?;
        Some(
            records
                .values()
                .filter(|b| b.attempt == newest)
                .flat_map(|b| b.places.iter().map(|(m, _, _)| m.clone()))
                .collect(),
        )
    }

    /// Takes a job's record, also one that was read directly and is not yet in the replica.
    pub fn put_job(&mut self, id: &str, r: JobRecord, version: u64) {
        let open = r.state == Recorded::Open;
        let is_newer =
            |known: &JobEntry| known.version < version && !(open && known.state != Recorded::Open);
        if !self.jobs.get(id).is_none_or(is_newer) {
            return;
        }
        let progress = if open {
            self.early.remove(id).unwrap_or_default()
        } else {
            Bitmap::default()
        };
        let entry = JobEntry {
            state: r.state,
            version,
            created_ms: r.created_ms,
            tasks: r.job.tasks,
            team: r.job.team.clone(),
            resources: (
                r.job.cpus * f64::from(r.job.tasks),
                r.job.gpus * f64::from(r.job.tasks),
            ),
            terminal_since: (!open).then(Instant::now),
            job: open.then(|| Rc::new(r.job)),
            progress,
        };
        self.jobs.insert(id.to_string(), entry);
    }

    /// This controller's own write of a job's end is in the store, at this version.
    pub fn job_done(&mut self, id: &str, version: u64) {
        let Some(entry) = self.jobs.get_mut(id) else {
            return;
        };
        if entry.version < version {
            entry.version = version;
            Self::close(entry, Recorded::Done);
            entry.terminal_since = Some(Instant::now());
        }
    }

    /// An open job is cancelled because one that it needs is. Its record stays open in the store; none
    /// of its tasks was ever started.
    pub fn cancelled_with_ancestor(&mut self, id: &str) {
        let open = |entry: &&mut JobEntry| entry.state == Recorded::Open;
        if let Some(entry) = self.jobs.get_mut(id).filter(open) {
            Self::close(entry, Recorded::Cancelled);
        }
    }

    fn close(entry: &mut JobEntry, state: Recorded) {
        entry.state = state;
        entry.job = None;
        entry.progress = Bitmap::default();
    }

    fn remove(&mut self, key: &str) -> Changed {
        if let Some(n) = page_number(key, keys::ROSTER) {
            self.drop_roster(n);
        } else if let Some(n) = page_number(key, keys::PROGRESS) {
            self.progress_pages.remove(&n);
        } else if key == keys::LEADER {
            self.leader = None;
            return Changed::Leader;
        } else if let Some((id, chunk)) = key
            .strip_prefix(keys::BINDING)
            .and_then(|k| k.rsplit_once('/'))
        {
            if let (Some(b), Ok(chunk)) = (self.bindings.get_mut(id), chunk.parse::<u32>()) {
                b.remove(&chunk);
                if b.is_empty() {
                    self.bindings.remove(id);
                }
            }
        }
        Changed::Other
    }
}
