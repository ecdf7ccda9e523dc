//! Leading: campaign, renewal, the leader's clock, and the writer of its decisions.

use crate::node::{open_job, Lead, Node};
use sched::leader::{Deed, Earlier, Leader};
use sched::owner::Owner;
use sched::ranges::Ranges;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::budget::Rank;
use store::client::{Decided, StoreError};
use store::keys;
use store::leadership::{next_token, still_leader, take, usable, Won};
use wire::store::{to_value, BegunRecord, BindingRecord, Condition, JobRecord, LeaderRecord, ProgressRecord, Recorded, Txn, Write};
use wire::users::Shape;

/// Part of the store's rates that the leader takes; the others share the rest.
const LEADER_SHARE: f64 = 0.5;
const ALL_SHARE: f64 = 0.9;

/// Tries to become the leader whenever there is none.
pub async fn campaign(node: Rc<Node>) {
    let ttl = node.leader_ttl();
    let pause = ttl / 40;
    let others = node.settings.known.len().max(1) as f64;
    loop {
        smol::Timer::after(pause).await;
        let free = {
            let s = node.lock();
            s.shared.loaded && s.shared.replica.leader.is_none()
        };
        if !free {
            continue;
        }
        smol::Timer::after(ttl.mul_f64(0.03 * fastrand::f64())).await;
        match take(&node.store, &node.settings.member, ttl).await {
            Ok(Some(won)) => {
                node.store.set_share(if node.settings.known.is_empty() { ALL_SHARE } else { LEADER_SHARE });
                lead(&node, won, ttl).await;
                node.store.set_share(if node.settings.known.is_empty() { ALL_SHARE } else { (ALL_SHARE - LEADER_SHARE) / others });
            }
            Ok(None) => {
                crate::fresh::once(&node).await;
            }
            Err(e) => {
                log::info!("event=campaign_failed error=\"{e}\"");
                smol::Timer::after(ttl.mul_f64(0.05 + 0.1 * fastrand::f64())).await;
            }
        }
    }
}

/// Leads until the lease is lost.
async fn lead(node: &Rc<Node>, won: Won, ttl: Duration) {
    log::info!("event=leader member={} token={}", node.settings.member, won.token);
    // The picture must hold all that was accepted and recorded before this leadership.
    while node.lock().shared.replica.revision < won.version {
        if Instant::now() > won.until {
            let _ = node.store.revoke(won.lease).await;
            return;
        }
        if !crate::fresh::once(node).await {
            smol::Timer::after(ttl / 40).await;
        }
    }
    begin(node, &won);
    let tasks = [
        node.ex.spawn(clock(node.clone())),
        node.ex.spawn(writer(node.clone())),
        node.ex.spawn(crate::renting::rent(node.clone())),
        node.ex.spawn(crate::renting::watch_cloud(node.clone())),
    ];
    renew(node, ttl).await;
    drop(tasks);
    let mut state = node.lock();
    state.owner.set_authority(f64::MIN);
    if let Some(lead) = state.shared.lead.take() {
        for link in lead.links.values() {
            link.frames.close();
        }
    }
    log::info!("event=leader_ended member={}", node.settings.member);
    if state.shared.replica.leader.as_ref().is_some_and(|(l, _)| l.member == node.settings.member) {
        state.shared.replica.leader = None;
    }
}

fn begin(node: &Rc<Node>, won: &Won) {
    let mut guard = node.lock();
    let state = &mut *guard;
    let replica = &state.shared.replica;
    let value_kb = node.settings.settings.state.value_kb;
    let chunk_bits = sched::leader::chunk_bits(value_kb);
    let earlier = |spec: &wire::users::Job| match (spec.shape, replica.bound_machines(&spec.id)) {
        (Shape::Gang, Some(machines)) => Earlier::Bound(machines),
        (Shape::Gang, None) => Earlier::Untouched,
        _ if replica.begun.contains(&spec.id) => Earlier::Anywhere,
        _ => Earlier::Untouched,
    };
    let open = |e: &store::replica::JobEntry| {
        let spec = e.job.clone()?;
        let before = earlier(&spec);
        Some(open_job(e, spec, chunk_bits, before))
    };
    let jobs = replica.jobs.values().filter_map(open).collect();
    let seed = node.seed.replace(node.seed.get().wrapping_add(1));
    let mut leader = Leader::new(&node.settings.member, node.setup.clone(), seed, won.token, value_kb, jobs, &replica.roster, node.now());
    leader.set_lately_cancelled(replica.lately_cancelled(Duration::from_secs_f64(node.setup.lease_s + node.setup.cancel_s)));
    if let Some(types) = state.shared.catalog.clone() {
        leader.catalog(types);
    }
    // The book of earlier regimes must not answer on this leadership's authority.
    state.owner = Owner::new(&node.settings.member, node.setup.clone());
    state.owner.set_authority(node.at(won.until));
    state.shared.lead =
        Some(Lead { leader, won: won.clone(), writes: Default::default(), cloud: Default::default(), links: HashMap::new() });
}

