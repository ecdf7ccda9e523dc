//! The autoscaler: decides which machines to provision for work that could not be placed, and which
//! machines to release.
//!
//! It bases its decisions on the [`Cluster`] and itself keeps only the state of its exchange with
//! the cloud: pending requests, booting machines, refused offers, and releases. It does no I/O: the
//! leader carries out each [`ScalingDecision`] and passes the cloud's answers back.

mod arrivals;
mod gang;
mod incoming;
mod offer;
mod plan;
mod pricing;
mod releases;
mod retention;
mod scale_in;
mod scale_out;

use crate::cluster::Cluster;
use crate::Secs;
use arrivals::Arrivals;
use offer::{BootingMachine, Offer, Refusal};
pub use releases::ReleaseOutcome;
use releases::Releases;
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::{Listed, ListedMachine, ProvisionRequest};
use wire::users::Job as JobSpec;

/// Minimum time in seconds that the cloud charges for a machine (defined by the cloud's protocol).
const MIN_CHARGE_S: f64 = 60.0;

/// Maximum time between two reviews in seconds, regardless of the heartbeat interval.
const MAX_REVIEW_INTERVAL_S: f64 = 1.0;

/// Fraction of the review interval after which the next review may run early. It applies once the
/// cloud has answered every request, since the next request can then be sent at once.
const EARLY_REVIEW_SHARE: f64 = 0.25;

/// The properties of the leader's current epoch that the autoscaler depends on.
pub(crate) struct EpochContext {
    /// Fencing token of the leader's epoch. The name of each provision request contains it, so that
    /// no name is used twice, even by different leaders.
    pub token: u64,
    /// Time at which the epoch began.
    pub began_at: Secs,
    /// Whether work is blocked until it is known which tasks are on each machine.
    pub waits_for_unknown_machines: bool,
}

/// Scaling actions for the leader to carry out, in the order of the fields.
pub(crate) struct ScalingDecision {
    /// Requests to send to the cloud.
    pub provision: Vec<ProvisionRequest>,
    /// Machines on which nothing may be placed any more; their owners must be notified.
    pub drain: Vec<String>,
    /// Machines to release, in batches that each fit one release request.
    pub deprovision: Vec<Vec<String>>,
}

/// The state of the exchange between the controller and the cloud. A released machine never returns
/// to `booting`, although the cloud's lists and late heartbeats may still name it.
#[derive(Default)]
pub(crate) struct Autoscaler {
    /// Machines granted by the cloud that have not sent a heartbeat yet, by name.
    booting: BTreeMap<String, BootingMachine>,
    /// Provision requests that the cloud has not answered, by name.
    requested: BTreeMap<String, ProvisionRequest>,
    /// Offers for which the last request was not fully granted.
    refused: BTreeMap<Offer, Refusal>,
    /// The zone in which machines for each waiting gang are provisioned, by job id.
    gang_zones: BTreeMap<String, String>,
    /// Machines kept for a gang that still lacks other machines; they are not released meanwhile.
    retained_for_gangs: BTreeSet<String>,
    /// Releases requested from the cloud.
    releases: Releases,
    /// Number of the last provision request of this leader.
    last_request_number: u64,
    /// Time of the last review.
    reviewed_at: Secs,
    /// Recent job arrivals.
    arrivals: Arrivals,
}

impl Autoscaler {
    /// Returns the zone in which machines for a waiting gang are provisioned.
    pub fn gang_zone(&self, id: &str) -> Option<&String> {
        self.gang_zones.get(id)
    }

    /// Drops the state kept for a job that has ended.
    pub fn forget_job(&mut self, id: &str) {
        self.gang_zones.remove(id);
    }

    /// Records the arrival of a job.
    pub fn record_arrival(&mut self, job: &JobSpec, now: Secs) {
        self.arrivals.record(job, now);
    }

    /// Records the first heartbeat of a machine.
    pub fn record_boot(&mut self, name: &str, now: Secs) {
        if let Some(machine) = self.booting.remove(name) {
            log::info!(
                "event=machine_booted machine={name} kind={} after_s={:.1}",
                machine.offer.kind,
                now - machine.requested_at
            );
        }
    }

    /// Returns the number of booting machines.
    pub fn booting_count(&self) -> usize {
        self.booting.len()
    }

    /// Returns whether the cloud has confirmed the release of a machine.
    pub fn is_released(&self, name: &str) -> bool {
        self.releases.is_confirmed(name)
    }

    /// Returns whether a request for the release of a machine is queued or under way.
    pub fn is_release_requested(&self, name: &str) -> bool {
        self.releases.is_requested(name)
    }

    /// Returns whether the release of a machine was requested, and may still take effect.
    fn is_under_release(&self, name: &str) -> bool {
        self.releases.is_requested(name) || self.releases.may_take_effect(name)
    }

