//! How long idle machines are kept before they are released.

use super::arrivals::Arrivals;
use super::{Autoscaler, MIN_CHARGE_S};
use crate::cluster::{Cluster, SLOW_BOOT_FACTOR};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// Minimum retention in heartbeat intervals: work that was assigned to a machine may not be visible
/// earlier.
const MIN_RETENTION_HEARTBEATS: f64 = 1.25;

/// Maximum boot time as a fraction of a gang's target start time. If a machine type takes longer to
/// boot, the gang can hardly start in time on a machine that must boot first.
const MAX_BOOT_SHARE: f64 = 0.5;

/// Minimum spot price used in the price ratio, to avoid a division by zero.
const MIN_SPOT_PRICE: f64 = 1e-9;

/// The retention of idle machines of a type, and the type's boot time.
pub(super) struct IdleRetention {
    /// Nominal boot time in seconds.
    pub boot_s: f64,
    /// Retention of an on-demand machine in seconds.
    on_demand_s: f64,
    /// Retention of a spot machine in seconds.
    spot_s: f64,
}

impl IdleRetention {
    /// Returns the retention of a spot or on-demand machine in seconds.
    pub fn retention_s(&self, spot: bool) -> f64 {
        if spot {
            self.spot_s
        } else {
            self.on_demand_s
        }
    }
}

/// The retention of idle machines by machine type.
pub(super) struct RetentionByType {
    /// Retention for the types that the cloud lists.
    by_type: BTreeMap<String, IdleRetention>,
    /// Retention for machines whose type the cloud does not list.
    for_unknown_type: IdleRetention,
}

impl RetentionByType {
    /// Returns the retention for a machine type.
    pub fn for_type(&self, kind: &str) -> &IdleRetention {
        self.by_type.get(kind).unwrap_or(&self.for_unknown_type)
    }
}

/// The inputs that the retention of every type depends on.
struct RetentionPolicy<'a> {
    /// The cluster state.
    cluster: &'a Cluster,
    /// Recent job arrivals.
    arrivals: &'a Arrivals,
    /// Total CPUs of all idle machines.
    idle_cpus: f64,
    /// Time of the review.
    now: Secs,
}

impl Autoscaler {
    /// Returns the retention of idle machines for each machine type.
    pub(super) fn retention(
        &mut self,
        cluster: &Cluster,
        scarce: &BTreeSet<(String, bool)>,
        now: Secs,
    ) -> RetentionByType {
        self.arrivals
            .forget_before(now - longest_retention_s(cluster));
        let policy = RetentionPolicy {
            cluster,
            arrivals: &self.arrivals,
            idle_cpus: idle_cpus(cluster),
            now,
        };
        let types = cluster.machine_types.iter();
        let by_type = types
            .map(|(kind, machine_type)| (kind.clone(), policy.retention_for(machine_type, scarce)));
        RetentionByType {
            by_type: by_type.collect(),
            for_unknown_type: policy.retention_for_unknown_type(),
        }
    }
}

impl RetentionPolicy<'_> {
    /// Returns the retention for a type that the cloud lists.
    fn retention_for(
        &self,
        machine_type: &MachineType,
        scarce: &BTreeSet<(String, bool)>,
    ) -> IdleRetention {
        let retention_s = |spot: bool| {
            let for_gangs_s = if scarce.contains(&(machine_type.name.clone(), spot)) {
                gang_retention_s(self.cluster, machine_type)
            } else {
                0.0
            };
            let advantage = price_advantage(machine_type, spot);
            self.retention_s(machine_type.boot_s, advantage, for_gangs_s)
        };
        IdleRetention {
            boot_s: machine_type.boot_s,
            on_demand_s: retention_s(false),
            spot_s: retention_s(true),
        }
    }

    /// Returns the retention for any other type, as if its boot time were the minimum charge time.
    fn retention_for_unknown_type(&self) -> IdleRetention {
        let retention_s = self.retention_s(MIN_CHARGE_S, 1.0, 0.0);
        IdleRetention {
            boot_s: MIN_CHARGE_S,
            on_demand_s: retention_s,
            spot_s: retention_s,
        }
    }

    /// Returns the retention in seconds: proportional to the boot time and the price advantage,
    /// reduced when few jobs arrived within that time, but at least `for_gangs_s` and the minimum
    /// number of heartbeat intervals.
    fn retention_s(&self, boot_s: f64, price_advantage: f64, for_gangs_s: f64) -> f64 {
        let config = &self.cluster.config;
        let full_s = boot_s * config.idle_retention_boots * price_advantage;
        let demand_share = self
            .arrivals
            .retention_share(self.now - full_s, self.idle_cpus);
        (full_s * demand_share)
            .max(for_gangs_s)
            .max(config.heartbeat_s * MIN_RETENTION_HEARTBEATS)
    }
}

/// Returns the on-demand price of a type divided by its spot price, or 1 if `spot` is false.
fn price_advantage(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.price / machine_type.spot_price.max(MIN_SPOT_PRICE)
    } else {
        1.0
    }
}

/// Returns the total CPUs of all idle machines.
fn idle_cpus(cluster: &Cluster) -> f64 {
    cluster
        .machines
        .values()
        .filter(|m| m.accepts_tasks() && m.tasks.is_empty() && m.reserved.is_empty())
        .filter_map(|machine| cluster.capacity(&machine.kind))
        .map(|capacity| capacity.cpus)
        .sum()
}

/// Returns the longest retention that demand can lead to, in seconds. Arrivals that are longer ago
/// than this have no effect.
fn longest_retention_s(cluster: &Cluster) -> f64 {
    let types = cluster.machine_types.values();
    let longest = types
        .map(|machine_type| machine_type.boot_s * price_advantage(machine_type, true))
        .fold(0.0, f64::max);
    longest * cluster.config.idle_retention_boots
}

/// Returns how long machines of a scarce type are kept for the next gang of a class that fits the
/// type, in seconds. This is the longest target start time of those classes, leaving out classes
/// whose gangs can start in time on a machine that must boot first.
fn gang_retention_s(cluster: &Cluster, machine_type: &MachineType) -> f64 {
    let slow_boot_s = machine_type.boot_s * SLOW_BOOT_FACTOR;
    cluster
        .class_profiles()
        .iter()
        .filter(|(_, profile)| profile.gang && profile.fits(machine_type))
        .filter_map(|(class, _)| cluster.config.wait_s.get(class).copied())
        .filter(|target_wait_s| slow_boot_s > target_wait_s * MAX_BOOT_SHARE)
        .fold(0.0, f64::max)
}
