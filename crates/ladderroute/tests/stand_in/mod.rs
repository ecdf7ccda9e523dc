//! A stand-in for the state service on loopback, and controllers that use it.

pub mod requests;

use http::server::{Limits, Request, Response};
use ladderroute::controller::Controller;
use ladderroute::settings::{Settings, Tuning};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use store::replica::JobEntry;
use wire::cbor;
use wire::store::{Change, Changes, Conflict, Item, LeaseId, Page, Revision, Txn, Value, Write};

/// What becomes of the next transaction.
// Not every test uses all of them.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Carried out and answered.
    Served,
    /// Carried out; the answer is lost.
    AnswerLost,
    /// No answer; it is kept, to be carried out when the test says so.
    Kept,
}

/// The state service, in memory.
pub struct Store {
    /// Values and their versions.
    keys: RefCell<BTreeMap<String, (Value, u64)>>,
    log: RefCell<Vec<Change>>,
    revision: Cell<u64>,
    /// Changes up to this revision are not kept any more.
    forgotten: Cell<u64>,
    leases: Cell<u64>,
    /// Most items of a page.
    pub page_items: Cell<usize>,
    /// What becomes of the next transaction.
    pub fate: Cell<Fate>,
    /// All requests are refused.
    pub refuses: Cell<bool>,
    /// Transactions that were not carried out yet.
    kept: RefCell<Vec<Txn>>,
}

/// One controller's way to the store, with faults that only this controller has.
// Not every test uses all of them.
#[allow(dead_code)]
#[derive(Default)]
pub struct Front {
    /// Requests for changes are refused.
    pub refuses_changes: Cell<bool>,
    /// Requests for changes that were answered or refused.
    pub changes_asked: Cell<u32>,
    /// Pages are read, and their answers wait.
    pub holds_pages: Cell<bool>,
    /// Of so many pages that are asked for, the last is refused; none if 0.
    pub refuses_every_page: Cell<u32>,
    /// Pages that were asked for.
    pub pages_asked: Cell<u32>,
}

/// The status of a request that the store does not serve now.
const REFUSED: u16 = 503;
/// The status of a request for changes that are not kept any more.
const TOO_OLD: u16 = 410;

impl Store {
    /// An empty store that serves all requests.
    pub fn new() -> Rc<Store> {
        Rc::new(Store {
            keys: RefCell::default(),
            log: RefCell::default(),
            revision: Cell::new(0),
            forgotten: Cell::new(0),
            leases: Cell::new(0),
            page_items: Cell::new(usize::MAX),
            fate: Cell::new(Fate::Served),
            refuses: Cell::new(false),
            kept: RefCell::default(),
        })
    }

    /// Opens a way to the store.
    pub async fn open(
        self: &Rc<Store>,
        executor: &Rc<smol::LocalExecutor<'static>>,
    ) -> (Rc<Front>, SocketAddr) {
        let front = Rc::new(Front::default());
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let minute = Duration::from_secs(60);
        let limits = Limits {
            max_connections: 100,
            max_body_bytes: 1 << 20,
            max_buffered_bytes: 16 << 20,
            request_timeout: minute,
            idle_timeout: minute,
        };
        let (store, served) = (self.clone(), front.clone());
        let handler = Rc::new(move |request: Request| {
            let (store, front) = (store.clone(), served.clone());
            async move { store.handle(&front, request).await }
        });
        executor
            .spawn(http::server::serve(
                executor.clone(),
                listener,
                limits,
                handler,
            ))
            .detach();
        (front, addr)
    }

    async fn handle(&self, front: &Front, request: Request) -> Response {
        if self.refuses.get() {
            return Response::new(REFUSED, Vec::new());
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
        };
        match path {
            "/txn" => self.take(cbor::decode(&request.body).unwrap()).await,
            "/follow" => {
                let since = field("since").parse().unwrap();
                self.changes(front, since, field("wait_ms") != "0").await
            }
            "/store" => self.page(front, field("since")).await,
            "/grants" => {
                self.leases.set(self.leases.get() + 1);
                let lease = self.leases.get();
                Response::new(200, cbor::encode(&LeaseId { lease }))
            }
            _ if path.starts_with("/grants/") => Response::new(200, Vec::new()),
            _ => match self.get(path.strip_prefix("/store/").unwrap_or("")) {
                Some(item) => Response::new(200, cbor::encode(&item)),
                None => Response::new(
                    404,
                    cbor::encode(&Revision {
                        revision: self.revision.get(),
                    }),
                ),
            },
        }
    }

