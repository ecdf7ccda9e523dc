//! How stale a controller's view of the store may be when it responds to heartbeats and starts
//! tasks, and which tasks of terminal jobs (done or cancelled ones) are stopped.

use model::world::{
    config, owner_of_one_machine, roster, roster_record, task_requirements, EmptyJobLookup,
};
use sched::authority::Authority;
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use sched::owner::{HeartbeatResponse, JobLookup, Owner};
use sched::placement::Resources;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{ToLeader, ToOwner};
use wire::users::Shape;
use wire::workers::{Heartbeat, Order, ReportedTask, TaskState, Why};

/// A replica of the store that holds only the job `wk-1`, as open or as terminal.
struct JobReplica {
    is_terminal: bool,
}

impl JobLookup for JobReplica {
    fn resources(&self, job: &str) -> Option<Resources> {
        (job == "wk-1" && !self.is_terminal).then_some(Resources {
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        (job == "wk-1" && !self.is_terminal).then(|| "i".into())
    }
    fn is_terminal(&self, job: &str) -> bool {
        job == "wk-1" && self.is_terminal
    }
}

const OPEN_JOB: JobReplica = JobReplica { is_terminal: false };
const TERMINAL_JOB: JobReplica = JobReplica { is_terminal: true };

/// An owner of one machine. It knows the machine types and has just read the store, at time 10.
fn owner_with_fresh_replica() -> Owner {
    owner_that_read_at(10.0)
}

/// An owner of one machine since time 10. It knows the machine types and last read the store at
/// `read_at`.
fn owner_that_read_at(read_at: f64) -> Owner {
    let mut owner = owner_of_one_machine(config());
    owner.on_leader_message(
        ToOwner::Catalog {
            types: vec![model::world::machine_type("small", 4.0, 16.0, 0.3)],
        },
        10.0,
        &OPEN_JOB,
    );
    owner.authority.record_read(read_at);
    owner
}

fn heartbeat(seq: u64, token: u64, state: Option<TaskState>) -> Heartbeat {
    let why = (state == Some(TaskState::Exited)).then_some(Why::Stopped);
    let task = |state| ReportedTask {
        task: "wk-1/0".into(),
        attempt: 3,
        state,
        why,
        saved: None,
    };
    model::world::heartbeat(
        "host-1",
        1,
        seq,
        token,
        state.into_iter().map(task).collect(),
    )
}

fn orders(response: HeartbeatResponse) -> Vec<Order> {
    match response {
        HeartbeatResponse::Orders(o) => o.orders,
        other => panic!("the response to the heartbeat has no orders: {other:?}"),
    }
}

fn stop_order() -> Order {
    Order::Stop {
        task: "wk-1/0".into(),
        attempt: 3,
        grace_s: 0.0,
    }
}

fn assignment() -> ToOwner {
    ToOwner::Assign {
        job: "wk-1".into(),
        attempt: 3,
        requirements: task_requirements(1.0),
        tasks: vec![(0, 1)],
    }
}

/// An assignment of a backlog task, which waits at the owner for capacity that becomes free.
fn backlog_assignment(job: &str) -> ToOwner {
    ToOwner::AssignBacklog {
        job: job.into(),
        attempt: 7,
        requirements: task_requirements(4.0),
        tasks: vec![(0, 1)],
        wait_ms: 60_000,
    }
}

/// Asks an owner to reserve resources for a gang of one task; returns whether it does.
fn try_reserve(owner: &mut Owner, attempt: u64, cpus: f64, now: f64) -> bool {
    let reserve = ToOwner::Reserve {
        job: "wk-2".into(),
        attempt,
        requirements: task_requirements(cpus),
        places: vec![("host-1".into(), 0, 1)],
        wait_ms: 60_000,
    };
    owner.take_messages();
    owner.on_leader_message(reserve, now, &EmptyJobLookup);
    let result = owner
        .take_messages()
        .into_iter()
        .find_map(|message| match message {
            ToLeader::ReserveResult { reserved, .. } => Some(reserved),
            _ => None,
        });
    result.expect("the owner sent no result of the reservation")
}

/// Guards against tasks of cancelled jobs that outlive `cancel_s` when leaders change faster than a
/// machine sends heartbeats: each response only carried the next leader's token and renewed the
/// lease, but stopped nothing.
#[test]
fn response_to_ignored_heartbeat_stops_terminal_jobs() {
    let mut owner = owner_with_fresh_replica();
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(1, 4, Some(TaskState::Running)), 11.0, &OPEN_JOB)),
        vec![]
    );
    assert_eq!(
        orders(owner.on_heartbeat(
            &heartbeat(2, 4, Some(TaskState::Running)),
            12.0,
            &TERMINAL_JOB
        )),
        vec![stop_order()]
    );
    // The leader reports the job as terminal, which this controller's replica does not show yet.
    owner.on_leader_message(
        ToOwner::TerminalJobs {
            jobs: vec!["wk-1".into()],
        },
        12.5,
        &OPEN_JOB,
    );
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(3, 4, Some(TaskState::Fetching)), 13.0, &OPEN_JOB)),
        vec![stop_order()]
    );
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(4, 4, Some(TaskState::Exited)), 14.0, &OPEN_JOB)),
        vec![]
    );
}

