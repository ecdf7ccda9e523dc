//! The leader's link to the state service flaps while controllers find each other again: the leader ends
//! its own lease early. Then a machine loses the network.

use crate::store::Fault;
use crate::world::{array, kooperatif, kucuk_kasa, World};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Calm,
    /// The answer to a new token is lost, and so is the request that reads it back.
    Flapping,
    /// The state service refuses this controller alone.
    Refused,
}

/// The result: whether the rules held, or why the case could not run.
pub fn run(root: &str, folder: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let mut kind = kucuk_kasa();
    kind.boot_s = 25.0;
    let world = World::new(kooperatif(), vec![kind], 2, 3, root, folder, record);
    let result = play(&world, trouble);
    world.fleet.stop_all();
    world.fleet.quote_logs(&[
        "conflicting",
        "event=leader",
        "event=epoch",
        "lease_expired",
        "authority ",
    ]);
    let result = result.map(|()| {
        let broken = world.judge.broken();
        world.record.line(format!(
            "result: broken rules {:?}",
            broken.keys().collect::<Vec<_>>()
        ));
        broken.is_empty()
    });
    if let Err(why) = &result {
        world
            .record
            .line(format!("result: the case could not run: {why}"));
    }
    result
}

fn play(world: &Arc<World>, trouble: bool) -> Result<(), String> {
    let say = |text: &str| world.record.line(text);
    world.cloud.set_boot(|_, _| Some(15.0));
    if !world.start_all() {
        return Err("the controllers are not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let a = world.leader().ok_or("no leader")?;
    let b = (a + 1) % 3;
    let mut long = array("wk-000001", "tescil-ekibi", 3, 4.0);
    (long.run_s, long.expected_s) = (200.0, 200.0);
    if world.submit(a, &long).0 != 201 {
        return Err("the job was not accepted".into());
    }
    let running = || {
        (0..3)
            .map(|i| {
                world
                    .judge
                    .is_on_any(&format!("wk-000001/{i}"))
                    .into_iter()
                    .next()
            })
            .collect::<Option<Vec<_>>>()
    };
    let on = world
        .wait_for(world.now() + 40.0, running)
        .ok_or("the job does not run")?;
    // The machine with two tasks, and the other one, which has room for one more.
    let full = on
        .iter()
        .find(|m| on.iter().filter(|n| n == m).count() == 2)
        .ok_or("no full machine")?;
    let other = on.iter().find(|m| *m != full).ok_or("no second machine")?;
    say(&format!(
        "{full} has two tasks, {other} has one; rung-{a} leads"
    ));
    let (full_control, other_control) = (
        world.control(full).ok_or("no worker")?,
        world.control(other).ok_or("no worker")?,
    );

    if trouble {
        say("connections between controllers are refused");
        for links in &world.fleet.links {
            links.iter().for_each(|link| link.set_refused(true));
        }
    }
    // Both workers have found the leader, which now answers all.
    let leader_name = format!("rung-{a}");
    if trouble {
        let settled = || {
            let at_leader = |c: &Arc<Mutex<crate::worker::Control>>| {
                let c = c.lock().unwrap();
                c.target == leader_name && world.now() - c.last_answered_at < 1.5
            };
            (at_leader(&full_control) && at_leader(&other_control)).then_some(())
        };
        thread::sleep(Duration::from_secs(5));
        world
            .wait_for(world.now() + 15.0, settled)
            .ok_or("the workers did not find the leader")?;
    }
    let phase = Arc::new(Mutex::new(Phase::Calm));
    let ended_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let renewed_at = Arc::new(Mutex::new(0.0));
    let next_leader_at: Arc<Mutex<Option<f64>>> = Arc::default();
    if trouble {
        let (now_in, ended, renewed) = (phase.clone(), ended_at.clone(), renewed_at.clone());
        let record = world.record.clone();
        world.endpoints[a].set_fault(move |request, summary| {
            let mut phase = now_in.lock().unwrap();
            match *phase {
                Phase::Calm => {}
                Phase::Refused => return Fault::Refuse,
                Phase::Flapping => {
                    if summary.contains("lr/leader=") {
                        return Fault::AnswerLost;
                    }
                    if request.path == "/store/lr/leader" {
                        return Fault::RequestLost;
                    }
                    if request.method == "DELETE" {
                        *phase = Phase::Refused;
                        *ended.lock().unwrap() = Some(record.now());
                        return Fault::AnswerLost;
                    }
                }
            }
            if request.path.ends_with("/touch") {
                *renewed.lock().unwrap() = record.now();
            }
            Fault::None
        });
        let (ended, next) = (ended_at.clone(), next_leader_at.clone());
        let record = world.record.clone();
        world.store.watch(move |key, _| {
            if key == "lr/leader" && ended.lock().unwrap().is_some() {
                next.lock().unwrap().get_or_insert(record.now());
            }
        });
    }
    world.sleep_until(world.now() + 4.0);
    if trouble {
        *phase.lock().unwrap() = Phase::Flapping;
        say(&format!("rung-{b} reaches rung-{a} again; some answers of the state service to rung-{a} get lost"));
        world.fleet.links[b][a].set_refused(false);
    }
    // One-task jobs come four a second.
    let stop = Arc::new(AtomicBool::new(false));
    let (jobs, stopped) = (world.clone(), stop.clone());
    let users = thread::spawn(move || {
        for i in 0..10 {
            if stopped.load(Ordering::Relaxed) {
                return;
            }
            let mut job = array(&format!("wk-0001{i:02}"), "veri-odasi", 1, 1.0);
            job.run_s = 1.0;
            jobs.submit(a, &job);
            thread::sleep(Duration::from_millis(240));
        }
    });
    if !trouble {
        let _ = users.join();
        world.sleep_until(world.now() + 25.0);
        return Ok(());
    }
    let until = world.now() + 6.0;
    let ended = world.wait_for(until, || *ended_at.lock().unwrap());
    stop.store(true, Ordering::Relaxed);
    let _ = users.join();
    let ended = ended.ok_or("the leader did not end its lease")?;
    // The old leader may answer until 1.94 s after it sent its last renewal. One report more of the
    // full machine, then it loses the network.
    let renewed = *renewed_at.lock().unwrap();
    say(&format!(
        "the leader has ended its lease; its last renewal was {:.2} s earlier",
        ended - renewed
    ));
    let last = full_control.lock().unwrap().last_report_at;
    let latest = renewed + 1.80;
    // Regular reports come within a quarter of the interval of 1 s.
    let gaps = ((latest - last) / 1.25).ceil().max(1.0);
    let mut gap = (latest - last) / gaps;
    let mut count = gaps;
    if gap < 0.75 {
        count -= 1.0;
        gap = 1.25;
    }
    let mut at = last;
    for _ in 0..count as u32 {
        at += gap;
        full_control.lock().unwrap().next_report_at = Some(at);
        world.sleep_until(at + 0.03);
    }
    world.sleep_until(at + 0.08);
    let sent = full_control.lock().unwrap().last_report_at;
    full_control.lock().unwrap().cut = true;
    say(&format!("{full} loses the network, {:.2} s after the lease was ended; its last report is {:.2} s old", world.now() - ended, world.now() - sent));
    let next = world.wait_for(world.now() + 3.0, || *next_leader_at.lock().unwrap());
    let next = next.ok_or("no other controller leads")?;
    say(&format!(
        "the next leader has led for {:.2} s",
        world.now() - next
    ));
    // The cloud's interface is down when the new leader gives the silent machine up.
    let (cloud, record) = (world.cloud.clone(), world.record.clone());
    thread::spawn(move || {
        thread::sleep(Duration::from_secs_f64(
            (next + 7.0 - record.now()).max(0.0),
        ));
        record.line("the cloud's interface is down");
        *cloud.down.lock().unwrap() = true;
    });
    // The other machine reports when the new leader takes the full machine's lease for ended.
    let target = next + 0.30 + 11.0 * 1.002 + 0.2 + 0.35;
    loop {
        let last = other_control.lock().unwrap().last_report_at;
        let left = target - last;
        if left <= 1.25 || world.now() > target - 0.75 {
            other_control.lock().unwrap().next_report_at = Some(target.max(last + 0.75));
            break;
        }
        thread::sleep(Duration::from_millis(10));
        if left > 1.25 && left < 2.0 {
            // Two intervals of the same length.
            other_control.lock().unwrap().next_report_at = Some(last + left / 2.0);
            world.sleep_until(last + left / 2.0 + 0.05);
        }
    }
    world.sleep_until(target + 4.0);
    Ok(())
}
