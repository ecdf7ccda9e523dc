//! Small entries packed many to a key, since the state service counts every put. The leader
//! keeps the pages; each write replaces a whole page.
//!
//! A page may have been filled up to a larger limit than the present one. It is read as it is, and split
//! when it is next written: what it can't hold any more goes to new pages, and all of them are written
//! together (`write_unit`), so that no entry is missing from the store in between.

use std::collections::{BTreeMap, BTreeSet};

/// Entries in pages that stay below a size.
#[derive(Debug)]
pub struct Pages<K, V> {
    limit: usize,
    pages: BTreeMap<u32, BTreeMap<K, (usize, V)>>,
    at: BTreeMap<K, u32>,
    dirty: BTreeSet<u32>,
    /// New pages that took entries of a page that was split, until both are durable, and the way back.
    split_into: BTreeMap<u32, Vec<u32>>,
    split_from: BTreeMap<u32, u32>,
}

/// Bytes of some entries together.
fn bytes<K, V>(page: &BTreeMap<K, (usize, V)>) -> usize {
    page.values().map(|(size, _)| size).sum()
}

impl<K: Ord + Clone, V: PartialEq> Pages<K, V> {
    /// No page's entries take more than `limit` bytes together, as far as their sizes are told.
    pub fn new(limit: usize) -> Pages<K, V> {
        Pages {
            limit,
            pages: BTreeMap::new(),
            at: BTreeMap::new(),
            dirty: BTreeSet::new(),
            split_into: BTreeMap::new(),
            split_from: BTreeMap::new(),
        }
    }

    /// Takes an entry as the store holds it.
    pub fn load(&mut self, page: u32, key: K, size: usize, value: V) {
        let earlier = self.at.insert(key.clone(), page);
        if let Some(earlier) = earlier.filter(|earlier| *earlier != page) {
            // A split that was not finished left it on two pages: it counts where it stands last.
            if let Some(entries) = self.pages.get_mut(&earlier) {
                entries.remove(&key);
            }
            self.dirty.insert(earlier);
        }
        self.pages
            .entry(page)
            .or_default()
            .insert(key, (size, value));
    }

    /// Puts an entry where it was, or else on the first page with capacity; says where. What is there already
    /// makes no page dirty: a decision that has to wait is put again and again.
    pub fn put(&mut self, key: K, size: usize, value: V) -> u32 {
        if let Some(page) = self.at.get(&key).filter(|_| self.get(&key) == Some(&value)) {
            return *page;
        }
        let fits = |p: &BTreeMap<K, (usize, V)>| bytes(p) + size <= self.limit;
        let page = match self.at.get(&key) {
            Some(page) => *page,
            None => match self.pages.iter().find(|(_, p)| fits(p)) {
                Some((page, _)) => *page,
                None => (0..).find(|n| !self.pages.contains_key(n)).unwrap_or(0),
            },
        };
        self.load(page, key, size, value);
        self.dirty.insert(page);
        page
    }

    /// Takes an entry out. Unless it is `urgent`, the store learns of it when the page is
    /// written for another reason.
    pub fn remove(&mut self, key: &K, urgent: bool) {
        let Some(page) = self.at.remove(key) else {
            return;
        };
        if let Some(p) = self.pages.get_mut(&page) {
            p.remove(key);
        }
        if urgent {
            self.dirty.insert(page);
        }
    }

    /// The value of an entry.
    pub fn get(&self, key: &K) -> Option<&V> {
        let entries = self.pages.get(self.at.get(key)?)?;
        entries.get(key).map(|(_, value)| value)
    }

    /// Keys in a range, e.g. all that belong to one job.
    pub fn keys_from<'a>(&'a self, from: &K) -> impl Iterator<Item = &'a K> {
        self.at.range(from.clone()..).map(|(k, _)| k)
    }

    /// A page that the store does not hold as it is here.
    pub fn next_dirty(&self) -> Option<u32> {
        self.next_dirty_beside(&[])
    }

    /// Whether the store does not hold a page as it is here.
    pub fn is_dirty(&self, page: u32) -> bool {
        self.dirty.contains(&page)
    }

    /// The same, not among some that are being written already.
    pub fn next_dirty_beside(&self, but: &[u32]) -> Option<u32> {
        self.dirty.iter().find(|n| !but.contains(n)).copied()
    }

    /// All pages that have to be written together with this one, in their order: the page that is or
    /// was too large first, then those that took the rest of its entries.
    ///
    /// Readers of version 0.1 take what a page held before off their roster when it is written anew, also
    /// what another page holds by then. They are right if they see the new pages last, so these come
    /// later in the transaction and by the order of their keys.
    pub fn write_unit(&mut self, page: u32) -> Vec<u32> {
        let first = self.split_from.get(&page).copied().unwrap_or(page);
        self.split(first);
        let others = self.split_into.get(&first).cloned().unwrap_or_default();
        std::iter::once(first).chain(others).collect()
    }

    /// Moves what a page can't hold to new pages.
    fn split(&mut self, page: u32) {
        let Some(entries) = self.pages.get(&page) else {
            return;
        };
        if bytes(entries) <= self.limit {
            return;
        }
        let (mut kept, mut used) = (BTreeMap::new(), 0);
        let mut moved = Vec::new();
        for (key, (size, value)) in self.pages.remove(&page).unwrap_or_default() {
            if used + size <= self.limit || kept.is_empty() {
                used += size;
                kept.insert(key, (size, value));
            } else {
                moved.push((key, size, value));
            }
        }
        self.pages.insert(page, kept);
        self.dirty.insert(page);
        let mut target = None;
        for (key, size, value) in moved {
            let full = |n: &u32| bytes(&self.pages[n]) + size > self.limit;
            let n = match target.filter(|n| !full(n)) {
                Some(n) => n,
                None => self.new_page_after(page),
            };
            target = Some(n);
            self.at.remove(&key);
            self.load(n, key, size, value);
            self.dirty.insert(n);
        }
    }

    /// A new page for entries of another, behind it in the order of the keys.
    fn new_page_after(&mut self, page: u32) -> u32 {
        let name = page.to_string();
        let follows = |n: &u32| n.to_string() > name && !self.pages.contains_key(n);
        let new = (0..).find(follows).unwrap_or(u32::MAX);
        self.pages.insert(new, BTreeMap::new());
        self.split_into.entry(page).or_default().push(new);
        self.split_from.insert(new, page);
        new
    }

    /// Entries may take this much from now on.
    pub fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// The page as it is here is durable.
    pub fn written(&mut self, page: u32) {
        self.dirty.remove(&page);
        for new in self.split_into.remove(&page).unwrap_or_default() {
            self.split_from.remove(&new);
        }
        if self.pages.get(&page).is_some_and(BTreeMap::is_empty) {
            self.pages.remove(&page);
        }
    }

    /// The entries of a page; none if the page is to be dropped.
    pub fn page(&self, page: u32) -> Option<impl Iterator<Item = (&K, &V)>> {
        let p = self.pages.get(&page).filter(|p| !p.is_empty())?;
        Some(p.iter().map(|(k, (_, v))| (k, v)))
    }
}
