//! What the leader writes together, and in which order.

use ladderroute::writer::batch::{next_batch, Batch, TxnLimits};
use ladderroute::writer::RecordPages;
use sched::leader::{Action, Leader};
use sched::setup::Setup;
use std::collections::{BTreeMap, VecDeque};
use store::replica::Replica;
use wire::store::{BegunRecord, JobRecord, Recorded, RosterRecord};
use wire::users::{Job, Priority, Shape};

const LIMITS: TxnLimits = TxnLimits {
    operations: 4,
    value_kb: 4.0,
};

struct Scene {
    waiting: VecDeque<Action>,
    records: RecordPages,
    replica: Replica,
    leader: Leader,
}

impl Scene {
    fn new(waiting: impl IntoIterator<Item = Action>) -> Scene {
        let setup = Setup {
            teams: BTreeMap::new(),
            report_s: 1.0,
            lease_s: 10.0,
            cancel_s: 30.0,
            list_lag_s: 5.0,
            hold_s: 10.0,
            leader_lease_s: 4.0,
            guarantee_s: 5.0,
            wait_s: BTreeMap::new(),
            patience: 0.3,
            keep_boots: 1.0,
        };
        let replica = Replica::default();
        let roster = BTreeMap::new();
        Scene {
            waiting: waiting.into_iter().collect(),
            records: RecordPages::load(&replica, LIMITS.value_kb),
            leader: Leader::new(
                "rung-0",
                setup,
                1,
                1,
                LIMITS.value_kb,
                vec![],
                &roster,
                0,
                0.0,
            ),
            replica,
        }
    }

    fn accept(&mut self, id: &str) {
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

    fn next(&mut self) -> Batch {
        next_batch(
            &mut self.waiting,
            &mut self.records,
            &self.replica,
            &mut self.leader,
            LIMITS,
        )
    }
}

fn machine(name: &str) -> Action {
    let (kind, zone) = ("small".to_string(), "a".to_string());
    let record = RosterRecord {
        kind,
        zone,
        spot: false,
    };
    Action::Roster(name.into(), Some(record))
}

fn progress(job: &str) -> Action {
    let (job, bits) = (job.to_string(), "80".to_string());
    Action::Progress {
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
    Action::Finish { job: job.into() }
}

fn begun() -> Action {
    Action::Begin(BegunRecord {
        upto: 3,
        waiting: vec![],
    })
}

/// A new token is durable before anything that is decided under it.
#[test]
fn a_new_token_goes_alone_and_before_all_else() {
    let mut scene = Scene::new([machine("host-1"), Action::NewToken, binding("wk-000001", 1)]);
    let batch = scene.next();
    assert!(batch.is_token());
    assert_eq!((batch.actions.len(), batch.writes.len()), (1, 0));
    assert_eq!(scene.waiting.len(), 2);
}

/// Bindings go before the roster, both before progress; machines share a page.
#[test]
fn the_most_urgent_go_first_and_entries_share_pages() {
    let mut scene = Scene::new([
        progress("wk-000002"),
        machine("host-1"),
        machine("host-2"),
        begun(),
        binding("wk-000001", 1),
    ]);
    let batch = scene.next();
    assert_eq!(batch.actions[0], binding("wk-000001", 1));
    assert_eq!(batch.actions.last(), Some(&progress("wk-000002")));
    // The binding, what has begun, one page of machines and one of progress, each on a condition.
    assert_eq!((batch.writes.len(), batch.conditions.len()), (4, 4));
    assert!(scene.waiting.is_empty());
    assert_eq!(
        scene.next().roster,
        batch.roster,
        "a page is due until it is known to be written"
    );
    scene.records.written(&batch.roster, &batch.progress);
    assert!(scene.next().is_empty());
}

/// What does not fit waits, and nothing less urgent overtakes it.
#[test]
fn a_binding_that_does_not_fit_waits_whole() {
    let long = 3 * 64;
    let mut scene = Scene::new([
        binding("wk-000001", long),
        binding("wk-000002", long),
        begun(),
    ]);
    let batch = scene.next();
    assert_eq!(batch.actions, [binding("wk-000001", long)]);
    assert_eq!(batch.writes.len(), 3, "three records of 64 places each");
    assert_eq!(scene.waiting, [binding("wk-000002", long), begun()]);
}

/// The ends of jobs have conditions that may fail, so that they share no transaction with the rest.
#[test]
fn ends_of_jobs_go_among_themselves() {
    let mut scene = Scene::new([
        finish("wk-000001"),
        finish("wk-000009"),
        progress("wk-000003"),
        finish("wk-000002"),
    ]);
    scene.accept("wk-000001");
    scene.accept("wk-000002");
    let batch = scene.next();
    // The job that is not known any more has nothing to write.
    assert_eq!(batch.actions, [finish("wk-000001"), finish("wk-000002")]);
    assert!(batch.conditions.iter().all(|c| c.version == 5));
    assert_eq!(scene.waiting, [progress("wk-000003")]);
    assert_eq!(scene.next().actions, [progress("wk-000003")]);
}
