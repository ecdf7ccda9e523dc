//! Preemption: which tasks are stopped first, and that for a gang of several tasks, capacity is
//! freed for the whole gang or not at all.

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

/// A leader with two machines, each of which has capacity for one task of an array and runs one of
/// its first two tasks.
struct PreemptionScenario {
    leader: Leader,
    now: f64,
    /// The tasks that are reported for each machine.
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

impl PreemptionScenario {
    fn new(array: Job, gang: Job) -> PreemptionScenario {
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
        let mut scenario = PreemptionScenario {
            leader,
            now: 0.0,
            tasks,
            stopped: BTreeSet::new(),
            provisioned: 0,
            assigned: 0,
        };
        scenario.advance(1.0);
        scenario.provisioned = 0;
        scenario.leader.add_job(open(gang, 2, PriorRuns::None));
        scenario
    }

    /// Advances the time; returns whether capacity was reserved for a gang meanwhile.
    fn advance(&mut self, seconds: f64) -> bool {
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
            let statuses = self
                .tasks
                .iter()
                .map(|(host, tasks)| machine_status(host, "small", tasks.clone()))
                .collect();
            self.leader
                .on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), self.now);
        }
        reserved
    }

    fn stop_task(&mut self, host: &'static str, index: u32) {
        self.tasks.insert(
            host,
            vec![array_task(index, TaskState::Exited, Some(Why::Stopped))],
        );
    }
}

fn best_effort_array() -> Job {
    Job {
        priority: Priority::BestEffort,
        checkpoint_s: 30.0,
        save_s: 2.0,
        ..job(1, "blue", Shape::Array, 2, 4.0)
    }
}

/// Guards against a leader that preempts only for single tasks: long tasks of low priority held all
/// machines that a gang fits on, and the gang waited until those tasks ended.
#[test]
fn capacity_is_reclaimed_and_held_for_whole_gang() {
    let mut scenario =
        PreemptionScenario::new(best_effort_array(), job(2, "red", Shape::Gang, 2, 3.0));
    assert!(!scenario.advance(2.0));
    assert_eq!(
        scenario
            .stopped
            .iter()
            .map(|task| task.index)
            .collect::<Vec<_>>(),
        [0, 1]
    );
    // One machine is free before the other. The array does not get it back.
    scenario.stop_task("host-1", 0);
    assert!(!scenario.advance(1.0));
    scenario.stop_task("host-2", 1);
    assert!(
        scenario.advance(1.0),
        "the gang's capacity is not reserved though all of it is free"
    );
    assert_eq!(
        scenario.assigned, 0,
        "tasks were placed on the capacity held for the gang"
    );
    assert!(
        scenario.provisioned <= 2,
        "{} machines were provisioned for two stopped tasks",
        scenario.provisioned
    );
}

/// Capacity for a part of a gang is of no use, so nothing is stopped for it.
#[test]
fn nothing_is_preempted_for_unplaceable_gang() {
    let mut scenario =
        PreemptionScenario::new(best_effort_array(), job(2, "red", Shape::Gang, 3, 2.5));
    scenario.advance(4.0);
    assert!(
        scenario.stopped.is_empty(),
        "tasks were stopped: {:?}",
        scenario.stopped
    );
    assert!(
        scenario.provisioned > 0,
        "no machine was provisioned for the gang"
    );
}

/// Tasks of the same priority that are within their team's guarantee are not preempted.
#[test]
fn gang_preempts_nothing_within_guarantee() {
    let array = Job {
        priority: Priority::Standard,
        ..best_effort_array()
    };
    let mut scenario = PreemptionScenario::new(array, job(2, "red", Shape::Gang, 2, 3.0));
    scenario.advance(4.0);
    assert!(
        scenario.stopped.is_empty(),
        "tasks were stopped: {:?}",
        scenario.stopped
    );
}

/// A task that can save its state loses no more than the time for saving, however long it has run.
/// It is preempted before a task that began later but would have to start over.
#[test]
fn checkpointed_tasks_are_preempted_first() {
    let mut scenario =
        PreemptionScenario::new(best_effort_array(), job(4, "red", Shape::Array, 1, 20.0));
    let without_checkpoint = Job {
        priority: Priority::BestEffort,
        ..job(3, "blue", Shape::Array, 1, 4.0)
    };
    let later_task = TaskRef {
        job: without_checkpoint.id.clone(),
        index: 0,
        attempt: ARRAY_ATTEMPT,
    };
    scenario.leader.add_job(OpenJob::new(
        Rc::new(without_checkpoint),
        3,
        PriorRuns::None,
    ));
    scenario.advance(20.0);
    let state = TaskState::Running;
    let task = TaskStatus {
        task: later_task,
        state,
        why: None,
        saved: false,
    };
    scenario.tasks.insert("host-2", vec![task]);
    scenario.advance(4.0);
    assert!(
        scenario.stopped.is_empty(),
        "tasks were stopped: {:?}",
        scenario.stopped
    );
    scenario.leader.add_job(OpenJob::new(
        Rc::new(job(2, "red", Shape::Array, 1, 3.0)),
        4,
        PriorRuns::None,
    ));
    scenario.advance(3.0);
    let stopped: Vec<&str> = scenario.stopped.iter().map(|t| t.job.as_str()).collect();
    assert_eq!(stopped, ["wk-000001"]);
}

/// Machines are cordoned for a gang that has waited long and for which nothing can be preempted. If
/// tasks were stopped for a younger gang, that gang could not use the freed capacity, and no
/// machines would be provisioned for it.
#[test]
fn nothing_is_preempted_behind_unplaceable_gang() {
    let mut scenario =
        PreemptionScenario::new(best_effort_array(), job(2, "red", Shape::Gang, 3, 2.5));
    scenario.advance(12.0);
    scenario.leader.add_job(OpenJob::new(
        Rc::new(job(3, "red", Shape::Gang, 2, 3.0)),
        3,
        PriorRuns::None,
    ));
    scenario.provisioned = 0;
    scenario.advance(4.0);
    assert!(
        scenario.stopped.is_empty(),
        "tasks were stopped: {:?}",
        scenario.stopped
    );
    assert!(
        scenario.provisioned > 0,
        "no machine was provisioned for the gang"
    );
}

/// The placement pass reserves a machine type for a class of jobs that fit on no other type. Guards
/// against counting free capacity of such a type for a gang of another class: no machine was then
/// provisioned for that gang.
#[test]
fn reserved_machine_type_is_no_capacity_for_gang() {
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
        let status = machine_status("host-9", "large", vec![task.clone()]);
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(vec![status]), now);
        if now == 2.0 {
            leader.add_job(open(job(2, "red", Shape::Gang, 2, 3.0), 3, PriorRuns::None));
        }
    }
    assert!(
        provisioned >= 2,
        "only {provisioned} machines were provisioned for a gang that needs two"
    );
}
