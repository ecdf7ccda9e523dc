//! Settings, jobs and heartbeats as tests use them.

use super::*;
use wire::peers::{AllowedMachineType, MachineDescriptor, TaskRequirements};

/// A machine type of both zones.
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

/// The usual machine types: `small` with four CPUs and `large` with sixteen.
pub fn machine_types() -> Vec<MachineType> {
    vec![
        machine_type("small", 4.0, 16.0, 0.3),
        machine_type("large", 16.0, 64.0, 1.1),
    ]
}

/// The usual settings: two teams, short times.
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

/// The usual settings, with idle machines that are never returned.
pub fn config_without_deprovisioning() -> SchedulerConfig {
    SchedulerConfig {
        idle_retention_boots: 1e6,
        ..config()
    }
}

/// Teams without a guarantee that may use as many CPUs as there are.
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

/// The roster's record of a machine in zone `a`, at the full price.
pub fn roster_record(kind: &str) -> RosterRecord {
    RosterRecord {
        kind: kind.into(),
        zone: "a".into(),
        spot: false,
    }
}

/// A roster of machines that have the same record.
pub fn roster<Name: Into<String>>(
    machines: impl IntoIterator<Item = Name>,
    record: &RosterRecord,
) -> BTreeMap<String, RosterRecord> {
    let machines = machines.into_iter();
    machines
        .map(|machine| (machine.into(), record.clone()))
        .collect()
}

/// A leader in its first term that is its own only owner, with open jobs of which arrays up to a
/// revision may have started, and with a roster.
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

/// A replica that knows no job at all.
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

/// An owner `rung-1` of one machine, `host-1` of type `small`, under token 5 since time 10. Its
/// authority lasts; how old its view of the store is, it does not know.
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

/// A heartbeat of a machine of type `small` in zone `a`.
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

/// A machine in zone `a` as its owner shows it under the first token.
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

/// A task as its owner shows it; nothing of it was saved.
pub fn task_status(task: TaskRef, state: TaskState, why: Option<Why>) -> TaskStatus {
    TaskStatus {
        task,
        state,
        why,
        saved: false,
    }
}

/// What a task requires that may run on machines of type `small` at the full price.
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

/// A job as tests submit it.
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

/// A random job of either team.
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
