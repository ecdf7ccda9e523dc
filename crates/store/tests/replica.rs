//! What a controller's copy of the keys makes of changes.

use std::collections::BTreeSet;
use store::replica::Replica;
use wire::store::{to_value, Change, Item};
use wire::store::{
    BindingRecord, Changes, JobRecord, Page, ProgressPage, Recorded, RosterPage, RosterRecord,
    Value,
};

fn put(key: &str, value: Value, version: u64) -> Change {
    Change {
        put: Some(key.into()),
        dropped: None,
        value: Some(value),
        version,
    }
}

fn dropped(key: &str, version: u64) -> Change {
    Change {
        put: None,
        dropped: Some(key.into()),
        value: None,
        version,
    }
}

fn binding(attempt: u64, machine: &str) -> Value {
    to_value(&BindingRecord {
        attempt,
        places: vec![(machine.into(), 0, 1)],
    })
}

fn array(tasks: u32) -> wire::users::Job {
    wire::users::Job {
        id: "wk-1".into(),
        class: "c".into(),
        team: "t".into(),
        shape: wire::users::Shape::Array,
        priority: wire::users::Priority::Standard,
        tasks,
        cpus: 1.0,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i".into(),
        image_gb: 1.0,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate_s: 1.0,
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

/// Two requests can bring the same changes; the older answer must not undo the newer one.
#[test]
fn an_older_answer_does_not_undo_a_newer_one() {
    let mut r = Replica::default();
    let record = RosterRecord {
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    let page = to_value(&RosterPage {
        groups: vec![(record, vec!["host-1".into(), "host-2".into()])],
    });
    let newer = Changes {
        revision: 5,
        changes: vec![
            put("lr/roster/0", page.clone(), 3),
            dropped("lr/roster/0", 5),
        ],
    };
    let older = Changes {
        revision: 3,
        changes: vec![put("lr/roster/0", page, 3)],
    };
    r.apply(&newer);
    r.apply(&older);
    assert!(r.roster.machines().is_empty());
    assert_eq!(r.revision, 5);
}

/// A shorter binding leaves records of a longer, older one behind: those don't count.
#[test]
fn only_the_newest_binding_counts() {
    let mut r = Replica::default();
    r.apply(&Changes {
        revision: 2,
        changes: vec![
            put("lr/binding/wk-1/0", binding(7, "host-1"), 1),
            put("lr/binding/wk-1/1", binding(7, "host-2"), 2),
        ],
    });
    assert_eq!(r.bound_machines("wk-1").map(|m| m.len()), Some(2));
    r.apply(&Changes {
        revision: 3,
        changes: vec![put("lr/binding/wk-1/0", binding(9, "host-3"), 3)],
    });
    assert_eq!(
        r.bound_machines("wk-1"),
        Some(BTreeSet::from(["host-3".to_string()]))
    );
    assert_eq!(r.bound_machines("wk-2"), None);
}

/// Progress may be loaded before its job's record, which sorts after it or not.
#[test]
fn progress_that_came_first_is_not_lost() {
    let job = array(9);
    let page = ProgressPage {
        chunks: vec![("wk-1".into(), 0, "0501".into())],
        sections: Vec::new(),
    };
    let progress = Item {
        key: "lr/progress/0".into(),
        value: to_value(&page),
        version: 4,
    };
    let record = JobRecord {
        state: Recorded::Open,
        created_ms: 0,
        job,
    };
    let record = Item {
        key: "lr/job/wk-1".into(),
        value: to_value(&record),
        version: 2,
    };
    let page = Page {
        items: vec![progress, record],
        more: false,
        revision: 6,
    };
    let r = Replica::from_first_page(0, &page);
    let entry = r.jobs.get("wk-1").unwrap();
    assert_eq!(
        (entry.done_tasks(), entry.state, r.revision),
        (3, Recorded::Open, 6)
    );
}

fn roster(machines: &[&str]) -> Value {
    let record = RosterRecord {
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    let names = machines.iter().map(|m| m.to_string()).collect();
    to_value(&RosterPage {
        groups: vec![(record, names)],
    })
}

/// While a page is split, a machine may stand on two: it is on the roster until the last is gone, in
/// whichever order the pages come.
#[test]
fn a_machine_on_two_pages_stays_until_it_is_on_none() {
    for order in [[0, 1], [1, 0]] {
        let mut r = Replica::default();
        r.apply(&Changes {
            revision: 1,
            changes: vec![put("lr/roster/0", roster(&["host-1", "host-2"]), 1)],
        });
        let split = [
            put("lr/roster/0", roster(&["host-1"]), 2),
            put("lr/roster/5", roster(&["host-2"]), 2),
        ];
        r.apply(&Changes {
            revision: 2,
            changes: order.map(|i: usize| split[i].clone()).into(),
        });
        assert_eq!(r.roster.machines().len(), 2, "{order:?}");
        r.apply(&Changes {
            revision: 3,
            changes: vec![dropped("lr/roster/5", 3)],
        });
        assert_eq!(r.roster.machines().keys().collect::<Vec<_>>(), ["host-1"]);
    }
}

/// Bitmaps that begin at different tasks, written with different limits, are joined; chunks of version
/// 0.1 begin at their number times the size that the settings gave them.
#[test]
fn progress_written_with_different_limits_is_joined() {
    let mut r = Replica::new(16);
    let record = JobRecord {
        state: Recorded::Open,
        created_ms: 0,
        job: array(100),
    };
    let page = |chunks: &[(u32, &str)], sections: &[(u32, &str)]| {
        let entry = |(n, bits): &(u32, &str)| ("wk-1".to_string(), *n, bits.to_string());
        to_value(&ProgressPage {
            chunks: chunks.iter().map(entry).collect(),
            sections: sections.iter().map(entry).collect(),
        })
    };
    r.apply(&Changes {
        revision: 4,
        changes: vec![
            put("lr/job/wk-1", to_value(&record), 1),
            put("lr/progress/0", page(&[(0, "0100"), (2, "8000")], &[]), 2),
            put(
                "lr/progress/1",
                page(&[(0, "03")], &[(32, "c0"), (40, "01")]),
                3,
            ),
            // Of another service, or damaged: no job has so many tasks.
            put(
                "lr/progress/2",
                page(&[(u32::MAX, "ff")], &[(200_000, "ff")]),
                4,
            ),
        ],
    });
    // Tasks 0 and 1, 39 and 38, 40.
    let entry = r.jobs.get("wk-1").unwrap();
    assert_eq!(entry.progress.bytes(), [0x03, 0, 0, 0, 0xc0, 0x01]);
    assert_eq!(entry.done_tasks(), 5);
}
