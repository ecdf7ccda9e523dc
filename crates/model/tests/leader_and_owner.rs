//! Tests of single cases of the leader and of owners.

use model::world::{
    job, lone_leader, machine_type, owner_of_one_machine, roster, roster_record, task_requirements,
    task_status, EmptyJobLookup,
};
use sched::config::{SchedulerConfig, Team};
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use sched::owner::{HeartbeatResponse, JobLookup, Owner};
use sched::placement::Resources;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::{MachineStatus, TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::store::StartedArraysRecord;
use wire::users::{Job, Shape};
use wire::workers::{Heartbeat, ReportedTask, TaskState, Why};

fn config() -> SchedulerConfig {
    let team = Team {
        cpus: 8.0,
        cpus_max: 16.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    SchedulerConfig {
        teams: BTreeMap::from([("red".to_string(), team)]),
        ..model::world::config()
    }
}

fn heartbeat(incarnation: u64, seq: u64, token: u64) -> Heartbeat {
    model::world::heartbeat(
        "host-1",
        incarnation,
        seq,
        token,
        vec![ReportedTask {
            task: "wk-1/0".into(),
            attempt: 3,
            state: TaskState::Exited,
            why: Some(Why::Done),
            saved: None,
        }],
    )
}

/// An owner of one machine, `host-1`, whose view of the store is always fresh.
fn owner_of_host_1() -> Owner {
    let mut owner = owner_of_one_machine(config());
    owner.authority.record_read(1e9);
    owner
}

/// A new owner's first response tells the worker its token. The next heartbeat, the first with that
/// token, arrives only after the lease has expired. By then the worker has dropped the tasks in
/// that heartbeat, and the leader has assigned them to another machine.
#[test]
fn heartbeat_sent_under_expired_lease_is_ignored() {
    let mut owner = owner_of_host_1();
    assert!(
        matches!(owner.on_heartbeat(&heartbeat(2, 57, 4), 10.5, &EmptyJobLookup), HeartbeatResponse::Orders(o) if o.token == 5 && o.orders.is_empty())
    );
    owner.tick(10.5 + config().lease_expiry_s() + 0.1);
    owner.take_messages();
    assert_eq!(
        owner.on_heartbeat(&heartbeat(2, 58, 5), 25.0, &EmptyJobLookup),
        HeartbeatResponse::Unavailable
    );
    // The worker returns under a new incarnation and has to learn the token first.
    assert!(matches!(
        owner.on_heartbeat(&heartbeat(3, 60, 4), 26.0, &EmptyJobLookup),
        HeartbeatResponse::Orders(_)
    ));
    assert_eq!(
        owner.on_heartbeat(&heartbeat(2, 59, 5), 26.5, &EmptyJobLookup),
        HeartbeatResponse::Unavailable
    );
    assert!(matches!(
        owner.on_heartbeat(&heartbeat(3, 61, 5), 27.0, &EmptyJobLookup),
        HeartbeatResponse::Orders(_)
    ));
    owner.tick(28.0);
    let back = |m: &ToLeader| matches!(m, ToLeader::MachineStatuses(v) if v.iter().any(|v| v.incarnation == 3 && !v.lease_expired));
    assert!(owner.take_messages().iter().any(back));
}

fn machine_status(name: &str, tasks: Vec<TaskStatus>) -> MachineStatus {
    model::world::machine_status(name, "small", tasks)
}

fn wk1_status(index: u32, attempt: u64, state: TaskState, why: Option<Why>) -> TaskStatus {
    let task = TaskRef {
        job: "wk-1".into(),
        index,
        attempt,
    };
    task_status(task, state, why)
}

fn small_type() -> MachineType {
    MachineType {
        boot_s: 10.0,
        zones: vec!["a".into()],
        ..machine_type("small", 8.0, 32.0, 1.0)
    }
}

fn array(id: &str) -> Rc<Job> {
    Rc::new(Job {
        id: id.into(),
        spot: false,
        ..job(1, "red", Shape::Array, 2, 4.0)
    })
}

/// A task is complete when any of its attempts is done. An attempt that still runs elsewhere stays
/// charged to its machine's capacity and its team's limit, and is stopped.
#[test]
fn attempt_stays_charged_after_another_completes() {
    let spec = array("wk-1");
    let open = OpenJob::new(spec, 1, PriorRuns::Anywhere);
    let roster = roster(["host-1", "host-2"], &roster_record("small"));
    let mut leader = lone_leader(config(), vec![small_type()], vec![open], 1, &roster);
    leader.tick(0.0, 0);
    let running = wk1_status(0, 9, TaskState::Running, None);
    leader.on_owner_message(
        "rung-0",
        ToLeader::MachineStatuses(vec![machine_status("host-1", vec![running])]),
        1.0,
    );
    assert_eq!(leader.team_usage("red").cpus, 4.0);
    leader.take_actions();
    let done = wk1_status(0, 7, TaskState::Exited, Some(Why::Done));
    leader.on_owner_message(
        "rung-0",
        ToLeader::MachineStatuses(vec![machine_status("host-2", vec![done])]),
        1.1,
    );
    assert_eq!(leader.team_usage("red").cpus, 4.0);
    assert!(leader.done_tasks("wk-1").contains(0));
    let stop = |action: &Action| matches!(action, Action::Send(_, ToOwner::Stop { machine, task, .. }) if machine == "host-1" && task.attempt == 9);
    assert!(leader.take_actions().iter().any(stop));
}

/// A job is cancelled while a new leader does not know yet what runs on a hung machine. The job's
/// tasks may still run there, so they count against the team's limit.
#[test]
fn cancelled_job_counts_until_machines_reconcile() {
    let roster = roster(["host-1", "host-2", "host-3"], &roster_record("small"));
    let open_job = |id: &str, revision, prior_runs| OpenJob::new(array(id), revision, prior_runs);
    let old_job = open_job("wk-1", 1, PriorRuns::Anywhere);
    let mut leader = lone_leader(config(), vec![small_type()], vec![old_job], 1, &roster);
    leader.tick(0.0, 0);
    let statuses = ["host-2", "host-3"].map(|n| machine_status(n, Vec::new()));
    leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses.into()), 1.0);
    leader.on_job_terminal("wk-1");
    leader.add_job(open_job("wk-2", 2, PriorRuns::None));
    leader.add_job(open_job("wk-3", 3, PriorRuns::None));
    leader.on_start_record_result(
        &StartedArraysRecord {
            upto: 3,
            waiting: Vec::new(),
        },
        true,
    );
    leader.take_actions();
    leader.tick(2.0, 0);
    let assigned = |action: Action| match action {
        Action::Send(_, ToOwner::Assign { tasks, .. }) => tasks.iter().map(|(_, n)| n).sum::<u32>(),
        _ => 0,
    };
    let assigned: u32 = leader.take_actions().into_iter().map(assigned).sum();
    assert_eq!(
        assigned, 2,
        "wk-1 may use 8 of the team's 16 CPUs, which leaves two tasks of 4 CPUs"
    );
}

