//! Random jobs amid random troubles; used to look for faults, no case by itself.

use crate::store::Fault;
use crate::world::{array, kooperatif, kucuk_kasa, World};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

struct Dice(u64);

impl Dice {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }

    fn between(&mut self, from: f64, to: f64) -> f64 {
        from + (to - from) * self.next()
    }
}

pub fn run(root: &str, folder: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    let length: f64 = std::env::var("LENGTH")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(75.0);
    let n: usize = std::env::var("COUNT")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(3);
    let mut site = kooperatif();
    site.teams = vec![
        ("uye-hizmetleri", 16.0, 24.0),
        ("tescil-ekibi", 16.0, 20.0),
        ("veri-odasi", 8.0, 12.0),
    ];
    let mut kind = kucuk_kasa();
    kind.boot_s = 4.0;
    let large = std::env::var("MODE").is_ok_and(|m| m == "fleet");
    if large {
        site.teams = vec![
            ("uye-hizmetleri", 300.0, 600.0),
            ("tescil-ekibi", 300.0, 600.0),
            ("veri-odasi", 200.0, 400.0),
        ];
    }
    let zoned = std::env::var("MODE").is_ok_and(|m| m == "zones");
    if zoned {
        kind.yards = vec!["a", "b", "c"];
        kind.vcpus = 4.0;
    }
    let world = World::new(
        site,
        vec![kind],
        if large {
            200
        } else if zoned {
            18
        } else {
            9
        },
        n,
        root,
        folder,
        record,
    );
    let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut boots = Dice(dice.0 ^ 77);
    world.cloud.set_boot(move |_, _| {
        Some(if boots.next() < 0.2 {
            1.0
        } else {
            boots.between(2.5, 14.5)
        })
    });
    let cloudy = std::env::var("MODE").is_ok_and(|m| m == "cloud");
    if cloudy {
        let mut boots = Dice(dice.0 ^ 78);
        world.cloud.set_boot(move |_, _| {
            Some(if boots.next() < 0.4 {
                1.0
            } else {
                boots.between(12.5, 18.5)
            })
        });
        let slow = Mutex::new(Dice(dice.0 ^ 79));
        world.cloud.on_release(move |_| {
            let wait = slow.lock().unwrap().between(0.0, 3.8);
            thread::sleep(Duration::from_secs_f64(wait));
        });
    }
    if !world.start_all() {
        world.fleet.stop_all();
        return Err("not ready".into());
    }
    let slow: Option<Vec<u64>> = std::env::var("SLOW")
        .ok()
        .map(|s| s.split('/').filter_map(|n| n.parse().ok()).collect());
    let settled = Arc::new(AtomicBool::new(false));
    let slowing = slow.clone().map(|ms| {
        let (fleet, settled) = (world.fleet.clone(), settled.clone());
        thread::spawn(move || fleet.slow_down(ms[0], ms[1], || settled.load(Ordering::Relaxed)))
    });
    let ends_at = world.now() + length;
    let over = Arc::new(AtomicBool::new(false));
    let closing = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let open: Arc<Mutex<Vec<String>>> = Arc::default();
    // Users.
    let users: Vec<_> = (0..3)
        .map(|u| {
            let (world, over, next_id, open) =
                (world.clone(), over.clone(), next_id.clone(), open.clone());
            let closing = closing.clone();
            let mut dice = Dice(dice.0.wrapping_add(u * 7919 + 13) | 1);
            thread::spawn(move || {
                let teams = ["uye-hizmetleri", "tescil-ekibi", "veri-odasi"];
                while !closing.load(Ordering::Relaxed) {
                    let id = format!("wk-{:06}", next_id.fetch_add(1, Ordering::Relaxed));
                    let mut job = array(
                        &id,
                        teams[dice.below(3)],
                        1 + dice.below(5) as u32,
                        1.0 + dice.below(3) as f64,
                    );
                    job.run_s = if dice.next() < 0.3 {
                        dice.between(10.0, 30.0)
                    } else {
                        dice.between(1.0, 6.0)
                    };
                    job.expected_s = job.run_s * dice.between(0.5, 1.5);
                    job.kit = format!("img-{}", dice.below(3));
                    job.gang = dice.next() < 0.2;
                    if job.gang {
                        job.tickets = 1 + dice.below(3) as u32;
                    }
                    if large && !job.gang {
                        job.tickets = 10 + dice.below(80) as u32;
                        job.vcpus = 1.0;
                        job.run_s = dice.between(10.0, 40.0);
                    }
                    if zoned {
                        let which = dice.next();
                        job.one_zone = which < 0.45;
                        job.spread = which > 0.7 && !job.one_zone;
                        if !job.gang {
                            job.tickets += 2;
                        }
                    }
                    job.urgency = ["high", "standard", "best_effort"][dice.below(3)];
                    if dice.next() < 0.2 {
                        let known = open.lock().unwrap();
                        if !known.is_empty() {
                            job.awaits = vec![known[dice.below(known.len())].clone()];
                        }
                    }
                    let cancels = dice.next() < 0.25;
                    let cancel_after = if dice.next() < 0.5 {
                        dice.between(0.0, 0.5)
                    } else {
                        dice.between(0.5, 12.0)
                    };
                    let first = dice.below(n);
                    let mut d = Dice(dice.0.wrapping_mul(31) | 1);
                    let (world, over, open) = (world.clone(), over.clone(), open.clone());
                    thread::spawn(move || {
                        let until = world.now() + 30.0;
                        let mut at = first;
                        let mut accepted = false;
                        while world.now() < until && !accepted && !over.load(Ordering::Relaxed) {
                            let (status, _) = world.submit(at % n, &job);
                            accepted = status == 200 || status == 201;
                            if !accepted {
                                thread::sleep(Duration::from_secs(1));
                                at += 1;
                            }
                        }
                        if !accepted {
                            return;
                        }
                        open.lock().unwrap().push(job.id.clone());
                        for i in 0..n {
                            world.poll(i, &job.id);
                        }
                        if cancels {
                            thread::sleep(Duration::from_secs_f64(cancel_after));
                            loop {
                                let (status, _) = world.cancel(d.below(n), &job.id);
                                if status == 200 {
                                    for i in 0..n {
                                        world.poll(i, &job.id);
                                    }
                                    break;
                                }
                                if over.load(Ordering::Relaxed) {
                                    break;
                                }
                                thread::sleep(Duration::from_secs(1));
                            }
                        }
                        let mut told = String::new();
                        let mut answered_at = world.now();
                        while told != "done" && told != "aborted" && !over.load(Ordering::Relaxed) {
                            thread::sleep(Duration::from_secs_f64(d.between(2.0, 5.0)));
                            let (status, standing) = world.poll(d.below(n), &job.id);
                            if status == 200 {
                                told = standing;
                                answered_at = world.now();
                            } else if world.now() - answered_at > 90.0 {
                                let gap = world.now() - answered_at;
                                world.record.line(format!(
                                    "note: no answer about {} for {gap:.0} s",
                                    job.id
                                ));
                            }
                        }
                        open.lock().unwrap().retain(|id| *id != job.id);
                        if told == "done" || told == "aborted" {
                            for i in 0..n {
                                world.poll(i, &job.id);
                            }
                            if d.next() < 0.3 {
                                world.submit(d.below(n), &job);
                            }
                        }
                    });
                    thread::sleep(Duration::from_secs_f64(dice.between(1.5, 6.0)));
                }
            })
        })
        .collect();
    while world.now() < ends_at {
        thread::sleep(Duration::from_secs_f64(dice.between(0.3, 3.0)));
        world.judge.check_cancelled();
        if trouble {
            if cloudy && dice.next() < 0.8 {
                disturb_machines(&world, &mut dice, &over);
            } else {
                disturb(&world, &mut dice, &over);
            }
        }
    }
    world.record.line("the troubles end");
    closing.store(true, Ordering::Relaxed);
    settled.store(true, Ordering::Relaxed);
    slowing.map(|slowing| slowing.join());
    let quiet_until = world.now() + 120.0;
    thread::sleep(Duration::from_secs(20));
    while world.now() < quiet_until && !open.lock().unwrap().is_empty() {
        thread::sleep(Duration::from_millis(200));
        world.judge.check_cancelled();
    }
    over.store(true, Ordering::Relaxed);
    users.into_iter().for_each(|user| drop(user.join()));
    thread::sleep(Duration::from_millis(500));
    let ended = world.fleet.ended();
    let waiting = open.lock().unwrap().clone();
    world
        .record
        .line(format!("waiting at the end: {}", waiting.join(" ")));
    println!("seed {seed}: waiting at the end {}", waiting.len());
    world.fleet.stop_all();
    world.fleet.quote_logs(&[
        "conflicting",
        "level=error",
        "event=leader",
        "event=epoch",
        "event=reconciled",
        "leadership",
    ]);
    let broken = world.judge.broken();
    world.record.line(format!(
        "late starts {} ended {ended:?}",
        world.judge.late_starts()
    ));
    println!(
        "seed {seed}: broken {broken:?} late starts {} ended {ended:?}",
        world.judge.late_starts()
    );
    Ok(broken.is_empty() && ended.is_empty())
}

