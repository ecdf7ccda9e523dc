//! Keeping the replica current: one long watch, and quick looks before answers that must not
//! be old. One quick look serves every query that was waiting when it was sent.

use crate::node::Node;
use smol::channel::Sender;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::budget::Rank;
use store::client::StoreError;
use store::keys;

/// Quick looks of all controllers take at most this part of the request rate.
const LOOKS_SHARE: f64 = 0.35;
/// The long watches take at most this part: each returns with the first change, and under load
/// there is always one.
const WATCH_SHARE: f64 = 0.2;

#[derive(Default)]
pub struct Fresh {
    waiting: RefCell<Vec<Sender<bool>>>,
    busy: Cell<bool>,
    /// When the newest quick look was answered.
    answered: Cell<Option<Instant>>,
}

impl Fresh {
    /// Whether quick looks follow each other at least this closely, as when many users ask.
    fn looks_every(&self, interval: Duration) -> bool {
        self.answered
            .get()
            .is_some_and(|at| at.elapsed() < interval)
    }
}

/// Brings the replica up to the store's present state; false if that can't be done now.
pub async fn freshen(node: &Rc<Node>) -> bool {
    let (done, result) = smol::channel::bounded(1);
    node.fresh.waiting.borrow_mut().push(done);
    if !node.fresh.busy.replace(true) {
        let n = node.clone();
        node.ex.spawn(async move { look(n).await }).detach();
    }
    result.recv().await.unwrap_or(false)
}

/// Time between two requests of this controller when all together take a part of the rate.
fn pace(node: &Node, share: f64) -> Duration {
    Duration::from_secs_f64((node.settings.known.len() + 1) as f64 / (node.limits.rps * share))
}

async fn look(node: Rc<Node>) {
    let pace = pace(&node, LOOKS_SHARE);
    loop {
        let waiting = node.fresh.waiting.take();
        if waiting.is_empty() {
            node.fresh.busy.set(false);
            return;
        }
        let ok = once(&node).await;
        for w in waiting {
            let _ = w.try_send(ok);
        }
        smol::Timer::after(pace).await;
    }
}

/// One quick look.
pub async fn once(node: &Rc<Node>) -> bool {
    let (since, loaded) = {
        let s = node.lock();
        (s.shared.replica.revision, s.shared.loaded)
    };
    if !loaded {
        return false;
    }
    let sent = Instant::now();
    match node
        .store
        .follow(keys::ALL, since, Duration::ZERO, Rank::Decision)
        .await
    {
        Ok(changes) => {
            node.take_changes(&changes, sent);
            node.store_ok(true);
            node.fresh.answered.set(Some(Instant::now()));
            true
        }
        Err(StoreError::TooOld) => {
            // The long watch finds the same and reads everything again.
            node.lock().shared.loaded = false;
            false
        }
        Err(e) => {
            log::debug!("event=look_failed error=\"{e}\"");
            if !matches!(e, StoreError::Budget(_)) {
                node.store_ok(false);
            }
            false
        }
    }
}

/// Loads the replica and keeps it current for as long as the process lives.
pub async fn follow(node: Rc<Node>) {
    let wait = Duration::from_secs_f64(wire::ANSWER_DROPPED_S);
    let pause = Duration::from_secs_f64(node.setup.report_s.min(1.0) / 5.0);
    let pace = pace(&node, WATCH_SHARE);
    loop {
        if !node.lock().shared.loaded {
            match load(&node).await {
                Ok(()) => node.store_ok(true),
                Err(e) => {
                    // Once is enough for people; it is tried again and again.
                    let level = if node.lock().shared.store_bad_since.is_none() {
                        log::Level::Info
                    } else {
                        log::Level::Debug
                    };
                    log::log!(level, "event=load_failed error=\"{e}\"");
                    node.store_ok(false);
                    smol::Timer::after(pause).await;
                    continue;
                }
            }
        }
        let since = node.lock().shared.replica.revision;
        let sent = Instant::now();
        match node
            .store
            .follow(keys::ALL, since, wait, Rank::Decision)
            .await
        {
            Ok(changes) => {
                node.take_changes(&changes, sent);
                node.store_ok(true);
                // More changes gather meanwhile; the next request brings them together.
                smol::Timer::after(pace).await;
                // Quick looks bring the same; the requests are better spent on submissions.
                while node.fresh.looks_every(pace) {
                    smol::Timer::after(pace / 2).await;
                }
            }
            Err(StoreError::TooOld) => node.lock().shared.loaded = false,
            Err(e) => {
                log::debug!("event=follow_failed error=\"{e}\"");
                node.store_ok(false);
                smol::Timer::after(pause).await;
            }
        }
    }
}

async fn load(node: &Rc<Node>) -> Result<(), StoreError> {
    let chunk_bits = sched::leader::chunk_bits(node.settings.settings.state.value_kb);
    let mut replica = store::replica::Replica::new(chunk_bits);
    let (mut since, mut first) = (None::<String>, true);
    let sent = Instant::now();
    loop {
        let page = node
            .store
            .range(keys::ALL, since.as_deref(), Rank::Decision)
            .await?;
        replica.load(&page, first);
        first = false;
        since = page.items.last().map(|i| i.key.clone());
        if !page.more || since.is_none() {
            break;
        }
    }
    let mut guard = node.lock();
    let state = &mut *guard;
    log::info!(
        "event=loaded jobs={} revision={}",
        replica.jobs.len(),
        replica.revision
    );
    state.shared.replace_replica(replica);
    state.shared.loaded = true;
    let ids: Vec<String> = if state.shared.lead.is_some() {
        state.shared.replica.jobs.keys().cloned().collect()
    } else {
        Vec::new()
    };
    for id in ids {
        node.tell_leader(&mut state.shared, &id);
    }
    node.pump(state);
    state.learn(node.at(sent));
    Ok(())
}
