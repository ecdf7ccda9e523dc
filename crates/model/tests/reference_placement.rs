//! The leader's placement pass compared with the reference model, and cases of guarantees and
//! priorities.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

use model::reference::*;
use model::world::{
    config, job, lone_leader, machine_status, machine_type, machine_types, roster, roster_record,
};
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{MachineStatus, ToLeader, ToOwner};
use wire::users::{Job, Priority, Shape};

/// Returns a leader whose own controller owns all machines. They are empty, reconciled (the leader
/// knows what runs on them) and in the roster. Team `red` has the given CPU limit.
fn leader_with_limit(machines: &[(&str, &str)], limit: f64) -> Leader {
    let mut config = config();
    config.teams.get_mut("red").unwrap().cpus_max = limit;
    leader_with_config(config, machines)
}

fn started_arrays(upto: u64) -> wire::store::StartedArraysRecord {
    wire::store::StartedArraysRecord {
        upto,
        waiting: Vec::new(),
    }
}

fn leader_with_config(config: SchedulerConfig, machines: &[(&str, &str)]) -> Leader {
    let mut leader = lone_leader(config, machine_types(), Vec::new(), 0, &BTreeMap::new());
    leader.tick(5.0, 0);
    leader.take_actions();
    for (name, kind) in machines {
        let status = MachineStatus {
            usable: false,
            ..machine_status(name, kind, Vec::new())
        };
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(vec![status]), 5.0);
        leader.on_roster_result(name, true, true);
    }
    leader.take_actions();
    leader
}

fn placed_tasks(actions: &[Action]) -> BTreeMap<String, u32> {
    let mut placed: BTreeMap<String, u32> = BTreeMap::new();
    for action in actions {
        match action {
            Action::Send(_, ToOwner::Assign { job, tasks, .. }) => {
                *placed.entry(job.clone()).or_default() += tasks.iter().map(|(_, n)| n).sum::<u32>()
            }
            Action::Send(_, ToOwner::Reserve { job, places, .. }) => {
                *placed.entry(job.clone()).or_default() +=
                    places.iter().map(|(_, _, n)| n).sum::<u32>()
            }
            _ => {}
        }
    }
    placed
}

const CPUS_AND_MEMORY_OF_SMALL: (f64, f64) = (4.0, 16.0);
const CPUS_AND_MEMORY_OF_LARGE: (f64, f64) = (16.0, 64.0);

/// An empty machine of the reference model.
fn reference_machine(name: &str, kind: &str) -> ReferenceMachine {
    let (cpus, memory_gb) = match kind {
        "small" => CPUS_AND_MEMORY_OF_SMALL,
        _ => CPUS_AND_MEMORY_OF_LARGE,
    };
    ReferenceMachine {
        name: name.into(),
        cpus,
        memory_gb,
        image: None,
    }
}

/// One to five machines, each of a random type.
fn random_machines(rng: &mut fastrand::Rng) -> Vec<(&'static str, &'static str)> {
    let names = ["host-1", "host-2", "host-3", "host-4", "host-5"];
    let count = rng.usize(1..=names.len());
    let machines = names[..count].iter();
    machines
        .map(|name| (*name, if rng.bool() { "small" } else { "large" }))
        .collect()
}

/// Up to six random jobs, in the order of their ids. Each uses at most `limit` CPUs.
fn random_jobs(rng: &mut fastrand::Rng, limit: f64) -> Vec<Job> {
    let count = rng.u32(1..7);
    let random_job = |number| {
        // Gangs have one task only: for larger ones the placement pass may choose machines in bulk,
        // unlike the reference model.
        let is_gang = rng.bool();
        let shape = if is_gang { Shape::Gang } else { Shape::Array };
        let tasks = if is_gang { 1 } else { rng.u32(1..6) };
        let mut spec = job(number, "red", shape, tasks, f64::from(rng.u32(1..7)));
        spec.memory_gb = f64::from(rng.u32(1..10));
        spec.image = format!("img-{number}");
        spec
    };
    let mut jobs: Vec<Job> = (0..count).map(random_job).collect();
    jobs.retain(|job| f64::from(job.tasks) * job.cpus <= limit);
    jobs.sort_by(|a, b| a.id.cmp(&b.id));
    jobs
}

