//! Random days with real processes: users, and troubles that the pages name, with the rules checked. It is
//! not a case; it looks for some. `SEED` chooses the day.

use crate::cases::{run_command, till_box, PRODUCTION};
use crate::cbor::V;
use crate::http;
use crate::machines::Work;
use crate::world::{Deployment, Record, Site, StopFlag, World};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const TROUBLE_S: f64 = 70.0;
const SETTLE_S: f64 = 40.0;
const CANCEL_S: f64 = 36.0;
const CPUS_MAX: f64 = 40.0;

struct Rng(u64);

impl Rng {
    fn f64(&mut self) -> f64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) as f64 / (1u64 << 31) as f64
    }
    fn below(&mut self, n: usize) -> usize {
        (self.f64() * n as f64) as usize % n
    }
}

#[derive(Clone, Default)]
struct Told {
    tasks: usize,
    /// The last answer that a user got, and when the request was sent.
    standing: String,
    cancelled_at: Option<f64>,
    asked_to_cancel: bool,
}

type Jobs = Arc<Mutex<BTreeMap<String, Told>>>;

pub fn run(
    folder: &Path,
    root: &Path,
    trouble: bool,
    stop: StopFlag,
) -> Result<Option<String>, String> {
    let seed = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1u64);
    let mut rng = Rng(seed.wrapping_mul(0x9e3779b97f4a7c15) | 1);
    let site = Site {
        members: 3,
        kinds: vec![till_box(2.0)],
        team_cpus_max: CPUS_MAX,
        times: (1.0, 11.0, CANCEL_S),
        next: Some((2.0, 4, 18.0)),
    };
    // With UPGRADE=1 the version in production runs at first; one controller after the other is replaced.
    let upgrade = std::env::var_os("UPGRADE").is_some();
    let old_root = root.join(PRODUCTION);
    let mut is_old = [upgrade; 3];
    let command = run_command(root)?;
    let mut bed = Deployment::new(site, folder, stop);
    let world = bed.world.clone();
    for i in 0..3 {
        bed.start(i, &command, if is_old[i] { &old_root } else { root });
    }
    for i in 0..3 {
        bed.wait_ready(i, 10.0)?;
    }
    let jobs: Jobs = Arc::default();
    let began = Instant::now();
    let users: Vec<_> = (0..4u64)
        .map(|n| {
            let (world, jobs) = (world.clone(), jobs.clone());
            let rng = Rng(seed.wrapping_mul(31).wrapping_add(n * 7919) | 1);
            std::thread::spawn(move || user(&world, &jobs, rng, n, began))
        })
        .collect();
    let checker = {
        let (world, jobs) = (world.clone(), jobs.clone());
        std::thread::spawn(move || check(&world, &jobs, began))
    };
    if trouble {
        let mut down: BTreeMap<usize, f64> = BTreeMap::new();
        let mut stopped: BTreeMap<usize, f64> = BTreeMap::new();
        let mut refused: BTreeMap<usize, f64> = BTreeMap::new();
        let mut next = 6.0;
        loop {
            let now = began.elapsed().as_secs_f64();
            let over = now > TROUBLE_S;
            for i in 0..3 {
                if is_old[i] && now > 15.0 + 10.0 * i as f64 {
                    is_old[i] = false;
                    world.note(&format!("rung-{i} gets the new version"));
                    if stopped.remove(&i).is_some() {
                        bed.signal(i, "CONT");
                    }
                    bed.kill(i);
                    down.entry(i).or_insert(now + 8.0);
                }
                if down.get(&i).is_some_and(|until| over || now > *until) {
                    down.remove(&i);
                    bed.start(i, &command, if is_old[i] { &old_root } else { root });
                }
                if stopped.get(&i).is_some_and(|until| over || now > *until) {
                    stopped.remove(&i);
                    bed.signal(i, "CONT");
                }
                if refused.get(&i).is_some_and(|until| over || now > *until) {
                    refused.remove(&i);
                    world.store.refuse(i, false);
                    world.note(&format!("rung-{i} is served again"));
                }
            }
            if over {
                *world.late_reports.lock().unwrap() = 0.0;
                world.mute.lock().unwrap().clear();
                world.deaf.lock().unwrap().clear();
                world.store.end_late_writes();
                break;
            }
            if now > next {
                next = now + 0.5 + 5.0 * rng.f64();
                let leader = bed.leader();
                let any = rng.below(3);
                let i = if rng.f64() < 0.6 {
                    leader.unwrap_or(any)
                } else {
                    any
                };
                let free = !down.contains_key(&i) && !stopped.contains_key(&i);
                match rng.below(9) {
                    0 | 1 if free => {
                        bed.kill(i);
                        down.insert(i, now + if rng.f64() < 0.4 { 0.2 } else { 8.0 });
                    }
                    2 if free => {
                        bed.signal(i, "STOP");
                        stopped.insert(i, now + 0.5 + 14.0 * rng.f64() * rng.f64());
                    }
                    3 => {
                        world.store.refuse(i, true);
                        world.note(&format!("rung-{i} is refused by the state service"));
                        refused.insert(i, now + 1.0 + 12.0 * rng.f64());
                    }
                    4 => {
                        let span = 1.0 + 5.0 * rng.f64();
                        world.note(&format!("late writes for {span:.1} s"));
                        let delay = Duration::from_secs_f64(2.0 + 8.0 * rng.f64());
                        world
                            .store
                            .begin_late_writes(Duration::from_secs_f64(span), delay);
                    }
                    5 => *world.late_reports.lock().unwrap() = 0.3 * rng.f64(),
                    6 | 7 => {
                        let set = if rng.f64() < 0.5 {
                            &world.mute
                        } else {
                            &world.deaf
                        };
                        let mut set = set.lock().unwrap();
                        set.clear();
                        for n in 1..40 {
                            if rng.f64() < 0.3 {
                                set.insert(format!("host-{n:06}"));
                            }
                        }
                    }
                    _ if free && rng.f64() < 0.3 => {
                        for i in 0..3 {
                            if stopped.remove(&i).is_some() {
                                bed.signal(i, "CONT");
                            }
                            bed.kill(i);
                            down.insert(i, now + if rng.f64() < 0.5 { 0.3 } else { 8.0 });
                        }
                    }
                    _ => {}
                }
            }
            bed.pause(0.1);
        }
    }
    let left = TROUBLE_S + SETTLE_S - began.elapsed().as_secs_f64();
    bed.pause(left.max(0.0));
    for user in users {
        let _ = user.join();
    }
    let _ = checker.join();
    for (id, told) in jobs.lock().unwrap().iter() {
        if told.standing != "done" && told.standing != "aborted" {
            world.note(&format!("unfinished at the end: {id} {}", told.standing));
        }
    }
    let broken = world.broken.lock().unwrap().clone();
    Ok((!broken.is_empty()).then(|| broken.join("; ")))
}

