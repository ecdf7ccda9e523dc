//! Every encoding byte for byte, so that a change of names and types in the program shows here if it
//! changes what is sent or stored.
//!
//! `encodings/written.txt` holds each sample and its bytes in hexadecimal as commit 3b89ddc wrote
//! them, and `encodings/changed.txt` what that commit made of each sample with one field left out
//! or null. What the production version wrote stands apart, in `production/`.

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
#[path = "encodings/users.rs"]
mod users;
#[path = "encodings/workers.rs"]
mod workers;

use sample::{hex, Sample};
use std::collections::BTreeMap;
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

/// The lines of a fixture, by their first part.
fn lines(text: &'static str, separator: &str) -> BTreeMap<&'static str, &'static str> {
    let parts = text.lines().map(|line| line.split_once(separator).unwrap());
    let lines: BTreeMap<&str, &str> = parts.collect();
    assert_eq!(lines.len(), text.lines().count(), "a name stands twice");
    lines
}

/// Compares what there is now with a fixture; names each difference.
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
    assert_eq!(lost, None, "has no sample any more");
    assert_eq!(now.len(), fixture.len(), "a sample stands twice");
}

#[test]
fn each_sample_is_written_as_before() {
    let now = samples().into_iter().map(|s| (s.name, hex(&s.bytes)));
    let fixture = lines(include_str!("encodings/written.txt"), " ");
    compare(&now.collect::<Vec<_>>(), &fixture);
}

#[test]
fn each_sample_is_read_as_before() {
    let fixture = lines(include_str!("encodings/written.txt"), " ");
    for sample in samples() {
        let written = sample::from_hex(fixture[sample.name.as_str()]);
        let (content, again) = (sample.read)(&written).unwrap();
        assert_eq!(content, sample.content, "{}", sample.name);
        assert_eq!(hex(&again), hex(&written), "{}", sample.name);
    }
}

/// A sample with one field left out, null, or of another kind; with a field that is not known.
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

/// Which fields may be left out or be null, what they are then, and what is said of all others.
#[test]
fn changed_samples_are_taken_or_refused_as_before() {
    let mut now = Vec::new();
    for sample in samples().iter().filter(|s| s.change_fields) {
        for (how, bytes) in changed(sample) {
            let result = match (sample.read)(&bytes) {
                Ok((_, again)) => hex(&again),
                // The only message that names a type of the program.
                Err(error) => error.replace("untagged enum Write", "an untagged enum"),
            };
            now.push((how, result));
        }
    }
    let fixture = lines(include_str!("encodings/changed.txt"), ": ");
    compare(&now, &fixture);
}
