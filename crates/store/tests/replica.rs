//! Tests the replica with changes that arrive late, twice, or in any order.

mod fixtures;

use fixtures::{binding, changes, dropped, item, job_record, progress, put, roster};
use std::collections::BTreeSet;
use store::replica::Replica;
use wire::store::{Page, Recorded};

/// Two requests can return the same changes. The older response must not undo the newer one.
#[test]
fn an_older_response_does_not_undo_a_newer_one() {
    let mut replica = Replica::default();
    let page = roster(&["host-1", "host-2"]);
    let newer = changes(
        5,
        [
            put("lr/roster/0", page.clone(), 3),
            dropped("lr/roster/0", 5),
        ],
    );
    let older = changes(3, [put("lr/roster/0", page, 3)]);
    replica.apply(&newer);
    replica.apply(&older);
    assert!(replica.roster.machines().is_empty());
    assert_eq!(replica.revision, 5);
}

/// A job's record that is read directly may be older than the changes that were applied, or arrive
/// twice.
#[test]
fn an_older_record_does_not_reopen_a_terminal_job() {
    let mut replica = Replica::default();
    let open = || wire::store::from_value(&job_record(Recorded::Open, 9)).unwrap();
    replica.apply(&changes(
        4,
        [put("lr/job/wk-1", job_record(Recorded::Done, 9), 4)],
    ));
    for version in [2, 4, 6] {
        replica.put_job("wk-1", open(), version);
        let entry = replica.jobs.get("wk-1").unwrap();
        assert_eq!((entry.state, entry.version), (Recorded::Done, 4));
        assert_eq!((entry.done_tasks(), entry.job.is_none()), (9, true));
    }
}

/// A binding with fewer chunks leaves chunks of an older attempt behind, which must be ignored.
#[test]
fn only_the_newest_binding_counts() {
    let mut replica = Replica::default();
    replica.apply(&changes(
        2,
        [
            put("lr/binding/wk-1/0", binding(7, "host-1"), 1),
            put("lr/binding/wk-1/1", binding(7, "host-2"), 2),
        ],
    ));
    assert_eq!(replica.bound_machines("wk-1").map(|m| m.len()), Some(2));
    replica.apply(&changes(
        3,
        [put("lr/binding/wk-1/0", binding(9, "host-3"), 3)],
    ));
    assert_eq!(
        replica.bound_machines("wk-1"),
        Some(BTreeSet::from(["host-3".to_string()]))
    );
    assert_eq!(replica.bound_machines("wk-2"), None);
}

/// Progress may be loaded before its job's record, depending on the order of the keys.
#[test]
fn progress_loaded_before_its_job_is_kept() {
    let page = Page {
        items: vec![
            item("lr/progress/0", progress(&[(0, "0501")], &[]), 4),
            item("lr/job/wk-1", job_record(Recorded::Open, 9), 2),
        ],
        more: false,
        revision: 6,
    };
    let replica = Replica::from_first_page(0, &page);
    let entry = replica.jobs.get("wk-1").unwrap();
    assert_eq!(
        (entry.done_tasks(), entry.state, replica.revision),
        (3, Recorded::Open, 6)
    );
}

/// While a page is split, a machine may be on two pages. It must stay on the roster until the last
/// of them is gone, in whichever order the pages arrive.
#[test]
fn a_machine_on_two_pages_stays_until_it_is_on_none() {
    for order in [[0, 1], [1, 0]] {
        let mut replica = Replica::default();
        replica.apply(&changes(
            1,
            [put("lr/roster/0", roster(&["host-1", "host-2"]), 1)],
        ));
        let split = [
            put("lr/roster/0", roster(&["host-1"]), 2),
            put("lr/roster/5", roster(&["host-2"]), 2),
        ];
        replica.apply(&changes(2, order.map(|i: usize| split[i].clone())));
        assert_eq!(replica.roster.machines().len(), 2, "{order:?}");
        replica.apply(&changes(3, [dropped("lr/roster/5", 3)]));
        assert_eq!(
            replica.roster.machines().keys().collect::<Vec<_>>(),
            ["host-1"]
        );
    }
}

/// Bitmaps that begin at different tasks, written under different limits, must be merged. A chunk
/// that version 0.1 wrote begins at the task whose number is the chunk's number times the chunk
/// size, which followed from the settings.
#[test]
fn progress_written_with_different_limits_is_joined() {
    let mut replica = Replica::new(16);
    replica.apply(&changes(
        4,
        [
            put("lr/job/wk-1", job_record(Recorded::Open, 100), 1),
            put(
                "lr/progress/0",
                progress(&[(0, "0100"), (2, "8000")], &[]),
                2,
            ),
            put(
                "lr/progress/1",
                progress(&[(0, "03")], &[(32, "c0"), (40, "01")]),
                3,
            ),
            // No job has that many tasks: the record is damaged, or another service has written it.
            put(
                "lr/progress/2",
                progress(&[(u32::MAX, "ff")], &[(200_000, "ff")]),
                4,
            ),
        ],
    ));
    // Tasks 0, 1, 38, 39 and 40.
    let entry = replica.jobs.get("wk-1").unwrap();
    assert_eq!(entry.progress.bytes(), [0x03, 0, 0, 0, 0xc0, 0x01]);
    assert_eq!(entry.done_tasks(), 5);
}
