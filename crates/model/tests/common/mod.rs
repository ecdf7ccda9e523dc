//! Scenarios that both the invariant tests and the digest tests run.

use model::world::{job, Defect, World};
use wire::users::{Job, Shape};

/// A maximum size of values in the store so small that a progress bitmap holds eight tasks.
const SMALL_VALUE_KB: f64 = 0.004;

/// Runs a world in which most jobs have dependencies, under random faults. In between, a rolling
/// restart gives the controllers smaller records. At the end, the world runs for `quiet_s` without
/// new faults.
pub fn dependency_scenario(seed: u64, defect: Defect, quiet_s: f64) -> World {
    let mut world = World::new(seed, defect);
    world.dependent_percent = 70;
    world.delayed_percent = 6;
    world.late_copy_percent = 6;
    world.late_write_percent = 6;
    world.run_random(50.0, 0.0);
    world.rolling_restart(6.0, SMALL_VALUE_KB);
    world.run_random(100.0, quiet_s);
    world
}

/// Runs a world in which controllers reload all records repeatedly: in every round the leader, or
/// controller 0 if there is no leader, and one other controller.
pub fn reload_scenario(seed: u64, defect: Defect) -> World {
    let mut world = World::new(seed, defect);
    world.dependent_percent = 50;
    for round in 0..12 {
        world.run_random(6.0, 0.0);
        (0..3).for_each(|n| {
            world.submit(Job {
                estimate_s: 1.0,
                ..job(700 + 3 * round + n, "red", Shape::Array, 2, 1.0)
            })
        });
        world.advance(2.0);
        let leader = world.leader_index().unwrap_or(0);
        world.reload_records((leader + 1) % 3, 3.0);
        world.reload_records(leader, 0.6);
        world.advance(0.7);
        // During an outage, no read can correct at once what the reload has left wrong.
        world.store_outage(1.2);
        world.advance(1.5);
    }
    world.run_until_done(300.0);
    world
}