/// All controllers start together and join the new leader within about two seconds. The leader
/// waits for them and begins one epoch, instead of four that each move machines between owners.
#[test]
fn starting_leader_waits_for_other_controllers() {
    let epochs = |starting: bool| {
        let mut leader = Leader::new(
            "rung-0",
            config(),
            1,
            1,
            4.0,
            Vec::new(),
            &BTreeMap::new(),
            0,
            0.0,
        );
        if starting {
            leader.expect_other_controllers();
        }
        let mut epoch_sizes = Vec::new();
        for step in 1..40 {
            let now = f64::from(step) / 10.0;
            for (member, at) in [("rung-1", 5), ("rung-2", 12), ("rung-3", 21)] {
                if step >= at {
                    leader.on_owner_contact(member, now);
                }
            }
            leader.tick(now, 3);
            for action in leader.take_actions() {
                match action {
                    Action::IssueToken => leader.on_token_result(Some(leader.token() + 1), now),
                    Action::Send(to, ToOwner::Epoch { members, .. }) if to == "rung-0" => {
                        epoch_sizes.push(members.len())
                    }
                    _ => {}
                }
            }
        }
        epoch_sizes
    };
    assert_eq!(epochs(true), [3]);
    assert_eq!(epochs(false).len(), 4);
}

/// Guards against a few dead machines delaying a recovery: after a restart of all controllers, 6
/// dead machines of 1,779 kept all started arrays waiting for 21 s, though all others had sent
/// heartbeats within 3 s.
#[test]
fn few_silent_machines_are_deprovisioned_soon() {
    let deprovisioned_at = |silent: usize| {
        let names: Vec<String> = (0..100).map(|i| format!("host-{i}")).collect();
        let roster = roster(names.clone(), &roster_record("small"));
        let open = OpenJob::new(array("wk-1"), 1, PriorRuns::Anywhere);
        let config = SchedulerConfig {
            heartbeat_s: 10.0,
            ..config()
        };
        let mut leader = lone_leader(config, vec![small_type()], vec![open], 1, &roster);
        leader.tick(0.0, 0);
        let statuses = names[silent..]
            .iter()
            .map(|n| machine_status(n, Vec::new()))
            .collect();
        leader.on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), 2.0);
        leader.take_actions();
        (20..400).map(|t| f64::from(t) / 10.0).find(|now| {
            leader.tick(*now, 0);
            leader
                .take_actions()
                .iter()
                .any(|action| matches!(action, Action::Deprovision(names) if names.len() == silent))
        })
    };
    assert!(
        deprovisioned_at(2).is_some_and(|at| (7.0..9.0).contains(&at)),
        "2 silent machines of 100 were deprovisioned at {:?}",
        deprovisioned_at(2)
    );
    assert!(
        deprovisioned_at(10).is_some_and(|at| at > 20.0),
        "10 silent machines of 100 were deprovisioned at {:?}",
        deprovisioned_at(10)
    );
}

