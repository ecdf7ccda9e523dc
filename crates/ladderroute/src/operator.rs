//! Operators' own settings; all have defaults.

/// Values that operators may tune.
#[derive(Clone, Debug, PartialEq)]
pub struct Tuning {
    /// How long held room waits for the rest of its gang, in seconds.
    pub hold_s: f64,
    /// The leader's store lease as a part of the workers' lease.
    pub leader_lease_share: f64,
    /// How long an idle machine is kept, in boot times.
    pub keep_boots: f64,
    /// Share of the recent peak of work that is kept rented.
    pub warm_share: f64,
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning { hold_s: 10.0, leader_lease_share: 0.36, keep_boots: 2.0, warm_share: 0.0 }
    }
}
