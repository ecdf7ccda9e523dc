//! What the cloud offers: machines of a type in a zone, spot or ordinary.

use crate::cluster::Machine;
use crate::placement::tier;
use crate::Secs;
use wire::cloud::{ListedMachine, ProvisionRequest};
use wire::peers::TaskRequirements;

/// After a refusal an offer is left alone for this part of the cloud's list lag: about as long as freed capacity
/// takes to show.
const REFUSAL_LAG_SHARE: f64 = 0.5;

/// Part of that time after a request whose outcome is unknown: it says nothing of the cloud's capacity.
const UNKNOWN_OUTCOME_SHARE: f64 = 0.25;

/// The wait doubles with each refusal in a row, so many times at most.
const MAX_DOUBLINGS: u32 = 2;

/// A wait is drawn between this part of its length and that part plus `JITTER_SPAN`.
const MIN_JITTER_FACTOR: f64 = 0.75;

/// Width of the range that the part is drawn from.
const JITTER_SPAN: f64 = 0.5;

/// Machines of one type, zone and kind (spot or ordinary). The order of the fields is the order in which
/// requests are sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Offer {
    /// Name of the machine type.
    pub kind: String,
    /// Zone of the machines.
    pub zone: String,
    /// Whether they are spot machines.
    pub spot: bool,
}

impl Offer {
    /// Machines of a type in a zone.
    pub fn new(kind: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }

    /// What a request asks for.
    pub fn of_request(request: &ProvisionRequest) -> Offer {
        Offer::new(&request.kind, &request.zone, request.spot)
    }

    /// What a machine of the cloud's list came from.
    pub fn of_listed(listed: &ListedMachine) -> Offer {
        Offer::new(&listed.kind, &listed.zone, listed.spot)
    }

    /// What a machine of the cluster came from.
    pub fn of_machine(machine: &Machine) -> Offer {
        Offer::new(&machine.kind, &machine.zone, machine.spot)
    }

    /// Whether a request asks for this.
    pub fn is_asked_by(&self, request: &ProvisionRequest) -> bool {
        self.kind == request.kind && self.zone == request.zone && self.spot == request.spot
    }

    /// Whether tasks may run on such machines.
    pub fn is_allowed_by(&self, requirements: &TaskRequirements) -> bool {
        tier(requirements, &self.kind, &self.zone, self.spot).is_some()
    }
}

/// A machine that the cloud has granted and that has not sent a heartbeat yet.
pub(super) struct BootingMachine {
    /// What it came from.
    pub offer: Offer,
    /// When it began to boot, as far as is known.
    pub requested_at: Secs,
}

/// The cloud had fewer machines of an offer than were asked for.
pub(super) struct Refusal {
    /// When the offer may be asked for again.
    pub until: Secs,
    /// How many requests in a row were refused.
    count: u32,
}

impl Refusal {
    /// A refusal that follows `earlier` ones. `answered` tells an answer from an unknown outcome; only an answer
    /// takes a random draw, which keeps offers that were refused together from being asked for together.
    pub fn after(
        earlier: Option<Refusal>,
        answered: bool,
        list_lag_s: f64,
        rng: &mut fastrand::Rng,
        now: Secs,
    ) -> Refusal {
        let earlier = earlier.map_or(0, |refusal| refusal.count);
        let base_s = list_lag_s * REFUSAL_LAG_SHARE;
        let wait_s = if answered {
            let doublings = earlier.min(MAX_DOUBLINGS);
            base_s * f64::from(1u32 << doublings) * (MIN_JITTER_FACTOR + JITTER_SPAN * rng.f64())
        } else {
            base_s * UNKNOWN_OUTCOME_SHARE
        };
        Refusal {
            until: now + wait_s,
            count: earlier + 1,
        }
    }
}
