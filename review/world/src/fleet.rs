//! The controllers, as separate processes started with the command of the deploy file, and the
//! network between them.

use crate::record::Record;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The settings of a deployment.
pub struct Site {
    pub zones: Vec<&'static str>,
    pub teams: Vec<(&'static str, f64, f64)>,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub memory_mb: f64,
    pub max_sockets: u32,
}

/// The network from one controller to another: connections that the first opens to the second.
pub struct Link {
    pub addr: SocketAddr,
    delay_ms: AtomicU64,
    cut: Mutex<bool>,
    refused: Mutex<bool>,
    open: Mutex<Vec<TcpStream>>,
}

impl Link {
    fn new(to: SocketAddr) -> Arc<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let link = Arc::new(Link {
            addr: listener.local_addr().expect("an address"),
            delay_ms: AtomicU64::new(0),
            cut: Mutex::new(false),
            refused: Mutex::new(false),
            open: Mutex::default(),
        });
        let served = link.clone();
        thread::spawn(move || {
            for inside in listener.incoming().flatten() {
                let link = served.clone();
                thread::spawn(move || link.connect(inside, to));
            }
        });
        link
    }

    fn connect(self: &Arc<Link>, inside: TcpStream, to: SocketAddr) {
        if *self.refused.lock().unwrap() {
            let _ = inside.shutdown(Shutdown::Both);
            return;
        }
        while *self.cut.lock().unwrap() {
            thread::sleep(Duration::from_millis(20));
        }
        let Ok(outside) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            let _ = inside.shutdown(Shutdown::Both);
            return;
        };
        let _ = (inside.set_nodelay(true), outside.set_nodelay(true));
        {
            let mut open = self.open.lock().unwrap();
            open.extend(
                [inside.try_clone(), outside.try_clone()]
                    .into_iter()
                    .flatten(),
            );
        }
        for (from, into) in [(&inside, &outside), (&outside, &inside)] {
            if let (Ok(from), Ok(into)) = (from.try_clone(), into.try_clone()) {
                self.pump(from, into);
            }
        }
    }

    /// Carries bytes one way, each `delay_ms` after it came; holds them during a cut.
    fn pump(self: &Arc<Link>, mut from: TcpStream, mut into: TcpStream) {
        let (sender, queue) = channel::<(Instant, Vec<u8>)>();
        let link = self.clone();
        thread::spawn(move || {
            let mut chunk = [0u8; 16384];
            while let Ok(count) = from.read(&mut chunk) {
                if count == 0
                    || sender
                        .send((Instant::now(), chunk[..count].to_vec()))
                        .is_err()
                {
                    break;
                }
            }
        });
        thread::spawn(move || {
            for (came, bytes) in queue {
                loop {
                    let due = came + Duration::from_millis(link.delay_ms.load(Ordering::Relaxed));
                    let left = due.saturating_duration_since(Instant::now());
                    if left.is_zero() && !*link.cut.lock().unwrap() {
                        break;
                    }
                    thread::sleep(left.clamp(Duration::from_millis(1), Duration::from_millis(10)));
                }
                if into.write_all(&bytes).is_err() {
                    break;
                }
            }
            let _ = into.shutdown(Shutdown::Both);
        });
    }

    /// Sets the time that each packet takes, either way.
    pub fn set_delay(&self, ms: u64) {
        self.delay_ms.store(ms, Ordering::Relaxed);
    }

    /// Holds all packets back while the link is cut.
    pub fn set_cut(&self, cut: bool) {
        *self.cut.lock().unwrap() = cut;
    }

    /// Refuses connections, and resets those that are open.
    pub fn set_refused(&self, refused: bool) {
        *self.refused.lock().unwrap() = refused;
        if refused {
            self.reset();
        }
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

pub struct Member {
    pub name: String,
    pub api: SocketAddr,
    settings: String,
    log: String,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub members: Vec<Member>,
    /// `links[i][j]`: connections that member i opens to member j.
    pub links: Vec<Vec<Arc<Link>>>,
    run: Vec<String>,
    root: String,
    folder: String,
    record: Arc<Record>,
}

/// Returns a free address for a controller, below the ports that the system gives to outgoing
/// connections, and different for runs at the same time.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let start =
        u64::from(std::process::id()) * 7919 + time.map_or(0, |t| u64::from(t.subsec_nanos()));
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = 12_000 + (start + step * 37) % 19_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Fleet {
    /// Writes the settings of each controller into `folder`; `state` has the address at which each
    /// reaches the state service.
    pub fn new(
        site: &Site,
        root: &str,
        folder: &str,
        cloud: SocketAddr,
        state: &[SocketAddr],
        record: Arc<Record>,
    ) -> Fleet {
        let deploy =
            fs::read_to_string(format!("{root}/deploy/service.toml")).expect("deploy file");
        let run = deploy
            .lines()
            .find_map(|l| l.strip_prefix("run = "))
            .expect("run command");
        let run = run
            .trim()
            .trim_matches('"')
            .split_whitespace()
            .map(String::from)
            .collect();
        let count = state.len();
        let backs: Vec<SocketAddr> = (0..count).map(|_| free_port()).collect();
        let links: Vec<Vec<Arc<Link>>> = (0..count)
            .map(|_| backs.iter().map(|back| Link::new(*back)).collect())
            .collect();
        let members = (0..count).map(|i| {
            let (name, api) = (format!("rung-{i}"), free_port());
            let mut text = format!(
                "member = \"{name}\"\ndomain = \"{}\"\napi_addr = \"{api}\"\nback = \"{}\"\n",
                site.zones[i % site.zones.len()],
                backs[i]
            );
            for j in (0..count).filter(|j| *j != i) {
                text += &format!(
                    "[[known]]\nmember = \"rung-{j}\"\ndomain = \"{}\"\nendpoint = \"{}\"\n",
                    site.zones[j % site.zones.len()],
                    links[i][j].addr
                );
            }
            text += &format!(
                "[services]\ncloud = \"{cloud}\"\nstate = \"{}\"\n",
                state[i]
            );
            text += &settings(site, count);
            let settings = format!("{folder}/{name}.toml");
            fs::write(&settings, text).expect("settings file");
            Member {
                log: format!("{folder}/{name}.log"),
                name,
                api,
                settings,
                child: Mutex::new(None),
            }
        });
        Fleet {
            members: members.collect(),
            links,
            run,
            root: root.to_string(),
            folder: folder.to_string(),
            record,
        }
    }

    /// Starts a controller.
    pub fn start(&self, i: usize) {
        let member = &self.members[i];
        let mut running = member.child.lock().unwrap();
        if running.is_some() {
            return;
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&member.log)
            .expect("log");
        let child = Command::new(format!("{}/{}", self.root, self.run[0]))
            .args(&self.run[1..])
            .arg(&member.settings)
            .current_dir(&self.root)
            .env(
                "LOG_LEVEL",
                std::env::var("LOG_LEVEL").unwrap_or("info".into()),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the controller starts");
        let pid = child.id();
        self.record
            .line(format!("{} starts as process {pid}", member.name));
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(format!("{}/pids", self.folder));
        if let Ok(mut pids) = pids {
            let _ = writeln!(pids, "{pid}");
        }
        *running = Some(child);
    }

    pub fn kill(&self, i: usize) {
        if let Some(mut child) = self.members[i].child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(format!("{} is killed", self.members[i].name));
        }
    }

    /// Sends `STOP` or `CONT` to a controller.
    pub fn signal(&self, i: usize, signal: &str) {
        if let Some(child) = &*self.members[i].child.lock().unwrap() {
            let pid = child.id().to_string();
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid)
                .status();
            self.record
                .line(format!("{} gets SIG{signal}", self.members[i].name));
        }
    }

    /// Makes all controllers compute slower: they run for `on_ms`, then stand still for `off_ms`, and so
    /// on, until `over` returns true.
    pub fn slow_down(&self, on_ms: u64, off_ms: u64, over: impl Fn() -> bool) {
        let shell = Command::new("sh")
            .stdin(Stdio::piped())
            .stderr(Stdio::null())
            .spawn();
        let Ok(mut shell) = shell else {
            return;
        };
        let Some(mut commands) = shell.stdin.take() else {
            return;
        };
        let mut signal = |signal: &str| {
            let pids = self.members.iter().filter_map(|member| {
                let child = member.child.lock().unwrap();
                child.as_ref().map(|child| child.id().to_string())
            });
            let pids: Vec<String> = pids.collect();
            let _ = writeln!(commands, "kill -{signal} {}", pids.join(" "));
        };
        while !over() {
            signal("STOP");
            thread::sleep(Duration::from_millis(off_ms));
            signal("CONT");
            thread::sleep(Duration::from_millis(on_ms));
        }
        drop(commands);
        let _ = shell.wait();
    }

    /// The controllers that have ended by themselves.
    pub fn ended(&self) -> Vec<String> {
        let ended = self.members.iter().filter(|member| {
            let mut child = member.child.lock().unwrap();
            child
                .as_mut()
                .is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
        });
        ended.map(|member| member.name.clone()).collect()
    }

    pub fn index(&self, name: &str) -> Option<usize> {
        self.members.iter().position(|member| member.name == name)
    }

    pub fn stop_all(&self) {
        (0..self.members.len()).for_each(|i| self.kill(i));
    }

    /// Copies log lines that contain one of these words into the record.
    pub fn quote_logs(&self, words: &[&str]) {
        for member in &self.members {
            let log = fs::read_to_string(&member.log).unwrap_or_default();
            for line in log
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)))
            {
                self.record.line(format!("log of {}: {line}", member.name));
            }
        }
    }
}

