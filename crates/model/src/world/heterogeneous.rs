//! Heterogeneous worlds: many machine types with prices, boot times and GPUs, checkpoints, and spot
//! machines that the cloud preempts after a notice. Other worlds have none of this and draw no
//! random numbers for it.

use super::*;

/// The number of tasks of a bulk job, which needs more machines than one request may ask for.
const BULK_TASKS: u32 = 130;

/// The number of steps in a thousand in which a spot machine gets a preemption notice.
const NOTICES_PER_1000_STEPS: u32 = 12;

/// A kind of event that is counted only in heterogeneous worlds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloudEvent {
    /// The cloud announces the preemption of a spot machine.
    PreemptionNotice,
    /// A task is ordered to stop.
    Stop,
    /// A task saves its state before it stops.
    Save,
    /// Machines are requested from the cloud.
    Provision,
    /// The cloud refuses a requested machine.
    ProvisionRefused,
    /// A machine is returned to the cloud.
    Deprovision,
}

/// The extra state of a heterogeneous world.
#[derive(Default)]
pub(super) struct HeterogeneousState {
    /// The run time covered by the last checkpoint of each task, by job id and task index.
    saved: BTreeMap<(String, u32), f64>,
    submitted: u32,
}

impl World {
    /// Creates a world with many machine types, few machines of each, and teams that borrow from
    /// each other.
    pub fn heterogeneous(seed: u64) -> World {
        let mut world = World::with_config(seed, Defect::None, heterogeneous_config());
        world.types = heterogeneous_types();
        world.heterogeneous = Some(HeterogeneousState::default());
        world
    }

    /// Runs with random jobs and preemption notices for `seconds`, and with injected faults if
    /// `with_faults` is set.
    pub fn run_heterogeneous(&mut self, seconds: f64, jobs_per_1000_steps: u32, with_faults: bool) {
        let end = self.now + seconds;
        while self.now < end {
            if self.rng.u32(0..1000) < jobs_per_1000_steps {
                let number = self.next_job_number();
                let spec = random_heterogeneous_job(&mut self.rng, number);
                self.submit(spec);
            }
            if self.rng.u32(0..1000) < NOTICES_PER_1000_STEPS {
                self.send_preemption_notice();
            }
            if with_faults {
                self.inject_fault();
            }
            self.step();
        }
    }

    /// Submits a job of many tasks that may run on these machine types and each need 4 CPUs, a
    /// whole machine of the smaller types.
    pub fn submit_bulk(&mut self, types: &[&str]) {
        let number = self.next_job_number();
        self.submit(Job {
            class: "bulk".into(),
            priority: Priority::BestEffort,
            types: Some(types.iter().map(|t| t.to_string()).collect()),
            zone: Some("a".into()),
            spot: false,
            estimate_s: 1.0,
            ..job(number, "green", Shape::Array, BULK_TASKS, 4.0)
        });
    }

    fn next_job_number(&mut self) -> u32 {
        let state = self.heterogeneous.get_or_insert_default();
        state.submitted += 1;
        state.submitted
    }

    /// Sends a preemption notice of 4 to 16 s to a random spot machine.
    fn send_preemption_notice(&mut self) {
        let now = self.now;
        let is_preemptible = |worker: &&mut Worker| {
            worker.spot && !worker.gone && worker.up_at < now && worker.preempted_at.is_none()
        };
        let mut candidates: Vec<&mut Worker> =
            self.workers.values_mut().filter(is_preemptible).collect();
        if candidates.is_empty() {
            return;
        }
        let at = self.rng.usize(0..candidates.len());
        candidates[at].preempted_at = Some(now + 4.0 + self.rng.f64() * 12.0);
        self.count_cloud_event(CloudEvent::PreemptionNotice, 1);
    }

