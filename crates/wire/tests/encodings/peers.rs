//! Samples of the frames between controllers.

use crate::cloud::machine_type;
use crate::sample::{framed, Sample};
use crate::workers::{EXIT_REASONS, TASK_STATES};
use wire::cloud::MachineType;
use wire::peers::{
    AllowedMachineType, MachineDescriptor, MachineStatus, TaskRef, TaskRequirements, TaskStatus,
    ToLeader, ToOwner,
};
use wire::workers::{TaskState, Why};

const ATTEMPT: u64 = (41 << 24) | 9;

fn job() -> String {
    "wk-000412".into()
}

fn machine() -> String {
    "host-000001".into()
}

fn task(index: u32) -> TaskRef {
    TaskRef {
        job: job(),
        index,
        attempt: ATTEMPT,
    }
}

fn requirements(zone: Option<&str>) -> TaskRequirements {
    let allowed = |kind: &str, spot, tier| AllowedMachineType {
        kind: kind.into(),
        spot,
        tier,
    };
    TaskRequirements {
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        allowed_types: vec![allowed("g8", true, 1), allowed("c4", false, 2)],
        zone: zone.map(Into::into),
    }
}

fn descriptor(name: &str, spot: bool) -> MachineDescriptor {
    MachineDescriptor {
        name: name.into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot,
        usable: !spot,
    }
}

fn machine_status(tasks: Vec<TaskStatus>, notice_s: Option<f64>) -> MachineStatus {
    MachineStatus {
        token: 41,
        name: machine(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 2,
        lease_expired: false,
        notice_s,
        tasks,
        pending: vec![task(5), task(6)],
        usable: false,
        unreachable: true,
    }
}

fn task_status(state: TaskState, why: Option<Why>, saved: bool) -> TaskStatus {
    TaskStatus {
        task: task(3),
        state,
        why,
        saved,
    }
}

fn machine_statuses() -> Vec<Sample> {
    let mut samples = Vec::new();
    let mut all = Vec::new();
    for (name, state) in TASK_STATES {
        let status = task_status(state, None, false);
        all.push(status.clone());
        let message = ToLeader::MachineStatuses(vec![machine_status(vec![status], None)]);
        samples.push(framed(format!("view_{name}"), &message));
    }
    for (name, why) in EXIT_REASONS {
        let status = task_status(TaskState::Exited, Some(why), true);
        all.push(status.clone());
        let message = ToLeader::MachineStatuses(vec![machine_status(vec![status], Some(18.5))]);
        samples.push(framed(format!("view_exited_{name}"), &message));
    }
    let lapsed = MachineStatus {
        lease_expired: true,
        unreachable: false,
        pending: Vec::new(),
        ..machine_status(Vec::new(), None)
    };
    let message = ToLeader::MachineStatuses(vec![machine_status(all, Some(18.5)), lapsed]);
    samples.push(framed("view_all", &message));
    samples.push(framed("view_none", &ToLeader::MachineStatuses(Vec::new())));
    samples
}

fn to_leader() -> Vec<Sample> {
    let hello = ToLeader::Hello {
        member: "rung-2".into(),
        process: 99,
        sequence: 3,
    };
    let hand_back = ToLeader::HandBack {
        job: job(),
        attempt: ATTEMPT,
        tasks: vec![(0, 4), (70_000, 1)],
    };
    let result = |reserved| ToLeader::ReserveResult {
        attempt: ATTEMPT,
        reserved,
    };
    vec![
        framed("hello", &hello),
        framed("ping", &ToLeader::Ping { n: 1 << 40 }),
        framed("hand_back", &hand_back),
        framed("hold_answer_held", &result(true)),
        framed("hold_answer_refused", &result(false)),
        framed("cancelled", &ToLeader::Cancelled { job: job() }),
    ]
}

fn epochs() -> Vec<Sample> {
    let epoch = ToOwner::Epoch {
        token: 41,
        previous_token: 40,
        members: vec!["rung-0".into(), "rung-2".into()],
        extra_ms: 1500,
        machines: vec![
            descriptor("host-000001", false),
            descriptor("host-000002", true),
        ],
    };
    let first = ToOwner::Epoch {
        token: 1,
        previous_token: 0,
        members: Vec::new(),
        extra_ms: 0,
        machines: Vec::new(),
    };
    let other_type = MachineType {
        name: "c4".into(),
        gpus: 0.0,
        zones: Vec::new(),
        ..machine_type()
    };
    let catalog = ToOwner::Catalog {
        types: vec![machine_type(), other_type],
    };
    let grant = ToOwner::Grant {
        n: 7,
        token: 41,
        valid_ms: 1200,
    };
    let jobs = vec![job(), "wk-000413".into()];
    vec![
        framed("epoch", &epoch),
        framed("epoch_first", &first),
        framed("catalog", &catalog),
        framed("grant", &grant),
        framed("known", &ToOwner::ViewAge { n: 7, age_ms: 80 }),
        framed("over", &ToOwner::TerminalJobs { jobs }),
    ]
}

fn placements() -> Vec<Sample> {
    let assign = |zone| ToOwner::Assign {
        job: job(),
        attempt: ATTEMPT,
        requirements: requirements(zone),
        tasks: vec![(0, 4), (9, 1)],
    };
    let backlog = ToOwner::AssignBacklog {
        job: job(),
        attempt: ATTEMPT,
        requirements: requirements(Some("a")),
        tasks: vec![(4, 2)],
        wait_ms: 900,
    };
    let reserve = ToOwner::Reserve {
        job: job(),
        attempt: ATTEMPT,
        requirements: requirements(None),
        places: vec![(machine(), 0, 12), ("host-000003".into(), 12, 4)],
        wait_ms: 9000,
    };
    vec![
        framed("give", &assign(Some("a"))),
        framed("give_any_zone", &assign(None)),
        framed("ahead", &backlog),
        framed("hold", &reserve),
        framed("bind", &ToOwner::Bind { attempt: ATTEMPT }),
        framed("release", &ToOwner::ReleaseReservation { attempt: ATTEMPT }),
    ]
}

fn orders() -> Vec<Sample> {
    let usable = |usable| ToOwner::SetUsable {
        machine: machine(),
        usable,
    };
    let stop = ToOwner::Stop {
        machine: machine(),
        task: task(3),
        grace_s: 4.5,
    };
    let clear = ToOwner::Clear {
        machine: machine(),
        task: task(3),
    };
    let running = vec![(job(), 16), ("wk-000413".into(), 300)];
    vec![
        framed("use", &usable(true)),
        framed("use_no_more", &usable(false)),
        framed("stop", &stop),
        framed("clear", &clear),
        framed("display", &ToOwner::RunningCounts { running }),
    ]
}

pub fn samples() -> Vec<Sample> {
    let groups = [
        to_leader(),
        machine_statuses(),
        epochs(),
        placements(),
        orders(),
    ];
    let mut samples: Vec<Sample> = groups.into_iter().flatten().collect();
    for sample in &mut samples {
        sample.name = format!("frame_{}", sample.name);
    }
    samples
}
