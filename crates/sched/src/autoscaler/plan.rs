//! What a review asks the cloud for, and the requests that come of it.

use super::{Autoscaler, Offer};
use std::collections::BTreeMap;
use wire::cloud::ProvisionRequest;

/// Most machines of one request (a figure of the protocol).
pub(super) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// How many machines of each offer a review asks for.
#[derive(Default)]
pub(super) struct Plan {
    /// By offer; requests are sent in its order.
    counts: BTreeMap<Offer, u32>,
}

impl Plan {
    /// Asks for more machines of an offer.
    pub fn add(&mut self, offer: Offer, count: u32) {
        *self.counts.entry(offer).or_default() += count;
    }

    /// How many machines of an offer are asked for.
    pub fn count(&self, offer: &Offer) -> u32 {
        self.counts.get(offer).copied().unwrap_or(0)
    }
}

impl Autoscaler {
    /// Splits a plan into requests that the protocol allows, and expects their answers.
    pub(super) fn requests(&mut self, plan: Plan, token: u64) -> Vec<ProvisionRequest> {
        let mut requests = Vec::new();
        for (offer, mut left) in plan.counts {
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                left -= count;
                requests.push(self.request(&offer, count, token));
            }
        }
        requests
    }

    /// A request under a name that was never used before.
    fn request(&mut self, offer: &Offer, count: u32, token: u64) -> ProvisionRequest {
        self.last_request_number += 1;
        let request = ProvisionRequest {
            name: format!("lr-{token}-{}", self.last_request_number),
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            count,
        };
        log::info!(
            "event=provision name={} kind={} zone={} spot={} count={}",
            request.name,
            request.kind,
            request.zone,
            request.spot,
            request.count
        );
        self.requested.insert(request.name.clone(), request.clone());
        request
    }
}
