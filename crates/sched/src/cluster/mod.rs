//! The leader's view of the cluster: jobs and the possible locations of their tasks, machines,
//! resource usage by team, and statistics by job class. Placement, preemption and the autoscaler
//! base their decisions on it.

mod active_tasks;
mod job;
mod job_table;
mod location;
mod machine;
mod machine_inventory;
mod quota;
mod requirements;
mod unknown_machines;
mod usage;
mod wait_estimates;
mod zones;

pub(crate) use job::{GangPhase, Job, StartRecord};
pub use job::{OpenJob, PriorRuns};
pub(crate) use job_table::JobTable;
pub(crate) use location::{ActiveTask, EndOfMachine, TaskLocation};
pub(crate) use machine::{Machine, Rostered};
pub(crate) use machine_inventory::{MachineInventory, MachineTypes};
pub(crate) use unknown_machines::UnknownMachines;
pub(crate) use usage::{Backlogs, QuotaUsage};
pub(crate) use wait_estimates::{BusyMachines, SLOW_BOOT_FACTOR};

use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use std::collections::BTreeMap;
use wire::cloud::MachineType;
use wire::users::{Job as JobSpec, Shape};

/// The requirements of one task of a job class, which determine the machine types that fit it.
#[derive(Clone, Debug)]
pub(crate) struct ClassProfile {
    resources: Resources,
    /// Machine types that jobs of the class allow; `None` means all.
    types: Option<Vec<String>>,
    /// Whether jobs of the class allow spot machines.
    pub spot: bool,
    /// Whether jobs of the class are gangs.
    pub gang: bool,
}

impl ClassProfile {
    /// Returns whether a task of the class may run on an empty machine of a type.
    pub fn fits(&self, machine_type: &MachineType) -> bool {
        let allowed = self.types.as_ref();
        allowed.is_none_or(|allowed| allowed.contains(&machine_type.name))
            && Resources::of_type(machine_type).can_fit(self.resources)
    }
}

/// Moving average of the run time of a class's tasks.
#[derive(Clone, Debug, Default)]
struct RunTime {
    mean_s: Secs,
    count: u32,
}

/// Minimum weight of a new sample in the average, so that the average follows changes.
const MIN_SAMPLE_WEIGHT: f64 = 0.05;

impl RunTime {
    fn observe(&mut self, run_s: Secs) {
        self.count += 1;
        let weight = (1.0 / f64::from(self.count)).max(MIN_SAMPLE_WEIGHT);
        self.mean_s += (run_s - self.mean_s) * weight;
    }
}

/// The state that scheduling decisions are based on.
pub(crate) struct Cluster {
    pub(crate) config: SchedulerConfig,
    pub(crate) machine_types: MachineTypes,
    pub(crate) jobs: JobTable,
    pub(crate) machines: MachineInventory,
    pub(crate) usage: QuotaUsage,
    pub(crate) backlogs: Backlogs,
    run_times: BTreeMap<String, RunTime>,
    class_profiles: BTreeMap<String, ClassProfile>,
    /// Work that the last scheduling pass could not place: job id and number of tasks.
    pub(crate) unplaced: Vec<(String, u32)>,
}

impl Cluster {
    pub(crate) fn new(config: SchedulerConfig, now: Secs) -> Cluster {
        Cluster {
            config,
            machine_types: BTreeMap::new(),
            jobs: JobTable::default(),
            machines: MachineInventory::new(now),
            usage: QuotaUsage::default(),
            backlogs: Backlogs::default(),
            run_times: BTreeMap::new(),
            class_profiles: BTreeMap::new(),
            unplaced: Vec::new(),
        }
    }

    /// Adds a new job and updates the profile of its class.
    pub(crate) fn insert_job(&mut self, job: Job) {
        self.update_class_profile(&job.spec);
        self.jobs.insert(job);
    }

    /// Returns the profile of each job class, by class name.
    pub(crate) fn class_profiles(&self) -> &BTreeMap<String, ClassProfile> {
        &self.class_profiles
    }

    /// Applies all changes since the last pass to the index of free capacity.
    pub(crate) fn refresh_index(&mut self) {
        self.machines
            .refresh_index(&self.machine_types, self.config.guarantee_s);
    }

    /// Returns whether the index of free capacity equals a full rebuild; for tests.
    pub(crate) fn index_is_consistent(&mut self) -> bool {
        self.refresh_index();
        self.machines.index_is_consistent(&self.machine_types)
    }

    /// Replaces the cloud's machine types; returns whether their number changed, in which case the
    /// index of free capacity is rebuilt.
    pub(crate) fn set_machine_types(&mut self, types: Vec<MachineType>) -> bool {
        let same_count = self.machine_types.len() == types.len();
        let by_name = types
            .into_iter()
            .map(|machine_type| (machine_type.name.clone(), machine_type));
        self.machine_types = by_name.collect();
        if !same_count {
            self.machines.clear_index();
        }
        !same_count
    }

    /// Adds the run time of a finished task to the statistics of its class.
    pub(crate) fn record_run_time(&mut self, class: String, run_s: Secs) {
        self.run_times.entry(class).or_default().observe(run_s);
    }

    /// Returns the resources of a machine of a type, or `None` if the cloud does not list the type.
    pub(crate) fn capacity(&self, kind: &str) -> Option<Resources> {
        self.machine_types.get(kind).map(Resources::of_type)
    }

    /// Updates the profile of a job's class.
    fn update_class_profile(&mut self, job: &JobSpec) {
        let resources = Resources {
            cpus: job.cpus,
            gpus: job.gpus,
            memory_gb: job.memory_gb,
        };
        let profile = self
            .class_profiles
            .entry(job.class.clone())
            .or_insert_with(|| ClassProfile {
                resources,
                types: job.types.clone(),
                spot: job.spot,
                gang: job.shape == Shape::Gang,
            });
        // The task with the most CPUs so far represents its class.
        if resources.cpus > profile.resources.cpus {
            profile.resources = resources;
        }
    }
}
