//! Run time estimates, and whether a gang can wait for busy machines, so that no new ones need to
//! be provisioned for it.

use super::{ActiveTask, Cluster, Job, Machine};
use crate::placement::tier;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::TaskRequirements;
use wire::users::Shape;

/// Duration of a slow boot, including the start of a gang's tasks, as a multiple of the nominal
/// boot time.
pub(crate) const SLOW_BOOT_FACTOR: f64 = 1.25;

/// Target start time for gangs of a class without an objective, as a multiple of the time allowed
/// for a guaranteed start.
const DEFAULT_WAIT_FACTOR: f64 = 4.0;

/// Minimum expected remaining run time of a task, as a fraction of its expected run time, however
/// long it has already run.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Minimum expected run time of a task in seconds: tasks that end at once must not lead to an
/// unbounded turnover estimate.
const MIN_RUN_S: f64 = 1.0;

/// A machine that accepts tasks, and the time at which it is expected to be empty.
pub(crate) struct BusyMachine {
    /// Time at which it is expected to be empty.
    empty_at: Secs,
    /// Its name.
    name: String,
}

/// Machines sorted by the time at which they are expected to be empty, earliest first.
pub(crate) type BusyMachines = Vec<BusyMachine>;

/// Busy machines that a gang may wait for; all in one zone if the gang requires a single zone.
#[derive(Default)]
struct CandidateMachines {
    /// Number of the gang's tasks that fit on them together.
    slots: u32,
    /// Their positions in the list of busy machines.
    positions: Vec<usize>,
}

impl Cluster {
    /// Returns whether a gang has waited so long that machines are cordoned for it.
    pub(crate) fn has_waited_long(&self, id: &str, now: Secs) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let objective_s = self.config.wait_s.get(&job.spec.class).copied();
        let target_wait_s = objective_s.unwrap_or(self.config.guarantee_s * DEFAULT_WAIT_FACTOR);
        now - job.first_seen_at > target_wait_s * self.config.max_wait_share
    }

    /// Returns the machines on which the tasks may run, sorted by the time at which they are
    /// expected to be empty.
    pub(crate) fn busy_machines(&self, requirements: &TaskRequirements, now: Secs) -> BusyMachines {
        let accepting = self
            .machines
            .iter()
            .filter(|(_, machine)| machine.accepts_tasks() && may_run_on(requirements, machine));
        let busy = accepting.map(|(name, machine)| BusyMachine {
            empty_at: self.expected_empty_at(machine, now),
            name: name.clone(),
        });
        let mut busy: BusyMachines = busy.collect();
        sort_by_empty_at(&mut busy);
        busy
    }

    /// Returns the time at which the last task of a machine is expected to end.
    fn expected_empty_at(&self, machine: &Machine, now: Secs) -> Secs {
        let ends = machine.tasks.keys().filter_map(|(id, index)| {
            let job = self.jobs.get(id)?;
            Some(self.expected_end(job, job.active.get(index)?, now))
        });
        ends.fold(now, f64::max)
    }

    /// Returns the time at which a task is expected to end.
    fn expected_end(&self, job: &Job, task: &ActiveTask, now: Secs) -> Secs {
        let run_s = self.expected_run_s(job);
        if task.running {
            (task.since + run_s).max(now + run_s * MIN_REMAINING_SHARE)
        } else {
            now + run_s
        }
    }

    /// Returns the expected run time of a job's tasks in seconds: the observed average of its
    /// class, or the job's own estimate if none was observed yet.
    pub(crate) fn expected_run_s(&self, job: &Job) -> f64 {
        self.run_times
            .get(&job.spec.class)
            .map_or(job.spec.estimate_s, |run_time| run_time.mean_s)
            .max(MIN_RUN_S)
    }

    /// Returns whether a gang can meet its class's objective by waiting for busy machines. If so,
    /// it claims them: their expected empty times move back by the gang's expected run time.
    pub(crate) fn claim_busy_machines(
        &self,
        id: &str,
        requirements: &TaskRequirements,
        busy_machines: &mut BusyMachines,
        now: Secs,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let Some(latest_start) = self.latest_start(job, requirements) else {
            return false;
        };
        let Some(positions) =
            self.find_busy_machines(job, requirements, busy_machines, latest_start, now)
        else {
            return false;
        };
        let run_s = self.expected_run_s(job);
        for position in positions {
            busy_machines[position].empty_at += run_s;
        }
        sort_by_empty_at(busy_machines);
        true
    }

    /// Returns the time at which a gang must stop waiting for busy machines, or `None` if its class
    /// has no objective.
    fn latest_start(&self, job: &Job, requirements: &TaskRequirements) -> Option<Secs> {
        let target_wait_s = self.config.wait_s.get(&job.spec.class)?;
        let kinds = requirements.allowed_types.iter();
        let shortest_boot_s = kinds
            .filter_map(|allowed| self.machine_types.get(&allowed.kind))
            .map(|machine_type| machine_type.boot_s)
            .fold(f64::MAX, f64::min);
        // Machines that are provisioned when the wait ends must still be up in time, even if they
        // boot slowly.
        let time_to_boot_s = target_wait_s - shortest_boot_s * SLOW_BOOT_FACTOR;
        Some(job.first_seen_at + (target_wait_s * self.config.max_wait_share).min(time_to_boot_s))
    }

    /// Returns the positions of busy machines that together fit a whole gang and are expected to be
    /// empty by `latest_start`, all in one zone if the gang requires that.
    fn find_busy_machines(
        &self,
        job: &Job,
        requirements: &TaskRequirements,
        busy_machines: &BusyMachines,
        latest_start: Secs,
        now: Secs,
    ) -> Option<Vec<usize>> {
        let mut by_zone: BTreeMap<&str, CandidateMachines> = BTreeMap::new();
        for (position, busy) in busy_machines.iter().enumerate() {
            let machine = self.machines.get(&busy.name);
            let Some(machine) = machine.filter(|machine| may_run_on(requirements, machine)) else {
                continue;
            };
            if busy.empty_at.max(now) > latest_start {
                return None;
            }
            let zone = if job.spec.one_zone { &machine.zone } else { "" };
            let candidates = by_zone.entry(zone).or_default();
            let capacity = self.capacity(&machine.kind);
            candidates.slots +=
                capacity.map_or(0, |capacity| capacity.count_fitting(job.resources()));
            candidates.positions.push(position);
            if candidates.slots >= job.spec.tasks {
                return Some(std::mem::take(&mut candidates.positions));
            }
        }
        None
    }

    /// Returns the CPUs per second that running array tasks are expected to free.
    pub(crate) fn turnover_cpus_per_s(&self) -> f64 {
        let arrays = self
            .jobs
            .values()
            .filter(|job| job.spec.shape == Shape::Array);
        arrays
            .map(|job| job.active.len() as f64 * job.spec.cpus / self.expected_run_s(job))
            .sum()
    }
}

/// Returns whether tasks with these requirements may run on a machine.
fn may_run_on(requirements: &TaskRequirements, machine: &Machine) -> bool {
    tier(requirements, &machine.kind, &machine.zone, machine.spot).is_some()
}

fn sort_by_empty_at(busy_machines: &mut BusyMachines) {
    busy_machines.sort_by(|one, other| one.empty_at.total_cmp(&other.empty_at));
}
