//! Waiting jobs: how long retries may be delayed, how long idle machines are kept, and jobs that
//! can never be placed.

use model::world::{
    config, config_without_deprovisioning, job, lone_leader, machine_status, machine_type, roster,
    roster_record, task_status, Defect, World,
};
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::{TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::users::{Job, Shape};
use wire::workers::{TaskState, Why};

/// The catalog of these tests, with one machine type.
fn small_types() -> Vec<MachineType> {
    vec![machine_type("small", 4.0, 16.0, 0.3)]
}

/// Guards against a long retry backoff: with heartbeats every 10 s, it grew to 800 s for a job
/// whose tasks failed repeatedly, which then waited beside a free machine long after the faulty
/// machine was gone.
#[test]
fn retry_backoff_is_bounded() {
    let config = SchedulerConfig {
        heartbeat_s: 10.0,
        lease_s: 45.0,
        cancel_s: 75.0,
        ..config_without_deprovisioning()
    };
    let spec = Rc::new(job(1, "red", Shape::Array, 1, 1.0));
    let open = OpenJob::new(spec, 1, PriorRuns::Anywhere);
    let roster = roster(["host-1"], &roster_record("small"));
    let mut leader = lone_leader(config, small_types(), vec![open], 1, &roster);
    let (mut now, mut attempts, mut seq) = (0.0, Vec::new(), 0);
    while now < 600.0 {
        now += 0.5;
        leader.tick(now, 0);
        let mut failed = Vec::new();
        for action in leader.take_actions() {
            if let Action::Send(_, ToOwner::Assign { job, attempt, .. }) = action {
                attempts.push(now);
                let task = TaskRef {
                    job,
                    index: 0,
                    attempt,
                };
                failed.push(task_status(task, TaskState::Exited, Some(Why::Error)));
            }
        }
        seq += 1;
        let mut status = machine_status("host-1", "small", failed);
        status.incarnation = seq;
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(vec![status]), now);
    }
    let intervals: Vec<f64> = attempts.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(
        intervals.len() > 8,
        "too few attempts; their times: {attempts:?}"
    );
    assert!(
        intervals[4] > intervals[0],
        "the backoff does not grow: {intervals:?}"
    );
    assert!(
        intervals.iter().all(|interval| *interval < 60.0),
        "an interval between attempts is not below 60 s: {intervals:?}"
    );
}

/// With both `one_zone` and `spread`, a gang of several tasks can never be placed, and an array
/// only half at a time. The gang stays open until it is cancelled, has no machines provisioned and
/// delays no other job.
#[test]
fn gang_that_fits_no_zone_provisions_nothing() {
    let unplaceable_job = |id: u32, shape, tasks| Job {
        one_zone: true,
        spread: true,
        ..job(id, "red", shape, tasks, 1.0)
    };
    for seed in 0..4 {
        let mut world = World::new(seed, Defect::None);
        world.submit(unplaceable_job(1, Shape::Gang, 2));
        world.advance(60.0);
        assert_eq!(
            world.machines_provisioned(),
            0,
            "provisioned machines with seed {seed}"
        );
        world.submit(unplaceable_job(2, Shape::Array, 4));
        world.submit(unplaceable_job(3, Shape::Gang, 1));
        world.submit(job(4, "red", Shape::Gang, 3, 1.0));
        world.advance(120.0);
        assert_eq!(
            world.open_jobs(),
            ["wk-000001"],
            "open jobs with seed {seed}\n{}",
            world.describe_state()
        );
        assert!(world.cancel("wk-000001"));
        world.run_until_done(30.0);
        assert!(
            world.violations.is_empty() && world.open_jobs().is_empty(),
            "violated rules with seed {seed}: {:?}",
            world.violations
        );
    }
}

fn reserve_result(attempt: u64, reserved: bool) -> ToLeader {
    ToLeader::ReserveResult { attempt, reserved }
}

