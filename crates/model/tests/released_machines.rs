//! What the release of a machine says about the tasks that the leader assigned while it existed.

use model::world::{
    config_without_deprovisioning, job, lone_leader, machine_status, machine_types, roster,
    roster_record, task_status, unlimited_teams,
};
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns, ReleaseOutcome};
use std::rc::Rc;
use wire::peers::{MachineStatus, TaskRef, ToLeader, ToOwner};
use wire::users::{Job, Shape};
use wire::workers::{TaskState, Why};

/// The controller that leads and owns all machines.
const OWNER: &str = "rung-0";

const MACHINES: [&str; 2] = ["host-1", "host-2"];

/// Tasks that the leader has sent to an owner in one message.
#[derive(Debug, PartialEq)]
struct Assigned {
    tasks: u32,
    attempt: u64,
}

/// A leader with two empty machines of 4 CPUs and the array `wk-000001`.
struct Scenario {
    leader: Leader,
    now: f64,
}

impl Scenario {
    fn new(spec: Job) -> Scenario {
        let config = SchedulerConfig {
            teams: unlimited_teams(&["red"]),
            ..config_without_deprovisioning()
        };
        let roster = roster(MACHINES, &roster_record("small"));
        let open = OpenJob::new(Rc::new(spec), 1, PriorRuns::Anywhere);
        let leader = lone_leader(config, machine_types(), vec![open], 1, &roster);
        let mut scenario = Scenario { leader, now: 0.0 };
        scenario.leader.tick(0.0, 0);
        let idle = MACHINES.map(|name| machine_status(name, "small", Vec::new()));
        scenario.report(idle.into());
        scenario
    }

    fn report(&mut self, statuses: Vec<MachineStatus>) {
        self.now += 0.1;
        self.leader
            .on_owner_message(OWNER, ToLeader::MachineStatuses(statuses), self.now);
    }

    /// Runs a scheduling pass and returns the tasks that it assigns.
    fn pass(&mut self) -> Vec<Assigned> {
        self.now += 1.0;
        self.leader.tick(self.now, 0);
        let assigned = |action: Action| match action {
            Action::Send(_, ToOwner::Assign { tasks, attempt, .. }) => Some(Assigned {
                tasks: tasks.iter().map(|(_, count)| count).sum(),
                attempt,
            }),
            _ => None,
        };
        let actions = self.leader.take_actions().into_iter();
        actions.filter_map(assigned).collect()
    }

    /// Assigns the only task of the array, and returns its attempt and the machine on which the
    /// leader expects it.
    fn assign_single_task(&mut self) -> (TaskRef, &'static str) {
        let assigned = self.pass();
        assert_eq!(assigned.len(), 1, "not assigned once: {assigned:?}");
        let task = TaskRef {
            job: "wk-000001".into(),
            index: 0,
            attempt: assigned[0].attempt,
        };
        let state = self.leader.describe_state();
        let line = |name: &&str| {
            state
                .lines()
                .any(|line| line.starts_with(*name) && line.contains("used=4"))
        };
        let predicted = MACHINES.into_iter().find(|name| line(name));
        (task, predicted.expect("the task is charged to no machine"))
    }

    fn release(&mut self, machine: &str) {
        self.leader
            .on_deprovision_result(&[machine.to_string()], ReleaseOutcome::Released);
    }

    fn used_cpus(&self) -> f64 {
        self.leader.team_usage("red").cpus
    }
}

fn single_task_array() -> Job {
    Job {
        spot: false,
        ..job(1, "red", Shape::Array, 1, 4.0)
    }
}

fn other_machine(name: &str) -> &'static str {
    MACHINES
        .into_iter()
        .find(|other| *other != name)
        .unwrap_or(MACHINES[0])
}

fn status_with_pending(machine: &str, task: &TaskRef) -> MachineStatus {
    MachineStatus {
        pending: vec![task.clone()],
        ..machine_status(machine, "small", Vec::new())
    }
}

