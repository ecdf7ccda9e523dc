//! An in-memory fake of the state service, served over loopback, and controllers that use it.

pub mod links;
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

/// A fault injected into the next transaction.
// Each test file compiles this module and uses only a part of it.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TxnFault {
    /// Applied and answered.
    None,
    /// Applied; the response is lost.
    ResponseLost,
    /// Never answered; held, and applied only by [`FakeStore::apply_delayed_txns`].
    Delayed,
}

/// An in-memory state service.
pub struct FakeStore {
    /// Values with their versions, by key.
    keys: RefCell<BTreeMap<String, (Value, u64)>>,
    change_log: RefCell<Vec<Change>>,
    revision: Cell<u64>,
    /// Changes up to and including this revision have been discarded.
    compacted_revision: Cell<u64>,
    leases_granted: Cell<u64>,
    /// The maximum number of items in a page.
    pub page_items: Cell<usize>,
    /// The fault injected into the next transaction; reset to `None` when that transaction arrives.
    pub next_txn_fault: Cell<TxnFault>,
    /// Whether the store refuses every request.
    pub unavailable: Cell<bool>,
    /// Transactions held by [`TxnFault::Delayed`], not applied yet.
    delayed_txns: RefCell<Vec<Txn>>,
}

/// An endpoint at which one controller reaches the store: the faults that affect only this controller, and
/// the counts of its requests.
// Each test file compiles this module and uses only a part of it.
#[allow(dead_code)]
#[derive(Default)]
pub struct StoreEndpoint {
    /// Whether requests for changes are refused.
    pub refuses_changes: Cell<bool>,
    /// The number of requests for changes, answered or refused.
    pub change_requests: Cell<u32>,
    /// Whether pages, once read, are held back: the response is sent when this is false again.
    pub delays_pages: Cell<bool>,
    /// If this is n > 0, every n-th request for a page is refused; if 0, none.
    pub refused_page_interval: Cell<u32>,
    /// The number of requests for pages.
    pub page_requests: Cell<u32>,
    /// Whether the responses to reads of the leader's key, and to transactions that write it, can't be decoded.
    /// The transactions are applied.
    pub hides_leader_key: Cell<bool>,
    /// The number of leases that this controller has revoked.
    pub revocations: Cell<u32>,
}

/// Path at which the leader's key is read.
const LEADER_KEY_PATH: &str = "/store/lr/leader";
/// HTTP status when the store refuses a request temporarily.
const REFUSED: u16 = 503;
/// HTTP status when the requested changes have been discarded.
const TOO_OLD: u16 = 410;

impl FakeStore {
    /// Returns an empty store that serves all requests.
    pub fn new() -> Rc<FakeStore> {
        Rc::new(FakeStore {
            keys: RefCell::default(),
            change_log: RefCell::default(),
            revision: Cell::new(0),
            compacted_revision: Cell::new(0),
            leases_granted: Cell::new(0),
            page_items: Cell::new(usize::MAX),
            next_txn_fault: Cell::new(TxnFault::None),
            unavailable: Cell::new(false),
            delayed_txns: RefCell::default(),
        })
    }

    /// Serves the store at a new loopback address; returns this endpoint, for its faults and counts, and the
    /// address.
    pub async fn open_endpoint(
        self: &Rc<FakeStore>,
        executor: &Rc<smol::LocalExecutor<'static>>,
    ) -> (Rc<StoreEndpoint>, SocketAddr) {
        let endpoint = Rc::new(StoreEndpoint::default());
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
        let (store, served) = (self.clone(), endpoint.clone());
        let handler = Rc::new(move |request: Request| {
            let (store, endpoint) = (store.clone(), served.clone());
            async move { store.handle(&endpoint, request).await }
        });
        executor
            .spawn(http::server::serve(
                executor.clone(),
                listener,
                limits,
                handler,
            ))
            .detach();
        (endpoint, addr)
    }

