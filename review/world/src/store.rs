//! A stand-in of the state service, as PROTOCOL-ladderroute.md describes it.

use crate::cbor::{decode, encode, int, map, text, Value};
use crate::http::{serve, Reply, Request};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What happens to one request of one controller.
#[derive(Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// 503: not carried out.
    Refuse,
    /// Carried out; the connection is reset before the answer.
    AnswerLost,
    /// Not carried out; the connection is reset.
    RequestLost,
    /// Carried out this many milliseconds later; no answer.
    Late(u64),
    /// Carried out at once, answered this many milliseconds later.
    Slow(u64),
}

type FaultOf = Box<dyn Fn(&Request, &str) -> Fault + Send>;
type Watcher = Box<dyn Fn(&str, &Value) + Send>;

struct Grant {
    ttl: Duration,
    ends: Instant,
}

struct Bucket {
    tokens: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket {
            tokens: rate,
            at: Instant::now(),
        }
    }

    fn take(&mut self, rate: f64, count: f64) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + rate * (now - self.at).as_secs_f64()).min(rate);
        self.at = now;
        if self.tokens < count {
            return false;
        }
        self.tokens -= count;
        true
    }
}

struct Data {
    keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    rev: u64,
    log: Vec<(u64, String, Option<Value>)>,
    grants: HashMap<u64, Grant>,
    next_grant: u64,
    requests: Bucket,
    writes: Bucket,
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    rps: f64,
    write_rps: f64,
    record: Arc<Record>,
    watcher: Mutex<Option<Watcher>>,
    /// Out for everybody.
    pub out: Mutex<bool>,
}

pub struct Endpoint {
    pub addr: SocketAddr,
    fault: Arc<Mutex<FaultOf>>,
}

impl Endpoint {
    pub fn set_fault(&self, fault: impl Fn(&Request, &str) -> Fault + Send + 'static) {
        *self.fault.lock().unwrap() = Box::new(fault);
    }

    pub fn clear(&self) {
        self.set_fault(|_, _| Fault::None);
    }
}

