//! Ranking of machines for a task. The leader uses it to predict placements and the owners use it
//! to decide them, so that both mostly agree.

use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// Amounts of resources that a machine has or that a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    /// CPUs, possibly fractional.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory, in gigabytes.
    pub memory_gb: f64,
}

/// Tolerance for comparing sums of decimal fractions, which floating-point arithmetic rounds.
pub const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Maximum number of tasks counted on one machine, since any number of tasks without requirements
/// fit.
const MAX_FITTING_TASKS: f64 = 1e6;

/// Resolution at which machines are ranked by their remaining CPUs.
const MILLICPUS_PER_CPU: f64 = 1000.0;

/// An image is slow to fetch if the fetch takes longer than the time allowed for a guaranteed start
/// divided by this number.
const SLOW_FETCH_DIVISOR: f64 = 2.0;

impl Resources {
    /// Returns the resources of a machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Resources {
        Resources {
            cpus: machine_type.cpus,
            gpus: machine_type.gpus,
            memory_gb: machine_type.memory_gb,
        }
    }

    /// Returns the resources that one task takes.
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

    /// Returns these amounts multiplied by `count`.
    pub fn scaled(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources {
            cpus: self.cpus * count,
            gpus: self.gpus * count,
            memory_gb: self.memory_gb * count,
        }
    }

    /// Returns whether `needed` fits into these amounts, within `ROUNDING_TOLERANCE`.
    pub fn can_fit(&self, needed: Resources) -> bool {
        needed.cpus <= self.cpus + ROUNDING_TOLERANCE
            && needed.gpus <= self.gpus + ROUNDING_TOLERANCE
            && needed.memory_gb <= self.memory_gb + ROUNDING_TOLERANCE
    }

    /// Returns how many tasks that each take `needed` fit, at most a million.
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

/// A machine that is considered for a task.
pub struct Candidate {
    /// Preference of the task for the machine's type and for spot or not; a lower tier is
    /// preferred.
    pub tier: u8,
    /// Free resources of the machine.
    pub free: Resources,
    /// Whether the image is on the machine or is being fetched for another task.
    pub has_image: bool,
    /// Whether fetching the image would take a large part of the time allowed for a start.
    pub slow_fetch: bool,
    /// Whether the machine runs nothing and so may soon be deprovisioned.
    pub empty: bool,
}

/// Returns the tier of a machine for a task, or `None` if the task may not run there.
pub fn tier(requirements: &TaskRequirements, kind: &str, zone: &str, spot: bool) -> Option<u8> {
    if requirements
        .zone
        .as_deref()
        .is_some_and(|wanted| wanted != zone)
    {
        return None;
    }
    requirements
        .allowed_types
        .iter()
        .find(|allowed| allowed.kind == kind && allowed.spot == spot)
        .map(|allowed| allowed.tier)
}

/// How well a machine suits a task; smaller is better. The fields are compared in their order,
/// which prefers a machine that needs no slow fetch, then a lower tier, then a machine in use, then
/// one that has the image. The last criterion is best-fit bin packing: the fewest CPUs remain free,
/// so that other machines become empty and can be deprovisioned.
///
/// A lower tier is cheaper: spot machines come before on-demand machines, except those of scarce
/// types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the image is missing and fetching it would take a large part of the time allowed for
    /// a start.
    pub needs_slow_fetch: bool,
    /// Preference of the task for the machine's type and for spot or not; a lower tier is
    /// preferred.
    pub tier: u8,
    /// Whether the machine runs nothing and so may soon be deprovisioned.
    pub is_empty: bool,
    /// Whether the image is missing.
    pub needs_fetch: bool,
    /// CPUs that the task would leave free, in thousandths.
    pub remaining_millicpus: u64,
}

/// Returns the rank of a machine for a task, or `None` if the task does not fit.
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

/// Returns the size above which fetching an image takes more than half of `guarantee_s`, the time
/// allowed for a guaranteed start; in gigabytes.
pub fn slow_fetch_above_gb(machine_type: &MachineType, guarantee_s: f64) -> f64 {
    machine_type.fetch_gb_per_s * guarantee_s / SLOW_FETCH_DIVISOR
}
