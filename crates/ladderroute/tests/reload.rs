//! A controller whose view is older than the changes that the store keeps reloads all keys in pages, while
//! records keep arriving by other means.

// The helper functions of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

mod stand_in;

use ladderroute::api::users::submit;
use ladderroute::controller::Controller;
use stand_in::requests::{accepted, body, end, with_fronts};
use stand_in::{is_loaded, job_entry, Front, Store};
use std::rc::Rc;
use std::time::Duration;
use wire::store::{from_value, JobRecord, Recorded, Txn, Value, Write};
use wire::users::JobState;

async fn accept(node: &Rc<Controller>, id: &str, needed: &[&str]) {
    let names = needed.iter().map(|id| Value::Text((*id).into())).collect();
    let sent = body(id, |fields| {
        fields.push((Value::Text("awaits".into()), Value::Array(names)))
    });
    let answer = submit(node, &sent).await;
    assert_eq!(accepted(&answer), (201, JobState::Queued), "{id}");
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        smol::Timer::after(Duration::from_millis(2)).await;
    }
}

/// Lets a controller miss changes that the store then discards: the controller's next request finds its view
/// too old.
async fn miss_changes(store: &Store, front: &Front, missed: impl std::future::Future<Output = ()>) {
    front.refuses_changes.set(true);
    let asked = front.changes_asked.get();
    until(|| front.changes_asked.get() > asked + 1).await;
    missed.await;
    store.forget_changes();
    front.refuses_changes.set(false);
}

fn state(node: &Controller, id: &str) -> Option<Recorded> {
    job_entry(node, id).map(|entry| entry.state)
}

fn leader_knows(node: &Controller, id: &str) -> bool {
    let state = node.lock();
    let leadership = state.shared.leadership.as_ref();
    leadership.is_some_and(|leadership| leadership.leader.has_job(id))
}

/// A job ends during a reload, by a write of this controller that was in flight: the pages still hold it as
/// open. It stays terminal, and so do the jobs that were cancelled with it; the leader does not get it back.
#[test]
fn what_ends_during_a_reload_stays_terminal() {
    with_fronts(|store, [a, b], [front, _]| async move {
        a.executor
            .spawn(ladderroute::leadership::campaign(a.clone()))
            .detach();
        until(|| a.lock().shared.leadership.is_some()).await;
        for id in ["wk-1", "wk-2", "wk-3"] {
            accept(&a, id, &[]).await;
        }
        accept(&a, "wk-4", &["wk-1"]).await;
        accept(&a, "wk-5", &["wk-2"]).await;
        assert!(leader_knows(&a, "wk-1") && !leader_knows(&a, "wk-4"));
        front.holds_pages.set(true);
        miss_changes(&store, &front, accept(&b, "wk-6", &[])).await;
        let pages = front.pages_asked.get();
        until(|| front.pages_asked.get() > pages || !is_loaded(&a)).await;
        until(|| front.pages_asked.get() > pages).await;
        for (id, ended) in [("wk-1", Recorded::Cancelled), ("wk-2", Recorded::Done)] {
            assert_eq!(end(&store, id, ended), 200);
            let item = store.get(&store::keys::job(id)).unwrap();
            let record: JobRecord = from_value(&item.value).unwrap();
            a.apply_job_record(&mut a.lock(), id, record, item.version);
        }
        assert!(!leader_knows(&a, "wk-1") && leader_knows(&a, "wk-5"));
        // No changes after the reload may hide a fault.
        front.refuses_changes.set(true);
        front.holds_pages.set(false);
        until(|| is_loaded(&a)).await;
        assert_eq!(state(&a, "wk-6"), Some(Recorded::Open), "the missed one");
        for (id, expected, known) in [
            ("wk-1", Recorded::Cancelled, false),
            ("wk-2", Recorded::Done, false),
            ("wk-3", Recorded::Open, true),
            ("wk-4", Recorded::Cancelled, false),
            ("wk-5", Recorded::Open, true),
            ("wk-6", Recorded::Open, true),
        ] {
            assert_eq!(state(&a, id), Some(expected), "{id}");
            assert_eq!(leader_knows(&a, id), known, "{id}");
        }
    });
}

/// One request in two is refused: a reload that started over each time would never end.
#[test]
fn a_reload_resumes_after_a_refused_page() {
    with_fronts(|store, [a, b], [front, _]| async move {
        for n in 0..20 {
            accept(&a, &format!("wk-{n}"), &[]).await;
        }
        store.page_items.set(2);
        front.refuses_every_page.set(2);
        miss_changes(&store, &front, accept(&b, "wk-missed", &[])).await;
        until(|| !is_loaded(&a)).await;
        until(|| is_loaded(&a) || front.pages_asked.get() > 100).await;
        assert!(is_loaded(&a), "pages asked: {}", front.pages_asked.get());
        assert_eq!(state(&a, "wk-missed"), Some(Recorded::Open));
    });
}

/// The store does not limit the size of an answer with changes; a controller that accepts no answer of such size
/// would never get beyond it.
#[test]
fn an_answer_too_large_leads_to_a_reload_in_pages() {
    with_fronts(|store, [a, b], [front, _]| async move {
        front.refuses_changes.set(true);
        accept(&b, "wk-missed", &[]).await;
        let put = |key: &str| Write::Put {
            key: key.into(),
            value: Value::Text("x".repeat(4096)),
            lease: None,
        };
        for n in 0..2500 {
            let writes = vec![put(&format!("lr/other/{}", n % 10))];
            let conditions = Vec::new();
            assert_eq!(store.apply(&Txn { conditions, writes }).status, 200);
        }
        front.refuses_changes.set(false);
        let asked = front.changes_asked.get();
        until(|| state(&a, "wk-missed").is_some() || front.changes_asked.get() > asked + 10).await;
        assert_eq!(state(&a, "wk-missed"), Some(Recorded::Open));
    });
}