/// The leader's record of started arrays lists those that are still queued as not started. A later
/// leader can start these at once, even while it does not know what runs on a machine that sends no
/// heartbeat.
#[test]
fn queued_arrays_are_not_recorded_as_started() {
    let mut leader = Leader::new(
        "rung-0",
        config(),
        1,
        1,
        4.0,
        Vec::new(),
        &BTreeMap::new(),
        0,
        0.0,
    );
    leader.tick(0.0, 0);
    for (i, id) in ["wk-1", "wk-2", "wk-3"].iter().enumerate() {
        let prior_runs = PriorRuns::None;
        leader.add_job(OpenJob::new(array(id), 10 + i as u64, prior_runs));
    }
    leader.tick(1.0, 0);
    let record = leader
        .take_actions()
        .into_iter()
        .find_map(|action| match action {
            Action::RecordStartedArrays(record) => Some(record),
            _ => None,
        });
    let record = record.expect("no record for the array that starts first");
    assert_eq!(
        (record.upto, record.waiting.as_slice()),
        (12, &[11, 12][..])
    );
    assert_eq!(
        [9, 10, 11, 12, 13].map(|r| record.covers(r)),
        [true, true, false, false, false]
    );
    // The outcome of the write is unknown, so the leader requests it again.
    leader.on_start_record_result(&record, false);
    leader.tick(2.0, 0);
    assert!(leader
        .take_actions()
        .iter()
        .any(|action| matches!(action, Action::RecordStartedArrays(again) if *again == record)));
}

struct SingleJobLookup;

impl JobLookup for SingleJobLookup {
    fn resources(&self, job: &str) -> Option<Resources> {
        (job == "wk-1").then_some(Resources {
            cpus: 4.0,
            gpus: 0.0,
            memory_gb: 1.0,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        (job == "wk-1").then(|| "i".into())
    }
    fn is_terminal(&self, job: &str) -> bool {
        job != "wk-1"
    }
}

/// Short tasks may end more often than heartbeats arrive. A backlog task starts in the response to
/// the first heartbeat that shows capacity for it, and is handed back to the leader if there is no
/// such heartbeat in time. No task of a terminal job starts.
#[test]
fn owner_backlog_fills_capacity_freed_in_heartbeat() {
    let mut owner = owner_of_host_1();
    owner.on_leader_message(
        ToOwner::Catalog {
            types: vec![small_type()],
        },
        10.0,
        &SingleJobLookup,
    );
    let started_tasks = |response: HeartbeatResponse| match response {
        HeartbeatResponse::Orders(o) => o
            .orders
            .iter()
            .filter(|o| matches!(o, wire::workers::Order::Start { .. }))
            .count(),
        _ => 0,
    };
    let mut busy = heartbeat(1, 1, 5);
    busy.tasks = vec![("wk-1/8", 3), ("wk-1/9", 3)]
        .into_iter()
        .map(|(t, attempt)| ReportedTask {
            task: t.into(),
            attempt,
            state: TaskState::Running,
            why: None,
            saved: None,
        })
        .collect();
    assert_eq!(
        started_tasks(owner.on_heartbeat(&busy, 11.0, &SingleJobLookup)),
        0
    );
    let backlog = |job: &str| ToOwner::AssignBacklog {
        job: job.into(),
        attempt: 7,
        requirements: task_requirements(4.0),
        tasks: vec![(0, 3)],
        wait_ms: 4000,
    };
    owner.on_leader_message(backlog("wk-2"), 11.1, &SingleJobLookup);
    owner.on_leader_message(backlog("wk-1"), 11.2, &SingleJobLookup);
    (busy.seq, busy.tasks) = (2, busy.tasks[..1].to_vec());
    assert_eq!(
        started_tasks(owner.on_heartbeat(&busy, 12.0, &SingleJobLookup)),
        1,
        "one backlog task takes the place of the task that ended"
    );
    owner.take_messages();
    owner.tick(15.5);
    let back: Vec<_> = owner.take_messages();
    let is_handed_back = |job: &str, tasks: &[(u32, u32)]| {
        back.iter().any(|m| matches!(m, ToLeader::HandBack { job: j, attempt: 7, tasks: t } if j == job && t == tasks))
    };
    assert!(
        is_handed_back("wk-2", &[(0, 3)]) && is_handed_back("wk-1", &[(1, 2)]),
        "not all remaining backlog tasks were handed back: {back:?}"
    );
}
