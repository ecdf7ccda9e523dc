//! A stand-in for the state service on loopback, and controllers that use it.

pub mod requests;

use http::server::{Limits, Request, Response};
use ladderroute::node::Node;
use ladderroute::operator::Tuning;
use ladderroute::settings::Settings;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use wire::cbor;
use wire::store::{Change, Changes, Conflict, Item, Page, Revision, Txn, Value, Write};

/// What becomes of the next transaction.
// Not every test uses all of them.
#[allow(dead_code)]
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Served,
    /// Carried out; the answer is lost.
    AnswerLost,
    /// No answer; it is kept, to be carried out when the test says so.
    Kept,
}

pub struct Store {
    keys: RefCell<BTreeMap<String, (Value, u64)>>,
    log: RefCell<Vec<Change>>,
    revision: Cell<u64>,
    pub fate: Cell<Fate>,
    pub refuses: Cell<bool>,
    kept: RefCell<Vec<Txn>>,
}

impl Store {
    pub async fn start(ex: &Rc<smol::LocalExecutor<'static>>) -> (Rc<Store>, SocketAddr) {
        let store = Rc::new(Store {
            keys: RefCell::default(),
            log: RefCell::default(),
            revision: Cell::new(0),
            fate: Cell::new(Fate::Served),
            refuses: Cell::new(false),
            kept: RefCell::default(),
        });
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let minute = Duration::from_secs(60);
        let limits = Limits {
            connections: 100,
            body: 1 << 20,
            bytes: 16 << 20,
            request: minute,
            idle: minute,
        };
        let served = store.clone();
        let handler = Rc::new(move |request: Request| {
            let store = served.clone();
            async move { store.handle(request).await }
        });
        ex.spawn(http::server::serve(ex.clone(), listener, limits, handler))
            .detach();
        (store, addr)
    }

    async fn handle(&self, request: Request) -> Response {
        if self.refuses.get() {
            return Response::new(503, Vec::new());
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
                let since: u64 = field("since").parse().unwrap();
                if field("wait_ms") != "0" && since >= self.revision.get() {
                    smol::Timer::after(Duration::from_millis(20)).await;
                }
                let changes = self
                    .log
                    .borrow()
                    .iter()
                    .filter(|c| c.version > since)
                    .cloned()
                    .collect();
                Response::new(
                    200,
                    cbor::encode(&Changes {
                        revision: self.revision.get(),
                        changes,
                    }),
                )
            }
            "/store" => {
                let items = self
                    .keys
                    .borrow()
                    .iter()
                    .map(|(k, (v, n))| Item {
                        key: k.clone(),
                        value: v.clone(),
                        version: *n,
                    })
                    .collect();
                Response::new(
                    200,
                    cbor::encode(&Page {
                        items,
                        more: false,
                        revision: self.revision.get(),
                    }),
                )
            }
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
    pub fn carry_out_kept(&self) -> Vec<u16> {
        let kept = self.kept.take();
        kept.iter().map(|t| self.apply(t).status).collect()
    }

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
        for w in &txn.writes {
            let change = match w {
                Write::Put { key, value, .. } => {
                    self.keys
                        .borrow_mut()
                        .insert(key.clone(), (value.clone(), revision));
                    Change {
                        put: Some(key.clone()),
                        dropped: None,
                        value: Some(value.clone()),
                        version: revision,
                    }
                }
                Write::Drop { key } => {
                    self.keys.borrow_mut().remove(key);
                    Change {
                        put: None,
                        dropped: Some(key.clone()),
                        value: None,
                        version: revision,
                    }
                }
            };
            self.log.borrow_mut().push(change);
        }
        Response::new(200, cbor::encode(&Revision { revision }))
    }
}

/// A controller with a replica that is loaded and kept current; nothing else of it runs.
pub async fn controller(
    ex: &Rc<smol::LocalExecutor<'static>>,
    i: usize,
    store: SocketAddr,
) -> Rc<Node> {
    let text = include_str!("settings.toml")
        .replace("MEMBER", &format!("rung-{i}"))
        .replace("OTHER", &format!("rung-{}", 1 - i));
    let settings = Settings::parse(
        &text.replace("127.0.0.9:2379", &store.to_string()),
        "settings",
    )
    .unwrap();
    let node = ladderroute::node::new(settings, &Tuning::default(), ex.clone());
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
    ex.spawn(ladderroute::fresh::follow(node.clone())).detach();
    while !node.lock().shared.loaded {
        smol::Timer::after(Duration::from_millis(5)).await;
    }
    node
}
