//! The state service, as the protocol describes it.

use crate::cbor::V;
use crate::http::{self, Answer};
use crate::map;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Changes that the service keeps.
const KEPT_CHANGES: usize = 10_000;

struct Entry {
    value: V,
    stamp: u64,
    permit: Option<u64>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// Transactions that get no answer and are carried out late.
#[derive(Clone, Copy)]
struct LateWrites {
    until: Instant,
    delay: Duration,
}

/// A rate limit that allows a burst of one second's worth.
struct Bucket {
    rate: f64,
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn take(&mut self, count: f64) -> bool {
        let now = Instant::now();
        let refilled = self.tokens + now.duration_since(self.at).as_secs_f64() * self.rate;
        (self.tokens, self.at) = (refilled.min(self.rate), now);
        let allowed = self.tokens >= count;
        if allowed {
            self.tokens -= count;
        }
        allowed
    }
}

struct State {
    keys: BTreeMap<String, Entry>,
    revision: u64,
    /// Changes as sent to watchers, with their revisions and keys.
    changes: Vec<(u64, String, V)>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    requests: Bucket,
    writes: Bucket,
    value_kb: f64,
    txn_ops: usize,
    late: Option<LateWrites>,
    late_count: u32,
    late_outcomes: Vec<u16>,
    /// Controllers that are refused.
    refused: BTreeSet<usize>,
    /// Controllers that get no answer.
    cut: BTreeSet<usize>,
}

/// The service.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn new(rps: f64, write_rps: f64, value_kb: f64, txn_ops: usize) -> Arc<Store> {
        let bucket = |rate| Bucket {
            rate,
            tokens: rate,
            at: Instant::now(),
        };
        let store = Arc::new(Store {
            state: Mutex::new(State {
                keys: BTreeMap::new(),
                revision: 0,
                changes: Vec::new(),
                leases: BTreeMap::new(),
                last_lease: 0,
                requests: bucket(rps),
                writes: bucket(write_rps),
                value_kb,
                txn_ops,
                late: None,
                late_count: 0,
                late_outcomes: Vec::new(),
                refused: BTreeSet::new(),
                cut: BTreeSet::new(),
            }),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.end_leases();
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the value of a key.
    pub fn value(&self, key: &str) -> Option<V> {
        self.lock().keys.get(key).map(|entry| entry.value.clone())
    }

    /// Returns the keys with a prefix and their values.
    pub fn values(&self, prefix: &str) -> Vec<(String, V)> {
        let state = self.lock();
        let found = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        found
            .map(|(key, entry)| (key.clone(), entry.value.clone()))
            .collect()
    }

    /// Returns the name of the leader.
    pub fn leader(&self) -> Option<String> {
        self.value("lr/leader").map(|record| record.text("member"))
    }

    /// From now on for `span`, transactions get no answer and are carried out after `delay`.
    pub fn begin_late_writes(&self, span: Duration, delay: Duration) {
        let until = Instant::now() + span;
        self.lock().late = Some(LateWrites { until, delay });
    }

    pub fn end_late_writes(&self) {
        self.lock().late = None;
    }

    /// Returns how many transactions were late, and the statuses of those carried out so far.
    pub fn late_writes(&self) -> (u32, Vec<u16>) {
        let state = self.lock();
        (state.late_count, state.late_outcomes.clone())
    }

    /// Cuts a controller off: its requests don't arrive, and open ones get no answer; or ends that.
    pub fn cut(&self, controller: usize, is_cut: bool) {
        let mut state = self.lock();
        if is_cut {
            state.cut.insert(controller);
        } else {
            state.cut.remove(&controller);
        }
    }

    fn is_cut(&self, controller: usize) -> bool {
        self.lock().cut.contains(&controller)
    }

    /// Refuses a controller, or serves it again.
    pub fn refuse(&self, controller: usize, refuse: bool) {
        let mut state = self.lock();
        if refuse {
            state.refused.insert(controller);
        } else {
            state.refused.remove(&controller);
        }
    }

    /// Serves a controller at an address of its own.
    pub fn open(self: &Arc<Store>, controller: usize) -> SocketAddr {
        let store = self.clone();
        http::serve(Arc::new(move |method, path, body| {
            if store.lock().refused.contains(&controller) {
                return status(503, "trouble");
            }
            if store.is_cut(controller) {
                return Answer::Never;
            }
            let answer = store.handle(method, path, body);
            if store.is_cut(controller) {
                return Answer::Never;
            }
            answer
        }))
    }

    fn handle(self: &Arc<Store>, method: &str, path: &str, body: &[u8]) -> Answer {
        if !self.lock().requests.take(1.0) {
            return status(429, "too many requests");
        }
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let field = |name: &str| {
            let found = query
                .split('&')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
            found.unwrap_or("").to_string()
        };
        match (method, path) {
            ("POST", "/txn") => self.txn(body),
            ("POST", "/grants") => {
                let Some(body) = V::decode(body) else {
                    return status(400, "malformed");
                };
                let ttl = Duration::from_millis(body.int("ttl_ms"));
                let mut state = self.lock();
                state.last_lease += 1;
                let id = state.last_lease;
                let ends = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, ends });
                now(200, map! {"permit" => id})
            }
            ("GET", "/store") => self.page(&field("prefix"), &field("since"), &field("most")),
            ("GET", "/follow") => self.follow(&field("prefix"), &field("since"), &field("wait_ms")),
            _ => self.handle_named(method, path),
        }
    }

