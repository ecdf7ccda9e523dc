//! Which tasks are stopped, so that they save, when a spot machine gets a preemption notice.

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

/// Returns the tasks that are told to stop when the first of two machines gets a preemption notice.
/// Each machine runs two tasks of a job with checkpoints.
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
                assert!(
                    grace_s >= 2.0,
                    "task {task:?} needs 2 s to save, and gets {grace_s} s"
                );
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

/// Guards against one machine's notice stopping all tasks of an array, wherever they run: an array
/// with checkpoints ran on 750 spot machines, and there were 25,600 stops of 8,274 tasks.
#[test]
fn notice_stops_only_array_tasks_on_its_machine() {
    assert_eq!(stopped_by_notice(Shape::Array), BTreeSet::from([0, 1]));
}

/// A gang that loses one task loses all progress since its last checkpoint, so all its tasks save
/// together.
#[test]
fn notice_stops_all_tasks_of_gang() {
    assert_eq!(stopped_by_notice(Shape::Gang), BTreeSet::from([0, 1, 2, 3]));
}