    /// Returns whether a machine may be released at any time, because an earlier request for its
    /// release got no answer.
    pub fn may_be_released(&self, name: &str) -> bool {
        self.releases.may_take_effect(name)
    }

    /// Returns whether a review is due: once per heartbeat interval, or per `MAX_REVIEW_INTERVAL_S`
    /// if that is shorter; earlier if the cloud has answered all requests and some work is still
    /// unplaced; never before the machine types are known.
    pub fn is_due(&self, cluster: &Cluster, now: Secs) -> bool {
        let interval_s = cluster.config.heartbeat_s.min(MAX_REVIEW_INTERVAL_S);
        let since_s = now - self.reviewed_at;
        let early = self.requested.is_empty()
            && !cluster.unplaced.is_empty()
            && since_s >= interval_s * EARLY_REVIEW_SHARE;
        (since_s >= interval_s || early) && !cluster.machine_types.is_empty()
    }

    /// Runs a review: provisions machines for unplaced work, and releases machines that are idle
    /// for too long, faulty or lost.
    pub fn decide(
        &mut self,
        cluster: &mut Cluster,
        epoch: &EpochContext,
        rng: &mut fastrand::Rng,
        now: Secs,
    ) -> ScalingDecision {
        self.reviewed_at = now;
        let scarce = cluster.scarce_types();
        let provision = self.scale_out(cluster, &scarce, epoch.token, rng, now);
        let scale_in = self.scale_in(cluster, &scarce, epoch, now);
        ScalingDecision {
            provision,
            drain: scale_in.drain,
            deprovision: self.releases.request(scale_in.release),
        }
    }

    /// Handles the outcome of a provision request. `machines` holds the names of the granted
    /// machines, empty if there was no capacity. `None` means that the request was not carried out
    /// or its outcome is unknown; any machines that it did create will show up in a list or send
    /// heartbeats.
    pub fn provision_answered(
        &mut self,
        cluster: &Cluster,
        name: &str,
        machines: Option<Vec<String>>,
        rng: &mut fastrand::Rng,
        now: Secs,
    ) {
        let Some(request) = self.requested.remove(name) else {
            return;
        };
        let offer = Offer::of_request(&request);
        let granted = machines.as_ref().map_or(0, Vec::len) as u32;
        let earlier = self.refused.remove(&offer);
        if granted < request.count {
            let (answered, list_lag_s) = (machines.is_some(), cluster.config.list_lag_s);
            let refusal = Refusal::after(earlier, answered, list_lag_s, rng, now);
            self.refused.insert(offer.clone(), refusal);
        }
        for machine in machines.unwrap_or_default() {
            if !cluster.machines.contains_key(&machine) && !self.is_released(&machine) {
                self.track_booting(machine, offer.clone(), now);
            }
        }
    }

    /// Records the outcome of a request for the release of a machine.
    pub fn record_release_outcome(&mut self, name: &str, outcome: ReleaseOutcome) {
        self.releases.record_outcome(name, outcome);
        if outcome == ReleaseOutcome::Released {
            self.booting.remove(name);
        }
    }

    /// Processes a list of the cloud's machines: adopts those that the leader does not track yet,
    /// and returns the failed ones in batches to release.
    pub fn process_machine_list(
        &mut self,
        cluster: &Cluster,
        list: &[ListedMachine],
        now: Secs,
    ) -> Vec<Vec<String>> {
        let mut failed = Vec::new();
        for listed in list {
            if self.is_released(&listed.name) || cluster.machines.contains_key(&listed.name) {
                continue;
            }
            if listed.state == Listed::Failed {
                failed.push(listed.name.clone());
            } else if !self.booting.contains_key(&listed.name) {
                self.adopt(cluster, listed, now);
            }
        }
        self.releases.request(failed)
    }

    /// Tracks a machine as booting that an earlier leader provisioned, or whose grant did not reach
    /// this leader.
    fn adopt(&mut self, cluster: &Cluster, listed: &ListedMachine, now: Secs) {
        log::info!(
            "event=machine_adopted machine={} kind={}",
            listed.name,
            listed.kind
        );
        let since_request_s = if listed.state == Listed::Booting {
            listed.age_s
        } else {
            let machine_type = cluster.machine_types.get(&listed.kind);
            machine_type.map_or(0.0, |machine_type| machine_type.boot_s)
        };
        self.track_booting(
            listed.name.clone(),
            Offer::of_listed(listed),
            now - since_request_s,
        );
    }

    /// Adds a booting machine, whose first heartbeat is awaited.
    fn track_booting(&mut self, name: String, offer: Offer, requested_at: Secs) {
        let machine = BootingMachine {
            offer,
            requested_at,
        };
        self.booting.insert(name, machine);
    }
}
