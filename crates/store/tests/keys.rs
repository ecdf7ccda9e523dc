//! The names of the keys, as they stand in the state service.

use store::keys::{
    binding, job, progress, roster, Kind, ALL, BINDING, JOBS, LEADER, PROGRESS, ROSTER,
    STARTED_ARRAYS, TERM,
};

#[test]
fn keys_have_the_names_that_the_state_service_holds() {
    let fixed = [
        ALL,
        LEADER,
        TERM,
        JOBS,
        PROGRESS,
        ROSTER,
        BINDING,
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
fn keys_are_told_apart_by_their_names() {
    for (key, kind) in [
        ("lr/leader", Kind::Leader),
        ("lr/term", Kind::Term),
        ("lr/job/wk-000412", Kind::Job),
        ("lr/progress/12", Kind::Progress),
        ("lr/roster/0", Kind::Roster),
        ("lr/binding/wk-000412/3", Kind::Binding),
        ("lr/begun", Kind::StartRecord),
        ("lr/begun/1", Kind::Other),
        ("lr/", Kind::Other),
        ("other/job/wk-000412", Kind::Other),
    ] {
        assert_eq!(Kind::of(key), kind, "{key}");
    }
}