/// A user who submits, asks and cancels until the day is over.
fn user(world: &World, jobs: &Jobs, mut rng: Rng, n: u64, began: Instant) {
    let mut count = 0;
    let mut open: Vec<String> = Vec::new();
    let timeout = Duration::from_secs(2);
    while began.elapsed().as_secs_f64() < TROUBLE_S + SETTLE_S - 3.0 {
        let now = began.elapsed().as_secs_f64();
        if now < TROUBLE_S - 5.0 && open.len() < 6 && rng.f64() < 0.5 {
            count += 1;
            let id = format!("wk-{:06}", n * 100_000 + count);
            let tasks = 1 + rng.below(4);
            let run_s = (0..tasks)
                .map(|_| 0.2 + 12.0 * rng.f64() * rng.f64())
                .collect();
            let work = Work {
                cpus: 1.0,
                memory_gb: 1.0,
                image_gb: 0.1,
                run_s,
            };
            if world.submit(&id, &["till-box"], work).is_ok() {
                let told = Told {
                    tasks,
                    standing: "queued".into(),
                    ..Told::default()
                };
                jobs.lock().unwrap().insert(id.clone(), told);
                open.push(id);
            }
        }
        for id in open.clone() {
            let nodes = world.nodes();
            let (member, addr) = nodes[rng.below(3)].clone();
            let cancels = rng.f64() < 0.02;
            let (method, path) = if cancels {
                jobs.lock().unwrap().get_mut(&id).unwrap().asked_to_cancel = true;
                ("POST", format!("/v2/runs/{id}/cancel"))
            } else {
                ("GET", format!("/v2/runs/{id}"))
            };
            let before = jobs.lock().unwrap()[&id].clone();
            let Some((status, body)) = http::request(addr, method, &path, &[], timeout) else {
                continue;
            };
            if status == 404 {
                world.break_rule(format!("forgotten: {id} 404 by {member}"));
            }
            if status != 200 {
                continue;
            }
            let standing = V::decode(&body).unwrap_or(V::Null).text("standing");
            if before.standing == "done" && standing != "done"
                || before.standing == "aborted" && standing != "aborted"
                || standing == "aborted" && !jobs.lock().unwrap()[&id].asked_to_cancel
            {
                world.break_rule(format!(
                    "went_back: {id} {} then {standing} by {member}",
                    before.standing
                ));
            }
            if standing == "done" {
                let missing = (0..before.tasks)
                    .filter(|i| world.count(&format!("{id}/{i}"), Record::Done) == 0)
                    .count();
                if missing > 0 {
                    world.break_rule(format!("not_done: {id} lacks {missing} tasks"));
                }
            }
            let mut jobs = jobs.lock().unwrap();
            let told = jobs.get_mut(&id).unwrap();
            if standing == "aborted" && told.cancelled_at.is_none() {
                told.cancelled_at = Some(world.now_s());
                world.note(&format!("user: {id} is told aborted by {member}"));
            }
            told.standing = standing;
        }
        if rng.f64() < 0.1 {
            open.retain(|id| {
                let standing = &jobs.lock().unwrap()[id].standing;
                standing != "done" && standing != "aborted"
            });
        }
        std::thread::sleep(Duration::from_millis(100 + (300.0 * rng.f64()) as u64));
    }
}

