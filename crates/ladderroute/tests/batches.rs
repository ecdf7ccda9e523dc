//! How the leader groups its writes into transactions (batches), and in which order it sends them.

use ladderroute::writer::batch::{next_batch, Batch};
use ladderroute::writer::limits::TxnLimits;
use ladderroute::writer::pages::RecordPages;
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader};
use std::collections::{BTreeMap, VecDeque};
use store::replica::Replica;
use wire::store::{
    to_value, value_bytes, BindingRecord, Change, Changes, JobRecord, ProgressPage, Recorded,
    RosterPage, RosterRecord, StartedArraysRecord, Value, Write,
};
use wire::users::{Job, Priority, Shape};

const LIMITS: TxnLimits = TxnLimits {
    max_writes: 4,
    value_kb: 4.0,
};

struct WriterFixture {
    pending: VecDeque<Action>,
    records: RecordPages,
    replica: Replica,
    leader: Leader,
    limits: TxnLimits,
}

impl WriterFixture {
    /// Returns the writer of a leader that takes over the stored records, with the given limits.
    fn after_takeover(stored: Replica, limits: TxnLimits) -> WriterFixture {
        let mut fixture = WriterFixture::new([]);
        fixture.records = RecordPages::load(&stored, limits.value_kb);
        fixture.replica = stored;
        fixture.limits = limits;
        fixture
    }

    fn new(pending: impl IntoIterator<Item = Action>) -> WriterFixture {
        let config = SchedulerConfig {
            teams: BTreeMap::new(),
            heartbeat_s: 1.0,
            lease_s: 10.0,
            cancel_s: 30.0,
            list_lag_s: 5.0,
            reservation_s: 10.0,
            leader_lease_s: 4.0,
            guarantee_s: 5.0,
            wait_s: BTreeMap::new(),
            max_wait_share: 0.3,
            idle_retention_boots: 1.0,
        };
        let replica = Replica::default();
        let roster = BTreeMap::new();
        WriterFixture {
            pending: pending.into_iter().collect(),
            records: RecordPages::load(&replica, LIMITS.value_kb),
            leader: Leader::new(
                "rung-0",
                config,
                1,
                1,
                LIMITS.value_kb,
                vec![],
                &roster,
                0,
                0.0,
            ),
            replica,
            limits: LIMITS,
        }
    }

    fn add_job(&mut self, id: &str) {
        let job = Job {
            id: id.into(),
            class: "any".into(),
            team: "core".into(),
            shape: Shape::Array,
            priority: Priority::Standard,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "img".into(),
            image_gb: 0.5,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: true,
            estimate_s: 3.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies: Vec::new(),
        };
        let (state, created_ms) = (Recorded::Open, 0);
        let record = JobRecord {
            state,
            created_ms,
            job,
        };
        self.replica.put_job(id, record, 5);
    }

    fn next_batch(&mut self) -> Batch {
        next_batch(
            &mut self.pending,
            &mut self.records,
            &self.replica,
            &mut self.leader,
            self.limits,
        )
    }
}

fn add_machine(name: &str) -> Action {
    let (kind, zone) = ("small".to_string(), "a".to_string());
    let record = RosterRecord {
        kind,
        zone,
        spot: false,
    };
    Action::UpdateRoster(name.into(), Some(record))
}

fn record_progress(job: &str) -> Action {
    let (job, bits) = (job.to_string(), "80".to_string());
    Action::RecordProgress {
        job,
        first_task: 0,
        bits,
    }
}

fn binding(job: &str, machines: usize) -> Action {
    let places = (0..machines)
        .map(|i| (format!("host-{i}"), i as u32, 1))
        .collect();
    Action::Bind {
        job: job.into(),
        attempt: 7,
        places,
    }
}

fn finish(job: &str) -> Action {
    Action::FinishJob { job: job.into() }
}

fn started_arrays() -> Action {
    Action::RecordStartedArrays(StartedArraysRecord {
        upto: 3,
        waiting: vec![],
    })
}