/// Guards against an ignored refusal: both machines of a gang, which had different owners, were
/// lost between reservation and binding. The second owner's refusal arrived when the gang's attempt
/// was already ending. It was ignored, so that its task stayed assigned to that owner forever.
#[test]
fn gang_retries_after_all_owners_refuse_binding() {
    let spec = Rc::new(job(1, "red", Shape::Gang, 2, 3.0));
    let members = ["rung-1", "rung-2"].map(String::from);
    let host = |owner: &str| {
        (0..99)
            .map(|i| format!("host-{i}"))
            .find(|h| sched::shard::owner(h, &members) == Some(owner))
            .unwrap()
    };
    let hosts = ["rung-1", "rung-2"].map(host);
    let roster = roster(hosts.clone(), &roster_record("small"));
    let open = OpenJob::new(spec, 1, PriorRuns::None);
    let mut leader = lone_leader(config(), small_types(), vec![open], 1, &roster);
    members.iter().for_each(|m| leader.on_owner_contact(m, 0.5));
    leader.tick(0.6, 2);
    for (member, host) in members.iter().zip(&hosts) {
        let empty = machine_status(host, "small", vec![]);
        leader.on_owner_message(member, ToLeader::MachineStatuses(vec![empty]), 0.7);
    }
    let mut now = 0.8;
    let mut reserve_and_refuse = |leader: &mut Leader| {
        for _ in 0..100 {
            now += 0.5;
            members.iter().for_each(|m| leader.on_owner_contact(m, now));
            leader.tick(now, 2);
            let reserved = leader
                .take_actions()
                .into_iter()
                .find_map(|action| match action {
                    Action::Send(_, ToOwner::Reserve { attempt, .. }) => Some(attempt),
                    _ => None,
                });
            if let Some(attempt) = reserved {
                for member in &members {
                    leader.on_owner_message(member, reserve_result(attempt, true), now);
                }
                leader.on_bind_result("wk-000001", attempt, true, now);
                for member in &members {
                    leader.on_owner_message(member, reserve_result(attempt, false), now);
                }
                return Some(attempt);
            }
        }
        None
    };
    let first = reserve_and_refuse(&mut leader).expect("no first reservation for the gang");
    let second = reserve_and_refuse(&mut leader).expect("no second reservation for the gang");
    assert!(second > first);
}

/// Returns the tasks of an assignment as failed.
fn failed_tasks(job: &str, attempt: u64, tasks: &[(u32, u32)]) -> Vec<TaskStatus> {
    let indices = tasks
        .iter()
        .flat_map(|(first, count)| *first..first + count);
    let failed = indices.map(|index| {
        let task = TaskRef {
            job: job.to_string(),
            index,
            attempt,
        };
        task_status(task, TaskState::Exited, Some(Why::Error))
    });
    failed.collect()
}

/// Guards against draining machines for faulty jobs: two jobs that fail on every machine made
/// healthy machines look faulty. These were drained, and new ones were provisioned on which the
/// jobs failed again.
#[test]
fn job_failing_everywhere_drains_no_machine() {
    let open = |id, revision| {
        let spec = Rc::new(job(id, "red", Shape::Array, 12, 1.0));
        OpenJob::new(spec, revision, PriorRuns::Anywhere)
    };
    let hosts: Vec<String> = (1..=4).map(|i| format!("host-{i}")).collect();
    let roster = roster(hosts.clone(), &roster_record("small"));
    let jobs = vec![open(1, 1), open(2, 2)];
    let config = config_without_deprovisioning();
    let mut leader = lone_leader(config, small_types(), jobs, 2, &roster);
    let (mut now, mut assigned, mut unexpected) = (0.0, Vec::new(), Vec::new());
    let mut failed_by_host: BTreeMap<String, Vec<TaskStatus>> = BTreeMap::new();
    while now < 200.0 {
        now += 0.5;
        leader.tick(now, 0);
        let mut next_host = 0;
        for action in leader.take_actions() {
            match action {
                Action::Send(
                    _,
                    ToOwner::Assign {
                        job,
                        attempt,
                        tasks,
                        ..
                    },
                ) => {
                    let failed = failed_tasks(&job, attempt, &tasks);
                    assigned.push((now, failed.len()));
                    for task in failed {
                        // Tasks are distributed over the machines, as an owner does.
                        let host = hosts[next_host % hosts.len()].clone();
                        failed_by_host.entry(host).or_default().push(task);
                        next_host += 1;
                    }
                }
                Action::Provision(_) if now > 2.0 => unexpected.push(format!("{now}: provisioned")),
                Action::Send(
                    _,
                    ToOwner::SetUsable {
                        machine,
                        usable: false,
                    },
                ) => unexpected.push(format!("{now}: {machine} drained")),
                _ => {}
            }
        }
        let statuses = hosts
            .iter()
            .map(|h| machine_status(h, "small", failed_by_host.remove(h).unwrap_or_default()))
            .collect();
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), now);
    }
    assert_eq!(unexpected, Vec::<String>::new());
    // After the first failures, the leader assigns one task at a time to see whether it still
    // fails.
    assert!(
        assigned.len() > 8 && assigned[2..].iter().all(|(_, n)| *n == 1),
        "too few assignments, or one of several tasks after the first two; (time, tasks): {assigned:?}"
    );
}

