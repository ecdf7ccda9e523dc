//! Tests the formats against examples from the protocol.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

use ciborium::{cbor, Value};
use wire::cbor::{decode, encode};
use wire::peers::{decode_frame, encode_frame, ToLeader, ToOwner, LENGTH_BYTES, VERSION};
use wire::users::{is_valid_job_id, FieldFault, InvalidJob, Job, Priority, Shape, MAX_TASKS};
use wire::workers::{Heartbeat, Order, Orders, TaskState, Why};

fn example_job() -> Value {
    cbor!({"name_id" => "wk-000412", "docket" => "train", "crew" => "vision", "shape" => "ensemble", "urgency" => "high",
        "tickets" => 16, "vcpus" => 8.0, "gpus" => 1.0, "mem_gb" => 64.0, "kit" => "img-07", "image_gb" => 6.2,
        "chassis_list" => ["g8"], "yard" => null, "one_zone" => true, "spread" => false, "loaners" => true,
        "expected_s" => 240.0, "bookmark_s" => 30.0, "stash_s" => 4.0, "due_s" => 900.0, "new_field" => {"x" => 1}})
    .unwrap()
}

/// Returns the encoding of a map with one field replaced, or removed if there is no new value.
fn with_field(map: &Value, key: &str, new: Option<Value>) -> Vec<u8> {
    let Value::Map(mut fields) = map.clone() else {
        panic!("not a map: {map:?}")
    };
    fields.retain(|(name, _)| name.as_text() != Some(key));
    if let Some(new) = new {
        fields.push((Value::Text(key.into()), new));
    }
    encode(&Value::Map(fields))
}

#[test]
fn a_job_is_decoded_as_in_the_protocol() {
    let job: Job = decode(&encode(&example_job())).unwrap();
    assert_eq!(
        (job.shape, job.priority, job.tasks, job.cpus),
        (Shape::Gang, Priority::High, 16, 8.0)
    );
    assert_eq!(job.types, Some(vec!["g8".to_string()]));
    assert_eq!((job.zone.as_deref(), job.deadline_s), (None, Some(900.0)));
    job.check().unwrap();
    // A nullable field may be absent, and an amount may be an integer.
    let bare: Job = decode(&with_field(&example_job(), "due_s", None)).unwrap();
    assert_eq!(bare.deadline_s, None);
    let whole: Job = decode(&with_field(&example_job(), "vcpus", Some(8.into()))).unwrap();
    assert_eq!(whole.cpus, 8.0);
}

#[test]
fn malformed_jobs_are_rejected() {
    let job = example_job();
    for key in [
        "name_id",
        "docket",
        "crew",
        "shape",
        "urgency",
        "tickets",
        "vcpus",
        "kit",
        "one_zone",
        "expected_s",
    ] {
        assert!(
            decode::<Job>(&with_field(&job, key, None)).is_err(),
            "a job without {key} is decoded"
        );
    }
    assert!(decode::<Job>(&with_field(&job, "vcpus", Some("8".into()))).is_err());
    assert!(decode::<Job>(&with_field(&job, "tickets", Some(1.5.into()))).is_err());
    assert!(decode::<Job>(&with_field(&job, "vcpus", Some(f64::NAN.into()))).is_err());
    assert!(decode::<Job>(b"not cbor at all").is_err());
    assert!(decode::<Job>(&encode(&cbor!([1, 2]).unwrap())).is_err());
    // Deep nesting must be rejected before it exhausts the stack.
    let deep = [vec![0x81u8; 60_000], vec![0]].concat();
    assert!(decode::<Job>(&deep).is_err());
}

#[test]
fn invalid_jobs_are_rejected_with_field_and_fault() {
    let job = example_job();
    let invalid_count = FieldFault::InvalidCount { max: MAX_TASKS };
    for (field, value, fault) in [
        ("tickets", Value::from(0), invalid_count.clone()),
        ("tickets", 100_001.into(), invalid_count),
        ("vcpus", (-1.0).into(), FieldFault::InvalidAmount),
        ("name_id", "a/b".into(), FieldFault::InvalidId),
    ] {
        let changed: Job = decode(&with_field(&job, field, Some(value))).unwrap();
        assert_eq!(changed.check(), Err(InvalidJob { field, fault }));
    }
}

#[test]
fn a_job_id_is_short_and_safe_in_paths() {
    assert!(
        !is_valid_job_id("")
            && !is_valid_job_id("../x")
            && !is_valid_job_id(&"x".repeat(101))
            && is_valid_job_id("wk-000412")
    );
}