    fn handle_named(&self, method: &str, path: &str) -> Answer {
        let mut state = self.lock();
        if let Some(key) = path.strip_prefix("/store/").filter(|_| method == "GET") {
            return match state.keys.get(key) {
                Some(entry) => now(200, item(key, entry)),
                None => now(404, map! {"ledger_rev" => state.revision}),
            };
        }
        let Some(rest) = path.strip_prefix("/grants/") else {
            return status(404, "no such path");
        };
        let id: u64 = rest.trim_end_matches("/touch").parse().unwrap_or(0);
        if method == "DELETE" {
            let found = state.leases.remove(&id).is_some();
            state.drop_attached(id);
            self.changed.notify_all();
            return now(if found { 200 } else { 404 }, map! {});
        }
        match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                now(200, map! {"permit" => id})
            }
            None => status(404, "no such lease"),
        }
    }

    fn page(&self, prefix: &str, since: &str, most: &str) -> Answer {
        let state = self.lock();
        let most: usize = most.parse().unwrap_or(1000).min(1000);
        let mut rest = state
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > since);
        let items: Vec<V> = rest
            .by_ref()
            .take(most)
            .map(|(key, entry)| item(key, entry))
            .collect();
        let more = rest.next().is_some();
        now(
            200,
            map! {"items" => items, "more" => more, "ledger_rev" => state.revision},
        )
    }

    fn follow(&self, prefix: &str, since: &str, wait_ms: &str) -> Answer {
        let since: u64 = since.parse().unwrap_or(0);
        let wait = Duration::from_millis(wait_ms.parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.changes.len() == KEPT_CHANGES && since + 1 < state.changes[0].0 {
                return status(410, "too old");
            }
            let newer = state
                .changes
                .iter()
                .filter(|(n, key, _)| *n > since && key.starts_with(prefix));
            let news: Vec<V> = newer.map(|(_, _, change)| change.clone()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !news.is_empty() || left.is_zero() {
                return now(200, map! {"ledger_rev" => state.revision, "news" => news});
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.map_or_else(|e| e.into_inner().0, |(state, _)| state);
        }
    }

    fn txn(self: &Arc<Store>, body: &[u8]) -> Answer {
        let Some(txn) = V::decode(body) else {
            return status(400, "malformed");
        };
        let mut state = self.lock();
        if !state.writes.take(txn.list("writes").len() as f64) {
            return status(429, "too many changes");
        }
        let late = state.late.filter(|late| Instant::now() < late.until);
        let Some(late) = late else {
            let (status, body) = state.apply(&txn);
            self.changed.notify_all();
            return now(status, body);
        };
        state.late_count += 1;
        drop(state);
        let store = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(late.delay);
            let mut state = store.lock();
            let (status, _) = state.apply(&txn);
            state.late_outcomes.push(status);
            store.changed.notify_all();
        });
        Answer::Never
    }

    fn end_leases(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.ends < now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.leases.remove(&id);
            state.drop_attached(id);
            self.changed.notify_all();
        }
    }
}