/// Takes the leader's pending actions. Returns whether one of them tells an owner to drain a
/// machine.
fn drains_machine(leader: &mut Leader) -> bool {
    leader.take_actions().iter().any(|action| {
        matches!(
            action,
            Action::Send(_, ToOwner::SetUsable { usable: false, .. })
        )
    })
}

/// Guards against keeping idle machines for as long after the last job as between the jobs of a
/// busy hour.
#[test]
fn idle_machines_are_released_sooner_without_jobs() {
    let config = SchedulerConfig {
        idle_retention_boots: 20.0,
        ..config()
    };
    let hosts = (0..4).map(|i| format!("host-{i}"));
    let roster = roster(hosts, &roster_record("small"));
    let first_drained = |every_s: f64| {
        let mut leader = lone_leader(config.clone(), small_types(), vec![], 1, &roster);
        let (mut now, mut jobs) = (0.0, 0);
        loop {
            now += 0.5;
            leader.tick(now, 0);
            if drains_machine(&mut leader) {
                return now;
            }
            let statuses = roster
                .keys()
                .map(|host| machine_status(host, "small", vec![]))
                .collect();
            leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), now);
            if now >= f64::from(jobs + 1) * every_s {
                // A job for another machine type, which leaves these machines idle.
                jobs += 1;
                let large_only_job = Job {
                    types: Some(vec!["large".into()]),
                    ..job(jobs, "red", Shape::Array, 2, 4.0)
                };
                let open = OpenJob::new(Rc::new(large_only_job), u64::from(jobs), PriorRuns::None);
                leader.add_job(open);
            }
        }
    };
    let (busy, quiet) = (first_drained(5.0), first_drained(1e9));
    assert!(
        (55.0..70.0).contains(&busy),
        "drained after {busy} s instead of 20 boot times of 3 s"
    );
    assert!(
        (14.0..20.0).contains(&quiet),
        "drained after {quiet} s instead of a quarter of 20 boot times of 3 s"
    );
}

/// Guards against counting a failure against a machine on which it did not occur: when a job failed
/// a second time, on another machine, the machine of its first failure was counted as faulty again,
/// though it had completed other work since. When the next job failed on it, this healthy machine
/// was drained.
#[test]
fn only_machine_of_failure_counts_as_faulty() {
    let open = |id, revision| {
        let spec = Rc::new(job(id, "red", Shape::Array, 6, 1.0));
        OpenJob::new(spec, revision, PriorRuns::Anywhere)
    };
    let roster = roster(["host-1", "host-2"], &roster_record("small"));
    let jobs = vec![open(1, 1), open(2, 2), open(3, 3)];
    let config = config_without_deprovisioning();
    let mut leader = lone_leader(config, small_types(), jobs, 3, &roster);
    let task = |job: u32, index| TaskRef {
        job: format!("wk-{job:06}"),
        index,
        attempt: 7,
    };
    let running = |task| task_status(task, TaskState::Running, None);
    let exited = |task, why| task_status(task, TaskState::Exited, Some(why));
    let mut now = 0.0;
    let mut drains_on_statuses = |host_1: Vec<TaskStatus>, host_2: Vec<TaskStatus>| {
        now += 1.0;
        leader.tick(now, 0);
        let statuses = vec![
            machine_status("host-1", "small", host_1),
            machine_status("host-2", "small", host_2),
        ];
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), now);
        leader.tick(now + 0.9, 0);
        drains_machine(&mut leader)
    };
    // Job 1 fails on host-1, which then completes a task of job 3.
    drains_on_statuses(
        vec![
            running(task(1, 0)),
            running(task(3, 0)),
            running(task(2, 0)),
        ],
        vec![running(task(1, 1))],
    );
    assert!(!drains_on_statuses(
        vec![
            exited(task(1, 0), Why::Error),
            running(task(3, 0)),
            running(task(2, 0))
        ],
        vec![running(task(1, 1))]
    ));
    assert!(!drains_on_statuses(
        vec![exited(task(3, 0), Why::Done), running(task(2, 0))],
        vec![running(task(1, 1))]
    ));
    // Job 1 then fails on host-2 as well, and job 2 on host-1.
    assert!(!drains_on_statuses(
        vec![running(task(2, 0))],
        vec![exited(task(1, 1), Why::Error)]
    ));
    assert!(
        !drains_on_statuses(vec![exited(task(2, 0), Why::Error)], vec![]),
        "a healthy machine was drained"
    );
}
