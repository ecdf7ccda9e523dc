//! The writer of the leader's decisions: packs them into few transactions, the most urgent
//! first, each on the condition that this is still the leader.

use crate::node::Node;
use http::within;
use sched::leader::Deed;
use sched::ranges::Ranges;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::budget::Rank;
use store::client::{Decided, StoreError};
use store::keys;
use store::leadership::{next_token, still_leader, Won};
use store::pages::Pages;
use store::replica::Replica;
use wire::store::{
    to_value, BindingRecord, Condition, JobRecord, LeaderRecord, ProgressPage, Recorded,
    RosterPage, RosterRecord, Txn, Write,
};

/// Part of a value that the entries of a page may fill, by their own sizes.
const PAGE_FILL: f64 = 0.9;
/// What an entry of a page takes beside its texts, at most.
const ENTRY_BYTES: usize = 48;

/// Users expect the end of a job within this time (a figure of the protocol).
const DONE_TOLD_S: f64 = 3.0;
/// Part of that time for which ends of jobs and progress are collected for one transaction: each takes
/// one of the store's requests, however much it holds.
const COLLECT_SHARE: f64 = 1.0 / 12.0;

/// The pages of small entries, as this leader has them.
pub struct Books {
    roster: Pages<String, RosterRecord>,
    progress: Pages<(String, u32), String>,
}

fn roster_size(name: &str, r: &RosterRecord) -> usize {
    name.len() + r.kind.len() + r.zone.len() + ENTRY_BYTES
}

fn progress_size(job: &str, bits: &str) -> usize {
    job.len() + bits.len() + ENTRY_BYTES
}

