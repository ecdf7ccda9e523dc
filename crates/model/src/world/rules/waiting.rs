//! Checks that no job waits long while there is capacity for it.

use super::placement::allows_machine;
use super::*;

/// The free resources of the machines, and what the teams use on them.
struct Capacity<'a> {
    free: Vec<(&'a String, &'a Worker, Resources)>,
    used: BTreeMap<&'a str, TeamUsage>,
}

/// The id of a waiting job and the machine that has capacity for it, or `None` for a gang, which
/// may need several machines.
pub(in crate::world) type WaitingWithCapacity = (String, Option<String>);

/// Returns how many tasks of a job fit into a machine's free resources.
fn fitting_tasks(spec: &Job, free: &Resources) -> usize {
    let gpus = (free.gpus + 1e-6) / spec.gpus;
    ((free.cpus + 1e-6) / spec.cpus)
        .min((free.memory_gb + 1e-6) / spec.memory_gb)
        .min(if spec.gpus > 0.0 { gpus } else { f64::MAX })
        .max(0.0) as usize
}

/// Returns how many tasks of a gang fit at the same time, given how many fit in each zone.
fn fitting_gang_tasks(spec: &Job, by_zone: &BTreeMap<&str, usize>) -> usize {
    let most_in_zone = match spec.spread {
        true => spec.tasks.div_ceil(2) as usize,
        false => usize::MAX,
    };
    let fitting = by_zone.values().map(|tasks| (*tasks).min(most_in_zone));
    match spec.one_zone {
        true => fitting.max().unwrap_or(0),
        false => fitting.sum(),
    }
}

impl World {
    /// Checks that, in the absence of faults, no job waits long while its team is within its limit
    /// and there is capacity: for one of its tasks, on the same machine all the time; or for all
    /// tasks of a gang, on the machines together.
    pub(in crate::world) fn check_waiting(&mut self) {
        let waiting = self.jobs_waiting_with_capacity();
        self.capacity_since
            .retain(|entry, _| waiting.contains(entry));
        for entry in waiting {
            self.capacity_since.entry(entry).or_insert(self.now);
        }
        let mut since = self.capacity_since.values();
        if since.any(|since| self.now - since > MAX_WAIT_WITH_CAPACITY_S) {
            self.record_violation("waits");
        }
    }

    /// Returns the jobs that have no task on any machine although there is capacity for them now.
    fn jobs_waiting_with_capacity(&self) -> BTreeSet<WaitingWithCapacity> {
        let capacity = self.capacity();
        let mut waiting = BTreeSet::new();
        let is_waiting = |job: &JobState| job.is_open() && job.ready_at.is_some();
        for (id, job) in self.jobs.iter().filter(|(_, job)| is_waiting(job)) {
            if self.live_tasks(id) > 0 {
                continue;
            }
            let remaining = job.spec.tasks as usize - self.completed_tasks(id);
            let needed = match job.spec.shape {
                Shape::Gang => remaining,
                _ => remaining.min(1),
            };
            if needed > 0 && self.is_within_limit(&job.spec, needed, &capacity) {
                add_waiting_job(&mut waiting, &job.spec, needed, &capacity);
            }
        }
        waiting
    }

    /// Returns the capacity of the machines that are running and not about to be preempted.
    fn capacity(&self) -> Capacity<'_> {
        let mut capacity = Capacity {
            free: Vec::new(),
            used: BTreeMap::new(),
        };
        let is_usable = |worker: &Worker| {
            let is_running = self.now >= worker.up_at && self.now >= worker.hung_until;
            !worker.gone && is_running && worker.preempted_at.is_none()
        };
        for (name, worker) in self.workers.iter().filter(|(_, it)| is_usable(it)) {
            let kind = self.types.iter().find(|kind| kind.name == worker.kind);
            let Some(kind) = kind else {
                continue;
            };
            let mut free = Resources::of_type(kind);
            let tasks = worker.live_tasks();
            for job in tasks.filter_map(|task| self.jobs.get(&task.job)) {
                let used = capacity.used.entry(&job.spec.team).or_default();
                used.add_task(&job.spec);
                free.cpus -= job.spec.cpus;
                free.gpus -= job.spec.gpus;
                free.memory_gb -= job.spec.memory_gb;
            }
            capacity.free.push((name, worker, free));
        }
        capacity
    }

    /// Returns whether this many more tasks of a job stay within the limit of its team.
    fn is_within_limit(&self, spec: &Job, tasks: usize, capacity: &Capacity) -> bool {
        let limit = self.limits.get(&spec.team);
        let (cpus_max, gpus_max) =
            limit.map_or((0.0, 0.0), |limit| (limit.cpus_max, limit.gpus_max));
        let used = capacity.used.get(spec.team.as_str());
        let used = used.copied().unwrap_or_default();
        let exceeds_cpus = used.cpus + spec.cpus * tasks as f64 > cpus_max + 1e-6;
        let exceeds_gpus =
            spec.gpus > 0.0 && used.gpus + spec.gpus * tasks as f64 > gpus_max + 1e-6;
        !exceeds_cpus && !exceeds_gpus
    }
}

/// Adds a waiting job once for each machine with capacity for a task of it. Adds a gang once if the
/// machines together have capacity for the `needed` tasks.
fn add_waiting_job(
    waiting: &mut BTreeSet<WaitingWithCapacity>,
    spec: &Job,
    needed: usize,
    capacity: &Capacity,
) {
    let is_gang = spec.shape == Shape::Gang;
    let mut by_zone: BTreeMap<&str, usize> = BTreeMap::new();
    let allowed = capacity
        .free
        .iter()
        .filter(|(_, worker, _)| allows_machine(spec, worker));
    for (name, worker, free) in allowed {
        let fitting = fitting_tasks(spec, free);
        *by_zone.entry(worker.zone.as_str()).or_default() += fitting;
        if !is_gang && fitting > 0 {
            waiting.insert((spec.id.clone(), Some(name.to_string())));
        }
    }
    if is_gang && fitting_gang_tasks(spec, &by_zone) >= needed {
        waiting.insert((spec.id.clone(), None));
    }
}
