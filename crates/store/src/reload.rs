//! Loading all keys in pages: the first load, and again when a replica is older than the changes
//! which the store keeps.
//!
//! Loading takes several requests. The replica in use meanwhile keeps receiving records by other
//! means: this controller's own writes that were in flight, and records that were read directly.
//! Those may be newer than the pages, so the result holds the newer of both for each key: a reload
//! never reverts anything.

use crate::replica::Replica;
use wire::store::Page;

/// Whether a load has read all keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadState {
    /// Further pages have to be read.
    Incomplete,
    /// The last page was read.
    Complete,
}

/// A load in progress. A page that could not be read is requested again; the others are kept.
pub struct Reload {
    chunk_bits: u32,
    replica: Replica,
    last_key: Option<String>,
    pages: u32,
}

impl Reload {
    /// A load of which no page is read yet. `chunk_bits` is the number of tasks in a chunk of a
    /// progress page that version 0.1 wrote.
    pub fn new(chunk_bits: u32) -> Reload {
        Reload {
            chunk_bits,
            replica: Replica::new(chunk_bits),
            last_key: None,
            pages: 0,
        }
    }

    /// The last key that was read: the next page begins after it.
    pub fn last_key(&self) -> Option<&str> {
        self.last_key.as_deref()
    }

    /// The number of pages that were read.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Adds the page that begins after `last_key`.
    pub fn add_page(&mut self, page: &Page) -> LoadState {
        if self.pages == 0 {
            self.replica = Replica::from_first_page(self.chunk_bits, page);
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

    /// The loaded replica, merged with what the one in use holds that is newer. No answer to a
    /// request for changes may have been applied to `in_use` after the first page was requested.
    pub fn finish(self, in_use: Replica) -> Replica {
        let mut replica = self.replica;
        replica.merge_newer(in_use);
        replica
    }
}
