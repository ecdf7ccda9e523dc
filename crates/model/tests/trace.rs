//! Compares the digest of what simulated worlds do with a recorded one, which no refactoring
//! changes.
//!
//! `trace.digest` beside this file has a line for each scenario: its name, its seeds, and the
//! digest over all of them.

mod common;

use common::{dependency_scenario, reload_scenario};
use model::world::{job, CloudEvent, Defect, Trace, World};
use std::ops::Range;
use wire::users::{Job, Priority, Shape};

const RECORDED: &str = include_str!("trace.digest");

/// Runs a world under random faults of every kind, then without faults.
fn random_faults_scenario(seed: u64) -> World {
    let mut world = World::new(seed, Defect::None);
    world.run_random(150.0, 60.0);
    world
}

/// Like `random_faults_scenario`, with many messages and writes that are late or duplicated.
fn late_messages_scenario(seed: u64) -> World {
    let mut world = World::new(seed, Defect::None);
    world.delayed_percent = 15;
    world.late_copy_percent = 15;
    world.late_write_percent = 15;
    world.run_random(150.0, 60.0);
    world
}

/// Runs a world without injected faults in which more jobs arrive than the machines can hold, with
/// occasional cancellations.
fn overload_scenario(seed: u64) -> World {
    let mut world = World::new(seed, Defect::None);
    for round in 1..60 {
        let team = if round % 3 == 0 { "blue" } else { "red" };
        let shape = if round % 4 == 0 {
            Shape::Gang
        } else {
            Shape::Array
        };
        world.submit(Job {
            priority: PRIORITIES[round as usize % PRIORITIES.len()],
            estimate_s: 8.0,
            ..job(round, team, shape, 1 + round % 3, f64::from(1 + round % 4))
        });
        world.advance(1.5);
        if round % 13 == 0 {
            world.cancel_running(1);
        }
    }
    world.run_until_done(200.0);
    world
}

/// Runs a world with many machine types and few machines of each. It has preemption notices,
/// checkpoints, GPUs, tasks that are stopped for jobs of other teams or for more urgent jobs, and
/// quiet periods in which machines are deprovisioned. Odd seeds also have random faults.
fn heterogeneous_scenario(seed: u64) -> World {
    let mut world = World::heterogeneous(seed);
    world.run_heterogeneous(15.0, 50, false);
    world.submit_bulk(&["small", "steady"]);
    world.run_heterogeneous(75.0, 40, false);
    world.run_heterogeneous(60.0, 0, false);
    world.submit_bulk(&["small", "costly"]);
    world.run_heterogeneous(90.0, 50, seed % 2 == 1);
    world.run_until_done(300.0);
    world.advance(45.0);
    let count = |event| world.cloud_events.get(&event).copied().unwrap_or(0);
    for event in [
        CloudEvent::PreemptionNotice,
        CloudEvent::Save,
        CloudEvent::Stop,
        CloudEvent::ProvisionRefused,
        CloudEvent::Deprovision,
    ] {
        assert!(count(event) > 0, "seed {seed}: no {event:?} event occurred");
    }
    assert_eq!(
        world.violations,
        Default::default(),
        "rule violations with seed {seed}"
    );
    assert_eq!(
        world.open_jobs(),
        Vec::<String>::new(),
        "open jobs with seed {seed}"
    );
    world
}

const PRIORITIES: [Priority; 4] = [
    Priority::BestEffort,
    Priority::Standard,
    Priority::High,
    Priority::Prod,
];

/// Runs a scenario with each seed and compares the digest of all runs with the recorded one.
fn assert_digest(name: &str, seeds: Range<u64>, scenario: fn(u64) -> World) {
    let mut group = Trace::default();
    let mut events = 0;
    for seed in seeds.clone() {
        let world = scenario(seed);
        events += world.trace().events();
        group.number(world.trace().digest());
    }
    assert!(
        events > 2000 * (seeds.end - seeds.start),
        "too little happened in {name}: {events} events"
    );
    let computed = format!(
        "{name} {}..{} {:016x}",
        seeds.start,
        seeds.end,
        group.digest()
    );
    let recorded = RECORDED
        .lines()
        .find(|line| line.split(' ').next() == Some(name));
    assert_eq!(
        recorded,
        Some(computed.as_str()),
        "the behaviour of the simulated world changed ({events} events). A refactoring must not do that: \
         correct the code and do not record trace.digest again for it. Computed: {computed}"
    );
}

#[test]
fn random_faults_match_recorded_digest() {
    assert_digest("plain", 0..40, random_faults_scenario);
}

#[test]
fn late_messages_match_recorded_digest() {
    assert_digest("late", 0..40, late_messages_scenario);
}

#[test]
fn dependencies_match_recorded_digest() {
    assert_digest("chained", 0..100, |seed| {
        dependency_scenario(seed, Defect::None, 120.0)
    });
}

#[test]
fn reloads_match_recorded_digest() {
    assert_digest("reloaded", 0..80, |seed| {
        reload_scenario(seed, Defect::None)
    });
}

#[test]
fn heterogeneous_worlds_match_recorded_digest() {
    assert_digest("rich", 0..16, heterogeneous_scenario);
}

#[test]
fn overload_matches_recorded_digest() {
    assert_digest("crowded", 0..60, overload_scenario);
}