/// Orders the jobs within the team's guarantee of 8 CPUs first, then the others, each in order of
/// creation.
fn by_guarantee(jobs: &[Job]) -> Vec<Job> {
    let (mut within, mut beyond, mut cpus) = (Vec::new(), Vec::new(), 0.0);
    for job in jobs {
        cpus += f64::from(job.tasks) * job.cpus;
        let group = if cpus <= 8.0 {
            &mut within
        } else {
            &mut beyond
        };
        group.push(job.clone());
    }
    within.extend(beyond);
    within
}

#[test]
fn placement_agrees_with_reference_model() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut gangs = 0;
    for round in 0..400 {
        let machines = random_machines(&mut rng);
        let limit = f64::from(rng.u32(8..40));
        let jobs = random_jobs(&mut rng, limit);
        let mut leader = leader_with_limit(&machines, limit);
        for (spec, revision) in jobs.iter().zip(1..) {
            let spec = Rc::new(spec.clone());
            leader.add_job(OpenJob::new(spec, revision, PriorRuns::None));
        }
        leader.on_start_record_result(&started_arrays(jobs.len() as u64), true);
        leader.tick(5.1, 0);
        // If a task fits only the large type, that type is reserved for the job's class. The
        // reference model does not do this, so rounds with such a job are not compared.
        if jobs.iter().any(|job| job.cpus > 4.0) {
            continue;
        }
        let reference_machines = machines.iter();
        let mut reference_machines: Vec<ReferenceMachine> = reference_machines
            .map(|(name, kind)| reference_machine(name, kind))
            .collect();
        let expected = place(&mut reference_machines, &by_guarantee(&jobs), limit);
        let actual = placed_tasks(&leader.take_actions());
        let is_placed_gang = |job: &&Job| job.shape == Shape::Gang && actual.contains_key(&job.id);
        gangs += jobs.iter().filter(is_placed_gang).count();
        assert_eq!(actual, expected, "round {round}: {machines:?} {jobs:?}");
    }
    assert!(gangs > 50, "only {gangs} gangs were placed");
}

