//! The cases. Each returns what broke the rule, or nothing if it held.

use crate::machines::{Kind, Work};
use crate::world::{Deployment, Event, Record, Site, StopFlag, World, LAKESIDE_TIMES};
use std::path::Path;
use std::time::Duration;

type Outcome = Result<Option<String>, String>;

/// Where the version in production is built, below the repository's root.
pub const PRODUCTION: &str = "target/production";
/// Seconds after which the platform starts an ended process again, as the brief says.
const BACK_S: f64 = 8.0;

pub fn run(case: &str, folder: &Path, root: &Path, trouble: bool, stop: StopFlag) -> Outcome {
    match case {
        "upgrade-progress" => upgrade_progress(folder, root, trouble, stop),
        "released-result" => released_result(folder, root, trouble, stop),
        "upgrade-sections" => upgrade_sections(folder, root, trouble, stop),
        "upgrade-cancel" => upgrade_cancel(folder, root, trouble, stop),
        "soak" => crate::soak::run(folder, root, trouble, stop),
        _ => Err(format!("no case {case}")),
    }
}

/// Returns the `run` command of the deploy file in a folder.
pub fn run_command(root: &Path) -> Result<String, String> {
    let file = root.join("deploy/service.toml");
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{}: {e}", file.display()))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    Ok(line
        .ok_or("the deploy file has no run")?
        .trim_end_matches('"')
        .to_string())
}

/// Nominal boot time of a till-box.
const TILL_BOX_BOOT_S: f64 = 15.0;
/// "At times machines are up within a second or two."
const UP_AT_ONCE_S: f64 = 2.0;

/// Returns the machine type `till-box` of `lakeside-preorder`, whose machines are up after `up_s`.
pub fn till_box(up_s: f64) -> Kind {
    Kind {
        name: "till-box",
        cpus: 4.0,
        memory_gb: 32.0,
        price: 0.29,
        boot_s: TILL_BOX_BOOT_S,
        up_s,
        zones: vec!["a"],
    }
}

/// Returns the tasks that were started again after their worker was told to forget their result.
fn run_again(world: &World) -> Vec<Event> {
    let events = world.events();
    let acknowledged = |event: &Event, before: &[Event]| {
        let of_task = |record: Record| {
            before
                .iter()
                .any(|e| e.task == event.task && e.record == record)
        };
        of_task(Record::Done) && of_task(Record::Cleared)
    };
    let again = events
        .iter()
        .enumerate()
        .filter(|(i, event)| event.record == Record::Started && acknowledged(event, &events[..*i]));
    again.map(|(_, event)| event.clone()).collect()
}

