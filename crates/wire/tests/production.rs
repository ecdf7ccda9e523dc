//! Tests the formats against bytes written by the version in production.
//!
//! `production/written.txt` holds the name and the bytes, in hexadecimal, of each sample in
//! `production/samples.rs`, as written by commit d2cfe12: an example in that commit's `wire`
//! package included the file of samples and printed each sample.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

include!("production/samples.rs");

mod support;

use std::collections::BTreeMap;
use support::from_hex;
use wire::peers::{decode_frame, LENGTH_BYTES};
use wire::store::{from_value, Value};

/// Returns the samples as production wrote them, by name.
fn production_bytes() -> BTreeMap<&'static str, Vec<u8>> {
    include_str!("production/written.txt")
        .lines()
        .map(|line| line.split_once(' ').unwrap())
        .map(|(name, hex)| (name, from_hex(hex)))
        .collect()
}

/// Decodes a record that production wrote.
fn read_record<T: serde::de::DeserializeOwned>(name: &str) -> T {
    let value: Value = decode(&production_bytes()[name]).unwrap();
    from_value(&value).unwrap()
}

/// Without the fields that production does not know, this version writes the same bytes as
/// production, so that production can read them.
#[test]
fn encodings_equal_those_of_production() {
    let written = production_bytes();
    let samples: Vec<Sample> = records().into_iter().chain(frames()).collect();
    assert_eq!(samples.len(), written.len());
    for (name, bytes) in samples {
        assert_eq!(bytes, written[name], "{name}");
    }
}

#[test]
fn records_of_production_are_decoded() {
    for (name, state) in [
        ("job_open", Recorded::Open),
        ("job_done", Recorded::Done),
        ("job_cancelled", Recorded::Cancelled),
    ] {
        let record: JobRecord = read_record(name);
        assert_eq!(record.state, state);
        assert_eq!(record.job, job_record(state).job);
        assert!(record.job.dependencies.is_empty());
    }
    assert_eq!(
        read_record::<ProgressPage>("progress_page"),
        progress_page()
    );
    assert_eq!(read_record::<RosterPage>("roster_page"), roster_page());
    assert_eq!(read_record::<BindingRecord>("binding"), binding_record());
    assert_eq!(
        read_record::<StartedArraysRecord>("begun"),
        started_arrays_record()
    );
    assert_eq!(read_record::<LeaderRecord>("leader").token, 41);
    assert_eq!(read_record::<TermRecord>("term").term, 41);
}

#[test]
fn frames_of_production_are_decoded() {
    let written = production_bytes();
    for (name, message) in to_owner() {
        let payload = &written[name][LENGTH_BYTES..];
        assert_eq!(decode_frame::<ToOwner>(payload), Some(message), "{name}");
    }
    for (name, message) in to_leader() {
        let payload = &written[name][LENGTH_BYTES..];
        assert_eq!(decode_frame::<ToLeader>(payload), Some(message), "{name}");
    }
}

/// Fields of a job that production requires in a record, by their stored names.
const PRODUCTION_JOB_FIELDS: [&str; 20] = [
    "name_id",
    "docket",
    "crew",
    "shape",
    "urgency",
    "tickets",
    "vcpus",
    "gpus",
    "mem_gb",
    "kit",
    "image_gb",
    "chassis_list",
    "yard",
    "one_zone",
    "spread",
    "loaners",
    "expected_s",
    "bookmark_s",
    "stash_s",
    "due_s",
];

/// The record of a terminal job lacks some fields, but none that production requires.
#[test]
fn terminal_records_keep_fields_production_requires() {
    let mut job = job_record(Recorded::Open).job;
    job.dependencies = vec!["wk-000001".into()];
    let record = JobRecord::terminal(Recorded::Done, 5, &job);
    let value = to_value(&record);
    let field = |map: &Value, name: &str| {
        let fields = map.as_map().unwrap();
        let found = fields.iter().find(|(k, _)| k.as_text() == Some(name));
        found.map(|(_, v)| v.clone())
    };
    let job = field(&value, "job").unwrap();
    for name in PRODUCTION_JOB_FIELDS {
        assert!(field(&job, name).is_some(), "{name}");
    }
    assert!(field(&job, "awaits").is_none());
    assert_eq!(field(&value, "state"), Some(Value::Text("done".into())));
}

/// Production requires `chunks` in each progress page, even if it is empty.
#[test]
fn progress_pages_always_have_the_field_chunks() {
    let page = ProgressPage {
        chunks: Vec::new(),
        sections: vec![("wk-000500".into(), 4096, "05".into())],
    };
    let value = to_value(&page);
    let fields = value.as_map().unwrap();
    assert!(fields.iter().any(|(k, _)| k.as_text() == Some("chunks")));
    assert_eq!(from_value::<ProgressPage>(&value), Some(page));
}
