//! Two faults at a time, each combination scripted, over a few seeds: the rules of the
//! protocol and of the users hold, and all that was accepted is done or cancelled in the end.

use model::world::{config, job, Defect, Fault, World};
use sched::config::SchedulerConfig;
use wire::users::{Job, Shape};

/// A day with short and long jobs of both teams on machines that run, arrays and gangs; long ones
/// outlast `cancel_s` and every fault.
fn busy(seed: u64, defect: Defect, config: SchedulerConfig) -> World {
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
        "seed {seed}: nothing runs"
    );
    world
}

/// Plays a combination of faults on several seeds, and checks the days.
fn meeting(seeds: u64, script: impl Fn(&mut World)) {
    meeting_with(seeds, config(), script);
}

fn meeting_with(seeds: u64, config: SchedulerConfig, script: impl Fn(&mut World)) {
    for seed in 0..seeds {
        let mut world = busy(seed, Defect::None, config.clone());
        script(&mut world);
        assert!(
            world.cancellations > 0,
            "seed {seed}: nothing was cancelled"
        );
        world.run_until_done(400.0);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}\n{}",
            world.violations,
            world.explain()
        );
        assert_eq!(
            world.open_jobs(),
            Vec::<String>::new(),
            "seed {seed}\n{}",
            world.explain()
        );
    }
}

/// Seeds on which a defect may show: some take the right moment, met on about one seed in nine.
const DEFECT_SEEDS: u64 = 60;

/// Whether a day with a defect breaks a rule on one of several seeds: the checks can fail.
fn breaks(
    rule: &str,
    defect: Defect,
    config: SchedulerConfig,
    script: impl Fn(&mut World),
) -> bool {
    (0..DEFECT_SEEDS).any(|seed| {
        let mut world = busy(seed, defect, config.clone());
        script(&mut world);
        world.advance(60.0);
        world.violations.contains(rule)
    })
}

/// Users cancel jobs until one is confirmed.
fn cancel_one(world: &mut World) {
    while world.cancel_running(1).is_empty() {
        world.advance(0.5);
    }
}

fn leader(world: &mut World) -> usize {
    while world.leader_index().is_none() {
        world.advance(0.1);
    }
    world.leader_index().unwrap_or(0)
}

/// The store refuses the leader, others confirm cancellations, then it is out for everybody.
fn gap(world: &mut World, refused_s: f64, out_s: f64) {
    let leading = leader(world);
    // It is served again when the others are.
    world.refuse_controller(leading, refused_s + out_s / 2.0);
    world.advance(refused_s / 2.0);
    world.cancel_running(2);
    world.advance(refused_s / 2.0);
    world.store_outage(out_s);
    world.advance(out_s + 0.5);
}

#[test]
fn the_store_refuses_the_leader_and_then_is_down() {
    let (lease, cancel) = (config().lease_s, config().cancel_s);
    for hints in [true, false] {
        for (refused_s, out_s) in [
            (0.5, 0.5 * lease),
            (1.0, 1.1 * lease),
            (1.5, 1.3 * cancel),
            (3.0, 1.3 * cancel),
        ] {
            meeting(4, |world| {
                world.cancel_hints = hints;
                gap(world, refused_s, out_s);
            });
        }
    }
}

/// The store serves renewals between outages, but no read in time; nobody tells the leader.
fn slow_gaps(world: &mut World) {
    world.cancel_hints = false;
    world.extra_read_s = 2.5;
    world.lost_percent = 0;
    world.advance(2.0);
    for _ in 0..10 {
        gap(world, 0.8, 0.4 * config().lease_s);
        world.advance(0.5);
    }
}

#[test]
fn gaps_follow_each_other_within_seconds() {
    // Each outage is shorter than a lease, and together they last longer than `cancel_s`.
    meeting(6, slow_gaps);
    meeting(4, |world| {
        gap(world, 1.0, 1.2 * config().cancel_s);
        world.advance(2.0);
        gap(world, 1.0, 1.2 * config().cancel_s);
    });
}