/// The upgrade lays the progress of a large array out anew, and the next leader does not find it.
fn upgrade_progress(folder: &Path, root: &Path, trouble: bool, stop: StopFlag) -> Outcome {
    const LARGE: &str = "wk-000100";
    const LARGE_TASKS: usize = 5000;
    const DONE: usize = 10;
    const SMALL_JOBS: usize = 14;
    let site = Site {
        members: 3,
        kinds: vec![till_box(UP_AT_ONCE_S)],
        team_cpus_max: 60.0,
        times: LAKESIDE_TIMES,
        next: Some((2.0, 4, 18.0)),
    };
    let (new, old) = (root.to_path_buf(), root.join(PRODUCTION));
    let new_command = run_command(&new)?;
    let old_command = if trouble {
        run_command(&old)?
    } else {
        String::new()
    };
    let mut bed = Deployment::new(site, folder, stop);
    let world = bed.world.clone();
    for i in 0..3 {
        if trouble {
            bed.start(i, &old_command, &old);
        } else {
            bed.start(i, &new_command, &new);
        }
    }
    for i in 0..3 {
        bed.wait_ready(i, 10.0)?;
    }
    let long = 300.0;
    let work = |run_s: Vec<f64>| Work {
        cpus: 1.0,
        memory_gb: 1.0,
        image_gb: 0.2,
        run_s,
    };
    let small = |n: usize| format!("wk-{:06}", 200 + n);
    for n in 0..SMALL_JOBS {
        world.submit(&small(n), &["till-box"], work(vec![0.5, long, long]))?;
    }
    // Something of each job is done, recorded, and forgotten by the workers; the rest runs on.
    let cleared = |world: &World, task: &str| world.count(task, Record::Cleared) > 0;
    bed.wait(
        30.0,
        "the first tasks of the small jobs are recorded",
        |world| {
            (0..SMALL_JOBS).all(|n| {
                cleared(world, &format!("{}/0", small(n)))
                    && world.count(&format!("{}/1", small(n)), Record::Started) > 0
                    && world.count(&format!("{}/2", small(n)), Record::Started) > 0
            })
        },
    )?;
    let large = (0..LARGE_TASKS).map(|i| if i < DONE { 0.5 } else { long });
    world.submit(LARGE, &["till-box"], work(large.collect()))?;
    bed.wait(
        30.0,
        "the first tasks of the large job are recorded",
        |world| (0..DONE).all(|i| cleared(world, &format!("{LARGE}/{i}"))),
    )?;
    world.poll(LARGE);
    note_progress(&world);
    if trouble {
        for i in 0..3 {
            bed.kill(i);
            bed.pause(BACK_S);
            bed.start(i, &new_command, &new);
            bed.pause(2.0);
        }
        for i in 0..3 {
            bed.wait_ready(i, 10.0)?;
        }
    }
    bed.wait(10.0, "there is a leader", |world| {
        world.store.leader().is_some()
    })?;
    bed.pause(4.0);
    // A task of each small job ends.
    world.complete((0..SMALL_JOBS).map(|n| format!("{}/1", small(n))));
    bed.wait(15.0, "the ends are recorded", |world| {
        (0..SMALL_JOBS).all(|n| cleared(world, &format!("{}/1", small(n))))
    })?;
    world.poll(LARGE);
    note_progress(&world);
    if trouble {
        for i in 0..3 {
            bed.kill(i);
        }
        bed.pause(BACK_S);
        for i in 0..3 {
            bed.start(i, &new_command, &new);
        }
        for i in 0..3 {
            bed.wait_ready(i, 10.0)?;
        }
        bed.pause(4.0);
    }
    // Some tasks of the large job end, so that others of it start.
    let running = (DONE..LARGE_TASKS).map(|i| format!("{LARGE}/{i}"));
    let running = running
        .filter(|task| world.count(task, Record::Started) > 0)
        .take(DONE);
    world.complete(running.collect::<Vec<_>>());
    bed.pause(12.0);
    world.poll(LARGE);
    note_progress(&world);
    let again = run_again(&world);
    let names: Vec<&str> = again.iter().map(|event| event.task.as_str()).collect();
    Ok((!again.is_empty()).then(|| {
        format!(
            "started again after their results were recorded: {}",
            names.join(" ")
        )
    }))
}

/// During an upgrade the new version records progress where the version in production does not look.
fn upgrade_sections(folder: &Path, root: &Path, trouble: bool, stop: StopFlag) -> Outcome {
    const JOB: &str = "wk-000100";
    const TASKS: usize = 4180;
    /// The tasks before this one are short; those from `FIRST` on are looked at.
    const SHORT: usize = 4120;
    const FIRST: usize = 4096;
    let site = Site {
        members: 3,
        kinds: vec![till_box(UP_AT_ONCE_S)],
        team_cpus_max: 60.0,
        times: LAKESIDE_TIMES,
        next: Some((2.0, 4, 18.0)),
    };
    let (new, old) = (root.to_path_buf(), root.join(PRODUCTION));
    let new_command = run_command(&new)?;
    let old_command = run_command(&old)?;
    let mut bed = Deployment::new(site, folder, stop);
    let world = bed.world.clone();
    for i in 0..3 {
        if trouble {
            bed.start(i, &old_command, &old);
        } else {
            bed.start(i, &new_command, &new);
        }
    }
    for i in 0..3 {
        bed.wait_ready(i, 10.0)?;
    }
    if trouble {
        // The first controller's turn.
        bed.kill(0);
        bed.pause(BACK_S);
        bed.start(0, &new_command, &new);
        bed.wait_ready(0, 10.0)?;
        bed.pause(1.0);
        // The second one's turn; the third one crashes, and comes back as it was.
        bed.kill(1);
        bed.kill(2);
        bed.pause(BACK_S);
        bed.start(1, &new_command, &new);
        bed.start(2, &old_command, &old);
        bed.wait_ready(1, 10.0)?;
        bed.wait_ready(2, 10.0)?;
    }
    let leads = |world: &World| {
        world
            .store
            .leader()
            .is_some_and(|name| name == "rung-0" || !trouble)
    };
    bed.wait(10.0, "the first controller leads", leads)?;
    let run_s = (0..TASKS)
        .map(|i| if i < SHORT { 0.3 } else { 300.0 })
        .collect();
    world.submit(
        JOB,
        &["till-box"],
        Work {
            cpus: 0.1,
            memory_gb: 0.1,
            image_gb: 0.2,
            run_s,
        },
    )?;
    // A machine that is given back gets no `clear` any more; the others do.
    bed.wait(
        45.0,
        "the short tasks are done, and cleared where the machine is kept",
        |world| {
            let (events, released) = (world.events(), world.cloud.released());
            let settled = events.iter().filter(|event| event.record == Record::Done);
            let settled = settled.filter(|event| {
                released.contains(&event.machine) || world.count(&event.task, Record::Cleared) > 0
            });
            settled.count() >= SHORT
        },
    )?;
    let is_cleared = |i: usize| world.count(&format!("{JOB}/{i}"), Record::Cleared) > 0;
    if trouble && !(FIRST..SHORT).any(is_cleared) {
        return Err(
            "no task that is looked at was cleared before its machine was given back".into(),
        );
    }
    world.poll(JOB);
    note_progress(&world);
    if trouble {
        bed.kill(0);
        bed.kill(1);
        bed.pause(BACK_S);
        bed.start(0, &new_command, &new);
        bed.start(1, &new_command, &new);
    }
    let _ = bed.wait(20.0, "a task starts again", |world| {
        !run_again(world).is_empty()
    });
    bed.pause(3.0);
    world.note(&format!("the leader is {:?}", world.store.leader()));
    world.poll(JOB);
    let again = run_again(&world);
    let names: Vec<&str> = again.iter().map(|event| event.task.as_str()).collect();
    Ok((!again.is_empty()).then(|| {
        format!(
            "started again after their results were recorded: {}",
            names.join(" ")
        )
    }))
}

