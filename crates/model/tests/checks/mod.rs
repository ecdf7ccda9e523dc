//! Checks at the end of a scripted scenario.

use model::world::World;

/// The maximum time that all jobs may take to end once a script is over, in seconds.
const MAX_QUIET_S: f64 = 400.0;

/// Lets all jobs end without further faults, and checks that no rule was violated and that no job is
/// left open.
pub fn assert_jobs_end_without_violations(world: &mut World, seed: u64) {
    world.run_until_done(MAX_QUIET_S);
    assert!(
        world.violations.is_empty(),
        "violated rules with seed {seed}: {:?}\n{}",
        world.violations,
        world.describe_state()
    );
    assert_eq!(
        world.open_jobs(),
        Vec::<String>::new(),
        "open jobs with seed {seed}\n{}",
        world.describe_state()
    );
}
