//! The rules and progress over many seeds, and defects that the checks must notice.

mod common;

use common::{chained_day, reloaded_day};
use model::world::{config, job, unlimited_teams, Defect, Fault, JobTimes, World};
use sched::config::SchedulerConfig;
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Job, Shape};

/// How long it is quiet after a day with dependencies.
const CALM_S: f64 = 300.0;

#[test]
fn rules_hold_with_chains_and_a_roll() {
    let (mut starts, mut cancelled_with_others, mut blocked) = (0, 0, 0);
    for seed in 0..40 {
        let world = chained_day(seed, Defect::None, CALM_S);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}\n{}",
            world.explain()
        );
        starts += world.tasks_started;
        cancelled_with_others += world.cancelled_by_dependency;
        let times = world.job_times();
        let was_blocked = |times: &&JobTimes| times.ready.is_some_and(|at| at > times.accepted);
        blocked += times.values().filter(was_blocked).count();
    }
    assert!(
        starts > 3000 && cancelled_with_others > 100 && blocked > 200,
        "too little happened: {starts} {cancelled_with_others} {blocked}"
    );
}

#[test]
fn starting_before_dependencies_are_done_is_noticed() {
    let broken = chained_day(1, Defect::StartBlocked, CALM_S).violations;
    assert!(broken.contains("too_early"), "{broken:?}");
}

#[test]
fn taking_a_job_for_open_though_its_dependency_is_cancelled_is_noticed() {
    let broken = chained_day(1, Defect::IgnoreCancelledDependencies, CALM_S).violations;
    assert!(broken.contains("orphaned"), "{broken:?}");
}

fn days(defect: Defect, seeds: std::ops::Range<u64>, delayed: u32) -> (BTreeSet<String>, u64, u64) {
    let (mut broken, mut starts, mut leaders) = (BTreeSet::new(), 0, 0);
    for seed in seeds {
        let mut world = World::new(seed, defect);
        world.delayed_percent = delayed;
        world.late_copy_percent = delayed;
        world.late_write_percent = delayed;
        world.run_random(150.0, 60.0);
        broken.append(&mut world.violations);
        starts += world.tasks_started;
        leaders += world.leaders_elected;
    }
    (broken, starts, leaders)
}

#[test]
fn rules_hold_whatever_fails() {
    let (broken, starts, leaders) = days(Defect::None, 0..40, 3);
    assert!(broken.is_empty(), "{broken:?}");
    assert!(starts > 5000, "too little happened: {starts} starts");
    assert!(leaders > 100, "too few changes of leader: {leaders}");
}

#[test]
fn rules_hold_when_many_messages_are_held_up() {
    let (broken, starts, _) = days(Defect::None, 0..30, 15);
    assert!(broken.is_empty(), "{broken:?}");
    assert!(starts > 2000, "too little happened: {starts} starts");
}

#[test]
fn all_work_is_done_once_faults_end() {
    for seed in 100..180 {
        let mut world = World::new(seed, Defect::None);
        world.run_random(100.0, 300.0);
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}\n{}",
            world.explain()
        );
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        assert!(world.jobs_done > 10);
    }
}

/// Responses to two machines are lost for good: they get no more tasks, and what they were to start runs
/// elsewhere.
#[test]
fn a_machine_that_gets_no_responses_traps_no_work() {
    for seed in 0..12 {
        // Long enough for such a worker to come round to its owner again within its lease.
        let mut world = World::with_config(
            seed,
            Defect::None,
            SchedulerConfig {
                lease_s: 24.0,
                ..config()
            },
        );
        (1..9).for_each(|i| {
            world.submit(job(
                i,
                "red",
                if i % 2 == 0 {
                    Shape::Gang
                } else {
                    Shape::Array
                },
                3,
                2.0,
            ))
        });
        while world.tasks_started < 3 {
            world.step();
        }
        let mut unreachable = world.machines();
        unreachable.truncate(2);
        world.drop_responses(&unreachable, 1e9);
        (9..17).for_each(|i| {
            world.submit(job(
                i,
                "blue",
                if i % 2 == 0 {
                    Shape::Gang
                } else {
                    Shape::Array
                },
                3,
                2.0,
            ))
        });
        let end = world.now + 120.0;
        while world.now < end {
            world.step();
        }
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}\n{}",
            world.explain()
        );
        assert!(world.violations.is_empty(), "{:?}", world.violations);
    }
}