impl Books {
    /// The pages as the store holds them, less the progress of jobs that are over.
    pub fn load(replica: &Replica, value_kb: f64) -> Books {
        let limit = (value_kb * 1024.0 * PAGE_FILL) as usize;
        let mut books = Books {
            roster: Pages::new(limit),
            progress: Pages::new(limit),
        };
        for (n, page) in &replica.roster_pages {
            for (record, names) in &page.groups {
                for name in names {
                    books
                        .roster
                        .load(*n, name.clone(), roster_size(name, record), record.clone());
                }
            }
        }
        for (n, page) in &replica.progress_pages {
            for (job, chunk, bits) in &page.chunks {
                books.progress.load(
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
            .for_each(|c| books.progress.remove(&(c.0.clone(), c.1), false));
        books
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

    fn roster_write(&self, n: u32) -> Write {
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

    fn progress_write(&self, n: u32) -> Write {
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

    fn dirty(&self) -> bool {
        self.roster.next_dirty().is_some() || self.progress.next_dirty().is_some()
    }
}

/// Decisions that are written together.
#[derive(Default)]
struct Batch {
    deeds: Vec<Deed>,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
    roster: Vec<u32>,
    progress: Vec<u32>,
}

enum Written {
    /// At this revision.
    Yes(u64),
    /// The conditions on these keys did not hold.
    No(Vec<String>),
    Token(u64, u64),
    Lost,
}

/// Writes decisions, one transaction after the other.
pub async fn writer(node: Rc<Node>) {
    let pause = Duration::from_secs_f64(node.setup.report_s.min(1.0) / 10.0);
    let collect = Duration::from_secs_f64(DONE_TOLD_S * COLLECT_SHARE);
    let mut last = None::<Instant>;
    loop {
        let since = last.map_or(collect, |at| at.elapsed());
        if since < collect && !urgent_waits(&node) {
            let _ = within(collect - since, node.to_write.1.recv()).await;
            continue;
        }
        let Some((batch, won)) = next_batch(&node) else {
            let _ = node.to_write.1.recv().await;
            continue;
        };
        last = Some(Instant::now());
        let result = write(&node, &batch, &won).await;
        let retry = matches!(result, Err(StoreError::Budget(_) | StoreError::Refused(_)));
        let other = |k: &String| !k.starts_with(keys::JOBS) && k != keys::LEADER;
        let stale = matches!(&result, Ok(Written::No(failed)) if failed.iter().any(other));
        settle(&node, batch, result).await;
        if stale {
            // An earlier write of unknown outcome was carried out after all: see what it left.
            log::info!("event=write_overtaken");
            crate::fresh::once(&node).await;
        }
        if retry || stale {
            smol::Timer::after(pause).await;
        }
    }
}

/// Whether a decision waits that has to be durable before anything starts.
fn urgent_waits(node: &Node) -> bool {
    let state = node.lock();
    state
        .shared
        .lead
        .as_ref()
        .is_none_or(|lead| lead.writes.iter().any(|d| urgency(d) < FINISH))
}

/// The urgency of the end of a job.
const FINISH: u8 = 3;

fn urgency(d: &Deed) -> u8 {
    match d {
        Deed::NewToken => 0,
        Deed::Bind { .. } => 1,
        Deed::Roster(_, Some(_)) | Deed::Begin(_) => 2,
        Deed::Finish { .. } => FINISH,
        _ => FINISH + 1,
    }
}

/// What is to be written next, as much as one transaction holds. A new token goes alone, and
/// ends of jobs among themselves, since those have conditions that may fail.
fn next_batch(node: &Node) -> Option<(Batch, Won)> {
    let most = node.settings.settings.state.txn_ops.max(1);
    let value_kb = node.settings.settings.state.value_kb;
    let mut guard = node.lock();
    let state = &mut *guard;
    let lead = state.shared.lead.as_mut()?;
    let won = lead.won.clone();
    let mut batch = Batch::default();
    let mut waiting: Vec<Deed> = lead.writes.drain(..).collect();
    waiting.sort_by_key(urgency);
    let class = |d: &Deed| match d {
        Deed::NewToken => 0,
        Deed::Finish { .. } => 1,
        _ => 2,
    };
    let first = waiting.first().map(class);
    let mut full = false;
    for deed in waiting {
        let room =
            most.saturating_sub(batch.writes.len() + batch.roster.len() + batch.progress.len());
        if full || Some(class(&deed)) != first || first == Some(0) && !batch.deeds.is_empty() {
            lead.writes.push_back(deed);
            continue;
        }
        match &deed {
            Deed::Roster(name, Some(r)) if room > 0 => {
                let page = lead
                    .books
                    .roster
                    .put(name.clone(), roster_size(name, r), r.clone());
                if !batch.roster.contains(&page) {
                    batch.roster.push(page);
                }
            }
            Deed::Roster(name, None) => {
                // The page stays marked until it is written.
                lead.books.roster.remove(name, true);
                continue;
            }
            Deed::Progress { job, chunk, bits } if room > 0 => {
                let page = lead.books.progress.put(
                    (job.clone(), *chunk),
                    progress_size(job, bits),
                    bits.clone(),
                );
                if !batch.progress.contains(&page) {
                    batch.progress.push(page);
                }
            }
            Deed::Begin(record) if room > 0 => {
                batch.writes.push(Write::Put {
                    key: keys::BEGUN.into(),
                    value: to_value(record),
                    lease: None,
                });
            }
            Deed::Bind {
                job,
                attempt,
                places,
            } => {
                // Long bindings take several records, each below the value limit.
                let each = ((value_kb * 1024.0 / 64.0) as usize).max(1);
                let records = places.chunks(each).take(most);
                if records.len() > room {
                    full = true;
                    lead.writes.push_back(deed);
                    continue;
                }
                for (chunk, places) in records.enumerate() {
                    let record = BindingRecord {
                        attempt: *attempt,
                        places: places.to_vec(),
                    };
                    batch.writes.push(Write::Put {
                        key: keys::binding(job, chunk as u32),
                        value: to_value(&record),
                        lease: None,
                    });
                }
            }
            Deed::Finish { job } => {
                // What a later leader would need to run it is not needed any more.
                let bound = state
                    .shared
                    .replica
                    .bindings
                    .get(job)
                    .map(|b| b.keys().copied().collect::<Vec<u32>>())
                    .unwrap_or_default();
                let Some((e, spec)) = state
                    .shared
                    .replica
                    .jobs
                    .get(job)
                    .and_then(|e| Some((e, e.job.clone()?)))
                else {
                    lead.leader.finish_result(job, false);
                    continue;
                };
                if 1 + bound.len() > room && !batch.writes.is_empty() {
                    full = true;
                    lead.writes.push_back(deed);
                    continue;
                }
                let key = keys::job(job);
                batch.conditions.push(Condition {
                    key: key.clone(),
                    version: e.version,
                });
                let record = JobRecord {
                    state: Recorded::Done,
                    created_ms: e.created_ms,
                    job: (*spec).clone(),
                };
                batch.writes.push(Write::Put {
                    key,
                    value: to_value(&record),
                    lease: None,
                });
                let drops = bound.into_iter().map(|c| Write::Drop {
                    key: keys::binding(job, c),
                });
                batch.writes.extend(drops.take(most - 1));
            }
            Deed::NewToken => {}
            _ => {
                full = true;
                lead.writes.push_back(deed);
                continue;
            }
        }
        batch.deeds.push(deed);
    }
    if first != Some(0) && first != Some(1) {
        // Pages with old entries, as far as there is room.
        while batch.writes.len() + batch.roster.len() + batch.progress.len() < most {
            let page = lead.books.roster.next_dirty_beside(&batch.roster);
            let Some(page) = page else { break };
            batch.roster.push(page);
        }
    }
    batch
        .writes
        .extend(batch.roster.iter().map(|n| lead.books.roster_write(*n)));
    batch
        .writes
        .extend(batch.progress.iter().map(|n| lead.books.progress_write(*n)));
    // A write that comes late, or once more, must not undo a newer one of this same leader. (The
    // records of jobs have their own conditions; what is dropped with a job is written no more.)
    let pages = batch.writes.iter().filter_map(|w| match w {
        Write::Put { key, .. } if !key.starts_with(keys::JOBS) => Some(key),
        Write::Drop { key } if !key.starts_with(keys::BINDING) => Some(key),
        _ => None,
    });
    batch
        .conditions
        .extend(pages.map(|key| state.shared.replica.versions.condition(key)));
    (!batch.deeds.is_empty() || !batch.writes.is_empty()).then_some((batch, won))
}

async fn write(node: &Rc<Node>, batch: &Batch, won: &Won) -> Result<Written, StoreError> {
    if let Some(Deed::NewToken) = batch.deeds.first() {
        return Ok(
            match next_token(&node.store, &node.settings.member, won).await? {
                Some((token, version)) => Written::Token(token, version),
                None => Written::Lost,
            },
        );
    }
    let mut txn = Txn {
        conditions: vec![still_leader(won.version)],
        writes: batch.writes.clone(),
    };
    txn.conditions.extend(batch.conditions.iter().cloned());
    match node.store.txn(&txn, Rank::Decision).await? {
        Decided::Applied(revision) => Ok(Written::Yes(revision)),
        Decided::Conflict(failed) if failed.iter().any(|k| k == keys::LEADER) => Ok(Written::Lost),
        Decided::Conflict(failed) => Ok(Written::No(failed)),
    }
}

async fn settle(node: &Rc<Node>, batch: Batch, result: Result<Written, StoreError>) {
    if let Err(e) = &result {
        log::debug!("event=write_failed error=\"{e}\"");
    }
    if matches!(result, Ok(Written::Lost)) {
        log::info!("event=leadership_lost");
        let lease = node.lock().shared.lead.as_ref().map(|l| l.won.lease);
        if let Some(lease) = lease {
            // Ends the lease, so that the renewal finds it gone and the next leader can come.
            let _ = node.store.revoke(lease).await;
        }
        return;
    }
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    let Some(lead) = &mut state.shared.lead else {
        return;
    };
    let ok = matches!(result, Ok(Written::Yes(_)));
    if let Ok(Written::Yes(revision)) = result {
        state
            .shared
            .replica
            .versions
            .applied(&batch.writes, revision);
        batch
            .roster
            .iter()
            .for_each(|n| lead.books.roster.written(*n));
        batch
            .progress
            .iter()
            .for_each(|n| lead.books.progress.written(*n));
    }
    for deed in batch.deeds {
        match deed {
            Deed::NewToken => match result {
                Ok(Written::Token(token, version)) => {
                    lead.won.token = token;
                    lead.won.version = version;
                    let record = LeaderRecord {
                        member: node.settings.member.clone(),
                        token,
                    };
                    state.shared.replica.leader = Some((record, version));
                    lead.leader.token_result(Some(token), now);
                }
                _ => lead.leader.token_result(None, now),
            },
            Deed::Bind { job, attempt, .. } => lead.leader.bind_result(&job, attempt, ok, now),
            Deed::Finish { job } => {
                // Of several, only those whose own condition failed have changed meanwhile.
                let changed =
                    matches!(&result, Ok(Written::No(failed)) if failed.contains(&keys::job(&job)));
                if !ok && !changed {
                    lead.writes.push_back(Deed::Finish { job });
                    let _ = node.to_write.0.try_send(());
                    continue;
                }
                if ok {
                    log::info!("event=done job={job}");
                }
                lead.leader.finish_result(&job, ok);
            }
            Deed::Begin(record) => lead.leader.begin_result(&record, ok),
            Deed::Roster(name, _) => lead.leader.roster_result(&name, true, ok),
            Deed::Progress { job, chunk, bits } => {
                let mut written = Ranges::default();
                written.add_bits(
                    chunk * lead.leader.chunk_bits(),
                    &store::replica::bits(&bits),
                    u32::MAX,
                );
                lead.leader
                    .progress_result(&job, chunk, ok.then_some(&written));
            }
            Deed::Send(..) | Deed::Hire(_) | Deed::Release(_) => {}
        }
    }
    if lead.books.dirty() {
        let _ = node.to_write.0.try_send(());
    }
    node.pump(state);
}