/// Renews the lease; returns when it is certainly lost.
async fn renew(node: &Rc<Node>, ttl: Duration) {
    let mut paused = false;
    loop {
        let lease = match &node.lock().shared.lead {
            Some(l) => l.won.lease,
            None => return,
        };
        let sent = Instant::now();
        let result = node.store.touch(lease).await;
        let mut wait = ttl / 5;
        {
            let mut state = node.lock();
            let until = sent + usable(ttl);
            match result {
                Ok(()) => {
                    if let Some(lead) = &mut state.shared.lead {
                        lead.won.until = lead.won.until.max(until);
                    }
                    state.owner.set_authority(node.at(until));
                    paused = false;
                }
                Err(StoreError::NoLease) => return,
                Err(e) => {
                    wait = ttl / 20;
                    let over = state.shared.lead.as_ref().is_some_and(|l| Instant::now() > l.won.until);
                    if over && !paused {
                        paused = true;
                        log::info!("event=authority_paused error=\"{e}\"");
                    }
                }
            }
        }
        smol::Timer::after(wait).await;
    }
}

/// Lets time pass for the leader.
async fn clock(node: Rc<Node>) {
    let step = Duration::from_secs_f64((node.setup.report_s / 10.0).clamp(0.05, 0.1));
    let mut told = sched::leader::Summary::default();
    loop {
        smol::Timer::after(step).await;
        let now = node.now();
        let mut guard = node.lock();
        let state = &mut *guard;
        let Some(lead) = &mut state.shared.lead else { return };
        if Instant::now() > lead.won.until {
            // Nothing is decided without authority; it may come back with a renewal.
            continue;
        }
        lead.leader.tick(now, node.settings.known.len());
        let summary = lead.leader.summary();
        if summary != told {
            log::debug!("event=picture {summary}");
            told = summary;
        }
        node.pump(state);
    }
}

/// Writes decisions one after the other, each on the condition that this is still the leader.
async fn writer(node: Rc<Node>) {
    let pause = Duration::from_secs_f64(node.setup.report_s.min(1.0) / 10.0);
    loop {
        let Some((batch, won)) = next_batch(&node) else {
            let _ = node.to_write.1.recv().await;
            continue;
        };
        let result = write(&node, &batch, &won).await;
        let retry = matches!(result, Err(StoreError::Budget(_) | StoreError::Refused(_)));
        settle(&node, batch, result).await;
        if retry {
            smol::Timer::after(pause).await;
        }
    }
}

/// The next decisions to write: alone if they have conditions or an outcome of their own, and
/// the most urgent first.
fn next_batch(node: &Node) -> Option<(Vec<Deed>, Won)> {
    let mut guard = node.lock();
    let lead = guard.shared.lead.as_mut()?;
    let won = lead.won.clone();
    let urgent = |d: &Deed| match d {
        Deed::NewToken => 0,
        Deed::Bind { .. } => 1,
        Deed::Roster(_, Some(_)) | Deed::Begin { .. } => 2,
        Deed::Finish { .. } => 3,
        _ => 4,
    };
    let first = (0..lead.writes.len()).min_by_key(|i| (urgent(&lead.writes[*i]), *i))?;
    let first = lead.writes.remove(first)?;
    let alone = !is_plain(&first);
    let mut batch = vec![first];
    if !alone {
        let mut i = 0;
        while i < lead.writes.len() && batch.len() < node.settings.settings.state.txn_ops {
            let again = |d: &Deed| is_progress_of(d, &lead.writes[i]);
            if is_plain(&lead.writes[i]) && !batch.iter().any(again) {
                batch.extend(lead.writes.remove(i));
            } else {
                i += 1;
            }
        }
    }
    Some((batch, won))
}

/// Decisions that can share a transaction: each is true by itself.
fn is_plain(deed: &Deed) -> bool {
    matches!(deed, Deed::Roster(..) | Deed::Progress { .. } | Deed::Begin { .. })
}

/// Whether both are progress of the same chunk: a transaction must not write a key twice.
fn is_progress_of(a: &Deed, b: &Deed) -> bool {
    match (a, b) {
        (Deed::Progress { job: x, chunk: i, .. }, Deed::Progress { job: y, chunk: j, .. }) => x == y && i == j,
        _ => false,
    }
}

enum Written {
    Yes,
    No,
    Token(u64, u64),
    Lost,
}

