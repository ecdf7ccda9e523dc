//! What is saved when the cloud announces that it takes a machine back.

use model::world::{
    config, job, lone_leader, machine_status, machine_type, roster, roster_record, task_status,
};
use sched::leader::{Action, OpenJob, PriorRuns};
use std::collections::BTreeSet;
use std::rc::Rc;
use wire::peers::{TaskRef, ToLeader, ToOwner};
use wire::store::RosterRecord;
use wire::users::{Job, Shape};
use wire::workers::TaskState;

const ATTEMPT: u64 = 7;

/// The tasks that are told to stop when the first of two machines, each with two tasks of a job that
/// saves, gets its notice.
fn stopped_by_notice(shape: Shape) -> BTreeSet<u32> {
    let spec = Job {
        checkpoint_s: 30.0,
        save_s: 2.0,
        ..job(1, "red", shape, 4, 1.0)
    };
    let prior_runs = match shape {
        Shape::Gang => PriorRuns::Bound(BTreeSet::from(["host-1".into(), "host-2".into()])),
        _ => PriorRuns::Anywhere,
    };
    let open = OpenJob::new(Rc::new(spec), 1, prior_runs);
    let record = RosterRecord {
        spot: true,
        ..roster_record("small")
    };
    let roster = roster(["host-1", "host-2"], &record);
    let mut leader = lone_leader(
        config(),
        vec![machine_type("small", 4.0, 16.0, 0.3)],
        vec![open],
        1,
        &roster,
    );
    let running = |index| {
        let task = TaskRef {
            job: "wk-000001".into(),
            index,
            attempt: ATTEMPT,
        };
        task_status(task, TaskState::Running, None)
    };
    let (mut now, mut stopped) = (0.0, BTreeSet::new());
    while now < 6.0 {
        now += 0.5;
        leader.tick(now, 0);
        for action in leader.take_actions() {
            if let Action::Send(_, ToOwner::Stop { task, grace_s, .. }) = action {
                assert!(grace_s >= 2.0, "there is time to save");
                stopped.insert(task.index);
            }
        }
        let mut statuses = vec![
            machine_status("host-1", "small", vec![running(0), running(1)]),
            machine_status("host-2", "small", vec![running(2), running(3)]),
        ];
        statuses[0].notice_s = (now > 3.0).then_some(4.0);
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), now);
    }
    stopped
}

/// One machine's notice had all tasks of an array stopped, wherever they ran: 25,600 of 8,274 tasks on
/// a day with an array that saves on 750 cheap machines.
#[test]
fn notice_stops_only_array_tasks_on_its_machine() {
    assert_eq!(stopped_by_notice(Shape::Array), BTreeSet::from([0, 1]));
}

/// A gang that loses a task loses its progress since the last checkpoint: all of it saves together.
#[test]
fn notice_stops_all_tasks_of_gang() {
    assert_eq!(stopped_by_notice(Shape::Gang), BTreeSet::from([0, 1, 2, 3]));
}
