//! Machines that boot late and are released meanwhile, while releases take effect late and links
//! between controllers are slow.

mod checks;

use checks::assert_jobs_end_without_violations;
use model::world::{config, config_without_deprovisioning, job, Defect, World};
use sched::config::SchedulerConfig;
use std::ops::Range;
use wire::users::{Job, Shape};

/// The number of seeds on which a scenario runs.
const SEEDS: u64 = 200;

/// The additional transit time of messages between controllers, in seconds.
const LINK_DELAY_S: f64 = 0.4;

/// The time by which boots are late: some machines come up in time, some after they are given up.
const LATE_BOOT_S: Range<f64> = 4.0..16.0;

/// The time by which a boot is late if the machine comes up just after it is given up.
const JUST_TOO_LATE_S: Range<f64> = 8.0..11.0;

/// Jobs come one after the other while every machine boots late, so that the leader gives machines
/// up that then come up, and while every release takes effect late.
fn boots_meet_releases(world: &mut World) {
    world.lost_percent = 0;
    world.delayed_percent = 0;
    world.late_boots(60.0, LATE_BOOT_S);
    world.late_releases(60.0);
    for i in 0..30 {
        world.slow_links(LINK_DELAY_S, 3.0);
        let team = if i % 2 == 0 { "red" } else { "blue" };
        let spec = Job {
            one_zone: i % 3 == 0,
            ..job(1 + i, team, Shape::Array, 1 + i % 3, 2.0)
        };
        world.submit(spec);
        world.advance(2.0);
    }
}

/// The first machine boots late and may come up while its release is under way, beside machines of
/// the same kind that are idle most of the time. Their owners may choose other machines for a task
/// than the leader expects, and the owners' reports are slow.
fn expected_machine_is_released(world: &mut World) {
    let whole_machines = |id, team, tasks, estimate_s| Job {
        types: Some(vec!["small".into()]),
        spot: false,
        // No machine has the image of another job, so all idle machines suit a job alike.
        image: format!("img-{id}"),
        estimate_s,
        ..job(id, team, Shape::Array, tasks, 4.0)
    };
    world.lost_percent = 0;
    world.delayed_percent = 0;
    world.late_boots(4.0, JUST_TOO_LATE_S);
    world.late_releases(60.0);
    world.submit(whole_machines(1, "red", 1, 1.0));
    world.advance(4.0);
    world.submit(whole_machines(2, "blue", 5, 1.0));
    world.advance(5.0);
    for i in 0..10 {
        world.slow_links(LINK_DELAY_S, 3.0);
        world.submit(whole_machines(10 + i, "red", 1, 4.0));
        for _ in 0..27 {
            world.advance(0.1);
            if world.expects_task_under_release() {
                // By then the owner has chosen a machine, and its report is on the way.
                world.advance(LINK_DELAY_S + 0.4);
                world.finish_late_releases();
            }
        }
    }
}

/// As `boots_meet_releases`, and the leader or another controller ends every few seconds.
fn boots_meet_releases_and_crashes(world: &mut World) {
    world.lost_percent = 0;
    world.late_boots(60.0, LATE_BOOT_S);
    world.late_releases(60.0);
    for i in 0..30 {
        world.slow_links(LINK_DELAY_S, 2.0);
        world.submit(job(1 + i, "red", Shape::Array, 1 + i % 3, 2.0));
        world.advance(2.0);
        if i % 7 == 6 {
            let ended = (world.leader_index().unwrap_or(0) + i as usize % 2) % 3;
            world.restart_controller(ended, 0.4);
        }
    }
}

/// Machines fall silent for longer than a lease across a failover, so that the new leader gives them
/// up, and return while their release is late, or the cloud refuses it.
fn silent_machines_return(world: &mut World) {
    (0..4).for_each(|i| {
        let long = Job {
            estimate_s: 60.0,
            ..job(1 + i, "blue", Shape::Array, 3, 2.0)
        };
        world.submit(long);
    });
    world.advance(20.0);
    world.late_releases(60.0);
    for round in 0..3 {
        let silent = world.busy_machines(2);
        world.drop_heartbeats(&silent, 11.0 + f64::from(round));
        if round == 2 {
            world.cloud_outage(12.0);
        }
        let leader = world.leader_index().unwrap_or(0);
        world.restart_controller(leader, 0.4);
        world.slow_links(LINK_DELAY_S, 14.0);
        world.submit(job(20 + round, "red", Shape::Array, 4, 2.0));
        world.advance(15.0);
    }
}

fn check_scenario(config: &SchedulerConfig, script: impl Fn(&mut World)) {
    for seed in 0..SEEDS {
        let mut world = World::with_config(seed, Defect::None, config.clone());
        script(&mut world);
        assert_jobs_end_without_violations(&mut world, seed);
    }
}

/// Returns whether a defect violates a rule with one of the seeds.
fn is_violated(
    rule: &str,
    defect: Defect,
    config: &SchedulerConfig,
    script: impl Fn(&mut World),
) -> bool {
    (0..SEEDS).any(|seed| {
        let mut world = World::with_config(seed, defect, config.clone());
        script(&mut world);
        world.advance(20.0);
        world.violations.contains(rule)
    })
}

/// Guards against `ran_twice`, and against lost work: a machine that came up while its release was
/// under way got tasks, and those only expected there were started a second time.
#[test]
fn machines_boot_while_their_release_is_late() {
    check_scenario(&config(), boots_meet_releases);
    check_scenario(
        &config_without_deprovisioning(),
        expected_machine_is_released,
    );
}

#[test]
fn controllers_crash_while_releases_are_late() {
    check_scenario(&config(), boots_meet_releases_and_crashes);
}

#[test]
fn silent_machines_return_while_their_release_is_late() {
    check_scenario(&config(), silent_machines_return);
}

#[test]
fn forgetting_releases_is_detected() {
    assert!(
        is_violated(
            "started_under_release",
            Defect::ForgetReleases,
            &config(),
            boots_meet_releases
        ),
        "ForgetReleases did not violate the rule started_under_release"
    );
}

#[test]
fn requeueing_expected_tasks_is_detected() {
    for rule in ["ran_twice", "startable_while_running"] {
        assert!(
            is_violated(
                rule,
                Defect::RequeueExpectedTasks,
                &config_without_deprovisioning(),
                expected_machine_is_released
            ),
            "RequeueExpectedTasks did not violate the rule {rule}"
        );
    }
}