/// Checks the rules about tasks on machines.
fn check(world: &World, jobs: &Jobs, began: Instant) {
    let mut seen = 0;
    while began.elapsed().as_secs_f64() < TROUBLE_S + SETTLE_S - 1.0 {
        std::thread::sleep(Duration::from_millis(200));
        let on = world.tasks_on();
        if on.len() as f64 > CPUS_MAX {
            world.break_rule(format!("quota: {} CPUs in use", on.len()));
        }
        let cancelled = |task: &str| {
            let job = task.rsplit_once('/').map_or("", |(job, _)| job);
            jobs.lock()
                .unwrap()
                .get(job)
                .and_then(|told| told.cancelled_at)
        };
        for (task, machines) in on {
            if cancelled(&task).is_some_and(|at| world.now_s() - at > CANCEL_S) {
                world.break_rule(format!("ran_cancelled: {task} on {machines:?}"));
            }
        }
        let events = world.events();
        for (i, event) in events.iter().enumerate().skip(seen) {
            if event.record != Record::Started {
                continue;
            }
            if cancelled(&event.task).is_some_and(|at| event.at_s > at + 4.5) {
                world.break_rule(format!(
                    "started {:.1} after its cancellation: {}",
                    event.at_s, event.task
                ));
            }
            let acknowledged = |record| {
                events[..i]
                    .iter()
                    .any(|e| e.task == event.task && e.record == record)
            };
            if acknowledged(Record::Done) && acknowledged(Record::Cleared) {
                let done = events[..i]
                    .iter()
                    .find(|e| e.task == event.task && e.record == Record::Done);
                let attempt = done.map_or(0, |e| e.attempt);
                let cleared = events[..i].iter().any(|e| {
                    e.task == event.task && e.record == Record::Cleared && e.attempt == attempt
                });
                if cleared {
                    world.break_rule(format!("settled twice: {}", event.task));
                }
            }
        }
        seen = events.len();
    }
}