/// Every response repeats the stop until a heartbeat shows that the task is gone, even if the
/// leader never requests it: the task may have started after the job's record became terminal.
#[test]
fn stops_repeat_until_tasks_are_gone() {
    let mut owner = owner_with_fresh_replica();
    for seq in 1..4 {
        assert_eq!(
            orders(owner.on_heartbeat(
                &heartbeat(seq, 5, Some(TaskState::Running)),
                10.0 + seq as f64,
                &TERMINAL_JOB
            )),
            vec![stop_order()]
        );
    }
    // First an epoch that continues the owner's token 5, so that the owner keeps its records of the
    // machines; then one whose previous token is 0, so that it starts without records.
    for (token, previous_token) in [(6, 5), (7, 0)] {
        owner.on_leader_message(
            ToOwner::Epoch {
                token,
                previous_token,
                members: vec!["rung-1".into()],
                extra_ms: 0,
                machines: vec![],
            },
            14.0,
            &TERMINAL_JOB,
        );
        assert_eq!(
            orders(owner.on_heartbeat(
                &heartbeat(token, token, Some(TaskState::Running)),
                14.0,
                &TERMINAL_JOB
            )),
            vec![stop_order()]
        );
    }
    assert_eq!(
        orders(owner.on_heartbeat(
            &heartbeat(8, 7, Some(TaskState::Exited)),
            15.0,
            &TERMINAL_JOB
        )),
        vec![]
    );
}

/// A start that the owner holds when the job is cancelled is neither sent to the worker nor
/// reported as pending.
#[test]
fn tasks_of_terminal_job_do_not_start() {
    for is_notified in [false, true] {
        let mut owner = owner_that_read_at(11.0);
        owner.on_heartbeat(&heartbeat(1, 5, None), 11.0, &OPEN_JOB);
        owner.on_leader_message(assignment(), 11.0, &OPEN_JOB);
        let replica = if is_notified {
            owner.on_leader_message(
                ToOwner::TerminalJobs {
                    jobs: vec!["wk-1".into()],
                },
                11.2,
                &OPEN_JOB,
            );
            OPEN_JOB
        } else {
            TERMINAL_JOB
        };
        assert_eq!(
            orders(owner.on_heartbeat(&heartbeat(2, 5, None), 11.5, &replica)),
            vec![]
        );
        owner.tick(12.0);
        let last = owner
            .take_messages()
            .into_iter()
            .rev()
            .find_map(|m| match m {
                ToLeader::MachineStatuses(v) => Some(v),
                _ => None,
            });
        assert!(
            last.is_some_and(|v| v.iter().all(|v| v.pending.is_empty())),
            "no status was reported, or one with a pending start; is_notified={is_notified}"
        );
    }
    // With an open job the task does start, so the checks above can fail.
    let mut owner = owner_that_read_at(11.0);
    owner.on_heartbeat(&heartbeat(1, 5, None), 11.0, &OPEN_JOB);
    owner.on_leader_message(assignment(), 11.0, &OPEN_JOB);
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(2, 5, None), 11.5, &OPEN_JOB)),
        vec![Order::Start {
            task: "wk-1/0".into(),
            attempt: 3
        }]
    );
}

