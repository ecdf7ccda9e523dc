//! Scripted combinations of two overlapping faults, each over a few seeds. The tests check that no
//! rule of the protocol or of the users is violated, and that every accepted job is done or
//! cancelled in the end.

mod checks;

use checks::assert_jobs_end_without_violations;
use model::world::{config, job, Defect, Fault, World};
use sched::config::SchedulerConfig;
use wire::users::{Job, Shape};

/// A world in which machines run short and long arrays and gangs of both teams. The long ones
/// outlast `cancel_s` and every fault.
fn busy_world(seed: u64, defect: Defect, config: SchedulerConfig) -> World {
    let mut world = World::with_config(seed, defect, config);
    world.late_copy_percent = 5;
    for i in 1..=4 {
        let team = if i % 2 == 0 { "red" } else { "blue" };
        world.submit(Job {
            estimate_s: 120.0,
            ..job(i, team, Shape::Array, 3, 1.0)
        });
        world.submit(Job {
            estimate_s: 120.0,
            ..job(10 + i, team, Shape::Gang, 2, 1.0)
        });
        world.submit(job(20 + i, team, Shape::Array, 6, 1.0));
    }
    world.advance(25.0);
    assert!(
        !world.busy_machines(1).is_empty(),
        "seed {seed}: no machine runs a task"
    );
    world
}

/// Runs a combination of faults on several seeds, and checks that the rules hold and all jobs end.
fn check_scenario(seeds: u64, script: impl Fn(&mut World)) {
    check_scenario_with(seeds, config(), script);
}

fn check_scenario_with(seeds: u64, config: SchedulerConfig, script: impl Fn(&mut World)) {
    for seed in 0..seeds {
        let mut world = busy_world(seed, Defect::None, config.clone());
        script(&mut world);
        assert!(
            world.cancellations > 0,
            "seed {seed}: no cancellation was confirmed"
        );
        assert_jobs_end_without_violations(&mut world, seed);
    }
}

/// The number of seeds tried until a defect violates a rule. Some defects need a certain timing,
/// which about one seed in nine has.
const DEFECT_SEEDS: u64 = 60;

/// Returns whether a defect violates a rule with one of several seeds. If so, the check of that
/// rule can fail.
fn is_violated(
    rule: &str,
    defect: Defect,
    config: SchedulerConfig,
    script: impl Fn(&mut World),
) -> bool {
    (0..DEFECT_SEEDS).any(|seed| {
        let mut world = busy_world(seed, defect, config.clone());
        script(&mut world);
        world.advance(60.0);
        world.violations.contains(rule)
    })
}

/// Cancels running jobs until one cancellation is confirmed.
fn cancel_until_confirmed(world: &mut World) {
    while world.cancel_running(1).is_empty() {
        world.advance(0.5);
    }
}

fn wait_for_leader(world: &mut World) -> usize {
    while world.leader_index().is_none() {
        world.advance(0.1);
    }
    world.leader_index().unwrap_or(0)
}

/// The store refuses the leader while other controllers confirm cancellations; then it is down for
/// all.
fn refuse_leader_then_all(world: &mut World, refused_s: f64, outage_s: f64) {
    let leader = wait_for_leader(world);
    // The refusal ends during the outage: the leader is served again together with the others.
    world.refuse_controller(leader, refused_s + outage_s / 2.0);
    world.advance(refused_s / 2.0);
    world.cancel_running(2);
    world.advance(refused_s / 2.0);
    world.store_outage(outage_s);
    world.advance(outage_s + 0.5);
}

#[test]
fn store_refuses_leader_then_is_down() {
    let (lease, cancel) = (config().lease_s, config().cancel_s);
    for hints in [true, false] {
        for (refused_s, outage_s) in [
            (0.5, 0.5 * lease),
            (1.0, 1.1 * lease),
            (1.5, 1.3 * cancel),
            (3.0, 1.3 * cancel),
        ] {
            check_scenario(4, |world| {
                world.cancel_hints = hints;
                refuse_leader_then_all(world, refused_s, outage_s);
            });
        }
    }
}

/// Between the outages the store renews leases, but serves no read in time. No controller tells the
/// leader of the cancellations that it confirms.
fn repeated_outages_with_slow_reads(world: &mut World) {
    world.cancel_hints = false;
    world.extra_read_s = 2.5;
    world.lost_percent = 0;
    world.advance(2.0);
    for _ in 0..10 {
        refuse_leader_then_all(world, 0.8, 0.4 * config().lease_s);
        world.advance(0.5);
    }
}