/// While both versions serve, a controller of the version in production is cut off and starts a task after
/// the new version has told the user that its job is cancelled.
fn upgrade_cancel(folder: &Path, root: &Path, trouble: bool, stop: StopFlag) -> Outcome {
    const FIRST: &str = "wk-000100";
    const SECOND: &str = "wk-000200";
    let site = Site {
        members: 3,
        kinds: vec![till_box(UP_AT_ONCE_S)],
        team_cpus_max: 60.0,
        times: LAKESIDE_TIMES,
        next: None,
    };
    let (new, old) = (root.to_path_buf(), root.join(PRODUCTION));
    let (new_command, old_command) = (run_command(&new)?, run_command(&old)?);
    let mut bed = Deployment::new(site, folder, stop);
    let world = bed.world.clone();
    for i in 0..3 {
        if trouble {
            bed.start(i, &old_command, &old);
        } else {
            bed.start(i, &new_command, &new);
        }
    }
    for i in 0..3 {
        bed.wait_ready(i, 10.0)?;
    }
    if trouble {
        // The first controller's turn. The others crash, and come back as they were; so it leads.
        bed.kill(0);
        bed.pause(BACK_S);
        bed.start(0, &new_command, &new);
        bed.wait_ready(0, 10.0)?;
        bed.pause(1.0);
        bed.kill(1);
        bed.kill(2);
        bed.pause(BACK_S);
        for i in 1..3 {
            bed.start(i, &old_command, &old);
            bed.wait_ready(i, 10.0)?;
        }
    }
    let leads = |world: &World| {
        world
            .store
            .leader()
            .is_some_and(|name| name == "rung-0" || !trouble)
    };
    bed.wait(10.0, "the first controller leads", leads)?;
    bed.pause(3.0);
    let work = |run_s: Vec<f64>| Work {
        cpus: 1.0,
        memory_gb: 1.0,
        image_gb: 0.2,
        run_s,
    };
    world.submit(FIRST, &["till-box"], work(vec![300.0, 300.0]))?;
    bed.wait(30.0, "the first job runs", |world| {
        (0..2).all(|i| world.count(&format!("{FIRST}/{i}"), Record::Started) > 0)
    })?;
    bed.pause(4.0);
    let machine = world
        .events()
        .first()
        .map(|e| e.machine.clone())
        .ok_or("no machine")?;
    let owner = || -> Option<usize> {
        let answered = world.answered_by.lock().ok()?;
        answered.get(&machine)?.strip_prefix("rung-")?.parse().ok()
    };
    // A report has just been answered when a task has just ended; the next one is due in 2 s at the least.
    world.complete([format!("{FIRST}/0")]);
    bed.wait(5.0, "a task ends", |world| {
        world.count(&format!("{FIRST}/0"), Record::Cleared) > 0
    })?;
    bed.pause(0.7);
    let owner = owner().ok_or("no controller answers the machine")?;
    let leader = bed.leader().ok_or("no leader")?;
    world.note(&format!(
        "rung-{owner} answers {machine}; rung-{leader} leads"
    ));
    world.submit(SECOND, &["till-box"], work(vec![300.0]))?;
    bed.pause(0.6);
    if trouble {
        bed.cut_off(owner, true);
    }
    let told_s = world
        .cancel(SECOND, leader)
        .ok_or("the cancellation is not confirmed")?;
    bed.pause(0.3);
    // The machine has something to report, so that it does so at once.
    world.complete([format!("{FIRST}/1")]);
    bed.pause(8.0);
    if trouble {
        bed.cut_off(owner, false);
    }
    bed.pause(3.0);
    let late = world
        .launches(&format!("{SECOND}/0"))
        .into_iter()
        .filter(|sent_s| *sent_s > told_s);
    let late: Vec<f64> = late.collect();
    world.note(&format!(
        "told at {told_s:.3}; launched for later reports: {late:?}"
    ));
    Ok((!late.is_empty()).then(|| {
        let after_s = late[0] - told_s;
        format!("{SECOND}/0 was launched for a report of {after_s:.2} s after the user was told aborted")
    }))
}

