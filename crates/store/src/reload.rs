//! Loads all keys in pages, at startup and whenever a replica is too old to be brought up to date
//! with the changes that the store keeps.
//!
//! A load takes several requests. Meanwhile the replica in use keeps receiving records in other
//! ways: this controller's own writes that were in flight, and records that were read directly.
//! They may be newer than the pages, so the result holds the newer version of each key. A reload
//! never reverts anything.

use crate::replica::Replica;
use wire::store::Page;

/// Progress of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// More pages have to be read.
    Incomplete,
    /// The last page was read.
    Complete,
}

/// A load in progress. If reading a page fails, only that page is requested again.
pub struct Reload {
    tasks_per_chunk: u32,
    replica: Replica,
    last_key: Option<String>,
    pages: u32,
}

impl Reload {
    /// Starts a load. `tasks_per_chunk` is the number of tasks in a chunk of a progress page that
    /// version 0.1 wrote.
    pub fn new(tasks_per_chunk: u32) -> Reload {
        Reload {
            tasks_per_chunk,
            replica: Replica::new(tasks_per_chunk),
            last_key: None,
            pages: 0,
        }
    }

    /// Returns the last key that was read. The next page begins after it.
    pub fn last_key(&self) -> Option<&str> {
        self.last_key.as_deref()
    }

    /// Returns the number of pages that were read.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Adds the page that begins after `last_key`, and returns whether more pages have to be read.
    pub fn add_page(&mut self, page: &Page) -> LoadState {
        if self.pages == 0 {
            self.replica = Replica::from_first_page(self.tasks_per_chunk, page);
        } else {
            self.replica.load(page);
        }
        self.pages += 1;
        let Some(last) = page.items.last() else {
            return LoadState::Complete;
        };
        self.last_key = Some(last.key.clone());
        if page.more {
            LoadState::Incomplete
        } else {
            LoadState::Complete
        }
    }

    /// Returns the loaded replica, merged with the newer records of the replica in use. No response
    /// to a request for changes may have been applied to `in_use` after the first page was
    /// requested.
    pub fn finish(self, in_use: Replica) -> Replica {
        let mut replica = self.replica;
        replica.merge_newer(in_use);
        replica
    }
}
