//! Samples of the state service's messages and of the records stored there.

use crate::sample::{body, body_with_mutations, Sample};
use crate::users::{bare_job, job};
use ciborium::cbor;
use wire::store::{
    BindingRecord, Change, Changes, Condition, Conflict, Item, JobRecord, LeaderRecord, LeaseAsk,
    LeaseId, Page, ProgressPage, Recorded, Revision, RosterPage, RosterRecord, StartedArraysRecord,
    TermRecord, Txn, Value, Write,
};

fn value() -> Value {
    cbor!({"x" => 1, "y" => [true, null, 2.5]}).unwrap()
}

fn requests() -> Vec<Sample> {
    let put = |lease| Write::Put {
        key: "lr/job/wk-1".into(),
        value: value(),
        lease,
    };
    let drop = Write::Delete {
        key: "lr/binding/wk-1/0".into(),
    };
    let condition = Condition {
        key: "lr/term".into(),
        version: 433,
    };
    let txn = Txn {
        conditions: vec![condition.clone()],
        writes: vec![put(None), put(Some(7)), drop.clone()],
    };
    vec![
        body_with_mutations("store_condition", &condition),
        body_with_mutations("store_put", &put(None)),
        body_with_mutations("store_put_with_lease", &put(Some(7))),
        body_with_mutations("store_drop", &drop),
        body_with_mutations("store_txn", &txn),
        body("store_txn_empty", &Txn::default()),
        body_with_mutations("store_lease_ask", &LeaseAsk { ttl_ms: 5400 }),
    ]
}

fn responses() -> Vec<Sample> {
    let item = Item {
        key: "lr/job/wk-1".into(),
        value: value(),
        version: 5,
    };
    let page = Page {
        items: vec![item.clone()],
        more: true,
        revision: 431,
    };
    let put = Change {
        written_key: Some("lr/job/wk-1".into()),
        deleted_key: None,
        value: Some(value()),
        version: 432,
    };
    let dropped = Change {
        written_key: None,
        deleted_key: Some("lr/binding/wk-1/0".into()),
        value: None,
        version: 433,
    };
    let changes = Changes {
        revision: 434,
        changes: vec![put.clone(), dropped.clone()],
    };
    let failed = vec!["lr/term".to_string()];
    vec![
        body_with_mutations("store_item", &item),
        body_with_mutations("store_page", &page),
        body_with_mutations("store_revision", &Revision { revision: 431 }),
        body_with_mutations("store_conflict", &Conflict { failed }),
        body_with_mutations("store_lease", &LeaseId { lease: 7 }),
        body_with_mutations("store_change_put", &put),
        body_with_mutations("store_change_drop", &dropped),
        body_with_mutations("store_changes", &changes),
    ]
}

fn jobs() -> Vec<Sample> {
    let mut samples = Vec::new();
    let created_ms = 1_764_667_000_000;
    for (name, state) in [
        ("open", Recorded::Open),
        ("done", Recorded::Done),
        ("cancelled", Recorded::Cancelled),
    ] {
        let record = |job| JobRecord {
            state,
            created_ms,
            job,
        };
        samples.push(body(format!("record_full_{name}"), &record(job())));
        samples.push(body(format!("record_bare_{name}"), &record(bare_job())));
        let terminal = JobRecord::terminal(state, created_ms, &job());
        samples.push(body_with_mutations(
            format!("record_terminal_{name}"),
            &terminal,
        ));
    }
    samples
}

fn roster_record(kind: &str, spot: bool) -> RosterRecord {
    RosterRecord {
        kind: kind.into(),
        zone: "a".into(),
        spot,
    }
}

fn pages() -> Vec<Sample> {
    let progress = ProgressPage {
        chunks: vec![("wk-000412".into(), 0, "ff01".into())],
        sections: vec![("wk-000500".into(), 4096, "05".into())],
    };
    let machines = vec!["host-000001".to_string(), "host-000002".to_string()];
    let roster = RosterPage {
        groups: vec![
            (roster_record("g8", false), machines),
            (roster_record("c4", true), Vec::new()),
        ],
    };
    let binding = BindingRecord {
        attempt: (41 << 24) | 5,
        places: vec![("host-000001".into(), 0, 12), ("host-000003".into(), 12, 4)],
    };
    let started_arrays = StartedArraysRecord {
        upto: 431,
        waiting: vec![400, 412],
    };
    let leader = LeaderRecord {
        member: "rung-1".into(),
        token: 41,
    };
    vec![
        body_with_mutations("progress_page", &progress),
        body("progress_page_empty", &ProgressPage::default()),
        body_with_mutations("roster_record", &roster_record("g8", true)),
        body_with_mutations("roster_page", &roster),
        body("roster_page_empty", &RosterPage::default()),
        body_with_mutations("binding", &binding),
        body_with_mutations("begun", &started_arrays),
        body("begun_none", &StartedArraysRecord::default()),
        body_with_mutations("leader", &leader),
        body_with_mutations("term", &TermRecord { term: 1 << 33 }),
    ]
}

pub fn samples() -> Vec<Sample> {
    let groups = [requests(), responses(), jobs(), pages()];
    groups.into_iter().flatten().collect()
}
