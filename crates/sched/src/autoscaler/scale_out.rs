//! Provisioning machines for work that finds none.

use super::{allows, Offer, MIN_CHARGE_S};
use crate::cluster::BusyMachines;
use crate::leader::{Action, Leader, Rostered};
use crate::placement::Resources;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::ProvisionRequest;
use wire::peers::{AllowedMachineType, TaskRequirements};

/// Most machines of one request (a figure of the protocol).
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// An offer is not taken at this many times the price of one whose answer is still to come.
const MAX_PRICE_RATIO: f64 = 1.3;

/// Machines on their way that have the same capacity left.
pub(super) struct IncomingMachines {
    pub(super) offer: Offer,
    pub(super) free: Resources,
    pub(super) n: u32,
}

/// Takes capacity for up to `left` tasks out of what is on its way; says how many remain.
fn use_incoming(
    incoming: &mut Vec<IncomingMachines>,
    allowed: impl Fn(&Offer) -> bool,
    resources: Resources,
    mut left: u32,
) -> u32 {
    let mut changed = Vec::new();
    for c in incoming.iter_mut().filter(|c| allowed(&c.offer)) {
        let slots = c.free.count_fitting(resources);
        if left == 0 || slots == 0 {
            continue;
        }
        let whole = (left / slots).min(c.n);
        let part = if whole < c.n { left - whole * slots } else { 0 };
        for (n, tasks) in [(whole, slots), (u32::from(part > 0), part)] {
            if n > 0 {
                let mut free = c.free;
                free.sub(resources.scaled(tasks));
                changed.push(IncomingMachines {
                    offer: c.offer.clone(),
                    free,
                    n,
                });
                c.n -= n;
                left -= n * tasks;
            }
        }
    }
    incoming.retain(|c| c.n > 0);
    incoming.append(&mut changed);
    left
}

impl Leader {
    fn incoming(&self) -> Vec<IncomingMachines> {
        let mut sums: BTreeMap<Offer, u32> = BTreeMap::new();
        let booting = self
            .autoscaler
            .booting
            .values()
            .map(|b| (&b.kind, &b.zone, b.spot, 1));
        let requested = self
            .autoscaler
            .requested
            .values()
            .map(|h| (&h.kind, &h.zone, h.spot, h.count));
        let freshness_reads = self
            .cluster
            .machines
            .values()
            .filter(|m| m.rostered != Rostered::Yes && m.lapsed_at.is_none() && !m.drain)
            .map(|m| (&m.kind, &m.zone, m.spot, 1));
        for (kind, zone, spot, n) in booting.chain(requested).chain(freshness_reads) {
            *sums.entry((kind.clone(), zone.clone(), spot)).or_default() += n;
        }
        sums.into_iter()
            .filter_map(|(offer, n)| {
                Some(IncomingMachines {
                    free: self.cluster.capacity(&offer.0)?,
                    offer,
                    n,
                })
            })
            .collect()
    }

    pub(super) fn scale_out(&mut self, scarce: &BTreeSet<(String, bool)>, now: Secs) {
        let mut incoming = self.incoming();
        // Running tasks free their capacity again and again while a machine boots.
        let turnover = self.cluster.turnover();
        let mut expected_free = 0.0;
        let gang_waits = self.cluster.waits_for_scarce(scarce);
        let mut busy_machines: Option<BusyMachines> = None;
        let mut planned: BTreeMap<Offer, u32> = BTreeMap::new();
        self.autoscaler.retained.clear();
        for (id, n) in self.cluster.unmet.clone() {
            let Some(job) = self.cluster.jobs.get(&id) else {
                continue;
            };
            let resources = job.resources();
            let requirements = self.cluster.requirements_sparing(job, scarce);
            if now < job.reclaims_until {
                continue;
            }
            if job.is_gang() {
                let mut slots = busy_machines
                    .take()
                    .unwrap_or_else(|| self.cluster.busy_until(&requirements, now));
                if !self.cluster.can_wait(&id, &requirements, &mut slots, now) {
                    self.scale_out_for_gang(&id, &requirements, &mut incoming, &mut planned, now);
                }
                busy_machines = Some(slots);
                continue;
            }
            let all = self.cluster.requirements(job, None);
            let mut left = use_incoming(
                &mut incoming,
                |o| allows(&all, &requirements.zone, o),
                resources,
                n,
            );
            while left > 0 {
                let mut found = self.cheapest(
                    &requirements.kinds,
                    requirements.zone.as_deref(),
                    resources,
                    left,
                    &planned,
                    now,
                );
                if found.is_none() && !gang_waits && self.all_exhausted(&requirements) {
                    // Types kept for gangs, while none waits and the others are used up.
                    found = self.cheapest(
                        &all.kinds,
                        requirements.zone.as_deref(),
                        resources,
                        left,
                        &planned,
                        now,
                    );
                }
                let Some((offer, capacity)) = found else {
                    break;
                };
                let boot = self
                    .cluster
                    .types
                    .get(&offer.0)
                    .map_or(MIN_CHARGE_S, |t| t.boot_s);
                // New jobs take a part of what becomes free meanwhile.
                let net =
                    (turnover - self.autoscaler.arrival_rate(now, boot.max(MIN_CHARGE_S))).max(0.0);
                let served = ((net * boot - expected_free) / resources.cpus.max(0.01))
                    .floor()
                    .clamp(0.0, f64::from(left));
                expected_free += served * resources.cpus;
                left -= served as u32;
                if left == 0 || capacity.count_fitting(resources) == 0 {
                    break;
                }
                left = self.plan(
                    offer,
                    capacity,
                    resources,
                    left,
                    &mut incoming,
                    &mut planned,
                );
            }
        }
        for ((kind, zone, spot), mut count) in planned {
            while count > 0 {
                self.autoscaler.counter += 1;
                let name = format!("lr-{}-{}", self.token(), self.autoscaler.counter);
                let request = ProvisionRequest {
                    name: name.clone(),
                    kind: kind.clone(),
                    zone: zone.clone(),
                    spot,
                    count: count.min(MAX_MACHINES_PER_REQUEST),
                };
                count -= request.count;
                log::info!(
                    "event=provision name={name} kind={} zone={} spot={} count={}",
                    request.kind,
                    request.zone,
                    request.spot,
                    request.count
                );
                self.autoscaler.requested.insert(name, request.clone());
                self.actions.push(Action::Provision(request));
            }
        }
    }