#[test]
fn heartbeats_and_orders_are_as_in_the_protocol() {
    let heartbeat = cbor!({"rung" => "host-000231", "addr" => "10.1.0.232:9000", "chassis" => "g8", "yard" => "a", "loaners" => true,
        "shift" => 1, "tick" => 88, "baton" => 41, "recall_s" => null,
        "tickets" => [{"ticket" => "wk-000412/3", "try" => 2, "standing" => "running"},
            {"ticket" => "wk-000398/0", "try" => 1, "standing" => "exited", "cause" => "done"},
            {"ticket" => "wk-000398/1", "try" => 1, "standing" => "exited", "cause" => "stopped", "stored" => true},
            {"ticket" => "wk-000398/2", "try" => 1, "standing" => "exited", "cause" => "something new"}]})
    .unwrap();
    let decoded: Heartbeat = decode(&encode(&heartbeat)).unwrap();
    assert_eq!(
        (
            decoded.incarnation,
            decoded.seq,
            decoded.token,
            decoded.notice_s
        ),
        (1, 88, 41, None)
    );
    assert_eq!(
        (decoded.tasks[0].state, decoded.tasks[1].why),
        (TaskState::Running, Some(Why::Done))
    );
    assert_eq!(
        (decoded.tasks[2].saved, decoded.tasks[3].why),
        (Some(true), Some(Why::Error))
    );
    let orders = Orders {
        token: 41,
        orders: vec![
            Order::Start {
                task: "wk-000412/4".into(),
                attempt: 2,
            },
            Order::Stop {
                task: "wk-000377/1".into(),
                attempt: 1,
                grace_s: 10.0,
            },
            Order::Clear {
                task: "wk-000398/0".into(),
                attempt: 1,
            },
        ],
    };
    let expected = cbor!({"baton" => 41, "orders" => [
        {"verb" => "launch", "ticket" => "wk-000412/4", "try" => 2},
        {"verb" => "halt", "ticket" => "wk-000377/1", "try" => 1, "winddown_s" => 10.0},
        {"verb" => "clear", "ticket" => "wk-000398/0", "try" => 1}]})
    .unwrap();
    assert_eq!(decode::<Value>(&encode(&orders)).unwrap(), expected);
}

#[test]
fn store_messages_are_as_in_the_protocol() {
    use wire::store::{Changes, Condition, Page, Txn, Write};
    let txn = Txn {
        conditions: vec![Condition {
            key: "a/b".into(),
            version: 0,
        }],
        writes: vec![
            Write::Put {
                key: "a/b".into(),
                value: cbor!({"x" => 1}).unwrap(),
                lease: Some(7),
            },
            Write::Delete { key: "c/d".into() },
        ],
    };
    let expected = cbor!({"if" => [{"k" => "a/b", "stamp" => 0}],
        "writes" => [{"write" => "a/b", "v" => {"x" => 1}, "permit" => 7}, {"drop" => "c/d"}]})
    .unwrap();
    assert_eq!(decode::<Value>(&encode(&txn)).unwrap(), expected);
    let watch_response =
        cbor!({"ledger_rev" => 433, "news" => [{"write" => "c/9", "v" => {"x" => 1}, "stamp" => 433}, {"drop" => "c/d", "stamp" => 432}]})
            .unwrap();
    let changes: Changes = decode(&encode(&watch_response)).unwrap();
    assert_eq!(
        (
            changes.revision,
            changes.changes[0].written_key.as_deref(),
            changes.changes[1].deleted_key.as_deref()
        ),
        (433, Some("c/9"), Some("c/d"))
    );
    let page = cbor!({"items" => [{"k" => "c/9", "v" => {"x" => 1}, "stamp" => 5}], "more" => true, "ledger_rev" => 431}).unwrap();
    let decoded: Page = decode(&encode(&page)).unwrap();
    assert!(decoded.more && decoded.items[0].version == 5);
}

#[test]
fn frames_of_other_versions_and_garbage_are_rejected() {
    let message = ToLeader::HandBack {
        job: "wk-1".into(),
        attempt: 9,
        tasks: vec![(0, 3), (7, 1)],
    };
    let framed = encode_frame(&message);
    assert_eq!(
        u32::from_be_bytes([framed[0], framed[1], framed[2], framed[3]]) as usize,
        framed.len() - LENGTH_BYTES
    );
    assert_eq!(
        decode_frame::<ToLeader>(&framed[LENGTH_BYTES..]),
        Some(message)
    );
    assert_eq!(decode_frame::<ToOwner>(&[]), None);
    let mut other = framed[LENGTH_BYTES..].to_vec();
    other[0] = 99;
    assert_eq!(
        decode_frame::<ToLeader>(&other),
        None,
        "a frame of another version is decoded"
    );
    let mut accepted = 0;
    for seed in 0..2000u64 {
        // Xorshift generator. Decoding must not panic, whatever the bytes are.
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let noise: Vec<u8> = (0..seed % 60)
            .map(|_| {
                random ^= random << 13;
                random ^= random >> 7;
                random ^= random << 17;
                random as u8
            })
            .collect();
        let payload = [vec![VERSION], noise].concat();
        accepted += usize::from(decode_frame::<ToOwner>(&payload).is_some());
    }
    assert!(
        accepted < 1000,
        "too many frames with random bytes are decoded: {accepted}"
    );
}
