//! Selection of the cheapest cloud offer that may currently be requested.

use super::plan::MAX_MACHINES_PER_REQUEST;
use super::scale_out::ScaleOut;
use super::{Autoscaler, Offer, MIN_CHARGE_S};
use crate::placement::Resources;
use crate::Secs;
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::TaskRequirements;

/// Maximum price of an offer, as a multiple of the lowest price. If only dearer offers may be
/// requested, it is better to wait for the answer on the cheapest one.
const MAX_PRICE_RATIO: f64 = 1.3;

/// Maximum random fraction added to each price, to spread machines over zones of equal price.
const PRICE_NOISE: f64 = 0.01;

/// Maximum number of machines of one offer in unanswered requests.
const MAX_UNANSWERED: u32 = MAX_MACHINES_PER_REQUEST * 2;

/// Maximum number of machines of an offer in unanswered requests after a refusal: a single machine
/// is enough to probe for capacity.
const MAX_UNANSWERED_PROBES: u32 = 1;

/// An offer with its price per task for given requirements.
pub(super) struct PricedOffer {
    /// The offer.
    pub offer: Offer,
    /// Resources of one machine, which fit at least one task.
    pub capacity: Resources,
    /// Nominal boot time of a machine in seconds.
    pub boot_s: Secs,
    /// Price per task, in a unit that is only meaningful for comparison.
    price: f64,
}

impl Autoscaler {
    /// Returns whether an offer is outside the backoff after a refusal.
    fn is_available(&self, offer: &Offer, now: Secs) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|refusal| now >= refusal.until)
    }

    /// Returns whether the last request for an offer was not fully granted.
    fn is_exhausted(&self, offer: &Offer) -> bool {
        self.refused.contains_key(offer)
    }

    /// Returns the number of machines of an offer in unanswered requests.
    fn unanswered(&self, offer: &Offer) -> u32 {
        let of_offer = |request: &&ProvisionRequest| offer.matches_request(request);
        let requests = self.requested.values().filter(of_offer);
        requests.map(|request| request.count).sum()
    }
}

impl ScaleOut<'_> {
    /// Returns the offers on which tasks may run.
    fn offers<'r>(
        &'r self,
        requirements: &'r TaskRequirements,
    ) -> impl Iterator<Item = Offer> + 'r {
        let offers = requirements.allowed_types.iter().flat_map(|allowed| {
            let machine_type = self.cluster.machine_types.get(&allowed.kind);
            let zones = machine_type.map_or(&[][..], |machine_type| &machine_type.zones);
            zones
                .iter()
                .map(|zone| Offer::new(&allowed.kind, zone, allowed.spot))
        });
        offers.filter(|offer| offer.is_allowed_by(requirements))
    }

    /// Returns whether any offer on which tasks may run is outside the backoff after a refusal.
    pub fn has_available_offer(&self, requirements: &TaskRequirements) -> bool {
        self.offers(requirements)
            .any(|offer| self.autoscaler.is_available(&offer, self.now))
    }

    /// Returns whether the last request for each offer on which tasks may run was not fully
    /// granted.
    pub fn has_only_exhausted_offers(&self, requirements: &TaskRequirements) -> bool {
        self.offers(requirements)
            .all(|offer| self.autoscaler.is_exhausted(&offer))
    }

    /// Returns how many more machines of an offer may be requested now. The number is limited
    /// because a refusal shows only in the answer to a request, and requests are few.
    pub fn request_limit(&self, offer: &Offer) -> u32 {
        let limit = if self.autoscaler.is_exhausted(offer) {
            MAX_UNANSWERED_PROBES
        } else {
            MAX_UNANSWERED
        };
        limit.saturating_sub(self.autoscaler.unanswered(offer) + self.plan.count(offer))
    }

    /// Returns the offer with the lowest price per task. A machine that fits more than `tasks`
    /// tasks is priced for `tasks` tasks, so oversized machines cost more. Returns `None` if an
    /// offer that is much cheaper than the others is already requested up to its limit: its answer
    /// will arrive soon.
    pub fn cheapest(&mut self, requirements: &TaskRequirements, tasks: u32) -> Option<PricedOffer> {
        let offers = self.priced_offers(requirements, tasks);
        let lowest = offers
            .iter()
            .map(|priced| priced.price)
            .fold(f64::MAX, f64::min);
        offers
            .into_iter()
            .filter(|priced| self.request_limit(&priced.offer) > 0)
            .reduce(|best, next| if next.price < best.price { next } else { best })
            .filter(|best| best.price <= lowest * MAX_PRICE_RATIO)
    }

    /// Returns the available offers on which tasks may run, with their prices. Every offer of a
    /// machine type that fits a task consumes one random number, whether or not the offer is
    /// available.
    fn priced_offers(&mut self, requirements: &TaskRequirements, tasks: u32) -> Vec<PricedOffer> {
        let resources = Resources::of(requirements);
        let mut priced = Vec::new();
        for allowed in &requirements.allowed_types {
            let Some(machine_type) = self.cluster.machine_types.get(&allowed.kind) else {
                continue;
            };
            let capacity = Resources::of_type(machine_type);
            let slots = capacity.count_fitting(resources).min(tasks);
            if slots == 0 {
                continue;
            }
            let price = price_per_task(machine_type, allowed.spot, slots);
            let wanted = |zone: &&String| requirements.zone.as_ref().is_none_or(|z| z == *zone);
            for zone in machine_type.zones.iter().filter(wanted) {
                let offer = Offer::new(&allowed.kind, zone, allowed.spot);
                let price = price * (1.0 + PRICE_NOISE * self.rng.f64());
                if self.autoscaler.is_available(&offer, self.now) && !self.is_probe_pending(&offer)
                {
                    priced.push(PricedOffer {
                        offer,
                        capacity,
                        boot_s: machine_type.boot_s,
                        price,
                    });
                }
            }
        }
        priced
    }

    /// Returns whether an exhausted offer is being probed for capacity. Until the answer arrives,
    /// it may have no machines at any price.
    fn is_probe_pending(&self, offer: &Offer) -> bool {
        self.autoscaler.is_exhausted(offer) && self.request_limit(offer) == 0
    }
}

/// Returns the price per task for `tasks` tasks that share a machine. The cost covers the boot
/// time, which is charged as well, plus the minimum charge: during a demand peak a machine runs for
/// little longer.
fn price_per_task(machine_type: &MachineType, spot: bool, tasks: u32) -> f64 {
    let hourly = if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    };
    hourly * (machine_type.boot_s + MIN_CHARGE_S) / f64::from(tasks)
}
