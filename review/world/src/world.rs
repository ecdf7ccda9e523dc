//! One deployment: controllers, state service, cloud, workers and users.

use crate::cbor::{decode, encode, int, map, text, Value};
use crate::cloud::{Cloud, Kind, Rented};
use crate::fleet::{Fleet, Site};
use crate::http::Client;
use crate::judge::{Job, Judge};
use crate::record::Record;
use crate::store::{Endpoint, Store};
use crate::worker::{Addresses, Control, Times, Worker};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct World {
    pub record: Arc<Record>,
    pub judge: Arc<Judge>,
    pub store: Arc<Store>,
    pub endpoints: Vec<Endpoint>,
    pub cloud: Arc<Cloud>,
    pub fleet: Arc<Fleet>,
    pub workers: Arc<Mutex<BTreeMap<String, Arc<Mutex<Control>>>>>,
}

/// The site of `kit/sites/lakeside-preorder.toml`, with two of its ten teams.
pub fn lakeside() -> Site {
    Site {
        zones: vec!["toledo-dc", "hamilton-dc", "milwaukee-dc"],
        teams: vec![("ops-desk-1", 60.0, 180.0), ("ops-desk-2", 60.0, 180.0)],
        report_s: 3.0,
        lease_s: 45.0,
        gang_wait_s: 30.0,
        gang_peer_s: 6.0,
        cancel_s: 75.0,
        rps: 80.0,
        write_rps: 25.0,
        cloud_rps: 10.0,
        list_lag_s: 10.0,
        memory_mb: 200.0,
        max_sockets: 3500,
    }
}

/// The site of `kit/sites/kooperatif-sicil.toml`.
pub fn kooperatif() -> Site {
    Site {
        zones: vec!["ankara-oda"],
        teams: vec![
            ("uye-hizmetleri", 112.0, 248.0),
            ("tescil-ekibi", 144.0, 408.0),
            ("veri-odasi", 96.0, 328.0),
        ],
        report_s: 1.0,
        lease_s: 11.0,
        gang_wait_s: 40.0,
        gang_peer_s: 5.0,
        cancel_s: 36.0,
        rps: 60.0,
        write_rps: 20.0,
        cloud_rps: 4.0,
        list_lag_s: 8.0,
        memory_mb: 56.0,
        max_sockets: 600,
    }
}

pub fn till_box(yards: Vec<&'static str>) -> Kind {
    Kind {
        name: "till-box",
        vcpus: 4.0,
        mem_gb: 32.0,
        local_gb: 60.0,
        pull_gb_per_s: 1.0,
        hourly: 0.29,
        spot_price: 0.09,
        boot_s: 15.0,
        yards,
    }
}

pub fn kucuk_kasa() -> Kind {
    Kind {
        name: "kucuk-kasa",
        vcpus: 8.0,
        mem_gb: 32.0,
        local_gb: 80.0,
        pull_gb_per_s: 1.0,
        hourly: 0.53,
        spot_price: 0.2,
        boot_s: 25.0,
        yards: vec!["ankara-oda"],
    }
}

/// An array; the caller changes what differs.
pub fn array(id: &str, crew: &str, tickets: u32, vcpus: f64) -> Job {
    Job {
        id: id.into(),
        crew: crew.into(),
        gang: false,
        tickets,
        vcpus,
        mem_gb: 2.9,
        kit: "img-01".into(),
        image_gb: 0.2,
        chassis_list: None,
        one_zone: false,
        spread: false,
        loaners: true,
        bookmark_s: 0.0,
        stash_s: 0.0,
        expected_s: 20.0,
        run_s: 20.0,
        awaits: Vec::new(),
        urgency: "standard",
    }
}

impl World {
    pub fn new(
        site: Site,
        kinds: Vec<Kind>,
        most: usize,
        controllers: usize,
        root: &str,
        folder: &str,
        record: &str,
    ) -> Arc<World> {
        let record = Arc::new(Record::new(record));
        let limits: Vec<(&str, f64)> = site.teams.iter().map(|(n, _, max)| (*n, *max)).collect();
        let judge = Judge::new(&limits, site.cancel_s, record.clone());
        let store = Store::new(site.rps, site.write_rps, record.clone());
        let endpoints: Vec<Endpoint> = (0..controllers)
            .map(|i| store.endpoint(&format!("rung-{i}")))
            .collect();
        let cloud = Cloud::new(kinds, site.list_lag_s, most, record.clone());
        let state: Vec<_> = endpoints.iter().map(|e| e.addr).collect();
        let fleet = Fleet::new(&site, root, folder, cloud.serve(), &state, record.clone());
        let workers: Arc<Mutex<BTreeMap<String, Arc<Mutex<Control>>>>> = Arc::default();
        let nodes: Addresses = Arc::new(
            fleet
                .members
                .iter()
                .map(|m| (m.name.clone(), m.api))
                .collect(),
        );
        let times = Arc::new(Times {
            report_s: site.report_s,
            lease_s: site.lease_s,
            gang_wait_s: site.gang_wait_s,
        });
        let (started, judging) = (workers.clone(), judge.clone());
        cloud.on_up(move |rented: &Rented| {
            let mut workers = started.lock().unwrap();
            let first = workers.len();
            let control =
                Worker::start(rented, times.clone(), judging.clone(), nodes.clone(), first);
            workers.insert(rented.name.clone(), control);
        });
        let ending = workers.clone();
        cloud.on_gone(move |name| {
            if let Some(control) = ending.lock().unwrap().get(name) {
                control.lock().unwrap().gone = true;
            }
            // What is on a machine is gone when the cloud answers.
            thread::sleep(Duration::from_millis(30));
        });
        Arc::new(World {
            record,
            judge,
            store,
            endpoints,
            cloud,
            fleet: Arc::new(fleet),
            workers,
        })
    }

