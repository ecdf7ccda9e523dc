//! Incoming machines (requested, booting, or not on the roster yet), whose capacity waiting work
//! can rely on.

use super::{Autoscaler, Offer};
use crate::cluster::{Cluster, Rostered};
use crate::placement::Resources;
use std::collections::BTreeMap;
use wire::peers::TaskRequirements;

/// Incoming machines of one offer with the same remaining capacity.
struct IncomingMachines {
    /// The offer that they come from.
    offer: Offer,
    /// Remaining capacity of each machine.
    free: Resources,
    /// Number of machines; at least one.
    count: u32,
}

impl IncomingMachines {
    /// Splits off `count` of the machines and returns them with `used` deducted from each.
    fn allocate(&mut self, count: u32, used: Resources) -> IncomingMachines {
        let mut free = self.free;
        free.sub(used);
        self.count -= count;
        IncomingMachines {
            offer: self.offer.clone(),
            free,
            count,
        }
    }
}

/// All incoming machines. Capacity allocated to one job is not available to the next.
pub(super) struct Incoming {
    /// In the order of allocation; an offer may appear more than once.
    machines: Vec<IncomingMachines>,
}

impl Incoming {
    /// Adds empty machines.
    pub fn add(&mut self, offer: Offer, capacity: Resources, count: u32) {
        self.machines.push(IncomingMachines {
            offer,
            free: capacity,
            count,
        });
    }

    /// Returns the number of tasks that fit on the machines on which they may run.
    pub fn count_fitting(&self, requirements: &TaskRequirements) -> u32 {
        let resources = Resources::of(requirements);
        self.machines
            .iter()
            .filter(|machines| machines.offer.is_allowed_by(requirements))
            .map(|machines| machines.free.count_fitting(resources) * machines.count)
            .sum()
    }

    /// Allocates capacity of the allowed offers for up to `left` tasks; returns the number of tasks
    /// that remain.
    pub fn allocate(
        &mut self,
        allowed: impl Fn(&Offer) -> bool,
        resources: Resources,
        mut left: u32,
    ) -> u32 {
        let mut used = Vec::new();
        for machines in self.machines.iter_mut().filter(|m| allowed(&m.offer)) {
            let slots = machines.free.count_fitting(resources);
            if left == 0 || slots == 0 {
                continue;
            }
            let full = (left / slots).min(machines.count);
            let rest = if full < machines.count {
                left - full * slots
            } else {
                0
            };
            for (count, tasks) in [(full, slots), (u32::from(rest > 0), rest)] {
                if count > 0 {
                    used.push(machines.allocate(count, resources.scaled(tasks)));
                    left -= count * tasks;
                }
            }
        }
        self.machines.retain(|machines| machines.count > 0);
        self.machines.append(&mut used);
        left
    }
}

impl Autoscaler {
    /// Returns the machines that are requested, booting, or not on the roster yet. Leaves out those
    /// whose release was requested, since they get no work.
    pub(super) fn incoming(&self, cluster: &Cluster) -> Incoming {
        let booting = self.booting.iter();
        let booting = booting.filter(|(name, _)| !self.is_under_release(name));
        let booting = booting.map(|(_, machine)| (machine.offer.clone(), 1));
        let requested = self
            .requested
            .values()
            .map(|request| (Offer::of_request(request), request.count));
        let joining = cluster
            .machines
            .values()
            .filter(|m| m.rostered != Rostered::Yes && m.may_join_roster())
            .map(|machine| (Offer::of_machine(machine), 1));
        let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
        for (offer, count) in booting.chain(requested).chain(joining) {
            *counts.entry(offer).or_default() += count;
        }
        let with_capacity = counts.into_iter().filter_map(|(offer, count)| {
            Some(IncomingMachines {
                free: cluster.capacity(&offer.kind)?,
                offer,
                count,
            })
        });
        Incoming {
            machines: with_capacity.collect(),
        }
    }
}
