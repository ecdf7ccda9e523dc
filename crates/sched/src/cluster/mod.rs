//! The leader's view of the cluster: jobs and where their tasks may be, machines, what teams use, and what was
//! learned of classes of jobs. Placement, preemption and the autoscaler decide on it.

mod active_tasks;
mod capacity;
mod job;
mod machine;
mod quota;
mod requirements;
mod wait_estimates;

pub(crate) use job::{Active, Job, Phase, StartRecord, TaskLocation};
pub use job::{OpenJob, PriorRuns};
pub(crate) use machine::{Machine, Rostered};
pub(crate) use wait_estimates::{BusyMachines, SLOW_BOOT_FACTOR};

use crate::capacity_index::Index;
use crate::config::SchedulerConfig;
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::MachineType;
use wire::users::{Job as Spec, Shape};

/// What one task of a class takes, to know which machine types it needs.
#[derive(Clone, Debug)]
pub(crate) struct ClassProfile {
    resources: Resources,
    types: Option<Vec<String>>,
    pub spot: bool,
    pub gang: bool,
}

impl ClassProfile {
    pub fn fits(&self, t: &MachineType) -> bool {
        self.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && Resources::of_type(t).can_fit(self.resources)
    }
}

/// What was learned about a class of jobs.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClassStats {
    pub run_s: f64,
    pub count: u32,
}

/// The state that decisions are made on.
pub(crate) struct Cluster {
    pub(crate) config: SchedulerConfig,
    pub(crate) types: BTreeMap<String, MachineType>,
    pub(crate) jobs: BTreeMap<String, Job>,
    pub(crate) machines: BTreeMap<String, Machine>,
    /// Open jobs by creation.
    pub(crate) by_creation: BTreeSet<(u64, String)>,
    /// Machines with capacity, as the pass looks at them, and those that changed since.
    pub(crate) index: Index,
    pub(crate) dirty_machines: BTreeSet<String>,
    /// Machines of unknown content.
    pub(crate) unknown: BTreeSet<String>,
    /// When a machine of unknown content was last reconciled.
    pub(crate) known_at: Secs,
    pub(crate) team_used: BTreeMap<String, Resources>,
    /// By team: what jobs that were cancelled so lately that their tasks may still be on unknown
    /// machines could use together.
    pub(crate) recently_cancelled: BTreeMap<String, Resources>,
    /// CPUs of tasks that wait for capacity, by owner.
    pub(crate) backlog: BTreeMap<String, f64>,
    pub(crate) classes: BTreeMap<String, ClassStats>,
    pub(crate) class_profiles: BTreeMap<String, ClassProfile>,
    /// Entries that the last pass could not place: the job, and how many of its tasks.
    pub(crate) unmet: Vec<(String, u32)>,
}

impl Cluster {
    pub(crate) fn new(config: SchedulerConfig, now: Secs) -> Cluster {
        Cluster {
            config,
            types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            by_creation: BTreeSet::new(),
            index: Index::default(),
            dirty_machines: BTreeSet::new(),
            unknown: BTreeSet::new(),
            known_at: now,
            team_used: BTreeMap::new(),
            recently_cancelled: BTreeMap::new(),
            backlog: BTreeMap::new(),
            classes: BTreeMap::new(),
            class_profiles: BTreeMap::new(),
            unmet: Vec::new(),
        }
    }

    pub(crate) fn capacity(&self, kind: &str) -> Option<Resources> {
        self.types.get(kind).map(Resources::of_type)
    }

    /// Learns from a new job what tasks of its class take.
    pub(crate) fn learn_class(&mut self, job: &Spec) {
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
        // The largest task seen stands for its class.
        if resources.cpus > profile.resources.cpus {
            profile.resources = resources;
        }
    }
}
