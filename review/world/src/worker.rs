//! A stand-in of a worker: one per machine, as PROTOCOL-ladderroute.md describes it. It offers no
//! direct commands, which the controllers do not use.

use crate::cbor::{decode, encode, int, map, text, Value};
use crate::cloud::Rented;
use crate::http::Client;
use crate::judge::{Job, Judge, Place};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Times {
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
}

/// What a test may do to a worker, and what it sees of it.
#[derive(Default)]
pub struct Control {
    /// Nothing reaches the worker, nothing leaves it.
    pub cut: bool,
    /// Reports arrive, answers are lost.
    pub deaf: bool,
    /// The machine hangs until then.
    pub hang_until: f64,
    pub gone: bool,
    /// When the cloud takes the machine away, once it has given notice.
    pub notice_until: Option<f64>,
    /// When the next regular report goes out; within a quarter of `report_s` either way.
    pub next_report_at: Option<f64>,
    pub last_report_at: f64,
    pub last_answered_at: f64,
    pub target: String,
    pub baton: u64,
    pub live: usize,
    /// When the report was sent whose answer last launched a task.
    pub launched_at: f64,
    /// A copy of each report is delivered again this much later, to the controller with this number.
    pub copy: Option<(f64, usize)>,
}

#[derive(Clone, Debug, PartialEq)]
enum State {
    Fetching(f64),
    Gathering(f64),
    /// When the run began, and the progress it began with.
    Running(f64, f64),
    Flushing(f64, f64),
    Exited(&'static str, bool),
}

struct Task {
    ticket: String,
    attempt: u64,
    job: Option<Job>,
    state: State,
}

pub type Addresses = Arc<Vec<(String, SocketAddr)>>;

struct Answer {
    sent_at: f64,
    shift: u64,
    to: String,
    response: Option<(u16, Vec<u8>)>,
}

pub struct Worker {
    place: Place,
    rented: Rented,
    times: Arc<Times>,
    judge: Arc<Judge>,
    pub control: Arc<Mutex<Control>>,
    nodes: Addresses,
    at: usize,
    shift: u64,
    tick: u64,
    baton: u64,
    baton_told_at: f64,
    baton_changed: bool,
    tasks: BTreeMap<(String, u64), Task>,
    images: Vec<String>,
    lease_from: f64,
    changed: bool,
    last_report_at: f64,
    next_report_at: f64,
    not_before: f64,
    seed: u64,
    in_flight: bool,
    notice_until: Option<f64>,
}

impl Worker {
    /// Starts the worker of a machine that is up.
    pub fn start(
        rented: &Rented,
        times: Arc<Times>,
        judge: Arc<Judge>,
        nodes: Addresses,
        first: usize,
    ) -> Arc<Mutex<Control>> {
        let control: Arc<Mutex<Control>> = Arc::default();
        let now = judge.record.now();
        let seed = rented
            .name
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(b.into()));
        let worker = Worker {
            place: Place {
                machine: rented.name.clone(),
                chassis: rented.kind.name.to_string(),
                yard: rented.yard.clone(),
                loaners: rented.loaners,
            },
            rented: rented.clone(),
            times,
            judge,
            control: control.clone(),
            at: first % nodes.len(),
            nodes,
            shift: 1,
            tick: 0,
            baton: 0,
            baton_told_at: f64::MIN,
            baton_changed: false,
            tasks: BTreeMap::new(),
            images: Vec::new(),
            lease_from: now,
            changed: false,
            last_report_at: f64::MIN,
            next_report_at: now,
            not_before: now,
            seed,
            in_flight: false,
            notice_until: None,
        };
        thread::spawn(move || worker.run());
        control
    }

    fn random(&mut self) -> f64 {
        self.seed ^= self.seed << 13;
        self.seed ^= self.seed >> 7;
        self.seed ^= self.seed << 17;
        (self.seed >> 11) as f64 / (1u64 << 53) as f64
    }

