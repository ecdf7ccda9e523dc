//! The platform's settings file: what is accepted, and which field an error names.

use ladderroute::settings::{Settings, Tuning};

/// A valid settings file that contains unknown fields.
const VALID_SETTINGS: &str = r#"
member = "rung-0"
domain = "a"
api_addr = "127.0.0.1:8080"
back = "127.0.0.1:8081"
shoe_size = 43

[[known]]
member = "rung-1"
domain = "a"
endpoint = "127.0.0.2:8081"

[services]
cloud = "127.0.0.9:8443"
state = "127.0.0.9:2379"

[settings]
initial_size = 2

[[settings.teams]]
name = "red"
cpus = 10.0
cpus_max = 20.0

[[settings.objectives]]
kind = "guarantee"
within_s = 7.0
share = 0.9

[settings.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 30.0
gang_peer_s = 5.0
cancel_s = 30.0

[settings.state]
rps = 50.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[settings.cloud]
rps = 4.0
list_lag_s = 8.0

[settings.quota]
cores = 0.1
memory_mb = 64.0
max_sockets = 500
"#;

/// The upcoming limits of the state service may be missing, partial, or higher than the current ones.
#[test]
fn smaller_of_current_and_next_limits_applies() {
    let next = |text: &str| {
        let with_next = VALID_SETTINGS.replace("txn_ops = 12", &format!("txn_ops = 12\n{text}"));
        Settings::parse(&with_next, "f")
    };
    let limits = |text: &str| {
        let limits = next(text).unwrap().params.state.limits();
        (
            limits.rps,
            limits.write_rps,
            limits.value_kb,
            limits.txn_ops,
        )
    };
    assert_eq!(limits(""), (50.0, 20.0, 4.0, 12));
    let partial = "[settings.state.next]\nvalue_kb = 2\ntxn_ops = 4";
    assert_eq!(limits(partial), (50.0, 20.0, 2.0, 4));
    let all = "next = { rps = 40.0, write_rps = 15.5, value_kb = 2.5, txn_ops = 4, more = \"x\" }";
    assert_eq!(limits(all), (40.0, 15.5, 2.5, 4));
    let larger = "next = { rps = 400.0, write_rps = 150, value_kb = 64, txn_ops = 100 }";
    assert_eq!(limits(larger), (50.0, 20.0, 4.0, 12));
    for name in ["rps", "write_rps", "value_kb", "txn_ops"] {
        for invalid in ["0", "-1", "-0.5", "nan", "inf", "\"4\"", "true"] {
            let refused = next(&format!("next = {{ {name} = {invalid} }}")).unwrap_err();
            let field = format!("settings.state.next.{name}");
            assert!(refused.to_string().contains(&field), "{refused}");
        }
    }
    assert!(next("next = 3").is_err());
}

/// When the last one in the file applied instead, gangs with an objective of 100 s waited as if it were 250
/// s.
#[test]
fn shortest_start_objective_of_a_class_applies() {
    let text = format!(
            "{VALID_SETTINGS}\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"x\"\nwithin_s = 100.0\nshare = 0.8\n\n[[settings.objectives]]\nkind = \"wait\"\nclass = \"x\"\nwithin_s = 250.0\nshare = 0.9\n"
        );
    let settings = Settings::parse(&text, "f").unwrap();
    assert_eq!(
        settings
            .scheduler_config(&Tuning::default())
            .wait_s
            .get("x"),
        Some(&100.0)
    );
}

#[test]
fn only_known_fields_are_used() {
    let settings = Settings::parse(VALID_SETTINGS, "f").unwrap();
    let config = settings.scheduler_config(&Tuning::default());
    assert_eq!(
        (
            settings.peers.len(),
            config.guarantee_s,
            config.teams["red"].cpus_max
        ),
        (1, 7.0, 20.0)
    );
}

#[test]
fn invalid_fields_are_named_in_errors() {
    for (from, to, field) in [
        ("member = \"rung-0\"", "", "member"),
        (
            "lease_s = 10.0",
            "lease_s = 1.5",
            "settings.workers.lease_s",
        ),
        ("rps = 50.0", "rps = 0.0", "settings.state.rps"),
        (
            "cpus_max = 20.0",
            "cpus_max = 2.0",
            "settings.teams.cpus of red",
        ),
        ("member = \"rung-1\"", "member = \"rung-0\"", "known.member"),
        ("127.0.0.9:2379", "somewhere", "state"),
    ] {
        let error = Settings::parse(&VALID_SETTINGS.replacen(from, to, 1), "f")
            .unwrap_err()
            .to_string();
        assert!(error.contains(field), "{error} does not name {field}");
    }
}

/// A guest team has neither a guarantee nor a limit: limits of 0 mean unlimited. Such limits were once read
/// as a quota of zero, so that every job of the team was refused as one that can never run. The cause was the
/// sentence "a value of 0 means none", which was taken to mean that the team may use nothing.
#[test]
fn zero_team_limit_means_unlimited() {
    let guest = "cpus = 0.0\ncpus_max = 0.0";
    let settings = Settings::parse(
        &VALID_SETTINGS.replacen("cpus = 10.0\ncpus_max = 20.0", guest, 1),
        "f",
    )
    .unwrap();
    let team = settings.scheduler_config(&Tuning::default()).teams["red"].clone();
    assert_eq!((team.cpus, team.gpus), (0.0, 0.0));
    assert_eq!(
        (team.cpus_max, team.gpus_max),
        (f64::INFINITY, f64::INFINITY)
    );
    // With a limit on CPUs, a GPU limit of 0 means that the team may use no GPUs.
    let team = Settings::parse(VALID_SETTINGS, "f")
        .unwrap()
        .scheduler_config(&Tuning::default())
        .teams["red"]
        .clone();
    assert_eq!((team.cpus_max, team.gpus_max), (20.0, 0.0));
    let negative = Settings::parse(
        &VALID_SETTINGS.replacen("cpus_max = 20.0", "cpus_max = -1.0", 1),
        "f",
    )
    .unwrap_err()
    .to_string();
    assert!(
        negative.contains("settings.teams.cpus_max of red"),
        "{negative}"
    );
}
