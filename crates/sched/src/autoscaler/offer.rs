//! Offers of the cloud: spot or on-demand machines of a type in a zone.

use crate::cluster::Machine;
use crate::placement::tier;
use crate::Secs;
use wire::cloud::{ListedMachine, ProvisionRequest};
use wire::peers::TaskRequirements;

/// Backoff after a refusal, as a fraction of the cloud's list lag (`SchedulerConfig::list_lag_s`):
/// about the time until freed capacity becomes visible.
const REFUSAL_LAG_SHARE: f64 = 0.5;

/// Backoff after a request whose outcome is unknown, as a fraction of the backoff after a first
/// refusal. It is shorter because such a request says nothing about the cloud's capacity.
const UNKNOWN_OUTCOME_SHARE: f64 = 0.25;

/// Maximum number of times that the backoff doubles; it doubles with each consecutive refusal.
const MAX_DOUBLINGS: u32 = 2;

/// Minimum random factor of a backoff; the maximum is this plus `JITTER_SPAN`.
const MIN_JITTER_FACTOR: f64 = 0.75;

/// Width of the range of a backoff's random factor.
const JITTER_SPAN: f64 = 0.5;

/// Spot or on-demand machines of one type in one zone. The order of the fields defines the order in
/// which requests are sent.
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
    /// Creates the offer of a machine type in a zone.
    pub fn new(kind: &str, zone: &str, spot: bool) -> Offer {
        Offer {
            kind: kind.to_string(),
            zone: zone.to_string(),
            spot,
        }
    }

    /// Returns the offer that a request is for.
    pub fn of_request(request: &ProvisionRequest) -> Offer {
        Offer::new(&request.kind, &request.zone, request.spot)
    }

    /// Returns the offer that a machine of the cloud's list comes from.
    pub fn of_listed(listed: &ListedMachine) -> Offer {
        Offer::new(&listed.kind, &listed.zone, listed.spot)
    }

    /// Returns the offer that a machine of the cluster comes from.
    pub fn of_machine(machine: &Machine) -> Offer {
        Offer::new(&machine.kind, &machine.zone, machine.spot)
    }

    /// Returns whether a request is for this offer.
    pub fn matches_request(&self, request: &ProvisionRequest) -> bool {
        self.kind == request.kind && self.zone == request.zone && self.spot == request.spot
    }

    /// Returns whether tasks with these requirements may run on machines of this offer.
    pub fn is_allowed_by(&self, requirements: &TaskRequirements) -> bool {
        tier(requirements, &self.kind, &self.zone, self.spot).is_some()
    }
}

/// A machine that was granted by the cloud and has not sent a heartbeat yet.
pub(super) struct BootingMachine {
    /// The offer that it comes from.
    pub offer: Offer,
    /// Estimated time at which it started to boot.
    pub requested_at: Secs,
}

/// Record that the cloud did not fully grant requests for an offer.
pub(super) struct Refusal {
    /// Time from which the offer may be requested again.
    pub until: Secs,
    /// Number of consecutive refusals.
    count: u32,
}

impl Refusal {
    /// Returns the record of a refusal that follows `earlier` ones. `answered` is false if the
    /// outcome of the request is unknown. Only an answered request consumes a random number: the
    /// jitter prevents offers that were refused together from being requested together again.
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