/// Guards against `ran_twice`: the leader expected a task on a machine that was then released, and
/// assigned it again, although its owner had started it on another machine.
#[test]
fn released_machine_says_nothing_about_tasks_only_expected_there() {
    let mut scenario = Scenario::new(single_task_array());
    let (task, predicted) = scenario.assign_single_task();
    scenario.release(predicted);
    assert_eq!(
        scenario.pass(),
        [],
        "assigned again before the owner's report"
    );
    assert_eq!(scenario.used_cpus(), 4.0, "the task is charged once");
    scenario.report(vec![status_with_pending(other_machine(predicted), &task)]);
    assert_eq!(
        scenario.pass(),
        [],
        "assigned again after the owner's report"
    );
    assert_eq!(scenario.used_cpus(), 4.0, "the task is charged once");
}

/// The owner's report that the task is on the released machine arrives before or after the release;
/// either way the task is assigned again at once.
#[test]
fn task_reported_on_released_machine_is_assigned_again() {
    for reported_first in [true, false] {
        let mut scenario = Scenario::new(single_task_array());
        let (task, predicted) = scenario.assign_single_task();
        if reported_first {
            scenario.report(vec![status_with_pending(predicted, &task)]);
            scenario.release(predicted);
        } else {
            scenario.release(predicted);
            scenario.report(vec![status_with_pending(predicted, &task)]);
        }
        let again = scenario.pass();
        assert_eq!(again.len(), 1, "reported first: {reported_first}");
        assert_ne!(again[0].attempt, task.attempt);
        assert_eq!(
            scenario.used_cpus(),
            4.0,
            "reported first: {reported_first}"
        );
    }
}

/// Guards against a task that waits for ever: the owner's only report on it says that it has exited
/// on a machine that is already released.
#[test]
fn exit_reported_on_released_machine_settles_the_task() {
    for (why, assigned_again) in [(Why::Done, 0), (Why::Error, 1)] {
        let mut scenario = Scenario::new(single_task_array());
        let (task, predicted) = scenario.assign_single_task();
        scenario.release(predicted);
        let exited = task_status(task, TaskState::Exited, Some(why));
        scenario.report(vec![machine_status(predicted, "small", vec![exited])]);
        let again = scenario.pass();
        assert_eq!(again.len(), assigned_again, "after {why:?}");
        let is_done = scenario.leader.done_tasks("wk-000001").contains(0);
        assert_eq!(is_done, why == Why::Done, "after {why:?}");
    }
}

/// Its owner hands a task back that was expected on a released machine.
#[test]
fn task_handed_back_after_a_release_is_assigned_again() {
    let mut scenario = Scenario::new(single_task_array());
    let (task, predicted) = scenario.assign_single_task();
    scenario.release(predicted);
    let hand_back = ToLeader::HandBack {
        job: task.job.clone(),
        attempt: task.attempt,
        tasks: vec![(task.index, 1)],
    };
    scenario
        .leader
        .on_owner_message(OWNER, hand_back, scenario.now);
    assert_eq!(scenario.pass().len(), 1);
}

/// Guards against `wrong_place`: a task whose machine is not known any more may be in any zone, so
/// no other task of a job that must stay in one zone starts until its owner has reported it.
#[test]
fn zone_of_a_task_without_machine_is_unknown() {
    let mut scenario = Scenario::new(Job {
        one_zone: true,
        spot: false,
        ..job(1, "red", Shape::Array, 3, 4.0)
    });
    let assigned: u32 = scenario.pass().iter().map(|a| a.tasks).sum();
    assert_eq!(assigned, 2);
    scenario.release("host-1");
    let idle = machine_status("host-3", "small", Vec::new());
    scenario.report(vec![idle]);
    scenario.leader.on_roster_result("host-3", true, true);
    assert_eq!(scenario.pass(), []);
}