    /// Preempts machines whose notice has expired, and lets tasks take checkpoints and finish
    /// saving.
    pub(super) fn run_preemptions_and_checkpoints(&mut self) {
        if self.heterogeneous.is_none() {
            return;
        }
        let now = self.now;
        for worker in self.workers.values_mut() {
            if worker.preempted_at.is_some_and(|at| now >= at) && !worker.gone {
                worker.die();
            }
        }
        let is_running = |worker: &&mut Worker| !worker.gone && now >= worker.hung_until;
        let mut saved = Vec::new();
        for worker in self.workers.values_mut().filter(is_running) {
            for (key, task) in &mut worker.tasks {
                let Some(job) = self.jobs.get(&key.job) else {
                    continue;
                };
                if let Some(ran_s) = task.save(&job.spec, now) {
                    saved.push(((key.job.clone(), key.index), ran_s));
                }
            }
        }
        let state = self.heterogeneous.get_or_insert_default();
        state.saved.extend(saved);
    }

    /// Returns the run time that a starting task has already completed according to its
    /// checkpoints. A gang resumes from the least advanced checkpoint of its tasks.
    pub(super) fn saved_s(&self, id: &str, index: u32) -> f64 {
        let Some(state) = &self.heterogeneous else {
            return 0.0;
        };
        let saved_s_of = |index: u32| state.saved.get(&(id.to_string(), index)).copied();
        match self.jobs.get(id).map(|job| &job.spec) {
            Some(spec) if spec.shape == Shape::Gang => (0..spec.tasks)
                .map(|index| saved_s_of(index).unwrap_or(0.0))
                .fold(f64::MAX, f64::min),
            _ => saved_s_of(index).unwrap_or(0.0),
        }
    }

    /// Returns the time at which a task that was ordered to stop will have saved its state, or
    /// `None` if it does not save.
    pub(super) fn saves_until(&mut self, id: &str, grace_s: f64) -> Option<f64> {
        self.heterogeneous.as_ref()?;
        self.count_cloud_event(CloudEvent::Stop, 1);
        let spec = &self.jobs.get(id)?.spec;
        let can_save = spec.checkpoint_s > 0.0 && spec.save_s <= grace_s;
        let until = can_save.then_some(self.now + spec.save_s)?;
        self.count_cloud_event(CloudEvent::Save, 1);
        Some(until)
    }

    /// Draws what the cloud offers for a request: the maximum number of such machines at a time,
    /// and their boot time in seconds. Returns `None` if the world is not heterogeneous or the
    /// machine type is unknown.
    pub(super) fn draw_offer(&mut self, request: &ProvisionRequest) -> Option<(usize, f64)> {
        self.heterogeneous.as_ref()?;
        let boot_s = self.types.iter().find(|t| t.name == request.kind)?.boot_s;
        let max_machines = match (request.kind.as_str(), request.spot) {
            ("small", true) => 3,
            ("gpu" | "memory", _) => 2,
            (_, true) => 1,
            _ => 2,
        };
        self.count_cloud_event(CloudEvent::Provision, 1);
        Some((max_machines, boot_s * (0.8 + 0.45 * self.rng.f64())))
    }

    pub(super) fn count_cloud_event(&mut self, event: CloudEvent, times: usize) {
        if self.heterogeneous.is_some() && times > 0 {
            *self.cloud_events.entry(event).or_default() += times as u32;
        }
    }
}

impl SimTask {
    /// Takes a checkpoint, or finishes saving after an order to stop. Returns the run time covered
    /// by the saved state, or `None` if nothing was saved.
    fn save(&mut self, spec: &Job, now: f64) -> Option<f64> {
        match self.state {
            TaskState::Saving if now >= self.saves_until => {
                self.state = TaskState::Exited;
                self.why = Some(Why::Stopped);
                self.saved = true;
                Some(self.ran_s(self.saves_until - spec.save_s))
            }
            TaskState::Running if spec.checkpoint_s > 0.0 => {
                let checkpoints = ((now - self.began_at) / spec.checkpoint_s).floor();
                (checkpoints > 0.0).then_some(self.saved_s + checkpoints * spec.checkpoint_s)
            }
            _ => None,
        }
    }
}

