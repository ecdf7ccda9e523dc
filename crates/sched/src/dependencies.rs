//! The dependencies between jobs: which jobs are blocked, which are cancelled because a job that they
//! need is, and with which priority a job is treated.
//!
//! A job's dependencies are fixed when it is submitted and name only jobs that were accepted before,
//! so the graph has no cycle. Only open jobs that need another one, or are needed by one, have a node.
//! Every controller keeps the graph from its replica of the store, so that all of them derive the same
//! from the same records:
//!
//! - A job is *blocked* until the store holds the `done` of each of its dependencies. Cancelling and
//!   finishing a job are both compare-and-swap on its one record, so a job whose dependent may have
//!   started can't be cancelled any more.
//! - A job is *cancelled* when its own record says so or that of any ancestor. Nothing is copied into the
//!   descendants' records: the one write cancels the whole chain, whatever fails next. A descendant of a
//!   cancelled job was always blocked, so none of its tasks was ever started.
//! - A job has the most urgent *priority* among itself and its open descendants.
//!
//! The work of an update follows the edges that it touches, without recursion.

use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use wire::users::{Job, Priority};

/// What the store says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// Accepted and not over, with its own priority.
    Open(Priority),
    /// All its tasks are done.
    Done,
    /// Cancelled, by its own record or as a descendant.
    Cancelled,
}

/// What follows from an update for another job, or for the updated one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The last dependency of a blocked job is done.
    Unblocked(String),
    /// A job is cancelled because a job that it needs is.
    Cancelled(String),
    /// A job is treated with another priority from now on.
    Reprioritized(String, Priority),
}

/// How many priorities there are.
const PRIORITY_COUNT: usize = 4;

/// An open job that needs another one, or is needed by one.
#[derive(Clone, Debug)]
struct Node {
    /// The job's own priority.
    own: Priority,
    /// The most urgent of its own and its dependents'.
    effective: Priority,
    /// Whether its record was seen: a job may be named before this controller learns of it.
    record_seen: bool,
    /// Dependencies that are not done.
    dependencies: BTreeSet<Rc<str>>,
    /// Open jobs that name this one.
    dependents: BTreeSet<Rc<str>>,
    /// How many of them are treated with each priority.
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

    /// Computes the effective priority anew; says what it was.
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

    /// What its dependencies are to learn: it was treated with the priority `before` until now.
    fn priority_changes(&self, before: Priority) -> Vec<PriorityChange> {
        let change = |dependency: &Rc<str>| PriorityChange {
            dependency: dependency.clone(),
            before: Some(before),
            after: Some(self.effective),
        };
        self.dependencies.iter().map(change).collect()
    }
}

/// A dependent of a job is treated with another priority, is new, or is gone.
struct PriorityChange {
    dependency: Rc<str>,
    before: Option<Priority>,
    after: Option<Priority>,
}

/// The graph of open jobs.
///
/// Invariant: a node names another as a dependency if and only if that one names it as a dependent.
#[derive(Clone, Debug, Default)]
pub struct DependencyGraph {
    nodes: HashMap<Rc<str>, Node>,
}

impl DependencyGraph {
    /// Whether a job that is open must wait for others.
    pub fn is_blocked(&self, id: &str) -> bool {
        self.nodes
            .get(id)
            .is_some_and(|node| !node.record_seen || !node.dependencies.is_empty())
    }

    /// The priority with which a job is treated.
    pub fn priority(&self, id: &str, own: Priority) -> Priority {
        self.nodes.get(id).map_or(own, |node| node.effective)
    }

    /// How many jobs have a node.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no job needs another.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Takes an open job in; `record` says what is known of other jobs. A repetition changes nothing.
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

    /// Notes that a job's record was seen, with its own priority. Returns the priority with which the
    /// job is treated, and the shifts for the dependencies known before.
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

    /// Notes that a job waits for another, which gets `node` if it has none yet. Names the other if
    /// that was not known before.
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

    /// The store holds that a job is done.
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

    /// The store holds that a job is cancelled: so are all its descendants.
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

    /// Takes a node out of the graph, and out of what it waits for.
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

    /// Passes changes of priority on, towards the dependencies, for as far as they change anything.
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

    /// Forgets the node of an open job that no open job needs and that needs none.
    fn remove_if_isolated(&mut self, id: &str) {
        let is_isolated = |node: &Node| node.dependencies.is_empty() && node.dependents.is_empty();
        if self.nodes.get(id).is_some_and(is_isolated) {
            self.nodes.remove(id);
        }
    }
}
