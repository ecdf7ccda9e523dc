//! Resources taken back for gangs of several tasks: for the whole gang or not at all.

use model::world::{
    config_without_deprovisioning, job, lone_leader, machine_status, machine_type, machine_types,
    roster, roster_record,
};
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::{TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::users::{Job, Priority, Shape};
use wire::workers::{TaskState, Why};

const ARRAY_ATTEMPT: u64 = 7;
const HOSTS: [&str; 2] = ["host-1", "host-2"];

/// A leader whose two machines, with capacity for one task each, run the first two tasks of an array.
struct Scene {
    leader: Leader,
    now: f64,
    /// What each machine heartbeats.
    tasks: BTreeMap<&'static str, Vec<TaskStatus>>,
    stopped: BTreeSet<TaskRef>,
    provisioned: u32,
    assigned: u32,
}

fn array_task(index: u32, state: TaskState, why: Option<Why>) -> TaskStatus {
    let task = TaskRef {
        job: "wk-000001".into(),
        index,
        attempt: ARRAY_ATTEMPT,
    };
    TaskStatus {
        task,
        state,
        why,
        saved: why.is_some(),
    }
}

impl Scene {
    fn new(array: Job, gang: Job) -> Scene {
        let roster = roster(HOSTS, &roster_record("small"));
        let open =
            |job: Job, revision, prior_runs| OpenJob::new(Rc::new(job), revision, prior_runs);
        let leader = lone_leader(
            config_without_deprovisioning(),
            vec![machine_type("small", 4.0, 16.0, 0.3)],
            vec![open(array, 1, PriorRuns::Anywhere)],
            1,
            &roster,
        );
        let running = |index| vec![array_task(index, TaskState::Running, None)];
        let tasks = HOSTS
            .iter()
            .zip(0..)
            .map(|(host, index)| (*host, running(index)))
            .collect();
        let mut scene = Scene {
            leader,
            now: 0.0,
            tasks,
            stopped: BTreeSet::new(),
            provisioned: 0,
            assigned: 0,
        };
        scene.pass(1.0);
        scene.provisioned = 0;
        scene.leader.add_job(open(gang, 2, PriorRuns::None));
        scene
    }

    /// Lets time pass; says whether capacity for a gang was held meanwhile.
    fn pass(&mut self, seconds: f64) -> bool {
        let mut reserved = false;
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.25;
            self.leader.tick(self.now, 0);
            for action in self.leader.take_actions() {
                match action {
                    Action::Send(_, ToOwner::Stop { task, .. }) => {
                        self.stopped.insert(task);
                    }
                    Action::Send(_, ToOwner::Reserve { .. }) => reserved = true,
                    Action::Send(_, ToOwner::Assign { .. } | ToOwner::AssignBacklog { .. }) => {
                        self.assigned += 1
                    }
                    Action::Provision(request) => self.provisioned += request.count,
                    _ => {}
                }
            }
            let views = self
                .tasks
                .iter()
                .map(|(host, tasks)| machine_status(host, "small", tasks.clone()))
                .collect();
            self.leader
                .on_owner_message("rung-0", ToLeader::MachineStatuses(views), self.now);
        }
        reserved
    }

    fn exits(&mut self, host: &'static str, index: u32) {
        self.tasks.insert(
            host,
            vec![array_task(index, TaskState::Exited, Some(Why::Stopped))],
        );
    }
}

fn guest_array() -> Job {
    Job {
        priority: Priority::BestEffort,
        checkpoint_s: 30.0,
        save_s: 2.0,
        ..job(1, "blue", Shape::Array, 2, 4.0)
    }
}

/// Long tasks of low priority held all machines that a gang fits on; capacity was taken back for single
/// tasks only, so the gang waited for their ends.
#[test]
fn a_whole_gang_has_capacity_reclaimed_and_reserved_until_it_is_complete() {
    let mut scene = Scene::new(guest_array(), job(2, "red", Shape::Gang, 2, 3.0));
    assert!(!scene.pass(2.0));
    assert_eq!(
        scene
            .stopped
            .iter()
            .map(|task| task.index)
            .collect::<Vec<_>>(),
        [0, 1]
    );
    // One machine is free before the other: the array does not get it back.
    scene.exits("host-1", 0);
    assert!(!scene.pass(1.0));
    scene.exits("host-2", 1);
    assert!(
        scene.pass(1.0),
        "the gang's capacity is held as soon as all of it is free"
    );
    assert_eq!(scene.assigned, 0, "nothing else is placed there meanwhile");
    assert!(
        scene.provisioned <= 2,
        "{}: only for the tasks that were stopped",
        scene.provisioned
    );
}

