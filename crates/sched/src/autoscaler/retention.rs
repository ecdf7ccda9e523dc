//! How long idle machines are kept.

use super::arrivals::Arrivals;
use super::{Autoscaler, MIN_CHARGE_S};
use crate::cluster::{Cluster, SLOW_BOOT_FACTOR};
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::MachineType;

/// Heartbeat intervals for which an idle machine is kept at least: work that was given to it may show only
/// then.
const MIN_RETENTION_HEARTBEATS: f64 = 1.25;

/// Where a boot takes more than this part of the time that a gang should start in, it could hardly start in time
/// on a machine that must boot first.
const MAX_BOOT_SHARE: f64 = 0.5;

/// Least price that a spot machine counts for: prices are compared by division.
const MIN_SPOT_PRICE: f64 = 1e-9;

/// How long idle machines of a type are kept, and its boot time.
pub(super) struct IdleRetention {
    /// How long such a machine boots, in seconds.
    pub boot_s: f64,
    /// How long an ordinary machine is kept, in seconds.
    on_demand_s: f64,
    /// How long a spot machine is kept, in seconds.
    spot_s: f64,
}

impl IdleRetention {
    /// How long a machine is kept, in seconds.
    pub fn retention_s(&self, spot: bool) -> f64 {
        if spot {
            self.spot_s
        } else {
            self.on_demand_s
        }
    }
}

/// How long idle machines of all types are kept.
pub(super) struct RetentionByType {
    /// For the types that the cloud lists.
    by_type: BTreeMap<String, IdleRetention>,
    /// For machines whose type the cloud does not list.
    for_unknown_type: IdleRetention,
}

impl RetentionByType {
    /// How long idle machines of a type are kept.
    pub fn for_type(&self, kind: &str) -> &IdleRetention {
        self.by_type.get(kind).unwrap_or(&self.for_unknown_type)
    }
}

/// What the retention of every type depends on.
struct RetentionPolicy<'a> {
    /// What is decided on.
    cluster: &'a Cluster,
    /// Jobs that came lately.
    arrivals: &'a Arrivals,
    /// CPUs of all idle machines together.
    idle_cpus: f64,
    /// The time of the review.
    now: Secs,
}

impl Autoscaler {
    /// How long idle machines of each type are kept.
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
        let by_type =
            types.map(|(kind, of_kind)| (kind.clone(), policy.retention_for(of_kind, scarce)));
        RetentionByType {
            by_type: by_type.collect(),
            for_unknown_type: policy.retention_for_unknown_type(),
        }
    }
}

impl RetentionPolicy<'_> {
    /// How long idle machines of a type that the cloud lists are kept.
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

    /// How long idle machines of any other type are kept: as if they booted within the least charge.
    fn retention_for_unknown_type(&self) -> IdleRetention {
        let retention_s = self.retention_s(MIN_CHARGE_S, 1.0, 0.0);
        IdleRetention {
            boot_s: MIN_CHARGE_S,
            on_demand_s: retention_s,
            spot_s: retention_s,
        }
    }

    /// As long as a boot and the price make worth, less where few jobs came in that time; but as long as gangs
    /// need it, and as heartbeats take.
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

/// How many times cheaper than an ordinary machine one of this type and kind is.
fn price_advantage(machine_type: &MachineType, spot: bool) -> f64 {
    if spot {
        machine_type.price / machine_type.spot_price.max(MIN_SPOT_PRICE)
    } else {
        1.0
    }
}

/// CPUs of all idle machines together.
fn idle_cpus(cluster: &Cluster) -> f64 {
    cluster
        .machines
        .values()
        .filter(|m| m.accepts_tasks() && m.tasks.is_empty() && m.reserved.is_empty())
        .filter_map(|machine| cluster.capacity(&machine.kind))
        .map(|capacity| capacity.cpus)
        .sum()
}

/// The longest that demand may have any machine kept: arrivals before that count for nothing.
fn longest_retention_s(cluster: &Cluster) -> f64 {
    let types = cluster.machine_types.values();
    let longest = types
        .map(|machine_type| machine_type.boot_s * price_advantage(machine_type, true))
        .fold(0.0, f64::max);
    longest * cluster.config.idle_retention_boots
}

/// How long machines of a type are kept for the next gang of a class that has no other type, and that could
/// hardly start in time on a machine that must boot first.
fn gang_retention_s(cluster: &Cluster, machine_type: &MachineType) -> f64 {
    let slow_boot_s = machine_type.boot_s * SLOW_BOOT_FACTOR;
    cluster
        .class_profiles()
        .iter()
        .filter(|(_, profile)| profile.gang && profile.fits(machine_type))
        .filter_map(|(class, _)| cluster.config.wait_s.get(class).copied())
        .filter(|within_s| slow_boot_s > within_s * MAX_BOOT_SHARE)
        .fold(0.0, f64::max)
}