/// A new fencing token is durable before any decision made under it.
#[test]
fn new_token_is_written_alone_and_first() {
    let mut fixture = WriterFixture::new([
        add_machine("host-1"),
        Action::IssueToken,
        binding("wk-000001", 1),
    ]);
    let batch = fixture.next_batch();
    assert!(batch.issues_token());
    assert_eq!((batch.actions.len(), batch.writes.len()), (1, 0));
    assert_eq!(fixture.pending.len(), 2);
}

/// Bindings (placements of gangs) are written before the roster of machines, and both before the progress of
/// jobs; machines share a roster page.
#[test]
fn urgent_writes_first_and_machines_share_page() {
    let mut fixture = WriterFixture::new([
        record_progress("wk-000002"),
        add_machine("host-1"),
        add_machine("host-2"),
        started_arrays(),
        binding("wk-000001", 1),
    ]);
    let batch = fixture.next_batch();
    assert_eq!(batch.actions[0], binding("wk-000001", 1));
    assert_eq!(batch.actions.last(), Some(&record_progress("wk-000002")));
    // The writes are the binding, the started arrays, a roster page and a progress page; each has a
    // condition.
    assert_eq!((batch.writes.len(), batch.conditions.len()), (4, 4));
    assert!(fixture.pending.is_empty());
    assert_eq!(
        fixture.next_batch().roster_pages,
        batch.roster_pages,
        "a page stays dirty until its write is confirmed"
    );
    fixture
        .records
        .mark_written(&batch.roster_pages, &batch.progress_pages);
    assert!(fixture.next_batch().is_empty());
}

/// A binding that does not fit into the transaction waits, and nothing less urgent overtakes it.
#[test]
fn binding_that_does_not_fit_is_deferred_whole() {
    let long = 3 * 64;
    let mut fixture = WriterFixture::new([
        binding("wk-000001", long),
        binding("wk-000002", long),
        started_arrays(),
    ]);
    let batch = fixture.next_batch();
    assert_eq!(batch.actions, [binding("wk-000001", long)]);
    assert_eq!(batch.writes.len(), 3, "three records of 64 places each");
    assert_eq!(
        fixture.pending,
        [binding("wk-000002", long), started_arrays()]
    );
}

/// Writes that end jobs have conditions that may fail, so they share no transaction with other writes.
#[test]
fn job_ends_are_written_in_their_own_transaction() {
    let mut fixture = WriterFixture::new([
        finish("wk-000001"),
        finish("wk-000009"),
        record_progress("wk-000003"),
        finish("wk-000002"),
    ]);
    fixture.add_job("wk-000001");
    fixture.add_job("wk-000002");
    let batch = fixture.next_batch();
    // There is nothing to write for wk-000009, which is not in the replica.
    assert_eq!(batch.actions, [finish("wk-000001"), finish("wk-000002")]);
    assert!(batch.conditions.iter().all(|c| c.version == 5));
    assert_eq!(fixture.pending, [record_progress("wk-000003")]);
    assert_eq!(fixture.next_batch().actions, [record_progress("wk-000003")]);
}

const LOWER_LIMITS: TxnLimits = TxnLimits {
    max_writes: 4,
    value_kb: 2.0,
};

fn put_change(key: &str, value: Value) -> Change {
    Change {
        written_key: Some(key.into()),
        deleted_key: None,
        value: Some(value),
        version: 1,
    }
}