/// Guards against a failure seen in a run at production size: a controller that had no access to
/// the state service for minutes refused 1,209 of 1,256 reservations, because it did not know the
/// jobs of tasks that it had started itself.
#[test]
fn owner_with_stale_replica_knows_its_own_tasks() {
    let mut owner = owner_that_read_at(11.0);
    owner.on_heartbeat(&heartbeat(1, 5, None), 11.0, &EmptyJobLookup);
    owner.on_leader_message(assignment(), 11.0, &EmptyJobLookup);
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(2, 5, None), 11.5, &EmptyJobLookup)).len(),
        1
    );
    owner.on_heartbeat(
        &heartbeat(3, 5, Some(TaskState::Running)),
        12.0,
        &EmptyJobLookup,
    );
    assert!(try_reserve(&mut owner, 8, 3.0, 12.0));
    assert!(
        !try_reserve(&mut owner, 9, 1.0, 12.0),
        "more than the machine's four CPUs were reserved"
    );
    // The owner can't know the resources of a task that was not assigned through it.
    let mut owner = owner_that_read_at(11.0);
    owner.on_heartbeat(
        &heartbeat(1, 5, Some(TaskState::Running)),
        11.0,
        &EmptyJobLookup,
    );
    assert!(!try_reserve(&mut owner, 8, 1.0, 11.0));
}

/// An owner with a stale view starts backlog tasks of jobs that it does not know, but not those of
/// terminal jobs.
#[test]
fn owner_with_stale_replica_starts_its_backlog() {
    let started_tasks = |is_terminal: bool, jobs: &dyn JobLookup, job: &str| {
        let mut owner = owner_that_read_at(11.0);
        owner.on_heartbeat(&heartbeat(1, 5, Some(TaskState::Running)), 11.0, &OPEN_JOB);
        owner.on_leader_message(backlog_assignment(job), 11.0, &OPEN_JOB);
        if is_terminal {
            let jobs = vec![job.into()];
            owner.on_leader_message(ToOwner::TerminalJobs { jobs }, 11.2, &OPEN_JOB);
        }
        let orders = orders(owner.on_heartbeat(&heartbeat(2, 5, None), 11.5, jobs));
        let is_start = |order: &&Order| matches!(order, Order::Start { .. });
        orders.iter().filter(is_start).count()
    };
    assert_eq!(started_tasks(false, &EmptyJobLookup, "wk-3"), 1);
    assert_eq!(started_tasks(true, &EmptyJobLookup, "wk-3"), 0);
    assert_eq!(started_tasks(false, &TERMINAL_JOB, "wk-1"), 0);
    assert_eq!(started_tasks(false, &OPEN_JOB, "wk-1"), 1);
}

/// Starts need a view of the store no older than a part of the leader's lease. Responses,
/// which renew workers' leases, only need a view so fresh that the tasks of jobs cancelled after it
/// was read are gone within `cancel_s`.
#[test]
fn stale_replica_ends_starts_then_responses() {
    let config = config();
    let mut owner = owner_with_fresh_replica();
    owner.on_heartbeat(&heartbeat(1, 5, None), 10.5, &OPEN_JOB);
    owner.on_leader_message(assignment(), 10.5, &OPEN_JOB);
    let stale = 10.0 + config.max_start_staleness_s() + 0.01;
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(2, 5, None), stale, &OPEN_JOB)),
        vec![]
    );
    // The start was only postponed.
    owner.authority.record_read(stale);
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(3, 5, None), stale + 0.1, &OPEN_JOB)).len(),
        1
    );
    let end = stale + config.max_response_staleness_s();
    assert!(matches!(
        owner.on_heartbeat(&heartbeat(4, 5, None), end - 0.01, &OPEN_JOB),
        HeartbeatResponse::Orders(_)
    ));
    assert_eq!(
        owner.on_heartbeat(&heartbeat(5, 5, None), end + 0.01, &OPEN_JOB),
        HeartbeatResponse::Unavailable
    );
    // The last lease that such a response can renew ends within `cancel_s` of the read.
    assert!(end + config.lease_s * 1.0005 <= stale + config.cancel_s);
}

/// An outage preserves the lease in the store. Authority that is renewed after it had expired is
/// not usable until a read that was sent after the renewal.
#[test]
fn expired_authority_needs_read_sent_after_renewal() {
    let mut authority = Authority::new(&config());
    let max_start_staleness_s = config().max_start_staleness_s();
    authority.record_read(0.5);
    authority.renew(3.0, 1.0);
    assert_eq!(
        authority.responses_until(),
        f64::MIN,
        "usable before any read after the renewal"
    );
    authority.record_read(1.0);
    assert_eq!(
        (authority.responses_until(), authority.starts_until()),
        (3.0, 1.0 + max_start_staleness_s)
    );
    // Renewed before it expires, it continues.
    authority.renew(4.0, 2.5);
    assert_eq!(
        (authority.responses_until(), authority.starts_until()),
        (4.0, 1.0 + max_start_staleness_s)
    );
    // It expired at 4 and is renewed at 9. The last read was sent before the renewal.
    authority.record_read(8.9);
    authority.renew(11.0, 9.0);
    assert_eq!(
        (authority.responses_until(), authority.starts_until()),
        (f64::MIN, f64::MIN)
    );
    authority.record_read(9.1);
    assert_eq!(
        (authority.responses_until(), authority.starts_until()),
        (11.0, 9.1 + max_start_staleness_s)
    );
}