    /// Has machines of an offer provisioned for `left` tasks, as many as may be asked for at present; says
    /// how many tasks remain. At least one task must fit.
    fn plan(
        &self,
        offer: Offer,
        capacity: Resources,
        resources: Resources,
        left: u32,
        incoming: &mut Vec<IncomingMachines>,
        planned: &mut BTreeMap<Offer, u32>,
    ) -> u32 {
        let n = (left / capacity.count_fitting(resources))
            .clamp(1, self.request_limit(&offer, planned).max(1));
        incoming.push(IncomingMachines {
            offer: offer.clone(),
            free: capacity,
            n,
        });
        *planned.entry(offer.clone()).or_default() += n;
        use_incoming(incoming, |o| *o == offer, resources, left)
    }

    /// Whether any offer on which these tasks may run was not refused lately.
    fn any_offer(&self, requirements: &TaskRequirements, now: Secs) -> bool {
        self.offers(requirements)
            .any(|o| self.autoscaler.available(&o, now))
    }

    /// Whether the cloud refused every offer on which these tasks may run when it was last asked for.
    fn all_exhausted(&self, requirements: &TaskRequirements) -> bool {
        self.offers(requirements)
            .all(|o| self.autoscaler.is_exhausted(&o))
    }

    /// The offers on which these tasks may run.
    fn offers<'a>(
        &'a self,
        requirements: &'a TaskRequirements,
    ) -> impl Iterator<Item = Offer> + 'a {
        let offers = requirements.kinds.iter().flat_map(|a| {
            let zones = self
                .cluster
                .types
                .get(&a.kind)
                .map_or(&[][..], |t| &t.zones);
            zones.iter().map(|z| (a.kind.clone(), z.clone(), a.spot))
        });
        offers.filter(|o| allows(requirements, &requirements.zone, o))
    }

    /// How many more machines of an offer may be asked for at present: what is refused shows
    /// only in the answers, and requests are few.
    fn request_limit(&self, offer: &Offer, planned: &BTreeMap<Offer, u32>) -> u32 {
        let requested = self
            .autoscaler
            .requested
            .values()
            .filter(|h| (&h.kind, &h.zone, h.spot) == (&offer.0, &offer.1, offer.2));
        let sum: u32 =
            requested.map(|h| h.count).sum::<u32>() + planned.get(offer).copied().unwrap_or(0);
        // One machine shows whether there are some again.
        let most = if self.autoscaler.is_exhausted(offer) {
            1
        } else {
            MAX_MACHINES_PER_REQUEST * 2
        };
        most.saturating_sub(sum)
    }

    /// Provisions what a whole gang lacks. If its job wants one zone, that is the one which lacks
    /// least of those that are said to have machines, and it is kept to: half a gang's machines
    /// in each of two zones serve nobody. What is there for it already is not returned.
    fn scale_out_for_gang(
        &mut self,
        id: &str,
        requirements: &TaskRequirements,
        incoming: &mut Vec<IncomingMachines>,
        planned: &mut BTreeMap<Offer, u32>,
        now: Secs,
    ) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let (resources, n, spread) = (job.resources(), job.spec.tasks, job.spec.spread);
        let every: BTreeSet<Option<String>> = requirements
            .kinds
            .iter()
            .filter_map(|a| self.cluster.types.get(&a.kind))
            .flat_map(|t| t.zones.iter().cloned().map(Some))
            .collect();
        if requirements.zone.is_some() || !job.spec.one_zone && !spread {
            self.scale_out_in_zone(requirements, resources, n, incoming, planned, now);
            return;
        }
        let within = |zone: &Option<String>| TaskRequirements {
            zone: zone.clone(),
            ..requirements.clone()
        };
        let has = |l: &Leader, zone: &Option<String>| {
            let here: u32 = l
                .cluster
                .index
                .fits(&within(zone))
                .iter()
                .map(|f| f.slots)
                .sum();
            let on_way: u32 = incoming
                .iter()
                .filter(|c| allows(requirements, zone, &c.offer))
                .map(|c| c.free.count_fitting(resources) * c.n)
                .sum();
            here.saturating_add(on_way)
        };
        let offers = |l: &Leader, zone: &Option<String>| l.any_offer(&within(zone), now);
        if spread {
            // No zone may have more than half: what is above that in one is of no use.
            let half = n.div_ceil(2);
            let mut order: Vec<_> = every
                .iter()
                .map(|z| (!offers(self, z), has(self, z).min(half), z.clone()))
                .collect();
            order.sort_by_key(|(none, has, _)| (*none, std::cmp::Reverse(*has)));
            let mut left = n;
            for (_, _, zone) in order {
                let take = left.min(half);
                left -= take;
                self.scale_out_in_zone(&within(&zone), resources, take, incoming, planned, now);
            }
            return;
        }
        let lacks = |l: &Leader, zone: &Option<String>| n.saturating_sub(has(l, zone));
        let long = self.cluster.waits_long(id, now);
        let good = |z: &&Option<String>| {
            every.contains(*z) && (long || lacks(self, z) == 0 || offers(self, z))
        };
        let stays = self.autoscaler.gang_zones.get(id).filter(good).cloned();
        let best = || {
            every
                .iter()
                .min_by_key(|z| (lacks(self, z) > 0 && !offers(self, z), lacks(self, z)))
                .cloned()
        };
        let Some(zone) = stays.or_else(best) else {
            return;
        };
        self.autoscaler.gang_zones.insert(id.into(), zone.clone());
        self.scale_out_in_zone(&within(&zone), resources, n, incoming, planned, now);
    }

    /// Keeps what is free for `n` tasks, and provisions what they lack beside what is on its way.
    fn scale_out_in_zone(
        &mut self,
        requirements: &TaskRequirements,
        resources: Resources,
        n: u32,
        incoming: &mut Vec<IncomingMachines>,
        planned: &mut BTreeMap<Offer, u32>,
        now: Secs,
    ) {
        let mut left = n;
        for f in self.cluster.index.fits(requirements) {
            if left == 0 {
                break;
            }
            left -= f.slots.min(left);
            self.autoscaler.retained.insert(f.name.to_string());
        }
        left = use_incoming(
            incoming,
            |o| allows(requirements, &requirements.zone, o),
            resources,
            left,
        );
        while left > 0 {
            let Some((offer, capacity)) = self.cheapest(
                &requirements.kinds,
                requirements.zone.as_deref(),
                resources,
                left,
                planned,
                now,
            ) else {
                break;
            };
            if capacity.count_fitting(resources) == 0 {
                break;
            }
            left = self.plan(offer, capacity, resources, left, incoming, planned);
        }
    }

    /// The offer with the lowest price per task that fits, preferring one that is not too big.
    /// None if what costs much less than the rest is being asked for to the limit: its answer
    /// comes soon.
    fn cheapest(
        &mut self,
        kinds: &[AllowedMachineType],
        zone: Option<&str>,
        resources: Resources,
        n: u32,
        planned: &BTreeMap<Offer, u32>,
        now: Secs,
    ) -> Option<(Offer, Resources)> {
        let mut best: Option<(f64, Offer, Resources)> = None;
        let mut least = f64::MAX;
        for AllowedMachineType { kind, spot, .. } in kinds {
            let Some(t) = self.cluster.types.get(kind) else {
                continue;
            };
            let capacity = Resources::of_type(t);
            let slots = capacity.count_fitting(resources).min(n);
            if slots == 0 {
                continue;
            }
            // Boot time is paid as well; a peak pays for little more than the least charge.
            let hourly = if *spot { t.spot_price } else { t.price };
            let price = hourly * (t.boot_s + MIN_CHARGE_S) / f64::from(slots);
            for z in t
                .zones
                .iter()
                .filter(|z| zone.is_none_or(|w| w == z.as_str()))
            {
                let offer = (kind.clone(), z.clone(), *spot);
                // A little noise spreads machines over zones of the same price.
                let price = price * (1.0 + 0.01 * self.rng.f64());
                let is_probed = self.autoscaler.is_exhausted(&offer)
                    && self.request_limit(&offer, planned) == 0;
                if !self.autoscaler.available(&offer, now) || is_probed {
                    continue;
                }
                least = least.min(price);
                if self.request_limit(&offer, planned) > 0
                    && best.as_ref().is_none_or(|(p, _, _)| price < *p)
                {
                    best = Some((price, offer, capacity));
                }
            }
        }
        best.filter(|(price, _, _)| *price <= least * MAX_PRICE_RATIO)
            .map(|(_, offer, capacity)| (offer, capacity))
    }
}
