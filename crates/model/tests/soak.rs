//! Random worlds with many late messages over more seeds than the other tests, and the seeds that a
//! long run has found. The variable `SOAK_SEEDS` sets the number of seeds of a long run.

use model::world::{Defect, World};

/// The number of seeds without `SOAK_SEEDS`.
const DEFAULT_SEEDS: u64 = 40;

/// The first seed; other tests use lower ones.
const FIRST_SEED: u64 = 10_000;

/// How long random faults go on, in seconds.
const FAULTS_S: f64 = 150.0;

/// Runs a world under random faults, and then for `quiet_s` without new ones. Of messages and writes,
/// `late_percent` are late all the time.
fn run_world(seed: u64, late_percent: u32, quiet_s: f64) -> World {
    let mut world = World::new(seed, Defect::None);
    world.delayed_percent = late_percent;
    world.late_copy_percent = late_percent;
    world.late_write_percent = late_percent;
    world.run_random(FAULTS_S, quiet_s);
    world
}

fn assert_holds(seed: u64, late_percent: u32, quiet_s: f64) {
    let world = run_world(seed, late_percent, quiet_s);
    assert!(
        world.violations.is_empty(),
        "violated rules with seed {seed}, {late_percent} % late: {:?}",
        world.violations
    );
}

#[test]
fn random_worlds_hold_over_many_seeds() {
    let seeds = std::env::var("SOAK_SEEDS").ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok());
    let seeds: u64 = seeds.unwrap_or(DEFAULT_SEEDS);
    for seed in FIRST_SEED..FIRST_SEED + seeds {
        assert_holds(seed, 3, 60.0);
        assert_holds(seed, 15, 60.0);
    }
}

/// Guards against a gang that waits for 90 s beside capacity for all of its tasks, after long faults
/// and while messages are late.
#[test]
fn gang_starts_beside_capacity_after_long_faults() {
    assert_holds(30_063, 3, 300.0);
}

/// Guards against a start of a gang's task in a response that is under way when the gang is recorded
/// as done: its worker has restarted meanwhile, and reports for the first time since.
#[test]
fn no_task_of_a_done_gang_starts_again() {
    assert_holds(30_064, 3, 300.0);
}
