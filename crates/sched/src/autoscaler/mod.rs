//! Autoscaler: which machines to provision and which to return.

mod scale_in;
mod scale_out;

use crate::leader::{Action, Leader};
use crate::Secs;
use scale_in::MAX_MACHINES_PER_RELEASE;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use wire::cloud::{Listed, ListedMachine, ProvisionRequest};
use wire::peers::TaskRequirements;
use wire::users::Job as Spec;

/// The cloud charges at least this long for a machine (a figure of the protocol).
const MIN_CHARGE_S: f64 = 60.0;

/// Idle capacity of up to so many times what the jobs need that came lately is worth keeping.
const DEMAND_COVER: f64 = 4.0;

/// Part of the time that idle machines are kept where no jobs came lately: they may come again.
const MIN_RETENTION_SHARE: f64 = 0.25;

/// Type, zone and kind (spot or ordinary).
type Offer = (String, String, bool);

pub(crate) struct BootingMachine {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub requested_at: Secs,
}

#[derive(Default)]
pub(crate) struct Autoscaler {
    pub booting: BTreeMap<String, BootingMachine>,
    requested: BTreeMap<String, ProvisionRequest>,
    refused: BTreeMap<Offer, (Secs, u32)>,
    /// The zone that each waiting gang's machines are provisioned in.
    gang_zones: BTreeMap<String, Option<String>>,
    /// Machines that are there for waiting gangs: not returned meanwhile.
    retained: BTreeSet<String>,
    released: BTreeSet<String>,
    releasing: BTreeSet<String>,
    counter: u64,
    last: Secs,
    /// When jobs came, and the CPUs of all their tasks together.
    arrivals: VecDeque<(Secs, f64)>,
}

/// Whether an offer is of a type and kind that tasks may use, and in a zone if one is given.
fn allows(requirements: &TaskRequirements, zone: &Option<String>, o: &Offer) -> bool {
    requirements
        .kinds
        .iter()
        .any(|a| a.kind == o.0 && a.spot == o.2)
        && zone.as_ref().is_none_or(|z| *z == o.1)
}

impl Autoscaler {
    pub fn gang_zone(&self, id: &str) -> Option<&String> {
        self.gang_zones.get(id)?.as_ref()
    }

    pub fn forget_job(&mut self, id: &str) {
        self.gang_zones.remove(id);
    }

    pub fn arrived(&mut self, job: &Spec, now: Secs) {
        self.arrivals
            .push_back((now, job.cpus * f64::from(job.tasks)));
    }

    /// How much of idle capacity the jobs that came after an instant make worth keeping. It waits for jobs
    /// still to come: when hardly any came for as long as it is kept, it is returned sooner.
    fn demand_share(&self, since: Secs, idle_cpus: f64) -> f64 {
        let arrived = self
            .arrivals
            .iter()
            .rev()
            .take_while(|(at, _)| *at >= since);
        let cpus: f64 = arrived.map(|(_, cpus)| cpus).sum();
        (cpus * DEMAND_COVER / idle_cpus.max(1.0)).clamp(MIN_RETENTION_SHARE, 1.0)
    }

    /// CPUs of the tasks that came in a second, over some time.
    fn arrival_rate(&self, now: Secs, over_s: Secs) -> f64 {
        let arrived = self.arrivals.iter().rev();
        let recent = arrived.take_while(|(at, _)| now - at <= over_s);
        recent.map(|(_, cpus)| cpus).sum::<f64>() / over_s.max(1.0)
    }

    /// Forgets arrivals before an instant.
    fn forget_arrivals(&mut self, before: Secs) {
        while self.arrivals.front().is_some_and(|(at, _)| *at < before) {
            self.arrivals.pop_front();
        }
    }

    pub fn booted(&mut self, name: &str, now: Secs) {
        if let Some(b) = self.booting.remove(name) {
            log::info!(
                "event=machine_booted machine={name} kind={} after_s={:.1}",
                b.kind,
                now - b.requested_at
            );
        }
    }

    pub fn is_released(&self, name: &str) -> bool {
        self.released.contains(name)
    }