#[test]
fn outages_repeat_within_seconds() {
    // Each outage is shorter than a lease, but together they last longer than `cancel_s`.
    check_scenario(6, repeated_outages_with_slow_reads);
    check_scenario(4, |world| {
        refuse_leader_then_all(world, 1.0, 1.2 * config().cancel_s);
        world.advance(2.0);
        refuse_leader_then_all(world, 1.0, 1.2 * config().cancel_s);
    });
}

#[test]
fn store_outage_with_another_fault() {
    // The controllers that confirmed the cancellations restart right afterwards.
    check_scenario(4, |world| {
        let leader = wait_for_leader(world);
        world.refuse_controller(leader, 10.0);
        world.advance(0.5);
        world.cancel_running(4);
        (0..3)
            .filter(|i| *i != leader)
            .for_each(|i| world.restart_controller(i, 0.4));
        world.advance(0.5);
        world.store_outage(1.3 * config().cancel_s);
        world.advance(1.4 * config().cancel_s);
    });
    // The leader is partitioned from its peers as well.
    check_scenario(4, |world| {
        let leader = wait_for_leader(world);
        world.partition_controller(leader, 14.0);
        world.advance(0.6);
        world.cancel_running(4);
        world.advance(0.6);
        world.store_outage(1.3 * config().cancel_s);
        world.advance(1.4 * config().cancel_s);
    });
    // Machines hang while the outage begins, and resume within their leases.
    check_scenario(4, |world| {
        let names = world.busy_machines(6);
        world.hang_machines(&names, 6.0);
        refuse_leader_then_all(world, 1.0, 1.3 * config().cancel_s);
    });
}

#[test]
fn trusting_stale_view_is_detected() {
    assert!(
        is_violated(
            "ran_cancelled",
            Defect::TrustStaleView,
            config(),
            repeated_outages_with_slow_reads
        ),
        "TrustStaleView did not violate the rule ran_cancelled"
    );
}

/// The leader's lease is revoked, and its owners, which can't reach the next leader, go on answering
/// workers until their authority ends. Then machines lose the network, and the cloud is down, so that
/// the next leader has to know when the leases of these machines end.
fn revoke_lease_before_owners_stop(world: &mut World) {
    world.lost_percent = 0;
    cancel_until_confirmed(world);
    wait_for_leader(world);
    world.revoke_lease();
    world.cloud_outage(30.0);
    (0..3).for_each(|i| world.disconnect_controller(i, 14.0));
    world.advance(1.7);
    let silent = world.busy_machines(2);
    world.drop_heartbeats(&silent, 40.0);
    world.advance(20.0);
}

/// Guards against `ran_twice`: a new leader took a machine's lease for expired while an earlier
/// leader, whose lease in the store had ended early, could still have renewed it.
#[test]
fn lease_is_revoked_while_owners_have_authority() {
    check_scenario(DEFECT_SEEDS, revoke_lease_before_owners_stop);
}

#[test]
fn ignoring_earlier_authority_is_detected() {
    assert!(
        is_violated(
            "ran_twice",
            Defect::IgnoreEarlierAuthority,
            config(),
            revoke_lease_before_owners_stop
        ),
        "IgnoreEarlierAuthority did not violate the rule ran_twice"
    );
}

/// An owner with tasks to start is partitioned from the store and the other controllers, but not from
/// its workers, and jobs are cancelled at once.
fn partition_owner_with_assigned_tasks(world: &mut World) {
    world.lost_percent = 0;
    world.delayed_percent = 0;
    for i in 100..108 {
        let leader = wait_for_leader(world);
        world.submit(job(i, "red", Shape::Array, 6, 1.0));
        world.submit(job(i + 20, "blue", Shape::Array, 6, 1.0));
        world.advance(0.6);
        world.partition_controller((leader + 1 + i as usize % 2) % 3, 3.0);
        world.cancel(&format!("wk-{i:06}"));
        world.cancel(&format!("wk-{:06}", i + 20));
        world.advance(4.0);
    }
}

/// Guards against starts after a confirmed cancellation: a user was told that a job is cancelled while
/// a controller that was cut off could still start its tasks.
#[test]
fn no_task_starts_after_its_cancellation_is_reported() {
    check_scenario(DEFECT_SEEDS, partition_owner_with_assigned_tasks);
    check_scenario(6, |world| {
        world.cancel_hints = false;
        partition_owner_with_assigned_tasks(world);
    });
}