/// Half a gang's capacity serves nobody.
#[test]
fn nothing_is_stopped_for_a_gang_that_would_still_lack_capacity() {
    let mut scene = Scene::new(guest_array(), job(2, "red", Shape::Gang, 3, 2.5));
    scene.pass(4.0);
    assert!(scene.stopped.is_empty(), "{:?}", scene.stopped);
    assert!(
        scene.provisioned > 0,
        "machines are provisioned for it instead"
    );
}

/// Work of the same priority that its team runs within its guarantee is left alone.
#[test]
fn a_gang_takes_nothing_from_what_is_within_a_guarantee() {
    let array = Job {
        priority: Priority::Standard,
        ..guest_array()
    };
    let mut scene = Scene::new(array, job(2, "red", Shape::Gang, 2, 3.0));
    scene.pass(4.0);
    assert!(scene.stopped.is_empty(), "{:?}", scene.stopped);
}

/// What saves loses no more than the time that takes, however long it has run: it goes before what
/// began later and would have to begin anew.
#[test]
fn what_can_save_is_stopped_before_what_would_lose_its_work() {
    let mut scene = Scene::new(guest_array(), job(4, "red", Shape::Array, 1, 20.0));
    let loses = Job {
        priority: Priority::BestEffort,
        ..job(3, "blue", Shape::Array, 1, 4.0)
    };
    let later = TaskRef {
        job: loses.id.clone(),
        index: 0,
        attempt: ARRAY_ATTEMPT,
    };
    scene
        .leader
        .add_job(OpenJob::new(Rc::new(loses), 3, PriorRuns::None));
    scene.pass(20.0);
    let state = TaskState::Running;
    let task = TaskStatus {
        task: later,
        state,
        why: None,
        saved: false,
    };
    scene.tasks.insert("host-2", vec![task]);
    scene.pass(4.0);
    assert!(scene.stopped.is_empty(), "{:?}", scene.stopped);
    scene.leader.add_job(OpenJob::new(
        Rc::new(job(2, "red", Shape::Array, 1, 3.0)),
        4,
        PriorRuns::None,
    ));
    scene.pass(3.0);
    let stopped: Vec<&str> = scene.stopped.iter().map(|t| t.job.as_str()).collect();
    assert_eq!(stopped, ["wk-000001"]);
}

/// Machines are cordoned for a gang that waits long and for which nothing can be stopped: a younger
/// one could not use what is stopped for it, and would not have been provisioned for.
#[test]
fn nothing_is_stopped_for_a_gang_behind_one_that_cannot_be_placed() {
    let mut scene = Scene::new(guest_array(), job(2, "red", Shape::Gang, 3, 2.5));
    scene.pass(12.0);
    scene.leader.add_job(OpenJob::new(
        Rc::new(job(3, "red", Shape::Gang, 2, 3.0)),
        3,
        PriorRuns::None,
    ));
    scene.provisioned = 0;
    scene.pass(4.0);
    assert!(scene.stopped.is_empty(), "{:?}", scene.stopped);
    assert!(
        scene.provisioned > 0,
        "machines are provisioned for it instead"
    );
}

/// The pass keeps machine types that alone fit some class for that class. What is free of them is no capacity
/// for another gang: it was taken for such, and nothing was provisioned.
#[test]
fn a_gang_is_not_taken_to_have_capacity_where_the_pass_would_not_place_it() {
    let large_only = Job {
        class: "needs-large".into(),
        priority: Priority::BestEffort,
        ..job(1, "blue", Shape::Array, 1, 10.0)
    };
    let roster = roster(["host-9"], &roster_record("large"));
    let open = |job: Job, revision, prior_runs| OpenJob::new(Rc::new(job), revision, prior_runs);
    let mut leader = lone_leader(
        config_without_deprovisioning(),
        machine_types(),
        vec![open(large_only, 1, PriorRuns::Anywhere)],
        1,
        &roster,
    );
    let task = array_task(0, TaskState::Running, None);
    let (mut now, mut provisioned) = (0.0, 0);
    while now < 8.0 {
        now += 0.25;
        leader.tick(now, 0);
        for action in leader.take_actions() {
            if let Action::Provision(request) = action {
                provisioned += request.count;
            }
        }
        let view = machine_status("host-9", "large", vec![task.clone()]);
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(vec![view]), now);
        if now == 2.0 {
            leader.add_job(open(job(2, "red", Shape::Gang, 2, 3.0), 3, PriorRuns::None));
        }
    }
    assert!(
        provisioned >= 2,
        "{provisioned}: machines of the small type for the gang"
    );
}