fn later(after: f64, over: &Arc<AtomicBool>, call: impl FnOnce() + Send + 'static) {
    let _ = over;
    thread::spawn(move || {
        thread::sleep(Duration::from_secs_f64(after));
        call();
    });
}

fn disturb(world: &Arc<World>, dice: &mut Dice, over: &Arc<AtomicBool>) {
    let i = if dice.next() < 0.5 {
        world.leader().unwrap_or(0)
    } else {
        dice.below(world.fleet.members.len())
    };
    let n = world.fleet.members.len();
    let w = world.clone();
    let machines: Vec<_> = world.workers.lock().unwrap().values().cloned().collect();
    match dice.below(13) {
        0 => {
            let back = if dice.next() < 0.4 {
                dice.between(0.05, 0.6)
            } else {
                8.0
            };
            world.fleet.kill(i);
            later(back, over, move || w.fleet.start(i));
        }
        1 if std::env::var("SLOW").is_err() => {
            world.fleet.signal(i, "STOP");
            later(dice.between(0.5, 7.0), over, move || {
                w.fleet.signal(i, "CONT")
            });
        }
        2 => {
            world.record.line(format!("store refuses rung-{i}"));
            world.endpoints[i].set_fault(|_, _| Fault::Refuse);
            later(dice.between(0.5, 9.0), over, move || w.endpoints[i].clear());
        }
        3 => {
            world.record.line("store is out");
            *world.store.out.lock().unwrap() = true;
            later(dice.between(0.5, 14.0), over, move || {
                *w.store.out.lock().unwrap() = false
            });
        }
        4 => {
            let share = dice.between(0.1, 0.9);
            let d = Mutex::new(Dice(dice.0 ^ 999));
            world.record.line(format!(
                "store answers of rung-{i} get lost, share {share:.1}"
            ));
            world.endpoints[i].set_fault(move |request, _| {
                let lost = d.lock().unwrap().next() < share;
                if lost && request.method != "GET" {
                    Fault::AnswerLost
                } else {
                    Fault::None
                }
            });
            later(dice.between(2.0, 10.0), over, move || {
                w.endpoints[i].clear()
            });
        }
        5 => {
            let share = dice.between(0.1, 0.7);
            let d = Mutex::new(Dice(dice.0 ^ 555));
            world.record.line(format!(
                "store carries out late for rung-{i}, share {share:.1}"
            ));
            world.endpoints[i].set_fault(move |request, _| {
                let mut d = d.lock().unwrap();
                let late = d.next() < share && request.path == "/txn";
                if late {
                    Fault::Late(d.between(2000.0, 12000.0) as u64)
                } else {
                    Fault::None
                }
            });
            later(dice.between(2.0, 10.0), over, move || {
                w.endpoints[i].clear()
            });
        }
        6 => {
            let d = Mutex::new(Dice(dice.0 ^ 333));
            world.record.line(format!("store is slow for rung-{i}"));
            world.endpoints[i]
                .set_fault(move |_, _| Fault::Slow(d.lock().unwrap().between(50.0, 900.0) as u64));
            later(dice.between(2.0, 8.0), over, move || w.endpoints[i].clear());
        }
        7 => {
            let j = dice.below(n);
            world.record.line(format!("link {i}-{j} is cut"));
            for (a, b) in [(i, j), (j, i)] {
                world.fleet.links[a][b].set_cut(true);
            }
            later(dice.between(0.3, 9.0), over, move || {
                for (a, b) in [(i, j), (j, i)] {
                    w.fleet.links[a][b].set_cut(false);
                }
            });
        }
        8 => {
            world
                .record
                .line(format!("links of rung-{i} are slow or reset"));
            let ms = dice.between(20.0, 500.0) as u64;
            let reset = dice.next() < 0.4;
            for j in 0..n {
                for (a, b) in [(i, j), (j, i)] {
                    world.fleet.links[a][b].set_delay(ms);
                    if reset {
                        world.fleet.links[a][b].reset();
                    }
                }
            }
            later(dice.between(1.0, 8.0), over, move || {
                for j in 0..n {
                    for (a, b) in [(i, j), (j, i)] {
                        w.fleet.links[a][b].set_delay(0);
                    }
                }
            });
        }
        9 | 10 if !machines.is_empty() => {
            let control = machines[dice.below(machines.len())].clone();
            let kind = dice.below(3);
            let for_s = dice.between(1.0, 20.0);
            let now = world.now();
            {
                let mut control = control.lock().unwrap();
                match kind {
                    0 => control.cut = true,
                    1 => control.deaf = true,
                    _ => control.hang_until = now + for_s,
                }
            }
            world.record.line(format!(
                "a machine is {} for {for_s:.1} s",
                ["cut", "deaf", "hung"][kind]
            ));
            later(for_s, over, move || {
                let mut control = control.lock().unwrap();
                control.cut = false;
                control.deaf = false;
            });
        }
        11 if !machines.is_empty() => {
            for control in &machines {
                let copy = (dice.next() < 0.5).then(|| (dice.between(2.0, 18.0), dice.below(n)));
                control.lock().unwrap().copy = copy;
            }
        }
        _ => {
            world.record.line("the cloud is down");
            *world.cloud.down.lock().unwrap() = true;
            later(dice.between(1.0, 10.0), over, move || {
                *w.cloud.down.lock().unwrap() = false
            });
        }
    }
}

/// Slow links, machines taken back with and without notice.
fn disturb_machines(world: &Arc<World>, dice: &mut Dice, over: &Arc<AtomicBool>) {
    let w = world.clone();
    let names: Vec<String> = {
        let machines = world.cloud.machines.lock().unwrap();
        machines
            .values()
            .filter(|m| m.gone_at.is_none() && m.up_at.is_some())
            .map(|m| m.name.clone())
            .collect()
    };
    match dice.below(3) {
        0 if names.len() > 3 => {
            let name = names[dice.below(names.len())].clone();
            let after = dice.between(0.0, 20.0);
            if dice.next() < 0.6 {
                if let Some(control) = world.control(&name) {
                    control.lock().unwrap().notice_until = Some(world.now() + after);
                }
            }
            later(after, over, move || w.cloud.take_back(&name));
        }
        _ => {
            let ms = dice.between(50.0, 450.0) as u64;
            world.record.line(format!("links take {ms} ms"));
            for links in &world.fleet.links {
                links.iter().for_each(|link| link.set_delay(ms));
            }
            later(dice.between(3.0, 12.0), over, move || {
                for links in &w.fleet.links {
                    links.iter().for_each(|link| link.set_delay(0));
                }
            });
        }
    }
}
