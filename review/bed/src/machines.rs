//! The cloud and the workers on its machines, as the protocol describes them.

use crate::cbor::V;
use crate::http::{self, Answer};
use crate::map;
use crate::world::{Record, World};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A machine type of the catalog.
#[derive(Clone)]
pub struct Kind {
    pub name: &'static str,
    pub cpus: f64,
    pub memory_gb: f64,
    pub price: f64,
    /// Nominal boot time.
    pub boot_s: f64,
    /// Time after which the machines are up.
    pub up_s: f64,
    pub zones: Vec<&'static str>,
}

/// A task that a user has described.
#[derive(Clone)]
pub struct Work {
    pub cpus: f64,
    pub memory_gb: f64,
    pub image_gb: f64,
    /// Run time of each task.
    pub run_s: Vec<f64>,
}

#[derive(Clone)]
struct Machine {
    kind: Kind,
    zone: String,
    spot: bool,
    created: Instant,
    alive: Arc<AtomicBool>,
}

struct State {
    machines: BTreeMap<String, Machine>,
    hires: BTreeMap<String, Vec<String>>,
    count: u32,
    /// Names of machines that were released, with the controller that asked.
    released: Vec<(String, String)>,
}

/// The cloud.
pub struct Cloud {
    state: Mutex<State>,
    kinds: Vec<Kind>,
    list_lag_s: f64,
}

impl Cloud {
    pub fn new(kinds: Vec<Kind>, list_lag_s: f64) -> Arc<Cloud> {
        Arc::new(Cloud {
            state: Mutex::new(State {
                machines: BTreeMap::new(),
                hires: BTreeMap::new(),
                count: 0,
                released: Vec::new(),
            }),
            kinds,
            list_lag_s,
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the machines that were released.
    pub fn released(&self) -> Vec<String> {
        self.lock()
            .released
            .iter()
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Ends all workers.
    pub fn end(&self) {
        for machine in self.lock().machines.values() {
            machine.alive.store(false, Ordering::SeqCst);
        }
    }

    /// Serves a controller at an address of its own.
    pub fn open(self: &Arc<Cloud>, world: &Arc<World>, member: &str) -> SocketAddr {
        let (cloud, world, member) = (self.clone(), world.clone(), member.to_string());
        http::serve(Arc::new(move |method, path, body| {
            let (status, body) = cloud.handle(&world, &member, method, path, body);
            Answer::Now(status, body.encode())
        }))
    }

    fn handle(
        &self,
        world: &Arc<World>,
        member: &str,
        method: &str,
        path: &str,
        body: &[u8],
    ) -> (u16, V) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let body = V::decode(body).unwrap_or(V::Null);
        match (method, path) {
            ("GET", "/catalog") => (200, self.catalog()),
            ("GET", "/machines") => (200, self.list(query)),
            ("POST", "/machines") => self.hire(world, member, &body),
            ("POST", "/machines/release") => {
                for name in body.list("rungs") {
                    let V::Text(name) = name else { continue };
                    self.release(world, member, &name);
                }
                (200, map! {})
            }
            _ => (400, map! {"error" => "malformed"}),
        }
    }

    fn catalog(&self) -> V {
        let kinds = self.kinds.iter().map(|kind| {
            let zones: Vec<V> = kind.zones.iter().map(|zone| V::from(*zone)).collect();
            map! {"name" => kind.name, "vcpus" => kind.cpus, "gpus" => 0.0,
            "mem_gb" => kind.memory_gb, "local_gb" => 60.0, "pull_gb_per_s" => 1.0,
            "hourly" => kind.price, "spot_price" => kind.price / 3.0,
            "boot_s" => kind.boot_s, "yards" => zones}
        });
        map! {"chassis_list" => kinds.collect::<Vec<V>>()}
    }

    fn list(&self, query: &str) -> V {
        let field = |name: &str| {
            query
                .split('&')
                .find_map(|f| f.strip_prefix(name)?.strip_prefix('='))
        };
        let since = field("since").unwrap_or("");
        let most: usize = field("most")
            .and_then(|m| m.parse().ok())
            .unwrap_or(500)
            .min(500);
        let state = self.lock();
        let listed = state.machines.iter().filter(|(name, machine)| {
            name.as_str() > since && machine.created.elapsed().as_secs_f64() >= self.list_lag_s
        });
        let mut rest = listed;
        let rungs: Vec<V> = rest
            .by_ref()
            .take(most)
            .map(|(name, machine)| {
                let age_s = machine.created.elapsed().as_secs_f64() - self.list_lag_s;
                let up = age_s >= machine.kind.up_s;
                map! {"name_id" => name.clone(), "addr" => "127.0.0.1:1",
                "chassis" => machine.kind.name, "yard" => machine.zone.clone(),
                "loaners" => machine.spot,
                "standing" => if up { "running" } else { "booting" }, "held_s" => age_s}
            })
            .collect();
        let more = rest.next().is_some();
        map! {"rungs" => rungs, "more" => more}
    }

    fn hire(&self, world: &Arc<World>, member: &str, body: &V) -> (u16, V) {
        let name = body.text("hire");
        let mut state = self.lock();
        if let Some(rungs) = state.hires.get(&name) {
            let rungs: Vec<V> = rungs.iter().map(|r| V::from(r.as_str())).collect();
            return (200, map! {"rungs" => rungs});
        }
        let Some(kind) = self
            .kinds
            .iter()
            .find(|kind| kind.name == body.text("chassis"))
        else {
            return (400, map! {"error" => "malformed"});
        };
        let mut rungs = Vec::new();
        for _ in 0..body.int("count").min(50) {
            state.count += 1;
            let rung = format!("host-{:06}", state.count);
            let machine = Machine {
                kind: kind.clone(),
                zone: body.text("yard"),
                spot: body.bool("loaners"),
                created: Instant::now(),
                alive: Arc::new(AtomicBool::new(true)),
            };
            state.machines.insert(rung.clone(), machine.clone());
            let (world, named) = (world.clone(), rung.clone());
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs_f64(machine.kind.up_s));
                Worker::new(world, named, machine).run();
            });
            rungs.push(rung);
        }
        world.note(&format!(
            "cloud: {member} hires {name}: {}",
            rungs.join(" ")
        ));
        state.hires.insert(name, rungs.clone());
        let rungs: Vec<V> = rungs.into_iter().map(V::from).collect();
        (200, map! {"rungs" => rungs})
    }

