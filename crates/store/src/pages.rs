//! Small entries packed many to a key, since the state service charges for every put. The leader
//! owns the pages; each write replaces a whole page.
//!
//! A page may have been filled under a larger limit than the present one. It is loaded as it is,
//! and split when it is next written: the entries beyond the limit move to new pages, and all of
//! them are written together (`write_unit`), so that no entry is missing from the store in between.

use std::collections::{BTreeMap, BTreeSet};

/// An entry and the size, in bytes, at which its owner estimates it.
#[derive(Debug)]
struct Entry<V> {
    size: usize,
    value: V,
}

type Entries<K, V> = BTreeMap<K, Entry<V>>;

/// When the store has to learn of the removal of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// As soon as possible: the page has to be written.
    Urgent,
    /// When the page is written for another reason.
    Deferred,
}

/// Entries in pages that stay below a size.
///
/// Invariant: each key is on one page, and a page that differs from the store's is dirty unless
/// only deferred removals make the difference.
#[derive(Debug)]
pub struct Pages<K, V> {
    limit: usize,
    pages: BTreeMap<u32, Entries<K, V>>,
    page_of: BTreeMap<K, u32>,
    dirty: BTreeSet<u32>,
    /// The new pages that took entries of a page, until that page is written.
    split_into: BTreeMap<u32, Vec<u32>>,
    /// The inverse of `split_into`.
    split_from: BTreeMap<u32, u32>,
}

/// Bytes of some entries together.
fn total_bytes<K, V>(entries: &Entries<K, V>) -> usize {
    entries.values().map(|entry| entry.size).sum()
}

impl<K: Ord + Clone, V: PartialEq> Pages<K, V> {
    /// No pages. The entries of a page will take at most `limit` bytes together, by their estimated
    /// sizes.
    pub fn new(limit: usize) -> Pages<K, V> {
        Pages {
            limit,
            pages: BTreeMap::new(),
            page_of: BTreeMap::new(),
            dirty: BTreeSet::new(),
            split_into: BTreeMap::new(),
            split_from: BTreeMap::new(),
        }
    }

