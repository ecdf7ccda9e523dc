//! A stand-in of the cloud. It rents machines, which start their workers after a boot time.

use crate::cbor::{decode, encode, int, map, text, Value};
use crate::http::{serve, Reply, Request};
use crate::record::Record;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub local_gb: f64,
    pub pull_gb_per_s: f64,
    pub hourly: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub yards: Vec<&'static str>,
}

#[derive(Clone)]
pub struct Rented {
    pub name: String,
    pub kind: Kind,
    pub yard: String,
    pub loaners: bool,
    pub rented_at: f64,
    pub up_at: Option<f64>,
    pub gone_at: Option<f64>,
}

type NameOf = Box<dyn FnMut(u64) -> u64 + Send>;
type BootOf = Box<dyn FnMut(&Rented, usize) -> Option<f64> + Send>;
type OnUp = Box<dyn Fn(&Rented) + Send + Sync>;
type OnGone = Box<dyn Fn(&str) + Send + Sync>;
type OnRelease = Box<dyn Fn(&[String]) + Send + Sync>;

pub struct Cloud {
    kinds: Vec<Kind>,
    pub machines: Mutex<BTreeMap<String, Rented>>,
    hires: Mutex<HashMap<String, Vec<String>>>,
    next_name: Mutex<u64>,
    name_of: Mutex<NameOf>,
    boot_of: Mutex<BootOf>,
    on_up: Mutex<Option<Arc<OnUp>>>,
    on_gone: Mutex<Option<Arc<OnGone>>>,
    on_release: Mutex<Option<Arc<OnRelease>>>,
    pub down: Mutex<bool>,
    list_lag_s: f64,
    most: usize,
    record: Arc<Record>,
}

impl Cloud {
    pub fn new(kinds: Vec<Kind>, list_lag_s: f64, most: usize, record: Arc<Record>) -> Arc<Cloud> {
        Arc::new(Cloud {
            kinds,
            machines: Mutex::default(),
            hires: Mutex::default(),
            next_name: Mutex::new(100),
            name_of: Mutex::new(Box::new(|n| n + 1)),
            boot_of: Mutex::new(Box::new(|rented, _| Some(rented.kind.boot_s))),
            on_up: Mutex::new(None),
            on_gone: Mutex::new(None),
            on_release: Mutex::new(None),
            down: Mutex::new(false),
            list_lag_s,
            most,
            record,
        })
    }

    /// Sets how the number of the next machine follows from the last one.
    pub fn set_names(&self, name_of: impl FnMut(u64) -> u64 + Send + 'static) {
        *self.name_of.lock().unwrap() = Box::new(name_of);
    }

    /// Sets the boot time of each machine, given its position in its request; `None`: it stays off
    /// until `start` is called.
    pub fn set_boot(&self, boot_of: impl FnMut(&Rented, usize) -> Option<f64> + Send + 'static) {
        *self.boot_of.lock().unwrap() = Box::new(boot_of);
    }

    pub fn on_up(&self, call: impl Fn(&Rented) + Send + Sync + 'static) {
        *self.on_up.lock().unwrap() = Some(Arc::new(Box::new(call)));
    }

    pub fn on_gone(&self, call: impl Fn(&str) + Send + Sync + 'static) {
        *self.on_gone.lock().unwrap() = Some(Arc::new(Box::new(call)));
    }

    /// Sets what happens between a release request and its effect.
    pub fn on_release(&self, call: impl Fn(&[String]) + Send + Sync + 'static) {
        *self.on_release.lock().unwrap() = Some(Arc::new(Box::new(call)));
    }

    pub fn serve(self: &Arc<Cloud>) -> SocketAddr {
        let cloud = self.clone();
        serve(Arc::new(move |request| cloud.handle(&request)))
    }

    fn handle(self: &Arc<Cloud>, request: &Request) -> Reply {
        if *self.down.lock().unwrap() {
            return Reply::Answer(503, encode(&map(vec![("error", text("trouble"))])));
        }
        thread::sleep(Duration::from_millis(100));
        let path = request.path.split('?').next().unwrap_or("");
        let (status, body) = match (request.method.as_str(), path) {
            ("GET", "/catalog") => (200, self.catalog()),
            ("GET", "/machines") => (200, self.list()),
            ("POST", "/machines") => self.rent(&decode(&request.body).unwrap_or(Value::Null)),
            ("POST", "/machines/release") => (
                200,
                self.release(&decode(&request.body).unwrap_or(Value::Null)),
            ),
            _ => (404, Value::Null),
        };
        Reply::Answer(status, encode(&body))
    }

    fn catalog(&self) -> Value {
        let kinds = self.kinds.iter().map(|kind| {
            map(vec![
                ("name", text(kind.name)),
                ("vcpus", Value::Float(kind.vcpus)),
                ("gpus", Value::Float(0.0)),
                ("mem_gb", Value::Float(kind.mem_gb)),
                ("local_gb", Value::Float(kind.local_gb)),
                ("pull_gb_per_s", Value::Float(kind.pull_gb_per_s)),
                ("hourly", Value::Float(kind.hourly)),
                ("spot_price", Value::Float(kind.spot_price)),
                ("boot_s", Value::Float(kind.boot_s)),
                (
                    "yards",
                    Value::List(kind.yards.iter().map(|y| text(*y)).collect()),
                ),
            ])
        });
        map(vec![("chassis_list", Value::List(kinds.collect()))])
    }

