//! The graph of dependencies against a plain model that is recomputed from scratch.

use model::world::job;
use sched::dependencies::{DependencyGraph, DependencyState, Effect};
use std::collections::{BTreeMap, BTreeSet};
use wire::users::{Job, Priority, Shape};

/// The jobs of a plain model: what the store's records say, and nothing else.
#[derive(Default)]
struct Plain {
    jobs: BTreeMap<String, (Job, DependencyState)>,
}

impl Plain {
    fn record(&self, id: &str) -> Option<DependencyState> {
        self.jobs.get(id).map(|(_, record)| *record)
    }

    fn dependencies(&self, id: &str) -> impl Iterator<Item = &String> {
        self.jobs
            .get(id)
            .into_iter()
            .flat_map(|(job, _)| &job.dependencies)
    }

    /// Cancelled by its own record or by that of any ancestor.
    fn is_cancelled(&self, id: &str) -> bool {
        match self.record(id) {
            Some(DependencyState::Done) | None => false,
            Some(DependencyState::Cancelled) => true,
            Some(DependencyState::Open(_)) => self
                .dependencies(id)
                .any(|needed| self.is_cancelled(needed)),
        }
    }

    fn is_open(&self, id: &str) -> bool {
        matches!(self.record(id), Some(DependencyState::Open(_))) && !self.is_cancelled(id)
    }

    fn is_blocked(&self, id: &str) -> bool {
        self.dependencies(id)
            .any(|needed| self.record(needed) != Some(DependencyState::Done))
    }

    /// The most urgent of its own and its open descendants'.
    fn priority(&self, id: &str) -> Priority {
        let own = self.jobs[id].0.priority;
        let dependents = self.jobs.keys().filter(|other| {
            self.is_open(other) && self.dependencies(other).any(|needed| needed == id)
        });
        dependents
            .map(|d| self.priority(d))
            .fold(own, Priority::min)
    }

    fn open(&self) -> BTreeSet<String> {
        self.jobs
            .keys()
            .filter(|id| self.is_open(id))
            .cloned()
            .collect()
    }
}

/// What a controller makes of the effects, as its leader would.
#[derive(Default)]
struct Follower {
    graph: DependencyGraph,
    cancelled: BTreeSet<String>,
    runnable: BTreeSet<String>,
    priorities: BTreeMap<String, Priority>,
}

impl Follower {
    /// The record as this controller has it: what it derived counts as cancelled.
    fn record(&self, plain: &Plain, id: &str) -> Option<DependencyState> {
        if self.cancelled.contains(id) {
            return Some(DependencyState::Cancelled);
        }
        plain.record(id)
    }

    fn take(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Unblocked(id) => {
                    assert!(self.runnable.insert(id.clone()), "{id} is unblocked twice");
                }
                Effect::Cancelled(id) => {
                    assert!(!self.runnable.contains(&id), "{id} may run already");
                    self.cancelled.insert(id);
                }
                Effect::Reprioritized(id, priority) => {
                    self.priorities.insert(id, priority);
                }
            }
        }
    }

    fn update(&mut self, plain: &Plain, id: &str) {
        let (job, record) = &plain.jobs[id];
        let effects = match record {
            DependencyState::Open(_) if self.cancelled.contains(id) => Vec::new(),
            DependencyState::Open(_) => {
                let mut graph = std::mem::take(&mut self.graph);
                let effects = graph.on_accepted(job, |other| self.record(plain, other));
                self.graph = graph;
                effects
            }
            DependencyState::Done => self.graph.on_done(id),
            DependencyState::Cancelled => self.graph.on_cancelled(id),
        };
        self.take(effects);
        if matches!(record, DependencyState::Open(_))
            && !self.cancelled.contains(id)
            && !self.graph.is_blocked(id)
        {
            self.runnable.insert(id.into());
        }
    }

    /// A controller that has just read all records, in the order of their keys.
    fn loaded(plain: &Plain) -> Follower {
        let mut follower = Follower::default();
        for id in plain.jobs.keys() {
            follower.update(plain, id);
        }
        // Which of the open jobs may run is asked once all records are known.
        follower.runnable = plain
            .open()
            .into_iter()
            .filter(|id| !follower.graph.is_blocked(id))
            .collect();
        follower
    }

    fn agrees_with(&self, plain: &Plain) {
        for id in plain.jobs.keys() {
            let derived = self.record(plain, id) == Some(DependencyState::Cancelled);
            assert_eq!(derived, plain.is_cancelled(id), "cancelled: {id}");
        }
        for id in plain.open() {
            assert_eq!(
                self.graph.is_blocked(&id),
                plain.is_blocked(&id),
                "blocked: {id}"
            );
            assert_eq!(
                self.runnable.contains(&id),
                !plain.is_blocked(&id),
                "runnable: {id}"
            );
            let own = plain.jobs[&id].0.priority;
            assert_eq!(
                self.graph.priority(&id, own),
                plain.priority(&id),
                "priority: {id}"
            );
        }
    }
}

