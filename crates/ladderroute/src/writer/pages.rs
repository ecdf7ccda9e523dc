//! Durable records of the leader that share keys: the roster of machines and the progress of jobs,
//! with many entries on a page. A page is always written as a whole, so an entry that was removed
//! from it stays in the store until the page is next written.

use super::writes::put;
use sched::leader::tasks_per_chunk;
use sched::ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};
use store::keys;
use store::pages::{Pages, Removal};
use store::replica::Replica;
use wire::store::{to_value, ProgressPage, Recorded, RosterPage, RosterRecord, Write};
use wire::users::MAX_TASKS;

/// Fraction of the store's maximum value size that the estimated sizes of a page's entries may add
/// up to.
const PAGE_FILL_FRACTION: f64 = 0.9;
/// Maximum bytes of a page entry in addition to its strings.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Bits in a hexadecimal digit of a bitmap.
const BITS_PER_HEX_DIGIT: usize = 4;
/// Bytes in a KiB.
const KIB: f64 = 1024.0;

/// Key of the progress of one chunk of a job's tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Chunk {
    /// Id of the job.
    job: String,
    /// First task of the chunk.
    first_task: u32,
}

impl Chunk {
    fn new(job: &str, first_task: u32) -> Chunk {
        let job = job.into();
        Chunk { job, first_task }
    }
}

/// Pages of small records, as this leader knows them.
pub struct RecordPages {
    /// Machines by name.
    roster: Pages<String, RosterRecord>,
    /// Completed tasks, as hexadecimal bitmaps.
    progress: Pages<Chunk, String>,
    /// Number of places already in the store, by attempt, of bindings that take more than one
    /// transaction.
    bound_places: BTreeMap<u64, usize>,
}

/// Returns the maximum total size of a page's entries in bytes.
fn max_page_bytes(value_kb: f64) -> usize {
    (value_kb * KIB * PAGE_FILL_FRACTION) as usize
}

fn roster_entry_bytes(name: &str, record: &RosterRecord) -> usize {
    name.len() + record.kind.len() + record.zone.len() + ENTRY_OVERHEAD_BYTES
}

/// Returns whether a job is open or unknown.
fn may_be_open(replica: &Replica, id: &str) -> bool {
    let entry = replica.jobs.get(id);
    entry.is_none_or(|entry| entry.state == Recorded::Open)
}

/// Returns whether a bitmap starts at a multiple of `tasks_per_chunk` and has at most `tasks_per_chunk` bits.
fn matches_layout(first_task: u32, bits: &str, tasks_per_chunk: u32) -> bool {
    first_task.is_multiple_of(tasks_per_chunk)
        && bits.len() * BITS_PER_HEX_DIGIT <= tasks_per_chunk as usize
}

fn progress_entry_bytes(job: &str, bits: &str) -> usize {
    job.len() + bits.len() + ENTRY_OVERHEAD_BYTES
}

impl RecordPages {
    /// Returns the pages as stored, without the progress of jobs that have ended.
    pub fn load(replica: &Replica, value_kb: f64) -> RecordPages {
        let limit = max_page_bytes(value_kb);
        let mut records = RecordPages {
            roster: Pages::new(limit),
            progress: Pages::new(limit),
            bound_places: BTreeMap::new(),
        };
        records.load_roster(replica);
        records.load_progress(replica, tasks_per_chunk(value_kb));
        records
    }

    fn load_roster(&mut self, replica: &Replica) {
        for (n, page) in replica.roster.pages() {
            for (record, names) in &page.groups {
                for name in names {
                    let size = roster_entry_bytes(name, record);
                    self.roster.load(*n, name.clone(), size, record.clone());
                }
            }
        }
    }

    /// Loads the progress of open jobs. Progress that another controller stored under other limits
    /// is removed from its page and added again in chunks of this controller's size.
    fn load_progress(&mut self, replica: &Replica, tasks_per_chunk: u32) {
        let mut to_repack: BTreeMap<String, RangeSet> = BTreeMap::new();
        for (n, page) in replica.progress.pages() {
            for section in replica.progress.sections(page) {
                let (job, first_task, bits) = (section.job, section.first_task, section.bits);
                let chunk = Chunk::new(job, first_task);
                let size = progress_entry_bytes(job, bits);
                self.progress
                    .load(*n, chunk.clone(), size, bits.to_string());
                if !may_be_open(replica, job) {
                    self.progress.remove(&chunk, Removal::Deferred);
                } else if !matches_layout(first_task, bits, tasks_per_chunk) {
                    self.progress.remove(&chunk, Removal::Deferred);
                    let done = to_repack.entry(job.to_string()).or_default();
                    done.insert_bitmap(
                        first_task,
                        &store::replica::decode_hex_bitmap(bits),
                        MAX_TASKS,
                    );
                }
            }
        }
        for (job, done) in to_repack {
            self.repack_progress(&job, &done, tasks_per_chunk);
        }
    }

