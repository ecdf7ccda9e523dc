//! The graph of dependencies between jobs. It determines which jobs are blocked, which are
//! cancelled because a job that they depend on is cancelled, and the effective priority of each
//! job.
//!
//! A job's dependencies are fixed when it is submitted and name only jobs that were accepted
//! before, so the graph is acyclic. Only open jobs that depend on another job, or on which another
//! job depends, have a node. Every controller builds the graph from its replica of the store, and
//! all of them derive the same results from the same records:
//!
//! - A job is *blocked* until the store has recorded each of its dependencies as done. Cancelling
//!   and finishing a job are both a compare-and-swap on the job's only record, so a job can't be
//!   cancelled any more once a dependent may have started.
//! - A job is *cancelled* if its own record or that of any ancestor says so. Nothing is copied into
//!   the records of descendants: a single write cancels the whole chain, whatever fails afterwards.
//!   A descendant of a cancelled job was always blocked, so none of its tasks was ever started.
//! - The effective *priority* of a job is the most urgent one among its own and those of its open
//!   descendants.
//!
//! An update visits only the edges that it affects, without recursion.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use wire::users::{Job, Priority};

/// State of a job that others may depend on, according to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// Accepted and not terminal, with its own priority.
    Open(Priority),
    /// All tasks are done.
    Done,
    /// Cancelled, by its own record or because an ancestor is cancelled.
    Cancelled,
}

/// A consequence of an update, for the updated job or for another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The last dependency of a blocked job is done.
    Unblocked(String),
    /// A job is cancelled because a job that it depends on is cancelled.
    Cancelled(String),
    /// The effective priority of a job has changed to the given priority.
    Reprioritized(String, Priority),
}

/// Number of values of [`Priority`].
const PRIORITY_COUNT: usize = 4;

/// An open job that depends on another job, or on which another job depends.
#[derive(Clone, Debug)]
struct Node {
    /// The job's own priority.
    own: Priority,
    /// The most urgent of its own priority and the effective ones of its dependents.
    effective: Priority,
    /// Whether its record was read. A dependent may name a job before this controller has read the
    /// job's record.
    record_seen: bool,
    /// Dependencies that are not done.
    dependencies: BTreeSet<Rc<str>>,
    /// Open jobs that name this one as a dependency.
    dependents: BTreeSet<Rc<str>>,
    /// Number of dependents by effective priority.
    dependents_by_priority: [usize; PRIORITY_COUNT],
}

impl Node {
    fn new(own: Priority, record_seen: bool) -> Node {
        Node {
            own,
            effective: own,
            record_seen,
            dependencies: BTreeSet::new(),
            dependents: BTreeSet::new(),
            dependents_by_priority: [0; PRIORITY_COUNT],
        }
    }

    /// Recomputes the effective priority. Returns the previous one.
    fn recompute_effective(&mut self) -> Priority {
        let by_urgency = [
            Priority::Prod,
            Priority::High,
            Priority::Standard,
            Priority::BestEffort,
        ];
        let most_urgent = by_urgency
            .into_iter()
            .find(|priority| self.dependents_by_priority[*priority as usize] > 0);
        let effective = most_urgent.map_or(self.own, |priority| priority.min(self.own));
        std::mem::replace(&mut self.effective, effective)
    }

    /// Returns one change for each of its dependencies, after its effective priority has changed
    /// from `before`.
    fn priority_changes(&self, before: Priority) -> Vec<PriorityChange> {
        let change = |dependency: &Rc<str>| PriorityChange {
            dependency: dependency.clone(),
            before: Some(before),
            after: Some(self.effective),
        };
        self.dependencies.iter().map(change).collect()
    }
}

/// A change of a dependent of the job `dependency`: the dependent's effective priority changed from
/// `before` to `after`, or the dependent was added (no `before`) or removed (no `after`).
struct PriorityChange {
    dependency: Rc<str>,
    before: Option<Priority>,
    after: Option<Priority>,
}

/// The graph of open jobs.
///
/// Invariant: node A lists B as a dependency if and only if node B lists A as a dependent.
#[derive(Clone, Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<Rc<str>, Node>,
}

