//! Choosing a machine for a task: used by the leader to foresee and by owners to decide, so
//! that both mostly come to the same answer.

use wire::cloud::MachineType;
use wire::peers::TaskRequirements;

/// Amounts of a machine or a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimals are compared with this slack.
pub const ROUNDING_SLACK: f64 = 1e-6;

impl Resources {
    pub fn of_type(t: &MachineType) -> Resources {
        Resources {
            cpus: t.cpus,
            gpus: t.gpus,
            memory_gb: t.memory_gb,
        }
    }

    pub fn of(requirements: &TaskRequirements) -> Resources {
        Resources {
            cpus: requirements.cpus,
            gpus: requirements.gpus,
            memory_gb: requirements.memory_gb,
        }
    }

    pub fn add(&mut self, o: Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.memory_gb += o.memory_gb;
    }

    pub fn sub(&mut self, o: Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.memory_gb -= o.memory_gb;
    }

    /// The same for `n` tasks.
    pub fn scaled(&self, n: u32) -> Resources {
        let n = f64::from(n);
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            memory_gb: self.memory_gb * n,
        }
    }

    pub fn can_fit(&self, o: Resources) -> bool {
        o.cpus <= self.cpus + ROUNDING_SLACK
            && o.gpus <= self.gpus + ROUNDING_SLACK
            && o.memory_gb <= self.memory_gb + ROUNDING_SLACK
    }

    /// How many tasks of this size fit.
    pub fn count_fitting(&self, o: Resources) -> u32 {
        let one = |have: f64, need: f64| {
            if need <= 0.0 {
                f64::INFINITY
            } else {
                ((have + ROUNDING_SLACK) / need).floor().max(0.0)
            }
        };
        one(self.cpus, o.cpus)
            .min(one(self.gpus, o.gpus))
            .min(one(self.memory_gb, o.memory_gb))
            .min(1e6) as u32
    }
}

/// A machine that might take a task.
pub struct Candidate {
    /// The tier of its type, zone and kind for these needs.
    pub tier: u8,
    pub free: Resources,
    /// The image is there, or is being fetched for another task.
    pub has_image: bool,
    /// Fetching the image would take a good part of the time allowed for a start.
    pub slow_fetch: bool,
    /// Nothing runs there, so it may soon be returned.
    pub empty: bool,
}

/// The tier of a machine for these needs; none if the task may not run there at all.
pub fn tier(requirements: &TaskRequirements, kind: &str, zone: &str, spot: bool) -> Option<u8> {
    if requirements.zone.as_deref().is_some_and(|z| z != zone) {
        return None;
    }
    requirements
        .kinds
        .iter()
        .find(|a| a.kind == kind && a.spot == spot)
        .map(|a| a.tier)
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
    pub cpus_left_thousandths: u64,
}

/// The rank of a machine for a task; none if the task does not fit.
pub fn rank(requirements: &TaskRequirements, candidate: &Candidate) -> Option<Rank> {
    if !candidate.free.can_fit(Resources::of(requirements)) {
        return None;
    }
    let cpus_left = (candidate.free.cpus - requirements.cpus).max(0.0);
    Some(Rank {
        needs_slow_fetch: candidate.slow_fetch && !candidate.has_image,
        tier: candidate.tier,
        is_empty: candidate.empty,
        needs_fetch: !candidate.has_image,
        cpus_left_thousandths: (cpus_left * 1000.0) as u64,
    })
}

/// Images above this size take more than half of the time allowed for a guaranteed start.
pub fn slow_above_gb(t: &MachineType, guarantee_s: f64) -> f64 {
    t.fetch_gb_per_s * guarantee_s / 2.0
}
