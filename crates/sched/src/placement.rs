//! Choosing a machine for a task: used by the leader to foresee and by owners to decide, so
//! that both mostly come to the same answer.

use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// Amounts that a machine has or that a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs; a task may take a fraction of one.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in gigabytes.
    pub memory_gb: f64,
}

/// Sums of decimals are compared with this slack.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;

/// The most tasks that are counted on one machine: tasks that take nothing would fit without end.
const MAX_FITTING_TASKS: f64 = 1e6;

/// Free CPUs are ranked in this many parts of one.
const MILLICPUS_PER_CPU: f64 = 1000.0;

/// An image is slow to fetch if that takes more than the time allowed for a start, divided by this.
const SLOW_FETCH_DIVISOR: f64 = 2.0;

impl Resources {
    /// What a machine of this type has.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// What one task takes.
    pub fn of(requirements: &TaskRequirements) -> Resources {
        Resources {
            cpus: requirements.cpus,
            gpus: requirements.gpus,
            memory_gb: requirements.memory_gb,
        }
    }

    /// Adds each amount of `other`.
    pub fn add(&mut self, other: Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts each amount of `other`; the result may be negative.
    pub fn sub(&mut self, other: Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// The same for `count` tasks.
    pub fn scaled(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// Whether `needed` fits into these amounts, up to `ROUNDING_TOLERANCE`.
    pub fn can_fit(&self, needed: Resources) -> bool {
        needed.cpus <= self.cpus + ROUNDING_TOLERANCE
            && needed.gpus <= self.gpus + ROUNDING_TOLERANCE
            && needed.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// How many tasks that each take `needed` fit, up to a million.
    pub fn count_fitting(&self, needed: Resources) -> u32 {
        let fitting = |free: f64, needed: f64| {
            if needed <= 0.0 {
                f64::INFINITY
            } else {
                ((free + ROUNDING_TOLERANCE) / needed).floor().max(0.0)
            }
        };
        fitting(self.cpus, needed.cpus)
            .min(fitting(self.gpus, needed.gpus))
            .min(fitting(self.memory_gb, needed.memory_gb))
            .min(MAX_FITTING_TASKS) as u32
    }
}

/// A machine that might take a task.
pub struct Candidate {
    /// The tier of its type, zone and kind for the task.
    pub tier: u8,
    /// What is free there.
    pub free: Resources,
    /// The image is there, or is being fetched for another task.
    pub has_image: bool,
    /// Fetching the image would take a good part of the time allowed for a start.
    pub slow_fetch: bool,
    /// Nothing runs there, so it may soon be returned.
    pub empty: bool,
}

/// The tier of a machine for a task; none if the task may not run there at all.
pub fn tier(requirements: &TaskRequirements, kind: &str, zone: &str, spot: bool) -> Option<u8> {
    if requirements
        .zone
        .as_deref()
        .is_some_and(|wanted| wanted != zone)
    {
        return None;
    }
    requirements
        .kinds
        .iter()
        .find(|allowed| allowed.kind == kind && allowed.spot == spot)
        .map(|allowed| allowed.tier)
}

/// How well a machine suits; the smaller, the better. The fields are compared in their order: not one
/// that would fetch for long; the cheaper tier; one that is in use; one that has the image; then the
/// one with the least left, so that others become empty and can be returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Fetching the image would take a good part of the time allowed for a start.
    pub needs_slow_fetch: bool,
    /// The tier of its type, zone and kind for the task.
    pub tier: u8,
    /// Nothing runs there, so it may soon be returned.
    pub is_empty: bool,
    /// The image is not there yet.
    pub needs_fetch: bool,
    /// Thousandths of CPUs that the task would leave free.
    pub remaining_millicpus: u64,
}

/// The rank of a machine for a task; none if the task does not fit.
pub fn rank(requirements: &TaskRequirements, candidate: &Candidate) -> Option<Rank> {
    if !candidate.free.can_fit(Resources::of(requirements)) {
        return None;
    }
    let remaining_cpus = (candidate.free.cpus - requirements.cpus).max(0.0);
    Some(Rank {
        needs_slow_fetch: candidate.slow_fetch && !candidate.has_image,
        tier: candidate.tier,
        is_empty: candidate.empty,
        needs_fetch: !candidate.has_image,
        remaining_millicpus: (remaining_cpus * MILLICPUS_PER_CPU) as u64,
    })
}

/// The size in gigabytes above which fetching an image takes more than half of `guarantee_s`, the time
/// allowed for a guaranteed start.
pub fn slow_fetch_above_gb(machine_type: &MachineType, guarantee_s: f64) -> f64 {
    machine_type.fetch_gb_per_s * guarantee_s / SLOW_FETCH_DIVISOR
}
