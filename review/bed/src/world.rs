//! A small deployment: controllers as processes, and the stand-ins around them.

use crate::cbor::V;
use crate::http;
use crate::links;
use crate::machines::{Cloud, Kind, Work};
use crate::map;
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Processes that are running.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Writes the processes that are running into the file that `PIDS` names, for the script that ends them if
/// it is itself ended half-way.
fn list_running() {
    if let Some(file) = std::env::var_os("PIDS") {
        let running = World::lock(&RUNNING);
        let lines: Vec<String> = running.iter().map(|pid| format!("{pid}\n")).collect();
        let _ = std::fs::write(file, lines.concat());
    }
}

/// Kills the processes that are still running.
pub fn kill_all() {
    for pid in World::lock(&RUNNING).iter() {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(pid.to_string())
            .status();
    }
}

/// Tells a case that its time is over.
#[derive(Clone, Default)]
pub struct StopFlag(Arc<AtomicBool>);

impl StopFlag {
    pub fn stop(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn is_stopped(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// What happened to a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Record {
    Started,
    Done,
    Stopped,
    Cleared,
}

/// An event of a task.
#[derive(Clone, Debug)]
pub struct Event {
    pub at_s: f64,
    pub record: Record,
    pub task: String,
    pub attempt: u64,
    pub machine: String,
}

/// Settings of a deployment.
pub struct Site {
    pub members: usize,
    pub kinds: Vec<Kind>,
    pub team_cpus_max: f64,
    /// Seconds between reports, of a worker's lease, and within which a cancellation is carried out.
    pub times: (f64, f64, f64),
    /// Limits that the settings announce for later: `value_kb`, `txn_ops`, `write_rps`.
    pub next: Option<(f64, usize, f64)>,
}

/// The stand-ins, and what is shared with the workers.
pub struct World {
    pub store: Arc<Store>,
    pub cloud: Arc<Cloud>,
    pub report_s: f64,
    pub lease_s: f64,
    started: Instant,
    record: Mutex<File>,
    works: Mutex<BTreeMap<String, Work>>,
    events: Mutex<Vec<Event>>,
    launches: Mutex<Vec<(String, f64)>>,
    /// The controller that answered each machine last.
    pub answered_by: Mutex<BTreeMap<String, String>>,
    nodes: Mutex<Vec<(String, SocketAddr)>>,
    /// Share of reports of which a copy arrives again later.
    pub late_reports: Mutex<f64>,
    /// Machines whose reports or whose answers are lost.
    pub mute: Mutex<BTreeSet<String>>,
    pub deaf: Mutex<BTreeSet<String>>,
    /// Machines by the tasks that are on them.
    on: Mutex<BTreeMap<String, BTreeSet<String>>>,
    /// Broken rules that the workers saw.
    pub broken: Mutex<Vec<String>>,
    /// Running tasks that complete now.
    completing: Mutex<BTreeSet<String>>,
}

// Those of `lakeside-preorder`.
const RPS: f64 = 80.0;
const WRITE_RPS: f64 = 25.0;
const VALUE_KB: f64 = 4.0;
const TXN_OPS: usize = 12;
/// Seconds between reports, of the lease, and of a cancellation, of `lakeside-preorder`.
pub const LAKESIDE_TIMES: (f64, f64, f64) = (3.0, 45.0, 75.0);
const LIST_LAG_S: f64 = 10.0;

impl World {
    fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
        mutex.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Returns the seconds since the start.
    pub fn now_s(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let mut record = World::lock(&self.record);
        let _ = writeln!(record, "{:8.3} {text}", self.now_s());
    }

    /// Notes a broken rule.
    pub fn break_rule(&self, text: String) {
        self.note(&format!("BROKEN {text}"));
        World::lock(&self.broken).push(text);
    }

    /// Notes that a task is on a machine from now on, or no more.
    pub fn set_on(&self, task: &str, machine: &str, is_on: bool) {
        let mut on = World::lock(&self.on);
        let machines = on.entry(task.into()).or_default();
        if !is_on {
            machines.remove(machine);
            return;
        }
        if machines.iter().any(|other| other != machine) {
            self.break_rule(format!(
                "ran_twice: {task} starts on {machine} while on {machines:?}"
            ));
        }
        machines.insert(machine.into());
    }

    /// Returns the tasks that are on machines.
    pub fn tasks_on(&self) -> Vec<(String, BTreeSet<String>)> {
        let on = World::lock(&self.on);
        on.iter()
            .filter(|(_, m)| !m.is_empty())
            .map(|(t, m)| (t.clone(), m.clone()))
            .collect()
    }

    pub fn record(&self, record: Record, task: &str, attempt: u64, machine: &str) {
        self.note(&format!(
            "worker {machine}: {task} try {attempt}: {record:?}"
        ));
        World::lock(&self.events).push(Event {
            at_s: self.now_s(),
            record,
            task: task.into(),
            attempt,
            machine: machine.into(),
        });
    }

    pub fn events(&self) -> Vec<Event> {
        World::lock(&self.events).clone()
    }

    /// Returns how often something was recorded of a task.
    pub fn count(&self, task: &str, record: Record) -> usize {
        let events = World::lock(&self.events);
        events
            .iter()
            .filter(|e| e.task == task && e.record == record)
            .count()
    }

    /// Notes an order to start a task, with the report that it answers.
    pub fn launched(&self, task: &str, sent_s: f64, member: &str, machine: &str) {
        self.note(&format!(
            "worker {machine}: launch {task}, by {member} for the report of {sent_s:.3}"
        ));
        World::lock(&self.launches).push((task.into(), sent_s));
    }

    /// Returns when the reports were sent for which a task was launched.
    pub fn launches(&self, task: &str) -> Vec<f64> {
        let launches = World::lock(&self.launches);
        launches
            .iter()
            .filter(|(t, _)| t == task)
            .map(|(_, sent_s)| *sent_s)
            .collect()
    }

    /// Cancels a job at a controller until it says that it is cancelled. Returns when that was.
    pub fn cancel(&self, id: &str, node: usize) -> Option<f64> {
        let path = format!("/v2/runs/{id}/cancel");
        for _ in 0..5 {
            let (member, addr) = self.nodes()[node].clone();
            let answer = http::request(addr, "POST", &path, &[], Duration::from_secs(5));
            let told_s = self.now_s();
            if let Some((status, body)) = answer {
                let standing = V::decode(&body)?.text("standing");
                self.note(&format!(
                    "user: cancels {id}: {status} {standing} by {member}"
                ));
                if status == 200 {
                    return (standing == "aborted").then_some(told_s);
                }
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        None
    }

    /// Lets running tasks complete their work now.
    pub fn complete(&self, tasks: impl IntoIterator<Item = String>) {
        World::lock(&self.completing).extend(tasks);
    }

    pub fn completes_now(&self, task: &str) -> bool {
        World::lock(&self.completing).contains(task)
    }

    pub fn nodes(&self) -> Vec<(String, SocketAddr)> {
        World::lock(&self.nodes).clone()
    }

    pub fn work(&self, task: &str) -> Option<Work> {
        let (job, _) = task.rsplit_once('/')?;
        World::lock(&self.works).get(job).cloned()
    }

    /// Submits an array like a user, until it is accepted.
    pub fn submit(&self, id: &str, kinds: &[&str], work: Work) -> Result<(), String> {
        let tasks = work.run_s.len() as u64;
        World::lock(&self.works).insert(id.into(), work.clone());
        let kinds: Vec<V> = kinds.iter().map(|kind| V::from(*kind)).collect();
        let body = map! {"name_id" => id, "docket" => "payroll-deduct", "crew" => "ops-desk",
        "shape" => "array", "urgency" => "standard", "tickets" => tasks, "vcpus" => work.cpus,
        "gpus" => 0.0, "mem_gb" => work.memory_gb, "kit" => "img-01", "image_gb" => work.image_gb,
        "chassis_list" => kinds, "yard" => V::Null, "one_zone" => false, "spread" => false,
        "loaners" => false, "expected_s" => 300.0, "bookmark_s" => 0.0, "stash_s" => 0.0,
        "due_s" => V::Null};
        let began = Instant::now();
        let mut turn = 0;
        while began.elapsed() < Duration::from_secs(60) {
            let nodes = self.nodes();
            let (member, addr) = &nodes[turn % nodes.len()];
            turn += 1;
            let timeout = Duration::from_secs(5);
            let answer = http::request(*addr, "POST", "/v2/runs", &body.encode(), timeout);
            if let Some((status @ (200 | 201), _)) = answer {
                self.note(&format!(
                    "user: {id} with {tasks} tasks: {status} by {member}"
                ));
                return Ok(());
            }
            if let Some((status @ (400 | 422), body)) = answer {
                return Err(format!("{id}: {status} {:?}", V::decode(&body)));
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        Err(format!("{id} was not accepted within 60 s"))
    }

    /// Asks for a job at each controller until one answers 200. Returns its state and the tasks done.
    pub fn poll(&self, id: &str) -> Option<(String, u64)> {
        for (member, addr) in self.nodes() {
            let path = format!("/v2/runs/{id}");
            let answer = http::request(addr, "GET", &path, &[], Duration::from_secs(2));
            if let Some((200, body)) = answer {
                let body = V::decode(&body)?;
                let (standing, done) = (body.text("standing"), body.int("done"));
                self.note(&format!(
                    "user: {id} is {standing}, {done} done, says {member}"
                ));
                return Some((standing, done));
            }
        }
        None
    }
}

/// A deployment with its processes. They are killed when it is dropped.
pub struct Deployment {
    pub world: Arc<World>,
    site: Site,
    dir: PathBuf,
    store_addrs: Vec<SocketAddr>,
    cloud_addrs: Vec<SocketAddr>,
    api: Vec<SocketAddr>,
    back: Vec<SocketAddr>,
    processes: Vec<Option<Child>>,
    stop: StopFlag,
    /// Controllers that are cut off from the others.
    cut: links::Cut,
    /// Addresses at which a controller reaches another one.
    ways: BTreeMap<(usize, usize), SocketAddr>,
}

impl Deployment {
    /// Prepares a deployment; `folder` is that of the case.
    pub fn new(site: Site, folder: &Path, stop: StopFlag) -> Deployment {
        let store = Store::new(RPS, WRITE_RPS, VALUE_KB, TXN_OPS);
        let cloud = Cloud::new(site.kinds.clone(), LIST_LAG_S);
        let addresses = |count: usize| -> Vec<SocketAddr> {
            // A loopback address of this run's own: ports that are free now stay free until the controllers
            // take them, whatever else uses 127.0.0.1.
            let (high, low) = (std::process::id() / 250, std::process::id() % 250);
            let ip = Ipv4Addr::new(127, (high % 250) as u8 + 1, low as u8 + 1, 1);
            // All are held until all are chosen, so that no two are the same.
            let held: Vec<TcpListener> = (0..count)
                .map(|_| TcpListener::bind((ip, 0)).expect("bind"))
                .collect();
            held.iter()
                .map(|l| l.local_addr().expect("address"))
                .collect()
        };
        let all = addresses(2 * site.members);
        let (api, back) = all.split_at(site.members);
        let names = (0..site.members).map(|i| format!("rung-{i}"));
        let nodes = names.clone().zip(api.iter().copied()).collect();
        let record = File::create(folder.join("record.txt")).expect("record.txt");
        let world = Arc::new(World {
            store,
            cloud,
            report_s: site.times.0,
            lease_s: site.times.1,
            started: Instant::now(),
            record: Mutex::new(record),
            works: Mutex::default(),
            events: Mutex::default(),
            launches: Mutex::default(),
            answered_by: Mutex::default(),
            nodes: Mutex::new(nodes),
            completing: Mutex::default(),
            late_reports: Mutex::new(0.0),
            mute: Mutex::default(),
            deaf: Mutex::default(),
            on: Mutex::default(),
            broken: Mutex::default(),
        });
        let dir = std::env::temp_dir().join(format!("bed-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("temporary folder");
        let cut = links::Cut::default();
        let pairs = (0..site.members).flat_map(|from| (0..site.members).map(move |to| (from, to)));
        let ways = pairs.filter(|(from, to)| from != to);
        let ways = ways.map(|(from, to)| ((from, to), links::open(from, to, back[to], &cut)));
        Deployment {
            ways: ways.collect(),
            cut,
            store_addrs: (0..site.members).map(|i| world.store.open(i)).collect(),
            cloud_addrs: names.map(|name| world.cloud.open(&world, &name)).collect(),
            processes: (0..site.members).map(|_| None).collect(),
            api: api.to_vec(),
            back: back.to_vec(),
            world,
            site,
            dir,
            stop,
        }
    }

    fn settings(&self, i: usize) -> String {
        let mut text = format!(
            "member = \"rung-{i}\"\ndomain = \"a\"\napi_addr = \"{}\"\nback = \"{}\"\n",
            self.api[i], self.back[i]
        );
        for other in (0..self.site.members).filter(|other| *other != i) {
            text += &format!(
                "[[known]]\nmember = \"rung-{other}\"\ndomain = \"a\"\nendpoint = \"{}\"\n",
                self.ways[&(i, other)]
            );
        }
        let team_cpus_max = self.site.team_cpus_max;
        let guaranteed = team_cpus_max.min(60.0);
        let (report_s, lease_s, cancel_s) = self.site.times;
        text += &format!(
            "[services]\ncloud = \"{}\"\nstate = \"{}\"\n[settings]\ninitial_size = {}\n\
             [[settings.teams]]\nname = \"ops-desk\"\ncpus = {guaranteed:.1}\n\
             cpus_max = {team_cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n\
             [[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.85\n\
             [settings.workers]\nreport_s = {report_s:.1}\nlease_s = {lease_s:.1}\n\
             gang_wait_s = 30.0\ngang_peer_s = 6.0\ncancel_s = {cancel_s:.1}\n\
             [settings.state]\nrps = {RPS:.1}\nwrite_rps = {WRITE_RPS:.1}\n\
             value_kb = {VALUE_KB:.1}\ntxn_ops = {TXN_OPS}\n",
            self.cloud_addrs[i], self.store_addrs[i], self.site.members
        );
        if let Some((value_kb, txn_ops, write_rps)) = self.site.next {
            text += &format!(
                "[settings.state.next]\nvalue_kb = {value_kb:.1}\ntxn_ops = {txn_ops}\n\
                 write_rps = {write_rps:.1}\n"
            );
        }
        text += &format!(
            "[settings.cloud]\nrps = 10.0\nlist_lag_s = {LIST_LAG_S:.1}\n\
             [settings.quota]\ncores = 0.2\nmemory_mb = 200.0\nmax_sockets = 3500\n"
        );
        text
    }

    /// Starts a controller with the `run` command of a deploy file: a program and its arguments.
    pub fn start(&mut self, i: usize, command: &str, root: &Path) {
        let file = self.dir.join(format!("rung-{i}.toml"));
        std::fs::write(&file, self.settings(i)).expect("settings file");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("rung-{i}.log")))
            .expect("log file");
        let mut words = command.split_whitespace();
        let program = root.join(words.next().expect("program"));
        let child = Command::new(program)
            .args(words)
            .arg(&file)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        World::lock(&RUNNING).insert(child.id());
        list_running();
        self.world.note(&format!("rung-{i} starts"));
        self.processes[i] = Some(child);
    }

    /// Kills a controller.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.processes[i].take() {
            let _ = child.kill();
            let _ = child.wait();
            World::lock(&RUNNING).remove(&child.id());
            list_running();
            self.world.note(&format!("rung-{i} is killed"));
        }
    }

    /// Sends a controller a signal, such as STOP or CONT.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &self.processes[i] {
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(child.id().to_string())
                .status();
            self.world.note(&format!("rung-{i} gets SIG{signal}"));
        }
    }

    /// Cuts a controller off from the state service and from the other controllers, not from workers and
    /// users; or ends that.
    pub fn cut_off(&self, i: usize, is_cut: bool) {
        self.world.store.cut(i, is_cut);
        let mut cut = World::lock(&self.cut);
        if is_cut {
            cut.insert(i);
        } else {
            cut.remove(&i);
        }
        let what = if is_cut {
            "is cut off from"
        } else {
            "reaches again"
        };
        self.world.note(&format!(
            "rung-{i} {what} the state service and the other controllers"
        ));
    }

    /// Returns the number of the leader.
    pub fn leader(&self) -> Option<usize> {
        let name = self.world.store.leader()?;
        name.strip_prefix("rung-")?.parse().ok()
    }

    /// Waits until a controller is ready.
    pub fn wait_ready(&self, i: usize, within_s: f64) -> Result<(), String> {
        let addr = self.api[i];
        self.wait(within_s, "a controller is ready", |_| {
            let answer = http::request(addr, "GET", "/ready", &[], Duration::from_secs(1));
            matches!(answer, Some((200, _)))
        })
    }

    /// Waits for a condition.
    pub fn wait(
        &self,
        within_s: f64,
        what: &str,
        is_met: impl Fn(&World) -> bool,
    ) -> Result<(), String> {
        let began = Instant::now();
        while !is_met(&self.world) {
            if self.stop.is_stopped() || began.elapsed().as_secs_f64() > within_s {
                return Err(format!("not within {within_s} s: {what}"));
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Lets time pass.
    pub fn pause(&self, seconds: f64) {
        let _ = self.wait(seconds, "a pause", |_| false);
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for i in 0..self.processes.len() {
            self.kill(i);
        }
        self.world.cloud.end();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.dir);
        } else {
            eprintln!("kept: {}", self.dir.display());
        }
    }
}