    pub fn now(&self) -> f64 {
        self.record.now()
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Waits until `done` returns a value, at most until `until`.
    pub fn wait_for<T>(&self, until: f64, mut done: impl FnMut() -> Option<T>) -> Option<T> {
        loop {
            if let Some(value) = done() {
                return Some(value);
            }
            if self.now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn is_ready(&self, i: usize) -> bool {
        let addr = self.fleet.members[i].api;
        let answer = Client::default().call(addr, "GET", "/ready", &[], Duration::from_secs(1));
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn control(&self, machine: &str) -> Option<Arc<Mutex<Control>>> {
        self.workers.lock().unwrap().get(machine).cloned()
    }

    fn ask(
        &self,
        i: usize,
        what: &str,
        id: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, String) {
        let before = self.judge.before(id);
        let timeout = Duration::from_secs(if what == "poll" { 2 } else { 5 });
        let answer = Client::default().call(self.fleet.members[i].api, method, path, body, timeout);
        let (status, body) = answer.unwrap_or((0, Vec::new()));
        let body = decode(&body).unwrap_or(Value::Null);
        let standing = body.get("standing").text().to_string();
        let counts = if what == "poll" && status == 200 {
            format!(
                " done {} running {}",
                body.get("done").int(),
                body.get("running").int()
            )
        } else {
            body.get("error").text().to_string()
        };
        self.record.line(format!(
            "user {what} {id} at rung-{i} -> {status} {standing} {counts}"
        ));
        self.judge.told(id, status, &standing, what, before);
        (status, standing)
    }

    pub fn submit(&self, i: usize, job: &Job) -> (u16, String) {
        if self.judge.job(&job.id).is_none() {
            self.record.line(format!(
                "job {}: {} of {} tasks of {} CPUs, {}, one_zone {} spread {}, awaits {:?}, runs {:.0} s",
                job.id,
                if job.gang { "ensemble" } else { "array" },
                job.tickets,
                job.vcpus,
                job.crew,
                job.one_zone,
                job.spread,
                job.awaits,
                job.run_s
            ));
        }
        self.judge.add_job(job);
        let types = match &job.chassis_list {
            Some(types) => Value::List(types.iter().map(text).collect()),
            None => Value::Null,
        };
        let mut fields = vec![
            ("name_id", text(&job.id)),
            (
                "docket",
                text(if job.gang {
                    "menu-merge"
                } else {
                    "prep-sheets"
                }),
            ),
            ("crew", text(&job.crew)),
            ("shape", text(if job.gang { "ensemble" } else { "array" })),
            ("urgency", text(job.urgency)),
            ("tickets", int(job.tickets.into())),
            ("vcpus", Value::Float(job.vcpus)),
            ("gpus", Value::Float(0.0)),
            ("mem_gb", Value::Float(job.mem_gb)),
            ("kit", text(&job.kit)),
            ("image_gb", Value::Float(job.image_gb)),
            ("chassis_list", types),
            ("yard", Value::Null),
            ("one_zone", Value::Bool(job.one_zone)),
            ("spread", Value::Bool(job.spread)),
            ("loaners", Value::Bool(job.loaners)),
            ("expected_s", Value::Float(job.expected_s)),
            ("bookmark_s", Value::Float(job.bookmark_s)),
            ("stash_s", Value::Float(job.stash_s)),
            ("due_s", Value::Null),
        ];
        if !job.awaits.is_empty() {
            fields.push(("awaits", Value::List(job.awaits.iter().map(text).collect())));
        }
        self.ask(
            i,
            "submit",
            &job.id,
            "POST",
            "/v2/runs",
            &encode(&map(fields)),
        )
    }

    pub fn poll(&self, i: usize, id: &str) -> (u16, String) {
        self.ask(i, "poll", id, "GET", &format!("/v2/runs/{id}"), &[])
    }

    pub fn cancel(&self, i: usize, id: &str) -> (u16, String) {
        self.judge.asks_cancel(id);
        self.ask(
            i,
            "cancel",
            id,
            "POST",
            &format!("/v2/runs/{id}/cancel"),
            &[],
        )
    }

    /// The controller that leads, by number.
    pub fn leader(&self) -> Option<usize> {
        self.fleet.index(&self.store.leader()?)
    }

    pub fn start_all(&self) -> bool {
        (0..self.fleet.members.len()).for_each(|i| self.fleet.start(i));
        let until = self.now() + 15.0;
        let all = 0..self.fleet.members.len();
        self.wait_for(until, || {
            all.clone().all(|i| self.is_ready(i)).then_some(())
        })
        .is_some()
    }
}
