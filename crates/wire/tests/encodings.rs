//! Every encoding, byte for byte: a change of names or types in the program fails here if it changes
//! what is sent or stored.
//!
//! `encodings/written.txt` holds each sample and its bytes in hexadecimal as commit 3b89ddc wrote
//! them; `encodings/changed.txt` holds what that commit decoded from each sample with one field
//! changed. The bytes of the version in production are apart, in `production/`.

// The helpers of these tests unwrap as the tests do.
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

/// The lines of a fixture, by the part before the separator.
fn lines(text: &'static str, separator: &str) -> BTreeMap<&'static str, &'static str> {
    let parts = text.lines().map(|line| line.split_once(separator).unwrap());
    let lines: BTreeMap<&str, &str> = parts.collect();
    assert_eq!(lines.len(), text.lines().count(), "a name occurs twice");
    lines
}

/// Compares current results with a fixture, and names each difference.
fn compare(now: &[(String, String)], fixture: &BTreeMap<&str, &str>) {
    let mut wrong = Vec::new();
    for (name, value) in now {
        let expected = fixture.get(name.as_str()).unwrap_or(&"nothing");
        if value != expected {
            wrong.push(format!("{name}\n  is       {value}\n  expected {expected}"));
        }
    }
    assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
    let names: Vec<&String> = now.iter().map(|(name, _)| name).collect();
    let lost = fixture.keys().find(|key| !names.iter().any(|n| n == *key));
    assert_eq!(lost, None, "has no sample");
    assert_eq!(now.len(), fixture.len(), "a sample occurs twice");
}

#[test]
fn each_sample_is_encoded_as_before() {
    let now = samples().into_iter().map(|s| (s.name, to_hex(&s.bytes)));
    let fixture = lines(include_str!("encodings/written.txt"), " ");
    compare(&now.collect::<Vec<_>>(), &fixture);
}

#[test]
fn each_sample_is_decoded_as_before() {
    let fixture = lines(include_str!("encodings/written.txt"), " ");
    for sample in samples() {
        let written = from_hex(fixture[sample.name.as_str()]);
        let (content, again) = (sample.read)(&written).unwrap();
        assert_eq!(content, sample.content, "{}", sample.name);
        assert_eq!(to_hex(&again), to_hex(&written), "{}", sample.name);
    }
}

/// A sample with one field absent, null, or of another type, and with an unknown field.
fn changed(sample: &Sample) -> Vec<(String, Vec<u8>)> {
    let Ok(Value::Map(fields)) = decode::<Value>(&sample.bytes) else {
        return Vec::new();
    };
    let mut changed = Vec::new();
    let mut add = |how: String, fields: Vec<(Value, Value)>| {
        changed.push((how, encode(&Value::Map(fields))));
    };
    for (i, (key, _)) in fields.iter().enumerate() {
        let key = key.as_text().unwrap();
        let mut lacks = fields.clone();
        lacks.remove(i);
        add(format!("{} without {key}", sample.name), lacks);
        for (kind, value) in [
            ("null", Value::Null),
            ("odd", Value::Text("odd".into())),
            ("whole", Value::Integer(3.into())),
            ("negative", Value::Integer((-3).into())),
        ] {
            let mut other = fields.clone();
            other[i].1 = value;
            add(format!("{} with {kind} {key}", sample.name), other);
        }
    }
    let mut more = fields;
    let unknown = (Value::Text("unknown".into()), Value::Integer(1.into()));
    more.push(unknown);
    add(format!("{} with more", sample.name), more);
    changed
}

/// Which fields may be absent or null and their defaults, and the errors for all others.
#[test]
fn changed_samples_are_decoded_or_rejected_as_before() {
    let mut now = Vec::new();
    for sample in samples().iter().filter(|s| s.change_fields) {
        for (how, bytes) in changed(sample) {
            let result = match (sample.read)(&bytes) {
                Ok((_, again)) => to_hex(&again),
                // The only message with the name of a Rust type, which no user sees.
                Err(error) => error.replace("untagged enum Write", "an untagged enum"),
            };
            now.push((how, result));
        }
    }
    let fixture = lines(include_str!("encodings/changed.txt"), ": ");
    compare(&now, &fixture);
}