    async fn changes(&self, front: &Front, since: u64, may_wait: bool) -> Response {
        front.changes_asked.set(front.changes_asked.get() + 1);
        if front.refuses_changes.get() {
            return Response::new(REFUSED, Vec::new());
        }
        if may_wait && since >= self.revision.get() {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        if since < self.forgotten.get() {
            return Response::new(TOO_OLD, Vec::new());
        }
        let log = self.log.borrow();
        let newer = log.iter().filter(|change| change.version > since);
        let changes = Changes {
            revision: self.revision.get(),
            changes: newer.cloned().collect(),
        };
        Response::new(200, cbor::encode(&changes))
    }

    async fn page(&self, front: &Front, since: &str) -> Response {
        front.pages_asked.set(front.pages_asked.get() + 1);
        let every = front.refuses_every_page.get();
        if every > 0 && front.pages_asked.get().is_multiple_of(every) {
            return Response::new(REFUSED, Vec::new());
        }
        let page = self.items_after(since);
        while front.holds_pages.get() {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
        Response::new(200, cbor::encode(&page))
    }

    /// A page of the items after a key.
    pub fn items_after(&self, since: &str) -> Page {
        let keys = self.keys.borrow();
        let mut rest = keys.iter().filter(|(key, _)| key.as_str() > since);
        let items = rest.by_ref().take(self.page_items.get());
        let items = items.map(|(key, (value, version))| Item {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Page {
            items: items.collect(),
            more: rest.next().is_some(),
            revision: self.revision.get(),
        }
    }

    /// Forgets all changes so far: who does not know them has to read the keys again.
    // Not every test uses it.
    #[allow(dead_code)]
    pub fn forget_changes(&self) {
        self.forgotten.set(self.revision.get());
    }

    /// What the store holds at a key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.keys.borrow().get(key).map(|(v, n)| Item {
            key: key.into(),
            value: v.clone(),
            version: *n,
        })
    }

    async fn take(&self, txn: Txn) -> Response {
        match self.fate.replace(Fate::Served) {
            Fate::Served => self.apply(&txn),
            Fate::AnswerLost => {
                self.apply(&txn);
                std::future::pending().await
            }
            Fate::Kept => {
                self.kept.borrow_mut().push(txn);
                std::future::pending().await
            }
        }
    }

    /// Carries out what was kept; says with which status.
    // Not every test uses it.
    #[allow(dead_code)]
    pub fn carry_out_kept(&self) -> Vec<u16> {
        let kept = self.kept.take();
        kept.iter().map(|t| self.apply(t).status).collect()
    }

    /// Carries out a transaction if its conditions hold.
    pub fn apply(&self, txn: &Txn) -> Response {
        let version = |k: &str| self.keys.borrow().get(k).map_or(0, |(_, n)| *n);
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| version(&c.key) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return Response::new(409, cbor::encode(&Conflict { failed }));
        }
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        for write in &txn.writes {
            let change = self.carry_out(write, revision);
            self.log.borrow_mut().push(change);
        }
        Response::new(200, cbor::encode(&Revision { revision }))
    }

    /// Carries out one write; returns it as a change.
    fn carry_out(&self, write: &Write, version: u64) -> Change {
        let mut keys = self.keys.borrow_mut();
        match write {
            Write::Put { key, value, .. } => {
                keys.insert(key.clone(), (value.clone(), version));
                Change {
                    written_key: Some(key.clone()),
                    deleted_key: None,
                    value: Some(value.clone()),
                    version,
                }
            }
            Write::Delete { key } => {
                keys.remove(key);
                Change {
                    written_key: None,
                    deleted_key: Some(key.clone()),
                    value: None,
                    version,
                }
            }
        }
    }
}

/// A controller with a replica that is loaded and kept current; nothing else of it runs.
pub async fn controller(
    executor: &Rc<smol::LocalExecutor<'static>>,
    i: usize,
    store: SocketAddr,
) -> Rc<Controller> {
    let text = include_str!("settings.toml")
        .replace("MEMBER", &format!("rung-{i}"))
        .replace("OTHER", &format!("rung-{}", 1 - i));
    let settings = Settings::parse(
        &text.replace("127.0.0.9:2379", &store.to_string()),
        "settings",
    )
    .unwrap();
    let node =
        ladderroute::startup::build_controller(settings, &Tuning::default(), executor.clone());
    node.lock().shared.catalog = Some(vec![wire::cloud::MachineType {
        name: "g8".into(),
        cpus: 96.0,
        gpus: 8.0,
        memory_gb: 768.0,
        cache_gb: 200.0,
        fetch_gb_per_s: 1.0,
        price: 12.0,
        spot_price: 4.5,
        boot_s: 45.0,
        zones: vec!["a".into(), "b".into()],
    }]);
    executor
        .spawn(ladderroute::freshness::watch_store(node.clone()))
        .detach();
    while !is_loaded(&node) {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    node
}

/// Whether a controller has read all keys.
pub fn is_loaded(node: &Controller) -> bool {
    node.lock().shared.view.is_complete()
}

/// What a controller's view holds of a job.
// Not every test uses it.
#[allow(dead_code)]
pub fn job_entry(node: &Controller, id: &str) -> Option<JobEntry> {
    node.lock().shared.view.replica().jobs.get(id).cloned()
}
