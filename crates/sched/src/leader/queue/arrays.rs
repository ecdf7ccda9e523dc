//! Array placement: ready tasks are assigned to the owners of machines with free resources, and the
//! remaining tasks are sent to the owners' backlogs.

use super::pass::Pass;
use crate::capacity_index::MachineFit;
use crate::leader::{Action, Leader, StartRecord, TaskLocation};
use crate::ranges::to_runs;
use crate::Secs;
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{TaskRequirements, ToOwner};

/// Limits on how many more tasks of an array may be placed in each zone.
enum ZoneLimits {
    /// The job has no zone constraint.
    Unlimited,
    /// The number of further tasks per zone; zones that are not listed take none.
    PerZone(BTreeMap<Rc<str>, u32>),
}

impl ZoneLimits {
    /// Returns how many more tasks may be placed in a zone.
    fn remaining_in(&self, zone: &Rc<str>) -> u32 {
        match self {
            ZoneLimits::Unlimited => u32::MAX,
            ZoneLimits::PerZone(limits) => limits.get(zone).copied().unwrap_or(0),
        }
    }

    /// Deducts placed tasks from a zone's limit.
    fn charge(&mut self, zone: &Rc<str>, tasks: u32) {
        if let ZoneLimits::PerZone(limits) = self {
            if let Some(remaining) = limits.get_mut(zone) {
                *remaining = remaining.saturating_sub(tasks);
            }
        }
    }

    /// Returns the zone that the owner must use for tasks placed in `zone`; `None` if the job has
    /// no zone constraint.
    fn required_zone(&self, zone: &Rc<str>) -> Option<Rc<str>> {
        match self {
            ZoneLimits::Unlimited => None,
            ZoneLimits::PerZone(_) => Some(zone.clone()),
        }
    }
}

/// The owner that tasks are assigned to, and the zone that it must place them in, if any.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Destination {
    owner: String,
    zone: Option<Rc<str>>,
}

/// The tasks of one array that are assigned in one pass.
struct Assignment<'a> {
    job: &'a str,
    /// The attempt number shared by all tasks of the assignment.
    attempt: u64,
    requirements: &'a TaskRequirements,
    /// Task indexes by destination; one message is sent to each destination.
    by_destination: BTreeMap<Destination, Vec<u32>>,
}

