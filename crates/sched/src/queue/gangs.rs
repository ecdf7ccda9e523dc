//! Gangs: resources are reserved for the whole gang, the binding is written, and then all start.

use super::Pass;
use crate::capacity_index::Fit;
use crate::leader::{Action, Leader, Phase, TaskLocation};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::{TaskRequirements, ToOwner};

impl Leader {
    /// Finds capacity for a whole gang in the cluster view; only then are the owners asked to hold it.
    pub(super) fn place_gang(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        quota: u32,
        pass: &mut Pass,
        now: Secs,
    ) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let here = job.ready.len() + job.active.len() as u32;
        // The count check: a group with fewer tasks than its minimum is turned away.
        if here < job.minimum()
            || job.phase != Phase::Idle
            || !job.active.is_empty()
            || quota < job.spec.tasks
        {
            return;
        }
        let n = job.spec.tasks;
        if job.spec.one_zone && job.spec.spread && n.div_ceil(2) < n {
            // No zone may hold all of it: it stays known until it is cancelled, and provisions nothing.
            return;
        }
        let zones: Vec<Option<String>> = match (&requirements.zone, job.spec.one_zone) {
            (None, true) => self
                .cluster
                .index
                .zones()
                .iter()
                .map(|z| Some(z.to_string()))
                .collect(),
            (zone, _) => vec![zone.clone()],
        };
        let most_in_zone = if job.spec.spread { n.div_ceil(2) } else { n };
        let found = zones.into_iter().find_map(|zone| {
            let requirements = TaskRequirements {
                zone,
                ..requirements.clone()
            };
            fit(
                self.cluster
                    .index
                    .fits_outside(&requirements, pass.cordon_against(id)),
                n,
                most_in_zone,
            )
        });
        let Some(counts) = found else {
            self.note_unmet(id, n, now);
            return;
        };
        let resources = job.resources();
        pass.charge(&job.spec.team, resources, n);
        let attempt = self.next_attempt();
        let mut places = Vec::new();
        let mut by_owner: BTreeMap<String, Vec<(String, u32, u32)>> = BTreeMap::new();
        let mut first = 0;
        for (machine, count) in counts {
            let Some(owner) = self.cluster.index.get(&machine).map(|s| s.owner.clone()) else {
                continue;
            };
            self.cluster
                .index
                .take(&machine, resources, count, &requirements.image);
            if let Some(m) = self.cluster.machines.get_mut(&machine) {
                m.reserved.insert(attempt, resources.scaled(count));
            }
            self.note_image(&machine, &requirements.image);
            places.push((machine.clone(), first, count));
            by_owner
                .entry(owner)
                .or_default()
                .push((machine, first, count));
            first += count;
        }
        // Jitter, so that gangs held in one burst don't lapse in step.
        let wait = self.cluster.config.reservation_s * (0.75 + 0.5 * self.rng.f64());
        log::info!(
            "event=reserve job={id} attempt={attempt} machines={} wait_s={wait:.1}",
            places.len()
        );
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.phase = Phase::Reserving {
                attempt,
                waiting: by_owner.keys().cloned().collect(),
                until: now + wait,
                places,
            };
        }
        for (owner, places) in by_owner {
            let message = ToOwner::Reserve {
                job: id.into(),
                attempt,
                requirements: requirements.clone(),
                places,
                wait_ms: (wait * 1000.0) as u64,
            };
            self.actions.push(Action::Send(owner, message));
        }
    }

    pub(crate) fn on_reserve_result(
        &mut self,
        from: &str,
        attempt: u64,
        reserved: bool,
        now: Secs,
    ) {
        let found = self.cluster.jobs.iter().find(|(_, j)| match &j.phase {
            Phase::Reserving { attempt: a, .. }
            | Phase::Binding { attempt: a, .. }
            | Phase::Running { attempt: a } => *a == attempt,
            // Another owner has refused its part before.
            Phase::Ending => j.active.values().any(|a| a.attempt == attempt),
            Phase::Idle => false,
        });
        let Some(id) = found.map(|(id, _)| id.clone()) else {
            return;
        };
        let Some(job) = self.cluster.jobs.get_mut(&id) else {
            return;
        };
        match &mut job.phase {
            Phase::Reserving {
                waiting,
                until,
                places,
                ..
            } if reserved => {
                waiting.remove(from);
                if waiting.is_empty() {
                    let (until, places) = (*until, places.clone());
                    job.phase = Phase::Binding {
                        attempt,
                        until,
                        places: places.clone(),
                    };
                    self.actions.push(Action::Bind {
                        job: id,
                        attempt,
                        places,
                    });
                }
            }
            Phase::Reserving { .. } | Phase::Binding { .. } if !reserved => {
                log::info!("event=reservation_refused job={id} owner={from}");
                self.end_reservation(&id, now, true);
            }
            Phase::Running { .. } | Phase::Ending if !reserved => {
                // The capacity was given up before the binding came: the gang has to begin anew.
                let lost: Vec<u32> = job
                    .active
                    .iter()
                    .filter(
                        |(_, a)| matches!(&a.location, TaskLocation::Assigned(o, _) if o == from),
                    )
                    .map(|(i, _)| *i)
                    .collect();
                for i in lost {
                    self.requeue_task(&id, i);
                }
            }
            _ => {}
        }
    }

    /// The binding is durable, or could not be written.
    pub fn bind_result(&mut self, id: &str, attempt: u64, written: bool, now: Secs) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let Phase::Binding {
            attempt: a,
            until,
            places,
        } = &job.phase
        else {
            return;
        };
        if *a != attempt {
            return;
        }
        // A machine that was returned meanwhile took its reserved capacity with it.
        let here = places
            .iter()
            .all(|(m, _, _)| self.cluster.machines.contains_key(m));
        if !written || !here || now >= *until {
            self.end_reservation(id, now, true);
            return;
        }
        let places = places.clone();
        job.phase = Phase::Running { attempt };
        job.failures = 0;
        let mut owners = BTreeSet::new();
        for (machine, first, n) in &places {
            let Some(m) = self.cluster.machines.get_mut(machine) else {
                continue;
            };
            m.reserved.remove(&attempt);
            self.cluster.dirty_machines.insert(machine.clone());
            let owner = m.owner.clone();
            owners.insert(owner.clone());
            for i in *first..first + n {
                self.assign_task(id, i, attempt, owner.clone(), machine.clone(), now);
            }
        }
        log::info!("event=bound job={id} attempt={attempt}");
        for owner in owners {
            self.actions
                .push(Action::Send(owner, ToOwner::Bind { attempt }));
        }
    }

    /// Releases the capacity of a waiting gang everywhere; with a failure it backs off longer
    /// each time, and keeps its place in the order.
    pub(crate) fn end_reservation(&mut self, id: &str, now: Secs, failed: bool) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let phase = std::mem::replace(&mut job.phase, Phase::Idle);
        if failed {
            job.failures += 1;
            let wait = self.cluster.config.reservation_s / 20.0
                * f64::from(1u32 << job.failures.min(6))
                * (0.75 + 0.5 * self.rng.f64());
            job.backoff_until = now + wait;
        }
        self.release_reservation(&phase);
    }

    pub(crate) fn release_reservation(&mut self, phase: &Phase) {
        let (Phase::Reserving {
            attempt, places, ..
        }
        | Phase::Binding {
            attempt, places, ..
        }) = phase
        else {
            return;
        };
        let mut owners = BTreeSet::new();
        for (machine, _, _) in places {
            if let Some(m) = self.cluster.machines.get_mut(machine) {
                m.reserved.remove(attempt);
                self.cluster.dirty_machines.insert(machine.clone());
                owners.insert(m.owner.clone());
            }
        }
        for owner in owners {
            self.actions.push(Action::Send(
                owner,
                ToOwner::ReleaseReservation { attempt: *attempt },
            ));
        }
        self.wake();
    }
}

/// Machines for `n` tasks, at most `most_in_zone` in one zone; none if they don't all fit.
fn fit(found: Vec<Fit>, n: u32, most_in_zone: u32) -> Option<Vec<(String, u32)>> {
    let mut in_zone: BTreeMap<Rc<str>, u32> = BTreeMap::new();
    let (mut left, mut out) = (n, Vec::new());
    for f in found {
        let used = in_zone.entry(f.zone).or_default();
        let take = f.slots.min(left).min(most_in_zone - *used);
        if take > 0 {
            *used += take;
            left -= take;
            out.push((f.name.to_string(), take));
        }
    }
    (left == 0).then_some(out)
}
