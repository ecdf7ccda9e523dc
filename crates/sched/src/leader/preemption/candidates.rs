//! The machines on which capacity is free or can be freed by preemption, and the tasks that may be
//! stopped on each.

use super::victims::Victim;
use crate::cluster::{Cluster, Machine};
use crate::placement::{tier, Resources};
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::TaskRequirements;

/// Candidate machines by name.
pub(super) type Candidates<'a> = BTreeMap<&'a str, CandidateMachine<'a>>;

/// A machine on which tasks may be placed, with the tasks that may be stopped there.
#[derive(Clone)]
pub(super) struct CandidateMachine<'a> {
    kind: &'a str,
    zone: &'a str,
    spot: bool,
    /// Its free capacity, including what the tasks that are already being stopped will free.
    pub(super) free: Resources,
    /// The tasks that may be stopped there, ordered by the seconds of work lost, least first.
    pub(super) victims: Vec<Victim<'a>>,
}

/// Returns all machines on which tasks may be placed now, as candidates.
pub(super) fn candidates(cluster: &Cluster, now: Secs) -> Candidates<'_> {
    cluster
        .machines
        .iter()
        .filter(|(_, machine)| machine.accepts_tasks())
        .filter_map(|(name, machine)| {
            Some((name.as_str(), CandidateMachine::of(cluster, machine, now)?))
        })
        .collect()
}

impl<'a> CandidateMachine<'a> {
    /// Returns a machine as a candidate; `None` if the catalog does not list its type.
    fn of(cluster: &'a Cluster, machine: &'a Machine, now: Secs) -> Option<CandidateMachine<'a>> {
        let mut free = machine.free(cluster.capacity(&machine.kind)?);
        let mut victims = Vec::new();
        for (id, index) in machine.tasks.keys() {
            let Some(job) = cluster.jobs.get(id) else {
                continue;
            };
            let Some(task) = job.active.get(index) else {
                continue;
            };
            if task.stop_sent {
                free.add(job.resources());
            } else {
                victims.extend(Victim::of(cluster, job, *index, task, now));
            }
        }
        victims.sort_by(|one, other| one.lost_s.total_cmp(&other.lost_s));
        Some(CandidateMachine {
            kind: &machine.kind,
            zone: &machine.zone,
            spot: machine.spot,
            free,
            victims,
        })
    }

    /// Returns the machine's zone.
    pub(super) fn zone(&self) -> &'a str {
        self.zone
    }

    /// Returns whether tasks with these requirements may run on the machine, regardless of
    /// capacity.
    pub(super) fn allows(&self, requirements: &TaskRequirements) -> bool {
        tier(requirements, self.kind, self.zone, self.spot).is_some()
    }
}