/// One of ten teams first submits arrays that need more than the whole cluster. That team's limit
/// bounds them, and the other teams get the capacity within their guarantees.
#[test]
fn large_arrays_leave_other_teams_their_guarantees() {
    let mut config = config();
    let team = |cpus: f64, cpus_max: f64| sched::config::Team {
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    config.teams = (0..10)
        .map(|i| (format!("team-{i}"), team(4.0, 50.0)))
        .collect();
    let names: Vec<String> = (0..10).map(|i| format!("host-{i}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "large")).collect();
    let mut leader = leader_with_config(config, &machines);
    for i in 0..13 {
        let (team, tasks) = if i < 3 { (0, 800) } else { (i - 3, 4) };
        let spec = Rc::new(job(i, &format!("team-{team}"), Shape::Array, tasks, 1.0));
        leader.add_job(OpenJob::new(spec, u64::from(i) + 1, PriorRuns::None));
    }
    leader.on_start_record_result(&started_arrays(13), true);
    leader.tick(5.1, 0);
    let actual = placed_tasks(&leader.take_actions());
    for i in 4..13 {
        assert_eq!(
            actual.get(&format!("wk-{i:06}")),
            Some(&4),
            "team-{} did not get its guarantee",
            i - 3
        );
    }
    let first: u32 = (0..4)
        .filter_map(|i| actual.get(&format!("wk-{i:06}")))
        .sum();
    assert_eq!(
        first, 50,
        "tasks placed for the first team, whose limit is 50"
    );
}

/// Guards against a new leader leaving the machines of the roster idle until they are
/// deprovisioned.
#[test]
fn new_leader_uses_rostered_machines() {
    let roster = roster(["host-1"], &roster_record("small"));
    let mut leader = Leader::new("rung-0", config(), 1, 7, 4.0, Vec::new(), &roster, 0, 0.0);
    leader.set_catalog(vec![machine_type("small", 4.0, 16.0, 0.3)]);
    leader.tick(5.0, 0);
    let usable = leader.take_actions().into_iter().any(
        |action| matches!(action, Action::Send(_, ToOwner::Epoch { machines, .. }) if machines.iter().any(|c| c.name == "host-1" && c.usable)),
    );
    assert!(usable, "the owner was not told that host-1 is usable");
}

/// Returns how many tasks of team `blue` are stopped for a job within the guarantee of team `red`,
/// given blue's guarantee in CPUs.
fn stopped_for_red(blue_guarantee: f64) -> usize {
    let inherited = BTreeMap::new();
    stopped_by_priority(blue_guarantee, Priority::Standard, &inherited)
}

/// Like `stopped_for_red`, with a given priority of red's job and given inherited priorities, by
/// job id.
fn stopped_by_priority(
    blue_guarantee: f64,
    red: Priority,
    inherited: &BTreeMap<&str, Priority>,
) -> usize {
    let mut config = config();
    config.teams.get_mut("blue").unwrap().cpus = blue_guarantee;
    let types = vec![machine_type("small", 4.0, 16.0, 0.3)];
    let mut leader = lone_leader(config, types, Vec::new(), 0, &BTreeMap::new());
    leader.tick(5.0, 0);
    let status_with = |tasks: Vec<wire::peers::TaskStatus>| {
        ToLeader::MachineStatuses(vec![machine_status("host-1", "small", tasks)])
    };
    leader.on_owner_message("rung-0", status_with(Vec::new()), 5.0);
    leader.on_roster_result("host-1", true, true);
    let add = |leader: &mut Leader, spec: Job, revision: u64| {
        let id = spec.id.clone();
        leader.add_job(OpenJob::new(Rc::new(spec), revision, PriorRuns::None));
        if let Some(priority) = inherited.get(id.as_str()) {
            leader.set_priority(&id, *priority);
        }
        leader.on_start_record_result(&started_arrays(revision), true);
    };
    add(&mut leader, job(1, "blue", Shape::Array, 4, 1.0), 1);
    leader.tick(6.0, 0);
    let assigned = leader
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::Send(_, ToOwner::Assign { attempt, .. }) => Some(attempt),
            _ => None,
        });
    let running = (0..4).map(|index| wire::peers::TaskStatus {
        task: wire::peers::TaskRef {
            job: "wk-000001".into(),
            index,
            attempt: assigned.unwrap(),
        },
        state: wire::workers::TaskState::Running,
        why: None,
        saved: false,
    });
    leader.on_owner_message("rung-0", status_with(running.collect()), 6.5);
    let urgent = Job {
        priority: red,
        ..job(2, "red", Shape::Array, 1, 2.0)
    };
    add(&mut leader, urgent, 2);
    leader.tick(7.0, 0);
    leader.tick(9.0, 0);
    leader
        .take_actions()
        .iter()
        .filter(
            |action| matches!(action, Action::Send(_, ToOwner::Stop { task, .. }) if task.job == "wk-000001"),
        )
        .count()
}

#[test]
fn only_borrowed_and_needed_capacity_is_reclaimed() {
    assert_eq!(stopped_for_red(0.0), 2);
    assert_eq!(
        stopped_for_red(12.0),
        0,
        "tasks within the guarantee of their team were stopped"
    );
}

/// A job preempts by its own priority, but is protected by the one that it inherits. Guards against
/// best-effort first stages of pipelines that inherited `high` and had thousands of other arrays
/// stopped.
#[test]
fn inherited_priority_preempts_nothing() {
    let guarantee = 12.0;
    let high = |id: &'static str| BTreeMap::from([(id, Priority::High)]);
    let none = BTreeMap::new();
    assert_eq!(stopped_by_priority(guarantee, Priority::High, &none), 2);
    let inherits = high("wk-000002");
    assert_eq!(
        stopped_by_priority(guarantee, Priority::Standard, &inherits),
        0
    );
    let protected = high("wk-000001");
    assert_eq!(
        stopped_by_priority(guarantee, Priority::High, &protected),
        0
    );
}
