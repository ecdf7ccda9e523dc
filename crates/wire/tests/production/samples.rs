use ciborium::cbor;
use wire::cbor::{decode, encode};
use wire::cloud::MachineType;
use wire::peers::{
    encode_frame, AllowedMachineType, MachineDescriptor, MachineStatus, TaskRequirements, TaskRef, TaskStatus, ToLeader, ToOwner,
};
use wire::store::{
    to_value, StartedArraysRecord, BindingRecord, JobRecord, LeaderRecord, ProgressPage, Recorded,
    RosterPage, RosterRecord, TermRecord,
};
use wire::users::Job;
use wire::workers::{TaskState, Why};

/// Name and bytes of a sample.
type Sample = (&'static str, Vec<u8>);

/// Returns a job as a user submits it, without fields that the version in production does not know.
fn submitted() -> Vec<u8> {
    let value = cbor!({"name_id" => "wk-000412", "docket" => "train", "crew" => "vision", "shape" => "ensemble",
        "urgency" => "high", "tickets" => 16, "vcpus" => 8.0, "gpus" => 1.0, "mem_gb" => 64.0, "kit" => "img-07",
        "image_gb" => 6.2, "chassis_list" => ["g8"], "yard" => null, "one_zone" => true, "spread" => false,
        "loaners" => true, "expected_s" => 240.0, "bookmark_s" => 30.0, "stash_s" => 4.0, "due_s" => 900.0})
    .unwrap();
    encode(&value)
}

fn job_record(state: Recorded) -> JobRecord {
    let job: Job = decode(&submitted()).unwrap();
    JobRecord {
        state,
        created_ms: 1_764_667_000_000,
        job,
    }
}

fn progress_page() -> ProgressPage {
    ProgressPage {
        chunks: vec![
            ("wk-000412".into(), 0, "ff01".into()),
            ("wk-000500".into(), 1, "0500".into()),
        ],
        // Fields that only one of the versions has keep their defaults.
        ..ProgressPage::default()
    }
}

fn roster_page() -> RosterPage {
    let record = |kind: &str, spot| RosterRecord {
        kind: kind.into(),
        zone: "a".into(),
        spot,
    };
    RosterPage {
        groups: vec![
            (
                record("g8", false),
                vec!["host-000001".into(), "host-000002".into()],
            ),
            (record("g8", true), vec!["host-000003".into()]),
        ],
    }
}

fn binding_record() -> BindingRecord {
    BindingRecord {
        attempt: (7 << 24) | 5,
        places: vec![("host-000001".into(), 0, 12), ("host-000003".into(), 12, 4)],
    }
}

fn started_arrays_record() -> StartedArraysRecord {
    StartedArraysRecord {
        upto: 431,
        waiting: vec![400, 412],
    }
}

fn stored<T: serde::Serialize>(record: &T) -> Vec<u8> {
    encode(&to_value(record))
}

fn records() -> Vec<Sample> {
    vec![
        ("job_open", stored(&job_record(Recorded::Open))),
        ("job_done", stored(&job_record(Recorded::Done))),
        ("job_cancelled", stored(&job_record(Recorded::Cancelled))),
        ("progress_page", stored(&progress_page())),
        ("roster_page", stored(&roster_page())),
        ("binding", stored(&binding_record())),
        ("begun", stored(&started_arrays_record())),
        (
            "leader",
            stored(&LeaderRecord {
                member: "rung-1".into(),
                token: 41,
            }),
        ),
        ("term", stored(&TermRecord { term: 41 })),
    ]
}

fn task() -> TaskRef {
    TaskRef {
        job: "wk-000412".into(),
        index: 3,
        attempt: (41 << 24) | 9,
    }
}

fn requirements() -> TaskRequirements {
    TaskRequirements {
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        allowed_types: vec![AllowedMachineType {
            kind: "g8".into(),
            spot: true,
            tier: 1,
        }],
        zone: Some("a".into()),
    }
}

fn machine_status() -> MachineStatus {
    MachineStatus {
        token: 41,
        name: "host-000001".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: false,
        incarnation: 2,
        lease_expired: false,
        notice_s: Some(18.5),
        tasks: vec![TaskStatus {
            task: task(),
            state: TaskState::Exited,
            why: Some(Why::Done),
            saved: true,
        }],
        pending: vec![task()],
        usable: true,
        unreachable: false,
    }
}

fn to_owner() -> Vec<(&'static str, ToOwner)> {
    let mut samples = to_owner_on_epochs();
    samples.extend(to_owner_on_tasks());
    samples.extend(to_owner_on_gangs());
    samples.extend(to_owner_on_running_tasks());
    samples
}

/// Messages to owners about epochs, authority and the state of the cluster.
fn to_owner_on_epochs() -> Vec<(&'static str, ToOwner)> {
    vec![
        (
            "epoch",
            ToOwner::Epoch {
                token: 41,
                previous_token: 40,
                members: vec!["rung-0".into(), "rung-2".into()],
                extra_ms: 1500,
                machines: vec![MachineDescriptor {
                    name: "host-000001".into(),
                    kind: "g8".into(),
                    zone: "a".into(),
                    spot: false,
                    usable: true,
                }],
            },
        ),
        (
            "catalog",
            ToOwner::Catalog {
                types: vec![MachineType {
                    name: "g8".into(),
                    cpus: 96.0,
                    gpus: 8.0,
                    memory_gb: 768.0,
                    cache_gb: 200.0,
                    fetch_gb_per_s: 1.0,
                    price: 12.0,
                    spot_price: 4.5,
                    boot_s: 45.0,
                    zones: vec!["a".into(), "b".into()],
                }],
            },
        ),
        (
            "grant",
            ToOwner::Grant {
                n: 7,
                token: 41,
                valid_ms: 1200,
            },
        ),
        ("known", ToOwner::ViewAge { n: 7, age_ms: 80 }),
        (
            "over",
            ToOwner::TerminalJobs {
                jobs: vec!["wk-000412".into()],
            },
        ),
        (
            "use",
            ToOwner::SetUsable {
                machine: "host-000001".into(),
                usable: false,
            },
        ),
    ]
}

/// Messages to owners about tasks of arrays.
fn to_owner_on_tasks() -> Vec<(&'static str, ToOwner)> {
    vec![
        (
            "give",
            ToOwner::Assign {
                job: "wk-000412".into(),
                attempt: 9,
                requirements: requirements(),
                tasks: vec![(0, 4), (9, 1)],
            },
        ),
        (
            "ahead",
            ToOwner::AssignBacklog {
                job: "wk-000412".into(),
                attempt: 9,
                requirements: requirements(),
                tasks: vec![(4, 2)],
                wait_ms: 900,
            },
        ),
    ]
}

/// Messages to owners about tasks of gangs.
fn to_owner_on_gangs() -> Vec<(&'static str, ToOwner)> {
    let places = || vec![("host-000001".to_string(), 0, 12)];
    vec![
        (
            "hold",
            ToOwner::Reserve {
                job: "wk-000412".into(),
                attempt: 9,
                requirements: requirements(),
                places: places(),
                wait_ms: 9000,
            },
        ),
        ("bind", ToOwner::Bind { attempt: 9 }),
        ("release", ToOwner::ReleaseReservation { attempt: 9 }),
    ]
}

/// Messages to owners about tasks that are on machines.
fn to_owner_on_running_tasks() -> Vec<(&'static str, ToOwner)> {
    vec![
        (
            "stop",
            ToOwner::Stop {
                machine: "host-000001".into(),
                task: task(),
                grace_s: 4.0,
            },
        ),
        (
            "clear",
            ToOwner::Clear {
                machine: "host-000001".into(),
                task: task(),
            },
        ),
        (
            "display",
            ToOwner::RunningCounts {
                running: vec![("wk-000412".into(), 16)],
            },
        ),
    ]
}

fn to_leader() -> Vec<(&'static str, ToLeader)> {
    vec![
        (
            "hello",
            ToLeader::Hello {
                member: "rung-2".into(),
                process: 99,
                sequence: 3,
            },
        ),
        ("ping", ToLeader::Ping { n: 7 }),
        ("machines", ToLeader::MachineStatuses(vec![machine_status()])),
        (
            "hand_back",
            ToLeader::HandBack {
                job: "wk-000412".into(),
                attempt: 9,
                tasks: vec![(0, 4)],
            },
        ),
        (
            "hold_answer",
            ToLeader::ReserveResult {
                attempt: 9,
                reserved: true,
            },
        ),
        (
            "cancelled",
            ToLeader::Cancelled {
                job: "wk-000412".into(),
            },
        ),
    ]
}

fn frames() -> Vec<Sample> {
    let owners = to_owner().into_iter().map(|(name, m)| (name, encode_frame(&m)));
    let leaders = to_leader().into_iter().map(|(name, m)| (name, encode_frame(&m)));
    owners.chain(leaders).collect()
}