const URGENCIES: [Priority; 4] = [
    Priority::Prod,
    Priority::High,
    Priority::Standard,
    Priority::BestEffort,
];

/// A new job that needs up to four earlier ones, whatever became of them.
fn submit(rng: &mut fastrand::Rng, plain: &mut Plain, number: u32) -> String {
    let prior_runs: Vec<String> = plain.jobs.keys().cloned().collect();
    let mut job = job(number, "red", Shape::Array, 1, 1.0);
    // Ids come in no order, so that a page of records has dependents before what they need.
    job.id = format!("wk-{:03}-{number}", rng.u32(0..1000));
    job.priority = URGENCIES[rng.usize(0..URGENCIES.len())];
    let needed = if prior_runs.is_empty() {
        0
    } else {
        rng.usize(0..5)
    };
    let names: BTreeSet<String> = (0..needed)
        .map(|_| prior_runs[rng.usize(0..prior_runs.len())].clone())
        .collect();
    job.dependencies = names.into_iter().collect();
    let id = job.id.clone();
    let record = DependencyState::Open(job.priority);
    plain.jobs.insert(id.clone(), (job, record));
    id
}

/// Ends a random open job, if there is one: done if nothing blocks it, or cancelled.
fn end(rng: &mut fastrand::Rng, plain: &mut Plain) -> Option<String> {
    let open: Vec<String> = plain.open().into_iter().collect();
    let id = open.get(rng.usize(0..open.len().max(1)))?.clone();
    let record = if plain.is_blocked(&id) || rng.u32(0..4) == 0 {
        // Most blocked jobs are left alone: else few chains grow long.
        if plain.is_blocked(&id) && rng.u32(0..4) > 0 {
            return None;
        }
        DependencyState::Cancelled
    } else {
        DependencyState::Done
    };
    plain.jobs.get_mut(&id)?.1 = record;
    Some(id)
}

#[test]
fn the_graph_agrees_with_a_plain_model() {
    let (mut cancelled_with, mut unblocked, mut raised) = (0, 0, 0);
    for seed in 0..2000 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut plain, mut follower) = (Plain::default(), Follower::default());
        for number in 0..24 {
            let changed = if rng.u32(0..3) > 0 {
                Some(submit(&mut rng, &mut plain, number))
            } else {
                end(&mut rng, &mut plain)
            };
            let Some(id) = changed else { continue };
            follower.update(&plain, &id);
            // A record may be told twice.
            follower.update(&plain, &id);
            follower.agrees_with(&plain);
        }
        Follower::loaded(&plain).agrees_with(&plain);
        cancelled_with += follower.cancelled.len();
        unblocked += follower
            .runnable
            .iter()
            .filter(|id| plain.dependencies(id).count() > 0)
            .count();
        raised += follower.priorities.len();
    }
    // Each kind of effect came about often.
    assert!(cancelled_with > 2000 && unblocked > 500 && raised > 2000);
}

/// A controller may read the record of a job, answering a repeated submission, before it learns of the
/// jobs that it names.
#[test]
fn a_job_named_before_it_is_known_blocks_until_its_record_comes() {
    let record = |known: Option<DependencyState>| move |_: &str| known;
    let mut needed = job(1, "red", Shape::Array, 1, 1.0);
    needed.priority = Priority::Standard;
    let mut dependent = job(2, "red", Shape::Array, 1, 1.0);
    dependent.dependencies = vec![needed.id.clone()];
    for outcome in ["open", "done", "cancelled"] {
        let mut graph = DependencyGraph::default();
        graph.on_accepted(&dependent, record(None));
        assert!(graph.is_blocked(&dependent.id));
        match outcome {
            "open" => {
                assert!(graph.on_accepted(&needed, record(None)).is_empty());
                assert!(!graph.is_blocked(&needed.id));
                assert!(graph.is_blocked(&dependent.id));
            }
            "done" => {
                let unblocked = Effect::Unblocked(dependent.id.clone());
                assert_eq!(graph.on_done(&needed.id), [unblocked]);
                assert!(graph.is_empty());
            }
            _ => {
                let cancelled = Effect::Cancelled(dependent.id.clone());
                assert_eq!(graph.on_cancelled(&needed.id), [cancelled]);
                assert!(graph.is_empty());
            }
        }
    }
}

/// Chains may be long and one job may be named by many: an update touches its own edges only, and
/// nothing recurses over the depth.
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