fn settings(site: &Site, count: usize) -> String {
    let zones: Vec<String> = site
        .zones
        .iter()
        .map(|zone| format!("\"{zone}\""))
        .collect();
    let mut text = format!(
        "[settings]\ninitial_size = {count}\nzones = [{}]\nclock_off_ms = 5.0\n",
        zones.join(", ")
    );
    for (name, cpus, cpus_max) in &site.teams {
        text += &format!(
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\ncpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    text + &format!(
        "[[settings.objectives]]\nkind = \"guarantee\"\nwithin_s = 10.0\nshare = 0.94\n\
         [settings.workers]\nreport_s = {:.2}\nlease_s = {:.2}\ngang_wait_s = {:.1}\ngang_peer_s = {:.1}\ncancel_s = {:.2}\n\
         [settings.state]\nrps = {:.1}\nwrite_rps = {:.1}\nvalue_kb = 4.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = {:.1}\nlist_lag_s = {:.1}\n\
         [settings.quota]\ncores = 0.2\nmemory_mb = {:.1}\nmax_sockets = {}\n",
        site.report_s,
        site.lease_s,
        site.gang_wait_s,
        site.gang_peer_s,
        site.cancel_s,
        site.rps,
        site.write_rps,
        site.cloud_rps,
        site.list_lag_s,
        site.memory_mb,
        site.max_sockets
    )
}
