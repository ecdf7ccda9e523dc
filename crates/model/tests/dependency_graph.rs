//! The dependency graph compared with a reference model that is recomputed from scratch.

use model::world::job;
use sched::dependencies::{DependencyGraph, DependencyState, Effect};
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Job, Priority, Shape};

/// The reference model: the job records of the store, from which all else is derived on demand.
#[derive(Default)]
struct ReferenceModel {
    jobs: BTreeMap<String, (Job, DependencyState)>,
}

impl ReferenceModel {
    fn record(&self, id: &str) -> Option<DependencyState> {
        self.jobs.get(id).map(|(_, record)| *record)
    }

    fn dependencies(&self, id: &str) -> impl Iterator<Item = &String> {
        self.jobs
            .get(id)
            .into_iter()
            .flat_map(|(job, _)| &job.dependencies)
    }

    /// Whether the job is cancelled by its own record or by that of any ancestor.
    fn is_cancelled(&self, id: &str) -> bool {
        match self.record(id) {
            Some(DependencyState::Done) | None => false,
            Some(DependencyState::Cancelled) => true,
            Some(DependencyState::Open(_)) => self
                .dependencies(id)
                .any(|dependency| self.is_cancelled(dependency)),
        }
    }

    fn is_open(&self, id: &str) -> bool {
        matches!(self.record(id), Some(DependencyState::Open(_))) && !self.is_cancelled(id)
    }

    fn is_blocked(&self, id: &str) -> bool {
        self.dependencies(id)
            .any(|dependency| self.record(dependency) != Some(DependencyState::Done))
    }

    /// The most urgent priority among the job's own and those of its open descendants.
    fn priority(&self, id: &str) -> Priority {
        let own = self.jobs[id].0.priority;
        let dependents = self.jobs.keys().filter(|other| {
            self.is_open(other) && self.dependencies(other).any(|dependency| dependency == id)
        });
        dependents
            .map(|d| self.priority(d))
            .fold(own, Priority::min)
    }

    fn open_jobs(&self) -> BTreeSet<String> {
        self.jobs
            .keys()
            .filter(|id| self.is_open(id))
            .cloned()
            .collect()
    }
}

/// A controller's view, which applies the effects of the graph as a leader would.
#[derive(Default)]
struct ControllerView {
    graph: DependencyGraph,
    cancelled: BTreeSet<String>,
    runnable: BTreeSet<String>,
    priorities: BTreeMap<String, Priority>,
}

impl ControllerView {
    /// The state of a job as this controller sees it: a job is cancelled also if only the
    /// cancellation of a dependency implies it.
    fn record(&self, reference: &ReferenceModel, id: &str) -> Option<DependencyState> {
        if self.cancelled.contains(id) {
            return Some(DependencyState::Cancelled);
        }
        reference.record(id)
    }

    fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Unblocked(id) => {
                    assert!(self.runnable.insert(id.clone()), "{id} was unblocked twice");
                }
                Effect::Cancelled(id) => {
                    assert!(
                        !self.runnable.contains(&id),
                        "{id} is cancelled after it became runnable"
                    );
                    self.cancelled.insert(id);
                }
                Effect::Reprioritized(id, priority) => {
                    self.priorities.insert(id, priority);
                }
            }
        }
    }

    fn update(&mut self, reference: &ReferenceModel, id: &str) {
        let (job, record) = &reference.jobs[id];
        let effects = match record {
            DependencyState::Open(_) if self.cancelled.contains(id) => Vec::new(),
            DependencyState::Open(_) => {
                let mut graph = std::mem::take(&mut self.graph);
                let effects = graph.on_accepted(job, |other| self.record(reference, other));
                self.graph = graph;
                effects
            }
            DependencyState::Done => self.graph.on_done(id),
            DependencyState::Cancelled => self.graph.on_cancelled(id),
        };
        self.apply(effects);
        if matches!(record, DependencyState::Open(_))
            && !self.cancelled.contains(id)
            && !self.graph.is_blocked(id)
        {
            self.runnable.insert(id.into());
        }
    }

    /// The view of a controller that has just read all records, in the order of their keys.
    fn from_all_records(reference: &ReferenceModel) -> ControllerView {
        let mut view = ControllerView::default();
        for id in reference.jobs.keys() {
            view.update(reference, id);
        }
        // A controller looks for runnable jobs only after it has read all records.
        view.runnable = reference
            .open_jobs()
            .into_iter()
            .filter(|id| !view.graph.is_blocked(id))
            .collect();
        view
    }

    fn assert_matches(&self, reference: &ReferenceModel) {
        for id in reference.jobs.keys() {
            let derived = self.record(reference, id) == Some(DependencyState::Cancelled);
            assert_eq!(
                derived,
                reference.is_cancelled(id),
                "whether {id} is cancelled"
            );
        }
        for id in reference.open_jobs() {
            assert_eq!(
                self.graph.is_blocked(&id),
                reference.is_blocked(&id),
                "whether {id} is blocked"
            );
            assert_eq!(
                self.runnable.contains(&id),
                !reference.is_blocked(&id),
                "whether {id} is runnable"
            );
            let own = reference.jobs[&id].0.priority;
            assert_eq!(
                self.graph.priority(&id, own),
                reference.priority(&id),
                "priority of {id}"
            );
        }
    }
}

const PRIORITIES: [Priority; 4] = [
    Priority::Prod,
    Priority::High,
    Priority::Standard,
    Priority::BestEffort,
];

