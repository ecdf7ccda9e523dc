//! The one pass against the plain model.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

use model::plain::*;
use model::world::{
    config, job, lone_leader, machine_status, machine_type, machine_types, roster, roster_record,
};
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{MachineStatus, ToLeader, ToOwner};
use wire::users::{Job, Priority, Shape};

/// A leader that is its only owner, with empty machines that are known and rostered.
fn leader(machines: &[(&str, &str)], limit: f64) -> Leader {
    let mut s = config();
    s.teams.get_mut("red").unwrap().cpus_max = limit;
    leader_with(s, machines)
}

fn all_started(upto: u64) -> wire::store::StartedArraysRecord {
    wire::store::StartedArraysRecord {
        upto,
        waiting: Vec::new(),
    }
}

fn leader_with(s: sched::config::SchedulerConfig, machines: &[(&str, &str)]) -> Leader {
    let mut leader = lone_leader(s, machine_types(), Vec::new(), 0, &BTreeMap::new());
    leader.tick(5.0, 0);
    leader.drain();
    for (name, kind) in machines {
        let v = MachineStatus {
            usable: false,
            ..machine_status(name, kind, Vec::new())
        };
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(vec![v]), 5.0);
        leader.roster_result(name, true, true);
    }
    leader.drain();
    leader
}

fn placed(actions: &[Action]) -> BTreeMap<String, u32> {
    let mut out: BTreeMap<String, u32> = BTreeMap::new();
    for d in actions {
        match d {
            Action::Send(_, ToOwner::Assign { job, tasks, .. }) => {
                *out.entry(job.clone()).or_default() += tasks.iter().map(|(_, n)| n).sum::<u32>()
            }
            Action::Send(_, ToOwner::Reserve { job, places, .. }) => {
                *out.entry(job.clone()).or_default() +=
                    places.iter().map(|(_, _, n)| n).sum::<u32>()
            }
            _ => {}
        }
    }
    out
}

#[test]
fn the_one_pass_agrees_with_the_plain_model() {
    let mut rng = fastrand::Rng::with_seed(3);
    let names = ["host-1", "host-2", "host-3", "host-4", "host-5"];
    let mut gangs = 0;
    for round in 0..400 {
        let n = rng.usize(1..=names.len());
        let machines: Vec<(&str, &str)> = names[..n]
            .iter()
            .map(|m| (*m, if rng.bool() { "small" } else { "large" }))
            .collect();
        let limit = f64::from(rng.u32(8..40));
        let mut jobs: Vec<Job> = (0..rng.u32(1..7))
            .map(|i| {
                // Single-task gangs: for larger ones the pass may choose machines in bulk.
                let gang = rng.bool();
                let mut j = job(
                    i,
                    "red",
                    if gang { Shape::Gang } else { Shape::Array },
                    if gang { 1 } else { rng.u32(1..6) },
                    f64::from(rng.u32(1..7)),
                );
                j.memory_gb = f64::from(rng.u32(1..10));
                j.image = format!("img-{i}");
                j
            })
            .filter(|j| f64::from(j.tasks) * j.cpus <= limit)
            .collect();
        jobs.sort_by(|a, b| a.id.cmp(&b.id));
        let mut leader = leader(&machines, limit);
        for (i, j) in jobs.iter().enumerate() {
            leader.add_job(OpenJob::new(
                Rc::new(j.clone()),
                i as u64 + 1,
                PriorRuns::None,
            ));
        }
        leader.start_record_result(&all_started(jobs.len() as u64), true);
        leader.tick(5.1, 0);
        let mut order: Vec<Job> = Vec::new();
        // Within the guarantee first, each in order of creation.
        let (mut sum, mut rest) = (0.0, Vec::new());
        for j in &jobs {
            sum += f64::from(j.tasks) * j.cpus;
            if sum <= 8.0 {
                order.push(j.clone());
            } else {
                rest.push(j.clone());
            }
        }
        order.extend(rest);
        let mut plain: Vec<Plain> = machines
            .iter()
            .map(|(name, kind)| {
                let t = if *kind == "small" {
                    (4.0, 16.0)
                } else {
                    (16.0, 64.0)
                };
                Plain {
                    name: (*name).into(),
                    cpus: t.0,
                    memory_gb: t.1,
                    image: None,
                }
            })
            .collect();
        let small_only = |j: &Job| j.cpus > 4.0;
        // A class with a task that fits only the large type keeps that type for itself.
        if jobs.iter().any(small_only) {
            continue;
        }
        let want = place(&mut plain, &order, limit);
        let got = placed(&leader.drain());
        gangs += jobs
            .iter()
            .filter(|j| j.shape == Shape::Gang && got.contains_key(&j.id))
            .count();
        assert_eq!(got, want, "round {round}: {machines:?} {jobs:?}");
    }
    assert!(gangs > 50);
}