/// Returns a roster page that an earlier leader filled up to a larger value limit.
fn full_roster_page() -> RosterPage {
    let record = RosterRecord {
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    let names = (0..55).map(|n| format!("host-{n:06}")).collect();
    RosterPage {
        groups: vec![(record, names)],
    }
}

fn machines_in(write: &Write) -> Vec<String> {
    let Write::Put { value, .. } = write else {
        return Vec::new();
    };
    let page: RosterPage = wire::store::from_value(value).unwrap_or_default();
    page.groups
        .into_iter()
        .flat_map(|(_, names)| names)
        .collect()
}

fn assert_within_limits(batch: &Batch, limits: TxnLimits) {
    assert!(batch.writes.len() <= limits.max_writes);
    assert!(batch.conditions.len() < limits.max_writes * 4);
    for write in &batch.writes {
        if let Write::Put { key, value, .. } = write {
            let bytes = value_bytes(value);
            assert!(
                bytes as f64 <= limits.value_kb * 1024.0,
                "the value of {key} has {bytes} bytes"
            );
        }
    }
}

/// A page that was filled up to a larger limit is split in one transaction, so that no machine is ever
/// missing from the roster. It is not split before it has to be written.
#[test]
fn oversized_page_is_split_in_one_transaction() {
    let mut stored = Replica::new(8192);
    stored.apply(&Changes {
        revision: 1,
        changes: vec![put_change("lr/roster/0", to_value(&full_roster_page()))],
    });
    let mut fixture = WriterFixture::after_takeover(stored, LOWER_LIMITS);
    assert!(
        fixture.next_batch().is_empty(),
        "taking over writes nothing"
    );
    fixture
        .pending
        .push_back(Action::UpdateRoster("host-000007".into(), None));
    let batch = fixture.next_batch();
    assert_within_limits(&batch, LOWER_LIMITS);
    let mut machines: Vec<String> = batch.writes.iter().flat_map(machines_in).collect();
    machines.sort();
    assert_eq!(machines.len(), 54);
    assert!(!machines.contains(&"host-000007".to_string()));
    assert_eq!(batch.roster_pages[0], 0);
    assert!(batch
        .conditions
        .iter()
        .any(|c| c.key == "lr/roster/0" && c.version == 1));
    fixture
        .records
        .mark_written(&batch.roster_pages, &batch.progress_pages);
    assert!(fixture.next_batch().is_empty());
}

/// If a transaction can't hold all pages of a split, the new pages with copies of the moved machines are
/// written first and the original page last, so that every machine stays on the roster at each step.
#[test]
fn multi_transaction_split_keeps_every_machine() {
    let tiny_limits = TxnLimits {
        max_writes: 1,
        value_kb: 1.0,
    };
    let mut stored = Replica::new(8192);
    let page = put_change("lr/roster/0", to_value(&full_roster_page()));
    stored.apply(&Changes {
        revision: 1,
        changes: vec![page],
    });
    let mut fixture = WriterFixture::after_takeover(stored, tiny_limits);
    fixture.pending.push_back(add_machine("host-000003"));
    for step in 2..12 {
        let batch = fixture.next_batch();
        if batch.is_empty() {
            break;
        }
        assert_within_limits(&batch, tiny_limits);
        let changes = batch.writes.iter().map(|write| match write {
            Write::Put { key, value, .. } => put_change(key, value.clone()),
            Write::Delete { .. } => panic!("a split deletes no keys"),
        });
        fixture.replica.apply(&Changes {
            revision: step,
            changes: changes.map(|c| Change { version: step, ..c }).collect(),
        });
        assert_eq!(fixture.replica.roster.machines().len(), 55, "step {step}");
        fixture
            .records
            .mark_written(&batch.roster_pages, &batch.progress_pages);
    }
    assert!(fixture.pending.is_empty() && fixture.next_batch().is_empty());
    assert!(fixture.replica.roster.pages().len() > 3);
}

/// In version 0.1, a chunk of progress began at its number multiplied by a size that depended on the
/// settings. Such chunks are rewritten as bitmaps that each state their first task and fit the smaller value
/// limit.
#[test]
fn progress_of_the_old_layout_is_rewritten() {
    let mut stored = Replica::new(8192);
    let full = "ff".repeat(1024);
    let page = ProgressPage {
        chunks: vec![("wk-000001".into(), 1, full)],
        sections: Vec::new(),
    };
    stored.apply(&Changes {
        revision: 1,
        changes: vec![put_change("lr/progress/0", to_value(&page))],
    });
    let mut fixture = WriterFixture::after_takeover(stored, LOWER_LIMITS);
    fixture.add_job("wk-000001");
    let records = [8192, 12_288].map(|first_task| Action::RecordProgress {
        job: "wk-000001".into(),
        first_task,
        bits: "ff".repeat(512),
    });
    fixture.pending.extend(records);
    let mut sections = Vec::new();
    for _ in 0..3 {
        let batch = fixture.next_batch();
        assert_within_limits(&batch, LOWER_LIMITS);
        for write in &batch.writes {
            if let Write::Put { value, .. } = write {
                let page: ProgressPage = wire::store::from_value(value).unwrap();
                assert!(page.chunks.is_empty());
                sections.extend(
                    page.sections
                        .into_iter()
                        .map(|(_, first, bits)| (first, bits.len())),
                );
            }
        }
        fixture
            .records
            .mark_written(&batch.roster_pages, &batch.progress_pages);
    }
    sections.sort_unstable();
    assert_eq!(sections, [(8192, 1024), (12_288, 1024)]);
}

/// The binding of a gang to more machines than fit into one transaction is written in several; the gang
/// starts after the last of them.
#[test]
fn long_binding_is_written_in_parts() {
    let machines = 400;
    let mut fixture = WriterFixture::new([binding("wk-000001", machines), started_arrays()]);
    fixture.limits = LOWER_LIMITS;
    let mut places = 0;
    for _ in 0..3 {
        let batch = fixture.next_batch();
        assert_within_limits(&batch, LOWER_LIMITS);
        assert!(
            batch.actions.is_empty(),
            "the binding counts as written before its last part"
        );
        let part = batch
            .partial_binding
            .expect("the batch should contain a part of the binding");
        assert!(part.places > places);
        // While the outcome of a write is unknown, the same part is written again.
        assert_eq!(fixture.next_batch().partial_binding, Some(part));
        places = part.places;
        fixture
            .records
            .set_bound_places(part.attempt, Some(part.places));
    }
    let batch = fixture.next_batch();
    assert_within_limits(&batch, LOWER_LIMITS);
    assert_eq!(batch.actions[0], binding("wk-000001", machines));
    let last = batch.writes.iter().filter_map(|write| match write {
        Write::Put { value, .. } => wire::store::from_value::<BindingRecord>(value),
        Write::Delete { .. } => None,
    });
    assert_eq!(
        places + last.map(|b| b.places.len()).sum::<usize>(),
        machines
    );
}

/// The store refuses sizes that its announced limits allow. Then transactions get fewer writes until the
/// oversized write is alone, and after that its page gets smaller; all other pending writes proceed
/// meanwhile.
#[test]
fn refused_sizes_shrink_and_block_no_others() {
    let mut limits = TxnLimits {
        max_writes: 12,
        value_kb: 4.0,
    };
    let mut fixture = WriterFixture::new([]);
    fixture
        .pending
        .extend((0..150).map(|n| add_machine(&format!("host-{n:06}"))));
    const ACTUAL_VALUE_BYTES: usize = 512;
    let actual_limits = LOWER_LIMITS;
    let mut refusals = 0;
    for _ in 0..150 {
        fixture.limits = limits;
        let batch = fixture.next_batch();
        if batch.is_empty() {
            break;
        }
        let sizes = batch.writes.iter().map(|write| match write {
            Write::Put { value, .. } => value_bytes(value),
            Write::Delete { .. } => 0,
        });
        let largest = sizes.max().unwrap_or(0);
        let fits = batch.writes.len() <= actual_limits.max_writes && largest <= ACTUAL_VALUE_BYTES;
        if fits {
            fixture
                .records
                .mark_written(&batch.roster_pages, &batch.progress_pages);
        } else {
            refusals += 1;
            limits = limits.lowered(batch.writes.len(), largest);
            fixture.records.lower_value_limit(limits.value_kb);
            fixture.pending.extend(batch.actions);
        }
    }
    assert!(
        (1..8).contains(&refusals),
        "the store refused {refusals} transactions"
    );
    assert!(
        fixture.next_batch().is_empty() && fixture.pending.is_empty(),
        "writes are still pending after 150 batches"
    );
    assert!(limits.max_writes >= 1 && limits.value_kb >= 0.5);
}