#[test]
fn the_gap_with_one_more_fault() {
    // The controller that confirmed ends right after.
    meeting(4, |world| {
        let leading = leader(world);
        world.refuse_controller(leading, 10.0);
        world.advance(0.5);
        world.cancel_running(4);
        (0..3)
            .filter(|i| *i != leading)
            .for_each(|i| world.restart_controller(i, 0.4));
        world.advance(0.5);
        world.store_outage(1.3 * config().cancel_s);
        world.advance(1.4 * config().cancel_s);
    });
    // The leader is cut from its peers as well.
    meeting(4, |world| {
        let leading = leader(world);
        world.partition_controller(leading, 14.0);
        world.advance(0.6);
        world.cancel_running(4);
        world.advance(0.6);
        world.store_outage(1.3 * config().cancel_s);
        world.advance(1.4 * config().cancel_s);
    });
    // Machines hang through its start, and go on within their leases.
    meeting(4, |world| {
        let names = world.busy_machines(6);
        world.hang_machines(&names, 6.0);
        gap(world, 1.0, 1.3 * config().cancel_s);
    });
}

#[test]
fn trusting_a_view_from_before_an_outage_is_noticed() {
    assert!(
        breaks("ran_cancelled", Defect::TrustStaleView, config(), slow_gaps),
        "it went unnoticed"
    );
}

#[test]
fn a_leader_ends_while_machines_with_long_tasks_cannot_be_reached() {
    meeting(6, |world| {
        let names = world.busy_machines(5);
        world.drop_heartbeats(&names, 7.0);
        let leading = leader(world);
        world.restart_controller(leading, 4.0);
        world.advance(6.0);
        // Now their heartbeats arrive, but not the next leader's responses.
        world.drop_responses(&names, 12.0);
        let leading = leader(world);
        world.restart_controller(leading, 0.1);
        world.advance(0.3);
        cancel_one(world);
        world.advance(25.0);
    });
}

#[test]
fn old_heartbeats_arrive_after_newer_ones_and_at_later_leaders() {
    meeting(8, |world| {
        (world.late_copy_percent, world.delayed_percent) = (60, 20);
        for i in 0..5 {
            let leading = leader(world);
            world.restart_controller(leading, if i % 2 == 0 { 0.1 } else { 3.0 });
            world.advance(5.0);
            world.cancel_running(1);
        }
        // Machines begin a new incarnation meanwhile.
        let names = world.busy_machines(4);
        world.drop_heartbeats(&names, 10.0);
        world.advance(25.0);
    });
}

#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    let (mut met, mut kept) = (0, 0);
    for seed in 0..12 {
        let mut world = busy(seed, Defect::None, config());
        let mut cancelled = Vec::new();
        for i in 0..60 {
            world.submit(job(100 + i, "red", Shape::Array, 1 + i % 3, 1.0));
            for _ in 0..8 {
                world.advance(0.1);
                cancelled.extend(world.cancel_completed_job());
            }
            if i == 30 {
                let leading = leader(&mut world);
                world.restart_controller(leading, 0.4);
            }
        }
        world.run_until_done(300.0);
        assert!(
            world.violations.is_empty(),
            "seed {seed}: {:?}",
            world.violations
        );
        // One winner: whoever wrote first, and so it stays; nobody can cancel it again.
        met += cancelled.len();
        assert!(cancelled
            .iter()
            .all(|id| world.outcome(id) == Some("cancelled") && world.live_tasks(id) == 0));
        let done: Vec<String> = (100..160)
            .map(|i| format!("wk-{i:06}"))
            .filter(|id| world.outcome(id) == Some("done"))
            .collect();
        kept += done.len();
        assert!(done
            .iter()
            .all(|id| !world.cancel(id) && world.outcome(id) == Some("done")));
    }
    assert!(
        met > 50 && kept > 50,
        "too few met: {met} cancelled, {kept} done"
    );
}

#[test]
fn controllers_hand_over_and_back_and_all_end() {
    meeting(6, |world| {
        for back in [0.1, 0.4, 0.9] {
            let leading = leader(world);
            world.restart_controller(leading, back);
            world.advance(2.5);
            (0..3).for_each(|i| world.restart_controller(i, if i == 1 { back } else { 5.0 }));
            world.advance(3.0);
            world.cancel_running(1);
        }
    });
}

