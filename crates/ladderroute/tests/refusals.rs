//! Responses to requests that can't be served: status and body, compared byte for byte.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

mod stand_in;

use http::server::Response;
use ladderroute::api::users::{cancel, query, submit};
use stand_in::requests::{set_field, submission, with_controllers};
use wire::cbor;
use wire::store::Value;

fn text(s: &str) -> Value {
    Value::Text(s.into())
}

/// Returns names of fields, each with an invalid value for the field.
fn invalid_values() -> Vec<(&'static str, Value)> {
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

fn submission_awaiting(ids: &[&str]) -> Vec<u8> {
    let ids = ids.iter().map(|id| text(id)).collect();
    submission("wk-400", |m| m.push((text("awaits"), Value::Array(ids))))
}

/// Returns submissions that are refused: a name for each case, and the body.
fn refused_submissions() -> Vec<(String, Vec<u8>)> {
    let mut requests = Vec::new();
    for (i, (name, value)) in invalid_values().into_iter().enumerate() {
        let invalid = submission("wk-400", |m| set_field(m, name, value));
        requests.push((format!("{i} {name}"), invalid));
    }
    let fields = cbor::decode::<Value>(&submission("wk-400", |_| ())).unwrap();
    for (i, (key, _)) in fields.into_map().unwrap().iter().enumerate() {
        let name = key.as_text().unwrap();
        if ["chassis_list", "yard", "due_s"].contains(&name) {
            continue;
        }
        let incomplete = submission("wk-400", |m| drop(m.remove(i)));
        requests.push((format!("without {name}"), incomplete));
    }
    let long = "x".repeat(90);
    let many: Vec<String> = (0..60).map(|i| format!("{long}{i}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    requests.push(("not cbor".into(), b"\xff\x00".to_vec()));
    requests.push(("empty".into(), Vec::new()));
    requests.push(("awaits an odd id".into(), submission_awaiting(&["a/b"])));
    requests.push((
        "awaits an unknown job".into(),
        submission_awaiting(&["wk-1"]),
    ));
    requests.push(("awaits too many".into(), submission_awaiting(&many)));
    requests
}

/// Formats a response as one line. The error text stands for the body, which is checked to hold nothing else.
fn format_response(name: &str, response: &Response) -> String {
    let body: Value = cbor::decode(&response.body).unwrap();
    let error = body.as_map().unwrap()[0].1.as_text().unwrap().to_string();
    let same = cbor::encode(&Value::Map(vec![(text("error"), text(&error))]));
    assert_eq!(
        response.body, same,
        "{name}: the body is not just the error text"
    );
    let retry = response.retry_after_s;
    let retry = retry.map_or(String::new(), |s| format!(" retry {s}"));
    format!("{name}: {}{retry} {error}", response.status)
}

#[test]
fn refusals_match_expected_responses() {
    with_controllers(|store, [a, _]| async move {
        let mut responses = Vec::new();
        for (name, request) in refused_submissions() {
            responses.push(format_response(&name, &submit(&a, &request).await));
        }
        responses.push(format_response("unknown query", &query(&a, "wk-2").await));
        responses.push(format_response("unknown cancel", &cancel(&a, "wk-2").await));
        store.unavailable.set(true);
        let request = submission("wk-2", |_| ());
        let response = submit(&a, &request).await;
        assert_eq!(
            (response.status, response.retry_after_s.is_some()),
            (503, true)
        );
        let expected: Vec<&str> = include_str!("refusals/expected.txt").lines().collect();
        let responses: Vec<&str> = responses.iter().map(String::as_str).collect();
        let mismatches = responses
            .iter()
            .zip(&expected)
            .filter(|(actual, expected)| actual != expected);
        let mismatches: Vec<String> = mismatches
            .map(|(actual, expected)| format!("{actual}\n{expected}"))
            .collect();
        assert!(
            mismatches.is_empty(),
            "unexpected responses, each followed by the expected one:\n{}",
            mismatches.join("\n")
        );
        assert_eq!(responses.len(), expected.len());
    });
}
