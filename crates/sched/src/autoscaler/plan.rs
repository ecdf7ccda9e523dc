//! The provisioning plan of a review and the resulting requests to the cloud.

use super::{Autoscaler, Offer};
use std::collections::BTreeMap;
use wire::cloud::ProvisionRequest;

/// Maximum number of machines in one provision request (defined by the cloud's protocol).
pub(super) const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// The number of machines of each offer that a review requests.
#[derive(Default)]
pub(super) struct Plan {
    /// Machine counts by offer; requests are sent in this order.
    counts: BTreeMap<Offer, u32>,
}

impl Plan {
    /// Adds machines of an offer to the plan.
    pub fn add(&mut self, offer: Offer, count: u32) {
        *self.counts.entry(offer).or_default() += count;
    }

    /// Returns the number of machines of an offer in the plan.
    pub fn count(&self, offer: &Offer) -> u32 {
        self.counts.get(offer).copied().unwrap_or(0)
    }
}

impl Autoscaler {
    /// Splits a plan into requests of a size that the protocol allows, and records them as
    /// unanswered.
    pub(super) fn create_requests(
        &mut self,
        plan: Plan,
        leader_token: u64,
    ) -> Vec<ProvisionRequest> {
        let mut requests = Vec::new();
        for (offer, mut left) in plan.counts {
            while left > 0 {
                let count = left.min(MAX_MACHINES_PER_REQUEST);
                left -= count;
                requests.push(self.create_request(&offer, count, leader_token));
            }
        }
        requests
    }

    /// Creates a request with a unique name and records it as unanswered.
    fn create_request(&mut self, offer: &Offer, count: u32, leader_token: u64) -> ProvisionRequest {
        self.last_request_number += 1;
        let request = ProvisionRequest {
            name: format!("lr-{leader_token}-{}", self.last_request_number),
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
