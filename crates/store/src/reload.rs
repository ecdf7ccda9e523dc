//! Reading all keys again, in pages, for a replica that is too old for the changes which the store keeps.
//!
//! Paging takes time. The replica in use goes on taking records by other ways meanwhile: writes of this
//! controller that were under way, and records that were read directly. Those are newer than the pages
//! that were read before them, so the result holds, for each key, the newer of both: a reload never takes
//! anything back.

use crate::replica::Replica;
use wire::store::Page;

/// A reload under way. A page that could not be read is asked for again; the others stay.
pub struct Reload {
    chunk_bits: u32,
    replica: Replica,
    last_key: Option<String>,
    pages: u32,
}

impl Reload {
    /// A reload of which nothing is read; chunks of so many tasks are in pages of version 0.1.
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

    /// How many pages were read.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Takes the next page; true if it was the last.
    pub fn take(&mut self, page: &Page) -> bool {
        if self.pages == 0 {
            self.replica = Replica::from_first_page(self.chunk_bits, page);
        } else {
            self.replica.load(page);
        }
        self.pages += 1;
        let Some(last) = page.items.last() else {
            return true;
        };
        self.last_key = Some(last.key.clone());
        !page.more
    }

    /// The replica that was read, with what the one in use holds that is newer. No change that a request
    /// for changes brought after the first page was asked for may be in that one.
    pub fn finish(self, in_use: Replica) -> Replica {
        let mut replica = self.replica;
        replica.merge_newer(in_use);
        replica
    }
}
