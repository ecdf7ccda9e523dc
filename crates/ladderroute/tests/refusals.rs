//! What users are told of requests that can't be served: status and body, byte for byte.

// The helpers of these tests unwrap as the tests do.
#![allow(clippy::unwrap_used)]

mod stand_in;

use http::server::Response;
use ladderroute::api::users::{cancel, query, submit};
use stand_in::requests::{body, set, with};
use wire::cbor;
use wire::store::Value;

fn text(s: &str) -> Value {
    Value::Text(s.into())
}

/// Fields and odd values of them.
fn odd_values() -> Vec<(&'static str, Value)> {
    vec![
        ("tickets", Value::Integer(0.into())),
        ("tickets", Value::Integer(100_001.into())),
        ("tickets", Value::Integer((-1).into())),
        ("tickets", Value::Float(1.5)),
        ("vcpus", Value::Float(-1.0)),
        ("vcpus", Value::Float(f64::NAN)),
        ("gpus", Value::Float(-1.0)),
        ("mem_gb", Value::Float(-1.0)),
        ("mem_gb", text("64")),
        ("image_gb", Value::Float(-1.0)),
        ("expected_s", Value::Float(-1.0)),
        ("bookmark_s", Value::Float(-1.0)),
        ("stash_s", Value::Float(-1.0)),
        ("due_s", Value::Float(-1.0)),
        ("shape", text("heap")),
        ("urgency", text("now")),
        ("name_id", text("")),
        ("name_id", text("a/b")),
        ("docket", text("")),
        ("crew", text("a b")),
        ("kit", text("")),
        ("yard", text("")),
        ("yard", text("z")),
        ("chassis_list", Value::Array(vec![text("")])),
        ("chassis_list", Value::Array(vec![text("g8"); 101])),
        ("chassis_list", Value::Array(vec![text("g9")])),
        ("chassis_list", Value::Array(vec![])),
        ("crew", text("nobody")),
        ("vcpus", Value::Float(97.0)),
        ("vcpus", Value::Float(13.0)),
        ("gpus", Value::Float(9.0)),
        ("mem_gb", Value::Float(769.0)),
    ]
}

fn awaits(ids: &[&str]) -> Vec<u8> {
    let ids = ids.iter().map(|id| text(id)).collect();
    body("wk-400", |m| m.push((text("awaits"), Value::Array(ids))))
}

/// Bodies of submissions that are refused, by their names.
fn submissions() -> Vec<(String, Vec<u8>)> {
    let mut sent = Vec::new();
    for (i, (name, value)) in odd_values().into_iter().enumerate() {
        let odd = body("wk-400", |m| set(m, name, value));
        sent.push((format!("{i} {name}"), odd));
    }
    let fields = cbor::decode::<Value>(&body("wk-400", |_| ())).unwrap();
    for (i, (key, _)) in fields.into_map().unwrap().iter().enumerate() {
        let name = key.as_text().unwrap();
        if ["chassis_list", "yard", "due_s"].contains(&name) {
            continue;
        }
        let lacks = body("wk-400", |m| drop(m.remove(i)));
        sent.push((format!("without {name}"), lacks));
    }
    let long = "x".repeat(90);
    let many: Vec<String> = (0..60).map(|i| format!("{long}{i}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    sent.push(("not cbor".into(), b"\xff\x00".to_vec()));
    sent.push(("empty".into(), Vec::new()));
    sent.push(("awaits an odd id".into(), awaits(&["a/b"])));
    sent.push(("awaits an unknown job".into(), awaits(&["wk-1"])));
    sent.push(("awaits too many".into(), awaits(&many)));
    sent
}

/// A response in one line; the text of the error stands for the body, which holds nothing else.
fn line(name: &str, response: &Response) -> String {
    let body: Value = cbor::decode(&response.body).unwrap();
    let error = body.as_map().unwrap()[0].1.as_text().unwrap().to_string();
    let same = cbor::encode(&Value::Map(vec![(text("error"), text(&error))]));
    assert_eq!(response.body, same, "{name}");
    let retry = response.retry_after_s;
    let retry = retry.map_or(String::new(), |s| format!(" retry {s}"));
    format!("{name}: {}{retry} {error}", response.status)
}

#[test]
fn refusals_are_answered_word_for_word() {
    with(|store, [a, _]| async move {
        let mut answered = Vec::new();
        for (name, sent) in submissions() {
            answered.push(line(&name, &submit(&a, &sent).await));
        }
        answered.push(line("unknown query", &query(&a, "wk-2").await));
        answered.push(line("unknown cancel", &cancel(&a, "wk-2").await));
        store.refuses.set(true);
        let sent = body("wk-2", |_| ());
        let later = submit(&a, &sent).await;
        assert_eq!((later.status, later.retry_after_s.is_some()), (503, true));
        let expected: Vec<&str> = include_str!("refusals/expected.txt").lines().collect();
        let answered: Vec<&str> = answered.iter().map(String::as_str).collect();
        let wrong = answered.iter().zip(&expected).filter(|(is, was)| is != was);
        let wrong: Vec<String> = wrong.map(|(is, was)| format!("{is}\n{was}")).collect();
        assert!(wrong.is_empty(), "\n{}", wrong.join("\n"));
        assert_eq!(answered.len(), expected.len());
    });
}