impl Leader {
    /// Places up to `admitted` ready tasks of an array. Tasks that find no capacity are recorded as
    /// unmet demand and, unless the job has a zone constraint, may be sent to the owners' backlogs.
    pub(super) fn place_array(
        &mut self,
        id: &str,
        requirements: TaskRequirements,
        admitted: u32,
        pass: &mut Pass,
    ) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let fits = self
            .cluster
            .machines
            .index()
            .fits_outside_cordon(&requirements, pass.cordon_applying_to(id));
        // The store records that an array has started before its first task starts. A later leader
        // can then start arrays without a record at once, without waiting for the state of every
        // machine.
        if job.start_record != StartRecord::Written {
            self.defer_until_start_record(id, &fits, admitted, pass);
            return;
        }
        let Some(zone_limits) = self.zone_limits_of(id, &fits) else {
            return;
        };
        let zones_matter = matches!(zone_limits, ZoneLimits::PerZone(_));
        let placed = self.assign_array(id, &requirements, admitted, fits, zone_limits, pass);
        if placed < admitted {
            let unplaced = admitted - placed;
            pass.unplaced_cpus += requirements.cpus * f64::from(unplaced);
            self.record_unplaced(id, unplaced, pass.now);
            if !zones_matter {
                self.assign_to_backlogs(id, requirements, unplaced, pass);
            }
        }
    }

    /// Requests the record that an array has started, if there is capacity for the array now or
    /// capacity is expected soon, so that the record is durable when the capacity can be used. No
    /// task of the array may start before the record is durable. Tasks that find no capacity are
    /// recorded as unmet demand.
    fn defer_until_start_record(
        &mut self,
        id: &str,
        fits: &[MachineFit],
        admitted: u32,
        pass: &mut Pass,
    ) {
        let fitting = fits
            .iter()
            .map(|fit| fit.slots)
            .fold(0, u32::saturating_add)
            .min(admitted);
        let unplaced = admitted - fitting;
        if unplaced > 0 {
            self.record_unplaced(id, unplaced, pass.now);
        }
        let capacity_expected = self.expects_capacity_soon(pass);
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        pass.unplaced_cpus += f64::from(unplaced) * job.spec.cpus;
        if capacity_expected || fitting > 0 {
            job.start_record = StartRecord::Requested;
        }
    }

    /// Returns the zone limits of an array. `None` if the job has a zone constraint and the zone of
    /// one of its active tasks is unknown; no more tasks are placed until that zone is known.
    fn zone_limits_of(&self, id: &str, fits: &[MachineFit]) -> Option<ZoneLimits> {
        let job = self.cluster.jobs.get(id)?;
        if !job.spec.one_zone && !job.spec.spread {
            return Some(ZoneLimits::Unlimited);
        }
        self.cluster.zone_limits(job, fits).map(ZoneLimits::PerZone)
    }

    /// Assigns ready tasks to the machines in `fits`, best machine first, and returns how many were
    /// placed.
    fn assign_array(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        admitted: u32,
        fits: Vec<MachineFit>,
        mut zone_limits: ZoneLimits,
        pass: &mut Pass,
    ) -> u32 {
        let Some(job) = self.cluster.jobs.get(id) else {
            return 0;
        };
        let (resources, spec) = (job.resources(), job.spec.clone());
        let ready: Vec<u32> = job.ready_tasks.iter().take(admitted as usize).collect();
        let mut ready = ready.into_iter();
        let mut assignment = Assignment {
            job: id,
            attempt: self.next_attempt(),
            requirements,
            by_destination: BTreeMap::new(),
        };
        let mut placed = 0;
        for fit in fits {
            if ready.len() == 0 {
                break;
            }
            let max_tasks = fit.slots.min(zone_limits.remaining_in(&fit.zone));
            let tasks: Vec<u32> = ready.by_ref().take(max_tasks as usize).collect();
            if tasks.is_empty() {
                continue;
            }
            zone_limits.charge(&fit.zone, tasks.len() as u32);
            let zone = zone_limits.required_zone(&fit.zone);
            placed += self.assign_to_machine(&mut assignment, &fit.name, zone, tasks, pass.now);
        }
        pass.charge(&spec.team, resources, placed);
        self.send_assignment(assignment);
        placed
    }

    /// Assigns tasks of an array to one machine, takes the capacity for them from the leader's
    /// index, and returns how many were placed.
    fn assign_to_machine(
        &mut self,
        assignment: &mut Assignment,
        machine: &str,
        zone: Option<Rc<str>>,
        tasks: Vec<u32>,
        now: Secs,
    ) -> u32 {
        let Some(owner) = self
            .cluster
            .machines
            .index()
            .get(machine)
            .map(|m| m.owner.clone())
        else {
            return 0;
        };
        let count = tasks.len() as u32;
        let requirements = assignment.requirements;
        log::debug!(
            "event=assigned job={} attempt={} owner={owner} predicted={machine} tasks={count}",
            assignment.job,
            assignment.attempt
        );
        self.take_capacity(machine, requirements, count);
        for index in &tasks {
            let location = TaskLocation::Assigned {
                owner: owner.clone(),
                predicted: Some(machine.to_string()),
            };
            self.assign_task(assignment.job, *index, assignment.attempt, location, now);
        }
        assignment
            .by_destination
            .entry(Destination { owner, zone })
            .or_default()
            .extend(tasks);
        count
    }

    /// Sends each owner the tasks that it is to place and start.
    fn send_assignment(&mut self, assignment: Assignment) {
        for (destination, indexes) in assignment.by_destination {
            let mut requirements = assignment.requirements.clone();
            if let Some(zone) = destination.zone {
                requirements.zone = Some(zone.to_string());
            }
            self.actions.push(Action::Send(
                destination.owner,
                ToOwner::Assign {
                    job: assignment.job.into(),
                    attempt: assignment.attempt,
                    requirements,
                    tasks: to_runs(indexes),
                },
            ));
        }
    }
}