#[test]
fn reporting_unconfirmed_cancellations_is_detected() {
    assert!(
        is_violated(
            "started_after_report",
            Defect::ReportUnconfirmedCancellations,
            config(),
            partition_owner_with_assigned_tasks
        ),
        "ReportUnconfirmedCancellations did not violate the rule started_after_report"
    );
}

#[test]
fn leader_restarts_while_machines_are_unreachable() {
    check_scenario(6, |world| {
        let names = world.busy_machines(5);
        world.drop_heartbeats(&names, 7.0);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 4.0);
        world.advance(6.0);
        // Now the machines' heartbeats arrive, but the next leader's responses do not.
        world.drop_responses(&names, 12.0);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 0.1);
        world.advance(0.3);
        cancel_until_confirmed(world);
        world.advance(25.0);
    });
}

#[test]
fn late_heartbeats_arrive_after_leader_changes() {
    check_scenario(8, |world| {
        (world.late_copy_percent, world.delayed_percent) = (60, 20);
        for i in 0..5 {
            let leader = wait_for_leader(world);
            world.restart_controller(leader, if i % 2 == 0 { 0.1 } else { 3.0 });
            world.advance(5.0);
            world.cancel_running(1);
        }
        // Some machines lose their leases meanwhile and begin new incarnations.
        let names = world.busy_machines(4);
        world.drop_heartbeats(&names, 10.0);
        world.advance(25.0);
    });
}

#[test]
fn cancellation_races_with_end_of_last_task() {
    let (mut cancelled_count, mut done_count) = (0, 0);
    for seed in 0..12 {
        let mut world = busy_world(seed, Defect::None, config());
        let mut cancelled = Vec::new();
        for i in 0..60 {
            world.submit(job(100 + i, "red", Shape::Array, 1 + i % 3, 1.0));
            for _ in 0..8 {
                world.advance(0.1);
                cancelled.extend(world.cancel_completed_job());
            }
            if i == 30 {
                let leader = wait_for_leader(&mut world);
                world.restart_controller(leader, 0.4);
            }
        }
        world.run_until_done(300.0);
        assert!(
            world.violations.is_empty(),
            "violated rules with seed {seed}: {:?}",
            world.violations
        );
        // A job stays as it was first recorded: once it is done, it cannot be cancelled.
        cancelled_count += cancelled.len();
        assert!(cancelled
            .iter()
            .all(|id| world.outcome(id) == Some("cancelled") && world.live_tasks(id) == 0));
        let done: Vec<String> = (100..160)
            .map(|i| format!("wk-{i:06}"))
            .filter(|id| world.outcome(id) == Some("done"))
            .collect();
        done_count += done.len();
        assert!(done
            .iter()
            .all(|id| !world.cancel(id) && world.outcome(id) == Some("done")));
    }
    assert!(
        cancelled_count > 50 && done_count > 50,
        "too few races: {cancelled_count} cancelled, {done_count} done"
    );
}

#[test]
fn controllers_restart_repeatedly() {
    check_scenario(6, |world| {
        for down_s in [0.1, 0.4, 0.9] {
            let leader = wait_for_leader(world);
            world.restart_controller(leader, down_s);
            world.advance(2.5);
            (0..3).for_each(|i| world.restart_controller(i, if i == 1 { down_s } else { 5.0 }));
            world.advance(3.0);
            world.cancel_running(1);
        }
    });
}

#[test]
fn all_controllers_are_down_longer_than_lease() {
    check_scenario(6, |world| {
        world.cancel_running(2);
        (0..3).for_each(|i| {
            world.restart_controller(i, if i == 0 { 1.3 * config().lease_s } else { 20.0 })
        });
        world.advance(1.2 * config().lease_s);
        assert!(world.lease_expiries > 0, "no worker's lease expired");
        world.advance(15.0);
        world.cancel_running(1);
    });
}

#[test]
fn overload_with_slow_network() {
    check_scenario(3, |world| {
        world.delayed_percent = 12;
        for i in 0..40 {
            let team = if i % 2 == 0 { "red" } else { "blue" };
            let shape = if i % 4 == 0 {
                Shape::Gang
            } else {
                Shape::Array
            };
            let mut spec = job(200 + i, team, shape, 3, 3.0);
            spec.priority = if i % 3 == 0 {
                wire::users::Priority::Prod
            } else {
                wire::users::Priority::BestEffort
            };
            world.submit(spec);
            world.advance(0.5);
        }
        world.cancel_running(3);
        world.delayed_percent = 0;
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 4.0);
    });
}