    async fn handle(&self, endpoint: &StoreEndpoint, request: Request) -> Response {
        if self.unavailable.get() {
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
            "/txn" => {
                self.handle_txn(endpoint, cbor::decode(&request.body).unwrap())
                    .await
            }
            "/follow" => {
                let since = field("since").parse().unwrap();
                self.handle_changes(endpoint, since, field("wait_ms") != "0")
                    .await
            }
            "/store" => self.handle_page(endpoint, field("since")).await,
            "/grants" => {
                self.leases_granted.set(self.leases_granted.get() + 1);
                let lease = self.leases_granted.get();
                Response::new(200, cbor::encode(&LeaseId { lease }))
            }
            _ if path.starts_with("/grants/") => {
                if request.method == "DELETE" {
                    endpoint.revocations.set(endpoint.revocations.get() + 1);
                }
                Response::new(200, Vec::new())
            }
            LEADER_KEY_PATH if endpoint.hides_leader_key.get() => Response::new(200, Vec::new()),
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

    async fn handle_changes(
        &self,
        endpoint: &StoreEndpoint,
        since: u64,
        may_wait: bool,
    ) -> Response {
        endpoint
            .change_requests
            .set(endpoint.change_requests.get() + 1);
        if endpoint.refuses_changes.get() {
            return Response::new(REFUSED, Vec::new());
        }
        if may_wait && since >= self.revision.get() {
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        if since < self.compacted_revision.get() {
            return Response::new(TOO_OLD, Vec::new());
        }
        let log = self.change_log.borrow();
        let newer = log.iter().filter(|change| change.version > since);
        let changes = Changes {
            revision: self.revision.get(),
            changes: newer.cloned().collect(),
        };
        Response::new(200, cbor::encode(&changes))
    }

    async fn handle_page(&self, endpoint: &StoreEndpoint, since: &str) -> Response {
        endpoint.page_requests.set(endpoint.page_requests.get() + 1);
        let every = endpoint.refused_page_interval.get();
        if every > 0 && endpoint.page_requests.get().is_multiple_of(every) {
            return Response::new(REFUSED, Vec::new());
        }
        let page = self.page_after(since);
        while endpoint.delays_pages.get() {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
        Response::new(200, cbor::encode(&page))
    }

    /// Returns the page of items whose keys follow `since`.
    pub fn page_after(&self, since: &str) -> Page {
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

    /// Discards all changes so far: a client that has not read them has to read all keys again.
    // Each test file compiles this module and uses only a part of it.
    #[allow(dead_code)]
    pub fn compact(&self) {
        self.compacted_revision.set(self.revision.get());
    }

    /// Returns the item at a key.
    pub fn get(&self, key: &str) -> Option<Item> {
        self.keys.borrow().get(key).map(|(v, n)| Item {
            key: key.into(),
            value: v.clone(),
            version: *n,
        })
    }

    async fn handle_txn(&self, endpoint: &StoreEndpoint, txn: Txn) -> Response {
        let writes_leader_key =
            |write: &Write| matches!(write, Write::Put { key, .. } if key == store::keys::LEADER);
        if endpoint.hides_leader_key.get() && txn.writes.iter().any(writes_leader_key) {
            self.apply(&txn);
            return Response::new(200, Vec::new());
        }
        match self.next_txn_fault.replace(TxnFault::None) {
            TxnFault::None => self.apply(&txn),
            TxnFault::ResponseLost => {
                self.apply(&txn);
                std::future::pending().await
            }
            TxnFault::Delayed => {
                self.delayed_txns.borrow_mut().push(txn);
                std::future::pending().await
            }
        }
    }

    /// Applies the delayed transactions; returns the HTTP status of each.
    // Each test file compiles this module and uses only a part of it.
    #[allow(dead_code)]
    pub fn apply_delayed_txns(&self) -> Vec<u16> {
        let delayed = self.delayed_txns.take();
        delayed.iter().map(|t| self.apply(t).status).collect()
    }

    /// Applies a transaction if its conditions hold.
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
            let change = self.apply_write(write, revision);
            self.change_log.borrow_mut().push(change);
        }
        Response::new(200, cbor::encode(&Revision { revision }))
    }

    /// Applies one write; returns it as a change.
    fn apply_write(&self, write: &Write, version: u64) -> Change {
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

/// Starts a controller whose only background task is watching the store; returns it once it has read all
/// keys.
pub async fn start_controller(
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
    let controller =
        ladderroute::startup::build_controller(settings, &Tuning::default(), executor.clone());
    controller.lock().shared.catalog = Some(vec![machine_type()]);
    executor
        .spawn(ladderroute::freshness::watch_store(controller.clone()))
        .detach();
    while !is_loaded(&controller) {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    controller
}

/// Returns the only machine type of the tests.
pub fn machine_type() -> wire::cloud::MachineType {
    wire::cloud::MachineType {
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
    }
}

/// Returns whether a controller has read all keys.
pub fn is_loaded(controller: &Controller) -> bool {
    controller.lock().shared.view.is_complete()
}

/// Returns the entry of a job in a controller's view of the store.
// Each test file compiles this module and uses only a part of it.
#[allow(dead_code)]
pub fn job_entry(controller: &Controller, id: &str) -> Option<JobEntry> {
    controller
        .lock()
        .shared
        .view
        .replica()
        .jobs
        .get(id)
        .cloned()
}
