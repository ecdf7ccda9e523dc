//! The leader's durable records that share keys: the roster of machines and the progress of jobs,
//! many entries a page. A page is written whole; what is taken out of it leaves the store when
//! the page is written next.

use std::collections::BTreeMap;
use store::keys;
use store::pages::Pages;
use store::replica::Replica;
use wire::store::{to_value, ProgressPage, Recorded, RosterPage, RosterRecord, Write};

/// Part of a value that the entries of a page may fill, by their own sizes.
const PAGE_FILL: f64 = 0.9;
/// What an entry of a page takes beside its texts, at most.
const ENTRY_BYTES: usize = 48;

/// Pages of small records, as this leader has them.
pub struct RecordPages {
    roster: Pages<String, RosterRecord>,
    progress: Pages<(String, u32), String>,
}

fn roster_size(name: &str, r: &RosterRecord) -> usize {
    name.len() + r.kind.len() + r.zone.len() + ENTRY_BYTES
}

fn progress_size(job: &str, bits: &str) -> usize {
    job.len() + bits.len() + ENTRY_BYTES
}

impl RecordPages {
    /// The pages as the store holds them, less the progress of jobs that are over.
    pub fn load(replica: &Replica, value_kb: f64) -> RecordPages {
        let limit = (value_kb * 1024.0 * PAGE_FILL) as usize;
        let mut records = RecordPages {
            roster: Pages::new(limit),
            progress: Pages::new(limit),
        };
        for (n, page) in &replica.roster_pages {
            for (record, names) in &page.groups {
                for name in names {
                    records.roster.load(
                        *n,
                        name.clone(),
                        roster_size(name, record),
                        record.clone(),
                    );
                }
            }
        }
        for (n, page) in &replica.progress_pages {
            for (job, chunk, bits) in &page.chunks {
                records.progress.load(
                    *n,
                    (job.clone(), *chunk),
                    progress_size(job, bits),
                    bits.clone(),
                );
            }
        }
        let over = |id: &String| {
            replica
                .jobs
                .get(id)
                .is_some_and(|e| e.state != Recorded::Open)
        };
        let old: Vec<_> = replica
            .progress_pages
            .values()
            .flat_map(|p| &p.chunks)
            .filter(|c| over(&c.0))
            .collect();
        old.into_iter()
            .for_each(|c| records.progress.remove(&(c.0.clone(), c.1), false));
        records
    }

    /// A job is over: its progress leaves its page when that is written next.
    pub fn job_over(&mut self, id: &str) {
        let first = (id.to_string(), 0);
        let mine: Vec<_> = self
            .progress
            .keys_from(&first)
            .take_while(|k| k.0 == id)
            .cloned()
            .collect();
        mine.iter().for_each(|k| self.progress.remove(k, false));
    }

    /// Puts a machine on the roster; says on which page.
    pub fn put_machine(&mut self, name: &str, record: &RosterRecord) -> u32 {
        self.roster
            .put(name.into(), roster_size(name, record), record.clone())
    }

    /// Takes a machine off the roster. The page stays marked until it is written.
    pub fn drop_machine(&mut self, name: &str) {
        self.roster.remove(&name.to_string(), true);
    }

    /// Puts what is done of a chunk of a job's tasks; says on which page.
    pub fn put_progress(&mut self, job: &str, chunk: u32, bits: &str) -> u32 {
        let size = progress_size(job, bits);
        self.progress.put((job.into(), chunk), size, bits.into())
    }

    /// A page of the roster that the store does not hold as it is here, beside these.
    pub fn next_roster_page(&self, beside: &[u32]) -> Option<u32> {
        self.roster.next_dirty_beside(beside)
    }

    /// These pages are in the store as they were last put into a transaction.
    pub fn written(&mut self, roster: &[u32], progress: &[u32]) {
        roster.iter().for_each(|page| self.roster.written(*page));
        progress
            .iter()
            .for_each(|page| self.progress.written(*page));
    }

    /// A transaction's write of a page of the roster.
    pub fn roster_write(&self, n: u32) -> Write {
        let Some(entries) = self.roster.page(n) else {
            return Write::Drop {
                key: keys::roster(n),
            };
        };
        let mut groups: BTreeMap<&RosterRecord, Vec<String>> = BTreeMap::new();
        entries.for_each(|(name, r)| groups.entry(r).or_default().push(name.clone()));
        let page = RosterPage {
            groups: groups
                .into_iter()
                .map(|(r, names)| (r.clone(), names))
                .collect(),
        };
        Write::Put {
            key: keys::roster(n),
            value: to_value(&page),
            lease: None,
        }
    }

    /// A transaction's write of a page of progress.
    pub fn progress_write(&self, n: u32) -> Write {
        let Some(entries) = self.progress.page(n) else {
            return Write::Drop {
                key: keys::progress(n),
            };
        };
        let page = ProgressPage {
            chunks: entries
                .map(|((job, chunk), bits)| (job.clone(), *chunk, bits.clone()))
                .collect(),
        };
        Write::Put {
            key: keys::progress(n),
            value: to_value(&page),
            lease: None,
        }
    }

    /// Whether the store lacks something of these pages.
    pub fn dirty(&self) -> bool {
        self.roster.next_dirty().is_some() || self.progress.next_dirty().is_some()
    }
}