#[test]
fn team_at_limit_with_hung_machines_and_new_leader() {
    check_scenario(8, |world| {
        // These jobs need far more than the team's limit of 24 CPUs.
        (0..6).for_each(|i| {
            world.submit(Job {
                estimate_s: 30.0,
                ..job(300 + i, "red", Shape::Array, 8, 2.0)
            })
        });
        world.advance(15.0);
        let names = world.busy_machines(4);
        world.hang_machines(&names, 7.5);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 4.0);
        world.advance(0.7);
        world.cancel_running(4);
        world.advance(1.5);
        world.cancel_running(2);
        world.advance(30.0);
    });
}

#[test]
fn zone_is_partitioned_longer_than_lease() {
    check_scenario(6, |world| {
        let leader = wait_for_leader(world);
        for controller in [Some(leader), None, Some((leader + 1) % 3)] {
            world.partition_zone("a", controller, 1.5 * config().lease_s);
            world.advance(3.0);
            world.cancel_running(2);
            world.advance(1.5 * config().lease_s);
        }
    });
}

#[test]
fn partitioned_leader_misses_cancellations() {
    check_scenario(8, |world| {
        for _ in 0..3 {
            let leader = wait_for_leader(world);
            world.partition_controller(leader, 25.0);
            world.advance(1.0);
            world.cancel_running(2);
            world.advance(4.0);
            world.cancel_running(2);
            world.advance(23.0);
        }
    });
}

#[test]
fn single_zone_jobs_lose_machines() {
    let single_zone_job = |i: u32, shape| Job {
        one_zone: true,
        estimate_s: 10.0,
        ..job(400 + i, "blue", shape, 3, 2.0)
    };
    check_scenario(6, |world| {
        (0..4).for_each(|i| {
            world.submit(single_zone_job(
                i,
                if i % 2 == 0 {
                    Shape::Gang
                } else {
                    Shape::Array
                },
            ))
        });
        world.submit(Job {
            zone: Some("a".into()),
            ..single_zone_job(9, Shape::Array)
        });
        world.advance(6.0);
        let names = world.busy_machines(4);
        world.drop_heartbeats(&names, 9.0);
        world.advance(1.0);
        cancel_until_confirmed(world);
        world.kill_machines(&names[..names.len().min(2)]);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 0.4);
        world.advance(25.0);
    });
}

#[test]
fn tasks_of_a_job_end_far_apart_across_leaders() {
    check_scenario(8, |world| {
        for i in 0..12 {
            // Some machines hang, so that tasks of one job end at different times.
            world.submit(Job {
                estimate_s: 6.0,
                ..job(500 + i, "blue", Shape::Array, 2 + i % 2, 1.0)
            });
        }
        world.advance(5.0);
        let names = world.busy_machines(3);
        world.hang_machines(&names, 6.0);
        cancel_until_confirmed(world);
        world.advance(3.0);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 4.0);
        world.advance(2.0);
        let leader = wait_for_leader(world);
        world.refuse_controller(leader, 4.0);
        world.advance(10.0);
    });
}

/// Heartbeats come every 6 s and leaders change about every 3 s, so no heartbeat has the current
/// token.
#[test]
fn leaders_change_faster_than_heartbeats() {
    let slow = SchedulerConfig {
        heartbeat_s: 6.0,
        lease_s: 14.0,
        cancel_s: 30.0,
        ..config()
    };
    let script = |world: &mut World| {
        world.cancel_hints = false;
        world.cancel_running(6);
        for i in 0..20 {
            let leader = wait_for_leader(world);
            world.restart_controller(leader, 0.4);
            if i == 12 {
                world.store_outage(5.0);
            }
            world.advance(2.5);
        }
    };
    check_scenario_with(6, slow.clone(), script);
    assert!(
        is_violated("ran_cancelled", Defect::ForgetCancelled, slow, script),
        "ForgetCancelled did not violate the rule ran_cancelled"
    );
}

/// The leader freezes right before it sends a response to a worker, while its clock runs on. Jobs
/// are cancelled through the other controllers. The leader then resumes and sends the response that
/// it computed before the freeze. After that, another controller freezes.
fn freeze_controllers(world: &mut World) {
    world.cancel_hints = false;
    let lease = config().lease_s;
    for freeze_s in [0.4, 1.5, 0.4 * lease, 0.8 * lease, 1.2 * lease] {
        let leader = wait_for_leader(world);
        world.freeze_before_next_response(leader, freeze_s);
        world.advance(0.5);
        world.cancel_running(1);
        world.advance(freeze_s);
        let other = (wait_for_leader(world) + 1) % 3;
        world.freeze_controller(other, freeze_s);
        world.advance(freeze_s / 2.0);
        world.cancel_running(1);
        world.advance(freeze_s);
    }
}

