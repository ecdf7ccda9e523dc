//! The command line: the exact output for valid and invalid settings files.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

use ladderroute::settings::{Settings, Tuning};
use std::path::PathBuf;
use std::process::Command;

/// A settings file with every field, in which no two fields of the same type have the same value.
const FULL: &str = include_str!("command/full.toml");
const OPERATOR: &str = "hold_s: 4.5\nleader_lease_share: 0.1\nkeep_boots: 3.25\npatience: 0.75\n";

/// Writes a file to a directory that only this test uses; returns its path.
fn write_file(test: &str, name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    std::fs::create_dir_all(&directory).unwrap();
    let path = directory.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

/// Runs the program to check a settings file and an operators' file; returns its exit code, standard output
/// and standard error.
fn check_config(test: &str, settings: &str, operator: &str) -> (Option<i32>, String, String) {
    let settings = write_file(test, "settings.toml", settings);
    let operator = write_file(test, "operator.textproto", operator);
    let output = Command::new(env!("CARGO_BIN_EXE_ladderroute"))
        .args(["--config", settings.to_str().unwrap()])
        .args(["--operator", operator.to_str().unwrap()])
        .arg("--check-config")
        .output()
        .unwrap();
    let text = |bytes: &[u8]| {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let text = text.replace(settings.to_str().unwrap(), "SETTINGS");
        text.replace(operator.to_str().unwrap(), "OPERATOR")
    };
    let (out, err) = (text(&output.stdout), text(&output.stderr));
    (output.status.code(), out, err)
}

#[test]
fn every_settings_field_is_parsed() {
    let settings = Settings::parse(FULL, "f").unwrap();
    assert_eq!(settings.member, "rung-0");
    assert_eq!(settings.api_addr.to_string(), "127.0.0.1:8080");
    assert_eq!(settings.link_addr.to_string(), "127.0.0.1:8081");
    let peers = settings
        .peers
        .iter()
        .map(|p| (p.member.as_str(), p.addr.port()));
    let expected = [("rung-1", 8082), ("rung-2", 8083)];
    assert_eq!(peers.collect::<Vec<_>>(), expected);
    assert_eq!(settings.services.cloud.to_string(), "127.0.0.9:8443");
    assert_eq!(settings.services.state.to_string(), "127.0.0.9:2379");
    let quota = &settings.params.quota;
    assert_eq!((quota.memory_mb, quota.max_sockets), (64.5, 500));
    let cloud = &settings.params.cloud;
    assert_eq!((cloud.rps, cloud.list_lag_s), (4.5, 8.5));
    let workers = &settings.params.workers;
    assert_eq!((workers.gang_wait_s, workers.gang_peer_s), (31.5, 5.5));
    let state = &settings.params.state;
    let current = (state.rps, state.write_rps, state.value_kb, state.txn_ops);
    assert_eq!(current, (50.5, 20.5, 4.5, 12));
    let limits = state.limits();
    let upcoming = (
        limits.rps,
        limits.write_rps,
        limits.value_kb,
        limits.txn_ops,
    );
    assert_eq!(upcoming, (40.5, 15.5, 2.5, 6));
    assert_eq!(limits.value_bytes(), 2560);
}

#[test]
fn scheduler_config_uses_every_field() {
    let tuning = Tuning::parse(OPERATOR, "f").unwrap();
    assert_eq!(
        (tuning.reservation_s, tuning.leader_lease_share),
        (4.5, 0.1)
    );
    assert_eq!(
        (tuning.idle_retention_boots, tuning.max_wait_share),
        (3.25, 0.75)
    );
    let config = Settings::parse(FULL, "f")
        .unwrap()
        .scheduler_config(&tuning);
    let teams = config.teams.iter().map(|(name, t)| {
        let limits = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
        (name.as_str(), limits)
    });
    let unlimited = f64::INFINITY;
    let expected = [
        ("blue", [1.5, unlimited, 0.0, unlimited]),
        ("red", [10.5, 20.5, 2.5, 4.5]),
    ];
    assert_eq!(teams.collect::<Vec<_>>(), expected);
    assert_eq!((config.heartbeat_s, config.lease_s), (1.5, 12.5));
    assert_eq!((config.cancel_s, config.list_lag_s), (40.5, 8.5));
    assert_eq!((config.reservation_s, config.leader_lease_s), (4.5, 1.25));
    assert_eq!((config.guarantee_s, config.wait_s["train"]), (7.5, 90.5));
    assert_eq!(
        (config.max_wait_share, config.idle_retention_boots),
        (0.75, 3.25)
    );
}

#[test]
fn valid_settings_pass_the_check() {
    let valid = "ladderroute: settings are valid\n".to_string();
    let result = check_config("valid", FULL, OPERATOR);
    assert_eq!(result, (Some(0), valid.clone(), String::new()));
    assert_eq!(
        check_config("valid", FULL, ""),
        (Some(0), valid, String::new())
    );
}

/// Splits each line of a fixture into the text to replace, its replacement, and the expected error message.
fn cases(text: &'static str) -> impl Iterator<Item = [&'static str; 3]> {
    text.lines().map(|line| {
        let parts: Vec<&str> = line.splitn(3, " | ").collect();
        parts.try_into().unwrap()
    })
}

#[test]
fn settings_errors_match_expected_texts() {
    let mut mismatches = Vec::new();
    for [from, to, message] in cases(include_str!("command/wrong_settings.txt")) {
        assert!(FULL.contains(from), "full.toml does not contain {from}");
        let (code, out, err) = check_config("settings", &FULL.replacen(from, to, 1), "");
        assert_eq!((code, out.as_str()), (Some(2), ""), "{from} -> {to}");
        if err != format!("ladderroute: {message}\n") {
            mismatches.push(format!("{from} | {to} | {err}"));
        }
    }
    assert!(
        mismatches.is_empty(),
        "unexpected error texts:\n{}",
        mismatches.join("")
    );
}

#[test]
fn operator_file_errors_match_expected_texts() {
    let mut mismatches = Vec::new();
    for [from, to, message] in cases(include_str!("command/wrong_operator.txt")) {
        assert!(OPERATOR.contains(from), "OPERATOR does not contain {from}");
        let (code, out, err) = check_config("operator", FULL, &OPERATOR.replacen(from, to, 1));
        assert_eq!((code, out.as_str()), (Some(2), ""), "{from} -> {to}");
        if err != format!("ladderroute: {message}\n") {
            mismatches.push(format!("{from} | {to} | {err}"));
        }
    }
    assert!(
        mismatches.is_empty(),
        "unexpected error texts:\n{}",
        mismatches.join("")
    );
}

#[test]
fn missing_settings_file_is_named() {
    let output = Command::new(env!("CARGO_BIN_EXE_ladderroute"))
        .args(["--config", "/nowhere/settings.toml", "--check-config"])
        .output()
        .unwrap();
    let message = "ladderroute: /nowhere/settings.toml: No such file or directory (os error 2)\n";
    assert_eq!(String::from_utf8_lossy(&output.stderr), message);
    assert_eq!(output.status.code(), Some(2));
    let without_arguments = Command::new(env!("CARGO_BIN_EXE_ladderroute")).output();
    assert_eq!(without_arguments.unwrap().status.code(), Some(2));
}

/// `deploy/service.toml` tells other systems how to build and run this service.
#[test]
fn deployment_file_has_required_fields() {
    let text = include_str!("../../../deploy/service.toml");
    let fields = text.lines().map(|line| line.split_once(" = ").unwrap());
    let fields: Vec<(&str, &str)> = fields.collect();
    let build = ("build", "\"cargo build --release --locked\"");
    let run = ("run", "\"target/release/ladderroute --config\"");
    assert_eq!(fields[..2], [build, run]);
    assert_eq!((fields.len(), fields[2].0), (3, "production"));
}