impl Store {
    pub fn new(rps: f64, write_rps: f64, record: Arc<Record>) -> Arc<Store> {
        let store = Arc::new(Store {
            data: Mutex::new(Data {
                keys: BTreeMap::new(),
                rev: 1,
                log: Vec::new(),
                grants: HashMap::new(),
                next_grant: 0,
                requests: Bucket::new(rps),
                writes: Bucket::new(write_rps),
            }),
            changed: Condvar::new(),
            rps,
            write_rps,
            record,
            watcher: Mutex::new(None),
            out: Mutex::new(false),
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(10));
            expiring.expire();
        });
        store
    }

    /// Calls `watcher` for each key that is written.
    pub fn watch(&self, watcher: impl Fn(&str, &Value) + Send + 'static) {
        *self.watcher.lock().unwrap() = Some(Box::new(watcher));
    }

    pub fn get(&self, key: &str) -> Option<Value> {
        let data = self.data.lock().unwrap();
        data.keys.get(key).map(|(value, _, _)| value.clone())
    }

    /// The member that leads, by the controllers' own record.
    pub fn leader(&self) -> Option<String> {
        self.get("lr/leader")
            .map(|v| v.get("member").text().to_string())
    }

    /// Opens an address for one controller.
    pub fn endpoint(self: &Arc<Store>, name: &str) -> Endpoint {
        let fault: Arc<Mutex<FaultOf>> = Arc::new(Mutex::new(Box::new(|_, _| Fault::None)));
        let (store, name, of) = (self.clone(), name.to_string(), fault.clone());
        let addr = serve(Arc::new(move |request| {
            let summary = summary(&request);
            let fault = (of.lock().unwrap())(&request, &summary);
            store.handle(&name, request, &summary, fault)
        }));
        Endpoint { addr, fault }
    }

    fn handle(
        self: &Arc<Store>,
        name: &str,
        request: Request,
        summary: &str,
        fault: Fault,
    ) -> Reply {
        let outage = *self.out.lock().unwrap();
        let is_write = request.method != "GET" && !request.path.ends_with("/touch");
        if fault == Fault::Refuse || outage {
            if is_write {
                self.record
                    .line(format!("store <- {name} {summary} -> 503"));
            }
            return Reply::Answer(503, encode(&map(vec![("error", text("trouble"))])));
        }
        if fault == Fault::RequestLost {
            self.record.line(format!(
                "store <- {name} {summary} -> lost, not carried out"
            ));
            return Reply::Reset;
        }
        if let Fault::Late(ms) = fault {
            let (store, name, summary) = (self.clone(), name.to_string(), summary.to_string());
            store
                .record
                .line(format!("store <- {name} {summary} -> held for {ms} ms"));
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(ms));
                let (status, _) = store.carry_out(&request);
                store.record.line(format!(
                    "store <- {name} {summary} late -> {status}, no answer"
                ));
            });
            thread::sleep(Duration::from_millis(ms.min(1500)));
            return Reply::Reset;
        }
        let (status, body) = self.carry_out(&request);
        if is_write || fault != Fault::None || status >= 400 && status != 404 {
            let note = match fault {
                Fault::AnswerLost => ", answer lost".to_string(),
                Fault::Slow(ms) => format!(", answered {ms} ms later"),
                _ => String::new(),
            };
            self.record
                .line(format!("store <- {name} {summary} -> {status}{note}"));
        }
        match fault {
            Fault::AnswerLost => Reply::Reset,
            Fault::Slow(ms) => {
                thread::sleep(Duration::from_millis(ms));
                Reply::Answer(status, body)
            }
            _ => Reply::Answer(status, body),
        }
    }

    fn carry_out(&self, request: &Request) -> (u16, Vec<u8>) {
        {
            let mut data = self.data.lock().unwrap();
            let rps = self.rps;
            if !data.requests.take(rps, 1.0) {
                return (429, Vec::new());
            }
        }
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
                .unwrap_or("")
        };
        let method = request.method.as_str();
        match (method, path) {
            ("POST", "/txn") => self.txn(&request.body),
            ("GET", "/follow") => self.follow(
                field("prefix"),
                field("since").parse().unwrap_or(0),
                field("wait_ms").parse().unwrap_or(0),
            ),
            ("GET", "/store") => self.range(
                field("prefix"),
                field("since"),
                field("most").parse().unwrap_or(1000),
            ),
            ("POST", "/grants") => self.grant(&request.body),
            _ if path.starts_with("/grants/") => {
                let id = path["/grants/".len()..]
                    .trim_end_matches("/touch")
                    .parse()
                    .unwrap_or(0);
                match method {
                    "DELETE" => self.end_grant(id),
                    _ => self.touch(id),
                }
            }
            _ => self.get_key(path.strip_prefix("/store/").unwrap_or("")),
        }
    }

    fn get_key(&self, key: &str) -> (u16, Vec<u8>) {
        let data = self.data.lock().unwrap();
        match data.keys.get(key) {
            Some((value, stamp, permit)) => {
                let permit = permit.map_or(Value::Null, int);
                let fields = vec![
                    ("k", text(key)),
                    ("v", value.clone()),
                    ("stamp", int(*stamp)),
                    ("permit", permit),
                ];
                (200, encode(&map(fields)))
            }
            None => (404, encode(&map(vec![("ledger_rev", int(data.rev))]))),
        }
    }

    fn range(&self, prefix: &str, since: &str, most: usize) -> (u16, Vec<u8>) {
        let data = self.data.lock().unwrap();
        let mut keys = data
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > since);
        let items: Vec<Value> = keys
            .by_ref()
            .take(most.min(1000))
            .map(|(k, (v, stamp, _))| {
                map(vec![
                    ("k", text(k)),
                    ("v", v.clone()),
                    ("stamp", int(*stamp)),
                ])
            })
            .collect();
        let more = Value::Bool(keys.next().is_some());
        let rev = int(data.rev);
        (
            200,
            encode(&map(vec![
                ("items", Value::List(items)),
                ("more", more),
                ("ledger_rev", rev),
            ])),
        )
    }

    fn follow(&self, prefix: &str, since: u64, wait_ms: u64) -> (u16, Vec<u8>) {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(60_000));
        let mut data = self.data.lock().unwrap();
        loop {
            if data.log.len() > 10_000 && since < data.log[data.log.len() - 10_000].0 {
                return (410, Vec::new());
            }
            let from = data.log.partition_point(|(rev, _, _)| *rev <= since);
            let newer = data.log[from..]
                .iter()
                .filter(|(_, k, _)| k.starts_with(prefix));
            let news: Vec<Value> = newer
                .map(|(rev, key, value)| match value {
                    Some(value) => map(vec![
                        ("write", text(key)),
                        ("v", value.clone()),
                        ("stamp", int(*rev)),
                    ]),
                    None => map(vec![("drop", text(key)), ("stamp", int(*rev))]),
                })
                .collect();
            let now = Instant::now();
            let out = *self.out.lock().unwrap();
            if !out && (!news.is_empty() || now >= until) {
                let fields = vec![("ledger_rev", int(data.rev)), ("news", Value::List(news))];
                return (200, encode(&map(fields)));
            }
            let left = until
                .saturating_duration_since(now)
                .max(Duration::from_millis(5));
            data = self
                .changed
                .wait_timeout(data, left.min(Duration::from_millis(50)))
                .unwrap()
                .0;
        }
    }

    fn txn(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(txn) = decode(body) else {
            return (400, encode(&map(vec![("error", text("malformed"))])));
        };
        let writes = txn.get("writes").list().to_vec();
        let mut data = self.data.lock().unwrap();
        if writes.len() > 12 || txn.get("if").list().len() > 48 {
            return (400, encode(&map(vec![("error", text("too many"))])));
        }
        let write_rps = self.write_rps;
        if !data.writes.take(write_rps, writes.len() as f64) {
            return (429, Vec::new());
        }
        for write in &writes {
            let permit = write.get("permit");
            if !permit.is_null() && !data.grants.contains_key(&permit.int()) {
                return (400, encode(&map(vec![("error", text("no such lease"))])));
            }
        }
        let stamp = |data: &Data, key: &str| data.keys.get(key).map_or(0, |(_, stamp, _)| *stamp);
        let failed: Vec<Value> = txn
            .get("if")
            .list()
            .iter()
            .filter(|c| stamp(&data, c.get("k").text()) != c.get("stamp").int())
            .map(|c| c.get("k").clone())
            .collect();
        if !failed.is_empty() {
            let fields = vec![
                ("failed", Value::List(failed)),
                ("ledger_rev", int(data.rev)),
            ];
            return (409, encode(&map(fields)));
        }
        if !writes.is_empty() {
            data.rev += 1;
        }
        let rev = data.rev;
        let mut written = Vec::new();
        for write in &writes {
            let dropped = write.get("drop");
            if dropped.is_null() {
                let (key, value) = (
                    write.get("write").text().to_string(),
                    write.get("v").clone(),
                );
                let permit = write.get("permit");
                let permit = (!permit.is_null()).then(|| permit.int());
                data.keys.insert(key.clone(), (value.clone(), rev, permit));
                data.log.push((rev, key.clone(), Some(value.clone())));
                written.push((key, value));
            } else if data.keys.remove(dropped.text()).is_some() {
                data.log.push((rev, dropped.text().to_string(), None));
            }
        }
        drop(data);
        self.changed.notify_all();
        if let Some(watcher) = &*self.watcher.lock().unwrap() {
            written.iter().for_each(|(key, value)| watcher(key, value));
        }
        (200, encode(&map(vec![("ledger_rev", int(rev))])))
    }

    fn grant(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let ttl = Duration::from_millis(decode(body).map_or(0, |v| v.get("ttl_ms").int()));
        let mut data = self.data.lock().unwrap();
        data.next_grant += 1;
        let id = data.next_grant;
        let ends = Instant::now() + ttl;
        data.grants.insert(id, Grant { ttl, ends });
        (200, encode(&map(vec![("permit", int(id))])))
    }

    fn touch(&self, id: u64) -> (u16, Vec<u8>) {
        let mut data = self.data.lock().unwrap();
        match data.grants.get_mut(&id) {
            Some(grant) => {
                grant.ends = Instant::now() + grant.ttl;
                (200, Vec::new())
            }
            None => (404, Vec::new()),
        }
    }

    fn end_grant(&self, id: u64) -> (u16, Vec<u8>) {
        let mut data = self.data.lock().unwrap();
        match data.grants.remove(&id) {
            Some(_) => {
                self.remove_attached(&mut data, id);
                (200, Vec::new())
            }
            None => (404, Vec::new()),
        }
    }

    fn remove_attached(&self, data: &mut Data, id: u64) {
        let attached = data
            .keys
            .iter()
            .filter(|(_, (_, _, permit))| *permit == Some(id));
        let attached: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in attached {
            data.keys.remove(&key);
            data.rev += 1;
            let rev = data.rev;
            self.record
                .line(format!("store: grant {id} has ended, {key} is gone"));
            data.log.push((rev, key, None));
        }
        self.changed.notify_all();
    }

    /// Ends grants that were not renewed. In an outage they stand still and then get their full time.
    fn expire(&self) {
        let out = *self.out.lock().unwrap();
        let mut data = self.data.lock().unwrap();
        let now = Instant::now();
        if out {
            for grant in data.grants.values_mut() {
                grant.ends = now + grant.ttl;
            }
            return;
        }
        let ended: Vec<u64> = data
            .grants
            .iter()
            .filter(|(_, g)| now > g.ends)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            data.grants.remove(&id);
            self.remove_attached(&mut data, id);
        }
    }
}

/// A request in a few words: for a transaction the keys that it writes.
fn summary(request: &Request) -> String {
    if request.path != "/txn" {
        return format!("{} {}", request.method, request.path);
    }
    let txn = decode(&request.body).unwrap_or(Value::Null);
    let keys = txn.get("writes").list().iter().map(|w| {
        let dropped = w.get("drop").text();
        if !dropped.is_empty() {
            return format!("-{dropped}");
        }
        let key = w.get("write").text();
        match key {
            "lr/leader" => format!(
                "{key}={}/{}",
                w.get("v").get("member").text(),
                w.get("v").get("token").int()
            ),
            _ if key.starts_with("lr/job/") => format!("{key}={}", w.get("v").get("state").text()),
            _ => key.to_string(),
        }
    });
    format!("txn {}", keys.collect::<Vec<_>>().join(" "))
}