    fn release(&self, world: &Arc<World>, member: &str, name: &str) {
        let mut state = self.lock();
        if let Some(machine) = state.machines.remove(name) {
            machine.alive.store(false, Ordering::SeqCst);
            world.note(&format!("cloud: {member} releases {name}"));
            state.released.push((name.into(), member.into()));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Standing {
    Fetching,
    Running,
    Exited(&'static str),
}

struct Task {
    attempt: u64,
    standing: Standing,
    /// When the present state ends.
    ends: Instant,
    run_s: f64,
    cpus: f64,
    memory_gb: f64,
}

/// The worker of a machine.
struct Worker {
    world: Arc<World>,
    name: String,
    machine: Machine,
    session: u64,
    tick: u64,
    baton: u64,
    tasks: BTreeMap<String, Task>,
    /// When the last answered report was sent, or when the session began.
    renewed: Instant,
    node: usize,
    rng: u64,
    /// Whether something has changed that the worker reports at once.
    changed: bool,
    token_reported: Instant,
}

impl Worker {
    fn new(world: Arc<World>, name: String, machine: Machine) -> Worker {
        let rng = name
            .bytes()
            .fold(7u64, |h, b| h.wrapping_mul(31).wrapping_add(u64::from(b)));
        Worker {
            node: rng as usize,
            world,
            name,
            machine,
            session: 1,
            tick: 0,
            baton: 0,
            tasks: BTreeMap::new(),
            renewed: Instant::now(),
            rng,
            changed: false,
            token_reported: Instant::now() - Duration::from_secs(3600),
        }
    }

    fn random(&mut self) -> f64 {
        self.rng = self
            .rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.rng >> 33) as f64 / (1u64 << 31) as f64
    }

    fn is_alive(&self) -> bool {
        self.machine.alive.load(Ordering::SeqCst)
    }

    fn run(mut self) {
        let mut last = Instant::now() - Duration::from_secs(10);
        let mut due = Instant::now();
        while self.is_alive() {
            self.advance();
            let at_once = self.changed && last.elapsed() > Duration::from_millis(500);
            if Instant::now() >= due || at_once {
                last = Instant::now();
                self.changed = false;
                let pause_s = self.report();
                let interval_s = self.world.report_s * (0.75 + 0.5 * self.random());
                due = Instant::now() + Duration::from_secs_f64(pause_s.unwrap_or(interval_s));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        for (name, task) in &self.tasks {
            self.world.set_on(name, &self.name, false);
            let lost = matches!(task.standing, Standing::Exited("done"));
            let what = if lost {
                "result lost with the machine"
            } else {
                "gone with the machine"
            };
            self.world
                .note(&format!("worker {}: {name}: {what}", self.name));
        }
    }

    /// Lets time pass for the tasks and the lease.
    fn advance(&mut self) {
        let now = Instant::now();
        if self.renewed.elapsed().as_secs_f64() > self.world.lease_s {
            self.world
                .note(&format!("worker {}: lease ended", self.name));
            for name in self.tasks.keys() {
                self.world.set_on(name, &self.name, false);
            }
            self.tasks.clear();
            self.session += 1;
            self.renewed = now;
            self.changed = true;
        }
        for (name, task) in &mut self.tasks {
            let completes = task.standing == Standing::Running && self.world.completes_now(name);
            if now < task.ends && !completes {
                continue;
            }
            match task.standing {
                Standing::Fetching => {
                    task.standing = Standing::Running;
                    task.ends = now + Duration::from_secs_f64(task.run_s);
                    self.world.set_on(name, &self.name, true);
                    self.world
                        .record(Record::Started, name, task.attempt, &self.name);
                    self.changed = true;
                }
                Standing::Running => {
                    task.standing = Standing::Exited("done");
                    self.world.set_on(name, &self.name, false);
                    self.world
                        .record(Record::Done, name, task.attempt, &self.name);
                    self.changed = true;
                }
                Standing::Exited(_) => {}
            }
        }
    }

    /// Sends a report and carries out the answer. Returns the pause before the next report, if it is
    /// not the usual one.
    fn report(&mut self) -> Option<f64> {
        let nodes = self.world.nodes();
        let (member, addr) = nodes[self.node % nodes.len()].clone();
        self.tick += 1;
        let tasks = self.tasks.iter().map(|(name, task)| {
            let (standing, cause) = match task.standing {
                Standing::Fetching => ("fetching", None),
                Standing::Running => ("running", None),
                Standing::Exited(cause) => ("exited", Some(cause)),
            };
            let shown =
                map! {"ticket" => name.clone(), "try" => task.attempt, "standing" => standing};
            let V::Map(mut fields) = shown else {
                return shown;
            };
            if let Some(cause) = cause {
                fields.push(("cause".into(), cause.into()));
            }
            V::Map(fields)
        });
        let body = map! {"rung" => self.name.clone(), "addr" => "127.0.0.1:1",
        "chassis" => self.machine.kind.name, "yard" => self.machine.zone.clone(),
        "loaners" => self.machine.spot, "shift" => self.session, "tick" => self.tick,
        "baton" => self.baton, "recall_s" => V::Null, "tickets" => tasks.collect::<Vec<V>>()};
        let sent = Instant::now();
        let sent_s = self.world.now_s();
        let timeout = Duration::from_secs(4);
        let body = body.encode();
        self.repeat_later(&body);
        let contains = |set: &Mutex<std::collections::BTreeSet<String>>| {
            set.lock().is_ok_and(|set| set.contains(&self.name))
        };
        if contains(&self.world.mute) {
            std::thread::sleep(timeout);
            self.node += 1;
            return Some(1.0);
        }
        let mut answer = http::request(addr, "POST", "/agent/beat", &body, timeout);
        if contains(&self.world.deaf) {
            std::thread::sleep(timeout.saturating_sub(sent.elapsed()));
            answer = None;
        }
        if !self.is_alive() {
            return None;
        }
        match answer {
            Some((200, body)) => {
                let body = V::decode(&body).unwrap_or(V::Null);
                if let Ok(mut answered) = self.world.answered_by.lock() {
                    answered.insert(self.name.clone(), member.clone());
                }
                self.carry_out(&body, sent, sent_s, &member);
                None
            }
            Some((421, body)) => {
                let foreman = V::decode(&body).unwrap_or(V::Null).text("foreman");
                let found = nodes.iter().position(|(member, _)| *member == foreman);
                match found.filter(|found| *found != self.node % nodes.len()) {
                    Some(found) => {
                        self.node = found;
                        Some(self.random() * 0.5)
                    }
                    None => {
                        self.node += 1;
                        Some(1.0)
                    }
                }
            }
            _ => {
                self.node += 1;
                Some(1.0)
            }
        }
    }

    /// Sends a copy of some reports again, late and to any controller.
    fn repeat_later(&mut self, body: &[u8]) {
        let share = self.world.late_reports.lock().map_or(0.0, |share| *share);
        if self.random() >= share {
            return;
        }
        let after = Duration::from_secs_f64(2.0 + 20.0 * self.random());
        let nodes = self.world.nodes();
        let (_, addr) = nodes[(self.random() * nodes.len() as f64) as usize % nodes.len()].clone();
        let body = body.to_vec();
        std::thread::spawn(move || {
            std::thread::sleep(after);
            let _ = http::request(addr, "POST", "/agent/beat", &body, Duration::from_secs(4));
        });
    }

    fn carry_out(&mut self, answer: &V, sent: Instant, sent_s: f64, member: &str) {
        let baton = answer.int("baton");
        if answer.get("baton").is_none() || baton < self.baton {
            return;
        }
        self.renewed = sent;
        if baton > self.baton {
            self.baton = baton;
            if self.token_reported.elapsed().as_secs_f64() > self.world.lease_s / 2.0 {
                self.token_reported = Instant::now();
                self.changed = true;
            }
        }
        for order in answer.list("orders") {
            let (name, attempt) = (order.text("ticket"), order.int("try"));
            match order.text("verb").as_str() {
                "launch" => {
                    if self
                        .tasks
                        .get(&name)
                        .is_none_or(|task| task.attempt != attempt)
                    {
                        self.world.launched(&name, sent_s, member, &self.name);
                    }
                    self.launch(&name, attempt);
                }
                "halt" => {
                    let task = self.tasks.get_mut(&name).filter(|t| t.attempt == attempt);
                    if let Some(task) = task.filter(|t| !matches!(t.standing, Standing::Exited(_)))
                    {
                        task.standing = Standing::Exited("stopped");
                        self.world.set_on(&name, &self.name, false);
                        self.world
                            .record(Record::Stopped, &name, attempt, &self.name);
                        self.changed = true;
                    }
                }
                "clear" => {
                    let exited = self.tasks.get(&name).is_some_and(|t| {
                        t.attempt == attempt && matches!(t.standing, Standing::Exited(_))
                    });
                    if exited {
                        self.tasks.remove(&name);
                        self.world
                            .record(Record::Cleared, &name, attempt, &self.name);
                        self.changed = true;
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&mut self, name: &str, attempt: u64) {
        let known = self.tasks.get(name);
        if known.is_some_and(|task| task.attempt == attempt) {
            return;
        }
        let live = |task: &Task| !matches!(task.standing, Standing::Exited(_));
        let refused = |cause| Task {
            attempt,
            standing: Standing::Exited(cause),
            ends: Instant::now(),
            run_s: 0.0,
            cpus: 0.0,
            memory_gb: 0.0,
        };
        self.changed = true;
        // A result that is kept: the task is done as soon as it has its image.
        let kept = known.is_some_and(|task| task.standing == Standing::Exited("done"));
        if known.is_some_and(live) {
            return;
        }
        let Some(work) = self.world.work(name) else {
            self.tasks.insert(name.into(), refused("no_such"));
            return;
        };
        let index: usize = name
            .rsplit('/')
            .next()
            .and_then(|i| i.parse().ok())
            .unwrap_or(0);
        let used: f64 = self
            .tasks
            .values()
            .filter(|t| live(t))
            .map(|t| t.cpus)
            .sum();
        let memory: f64 = self
            .tasks
            .values()
            .filter(|t| live(t))
            .map(|t| t.memory_gb)
            .sum();
        let kind = &self.machine.kind;
        if used + work.cpus > kind.cpus + 1e-6 || memory + work.memory_gb > kind.memory_gb + 1e-6 {
            self.tasks.insert(name.into(), refused("full"));
            return;
        }
        let run_s = if kept {
            0.0
        } else {
            work.run_s.get(index).copied().unwrap_or(1.0)
        };
        let task = Task {
            attempt,
            standing: Standing::Fetching,
            ends: Instant::now() + Duration::from_secs_f64(work.image_gb),
            run_s,
            cpus: work.cpus,
            memory_gb: work.memory_gb,
        };
        self.tasks.insert(name.into(), task);
    }
}