async fn write(node: &Rc<Node>, batch: &[Deed], won: &Won) -> Result<Written, StoreError> {
    let mut txn = Txn { conditions: vec![still_leader(won.version)], writes: Vec::new() };
    match &batch[0] {
        Deed::NewToken => {
            return Ok(match next_token(&node.store, &node.settings.member, won).await? {
                Some((token, version)) => Written::Token(token, version),
                None => Written::Lost,
            });
        }
        Deed::Finish { job } => {
            let entry = node.lock().shared.replica.jobs.get(job).cloned();
            let Some((e, spec)) = entry.and_then(|e| e.job.clone().map(|j| (e, j))) else { return Ok(Written::No) };
            let key = keys::job(job);
            txn.conditions.push(Condition { key: key.clone(), version: e.version });
            let record = JobRecord { state: Recorded::Done, created_ms: e.created_ms, job: (*spec).clone() };
            txn.writes.push(Write::Put { key, value: to_value(&record), lease: None });
            let room = node.settings.settings.state.txn_ops.saturating_sub(1);
            // What a later leader would need to run it is not needed any more.
            let (begun, bound) = {
                let s = node.lock();
                let bound: Vec<u32> = s.shared.replica.bindings.get(job).map(|b| b.keys().copied().collect()).unwrap_or_default();
                (s.shared.replica.begun.contains(job), bound)
            };
            let progress = e.progress.keys().map(|c| keys::progress(job, *c));
            let bindings = bound.into_iter().map(|c| keys::binding(job, c));
            let drops = progress.chain(bindings).chain(begun.then(|| keys::begun(job)));
            txn.writes.extend(drops.take(room).map(|key| Write::Drop { key }));
        }
        Deed::Bind { job, attempt, places } => {
            // Long bindings take several records, each below the value limit.
            let each = (node.settings.settings.state.value_kb * 1024.0 / 64.0) as usize;
            for (chunk, places) in places.chunks(each.max(1)).take(node.settings.settings.state.txn_ops).enumerate() {
                let record = BindingRecord { attempt: *attempt, places: places.to_vec() };
                txn.writes.push(Write::Put { key: keys::binding(job, chunk as u32), value: to_value(&record), lease: None });
            }
        }
        _ => {
            for deed in batch {
                match deed {
                    Deed::Roster(name, Some(r)) => txn.writes.push(Write::Put { key: keys::roster(name), value: to_value(r), lease: None }),
                    Deed::Begin { job } => {
                        let value = to_value(&BegunRecord { token: won.token });
                        txn.writes.push(Write::Put { key: keys::begun(job), value, lease: None });
                    }
                    Deed::Roster(name, None) => txn.writes.push(Write::Drop { key: keys::roster(name) }),
                    Deed::Progress { job, chunk, bits, .. } => {
                        let value = to_value(&ProgressRecord { bits: bits.clone() });
                        txn.writes.push(Write::Put { key: keys::progress(job, *chunk), value, lease: None });
                    }
                    _ => {}
                }
            }
        }
    }
    match node.store.txn(&txn, Rank::Decision).await? {
        Decided::Applied(_) => Ok(Written::Yes),
        Decided::Conflict(_) => {
            // Either the job has changed, or this is not the leader any more.
            let mine = node.store.get(keys::LEADER, Rank::Renewal).await?.is_some_and(|i| i.version == won.version);
            Ok(if mine { Written::No } else { Written::Lost })
        }
    }
}

async fn settle(node: &Rc<Node>, batch: Vec<Deed>, result: Result<Written, StoreError>) {
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
    let Some(lead) = &mut state.shared.lead else { return };
    let ok = matches!(result, Ok(Written::Yes));
    for deed in batch {
        match deed {
            Deed::NewToken => match result {
                Ok(Written::Token(token, version)) => {
                    lead.won.token = token;
                    lead.won.version = version;
                    let record = LeaderRecord { member: node.settings.member.clone(), token };
                    state.shared.replica.leader = Some((record, version));
                    lead.leader.token_result(Some(token), now);
                }
                _ => lead.leader.token_result(None, now),
            },
            Deed::Bind { job, attempt, .. } => lead.leader.bind_result(&job, attempt, ok, now),
            Deed::Finish { job } => {
                if ok {
                    log::info!("event=done job={job}");
                }
                lead.leader.finish_result(&job, ok);
            }
            Deed::Begin { job } => lead.leader.begin_result(&job, ok),
            Deed::Roster(name, record) => {
                if !ok && record.is_none() {
                    lead.writes.push_back(Deed::Roster(name, None));
                } else {
                    lead.leader.roster_result(&name, record.is_some(), ok);
                }
            }
            Deed::Progress { job, chunk, bits, .. } => {
                let mut written = Ranges::default();
                let bytes = store::replica::bits(&bits);
                written.add_bits(chunk * lead.leader.chunk_bits(), &bytes, u32::MAX);
                lead.leader.progress_result(&job, chunk, ok.then_some(&written));
            }
            _ => {}
        }
    }
    node.pump(state);
}