impl State {
    fn apply(&mut self, txn: &V) -> (u16, V) {
        let (conditions, writes) = (txn.list("if"), txn.list("writes"));
        let too_large = |write: &V| {
            let size = write.get("v").map_or(0, |value| value.json().len());
            size as f64 > self.value_kb * 1024.0
        };
        if writes.len() > self.txn_ops
            || conditions.len() > self.txn_ops * 4
            || writes.iter().any(too_large)
            || txn.json().len() > 64 * 1024
        {
            return (400, map! {"error" => "malformed"});
        }
        let no_lease = |write: &V| {
            let permit = write.get("permit").filter(|permit| **permit != V::Null);
            permit.is_some() && !self.leases.contains_key(&write.int("permit"))
        };
        if writes.iter().any(no_lease) {
            return (400, map! {"error" => "no such lease"});
        }
        let stamp = |key: &str| self.keys.get(key).map_or(0, |entry| entry.stamp);
        let failed = conditions
            .iter()
            .filter(|c| stamp(&c.text("k")) != c.int("stamp"));
        let failed: Vec<V> = failed.map(|c| V::Text(c.text("k"))).collect();
        if !failed.is_empty() {
            return (
                409,
                map! {"failed" => failed, "ledger_rev" => self.revision},
            );
        }
        if !writes.is_empty() {
            self.revision += 1;
        }
        for write in &writes {
            if write.get("write").is_some() {
                let key = write.text("write");
                let value = write.get("v").cloned().unwrap_or(V::Null);
                let permit = write.get("permit").map(|_| write.int("permit"));
                let stamp = self.revision;
                let change = map! {"write" => key.clone(), "v" => V::Null, "stamp" => stamp};
                let V::Map(mut fields) = change else { continue };
                fields[1].1 = value.clone();
                self.log(stamp, &key, V::Map(fields));
                self.keys.insert(
                    key,
                    Entry {
                        value,
                        stamp,
                        permit,
                    },
                );
            } else {
                let key = write.text("drop");
                self.drop_key(&key);
            }
        }
        (200, map! {"ledger_rev" => self.revision})
    }

    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            let stamp = self.revision;
            self.log(stamp, key, map! {"drop" => key, "stamp" => stamp});
        }
    }

    fn drop_attached(&mut self, id: u64) {
        let attached = self
            .keys
            .iter()
            .filter(|(_, entry)| entry.permit == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        if !attached.is_empty() {
            self.revision += 1;
        }
        attached.iter().for_each(|key| self.drop_key(key));
    }

    fn log(&mut self, revision: u64, key: &str, change: V) {
        if self.changes.len() == KEPT_CHANGES {
            self.changes.remove(0);
        }
        self.changes.push((revision, key.into(), change));
    }
}

fn item(key: &str, entry: &Entry) -> V {
    let fields = map! {"k" => key, "v" => V::Null, "stamp" => entry.stamp};
    let V::Map(mut fields) = fields else {
        return fields;
    };
    fields[1].1 = entry.value.clone();
    if let Some(permit) = entry.permit {
        fields.push(("permit".into(), permit.into()));
    }
    V::Map(fields)
}

fn now(status: u16, body: V) -> Answer {
    Answer::Now(status, body.encode())
}

fn status(status: u16, error: &str) -> Answer {
    now(status, map! {"error" => error})
}