    fn run(mut self) {
        let (to_net, requests) = channel::<(usize, Vec<u8>, f64, u64)>();
        let (answers, from_net) = channel::<Answer>();
        let net = Net {
            nodes: self.nodes.clone(),
            control: self.control.clone(),
            judge: self.judge.clone(),
        };
        thread::spawn(move || net.run(requests, answers));
        let mut hung_since: Option<f64> = None;
        loop {
            thread::sleep(Duration::from_millis(5));
            let now = self.judge.record.now();
            let (gone, hang_until, notice) = {
                let mut control = self.control.lock().unwrap();
                control.target = self.nodes[self.at].0.clone();
                control.baton = self.baton;
                control.live = self.live().count();
                (control.gone, control.hang_until, control.notice_until)
            };
            self.changed |= notice.is_some() != self.notice_until.is_some();
            self.notice_until = notice;
            if gone {
                self.kill_all("its machine is gone");
                return;
            }
            if now < hang_until {
                hung_since.get_or_insert(now);
                // The tasks of a hung machine count as gone when its lease has ended.
                if now - self.lease_from > self.times.lease_s {
                    self.end_session(now);
                }
                continue;
            }
            if let Some(since) = hung_since.take() {
                self.shift_runs(now - since);
            }
            if now - self.lease_from > self.times.lease_s {
                self.end_session(now);
            }
            self.advance(now);
            while let Ok(answer) = from_net.try_recv() {
                self.in_flight = false;
                self.on_answer(answer, now);
            }
            self.report_if_due(now, &to_net);
        }
    }

    fn live(&self) -> impl Iterator<Item = &Task> {
        self.tasks
            .values()
            .filter(|t| !matches!(t.state, State::Exited(..)))
    }

    fn end_session(&mut self, now: f64) {
        let machine = self.place.machine.clone();
        self.judge
            .record
            .line(format!("worker {machine}: its lease has ended"));
        self.kill_all("lease ended");
        self.shift += 1;
        self.lease_from = now;
        self.changed = true;
    }

    fn kill_all(&mut self, why: &str) {
        for task in self.tasks.values() {
            self.judge
                .task_off(&self.place.machine, &task.ticket, task.attempt, why);
        }
        self.tasks.clear();
    }

    fn shift_runs(&mut self, by: f64) {
        for task in self.tasks.values_mut() {
            match &mut task.state {
                State::Fetching(until) | State::Gathering(until) | State::Flushing(until, _) => {
                    *until += by
                }
                State::Running(since, _) => *since += by,
                State::Exited(..) => {}
            }
        }
    }

    fn advance(&mut self, now: f64) {
        let (judge, place) = (self.judge.clone(), self.place.clone());
        for task in self.tasks.values_mut() {
            let Some(job) = &task.job else {
                continue;
            };
            let before = task.state.clone();
            let machine = &place.machine;
            match before.clone() {
                State::Fetching(until) if now >= until => {
                    if !self.images.contains(&job.kit) {
                        self.images.push(job.kit.clone());
                    }
                    judge.task_on(&place, &task.ticket, task.attempt);
                    task.state = if judge.has_result(&task.ticket) {
                        judge.task_off(machine, &task.ticket, task.attempt, "done");
                        State::Exited("done", false)
                    } else if job.gang && !judge.gather(&job.id, task.attempt, &task.ticket) {
                        State::Gathering(now + self.times.gang_wait_s)
                    } else {
                        State::Running(now, judge.saved(&task.ticket))
                    };
                }
                State::Gathering(until) => {
                    if judge.gather(&job.id, task.attempt, &task.ticket) {
                        task.state = State::Running(now, judge.saved(&task.ticket));
                    } else if now > until {
                        judge.task_off(machine, &task.ticket, task.attempt, "incomplete");
                        task.state = State::Exited("incomplete", false);
                    }
                }
                State::Running(since, from) => {
                    let progress = from + now - since;
                    if job.bookmark_s > 0.0 && !job.gang {
                        judge.save(
                            &task.ticket,
                            (progress / job.bookmark_s).floor() * job.bookmark_s,
                        );
                    }
                    if progress >= job.run_s || job.gang && judge.has_result(&task.ticket) {
                        judge.task_off(machine, &task.ticket, task.attempt, "done");
                        task.state = State::Exited("done", false);
                    }
                }
                State::Flushing(until, progress) if now >= until => {
                    judge.save(&task.ticket, progress);
                    judge.task_off(machine, &task.ticket, task.attempt, "stopped");
                    task.state = State::Exited("stopped", true);
                }
                _ => {}
            }
            self.changed |= task.state != before;
        }
    }

