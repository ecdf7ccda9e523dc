//! Late copies of reports: what they show is past, and must not change what is known.

use sched::leader::{Deed, Earlier, Leader, OpenJob};
use sched::owner::{Answer, Jobs, Owner};
use sched::place::Room;
use sched::ranges::Ranges;
use sched::setup::{Setup, Team};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::cloud::MachineType;
use wire::peers::{MachineCard, MachineView, TaskRef, TaskView, ToLeader, ToOwner};
use wire::store::RosterRecord;
use wire::users::{Job, Priority, Shape};
use wire::workers::{Report, TaskReport, TaskState, Why};

fn setup() -> Setup {
    let team = Team { cpus: 8.0, cpus_max: 16.0, gpus: 0.0, gpus_max: 0.0 };
    Setup {
        teams: BTreeMap::from([("red".to_string(), team)]),
        report_s: 1.0,
        lease_s: 8.0,
        cancel_s: 25.0,
        list_lag_s: 4.0,
        hold_s: 5.0,
        guarantee_s: 5.0,
        wait_s: BTreeMap::new(),
        patience: 0.4,
        keep_boots: 2.0,
    }
}

struct NoJobs;

impl Jobs for NoJobs {
    fn room(&self, _: &str) -> Option<Room> {
        None
    }
    fn image(&self, _: &str) -> Option<String> {
        None
    }
}

fn report(session: u64, seq: u64, token: u64) -> Report {
    Report {
        machine: "host-1".into(),
        addr: String::new(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        session,
        seq,
        token,
        notice_s: None,
        tasks: vec![TaskReport { task: "wk-1/0".into(), attempt: 3, state: TaskState::Exited, why: Some(Why::Done), saved: None }],
    }
}

/// A new owner's only answer tells the worker the token; the next report, which shows it, is held
/// up until after the lease has ended. The worker has then forgotten what that report shows, and
/// the leader has given it to another machine.
#[test]
fn a_report_of_a_lease_that_is_over_does_not_count_though_none_counted_before() {
    let mut owner = Owner::new("rung-1", setup());
    let card = MachineCard { name: "host-1".into(), kind: "small".into(), zone: "a".into(), spot: false, usable: true };
    let regime = ToOwner::Regime { token: 5, prev: 0, members: vec!["rung-1".into()], extra_ms: 0, machines: vec![card] };
    owner.on_leader(regime, 10.0, &NoJobs);
    owner.set_authority(1e9);
    assert!(matches!(owner.on_report(&report(2, 57, 4), 10.5, &NoJobs), Answer::Orders(o) if o.token == 5 && o.orders.is_empty()));
    owner.tick(10.5 + setup().lease_certainly_over_s() + 0.1);
    owner.drain();
    assert_eq!(owner.on_report(&report(2, 58, 5), 25.0, &NoJobs), Answer::NotNow);
    // The worker itself is back, in a new session, and learns the token first.
    assert!(matches!(owner.on_report(&report(3, 60, 4), 26.0, &NoJobs), Answer::Orders(_)));
    assert_eq!(owner.on_report(&report(2, 59, 5), 26.5, &NoJobs), Answer::NotNow);
    assert!(matches!(owner.on_report(&report(3, 61, 5), 27.0, &NoJobs), Answer::Orders(_)));
    owner.tick(28.0);
    let back = |m: &ToLeader| matches!(m, ToLeader::Machines(v) if v.iter().any(|v| v.session == 3 && !v.lapsed));
    assert!(owner.drain().iter().any(back));
}

fn machine_view(name: &str, tasks: Vec<TaskView>) -> MachineView {
    MachineView {
        token: 1,
        name: name.into(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        session: 1,
        lapsed: false,
        notice_s: None,
        tasks,
        pending: Vec::new(),
        usable: true,
        deaf: false,
    }
}

fn view_of(index: u32, attempt: u64, state: TaskState, why: Option<Why>) -> TaskView {
    TaskView { task: TaskRef { job: "wk-1".into(), index, attempt }, state, why, saved: false }
}

/// The end of another attempt completes the task, but the attempt that is on a machine still uses
/// its room and its team's limit, and is stopped.
#[test]
fn an_attempt_stays_charged_when_another_one_is_done() {
    let spec = Rc::new(Job {
        id: "wk-1".into(),
        class: "c".into(),
        team: "red".into(),
        shape: Shape::Array,
        priority: Priority::Standard,
        tasks: 2,
        cpus: 4.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 9.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
    });
    let open = OpenJob { spec, revision: 1, done: Ranges::default(), earlier: Earlier::Anywhere };
    let record = RosterRecord { kind: "small".into(), zone: "a".into(), spot: false };
    let roster = BTreeMap::from([("host-1".to_string(), record.clone()), ("host-2".to_string(), record)]);
    let mut leader = Leader::new("rung-0", setup(), 1, 1, 4.0, vec![open], &roster, 1, 0.0);
    leader.catalog(vec![MachineType {
        name: "small".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        zones: vec!["a".into()],
    }]);
    leader.tick(0.0, 0);
    let running = view_of(0, 9, TaskState::Running, None);
    leader.on_owner("rung-0", ToLeader::Machines(vec![machine_view("host-1", vec![running])]), 1.0);
    assert_eq!(leader.used_by("red").cpus, 4.0);
    leader.drain();
    let done = view_of(0, 7, TaskState::Exited, Some(Why::Done));
    leader.on_owner("rung-0", ToLeader::Machines(vec![machine_view("host-2", vec![done])]), 1.1);
    assert_eq!(leader.used_by("red").cpus, 4.0);
    assert!(leader.done_of("wk-1").contains(0));
    let stop = |d: &Deed| matches!(d, Deed::Send(_, ToOwner::Stop { machine, task, .. }) if machine == "host-1" && task.attempt == 9);
    assert!(leader.drain().iter().any(stop));
}
