//! Compares every encoding byte by byte with recorded ones, so that a change of names or types in
//! the program fails here if it changes what is sent or stored.
//!
//! `encodings/written.txt` holds the name and the bytes, in hexadecimal, of each sample, as written
//! by commit 3b89ddc. `encodings/changed.txt` holds what that commit decoded from each sample with
//! one field changed. The bytes written by the version in production are in `production/`.

// Test helpers unwrap, like the tests themselves.
#![allow(clippy::unwrap_used)]

#[path = "encodings/cloud.rs"]
mod cloud;
#[path = "encodings/peers.rs"]
mod peers;
#[path = "encodings/sample.rs"]
mod sample;
#[path = "encodings/store.rs"]
mod store;
mod support;
#[path = "encodings/users.rs"]
mod users;
#[path = "encodings/workers.rs"]
mod workers;

use sample::{to_hex, Sample};
use std::collections::BTreeMap;
use support::from_hex;
use wire::cbor::{decode, encode};
use wire::store::Value;

fn samples() -> Vec<Sample> {
    let groups = [
        cloud::samples(),
        peers::samples(),
        store::samples(),
        users::samples(),
        workers::samples(),
    ];
    groups.into_iter().flatten().collect()
}

/// Returns the lines of a fixture, keyed by the part before the separator.
fn parse_fixture(text: &'static str, separator: &str) -> BTreeMap<&'static str, &'static str> {
    let parts = text.lines().map(|line| line.split_once(separator).unwrap());
    let lines: BTreeMap<&str, &str> = parts.collect();
    assert_eq!(
        lines.len(),
        text.lines().count(),
        "a name occurs twice in the fixture"
    );
    lines
}

/// Asserts that the results equal those in a fixture, and reports each mismatch.
fn compare(actual: &[(String, String)], fixture: &BTreeMap<&str, &str>) {
    let mut mismatches = Vec::new();
    for (name, value) in actual {
        let expected = fixture.get(name.as_str()).unwrap_or(&"nothing");
        if value != expected {
            mismatches.push(format!("{name}\n  is       {value}\n  expected {expected}"));
        }
    }
    assert!(mismatches.is_empty(), "\n{}", mismatches.join("\n"));
    let names: Vec<&String> = actual.iter().map(|(name, _)| name).collect();
    let missing = fixture.keys().find(|key| !names.iter().any(|n| n == *key));
    assert_eq!(missing, None, "a line of the fixture has no sample");
    assert_eq!(actual.len(), fixture.len(), "a sample occurs twice");
}

#[test]
fn each_sample_is_encoded_as_before() {
    let actual = samples().into_iter().map(|s| (s.name, to_hex(&s.bytes)));
    let fixture = parse_fixture(include_str!("encodings/written.txt"), " ");
    compare(&actual.collect::<Vec<_>>(), &fixture);
}

#[test]
fn each_sample_is_decoded_as_before() {
    let fixture = parse_fixture(include_str!("encodings/written.txt"), " ");
    for sample in samples() {
        let written = from_hex(fixture[sample.name.as_str()]);
        let (debug_text, reencoded) = (sample.decode)(&written).unwrap();
        assert_eq!(debug_text, sample.debug_text, "{}", sample.name);
        assert_eq!(to_hex(&reencoded), to_hex(&written), "{}", sample.name);
    }
}

/// Returns the encodings of a sample with one field absent, null or of another type, and with an
/// unknown field added.
fn mutations(sample: &Sample) -> Vec<(String, Vec<u8>)> {
    let Ok(Value::Map(fields)) = decode::<Value>(&sample.bytes) else {
        return Vec::new();
    };
    let mut mutations = Vec::new();
    let mut add = |name: String, fields: Vec<(Value, Value)>| {
        mutations.push((name, encode(&Value::Map(fields))));
    };
    for (i, (key, _)) in fields.iter().enumerate() {
        let key = key.as_text().unwrap();
        let mut without = fields.clone();
        without.remove(i);
        add(format!("{} without {key}", sample.name), without);
        for (kind, value) in [
            ("null", Value::Null),
            ("odd", Value::Text("odd".into())),
            ("whole", Value::Integer(3.into())),
            ("negative", Value::Integer((-3).into())),
        ] {
            let mut replaced = fields.clone();
            replaced[i].1 = value;
            add(format!("{} with {kind} {key}", sample.name), replaced);
        }
    }
    let mut extended = fields;
    let unknown = (Value::Text("unknown".into()), Value::Integer(1.into()));
    extended.push(unknown);
    add(format!("{} with more", sample.name), extended);
    mutations
}

/// Covers which fields may be absent or null, their defaults, and the errors for all other fields.
#[test]
fn changed_samples_are_decoded_or_rejected_as_before() {
    let mut actual = Vec::new();
    for sample in samples().iter().filter(|s| s.mutate_fields) {
        for (name, bytes) in mutations(sample) {
            let result = match (sample.decode)(&bytes) {
                Ok((_, reencoded)) => to_hex(&reencoded),
                // The only error text that contains the name of a Rust type; no user sees it.
                Err(error) => error.replace("untagged enum Write", "an untagged enum"),
            };
            actual.push((name, result));
        }
    }
    let fixture = parse_fixture(include_str!("encodings/changed.txt"), ": ");
    compare(&actual, &fixture);
}