#[test]
fn responses_need_fresh_view_without_cancel_margin() {
    let config_without_margin = SchedulerConfig {
        cancel_s: 9.0,
        ..config()
    };
    assert!(!config_without_margin.cancels_in_time() && config().cancels_in_time());
    assert_eq!(
        config_without_margin.max_response_staleness_s(),
        config_without_margin.leader_lease_s
    );
}

/// The leader learns of a cancellation from the controller that confirmed it, and later from the
/// store. It notifies the owners immediately, not again when the store reports the cancellation, but
/// once more at each new epoch.
#[test]
fn owners_hear_cancellation_once_and_per_epoch() {
    let config = SchedulerConfig {
        teams: BTreeMap::new(),
        ..config()
    };
    let spec = Rc::new(model::world::job(1, "red", Shape::Array, 4, 1.0));
    let open = OpenJob::new(spec, 1, PriorRuns::Anywhere);
    // The job may have tasks on that machine, which is not reconciled yet.
    let roster = roster(["host-1"], &roster_record("small"));
    let mut leader = Leader::new("rung-0", config, 1, 1, 4.0, vec![open], &roster, 1, 0.0);
    leader.set_recently_cancelled([(
        "wk-000009".to_string(),
        "red".to_string(),
        Resources::default(),
    )]);
    leader.on_owner_contact("rung-1", 0.0);
    leader.tick(1.0, 1);
    let notified = |leader: &mut Leader| -> Vec<Vec<String>> {
        let terminal_jobs = |action| match action {
            Action::Send(to, ToOwner::TerminalJobs { jobs }) if to == "rung-1" => Some(jobs),
            _ => None,
        };
        leader
            .take_actions()
            .into_iter()
            .filter_map(terminal_jobs)
            .collect()
    };
    assert_eq!(notified(&mut leader), vec![vec!["wk-000009".to_string()]]);
    leader.on_owner_message(
        "rung-1",
        ToLeader::Cancelled {
            job: "wk-000001".into(),
        },
        1.5,
    );
    assert_eq!(notified(&mut leader), vec![vec!["wk-000001".to_string()]]);
    leader.on_job_terminal("wk-000001");
    assert_eq!(notified(&mut leader), Vec::<Vec<String>>::new());
    leader.on_owner_disconnected("rung-1");
    leader.on_owner_contact("rung-1", 2.0);
    leader.tick(2.5, 1);
    leader.on_token_result(Some(2), 2.6);
    assert_eq!(
        notified(&mut leader),
        vec![vec!["wk-000001".to_string(), "wk-000009".to_string()]]
    );
}

/// An owner drops a backlog start before any status report shows it. It has to hand the task back,
/// as otherwise the leader would count the task as assigned to that owner forever.
#[test]
fn start_dropped_before_status_is_handed_back() {
    let mut owner = owner_that_read_at(11.0);
    owner.on_heartbeat(&heartbeat(1, 5, None), 10.5, &OPEN_JOB);
    owner.tick(11.0);
    owner.take_messages();
    let ToOwner::Assign {
        job,
        attempt,
        requirements,
        tasks,
    } = assignment()
    else {
        unreachable!()
    };
    owner.on_leader_message(
        ToOwner::AssignBacklog {
            job,
            attempt,
            requirements,
            tasks,
            wait_ms: 5000,
        },
        11.0,
        &OPEN_JOB,
    );
    owner.take_messages();
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(2, 5, None), 11.01, &OPEN_JOB)).len(),
        1
    );
    owner.on_leader_message(
        ToOwner::SetUsable {
            machine: "host-1".into(),
            usable: false,
        },
        11.02,
        &OPEN_JOB,
    );
    assert_eq!(
        orders(owner.on_heartbeat(&heartbeat(3, 5, None), 11.03, &OPEN_JOB)),
        vec![]
    );
    let handed_back = |m: &ToLeader| matches!(m, ToLeader::HandBack { job, attempt: 3, tasks } if job == "wk-1" && *tasks == [(0, 1)]);
    assert!(owner.take_messages().iter().any(handed_back));
}
