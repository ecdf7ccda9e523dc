//! Pages in which the progress of jobs is stored.

use std::collections::BTreeMap;
use wire::store::ProgressPage;

/// One of the bitmaps in a page: tasks of a job that are done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Section<'a> {
    /// Id of the job.
    pub job: &'a str,
    /// Number of the task that the first bit stands for.
    pub first_task: u32,
    /// Bitmap in hexadecimal.
    pub bits: &'a str,
}

/// Progress pages by number.
///
/// Invariant: each page is as the newest change of its key left it.
#[derive(Default)]
pub struct ProgressPages {
    /// Number of tasks in a chunk of a page that version 0.1 wrote. It depends on the
    /// installation's settings.
    tasks_per_chunk: u32,
    pages: BTreeMap<u32, ProgressPage>,
}

impl ProgressPages {
    pub(super) fn new(tasks_per_chunk: u32) -> ProgressPages {
        ProgressPages {
            tasks_per_chunk,
            pages: BTreeMap::new(),
        }
    }

    /// Returns the pages by number.
    pub fn pages(&self) -> &BTreeMap<u32, ProgressPage> {
        &self.pages
    }

    /// Returns the bitmaps of a page.
    pub fn sections<'a>(&self, page: &'a ProgressPage) -> impl Iterator<Item = Section<'a>> {
        let tasks_per_chunk = self.tasks_per_chunk;
        let section = |job: &'a String, first_task, bits: &'a String| Section {
            job,
            first_task,
            bits,
        };
        let chunks = page.chunks.iter().map(move |(job, number, bits)| {
            section(job, number.saturating_mul(tasks_per_chunk), bits)
        });
        let sections = page.sections.iter();
        chunks.chain(sections.map(move |(job, first_task, bits)| section(job, *first_task, bits)))
    }

    pub(super) fn put(&mut self, number: u32, page: ProgressPage) {
        self.pages.insert(number, page);
    }

    pub(super) fn remove(&mut self, number: u32) {
        self.pages.remove(&number);
    }
}
