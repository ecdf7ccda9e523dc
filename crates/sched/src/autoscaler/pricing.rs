//! Which offers of the cloud may be asked for at present, and which of them is the cheapest.

use super::plan::MAX_MACHINES_PER_REQUEST;
use super::scale_out::ScaleOut;
use super::{Autoscaler, Offer, MIN_CHARGE_S};
use crate::placement::Resources;
use crate::Secs;
use wire::cloud::{MachineType, ProvisionRequest};
use wire::peers::TaskRequirements;

/// An offer is not taken at this many times the price of one whose answer is still to come.
const MAX_PRICE_RATIO: f64 = 1.3;

/// Prices are raised by up to this part at random: it spreads machines over zones of the same price.
const PRICE_NOISE: f64 = 0.01;

/// Most machines of one offer that may be asked for before an answer comes.
const MAX_UNANSWERED: u32 = MAX_MACHINES_PER_REQUEST * 2;

/// Most machines of an offer that may be asked for after a refusal: one shows whether there are some again.
const MAX_UNANSWERED_PROBES: u32 = 1;

/// An offer at its price for some tasks.
pub(super) struct PricedOffer {
    /// What is offered.
    pub offer: Offer,
    /// Resources of one machine; at least one task fits.
    pub capacity: Resources,
    /// How long a machine boots, in seconds.
    pub boot_s: Secs,
    /// Price of a task, in a unit that is good for comparison only.
    price: f64,
}

impl Autoscaler {
    /// Whether an offer may be asked for, as far as refusals go.
    fn is_available(&self, offer: &Offer, now: Secs) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|refusal| now >= refusal.until)
    }

    /// Whether the cloud had fewer machines of an offer than were last asked for.
    fn is_exhausted(&self, offer: &Offer) -> bool {
        self.refused.contains_key(offer)
    }

    /// How many machines of an offer the cloud was asked for and has not answered.
    fn unanswered(&self, offer: &Offer) -> u32 {
        let of_offer = |request: &&ProvisionRequest| offer.is_asked_by(request);
        let requests = self.requested.values().filter(of_offer);
        requests.map(|request| request.count).sum()
    }
}

impl ScaleOut<'_> {
    /// The offers on which tasks may run.
    fn offers<'r>(
        &'r self,
        requirements: &'r TaskRequirements,
    ) -> impl Iterator<Item = Offer> + 'r {
        let offers = requirements.kinds.iter().flat_map(|allowed| {
            let machine_type = self.cluster.machine_types.get(&allowed.kind);
            let zones = machine_type.map_or(&[][..], |machine_type| &machine_type.zones);
            zones
                .iter()
                .map(|zone| Offer::new(&allowed.kind, zone, allowed.spot))
        });
        offers.filter(|offer| offer.is_allowed_by(requirements))
    }

    /// Whether any offer on which tasks may run was not refused lately.
    pub fn has_available_offer(&self, requirements: &TaskRequirements) -> bool {
        self.offers(requirements)
            .any(|offer| self.autoscaler.is_available(&offer, self.now))
    }

    /// Whether the cloud refused every offer on which tasks may run when it was last asked for.
    pub fn has_only_exhausted_offers(&self, requirements: &TaskRequirements) -> bool {
        self.offers(requirements)
            .all(|offer| self.autoscaler.is_exhausted(&offer))
    }

    /// How many more machines of an offer may be asked for at present: what is refused shows only in the
    /// answers, and requests are few.
    pub fn request_limit(&self, offer: &Offer) -> u32 {
        let limit = if self.autoscaler.is_exhausted(offer) {
            MAX_UNANSWERED_PROBES
        } else {
            MAX_UNANSWERED
        };
        limit.saturating_sub(self.autoscaler.unanswered(offer) + self.plan.count(offer))
    }

    /// The offer with the lowest price per task that fits, preferring one that is not too big. None if what
    /// costs much less than the rest is being asked for to the limit: its answer comes soon.
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

    /// The offers on which tasks may run and that were not refused lately, at their prices. Every offer of a
    /// type on which a task fits takes one random draw, whether it is available or not.
    fn priced_offers(&mut self, requirements: &TaskRequirements, tasks: u32) -> Vec<PricedOffer> {
        let resources = Resources::of(requirements);
        let mut priced = Vec::new();
        for allowed in &requirements.kinds {
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

    /// Whether an offer was refused and is being asked for again: it may have no machines at any price.
    fn is_probe_pending(&self, offer: &Offer) -> bool {
        self.autoscaler.is_exhausted(offer) && self.request_limit(offer) == 0
    }
}

/// Price of each of the tasks that run on a machine together. Boot time is paid as well, and a peak pays for
/// little more than the least charge.
fn price_per_task(machine_type: &MachineType, spot: bool, tasks: u32) -> f64 {
    let hourly = if spot {
        machine_type.spot_price
    } else {
        machine_type.price
    };
    hourly * (machine_type.boot_s + MIN_CHARGE_S) / f64::from(tasks)
}