#[test]
fn controllers_freeze_while_jobs_are_cancelled() {
    check_scenario(12, freeze_controllers);
    for (rule, defect) in [
        ("ran_twice", Defect::ForgetRoster),
        ("ran_cancelled", Defect::IgnoreCancel),
    ] {
        assert!(
            is_violated(rule, defect, config(), freeze_controllers),
            "{defect:?} did not violate the rule {rule}"
        );
    }
}

/// All controllers freeze for half a lease, for longer than a lease, and for longer than
/// `cancel_s`.
#[test]
fn all_controllers_freeze_and_resume() {
    let (lease, cancel) = (config().lease_s, config().cancel_s);
    for freeze_s in [0.5 * lease, 1.2 * lease, 1.2 * cancel] {
        check_scenario(4, |world| {
            world.cancel_running(2);
            (0..3).for_each(|i| world.freeze_controller(i, freeze_s));
            world.advance(freeze_s + 0.2);
            world.cancel_running(1);
            world.advance(5.0);
        });
    }
}

#[test]
fn one_way_partitions_while_leader_changes() {
    check_scenario(6, |world| {
        let names = world.busy_machines(6);
        world.drop_heartbeats(&names[..names.len() / 2], 20.0);
        world.drop_responses(&names[names.len() / 2..], 20.0);
        world.advance(2.0);
        world.cancel_running(3);
        let leader = wait_for_leader(world);
        world.restart_controller(leader, 0.4);
        world.advance(30.0);
    });
}

#[test]
fn hung_machines_process_responses_late() {
    check_scenario(8, |world| {
        for i in 0..6 {
            (0..2).for_each(|n| world.submit(job(600 + 2 * i + n, "red", Shape::Array, 2, 1.0)));
            world.advance(1.2);
            let names = world.busy_machines(8);
            world.hang_machines(&names, 2.0 + f64::from(i));
            world.cancel_running(1);
            world.advance(8.0);
        }
    });
}

fn delay_writes(world: &mut World) {
    world.late_write_percent = 25;
    for i in 0..30 {
        let shape = if i % 3 == 0 {
            Shape::Gang
        } else {
            Shape::Array
        };
        world.submit(Job {
            estimate_s: 12.0,
            ..job(700 + i, "blue", shape, 2, 2.0)
        });
        world.advance(2.0);
        if i % 10 == 9 {
            let names = world.busy_machines(2);
            world.kill_machines(&names);
            cancel_until_confirmed(world);
            let leader = wait_for_leader(world);
            world.restart_controller(leader, 0.4);
        }
    }
    world.late_write_percent = 0;
    assert!(
        world.faults[&Fault::LateWrite] > 5,
        "too few late writes: {:?}",
        world.faults
    );
}

#[test]
fn late_transactions_run_after_newer_ones() {
    check_scenario(6, delay_writes);
}

#[test]
fn ignoring_expected_versions_is_detected() {
    // An old roster page, or an old record of the machines of a gang, makes the next leader start
    // tasks a second time.
    assert!(
        is_violated("ran_twice", Defect::IgnoreVersions, config(), delay_writes),
        "IgnoreVersions did not violate the rule ran_twice"
    );
}

/// Jobs of team `blue` keep machines in use. These have free capacity, but the arrays of team `red`
/// wait.
#[test]
fn leaving_work_waiting_beside_capacity_is_detected() {
    let mut world = busy_world(1, Defect::HideRedArrays, config());
    (0..3).for_each(|i| {
        world.submit(Job {
            estimate_s: 200.0,
            ..job(800 + i, "blue", Shape::Array, 3, 1.0)
        })
    });
    world.run_until_done(150.0);
    assert!(
        world.violations.contains("waits"),
        "HideRedArrays did not violate the rule waits, only {:?}",
        world.violations
    );
}

/// A leader that never learns of cancellations continues to start tasks of cancelled jobs.
#[test]
fn starting_cancelled_tasks_is_detected() {
    let script = |world: &mut World| {
        for i in 0..6 {
            world.submit(job(900 + i, "red", Shape::Array, 12, 2.0));
        }
        world.advance(2.0);
        assert!(
            (900..906)
                .filter(|i| world.cancel(&format!("wk-{i:06}")))
                .count()
                > 0
        );
        world.advance(30.0);
    };
    assert!(
        is_violated("started_cancelled", Defect::IgnoreCancel, config(), script),
        "IgnoreCancel did not violate the rule started_cancelled"
    );
}