#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    meeting(6, |world| {
        world.cancel_running(2);
        (0..3).for_each(|i| {
            world.restart_controller(i, if i == 0 { 1.3 * config().lease_s } else { 20.0 })
        });
        world.advance(1.2 * config().lease_s);
        assert!(world.lease_expiries > 0);
        world.advance(15.0);
        world.cancel_running(1);
    });
}

#[test]
fn more_work_than_capacity_over_slow_links() {
    meeting(3, |world| {
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
        let leading = leader(world);
        world.restart_controller(leading, 4.0);
    });
}

#[test]
fn a_team_is_at_its_limit_while_the_leader_changes_and_machines_cannot_be_asked() {
    meeting(8, |world| {
        // Far more than the limit of 24 CPUs.
        (0..6).for_each(|i| {
            world.submit(Job {
                estimate_s: 30.0,
                ..job(300 + i, "red", Shape::Array, 8, 2.0)
            })
        });
        world.advance(15.0);
        let names = world.busy_machines(4);
        world.hang_machines(&names, 7.5);
        let leading = leader(world);
        world.restart_controller(leading, 4.0);
        world.advance(0.7);
        world.cancel_running(4);
        world.advance(1.5);
        world.cancel_running(2);
        world.advance(30.0);
    });
}

#[test]
fn a_zone_with_a_controller_is_cut_off_for_longer_than_a_lease() {
    meeting(6, |world| {
        let leading = leader(world);
        for inside in [Some(leading), None, Some((leading + 1) % 3)] {
            world.partition_zone("a", inside, 1.5 * config().lease_s);
            world.advance(3.0);
            world.cancel_running(2);
            world.advance(1.5 * config().lease_s);
        }
    });
}

#[test]
fn a_leader_is_cut_from_store_and_peers_while_jobs_are_cancelled_through_the_next() {
    meeting(8, |world| {
        for _ in 0..3 {
            let leading = leader(world);
            world.partition_controller(leading, 25.0);
            world.advance(1.0);
            world.cancel_running(2);
            world.advance(4.0);
            world.cancel_running(2);
            world.advance(23.0);
        }
    });
}

#[test]
fn jobs_bound_to_one_zone_lose_machines() {
    let zoned = |i: u32, shape| Job {
        one_zone: true,
        estimate_s: 10.0,
        ..job(400 + i, "blue", shape, 3, 2.0)
    };
    meeting(6, |world| {
        (0..4).for_each(|i| {
            world.submit(zoned(
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
            ..zoned(9, Shape::Array)
        });
        world.advance(6.0);
        let names = world.busy_machines(4);
        world.drop_heartbeats(&names, 9.0);
        world.advance(1.0);
        cancel_one(world);
        world.kill_machines(&names[..names.len().min(2)]);
        let leading = leader(world);
        world.restart_controller(leading, 0.4);
        world.advance(25.0);
    });
}

#[test]
fn jobs_of_two_or_three_tasks_end_far_apart_across_a_change_of_leader() {
    meeting(8, |world| {
        for i in 0..12 {
            // On machines that hang or not, the same tasks end at different times.
            world.submit(Job {
                estimate_s: 6.0,
                ..job(500 + i, "blue", Shape::Array, 2 + i % 2, 1.0)
            });
        }
        world.advance(5.0);
        let names = world.busy_machines(3);
        world.hang_machines(&names, 6.0);
        cancel_one(world);
        world.advance(3.0);
        let leading = leader(world);
        world.restart_controller(leading, 4.0);
        world.advance(2.0);
        let leading = leader(world);
        world.refuse_controller(leading, 4.0);
        world.advance(10.0);
    });
}

/// Heartbeats every 6 s, leaders every 3: no heartbeat shows the token of the day.
#[test]
fn leaders_change_faster_than_machines_send_heartbeats() {
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
            let leading = leader(world);
            world.restart_controller(leading, 0.4);
            if i == 12 {
                world.store_outage(5.0);
            }
            world.advance(2.5);
        }
    };
    meeting_with(6, slow.clone(), script);
    assert!(
        breaks("ran_cancelled", Defect::ForgetCancelled, slow, script),
        "the check can't fail"
    );
}