    /// The list as it was `list_lag_s` ago.
    fn list(&self) -> Value {
        let then = self.record.now() - self.list_lag_s;
        let machines = self.machines.lock().unwrap();
        let listed = machines
            .values()
            .filter(|m| m.rented_at <= then && m.gone_at.is_none_or(|gone_at| gone_at > then));
        let rungs = listed.map(|m| {
            let standing = if m.up_at.is_some_and(|at| at <= then) {
                "running"
            } else {
                "booting"
            };
            map(vec![
                ("name_id", text(&m.name)),
                ("addr", text("127.0.0.1:9")),
                ("chassis", text(m.kind.name)),
                ("yard", text(&m.yard)),
                ("loaners", Value::Bool(m.loaners)),
                ("standing", text(standing)),
                ("held_s", Value::Float(then - m.rented_at)),
            ])
        });
        map(vec![
            ("rungs", Value::List(rungs.collect())),
            ("more", Value::Bool(false)),
        ])
    }

    fn rent(self: &Arc<Cloud>, request: &Value) -> (u16, Value) {
        let (hire, chassis) = (request.get("hire").text(), request.get("chassis").text());
        let mut hires = self.hires.lock().unwrap();
        if let Some(names) = hires.get(hire) {
            return (200, names_value(names));
        }
        let Some(kind) = self.kinds.iter().find(|kind| kind.name == chassis) else {
            return (400, Value::Null);
        };
        let held = self
            .machines
            .lock()
            .unwrap()
            .values()
            .filter(|m| m.gone_at.is_none())
            .count();
        let count = (request.get("count").int() as usize).min(self.most.saturating_sub(held));
        if count == 0 {
            return (503, map(vec![("error", text("no capacity"))]));
        }
        let mut names = Vec::new();
        for position in 0..count {
            let mut next = self.next_name.lock().unwrap();
            *next = (self.name_of.lock().unwrap())(*next);
            let rented = Rented {
                name: format!("host-{:06}", *next),
                kind: kind.clone(),
                yard: request.get("yard").text().to_string(),
                loaners: request.get("loaners").is_true(),
                rented_at: self.record.now(),
                up_at: None,
                gone_at: None,
            };
            let boot = (self.boot_of.lock().unwrap())(&rented, position);
            names.push(rented.name.clone());
            self.machines
                .lock()
                .unwrap()
                .insert(rented.name.clone(), rented.clone());
            if let Some(boot_s) = boot {
                let cloud = self.clone();
                thread::spawn(move || {
                    thread::sleep(Duration::from_secs_f64(boot_s));
                    cloud.start(&rented.name);
                });
            }
        }
        self.record.line(format!(
            "cloud <- rent {hire} {count} {chassis} -> {}",
            names.join(",")
        ));
        hires.insert(hire.to_string(), names.clone());
        (200, names_value(&names))
    }

    /// A machine is up: its worker starts.
    pub fn start(&self, name: &str) {
        let now = self.record.now();
        let rented = {
            let mut machines = self.machines.lock().unwrap();
            let Some(rented) = machines.get_mut(name) else {
                return;
            };
            if rented.gone_at.is_some() || rented.up_at.is_some() {
                return;
            }
            rented.up_at = Some(now);
            rented.clone()
        };
        self.record.line(format!(
            "cloud: {name} is up, {:.1} s after its rental",
            now - rented.rented_at
        ));
        let call = self.on_up.lock().unwrap().clone();
        if let Some(call) = call {
            call(&rented);
        }
    }

    /// The cloud takes a machine back.
    pub fn take_back(&self, name: &str) {
        let now = self.record.now();
        if let Some(rented) = self.machines.lock().unwrap().get_mut(name) {
            rented.gone_at.get_or_insert(now);
        }
        self.record.line(format!("cloud: {name} is taken back"));
        let call = self.on_gone.lock().unwrap().clone();
        if let Some(call) = call {
            call(name);
        }
    }

    fn release(&self, request: &Value) -> Value {
        let names: Vec<String> = request
            .get("rungs")
            .list()
            .iter()
            .map(|n| n.text().to_string())
            .collect();
        self.record
            .line(format!("cloud <- release {}", names.join(",")));
        let call = self.on_release.lock().unwrap().clone();
        if let Some(call) = call {
            call(&names);
        }
        for name in &names {
            let gone_at = self.record.now();
            if let Some(rented) = self.machines.lock().unwrap().get_mut(name) {
                rented.gone_at.get_or_insert(gone_at);
            }
            let call = self.on_gone.lock().unwrap().clone();
            if let Some(call) = call {
                call(name);
            }
        }
        self.record
            .line(format!("cloud: gone are {}; answers 200", names.join(",")));
        map(vec![("gone", int(names.len() as u64))])
    }
}

fn names_value(names: &[String]) -> Value {
    map(vec![(
        "rungs",
        Value::List(names.iter().map(text).collect()),
    )])
}
