//! Pages: many small entries packed under one key, since every put counts against the state
//! service's write rate. The leader owns the pages, and each write replaces a whole page.
//!
//! A page may have been filled under a larger size limit than the current one. It is loaded
//! unchanged and split when it is next written: the entries beyond the limit move to new pages, and
//! all of these pages are written together (see `write_unit`), so that no entry is missing from the
//! store in between.

use std::collections::{BTreeMap, BTreeSet};

/// Value of an entry, with its size in bytes as estimated by the caller.
#[derive(Debug)]
struct Entry<V> {
    size: usize,
    value: V,
}

type Entries<K, V> = BTreeMap<K, Entry<V>>;

/// When the removal of an entry has to be written to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Removal {
    /// As soon as possible: the removal makes the page dirty, so that it has to be written.
    Urgent,
    /// When the page is next written for another reason.
    Deferred,
}

/// Entries in pages of limited size.
///
/// Invariant: each key is on one page. A page that differs from its stored version by more than
/// deferred removals is dirty, that is, has to be written.
#[derive(Debug)]
pub struct Pages<K, V> {
    limit: usize,
    pages: BTreeMap<u32, Entries<K, V>>,
    page_of: BTreeMap<K, u32>,
    dirty: BTreeSet<u32>,
    /// For each page that was split and is not written yet, the new pages that took its entries.
    split_into: BTreeMap<u32, Vec<u32>>,
    /// Inverse of `split_into`.
    split_from: BTreeMap<u32, u32>,
}

/// Returns the total estimated size of entries, in bytes.
fn total_bytes<K, V>(entries: &Entries<K, V>) -> usize {
    entries.values().map(|entry| entry.size).sum()
}

impl<K: Ord + Clone, V: PartialEq> Pages<K, V> {
    /// Creates an empty set of pages. The estimated sizes of the entries on a page will add up to
    /// at most `limit` bytes.
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

    /// Adds an entry as it is in the store, without marking its page as dirty. If the entry is
    /// already on another page, it is removed from there, and that page becomes dirty.
    pub fn load(&mut self, page: u32, key: K, size: usize, value: V) {
        let earlier = self.page_of.insert(key.clone(), page);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != page) {
            // An unfinished split left the entry on two pages. The copy loaded last is kept.
            if let Some(entries) = self.pages.get_mut(&earlier) {
                entries.remove(&key);
            }
            self.dirty.insert(earlier);
        }
        let entries = self.pages.entry(page).or_default();
        entries.insert(key, Entry { size, value });
    }

    /// Puts an entry on the page that already holds it, or else on the first page with capacity,
    /// and returns the page. An unchanged entry makes no page dirty, since the entry of a decision
    /// that has to wait is put repeatedly.
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

    /// Returns the first page that can take `size` more bytes, or else the first unused page
    /// number.
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

    /// Removes an entry if it exists.
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

    /// Returns the value of an entry.
    pub fn get(&self, key: &K) -> Option<&V> {
        let entries = self.pages.get(self.page_of.get(key)?)?;
        entries.get(key).map(|entry| &entry.value)
    }

    /// Returns the keys from `from` on, in order, for example to find all that belong to one job.
    pub fn keys_from<'a>(&'a self, from: &K) -> impl Iterator<Item = &'a K> {
        self.page_of.range(from.clone()..).map(|(key, _)| key)
    }

    /// Returns the first dirty page, that is, the first page that has to be written to the store.
    pub fn next_dirty(&self) -> Option<u32> {
        self.next_dirty_except(&[])
    }

    /// Returns whether a page has to be written to the store.
    pub fn is_dirty(&self, page: u32) -> bool {
        self.dirty.contains(&page)
    }

    /// Returns the first dirty page that is not among `excluded`, the pages that are being written
    /// already.
    pub fn next_dirty_except(&self, excluded: &[u32]) -> Option<u32> {
        let mut dirty = self.dirty.iter();
        dirty.find(|page| !excluded.contains(page)).copied()
    }

    /// Splits a page if it is too large, and returns all pages that have to be written together, in
    /// this order: first the page that is or was too large, then the pages that took the rest of
    /// its entries. If they do not fit in one transaction, several are needed.
    ///
    /// When a page is written, controllers of version 0.1 remove from their roster whatever the
    /// page held before, even if another page holds it by then. Their roster ends up correct if
    /// they read the new pages last. The new pages therefore come later, both in the transaction
    /// and in the order of the keys.
    pub fn write_unit(&mut self, page: u32) -> Vec<u32> {
        let first = self.split_from.get(&page).copied().unwrap_or(page);
        self.split(first);
        let others = self.split_into.get(&first).cloned().unwrap_or_default();
        std::iter::once(first).chain(others).collect()
    }

    /// Moves the entries beyond the limit to new pages. At least one entry stays, whatever its
    /// size.
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

    /// Adds a page for entries that are split off another page. The new page's key sorts after the
    /// other page's key; keys hold the page numbers as text.
    fn new_page_after(&mut self, page: u32) -> u32 {
        let name = page.to_string();
        let follows = |new: &u32| new.to_string() > name && !self.pages.contains_key(new);
        let new = (0..).find(follows).unwrap_or(u32::MAX);
        self.pages.insert(new, BTreeMap::new());
        self.split_into.entry(page).or_default().push(new);
        self.split_from.insert(new, page);
        new
    }

    /// Changes the size limit of a page, in bytes. Larger pages are split when they are next
    /// written.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Marks a page as written: the store now holds its current entries.
    pub fn mark_written(&mut self, page: u32) {
        self.dirty.remove(&page);
        for new in self.split_into.remove(&page).unwrap_or_default() {
            self.split_from.remove(&new);
        }
        if self.pages.get(&page).is_some_and(BTreeMap::is_empty) {
            self.pages.remove(&page);
        }
    }

    /// Returns the entries of a page, or `None` if it has none. Its key is to be deleted then.
    pub fn page(&self, page: u32) -> Option<impl Iterator<Item = (&K, &V)>> {
        let entries = self
            .pages
            .get(&page)
            .filter(|entries| !entries.is_empty())?;
        Some(entries.iter().map(|(key, entry)| (key, &entry.value)))
    }
}
