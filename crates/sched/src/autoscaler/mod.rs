//! The autoscaler: which machines to provision for work that finds none, and which machines to return.
//!
//! It decides on the [`Cluster`] and keeps to itself only what passes between the controller and the cloud:
//! requests in flight, machines that boot, offers that were refused, and releases. It does no I/O: the leader
//! carries out each [`ScalingDecision`] and hands the cloud's answers back.

mod arrivals;
mod gang;
mod incoming;
mod offer;
mod plan;
mod pricing;
mod retention;
mod scale_in;
mod scale_out;

use crate::cluster::Cluster;
use crate::Secs;
use arrivals::Arrivals;
use offer::{BootingMachine, Offer, Refusal};
use std::collections::{BTreeMap, BTreeSet};
use wire::cloud::{Listed, ListedMachine, ProvisionRequest};
use wire::users::Job as JobSpec;

/// The cloud charges for at least this many seconds of a machine (a figure of the protocol).
const MIN_CHARGE_S: f64 = 60.0;

/// Longest time between two reviews, in seconds, however long the heartbeat interval is.
const MAX_REVIEW_INTERVAL_S: f64 = 1.0;

/// Part of that interval after which work is reviewed again once the cloud has answered every request: the
/// next request can go out at once.
const EARLY_REVIEW_SHARE: f64 = 0.25;

/// What the autoscaler has to know of the leader's present epoch.
pub(crate) struct EpochContext {
    /// The leader's token; part of the names of requests, which are never used twice.
    pub token: u64,
    /// When the epoch began.
    pub began_at: Secs,
    /// Whether work waits until the content of all machines is known.
    pub waits_for_unknown_machines: bool,
}

/// What the leader has to carry out, in the order of the fields.
pub(crate) struct ScalingDecision {
    /// Requests to send to the cloud.
    pub provision: Vec<ProvisionRequest>,
    /// Machines on which nothing may be placed any more: their owners have to be told.
    pub cordon: Vec<String>,
    /// Machines to return, in batches of which each fits one release.
    pub deprovision: Vec<Vec<String>>,
}

/// What is under way between the controller and the cloud. A machine that the cloud has taken back never comes
/// back into `booting`: the cloud's lists and late heartbeats may still name it.
#[derive(Default)]
pub(crate) struct Autoscaler {
    /// Machines that the cloud has granted and that have not sent a heartbeat yet, by name.
    booting: BTreeMap<String, BootingMachine>,
    /// Requests that the cloud has not answered, by name.
    requested: BTreeMap<String, ProvisionRequest>,
    /// Offers of which the cloud had fewer machines than were last asked for.
    refused: BTreeMap<Offer, Refusal>,
    /// The zone that each waiting gang's machines are provisioned in, by job.
    gang_zones: BTreeMap<String, String>,
    /// Machines that wait for the rest of a gang's: not returned meanwhile.
    retained_for_gangs: BTreeSet<String>,
    /// Machines that the cloud has taken back.
    released: BTreeSet<String>,
    /// Machines whose release the cloud has not confirmed.
    releasing: BTreeSet<String>,
    /// Number of the last request under this leader.
    last_request_number: u64,
    /// When the work was last reviewed.
    reviewed_at: Secs,
    /// Jobs that came lately.
    arrivals: Arrivals,
}

impl Autoscaler {
    /// The zone that a waiting gang's machines are provisioned in.
    pub fn gang_zone(&self, id: &str) -> Option<&String> {
        self.gang_zones.get(id)
    }

    /// Drops what is kept of a job that is over.
    pub fn forget_job(&mut self, id: &str) {
        self.gang_zones.remove(id);
    }

    /// A job came.
    pub fn record_arrival(&mut self, job: &JobSpec, now: Secs) {
        self.arrivals.record(job, now);
    }

    /// A machine has sent its first heartbeat.
    pub fn record_boot(&mut self, name: &str, now: Secs) {
        if let Some(machine) = self.booting.remove(name) {
            log::info!(
                "event=machine_booted machine={name} kind={} after_s={:.1}",
                machine.offer.kind,
                now - machine.requested_at
            );
        }
    }

    /// How many machines boot.
    pub fn booting_count(&self) -> usize {
        self.booting.len()
    }

    /// Whether the cloud has taken a machine back.
    pub fn is_released(&self, name: &str) -> bool {
        self.released.contains(name)
    }

    /// Whether it is time to look at the work again: once a heartbeat interval, but sooner when the cloud has
    /// answered all that was asked and work still finds no machine.
    pub fn is_due(&self, cluster: &Cluster, now: Secs) -> bool {
        let interval_s = cluster.config.heartbeat_s.min(MAX_REVIEW_INTERVAL_S);
        let since_s = now - self.reviewed_at;
        let early = self.requested.is_empty()
            && !cluster.unplaced.is_empty()
            && since_s >= interval_s * EARLY_REVIEW_SHARE;
        (since_s >= interval_s || early) && !cluster.machine_types.is_empty()
    }

    /// Provisions for work that found no machine, and returns machines that are not worth their price.
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
        let returns = self.scale_in(cluster, &scarce, epoch, now);
        ScalingDecision {
            provision,
            cordon: returns.cordon,
            deprovision: self.begin_release(returns.release),
        }
    }

    /// The cloud's answer to a provision request: the names of machines, or none for no capacity. `None`: it
    /// was not carried out, or its outcome stays unknown; what came of it will be listed or send heartbeats.
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
            if !cluster.machines.contains_key(&machine) {
                self.track_booting(machine, offer.clone(), now);
            }
        }
    }

    /// The cloud has taken a machine back.
    pub fn release_confirmed(&mut self, name: &str) {
        self.releasing.remove(name);
        self.released.insert(name.to_string());
        self.booting.remove(name);
    }

    /// The cloud has not taken a machine back: it has to be asked again.
    pub fn release_failed(&mut self, name: &str) {
        self.releasing.remove(name);
    }

    /// Takes in a list of the cloud's machines: adopts those that are not known, and gives batches of failed
    /// ones to return.
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
        self.begin_release(failed)
    }

    /// Expects heartbeats of a machine that an earlier leader provisioned, or whose grant was not heard.
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

    /// Expects the first heartbeat of a machine.
    fn track_booting(&mut self, name: String, offer: Offer, requested_at: Secs) {
        let machine = BootingMachine {
            offer,
            requested_at,
        };
        self.booting.insert(name, machine);
    }
}