    /// Adds progress that was stored with another chunk size, in chunks of this controller's size.
    fn repack_progress(&mut self, job: &str, done: &RangeSet, tasks_per_chunk: u32) {
        let chunks: BTreeSet<u32> = done.iter().map(|task| task / tasks_per_chunk).collect();
        for chunk in chunks {
            let first_task = chunk * tasks_per_chunk;
            let mut all = done.clone();
            if let Some(bits) = self.progress.get(&Chunk::new(job, first_task)) {
                all.insert_bitmap(
                    first_task,
                    &store::replica::decode_hex_bitmap(bits),
                    MAX_TASKS,
                );
            }
            let bits = all.to_hex_bitmap(first_task, first_task + tasks_per_chunk);
            self.put_progress(job, first_task, &bits);
        }
    }

    /// Removes the progress of a job that has ended. The stored pages change only when they are
    /// next written for another reason.
    pub fn on_job_terminal(&mut self, id: &str) {
        let chunks = self.progress.keys_from(&Chunk::new(id, 0));
        let chunks = chunks.take_while(|chunk| chunk.job == id);
        let chunks: Vec<Chunk> = chunks.cloned().collect();
        for chunk in chunks {
            self.progress.remove(&chunk, Removal::Deferred);
        }
    }

    /// Adds a machine to the roster and returns its page.
    pub fn put_machine(&mut self, name: &str, record: &RosterRecord) -> u32 {
        self.roster.put(
            name.into(),
            roster_entry_bytes(name, record),
            record.clone(),
        )
    }

    /// Removes a machine from the roster. Its page has to be written, and stays marked as dirty until
    /// then.
    pub fn remove_machine(&mut self, name: &str) {
        self.roster.remove(&name.to_string(), Removal::Urgent);
    }

    /// Sets the progress of one chunk of a job's tasks and returns its page.
    pub fn put_progress(&mut self, job: &str, first_task: u32, bits: &str) -> u32 {
        let size = progress_entry_bytes(job, bits);
        let chunk = Chunk::new(job, first_task);
        self.progress.put(chunk, size, bits.into())
    }

    /// Returns the dirty roster pages (those that differ from their stored versions) that have to
    /// be written with this one, in order.
    pub fn roster_write_unit(&mut self, page: u32) -> Vec<u32> {
        let mut pages = self.roster.write_unit(page);
        pages.retain(|page| self.roster.is_dirty(*page));
        pages
    }

    /// Returns the dirty progress pages (those that differ from their stored versions) that have to
    /// be written with this one, in order.
    pub fn progress_write_unit(&mut self, page: u32) -> Vec<u32> {
        let mut pages = self.progress.write_unit(page);
        pages.retain(|page| self.progress.is_dirty(*page));
        pages
    }

    /// Returns how many places of a partially written binding are in the store.
    pub fn bound_places(&self, attempt: u64) -> usize {
        self.bound_places.get(&attempt).copied().unwrap_or(0)
    }

    /// Sets how many places of an attempt's binding are in the store. `None` forgets the attempt,
    /// once its binding has been written completely or has failed.
    pub fn set_bound_places(&mut self, attempt: u64, places: Option<usize>) {
        match places {
            Some(places) => self.bound_places.insert(attempt, places),
            None => self.bound_places.remove(&attempt),
        };
    }

    /// Lowers the page size after the store has refused values below its stated limit.
    pub fn lower_value_limit(&mut self, value_kb: f64) {
        let limit = max_page_bytes(value_kb);
        self.roster.set_limit(limit);
        self.progress.set_limit(limit);
    }

    /// Returns the first dirty roster page that is not among `excluded`.
    pub fn next_dirty_roster_page(&self, excluded: &[u32]) -> Option<u32> {
        self.roster.next_dirty_except(excluded)
    }

    /// Marks pages as stored, in the state in which they were when last added to a transaction.
    pub fn mark_written(&mut self, roster: &[u32], progress: &[u32]) {
        roster
            .iter()
            .for_each(|page| self.roster.mark_written(*page));
        progress
            .iter()
            .for_each(|page| self.progress.mark_written(*page));
    }

    /// Returns the write that stores a roster page, or deletes one that no longer exists.
    pub fn roster_write(&self, n: u32) -> Write {
        let Some(entries) = self.roster.page(n) else {
            return Write::Delete {
                key: keys::roster(n),
            };
        };
        let mut groups: BTreeMap<&RosterRecord, Vec<String>> = BTreeMap::new();
        for (name, record) in entries {
            groups.entry(record).or_default().push(name.clone());
        }
        let groups = groups.into_iter();
        let groups = groups.map(|(record, names)| (record.clone(), names));
        let page = RosterPage {
            groups: groups.collect(),
        };
        put(keys::roster(n), to_value(&page))
    }

    /// Returns the write that stores a progress page, or deletes one that no longer exists.
    pub fn progress_write(&self, n: u32) -> Write {
        let Some(entries) = self.progress.page(n) else {
            return Write::Delete {
                key: keys::progress(n),
            };
        };
        // `chunks` holds chunk numbers, which readers multiply by their own chunk size. Only number
        // 0 means the same task to all of them.
        let (chunks, sections) = entries
            .map(|(chunk, bits)| (chunk.job.clone(), chunk.first_task, bits.clone()))
            .partition(|(_, first_task, _)| *first_task == 0);
        let page = ProgressPage { chunks, sections };
        put(keys::progress(n), to_value(&page))
    }

    /// Returns whether any page has to be written.
    pub fn has_dirty_pages(&self) -> bool {
        self.roster.next_dirty().is_some() || self.progress.next_dirty().is_some()
    }
}