impl DependencyGraph {
    /// Returns whether an open job has to wait for its dependencies.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| !node.record_seen || !node.dependencies.is_empty())
    }

    /// Returns the effective priority of a job, given its own priority.
    pub fn priority(&self, id: &str, own: Priority) -> Priority {
        self.nodes.get(id).map_or(own, |node| node.effective)
    }

    /// Returns the number of jobs that have a node.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether no job has a node.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Adds an open job; `state_of` returns the state of other jobs, as far as it is known. Adding
    /// a job again changes nothing.
    pub fn on_accepted(
        &mut self,
        job: &Job,
        state_of: impl Fn(&str) -> Option<DependencyState>,
    ) -> Vec<Effect> {
        let id: Rc<str> = job.id.as_str().into();
        if job.dependencies.is_empty() && !self.nodes.contains_key(&id) {
            return Vec::new();
        }
        let (priority, mut priority_changes) = self.set_own_priority(&id, job.priority);
        let mut is_cancelled = false;
        for name in &job.dependencies {
            let new_node = match state_of(name) {
                Some(DependencyState::Done) => continue,
                Some(DependencyState::Cancelled) => {
                    is_cancelled = true;
                    continue;
                }
                Some(DependencyState::Open(own)) => Node::new(own, true),
                None => Node::new(Priority::BestEffort, false),
            };
            if let Some(dependency) = self.add_edge(&id, name, new_node) {
                priority_changes.push(PriorityChange {
                    dependency,
                    before: None,
                    after: Some(priority),
                });
            }
        }
        let mut effects = self.propagate(priority_changes);
        if is_cancelled {
            effects.push(Effect::Cancelled(job.id.clone()));
            effects.extend(self.on_cancelled(&job.id));
        }
        self.remove_if_isolated(&id);
        effects
    }

    /// Sets a job's own priority from its record. Returns the job's effective priority, and the
    /// changes for the dependencies that it already has.
    fn set_own_priority(&mut self, id: &Rc<str>, own: Priority) -> (Priority, Vec<PriorityChange>) {
        let node = self
            .nodes
            .entry(id.clone())
            .or_insert_with(|| Node::new(own, true));
        node.record_seen = true;
        node.own = own;
        let before = node.recompute_effective();
        let after = node.effective;
        (after, node.priority_changes(before))
    }

    /// Adds the edge from a job to a dependency, which gets `new_node` if it has no node yet.
    /// Returns the dependency if the edge is new.
    fn add_edge(
        &mut self,
        dependent: &Rc<str>,
        dependency: &str,
        new_node: Node,
    ) -> Option<Rc<str>> {
        let dependency: Rc<str> = dependency.into();
        let dependency_node = self.nodes.entry(dependency.clone()).or_insert(new_node);
        if !dependency_node.dependents.insert(dependent.clone()) {
            return None;
        }
        let dependent_node = self.nodes.get_mut(dependent)?;
        dependent_node.dependencies.insert(dependency.clone());
        Some(dependency)
    }

    /// Updates the graph after the store has recorded a job as done.
    pub fn on_done(&mut self, id: &str) -> Vec<Effect> {
        let Some((node, mut effects)) = self.remove(id) else {
            return Vec::new();
        };
        for dependent in node.dependents {
            let Some(dependent_node) = self.nodes.get_mut(&dependent) else {
                continue;
            };
            dependent_node.dependencies.remove(id);
            if dependent_node.record_seen && dependent_node.dependencies.is_empty() {
                effects.push(Effect::Unblocked(dependent.to_string()));
            }
            self.remove_if_isolated(&dependent);
        }
        effects
    }

    /// Updates the graph after the store has recorded a job as cancelled, which cancels all its
    /// descendants.
    pub fn on_cancelled(&mut self, id: &str) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut to_cancel: Vec<Rc<str>> = vec![id.into()];
        let mut seen: BTreeSet<Rc<str>> = to_cancel.iter().cloned().collect();
        while let Some(next) = to_cancel.pop() {
            let Some((node, removal_effects)) = self.remove(&next) else {
                continue;
            };
            effects.extend(removal_effects);
            for dependent in node.dependents {
                if seen.insert(dependent.clone()) {
                    effects.push(Effect::Cancelled(dependent.to_string()));
                    to_cancel.push(dependent);
                }
            }
        }
        effects
    }

    /// Removes a node and its edges to its dependencies. The edges from its dependents remain.
    fn remove(&mut self, id: &str) -> Option<(Node, Vec<Effect>)> {
        let node = self.nodes.remove(id)?;
        let mut priority_changes = Vec::new();
        for dependency in &node.dependencies {
            if let Some(dependency_node) = self.nodes.get_mut(dependency) {
                dependency_node.dependents.remove(id);
            }
            priority_changes.push(PriorityChange {
                dependency: dependency.clone(),
                before: Some(node.effective),
                after: None,
            });
        }
        let effects = self.propagate(priority_changes);
        for dependency in &node.dependencies {
            self.remove_if_isolated(dependency);
        }
        Some((node, effects))
    }

    /// Propagates changes of priority to dependencies, as far as effective priorities change.
    fn propagate(&mut self, mut changes: Vec<PriorityChange>) -> Vec<Effect> {
        let mut effects = Vec::new();
        while let Some(change) = changes.pop() {
            let Some(node) = self.nodes.get_mut(&change.dependency) else {
                continue;
            };
            if let Some(before) = change.before {
                let count = &mut node.dependents_by_priority[before as usize];
                *count = count.saturating_sub(1);
            }
            if let Some(after) = change.after {
                node.dependents_by_priority[after as usize] += 1;
            }
            let before = node.recompute_effective();
            let after = node.effective;
            if before == after {
                continue;
            }
            effects.push(Effect::Reprioritized(change.dependency.to_string(), after));
            changes.extend(node.priority_changes(before));
        }
        effects
    }

    /// Removes the node of an open job without dependencies and dependents.
    fn remove_if_isolated(&mut self, id: &str) {
        let is_isolated = |node: &Node| node.dependencies.is_empty() && node.dependents.is_empty();
        if self.nodes.get(id).is_some_and(is_isolated) {
            self.nodes.remove(id);
        }
    }
}