    /// Adds an entry as the store holds it.
    pub fn load(&mut self, page: u32, key: K, size: usize, value: V) {
        let earlier = self.page_of.insert(key.clone(), page);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != page) {
            // An unfinished split left the entry on two pages: the one that was loaded last counts.
            if let Some(entries) = self.pages.get_mut(&earlier) {
                entries.remove(&key);
            }
            self.dirty.insert(earlier);
        }
        let entries = self.pages.entry(page).or_default();
        entries.insert(key, Entry { size, value });
    }

    /// Puts an entry on the page where it was, or else on the first page with capacity; returns the
    /// page. An unchanged entry makes no page dirty: a decision that has to wait is put repeatedly.
    pub fn put(&mut self, key: K, size: usize, value: V) -> u32 {
        let current = self.page_of.get(&key).copied();
        if let Some(page) = current.filter(|_| self.get(&key) == Some(&value)) {
            return page;
        }
        let page = current.unwrap_or_else(|| self.page_with_capacity(size));
        self.load(page, key, size, value);
        self.dirty.insert(page);
        page
    }

    /// The first page that can take so many bytes more, or else the first unused number.
    fn page_with_capacity(&self, size: usize) -> u32 {
        let has_capacity = |entries: &Entries<K, V>| total_bytes(entries) + size <= self.limit;
        let mut pages = self.pages.iter();
        match pages.find(|(_, entries)| has_capacity(entries)) {
            Some((page, _)) => *page,
            None => {
                let is_unused = |page: &u32| !self.pages.contains_key(page);
                (0..).find(is_unused).unwrap_or(0)
            }
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K, removal: Removal) {
        let Some(page) = self.page_of.remove(key) else {
            return;
        };
        if let Some(entries) = self.pages.get_mut(&page) {
            entries.remove(key);
        }
        if removal == Removal::Urgent {
            self.dirty.insert(page);
        }
    }

    /// The value of an entry.
    pub fn get(&self, key: &K) -> Option<&V> {
        let entries = self.pages.get(self.page_of.get(key)?)?;
        entries.get(key).map(|entry| &entry.value)
    }

    /// The keys from `from` on, in order, e.g. to find all that belong to one job.
    pub fn keys_from<'a>(&'a self, from: &K) -> impl Iterator<Item = &'a K> {
        self.page_of.range(from.clone()..).map(|(key, _)| key)
    }

    /// The first dirty page: one that the store does not hold as it is here.
    pub fn next_dirty(&self) -> Option<u32> {
        self.next_dirty_except(&[])
    }

    /// Whether the store does not hold a page as it is here.
    pub fn is_dirty(&self, page: u32) -> bool {
        self.dirty.contains(&page)
    }

    /// The first dirty page that is not among `excluded`, which are being written already.
    pub fn next_dirty_except(&self, excluded: &[u32]) -> Option<u32> {
        let mut dirty = self.dirty.iter();
        dirty.find(|page| !excluded.contains(page)).copied()
    }

    /// Splits a page if it is too large; returns all pages that have to be written together with
    /// it, in their order: the page that is or was too large first, then those that took the rest
    /// of its entries.
    ///
    /// When a page is written, readers of version 0.1 remove from their roster what it held before,
    /// also what another page holds by then. They end up right if they read the new pages last, so
    /// these come later in the transaction and in the order of their keys.
    pub fn write_unit(&mut self, page: u32) -> Vec<u32> {
        let first = self.split_from.get(&page).copied().unwrap_or(page);
        self.split(first);
        let others = self.split_into.get(&first).cloned().unwrap_or_default();
        std::iter::once(first).chain(others).collect()
    }

    /// Moves the entries beyond the limit to new pages. One entry stays in any case.
    fn split(&mut self, page: u32) {
        let Some(entries) = self.pages.get(&page) else {
            return;
        };
        if total_bytes(entries) <= self.limit {
            return;
        }
        let (mut kept, mut kept_bytes) = (BTreeMap::new(), 0);
        let mut moved = Vec::new();
        for (key, entry) in self.pages.remove(&page).unwrap_or_default() {
            if kept_bytes + entry.size <= self.limit || kept.is_empty() {
                kept_bytes += entry.size;
                kept.insert(key, entry);
            } else {
                moved.push((key, entry));
            }
        }
        self.pages.insert(page, kept);
        self.dirty.insert(page);
        let mut target = None;
        for (key, Entry { size, value }) in moved {
            let has_capacity = |target: &u32| total_bytes(&self.pages[target]) + size <= self.limit;
            let new = match target.filter(has_capacity) {
                Some(target) => target,
                None => self.new_page_after(page),
            };
            target = Some(new);
            self.page_of.remove(&key);
            self.load(new, key, size, value);
            self.dirty.insert(new);
        }
    }

    /// Adds a page for entries of another, after it in the order of their keys, where numbers are
    /// compared as text.
    fn new_page_after(&mut self, page: u32) -> u32 {
        let name = page.to_string();
        let follows = |new: &u32| new.to_string() > name && !self.pages.contains_key(new);
        let new = (0..).find(follows).unwrap_or(u32::MAX);
        self.pages.insert(new, BTreeMap::new());
        self.split_into.entry(page).or_default().push(new);
        self.split_from.insert(new, page);
        new
    }

    /// Changes the limit, in bytes. Pages beyond it are split when they are next written.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Notes that the store holds a page as it is here.
    pub fn mark_written(&mut self, page: u32) {
        self.dirty.remove(&page);
        for new in self.split_into.remove(&page).unwrap_or_default() {
            self.split_from.remove(&new);
        }
        if self.pages.get(&page).is_some_and(BTreeMap::is_empty) {
            self.pages.remove(&page);
        }
    }

    /// The entries of a page; none if the page's key is to be dropped.
    pub fn page(&self, page: u32) -> Option<impl Iterator<Item = (&K, &V)>> {
        let entries = self
            .pages
            .get(&page)
            .filter(|entries| !entries.is_empty())?;
        Some(entries.iter().map(|(key, entry)| (key, &entry.value)))
    }
}
