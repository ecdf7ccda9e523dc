//! A machine comes up very late, just when it is given back, while packets between two controllers
//! take 0.4 s.

use crate::world::{array, lakeside, till_box, World};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time that a packet takes between the controllers, either way, in milliseconds.
const DELAY_MS: u64 = 400;

/// The controller to which rendezvous hashing maps a machine; only used to choose machine names, so
/// that all machines of the test report to the same controller.
fn owner(machine: &str, members: &[String]) -> String {
    let hash = |member: &str| {
        let mut hash = 0xcbf2_9ce4_8422_2325u64;
        for byte in machine.bytes().chain([0]).chain(member.bytes()) {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        hash ^= hash >> 33;
        hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash ^ (hash >> 33)
    };
    let best = members.iter().max_by_key(|m| (hash(m), m.to_string()));
    best.cloned().unwrap_or_default()
}

/// The result: whether the rules held, or why the case could not run.
pub fn run(root: &str, folder: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let kinds = vec![till_box(vec!["toledo-dc"])];
    let world = World::new(lakeside(), kinds, 3, 3, root, folder, record);
    let result = play(&world, trouble);
    world.fleet.stop_all();
    world.fleet.quote_logs(&[
        "event=boot_timeout",
        "event=deprovision",
        "conflicting",
        "event=leader ",
        "event=epoch",
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
    let late: Arc<Mutex<Option<String>>> = Arc::default();
    // All machines report to one controller that does not lead.
    let (store, names) = (
        world.store.clone(),
        world.fleet.members.iter().map(|m| m.name.clone()),
    );
    let names: Vec<String> = names.collect();
    world.cloud.set_names(move |last| {
        let leader = store.leader().unwrap_or_default();
        let owners: Vec<String> = names.iter().filter(|n| **n != leader).cloned().collect();
        let suits = |n: &u64| owner(&format!("host-{n:06}"), &owners) == owners[0];
        (last + 1..).find(suits).unwrap_or(last + 1)
    });
    let first = late.clone();
    world.cloud.set_boot(move |rented, position| {
        let mut first = first.lock().unwrap();
        if first.is_none() && position == 0 {
            *first = Some(rented.name.clone());
            // The first machine takes several times as long as the others.
            return if trouble { None } else { Some(11.0) };
        }
        Some(9.0 + position as f64)
    });
    let (asked, answer) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (asks, answers, of) = (asked.clone(), answer.clone(), late.clone());
    let recording = world.record.clone();
    world.cloud.on_release(move |released| {
        if released
            .iter()
            .any(|name| of.lock().unwrap().as_ref() == Some(name))
        {
            asks.store(true, Ordering::SeqCst);
            let until = recording.now() + 4.6;
            while !answers.load(Ordering::SeqCst) && recording.now() < until {
                thread::sleep(Duration::from_millis(2));
            }
        }
    });

    if !world.start_all() {
        return Err("the controllers are not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let leader = world.leader().ok_or("no leader")?;
    say(&format!("rung-{leader} leads"));
    let mut first_job = array("wk-000001", "ops-desk-1", 3, 4.0);
    first_job.run_s = 9.0;
    if world.submit(leader, &first_job).0 != 201 {
        return Err("the first job was not accepted".into());
    }
    let until = world.now() + 5.0;
    let rented_at = world.wait_for(until, || {
        let machines = world.cloud.machines.lock().unwrap();
        (machines.len() == 3).then(|| machines.values().next().map_or(0.0, |m| m.rented_at))
    });
    let rented_at = rented_at.ok_or("three machines were not rented at once")?;
    let machines: Vec<String> = world
        .cloud
        .machines
        .lock()
        .unwrap()
        .keys()
        .cloned()
        .collect();

    // A second job, so that the machines are kept for a while.
    world.sleep_until(rented_at + 26.0);
    let mut second_job = array("wk-000002", "ops-desk-1", 1, 4.0);
    second_job.run_s = 9.0;
    if world.submit(leader, &second_job).0 != 201 {
        return Err("the second job was not accepted".into());
    }
    world.sleep_until(rented_at + 46.0);
    if world.judge.results_of(&first_job) < 3 || world.judge.results_of(&second_job) < 1 {
        return Err("the first jobs did not complete".into());
    }
    // From here on the reports of both other machines go out at chosen times, within a quarter of the
    // interval of 3 s.
    let two = world.control(&machines[1]).ok_or("no second machine")?;
    let three = world.control(&machines[2]).ok_or("no third machine")?;
    let start = if trouble {
        let until = rented_at + 58.0;
        world
            .wait_for(until, || asked.load(Ordering::SeqCst).then_some(()))
            .ok_or("no release")?;
        world.now()
    } else {
        world.sleep_until(rented_at + 53.0);
        world.now()
    };
    say(&format!("the machines are {}", machines.join(", ")));
    if trouble {
        for from in 0..3 {
            world.fleet.links[from][leader].set_delay(DELAY_MS);
        }
        say(&format!(
            "packets to and from rung-{leader} take {DELAY_MS} ms"
        ));
    }
    // The third job is submitted 2.2 s after a report of the second machine.
    let last = two.lock().unwrap().last_report_at;
    let base = if last + 2.2 >= start + 1.9 {
        last
    } else {
        (last + 2.4).max(start + 0.05)
    };
    if base > last {
        two.lock().unwrap().next_report_at = Some(base);
    }
    let submit_at = base + 2.2;
    let last = three.lock().unwrap().last_report_at;
    let three_at = submit_at - 1.45;
    if three_at > last {
        three.lock().unwrap().next_report_at = Some(three_at.max(last + 2.25));
    }
    if trouble {
        world.sleep_until(submit_at - 1.8);
        world.cloud.start(&machines[0]);
    }
    world.sleep_until(submit_at);
    let begun = Arc::new(Mutex::new(None));
    let (seen, recording) = (begun.clone(), world.record.clone());
    world.store.watch(move |key, _| {
        if key == "lr/begun" {
            seen.lock().unwrap().get_or_insert(recording.now());
        }
    });
    let mut third_job = array("wk-000003", "ops-desk-1", 1, 4.0);
    third_job.kit = "img-02".into();
    third_job.image_gb = 0.1;
    third_job.run_s = 40.0;
    if world.submit(leader, &third_job).0 != 201 {
        return Err("the third job was not accepted".into());
    }
    let until = world.now() + 3.0;
    let begun = world
        .wait_for(until, || *begun.lock().unwrap())
        .ok_or("the job is not begun")?;
    two.lock().unwrap().next_report_at = Some(begun + 0.60);
    let last = three.lock().unwrap().last_report_at;
    three.lock().unwrap().next_report_at = Some((begun + 1.95).clamp(last + 2.25, last + 3.75));
    if trouble {
        world.sleep_until(begun + 0.25);
        answer.store(true, Ordering::SeqCst);
    }
    world.sleep_until(begun + 8.0);
    for from in 0..3 {
        world.fleet.links[from][leader].set_delay(0);
    }
    world.sleep_until(begun + 10.0);
    if world.judge.starts("wk-000003/0") == 0 {
        return Err("the third job did not start".into());
    }
    Ok(())
}
