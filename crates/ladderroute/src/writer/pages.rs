//! The leader's durable records that share keys: the roster of machines and the progress of jobs,
//! many entries a page. A page is written whole; what is taken out of it leaves the store when
//! the page is written next.

use super::writes::put;
use sched::leader::chunk_bits;
use sched::ranges::RangeSet;
use std::collections::{BTreeMap, BTreeSet};
use store::keys;
use store::pages::{Pages, Removal};
use store::replica::Replica;
use wire::store::{to_value, ProgressPage, Recorded, RosterPage, RosterRecord, Write};
use wire::users::MAX_TASKS;

/// Part of a value that the entries of a page may fill, by their own sizes.
const PAGE_FILL_FRACTION: f64 = 0.9;
/// What an entry of a page takes beside its texts, at most.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// Bits of a bitmap for each of its hexadecimal digits.
const BITS_PER_HEX_DIGIT: usize = 4;
/// Bytes of a KiB.
const KIB: f64 = 1024.0;

/// A chunk of a job's tasks.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Chunk {
    /// The job.
    job: String,
    /// The first task of the chunk.
    first_task: u32,
}

impl Chunk {
    fn new(job: &str, first_task: u32) -> Chunk {
        let job = job.into();
        Chunk { job, first_task }
    }
}

/// Pages of small records, as this leader has them.
pub struct RecordPages {
    /// Machines, by name.
    roster: Pages<String, RosterRecord>,
    /// Which tasks are done, as bitmaps in hexadecimal digits.
    progress: Pages<Chunk, String>,
    /// How many places of bindings that take more than one transaction are in the store already, by
    /// attempt.
    bound_places: BTreeMap<u64, usize>,
}

/// Most bytes of a page's entries.
fn max_page_bytes(value_kb: f64) -> usize {
    (value_kb * KIB * PAGE_FILL_FRACTION) as usize
}

fn roster_entry_bytes(name: &str, record: &RosterRecord) -> usize {
    name.len() + record.kind.len() + record.zone.len() + ENTRY_OVERHEAD_BYTES
}

/// Whether a job is not known to be over.
fn may_be_open(replica: &Replica, id: &str) -> bool {
    let entry = replica.jobs.get(id);
    entry.is_none_or(|entry| entry.state == Recorded::Open)
}

/// Whether a bitmap is laid out in chunks of this many bits.
fn matches_layout(first_task: u32, bits: &str, chunk_bits: u32) -> bool {
    first_task.is_multiple_of(chunk_bits) && bits.len() * BITS_PER_HEX_DIGIT <= chunk_bits as usize
}

fn progress_entry_bytes(job: &str, bits: &str) -> usize {
    job.len() + bits.len() + ENTRY_OVERHEAD_BYTES
}

impl RecordPages {
    /// The pages as the store holds them, less the progress of jobs that are over.
    pub fn load(replica: &Replica, value_kb: f64) -> RecordPages {
        let limit = max_page_bytes(value_kb);
        let mut records = RecordPages {
            roster: Pages::new(limit),
            progress: Pages::new(limit),
            bound_places: BTreeMap::new(),
        };
        records.load_roster(replica);
        records.load_progress(replica, chunk_bits(value_kb));
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

    /// Takes the progress of open jobs. What another controller laid out with other limits is taken out of
    /// its page and put anew, in chunks of this one's size.
    fn load_progress(&mut self, replica: &Replica, chunk_bits: u32) {
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
                } else if !matches_layout(first_task, bits, chunk_bits) {
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
            self.repack_progress(&job, &done, chunk_bits);
        }
    }

    /// Puts progress that another controller laid out in chunks of this one's size.
    fn repack_progress(&mut self, job: &str, done: &RangeSet, chunk_bits: u32) {
        let chunks: BTreeSet<u32> = done.iter().map(|task| task / chunk_bits).collect();
        for chunk in chunks {
            let first_task = chunk * chunk_bits;
            let mut all = done.clone();
            if let Some(bits) = self.progress.get(&Chunk::new(job, first_task)) {
                all.insert_bitmap(
                    first_task,
                    &store::replica::decode_hex_bitmap(bits),
                    MAX_TASKS,
                );
            }
            let bits = all.to_hex_bitmap(first_task, first_task + chunk_bits);
            self.put_progress(job, first_task, &bits);
        }
    }