/// Writes what the state service holds of the progress of jobs into the record.
fn note_progress(world: &World) {
    for (key, value) in world.store.values("lr/progress/") {
        let size = value.json().len();
        let jobs = ["chunks", "sections"]
            .iter()
            .flat_map(|field| value.list(field));
        let jobs: Vec<String> = jobs
            .map(|entry| match entry {
                crate::cbor::V::List(parts) => parts.first().map_or(String::new(), |p| p.json()),
                _ => String::new(),
            })
            .collect();
        world.note(&format!(
            "store: {key} has {size} bytes: {}",
            jobs.join(" ")
        ));
    }
}

/// While writes lag, a machine with a result that is recorded nowhere is given back, and the leader ends.
fn released_result(folder: &Path, root: &Path, trouble: bool, stop: StopFlag) -> Outcome {
    const JOB: &str = "wk-000100";
    const TASKS: usize = 4;
    /// Within the 2 to 12 s of the protocol's further pages.
    const LATE_BY: Duration = Duration::from_secs(11);
    let site = Site {
        members: 3,
        kinds: vec![till_box(TILL_BOX_BOOT_S)],
        team_cpus_max: 60.0,
        times: LAKESIDE_TIMES,
        next: None,
    };
    let command = run_command(root)?;
    let mut bed = Deployment::new(site, folder, stop);
    let world = bed.world.clone();
    for i in 0..3 {
        bed.start(i, &command, root);
    }
    for i in 0..3 {
        bed.wait_ready(i, 10.0)?;
    }
    let work = Work {
        cpus: 4.0,
        memory_gb: 8.0,
        image_gb: 0.2,
        run_s: vec![300.0; TASKS],
    };
    world.submit(JOB, &["till-box"], work)?;
    let task = |i: usize| format!("{JOB}/{i}");
    bed.wait(30.0, "all tasks run", |world| {
        (0..TASKS).all(|i| world.count(&task(i), Record::Started) > 0)
    })?;
    bed.pause(3.0);
    if trouble {
        world.note("state service: transactions are carried out late from now on");
        world
            .store
            .begin_late_writes(Duration::from_secs(20), LATE_BY);
    }
    world.complete([task(0)]);
    bed.wait(10.0, "the first task is done", |world| {
        world.count(&task(0), Record::Done) > 0
    })?;
    let events = world.events();
    let done = events
        .iter()
        .find(|e| e.record == Record::Done)
        .ok_or("nothing is done")?;
    let machine = done.machine.clone();
    let is_released = |world: &World| world.cloud.released().contains(&machine);
    bed.wait(
        15.0,
        "the machine of the first task is given back",
        is_released,
    )?;
    let was_recorded = world.count(&task(0), Record::Cleared) > 0;
    if trouble {
        let leader = bed.leader().ok_or("no leader")?;
        bed.kill(leader);
        world.store.end_late_writes();
        world.note("state service: transactions are carried out at once again");
        bed.pause(BACK_S);
        bed.start(leader, &command, root);
    }
    // Whether the task starts again is seen when the new leader knows what every machine runs.
    let _ = bed.wait(65.0, "the first task starts again", |world| {
        world.count(&task(0), Record::Started) > 1
    });
    world.poll(JOB);
    let (late, outcomes) = world.store.late_writes();
    world.note(&format!(
        "state service: {late} late transactions, answered {outcomes:?}"
    ));
    let again = world.count(&task(0), Record::Started) > 1;
    Ok((again && !was_recorded).then(|| {
        format!(
            "{} was done on {machine}, which was given back, and ran again",
            task(0)
        )
    }))
}
