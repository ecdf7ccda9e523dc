//! The leader's view of the cluster: jobs and where their tasks may be, machines, what teams use, and what was
//! learned of classes of jobs. Placement, preemption and the autoscaler decide on it.

mod active_tasks;
mod capacity;
mod job;
mod machine;
mod quota;
mod requirements;
mod unknown;
mod usage;
mod wait_estimates;

pub(crate) use job::{Active, Job, Phase, StartRecord, TaskLocation};
pub use job::{OpenJob, PriorRuns};
pub(crate) use machine::{Machine, Rostered};
pub(crate) use unknown::UnknownMachines;
pub(crate) use usage::{Backlogs, QuotaUsage};
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
    /// The machine types that its jobs allow; none stands for all.
    types: Option<Vec<String>>,
    /// Whether its jobs allow spot machines.
    pub spot: bool,
    /// Whether its jobs are gangs.
    pub gang: bool,
}

impl ClassProfile {
    /// Whether a task of the class may run on an empty machine of a type.
    pub fn fits(&self, machine_type: &MachineType) -> bool {
        let allowed = self.types.as_ref();
        allowed.is_none_or(|allowed| allowed.contains(&machine_type.name))
            && Resources::of_type(machine_type).can_fit(self.resources)
    }
}

/// The running mean of how long the tasks of a class run.
#[derive(Clone, Debug, Default)]
struct RunTime {
    mean_s: Secs,
    count: u32,
}

/// The least weight of a new run in the mean, so that it follows what changes.
const MIN_RUN_WEIGHT: f64 = 0.05;

impl RunTime {
    fn observe(&mut self, run_s: Secs) {
        self.count += 1;
        let weight = (1.0 / f64::from(self.count)).max(MIN_RUN_WEIGHT);
        self.mean_s += (run_s - self.mean_s) * weight;
    }
}

/// The state that decisions are made on.
pub(crate) struct Cluster {
    pub(crate) config: SchedulerConfig,
    /// The cloud's machine types by name.
    pub(crate) types: BTreeMap<String, MachineType>,
    pub(crate) jobs: BTreeMap<String, Job>,
    /// Revision of the creation and id of each known job: the order of creation.
    by_creation: BTreeSet<(u64, String)>,
    pub(crate) machines: BTreeMap<String, Machine>,
    /// Machines with capacity, as the pass looks at them.
    index: Index,
    /// Machines that changed since the index was last brought up to date.
    dirty_machines: BTreeSet<String>,
    unknown: UnknownMachines,
    pub(crate) usage: QuotaUsage,
    pub(crate) backlogs: Backlogs,
    run_times: BTreeMap<String, RunTime>,
    class_profiles: BTreeMap<String, ClassProfile>,
    /// Entries that the last pass could not place: the job, and how many of its tasks.
    pub(crate) unmet: Vec<(String, u32)>,
}

impl Cluster {
    pub(crate) fn new(config: SchedulerConfig, now: Secs) -> Cluster {
        Cluster {
            config,
            types: BTreeMap::new(),
            jobs: BTreeMap::new(),
            by_creation: BTreeSet::new(),
            machines: BTreeMap::new(),
            index: Index::default(),
            dirty_machines: BTreeSet::new(),
            unknown: UnknownMachines::new(now),
            usage: QuotaUsage::default(),
            backlogs: Backlogs::default(),
            run_times: BTreeMap::new(),
            class_profiles: BTreeMap::new(),
            unmet: Vec::new(),
        }
    }

    /// Takes in a job that is not known yet.
    pub(crate) fn insert_job(&mut self, job: Job) {
        self.learn_class(&job.spec);
        let id = job.spec.id.clone();
        self.by_creation.insert((job.revision, id.clone()));
        self.jobs.insert(id, job);
    }

    /// Forgets a job of which no task may be running.
    pub(crate) fn remove_job(&mut self, id: &str) {
        if let Some(job) = self.jobs.remove(id) {
            self.by_creation.remove(&(job.revision, id.to_string()));
        }
    }

    /// Takes in a machine of the roster, of which nothing else is known yet.
    pub(crate) fn insert_unknown_machine(&mut self, name: &str, machine: Machine) {
        self.unknown.insert(name);
        self.machines.insert(name.to_string(), machine);
    }

    /// Forgets a machine on which nothing may be running.
    pub(crate) fn remove_machine(&mut self, name: &str) {
        self.machines.remove(name);
        self.unknown.remove(name);
        self.mark_dirty(name);
    }

    /// The content of a machine is known from now on.
    pub(crate) fn note_known(&mut self, name: &str, now: Secs) {
        self.unknown.note_known(name, now);
    }

    /// Machines with free capacity, as of the last time the index was brought up to date.
    pub(crate) fn index(&self) -> &Index {
        &self.index
    }

    /// Takes capacity of a machine for so many tasks, for the rest of the pass.
    pub(crate) fn take_capacity(
        &mut self,
        name: &str,
        resources: Resources,
        tasks: u32,
        image: &str,
    ) {
        self.index.take(name, resources, tasks, image);
    }

    /// Machines of unknown content.
    pub(crate) fn unknown(&self) -> &UnknownMachines {
        &self.unknown
    }

    /// What is known of each class of jobs.
    pub(crate) fn class_profiles(&self) -> &BTreeMap<String, ClassProfile> {
        &self.class_profiles
    }

    /// What the index holds of a machine may not hold any more.
    pub(crate) fn mark_dirty(&mut self, name: &str) {
        self.dirty_machines.insert(name.to_string());
    }

    /// What the index holds may not hold any more.
    pub(crate) fn mark_all_dirty(&mut self) {
        self.dirty_machines.extend(self.machines.keys().cloned());
    }

    /// Takes the cloud's machine types; says whether there are others than before.
    pub(crate) fn set_types(&mut self, types: Vec<MachineType>) -> bool {
        let is_same = self.types.len() == types.len();
        let by_name = types.into_iter().map(|kind| (kind.name.clone(), kind));
        self.types = by_name.collect();
        if !is_same {
            self.index.clear();
            self.mark_all_dirty();
        }
        !is_same
    }

    /// A task of a class has run for so many seconds.
    pub(crate) fn observe_run(&mut self, class: String, run_s: Secs) {
        self.run_times.entry(class).or_default().observe(run_s);
    }

    /// What a machine of a type has; none if the cloud does not list the type.
    pub(crate) fn capacity(&self, kind: &str) -> Option<Resources> {
        self.types.get(kind).map(Resources::of_type)
    }

    /// Learns from a new job what tasks of its class take.
    fn learn_class(&mut self, job: &Spec) {
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