/// Ten teams: arrays of one that came first, and take more than all there is, leave the others
/// what is within their guarantees; its own limit bounds them.
#[test]
fn one_teams_large_arrays_leave_the_others_their_guarantees() {
    let mut s = config();
    let team = |cpus: f64, cpus_max: f64| sched::config::Team {
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    s.teams = (0..10)
        .map(|i| (format!("team-{i}"), team(4.0, 50.0)))
        .collect();
    let names: Vec<String> = (0..10).map(|i| format!("host-{i}")).collect();
    let machines: Vec<(&str, &str)> = names.iter().map(|n| (n.as_str(), "large")).collect();
    let mut leader = leader_with(s, &machines);
    for i in 0..13 {
        let (team, tasks) = if i < 3 { (0, 800) } else { (i - 3, 4) };
        let spec = Rc::new(job(i, &format!("team-{team}"), Shape::Array, tasks, 1.0));
        leader.add_job(OpenJob::new(spec, u64::from(i) + 1, PriorRuns::None));
    }
    leader.start_record_result(&all_started(13), true);
    leader.tick(5.1, 0);
    let got = placed(&leader.drain());
    for i in 4..13 {
        assert_eq!(
            got.get(&format!("wk-{i:06}")),
            Some(&4),
            "team-{} did not get its guarantee",
            i - 3
        );
    }
    let first: u32 = (0..4).filter_map(|i| got.get(&format!("wk-{i:06}"))).sum();
    assert_eq!(first, 50, "the limit of the first team");
}

/// Machines that an earlier leader rostered stay in use (they once idled until returned).
#[test]
fn a_new_leader_uses_the_machines_of_the_roster() {
    let roster = roster(["host-1"], &roster_record("small"));
    let mut leader = Leader::new("rung-0", config(), 1, 7, 4.0, Vec::new(), &roster, 0, 0.0);
    leader.catalog(vec![machine_type("small", 4.0, 16.0, 0.3)]);
    leader.tick(5.0, 0);
    let usable = leader.drain().into_iter().any(
        |d| matches!(d, Action::Send(_, ToOwner::Epoch { machines, .. }) if machines.iter().any(|c| c.name == "host-1" && c.usable)),
    );
    assert!(usable, "the owner was not told that it may use the machine");
}

/// Tasks of blue that a guaranteed job of red has stopped, by blue's guarantee.
fn stopped_for_red(blue_guarantee: f64) -> usize {
    let inherited = BTreeMap::new();
    stopped_by_priority(blue_guarantee, Priority::Standard, &inherited)
}

/// The same where red's job has a priority of its own, and jobs are treated with others.
fn stopped_by_priority(
    blue_guarantee: f64,
    red: Priority,
    inherited: &BTreeMap<&str, Priority>,
) -> usize {
    let mut s = config();
    s.teams.get_mut("blue").unwrap().cpus = blue_guarantee;
    let small = vec![machine_type("small", 4.0, 16.0, 0.3)];
    let mut leader = lone_leader(s, small, Vec::new(), 0, &BTreeMap::new());
    leader.tick(5.0, 0);
    let view = |tasks: Vec<wire::peers::TaskStatus>| {
        ToLeader::MachineStatuses(vec![machine_status("host-1", "small", tasks)])
    };
    leader.on_owner_message("rung-0", view(Vec::new()), 5.0);
    leader.roster_result("host-1", true, true);
    let add = |leader: &mut Leader, spec: Job, revision: u64| {
        let id = spec.id.clone();
        leader.add_job(OpenJob::new(Rc::new(spec), revision, PriorRuns::None));
        if let Some(priority) = inherited.get(id.as_str()) {
            leader.set_priority(&id, *priority);
        }
        leader.start_record_result(&all_started(revision), true);
    };
    add(&mut leader, job(1, "blue", Shape::Array, 4, 1.0), 1);
    leader.tick(6.0, 0);
    let assigned = leader.drain().into_iter().find_map(|d| match d {
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
    leader.on_owner_message("rung-0", view(running.collect()), 6.5);
    let urgent = Job {
        priority: red,
        ..job(2, "red", Shape::Array, 1, 2.0)
    };
    add(&mut leader, urgent, 2);
    leader.tick(7.0, 0);
    leader.tick(9.0, 0);
    leader
        .drain()
        .iter()
        .filter(
            |d| matches!(d, Action::Send(_, ToOwner::Stop { task, .. }) if task.job == "wk-000001"),
        )
        .count()
}

#[test]
fn only_borrowed_capacity_is_reclaimed_and_no_more_than_needed() {
    assert_eq!(stopped_for_red(0.0), 2);
    assert_eq!(
        stopped_for_red(12.0),
        0,
        "work within its guarantee was stopped"
    );
}

/// First stages of pipelines, best effort, inherited `high` and stopped arrays of others by the thousand:
/// what is stopped for a job goes by its own priority, what it is spared by the inherited one.
#[test]
fn an_inherited_priority_stops_nothing() {
    let within = 12.0;
    let high = |id: &'static str| BTreeMap::from([(id, Priority::High)]);
    let nobody = BTreeMap::new();
    assert_eq!(stopped_by_priority(within, Priority::High, &nobody), 2);
    let heir = high("wk-000002");
    assert_eq!(stopped_by_priority(within, Priority::Standard, &heir), 0);
    let spared = high("wk-000001");
    assert_eq!(stopped_by_priority(within, Priority::High, &spared), 0);
}
