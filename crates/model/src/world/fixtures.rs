//! Fixtures for tests: configurations, jobs, machines and heartbeats.

use super::*;
use wire::peers::{AllowedMachineType, MachineDescriptor, TaskRequirements};

/// Returns a machine type that is available in both zones.
pub fn machine_type(name: &str, cpus: f64, memory_gb: f64, price: f64) -> MachineType {
    MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb,
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        price,
        spot_price: price / 3.0,
        boot_s: 3.0,
        zones: vec!["a".into(), "b".into()],
    }
}

/// Returns the default machine types: `small` with 4 CPUs and `large` with 16.
pub fn machine_types() -> Vec<MachineType> {
    vec![
        machine_type("small", 4.0, 16.0, 0.3),
        machine_type("large", 16.0, 64.0, 1.1),
    ]
}

/// Returns the default test configuration: two teams and short timeouts.
pub fn config() -> SchedulerConfig {
    let team = |cpus: f64, cpus_max: f64| Team {
        cpus,
        cpus_max,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    SchedulerConfig {
        teams: BTreeMap::from([
            ("red".into(), team(8.0, 24.0)),
            ("blue".into(), team(12.0, 32.0)),
        ]),
        heartbeat_s: 1.0,
        lease_s: 8.0,
        cancel_s: 25.0,
        list_lag_s: 4.0,
        reservation_s: 5.0,
        leader_lease_s: LEADER_LEASE_S,
        guarantee_s: 5.0,
        wait_s: BTreeMap::new(),
        max_wait_share: 0.4,
        idle_retention_boots: 2.0,
    }
}

/// Returns the default test configuration, but idle machines are never deprovisioned.
pub fn config_without_deprovisioning() -> SchedulerConfig {
    SchedulerConfig {
        idle_retention_boots: 1e6,
        ..config()
    }
}

/// Returns teams without guaranteed resources and with practically unlimited CPUs.
pub fn unlimited_teams(names: &[&str]) -> BTreeMap<String, Team> {
    let unlimited = Team {
        cpus: 0.0,
        cpus_max: 1e6,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let team = |name: &&str| (name.to_string(), unlimited.clone());
    names.iter().map(team).collect()
}

/// Returns the roster record of an on-demand machine in zone `a`.
pub fn roster_record(kind: &str) -> RosterRecord {
    RosterRecord {
        kind: kind.into(),
        zone: "a".into(),
        spot: false,
    }
}

/// Returns a roster in which all machines have the same record.
pub fn roster<Name: Into<String>>(
    machines: impl IntoIterator<Item = Name>,
    record: &RosterRecord,
) -> BTreeMap<String, RosterRecord> {
    let machines = machines.into_iter();
    machines
        .map(|machine| (machine.into(), record.clone()))
        .collect()
}

/// Returns a leader with token 1 whose own controller, `rung-0`, owns all machines. Arrays accepted
/// up to revision `started_upto` may have been started by an earlier leader.
pub fn lone_leader(
    config: SchedulerConfig,
    types: Vec<MachineType>,
    jobs: Vec<OpenJob>,
    started_upto: u64,
    roster: &BTreeMap<String, RosterRecord>,
) -> Leader {
    let mut leader = Leader::new("rung-0", config, 1, 1, 4.0, jobs, roster, started_upto, 0.0);
    leader.set_catalog(types);
    leader
}

/// A job lookup without any jobs.
pub struct EmptyJobLookup;

impl JobLookup for EmptyJobLookup {
    fn resources(&self, _: &str) -> Option<Resources> {
        None
    }
    fn image(&self, _: &str) -> Option<String> {
        None
    }
    fn is_terminal(&self, _: &str) -> bool {
        false
    }
}

/// Returns the owner `rung-1` of one machine, `host-1` of type `small`, with token 5 since time 10.
/// Its authority does not expire during a test, and no read of the store has been recorded for it.
pub fn owner_of_one_machine(config: SchedulerConfig) -> Owner {
    let mut owner = Owner::new("rung-1", config);
    let descriptor = MachineDescriptor {
        name: "host-1".into(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        usable: true,
    };
    let epoch = ToOwner::Epoch {
        token: 5,
        previous_token: 0,
        members: vec!["rung-1".into()],
        extra_ms: 0,
        machines: vec![descriptor],
    };
    owner.on_leader_message(epoch, 10.0, &EmptyJobLookup);
    owner.authority.set_until(1e9);
    owner
}

/// Returns a heartbeat of an on-demand machine of type `small` in zone `a`.
pub fn heartbeat(
    machine: &str,
    incarnation: u64,
    seq: u64,
    token: u64,
    tasks: Vec<ReportedTask>,
) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: String::new(),
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
        incarnation,
        seq,
        token,
        notice_s: None,
        tasks,
    }
}

/// Returns the status that an owner with token 1 reports for an on-demand machine in zone `a`.
pub fn machine_status(name: &str, kind: &str, tasks: Vec<TaskStatus>) -> MachineStatus {
    MachineStatus {
        token: 1,
        name: name.into(),
        kind: kind.into(),
        zone: "a".into(),
        spot: false,
        incarnation: 1,
        lease_expired: false,
        notice_s: None,
        tasks,
        pending: Vec::new(),
        usable: true,
        unreachable: false,
    }
}

/// Returns the status that an owner reports for a task that has not saved its state.
pub fn task_status(task: TaskRef, state: TaskState, why: Option<Why>) -> TaskStatus {
    TaskStatus {
        task,
        state,
        why,
        saved: false,
    }
}

/// Returns the requirements of a task that may run on on-demand machines of type `small`.
pub fn task_requirements(cpus: f64) -> TaskRequirements {
    let kinds = vec![AllowedMachineType {
        kind: "small".into(),
        spot: false,
        tier: 0,
    }];
    TaskRequirements {
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        allowed_types: kinds,
        zone: None,
    }
}

/// Returns a job with default values for the remaining fields.
pub fn job(id: u32, team: &str, shape: Shape, tasks: u32, cpus: f64) -> Job {
    Job {
        id: format!("wk-{id:06}"),
        class: "any".into(),
        team: team.into(),
        shape,
        priority: Priority::Standard,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img".into(),
        image_gb: 0.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimate_s: 3.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Draws a random job of one of the two default teams.
pub(super) fn random_job(rng: &mut fastrand::Rng, id: u32) -> Job {
    let gang = rng.u32(0..4) == 0;
    let shape = if gang { Shape::Gang } else { Shape::Array };
    let tasks = if gang { rng.u32(1..4) } else { rng.u32(1..12) };
    let mut spec = job(
        id,
        if rng.bool() { "red" } else { "blue" },
        shape,
        tasks,
        f64::from(rng.u32(1..4)),
    );
    spec.image = format!("img-{}", rng.u32(0..3));
    spec.estimate_s = 1.0 + rng.f64() * 6.0;
    spec.spot = rng.bool();
    spec.one_zone = rng.u32(0..4) == 0;
    spec.spread = !spec.one_zone && rng.u32(0..4) == 0 && tasks > 1;
    if rng.u32(0..4) == 0 {
        spec.types = Some(vec!["large".into()]);
    }
    if rng.u32(0..6) == 0 && !spec.spread {
        spec.zone = Some("a".into());
    }
    spec
}
