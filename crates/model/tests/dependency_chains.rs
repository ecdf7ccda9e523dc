//! Scripted faults at critical moments of a dependency chain. The tests check that no rule is
//! violated (in particular neither `too_early` nor `orphaned`), and that every job ends with the
//! outcome that its dependencies imply.

use model::world::{job, Defect, World};
use wire::users::{Job, Shape};

const SEEDS: u64 = 12;

fn job_id(number: u32) -> String {
    job(number, "red", Shape::Array, 1, 1.0).id
}

/// An array of three tasks that depends on other jobs.
fn array_with_dependencies(number: u32, dependencies: &[u32], estimate_s: f64) -> Job {
    Job {
        dependencies: dependencies.iter().map(|n| job_id(*n)).collect(),
        estimate_s,
        ..job(number, "red", Shape::Array, 3, 1.0)
    }
}

/// A world with a chain of four jobs, each of which depends on the one before, and the last also on
/// the first. All three tasks of the first job are on machines.
fn world_with_chain(seed: u64) -> World {
    let mut world = World::new(seed, Defect::None);
    world.submit(array_with_dependencies(1, &[], 20.0));
    world.submit(array_with_dependencies(2, &[1], 2.0));
    world.submit(array_with_dependencies(3, &[2], 2.0));
    world.submit(array_with_dependencies(4, &[1, 3], 2.0));
    advance_until(&mut world, |world| world.live_tasks(&job_id(1)) == 3);
    world
}

fn advance_until(world: &mut World, condition: impl Fn(&World) -> bool) {
    let end = world.now + 200.0;
    while !condition(world) {
        assert!(
            world.now < end,
            "the condition was not met within 200 s\n{}",
            world.describe_state()
        );
        world.advance(0.1);
    }
}

fn outcomes(world: &World) -> Vec<Option<&'static str>> {
    (1..=4)
        .map(|number| world.outcome(&job_id(number)))
        .collect()
}

fn assert_outcomes(mut world: World, seed: u64, expected: [&'static str; 4]) {
    world.run_until_done(300.0);
    assert!(
        world.violations.is_empty(),
        "violated rules with seed {seed}: {:?}",
        world.violations
    );
    assert_eq!(
        outcomes(&world),
        expected.map(Some),
        "outcomes with seed {seed}\n{}",
        world.describe_state()
    );
}

#[test]
fn chain_runs_in_order() {
    for seed in 0..SEEDS {
        assert_outcomes(world_with_chain(seed), seed, ["done"; 4]);
    }
}

#[test]
fn follower_confirms_cancellation_before_store_outage() {
    for seed in 0..SEEDS {
        let mut world = world_with_chain(seed);
        world.cancel_hints = false;
        advance_until(&mut world, |world| world.leader_index().is_some());
        let leader = world.leader_index().unwrap_or(0);
        world.refuse_controller(leader, 8.0);
        world.advance(0.3);
        assert!(world.cancel(&job_id(2)));
        world.store_outage(40.0);
        world.advance(45.0);
        assert_outcomes(world, seed, ["done", "cancelled", "cancelled", "cancelled"]);
    }
}

/// A job is recorded as done or as cancelled, whichever is written first. This decides whether its
/// dependents run or are cancelled with it.
#[test]
fn cancellation_races_with_end_of_dependency() {
    let mut seen = [0; 2];
    for seed in 0..SEEDS * 2 {
        let mut world = world_with_chain(seed);
        let cancelled = loop {
            world.advance(0.1);
            if let Some(cancelled) = world.cancel_completed_job() {
                break cancelled == job_id(1);
            }
            if world.outcome(&job_id(1)).is_some() {
                break false;
            }
        };
        assert!(
            cancelled || !world.cancel(&job_id(1)),
            "seed {seed}: a job was cancelled after it was recorded as done"
        );
        seen[usize::from(cancelled)] += 1;
        if cancelled {
            assert_outcomes(world, seed, ["cancelled"; 4]);
        } else {
            assert_outcomes(world, seed, ["done"; 4]);
        }
    }
    assert!(
        seen[1] > 0,
        "no cancellation was recorded before the end of the job; [done, cancelled]: {seen:?}"
    );
}

#[test]
fn leader_restarts_before_dependents_start() {
    for seed in 0..SEEDS {
        let mut world = world_with_chain(seed);
        for number in 1..4 {
            advance_until(&mut world, |world| world.outcome(&job_id(number)).is_some());
            let leader = world.leader_index();
            leader
                .into_iter()
                .for_each(|i| world.restart_controller(i, 0.4));
        }
        assert_outcomes(world, seed, ["done"; 4]);
    }
}

/// Machines with tasks of the first job hang. The tasks run elsewhere, and the job is done while
/// its earlier attempts may still exist. Its dependents start once it is done, and not before.
#[test]
fn earlier_attempt_hangs_while_job_completes() {
    for seed in 0..SEEDS {
        let mut world = world_with_chain(seed);
        let machines = world.busy_machines(9);
        world.hang_machines(&machines, 30.0);
        world.advance(40.0);
        assert_outcomes(world, seed, ["done"; 4]);
    }
}

/// All controllers restart at once after the first job of the chain is cancelled. Later they
/// restart one after the other, with another maximum size of values in the store.
#[test]
fn chain_is_cancelled_while_controllers_restart() {
    for seed in 0..SEEDS {
        let mut world = world_with_chain(seed);
        advance_until(&mut world, |world| world.leader_index().is_some());
        assert!(world.cancel(&job_id(1)));
        (0..3).for_each(|i| world.restart_controller(i, 1.0 + i as f64));
        world.advance(5.0);
        // A new job that depends on one that was cancelled earlier.
        world.submit(array_with_dependencies(5, &[4], 2.0));
        world.rolling_restart(4.0, 0.004);
        assert_eq!(world.outcome(&job_id(5)), Some("cancelled"));
        assert_outcomes(world, seed, ["cancelled"; 4]);
    }
}

/// A controller keeps its workers but loses the store and its peers while the chain runs.
#[test]
fn controller_is_partitioned_while_chain_runs() {
    for seed in 0..SEEDS {
        let mut world = world_with_chain(seed);
        let i = seed as usize % 3;
        world.partition_controller(i, 15.0);
        world.advance(20.0);
        assert_outcomes(world, seed, ["done"; 4]);
    }
}
