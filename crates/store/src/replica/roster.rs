//! Roster of the machines on which tasks may have been started, and the pages in which it is
//! stored.

use std::collections::BTreeMap;
use wire::store::{RosterPage, RosterRecord};

/// Machines on which tasks may have been started.
///
/// Invariant: a machine is on the roster as long as at least one page holds it.
#[derive(Default)]
pub struct Roster {
    machines: BTreeMap<String, RosterRecord>,
    pages: BTreeMap<u32, RosterPage>,
    /// Number of pages that hold each machine: two while a page is being split.
    page_counts: BTreeMap<String, u32>,
}

impl Roster {
    /// Returns the machines by name.
    pub fn machines(&self) -> &BTreeMap<String, RosterRecord> {
        &self.machines
    }

    /// Returns the pages by number.
    pub fn pages(&self) -> &BTreeMap<u32, RosterPage> {
        &self.pages
    }

    pub(super) fn put(&mut self, number: u32, page: RosterPage) {
        self.remove(number);
        for (record, names) in &page.groups {
            for name in names {
                *self.page_counts.entry(name.clone()).or_default() += 1;
                self.machines.insert(name.clone(), record.clone());
            }
        }
        self.pages.insert(number, page);
    }

    pub(super) fn remove(&mut self, number: u32) {
        let Some(page) = self.pages.remove(&number) else {
            return;
        };
        for name in page.groups.into_iter().flat_map(|(_, names)| names) {
            let count = self.page_counts.entry(name.clone()).or_default();
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.page_counts.remove(&name);
                self.machines.remove(&name);
            }
        }
    }
}