    fn report_if_due(&mut self, now: f64, net: &Sender<(usize, Vec<u8>, f64, u64)>) {
        if let Some(at) = self.control.lock().unwrap().next_report_at.take() {
            self.next_report_at = at;
        }
        if self.in_flight || now < self.not_before {
            return;
        }
        let baton_due = self.baton_changed && now - self.baton_told_at >= self.times.lease_s / 2.0;
        let changed = (self.changed || baton_due) && now - self.last_report_at >= 0.5;
        if !changed && now < self.next_report_at {
            return;
        }
        if self.baton_changed {
            self.baton_changed = false;
            self.baton_told_at = now;
        }
        self.changed = false;
        self.tick += 1;
        self.last_report_at = now;
        self.next_report_at = now + self.times.report_s * (0.75 + 0.5 * self.random());
        self.control.lock().unwrap().last_report_at = now;
        self.in_flight = true;
        let _ = net.send((self.at, encode(&self.report()), now, self.shift));
    }

    fn report(&self) -> Value {
        let tickets = self.tasks.values().map(|task| {
            let standing = match &task.state {
                State::Fetching(_) => "fetching",
                State::Gathering(_) => "gathering",
                State::Running(..) => "running",
                State::Flushing(..) => "flushing",
                State::Exited(..) => "exited",
            };
            let mut fields = vec![
                ("ticket", text(&task.ticket)),
                ("try", int(task.attempt)),
                ("standing", text(standing)),
            ];
            if let State::Exited(cause, stored) = &task.state {
                fields.push(("cause", text(*cause)));
                if *stored {
                    fields.push(("stored", Value::Bool(true)));
                }
            }
            map(fields)
        });
        let left = |until: f64| Value::Float((until - self.judge.record.now()).max(0.0));
        let recall = self.notice_until.map_or(Value::Null, left);
        map(vec![
            ("rung", text(&self.place.machine)),
            ("addr", text("127.0.0.1:9")),
            ("chassis", text(&self.place.chassis)),
            ("yard", text(&self.place.yard)),
            ("loaners", Value::Bool(self.place.loaners)),
            ("shift", int(self.shift)),
            ("tick", int(self.tick)),
            ("baton", int(self.baton)),
            ("recall_s", recall),
            ("tickets", Value::List(tickets.collect())),
        ])
    }

    fn next_node(&mut self, now: f64) {
        self.at = (self.at + 1) % self.nodes.len();
        self.not_before = now + 1.0;
        self.next_report_at = self.not_before;
    }

