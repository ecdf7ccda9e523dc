//! Keeping the view current: one long watch, quick freshness reads before answers that must not be old,
//! and a reload of all keys where the store does not keep the changes any more. One freshness read serves
//! every query that was waiting when it was sent.

use crate::cluster_view::{Read, ViewReload};
use crate::controller::{Controller, State};
use crate::counters::Counters;
use std::rc::Rc;
use std::time::Duration;
use store::budget::Rank;
use store::client::StoreError;
use store::keys;
use wire::store::Changes;

/// Freshness reads of all controllers take at most this part of the request rate.
const READS_SHARE: f64 = 0.35;
/// The long watches take at most this part: each returns with the first change, and under load
/// there is always one.
const WATCH_SHARE: f64 = 0.2;

/// Brings the view up to the store's present state; false if that can't be done now.
pub async fn refresh_view(node: &Rc<Controller>) -> bool {
    let (result, is_first) = node.freshness_reads.enqueue();
    if is_first {
        let n = node.clone();
        node.executor
            .spawn(async move { serve_waiting(n).await })
            .detach();
    }
    result.recv().await.unwrap_or(false)
}

/// Time between two requests of this controller when all together take a part of the rate.
fn pace(node: &Controller, share: f64) -> Duration {
    Duration::from_secs_f64((node.settings.known.len() + 1) as f64 / (node.limits.rps * share))
}

async fn serve_waiting(node: Rc<Controller>) {
    let pace = pace(&node, READS_SHARE);
    loop {
        let Some(waiting) = node.freshness_reads.take_waiting() else {
            return;
        };
        let ok = once(&node).await;
        for w in waiting {
            let _ = w.try_send(ok);
        }
        smol::Timer::after(pace).await;
    }
}

/// One freshness read; false if the view is not up to date after it.
pub async fn once(node: &Rc<Controller>) -> bool {
    let Some(read) = begin_read(node) else {
        return false;
    };
    match ask(node, read, Duration::ZERO).await {
        Ok(changes) => {
            let taken = node.take_changes(&changes, read);
            node.note_store_health(true);
            node.freshness_reads.note_answered();
            taken
        }
        Err(StoreError::TooOld) => {
            too_old(node, read, &StoreError::TooOld);
            false
        }
        Err(e) => {
            log::debug!("event=read_failed since={} error=\"{e}\"", read.since);
            if !matches!(e, StoreError::Budget(_)) {
                node.note_store_health(false);
            }
            false
        }
    }
}

fn begin_read(node: &Controller) -> Option<Read> {
    node.lock().shared.view.begin_read(node.now())
}

async fn ask(node: &Controller, read: Read, wait: Duration) -> Result<Changes, StoreError> {
    node.store
        .follow(keys::ALL, read.since, wait, Rank::Decision)
        .await
}

/// Changes can't bring the view up to date any more.
fn too_old(node: &Controller, read: Read, error: &StoreError) {
    log::info!("event=view_too_old since={} error=\"{error}\"", read.since);
    node.lock().shared.view.too_old(read);
}

/// Loads the view and keeps it current for as long as the process lives.
pub async fn follow(node: Rc<Controller>) {
    let pause = Duration::from_secs_f64(node.config.heartbeat_s.min(1.0) / 5.0);
    let mut reload = None;
    loop {
        if let Some(read) = begin_read(&node) {
            watch(&node, read, pause).await;
        } else if let Err(e) = continue_reload(&node, &mut reload).await {
            // Once is enough for people; it is tried again and again.
            let level = if node.lock().shared.store_failing_since.is_none() {
                log::Level::Info
            } else {
                log::Level::Debug
            };
            let pages = reload.as_ref().map_or(0, ViewReload::pages);
            log::log!(level, "event=load_failed pages={pages} error=\"{e}\"");
            node.note_store_health(false);
            smol::Timer::after(pause).await;
        }
    }
}

/// One long watch, and a while in which more changes gather: the next brings them together.
async fn watch(node: &Rc<Controller>, read: Read, pause: Duration) {
    let wait = Duration::from_secs_f64(wire::ANSWER_DROPPED_S);
    let pace = pace(node, WATCH_SHARE);
    match ask(node, read, wait).await {
        Ok(changes) => {
            node.take_changes(&changes, read);
            node.note_store_health(true);
            smol::Timer::after(pace).await;
            // Freshness reads bring the same; the requests are better spent on submissions.
            while node.freshness_reads.reads_every(pace) {
                smol::Timer::after(pace / 2).await;
            }
        }
        // An answer with more than is taken would only grow: the keys themselves are read in pages.
        Err(e @ (StoreError::TooOld | StoreError::TooLarge(_))) => too_old(node, read, &e),
        Err(e) => {
            log::debug!("event=follow_failed since={} error=\"{e}\"", read.since);
            node.note_store_health(false);
            smol::Timer::after(pause).await;
        }
    }
}

/// Reads all keys, from where an earlier try got to, and takes them into the view.
async fn continue_reload(
    node: &Rc<Controller>,
    in_progress: &mut Option<ViewReload>,
) -> Result<(), StoreError> {
    let mut reload = match in_progress.take() {
        Some(reload) => reload,
        None => node.lock().shared.view.begin_reload(node.now()),
    };
    loop {
        let page = node
            .store
            .range(keys::ALL, reload.last_key(), Rank::Decision)
            .await;
        match page {
            Ok(page) if reload.take(&page) => break,
            Ok(_) => {}
            Err(e) => {
                *in_progress = Some(reload);
                return Err(e);
            }
        }
    }
    node.finish_reload(reload);
    node.note_store_health(true);
    Ok(())
}

impl Controller {
    /// Takes the changes that a read has brought into the view, and what follows; false if the view was
    /// read anew since the read was sent.
    pub fn take_changes(&self, changes: &Changes, read: Read) -> bool {
        let mut guard = self.lock();
        let state = &mut *guard;
        let Some(news) = state.shared.view.apply(read, changes) else {
            Counters::count(&self.counters.reads_dropped);
            log::info!("event=read_dropped since={}", read.since);
            return false;
        };
        self.notify_leader_of_changes(&mut state.shared, news);
        self.act_on_view(state);
        true
    }

    /// Takes all keys as they were read into the view, and what follows.
    fn finish_reload(&self, reload: ViewReload) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let (pages, took_s) = (reload.pages(), self.now() - reload.sent());
        state.shared.view.finish_reload(reload);
        Counters::count(&self.counters.reloads);
        let replica = state.shared.view.replica();
        let (jobs, revision) = (replica.jobs.len(), replica.revision);
        log::info!("event=loaded jobs={jobs} revision={revision} pages={pages} took_s={took_s:.2}");
        self.notify_leader_of_all_jobs(&mut state.shared);
        self.act_on_view(state);
    }

    /// What was cancelled is stopped before any heartbeat is answered on the strength of the view.
    fn act_on_view(&self, state: &mut State) {
        self.exchange_messages(state);
        let read_at = state.shared.view.read_at();
        state.owner.authority.prove(read_at);
    }
}