    fn available(&self, offer: &Offer, now: Secs) -> bool {
        self.refused
            .get(offer)
            .is_none_or(|(until, _)| now >= *until)
    }

    /// Whether the cloud had fewer machines of an offer than were last asked for.
    fn is_exhausted(&self, offer: &Offer) -> bool {
        self.refused.contains_key(offer)
    }
}

impl Leader {
    /// Provisions for what does not fit, and returns what is idle. Paced by the heartbeat interval, but
    /// sooner when the cloud has answered all that was asked.
    pub(crate) fn autoscale(&mut self, now: Secs) {
        let pace = self.cluster.config.heartbeat_s.min(1.0);
        let soon = self.autoscaler.requested.is_empty()
            && !self.cluster.unmet.is_empty()
            && now - self.autoscaler.last >= pace / 4.0;
        if now - self.autoscaler.last < pace && !soon || self.cluster.types.is_empty() {
            return;
        }
        self.autoscaler.last = now;
        let scarce = self.cluster.scarce();
        self.scale_out(&scarce, now);
        self.scale_in(&scarce, now);
    }

    /// The cloud's answer to a provision request: machines, or none for no capacity. `None`: it was not
    /// carried out or its outcome stays unknown; what came of it will be listed or heartbeat.
    pub fn provision_result(&mut self, name: &str, machines: Option<Vec<String>>, now: Secs) {
        let Some(request) = self.autoscaler.requested.remove(name) else {
            return;
        };
        let offer = (request.kind.clone(), request.zone.clone(), request.spot);
        let got = machines.as_ref().map_or(0, Vec::len) as u32;
        if got < request.count {
            let n = self.autoscaler.refused.get(&offer).map_or(0, |(_, n)| *n);
            let base = self.cluster.config.list_lag_s / 2.0;
            let wait = if machines.is_some() {
                base * f64::from(1u32 << n.min(2)) * (0.75 + 0.5 * self.rng.f64())
            } else {
                base / 4.0
            };
            self.autoscaler.refused.insert(offer, (now + wait, n + 1));
        } else {
            self.autoscaler.refused.remove(&offer);
        }
        for m in machines.unwrap_or_default() {
            if !self.cluster.machines.contains_key(&m) {
                self.autoscaler.booting.insert(
                    m,
                    BootingMachine {
                        kind: request.kind.clone(),
                        zone: request.zone.clone(),
                        spot: request.spot,
                        requested_at: now,
                    },
                );
            }
        }
    }

    /// The cloud has carried out a release, or it has to be asked again.
    pub fn deprovision_result(&mut self, names: &[String], ok: bool) {
        for name in names {
            self.autoscaler.releasing.remove(name);
            if ok {
                self.autoscaler.released.insert(name.clone());
                self.autoscaler.booting.remove(name);
                self.forget_machine(name);
            } else if let Some(m) = self.cluster.machines.get_mut(name) {
                m.releasing = false;
            }
        }
    }

    /// A list of the cloud's machines: adopts what is not known, returns what has failed.
    pub fn listed(&mut self, list: &[ListedMachine], now: Secs) {
        let mut failed = Vec::new();
        for l in list {
            if self.autoscaler.is_released(&l.name) || self.cluster.machines.contains_key(&l.name) {
                continue;
            }
            if l.state == Listed::Failed {
                if self.autoscaler.releasing.insert(l.name.clone()) {
                    failed.push(l.name.clone());
                }
                continue;
            }
            if !self.autoscaler.booting.contains_key(&l.name) {
                log::info!("event=machine_adopted machine={} kind={}", l.name, l.kind);
                let requested_at = if l.state == Listed::Booting {
                    now - l.age_s
                } else {
                    now - self.cluster.types.get(&l.kind).map_or(0.0, |t| t.boot_s)
                };
                self.autoscaler.booting.insert(
                    l.name.clone(),
                    BootingMachine {
                        kind: l.kind.clone(),
                        zone: l.zone.clone(),
                        spot: l.spot,
                        requested_at,
                    },
                );
            }
        }
        for names in failed.chunks(MAX_MACHINES_PER_RELEASE) {
            self.actions.push(Action::Deprovision(names.to_vec()));
        }
    }
}