    fn on_answer(&mut self, answer: Answer, now: f64) {
        let machine = self.place.machine.clone();
        let record = self.judge.record.clone();
        let Some((status, body)) = answer.response else {
            record.line(format!(
                "worker {machine}: report to {} got no answer",
                answer.to
            ));
            return self.next_node(now);
        };
        let body = decode(&body).unwrap_or(Value::Null);
        match status {
            200 => {}
            421 => {
                let foreman = body.get("foreman").text();
                let known = self.nodes.iter().position(|(name, _)| name == foreman);
                match known.filter(|at| *at != self.at) {
                    Some(at) => {
                        self.at = at;
                        self.next_report_at = now;
                    }
                    None => self.next_node(now),
                }
                return;
            }
            _ => return self.next_node(now),
        }
        let baton = body.get("baton");
        if baton.is_null() || baton.int() < self.baton || answer.shift != self.shift {
            return;
        }
        if baton.int() > self.baton {
            self.baton = baton.int();
            self.baton_changed = true;
        }
        self.lease_from = self.lease_from.max(answer.sent_at);
        self.control.lock().unwrap().last_answered_at = now;
        for order in body.get("orders").list() {
            let (verb, ticket) = (order.get("verb").text(), order.get("ticket").text());
            let attempt = order.get("try").int();
            record.line(format!(
                "worker {machine} <- {} baton {} {verb} {ticket} try {attempt}",
                answer.to, self.baton
            ));
            match verb {
                "launch" => {
                    self.control.lock().unwrap().launched_at = answer.sent_at;
                    self.launch(ticket, attempt, now);
                }
                "halt" => self.halt(ticket, attempt, order.get("winddown_s").num(), now),
                "clear" => {
                    let key = (ticket.to_string(), attempt);
                    if matches!(
                        self.tasks.get(&key).map(|t| &t.state),
                        Some(State::Exited(..))
                    ) {
                        self.tasks.remove(&key);
                        self.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&mut self, ticket: &str, attempt: u64, now: f64) {
        let key = (ticket.to_string(), attempt);
        if self.tasks.contains_key(&key) {
            return;
        }
        self.changed = true;
        let job = self.judge.job(ticket.split('/').next().unwrap_or(""));
        let in_use = self.live().any(|task| task.ticket == ticket);
        let used = |of: fn(&Job) -> f64| -> f64 {
            self.live()
                .filter_map(|task| task.job.as_ref())
                .map(of)
                .sum()
        };
        let (cpus, mem) = (used(|j| j.vcpus), used(|j| j.mem_gb));
        let state = match &job {
            None => State::Exited("no_such", false),
            _ if in_use => State::Exited("in_use", false),
            Some(job)
                if cpus + job.vcpus > self.rented.kind.vcpus + 1e-6
                    || mem + job.mem_gb > self.rented.kind.mem_gb + 1e-6 =>
            {
                State::Exited("full", false)
            }
            Some(job) if self.images.contains(&job.kit) => State::Fetching(now),
            Some(job) => State::Fetching(now + job.image_gb / self.rented.kind.pull_gb_per_s),
        };
        let task = Task {
            ticket: ticket.to_string(),
            attempt,
            job,
            state,
        };
        self.tasks.insert(key, task);
    }

    fn halt(&mut self, ticket: &str, attempt: u64, winddown_s: f64, now: f64) {
        let Some(task) = self.tasks.get_mut(&(ticket.to_string(), attempt)) else {
            return;
        };
        let Some(job) = &task.job else {
            return;
        };
        let saves = job.bookmark_s > 0.0 && winddown_s >= job.stash_s;
        match task.state.clone() {
            State::Exited(..) => return,
            State::Running(since, from) if saves => {
                task.state = State::Flushing(now + job.stash_s, from + now - since);
            }
            State::Flushing(..) if winddown_s > 0.0 => return,
            _ => {
                self.judge
                    .task_off(&self.place.machine, ticket, attempt, "stopped");
                task.state = State::Exited("stopped", false);
            }
        }
        self.changed = true;
    }
}

/// Sends the reports, one at a time.
struct Net {
    nodes: Addresses,
    control: Arc<Mutex<Control>>,
    judge: Arc<Judge>,
}

impl Net {
    fn run(self, requests: Receiver<(usize, Vec<u8>, f64, u64)>, answers: Sender<Answer>) {
        let mut client = Client::default();
        for (at, body, sent_at, shift) in requests {
            let timeout = Duration::from_secs(4);
            let (name, addr) = self.nodes[at].clone();
            let (cut, copy) = {
                let control = self.control.lock().unwrap();
                (control.cut, control.copy)
            };
            let mut response = None;
            if !cut {
                if let Some((after_s, to)) = copy {
                    let (to, body) = (self.nodes[to % self.nodes.len()].1, body.clone());
                    thread::spawn(move || {
                        thread::sleep(Duration::from_secs_f64(after_s));
                        Client::default().call(to, "POST", "/agent/beat", &body, timeout);
                    });
                }
                response = client.call(addr, "POST", "/agent/beat", &body, timeout);
            }
            let lost = {
                let control = self.control.lock().unwrap();
                control.cut || control.deaf
            };
            if cut || lost {
                client.close();
                response = None;
                let waited = self.judge.record.now() - sent_at;
                thread::sleep(Duration::from_secs_f64((4.0 - waited).max(0.0)));
            }
            let answer = Answer {
                sent_at,
                shift,
                to: name,
                response,
            };
            if answers.send(answer).is_err() {
                return;
            }
        }
    }
}
