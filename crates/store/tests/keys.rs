//! Names of the keys in the state service, which are fixed by stored data.

use store::keys::{
    binding, binding_chunk, job, job_id, progress, progress_page, roster, roster_page, KeyKind,
    ALL_PREFIX, BINDING_PREFIX, JOB_PREFIX, LEADER, PROGRESS_PREFIX, ROSTER_PREFIX, STARTED_ARRAYS,
    TERM,
};

#[test]
fn key_names_are_fixed() {
    let fixed = [
        ALL_PREFIX,
        LEADER,
        TERM,
        JOB_PREFIX,
        PROGRESS_PREFIX,
        ROSTER_PREFIX,
        BINDING_PREFIX,
        STARTED_ARRAYS,
    ];
    let names = [
        "lr/",
        "lr/leader",
        "lr/term",
        "lr/job/",
        "lr/progress/",
        "lr/roster/",
        "lr/binding/",
        "lr/begun",
    ];
    assert_eq!(fixed, names);
    assert_eq!(job("wk-000412"), "lr/job/wk-000412");
    assert_eq!(progress(12), "lr/progress/12");
    assert_eq!(roster(0), "lr/roster/0");
    assert_eq!(binding("wk-000412", 3), "lr/binding/wk-000412/3");
}

#[test]
fn kinds_are_recognized_by_name() {
    for (key, kind) in [
        ("lr/leader", KeyKind::Leader),
        ("lr/term", KeyKind::Term),
        ("lr/job/wk-000412", KeyKind::Job),
        ("lr/progress/12", KeyKind::Progress),
        ("lr/roster/0", KeyKind::Roster),
        ("lr/binding/wk-000412/3", KeyKind::Binding),
        ("lr/begun", KeyKind::StartedArrays),
        ("lr/begun/1", KeyKind::Other),
        ("lr/", KeyKind::Other),
        ("other/job/wk-000412", KeyKind::Other),
    ] {
        assert_eq!(KeyKind::of(key), kind, "{key}");
    }
}

#[test]
fn names_are_parsed_back_into_their_parts() {
    assert_eq!(job_id(&job("wk-000412")), Some("wk-000412"));
    assert_eq!(progress_page(&progress(12)), Some(12));
    assert_eq!(roster_page(&roster(0)), Some(0));
    assert_eq!(binding_chunk(&binding("wk-1/a", 3)), Some(("wk-1/a", 3)));
    for other in ["lr/roster/x", "lr/roster/", "lr/progress/1", "lr/begun"] {
        assert_eq!(roster_page(other), None, "{other}");
    }
    for other in ["lr/binding/wk-1", "lr/binding/wk-1/x", "lr/job/wk-1/3"] {
        assert_eq!(binding_chunk(other), None, "{other}");
    }
}