/// The leader freezes while its clock runs on, once with a response that it has just decided, and jobs
/// are cancelled through the others; then it goes on.
fn standstills(world: &mut World) {
    world.cancel_hints = false;
    let lease = config().lease_s;
    for for_s in [0.4, 1.5, 0.4 * lease, 0.8 * lease, 1.2 * lease] {
        let leading = leader(world);
        world.freeze_before_next_response(leading, for_s);
        world.advance(0.5);
        world.cancel_running(1);
        world.advance(for_s);
        let other = (leader(world) + 1) % 3;
        world.freeze_controller(other, for_s);
        world.advance(for_s / 2.0);
        world.cancel_running(1);
        world.advance(for_s);
    }
}

#[test]
fn controllers_stand_still_while_jobs_are_cancelled() {
    meeting(12, standstills);
    for (rule, defect) in [
        ("ran_twice", Defect::ForgetRoster),
        ("ran_cancelled", Defect::IgnoreCancel),
    ] {
        assert!(
            breaks(rule, defect, config(), standstills),
            "{rule}: the check can't fail"
        );
    }
}

/// All stand still for longer than a lease, and longer than a cancellation may take.
#[test]
fn all_controllers_stand_still_and_go_on() {
    let (lease, cancel) = (config().lease_s, config().cancel_s);
    for for_s in [0.5 * lease, 1.2 * lease, 1.2 * cancel] {
        meeting(4, |world| {
            world.cancel_running(2);
            (0..3).for_each(|i| world.freeze_controller(i, for_s));
            world.advance(for_s + 0.2);
            world.cancel_running(1);
            world.advance(5.0);
        });
    }
}

#[test]
fn machines_reach_no_controller_or_hear_none_while_the_leader_changes() {
    meeting(6, |world| {
        let names = world.busy_machines(6);
        world.drop_heartbeats(&names[..names.len() / 2], 20.0);
        world.drop_responses(&names[names.len() / 2..], 20.0);
        world.advance(2.0);
        world.cancel_running(3);
        let leading = leader(world);
        world.restart_controller(leading, 0.4);
        world.advance(30.0);
    });
}

#[test]
fn responses_wait_on_hung_machines_which_then_go_on() {
    meeting(8, |world| {
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

fn late_writes(world: &mut World) {
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
            cancel_one(world);
            let leading = leader(world);
            world.restart_controller(leading, 0.4);
        }
    }
    world.late_write_percent = 0;
    assert!(world.faults[&Fault::LateWrite] > 5, "{:?}", world.faults);
}

#[test]
fn transactions_without_a_response_are_carried_out_after_newer_ones() {
    meeting(6, late_writes);
}

#[test]
fn writes_without_expected_versions_are_noticed() {
    // An old page of the roster or an old binding makes the next leader start tasks again.
    assert!(
        breaks("ran_twice", Defect::IgnoreVersions, config(), late_writes),
        "it went unnoticed"
    );
}

/// Work of the other team keeps machines in use that have capacity to spare.
#[test]
fn letting_work_wait_beside_free_capacity_is_noticed() {
    let mut world = busy(1, Defect::HideRedArrays, config());
    (0..3).for_each(|i| {
        world.submit(Job {
            estimate_s: 200.0,
            ..job(800 + i, "blue", Shape::Array, 3, 1.0)
        })
    });
    world.run_until_done(150.0);
    assert!(
        world.violations.contains("waits"),
        "it went unnoticed: {:?}",
        world.violations
    );
}

/// A leader that never learns of cancellations goes on starting tasks of cancelled jobs.
#[test]
fn starting_what_was_cancelled_is_noticed() {
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
        breaks("started_cancelled", Defect::IgnoreCancel, config(), script),
        "it went unnoticed"
    );
}
