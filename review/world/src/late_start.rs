//! A controller is cut from the state service and from the other controllers, not from its workers, while a
//! job is cancelled through another one.

use crate::store::Fault;
use crate::world::{array, kooperatif, kucuk_kasa, World};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The result: whether the rules held, or why the case could not run.
pub fn run(root: &str, folder: &str, record: &str, trouble: bool) -> Result<bool, String> {
    let world = World::new(kooperatif(), vec![kucuk_kasa()], 1, 3, root, folder, record);
    let result = play(&world, trouble);
    world.fleet.stop_all();
    world
        .fleet
        .quote_logs(&["event=authority ", "event=cancelled", "event=epoch"]);
    let result = result.map(|held| {
        let broken = world.judge.broken();
        world.record.line(format!(
            "result: held {held}, other broken rules {:?}",
            broken.keys().collect::<Vec<_>>()
        ));
        held && broken.is_empty()
    });
    if let Err(why) = &result {
        world
            .record
            .line(format!("result: the case could not run: {why}"));
    }
    result
}

fn play(world: &Arc<World>, trouble: bool) -> Result<bool, String> {
    let say = |text: &str| world.record.line(text);
    world.cloud.set_boot(|_, _| Some(15.0));
    if !world.start_all() {
        return Err("the controllers are not ready".into());
    }
    thread::sleep(Duration::from_secs(2));
    let leader = world.leader().ok_or("no leader")?;
    // A job that has a machine rented, and keeps part of it.
    let mut first = array("wk-000001", "tescil-ekibi", 1, 1.0);
    (first.run_s, first.expected_s) = (100.0, 100.0);
    if world.submit(leader, &first).0 != 201 {
        return Err("the first job was not accepted".into());
    }
    let machine = world.wait_for(world.now() + 40.0, || {
        world.judge.is_on_any("wk-000001/0").pop()
    });
    let machine = machine.ok_or("the first job does not run")?;
    let worker = world.control(&machine).ok_or("no worker")?;
    world.sleep_until(world.now() + 4.0);
    let owner = worker.lock().unwrap().target.clone();
    let owner = world
        .fleet
        .index(&owner)
        .filter(|o| *o != leader)
        .ok_or("the leader owns the machine")?;
    let other = (0..3)
        .find(|i| *i != leader && *i != owner)
        .ok_or("no third controller")?;
    say(&format!(
        "rung-{leader} leads, rung-{owner} answers {machine}, rung-{other} takes the cancellation"
    ));

    let begun = Arc::new(Mutex::new(None));
    let (seen, recording) = (begun.clone(), world.record.clone());
    world.store.watch(move |key, _| {
        if key == "lr/begun" {
            seen.lock().unwrap().get_or_insert(recording.now());
        }
    });
    // The job is submitted just after a report of the worker.
    let reported = worker.lock().unwrap().last_report_at;
    let next = world.wait_for(world.now() + 3.0, || {
        let last = worker.lock().unwrap().last_report_at;
        (last > reported).then_some(last)
    });
    let reported = next.ok_or("no report")?;
    worker.lock().unwrap().next_report_at = Some(reported + 1.25);
    let mut second = array("wk-000002", "veri-odasi", 4, 1.0);
    second.run_s = 60.0;
    if world.submit(leader, &second).0 != 201 {
        return Err("the second job was not accepted".into());
    }
    let begun = world
        .wait_for(world.now() + 2.0, || *begun.lock().unwrap())
        .ok_or("it is not begun")?;
    world.sleep_until(begun + 0.15);
    if trouble {
        say(&format!(
            "rung-{owner} is cut from the state service and the other controllers"
        ));
        world.endpoints[owner].set_fault(|_, _| Fault::Refuse);
        for i in 0..3 {
            world.fleet.links[i][owner].set_cut(true);
            world.fleet.links[owner][i].set_cut(true);
        }
    }
    let (status, standing) = world.cancel(other, "wk-000002");
    let told_at = world.now();
    if (status, standing.as_str()) != (200, "aborted") {
        return Err("the cancellation was not confirmed".into());
    }
    if (0..4).any(|i| world.judge.starts(&format!("wk-000002/{i}")) > 0) {
        return Err("a task started before the cancellation".into());
    }
    world.sleep_until(told_at + 6.0);
    let reported = worker.lock().unwrap().launched_at;
    let started = (0..4)
        .filter(|i| world.judge.starts(&format!("wk-000002/{i}")) > 0)
        .count();
    world.endpoints[owner].clear();
    for i in 0..3 {
        world.fleet.links[i][owner].set_cut(false);
        world.fleet.links[owner][i].set_cut(false);
    }
    if started == 0 {
        return Ok(true);
    }
    // Orders that were under way are excused: the report that fetched these was sent after the user was told.
    let after = reported - told_at;
    say(&format!("{started} tasks start, launched in the answer to a report that was sent {after:.2} s after the user was told"));
    Ok(after <= 0.0)
}