/// Adds a job that depends on up to four earlier ones, whatever their state; returns its id.
fn submit_random_job(
    rng: &mut fastrand::Rng,
    reference: &mut ReferenceModel,
    number: u32,
) -> String {
    let earlier_jobs: Vec<String> = reference.jobs.keys().cloned().collect();
    let mut job = job(number, "red", Shape::Array, 1, 1.0);
    // Random ids, so that a page of records may list dependents before their dependencies.
    job.id = format!("wk-{:03}-{number}", rng.u32(0..1000));
    job.priority = PRIORITIES[rng.usize(0..PRIORITIES.len())];
    let count = if earlier_jobs.is_empty() {
        0
    } else {
        rng.usize(0..5)
    };
    let names: BTreeSet<String> = (0..count)
        .map(|_| earlier_jobs[rng.usize(0..earlier_jobs.len())].clone())
        .collect();
    job.dependencies = names.into_iter().collect();
    let id = job.id.clone();
    let record = DependencyState::Open(job.priority);
    reference.jobs.insert(id.clone(), (job, record));
    id
}

/// Ends a random open job and returns its id. A job that nothing blocks becomes done or cancelled;
/// a blocked one becomes cancelled or is left open. Returns `None` if no job was ended.
fn end_random_job(rng: &mut fastrand::Rng, reference: &mut ReferenceModel) -> Option<String> {
    let open: Vec<String> = reference.open_jobs().into_iter().collect();
    let id = open.get(rng.usize(0..open.len().max(1)))?.clone();
    let record = if reference.is_blocked(&id) || rng.u32(0..4) == 0 {
        // Most blocked jobs stay open, as otherwise few chains would grow long.
        if reference.is_blocked(&id) && rng.u32(0..4) > 0 {
            return None;
        }
        DependencyState::Cancelled
    } else {
        DependencyState::Done
    };
    reference.jobs.get_mut(&id)?.1 = record;
    Some(id)
}

#[test]
fn graph_agrees_with_reference_model() {
    let (mut cancelled, mut unblocked, mut reprioritized) = (0, 0, 0);
    for seed in 0..2000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut reference, mut view) = (ReferenceModel::default(), ControllerView::default());
        for number in 0..24 {
            let changed = if rng.u32(0..3) > 0 {
                Some(submit_random_job(&mut rng, &mut reference, number))
            } else {
                end_random_job(&mut rng, &mut reference)
            };
            let Some(id) = changed else { continue };
            view.update(&reference, &id);
            // The same record may be read twice.
            view.update(&reference, &id);
            view.assert_matches(&reference);
        }
        ControllerView::from_all_records(&reference).assert_matches(&reference);
        cancelled += view.cancelled.len();
        unblocked += view
            .runnable
            .iter()
            .filter(|id| reference.dependencies(id).count() > 0)
            .count();
        reprioritized += view.priorities.len();
    }
    // Each kind of effect occurred often enough.
    assert!(
        cancelled > 2000 && unblocked > 500 && reprioritized > 2000,
        "effects: {cancelled} cancelled, {unblocked} unblocked, {reprioritized} reprioritized"
    );
}

/// A controller that answers a repeated submission may read the job's record before those of its
/// dependencies.
#[test]
fn unknown_dependency_blocks_until_its_record_is_read() {
    let record = |known: Option<DependencyState>| move |_: &str| known;
    let mut dependency = job(1, "red", Shape::Array, 1, 1.0);
    dependency.priority = Priority::Standard;
    let mut dependent = job(2, "red", Shape::Array, 1, 1.0);
    dependent.dependencies = vec![dependency.id.clone()];
    for outcome in ["open", "done", "cancelled"] {
        let mut graph = DependencyGraph::default();
        graph.on_accepted(&dependent, record(None));
        assert!(graph.is_blocked(&dependent.id));
        match outcome {
            "open" => {
                assert!(graph.on_accepted(&dependency, record(None)).is_empty());
                assert!(!graph.is_blocked(&dependency.id));
                assert!(graph.is_blocked(&dependent.id));
            }
            "done" => {
                let unblocked = Effect::Unblocked(dependent.id.clone());
                assert_eq!(graph.on_done(&dependency.id), [unblocked]);
                assert!(graph.is_empty());
            }
            _ => {
                let cancelled = Effect::Cancelled(dependent.id.clone());
                assert_eq!(graph.on_cancelled(&dependency.id), [cancelled]);
                assert!(graph.is_empty());
            }
        }
    }
}

/// Chains may be long, and many jobs may depend on one: an update visits only the edges it affects,
/// and nothing recurses over the depth of a chain.
#[test]
fn long_chains_and_many_dependents() {
    const LENGTH: u32 = 20_000;
    let open = |_: &str| Some(DependencyState::Open(Priority::BestEffort));
    let mut graph = DependencyGraph::default();
    for number in 1..LENGTH {
        let mut next = job(number, "red", Shape::Array, 1, 1.0);
        next.priority = Priority::BestEffort;
        next.dependencies = vec![job(number - 1, "red", Shape::Array, 1, 1.0).id];
        graph.on_accepted(&next, open);
    }
    let mut last = job(LENGTH, "red", Shape::Array, 1, 1.0);
    last.priority = Priority::Prod;
    last.dependencies = vec![job(LENGTH - 1, "red", Shape::Array, 1, 1.0).id];
    let first = job(0, "red", Shape::Array, 1, 1.0).id;
    assert_eq!(graph.on_accepted(&last, open).len() as u32, LENGTH);
    assert_eq!(graph.priority(&first, Priority::BestEffort), Priority::Prod);
    assert_eq!(graph.on_cancelled(&first).len() as u32, LENGTH);
    assert!(graph.is_empty());
    for number in 1..LENGTH {
        let mut next = job(number, "red", Shape::Array, 1, 1.0);
        next.dependencies = vec![first.clone()];
        graph.on_accepted(&next, open);
    }
    assert_eq!(graph.on_done(&first).len() as u32, LENGTH - 1);
    assert!(graph.is_empty());
}