    /// A job is over: its progress leaves its page when that is written next.
    pub fn on_job_terminal(&mut self, id: &str) {
        let chunks = self.progress.keys_from(&Chunk::new(id, 0));
        let chunks = chunks.take_while(|chunk| chunk.job == id);
        let chunks: Vec<Chunk> = chunks.cloned().collect();
        for chunk in chunks {
            self.progress.remove(&chunk, Removal::Deferred);
        }
    }

    /// Puts a machine on the roster; says on which page.
    pub fn put_machine(&mut self, name: &str, record: &RosterRecord) -> u32 {
        self.roster.put(
            name.into(),
            roster_entry_bytes(name, record),
            record.clone(),
        )
    }

    /// Takes a machine off the roster. The page stays marked until it is written.
    pub fn remove_machine(&mut self, name: &str) {
        self.roster.remove(&name.to_string(), Removal::Urgent);
    }

    /// Puts what is done of a chunk of a job's tasks; says on which page.
    pub fn put_progress(&mut self, job: &str, first_task: u32, bits: &str) -> u32 {
        let size = progress_entry_bytes(job, bits);
        let chunk = Chunk::new(job, first_task);
        self.progress.put(chunk, size, bits.into())
    }

    /// All pages of the roster that have to be written with this one, in their order.
    pub fn roster_write_unit(&mut self, page: u32) -> Vec<u32> {
        let mut pages = self.roster.write_unit(page);
        pages.retain(|page| self.roster.is_dirty(*page));
        pages
    }

    /// All pages of progress that have to be written with this one, in their order.
    pub fn progress_write_unit(&mut self, page: u32) -> Vec<u32> {
        let mut pages = self.progress.write_unit(page);
        pages.retain(|page| self.progress.is_dirty(*page));
        pages
    }

    /// How many places of an attempt's binding are in the store.
    pub fn bound_places(&self, attempt: u64) -> usize {
        self.bound_places.get(&attempt).copied().unwrap_or(0)
    }

    /// So many places of an attempt's binding are in the store; none once it is over.
    pub fn set_bound_places(&mut self, attempt: u64, places: Option<usize>) {
        match places {
            Some(places) => self.bound_places.insert(attempt, places),
            None => self.bound_places.remove(&attempt),
        };
    }

    /// The store refuses values of the size that it was said to take: pages become smaller.
    pub fn lower_value_limit(&mut self, value_kb: f64) {
        let limit = max_page_bytes(value_kb);
        self.roster.set_limit(limit);
        self.progress.set_limit(limit);
    }

    /// A page of the roster that the store does not hold as it is here, beside these.
    pub fn next_dirty_roster_page(&self, excluded: &[u32]) -> Option<u32> {
        self.roster.next_dirty_except(excluded)
    }

    /// These pages are in the store as they were last put into a transaction.
    pub fn mark_written(&mut self, roster: &[u32], progress: &[u32]) {
        roster
            .iter()
            .for_each(|page| self.roster.mark_written(*page));
        progress
            .iter()
            .for_each(|page| self.progress.mark_written(*page));
    }

    /// A transaction's write of a page of the roster.
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

    /// A transaction's write of a page of progress.
    pub fn progress_write(&self, n: u32) -> Write {
        let Some(entries) = self.progress.page(n) else {
            return Write::Delete {
                key: keys::progress(n),
            };
        };
        // What begins at task 0 is read alike whatever a reader takes the size of a chunk to be.
        let (chunks, sections) = entries
            .map(|(chunk, bits)| (chunk.job.clone(), chunk.first_task, bits.clone()))
            .partition(|(_, first_task, _)| *first_task == 0);
        let page = ProgressPage { chunks, sections };
        put(keys::progress(n), to_value(&page))
    }

    /// Whether the store lacks something of these pages.
    pub fn has_dirty_pages(&self) -> bool {
        self.roster.next_dirty().is_some() || self.progress.next_dirty().is_some()
    }
}