/// Small gangs wait for every machine, in both zones, and each one that becomes free fits the
/// next of them. A gang of three in one zone would never see three free at once, unless the
/// machines of one zone are cordoned for it.
#[test]
fn a_large_gang_is_not_starved_by_small_ones() {
    let teams = unlimited_teams(&["red", "blue"]);
    let wait_s = BTreeMap::from([("any".to_string(), 20.0)]);
    let mut world = World::with_config(
        3,
        Defect::None,
        SchedulerConfig {
            teams,
            wait_s,
            ..config()
        },
    );
    world.delayed_percent = 0;
    let gang = |id: u32, team: &str, tasks: u32| {
        let only = Some(vec!["large".to_string()]);
        Job {
            spot: false,
            one_zone: true,
            types: only,
            estimate_s: 4.0,
            ..job(id, team, Shape::Gang, tasks, 14.0)
        }
    };
    for i in 1..300 {
        if i == 60 {
            world.submit(gang(9999, "blue", 3));
        }
        world.submit(gang(i, "red", 1));
        (0..4).for_each(|_| world.step());
    }
    let large = world.job_times()["wk-009999"];
    assert!(
        large.started.is_some_and(|at| at - large.accepted < 60.0),
        "it began at {:?}",
        large.started
    );
    assert!(
        world.open_jobs().len() > 20,
        "the machines were never short"
    );
    assert!(world.violations.is_empty(), "{:?}", world.violations);
}

#[test]
fn every_kind_of_fault_happens() {
    let mut seen: BTreeMap<Fault, u32> = BTreeMap::new();
    for seed in 0..10 {
        let mut world = World::new(seed, Defect::None);
        world.run_random(150.0, 0.0);
        world
            .faults
            .into_iter()
            .for_each(|(fault, times)| *seen.entry(fault).or_default() += times);
    }
    assert_eq!(seen.len(), 17, "{seen:?}");
}

#[test]
fn forgetting_accepted_jobs_is_noticed() {
    trips_when_calm(Defect::LoseJobs, "forgotten");
}

#[test]
fn never_starting_the_largest_gangs_is_noticed() {
    trips_when_calm(Defect::HideLargestGangs, "late");
}

#[test]
fn never_serving_a_team_is_noticed() {
    trips_when_calm(Defect::HideRedArrays, "unserved");
}

fn trips_when_calm(defect: Defect, rule: &str) {
    let mut world = World::new(4, defect);
    world.run_random(150.0, 300.0);
    assert!(
        world.violations.contains(rule),
        "{defect:?} went unnoticed: {:?}",
        world.violations
    );
    let mut whole = World::new(4, Defect::None);
    whole.run_random(150.0, 300.0);
    assert!(whole.violations.is_empty(), "{:?}", whole.violations);
}

fn trips(defect: Defect, rule: &str) {
    let (broken, _, _) = days(defect, 0..30, 15);
    assert!(
        broken.contains(rule),
        "{defect:?} went unnoticed: {broken:?}"
    );
}

#[test]
fn trusting_delayed_heartbeats_is_noticed() {
    // What it leads to first depends on luck: a second start, or a limit exceeded by it.
    let (broken, _, _) = days(Defect::TrustAnyHeartbeat, 0..60, 15);
    assert!(
        broken.contains("ran_twice") || broken.contains("quota"),
        "went unnoticed: {broken:?}"
    );
}

#[test]
fn forgetting_the_roster_is_noticed() {
    trips(Defect::ForgetRoster, "ran_twice");
}

#[test]
fn exceeding_limits_is_noticed() {
    trips(Defect::DoubleLimit, "quota");
}

#[test]
fn wrong_places_are_noticed() {
    trips(Defect::IgnoreTypes, "wrong_place");
}

#[test]
fn running_on_after_a_cancellation_is_noticed() {
    trips(Defect::IgnoreCancel, "ran_cancelled");
}

#[test]
fn calling_half_a_job_done_is_noticed() {
    trips(Defect::FinishAtHalf, "not_done");
}

#[test]
fn a_task_that_runs_on_after_its_job_is_done_is_noticed() {
    let lives = |defect| {
        let mut world = World::new(3, defect);
        // More tasks than its team may run at a time: some begin when the others are done.
        world.submit(Job {
            estimate_s: 60.0,
            ..job(1, "red", Shape::Array, 8, 4.0)
        });
        world.advance(300.0);
        world.violations
    };
    assert_eq!(
        lives(Defect::FinishAtHalf),
        BTreeSet::from(["not_done".into()])
    );
    let broken = lives(Defect::FinishAtHalfUnseen);
    assert!(broken.contains("orphaned"), "{broken:?}");
}

#[test]
fn rules_hold_while_controllers_reload_all_records() {
    for seed in 0..30 {
        let world = reloaded_day(seed, Defect::None);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}\n{}",
            world.explain()
        );
    }
}

#[test]
fn a_reload_that_takes_ends_back_is_noticed() {
    let notices = |seed| {
        let broken = reloaded_day(seed, Defect::ReloadDiscardsOwnWrites).violations;
        broken.contains("started_done")
    };
    assert!((0..30).any(notices), "it went unnoticed");
}