/// Returns a configuration with three teams, one with a small guarantee and a high limit, and with
/// target wait times for the classes of gangs.
fn heterogeneous_config() -> SchedulerConfig {
    let team = |cpus: f64, cpus_max: f64, gpus: f64, gpus_max: f64| Team {
        cpus,
        cpus_max,
        gpus,
        gpus_max,
    };
    let wait_targets = [("train", 20.0), ("wide", 24.0), ("heavy", 16.0)];
    SchedulerConfig {
        teams: BTreeMap::from([
            ("red".into(), team(24.0, 64.0, 4.0, 12.0)),
            ("blue".into(), team(32.0, 80.0, 4.0, 8.0)),
            ("green".into(), team(4.0, 640.0, 0.0, 8.0)),
        ]),
        wait_s: wait_targets.map(|(class, s)| (class.to_string(), s)).into(),
        ..config()
    }
}

/// Returns three small machine types of different prices, a large one, one with much memory and one
/// with GPUs.
fn heterogeneous_types() -> Vec<MachineType> {
    let variant = |t: MachineType, spot_price: f64, boot_s: f64, gpus: f64| MachineType {
        spot_price,
        boot_s,
        gpus,
        ..t
    };
    vec![
        variant(machine_type("small", 4.0, 16.0, 0.30), 0.10, 3.0, 0.0),
        variant(machine_type("steady", 4.0, 16.0, 0.36), 0.15, 3.0, 0.0),
        variant(machine_type("costly", 4.0, 16.0, 0.44), 0.13, 3.0, 0.0),
        variant(machine_type("large", 16.0, 64.0, 1.10), 0.50, 6.0, 0.0),
        variant(machine_type("memory", 8.0, 128.0, 0.90), 0.30, 8.0, 0.0),
        variant(machine_type("gpu", 16.0, 64.0, 4.00), 1.40, 10.0, 4.0),
    ]
}

/// Draws a job of a random class: an array, or a gang that needs GPUs, memory or several machines.
fn random_heterogeneous_job(rng: &mut fastrand::Rng, id: u32) -> Job {
    let team = ["red", "blue", "green", "green"][rng.usize(0..4)];
    let (class, shape, tasks, cpus) = match rng.u32(0..10) {
        0 => ("train", Shape::Gang, rng.u32(1..4), 4.0),
        1 => ("wide", Shape::Gang, rng.u32(2..4), 3.0),
        2 => ("heavy", Shape::Gang, rng.u32(1..3), 4.0),
        3 => ("render", Shape::Array, rng.u32(1..5), 2.0),
        4..=6 => ("long", Shape::Array, rng.u32(2..12), 4.0),
        _ => (
            "any",
            Shape::Array,
            rng.u32(1..12),
            f64::from(rng.u32(1..4)),
        ),
    };
    let mut spec = job(id, team, shape, tasks, cpus);
    spec.class = class.into();
    spec.priority = random_priority(rng);
    spec.gpus = match class {
        "train" => f64::from(rng.u32(1..3)),
        "render" => 1.0,
        _ => 0.0,
    };
    spec.memory_gb = if class == "heavy" { 70.0 } else { 1.0 };
    spec.image = format!("img-{}", rng.u32(0..4));
    spec.spot = rng.u32(0..3) > 0;
    set_random_times(&mut spec, rng);
    spec.one_zone = rng.u32(0..4) == 0;
    spec.spread = !spec.one_zone && tasks > 1 && rng.u32(0..4) == 0;
    if rng.u32(0..8) == 0 && !spec.spread {
        spec.zone = Some("b".into());
    }
    spec
}

fn random_priority(rng: &mut fastrand::Rng) -> Priority {
    match rng.u32(0..8) {
        0 => Priority::Prod,
        1 => Priority::High,
        2 => Priority::BestEffort,
        _ => Priority::Standard,
    }
}

/// Draws the run time, the checkpoint and save times, and the deadline of a job.
fn set_random_times(spec: &mut Job, rng: &mut fastrand::Rng) {
    let longest_s = if spec.class == "any" { 5.0 } else { 18.0 };
    spec.estimate_s = 1.0 + rng.f64() * longest_s;
    if rng.u32(0..2) == 0 {
        spec.checkpoint_s = 2.0 + rng.f64() * 4.0;
        spec.save_s = 0.5 + rng.f64() * 2.0;
    }
    spec.deadline_s = (rng.u32(0..3) == 0).then(|| 20.0 + rng.f64() * 60.0);
}
