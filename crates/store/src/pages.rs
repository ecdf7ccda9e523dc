//! Small entries packed many to a key, since the state service counts every put. The leader
//! keeps the pages; each write replaces a whole page.

use std::collections::{BTreeMap, BTreeSet};

/// Entries in pages that stay below a size.
#[derive(Debug)]
pub struct Pages<K, V> {
    limit: usize,
    pages: BTreeMap<u32, BTreeMap<K, (usize, V)>>,
    at: BTreeMap<K, u32>,
    dirty: BTreeSet<u32>,
}

impl<K: Ord + Clone, V> Pages<K, V> {
    /// No page's entries take more than `limit` bytes together, as far as their sizes are told.
    pub fn new(limit: usize) -> Pages<K, V> {
        Pages {
            limit,
            pages: BTreeMap::new(),
            at: BTreeMap::new(),
            dirty: BTreeSet::new(),
        }
    }

    /// Takes an entry as the store holds it.
    pub fn load(&mut self, page: u32, key: K, size: usize, value: V) {
        self.at.insert(key.clone(), page);
        self.pages
            .entry(page)
            .or_default()
            .insert(key, (size, value));
    }

    /// Puts an entry where it was, or else on the first page with room; says where.
    pub fn put(&mut self, key: K, size: usize, value: V) -> u32 {
        let fits = |p: &BTreeMap<K, (usize, V)>| {
            p.values().map(|(s, _)| s).sum::<usize>() + size <= self.limit
        };
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

    /// Keys in a range, e.g. all that belong to one job.
    pub fn keys_from<'a>(&'a self, from: &K) -> impl Iterator<Item = &'a K> {
        self.at.range(from.clone()..).map(|(k, _)| k)
    }

    /// A page that the store does not hold as it is here.
    pub fn next_dirty(&self) -> Option<u32> {
        self.next_dirty_beside(&[])
    }

    /// The same, not among some that are being written already.
    pub fn next_dirty_beside(&self, but: &[u32]) -> Option<u32> {
        self.dirty.iter().find(|n| !but.contains(n)).copied()
    }

    /// The page as it is here is durable.
    pub fn written(&mut self, page: u32) {
        self.dirty.remove(&page);
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
