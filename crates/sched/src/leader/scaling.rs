//! Carries out what the autoscaler decides, and hands the cloud's answers to it.

use super::{Action, Leader};
use crate::autoscaler::{EpochContext, ScalingDecision};
use crate::Secs;
use wire::cloud::ListedMachine;

impl Leader {
    /// Provisions for what does not fit, and returns what is idle, when that is due.
    pub(crate) fn autoscale(&mut self, now: Secs) {
        if !self.autoscaler.is_due(&self.cluster, now) {
            return;
        }
        let epoch = EpochContext {
            token: self.epochs.token(),
            began_at: self.epochs.began_at(),
            waits_for_unknown_machines: self.waits_for_unknown_machines(),
        };
        let decision = self
            .autoscaler
            .decide(&mut self.cluster, &epoch, &mut self.rng, now);
        self.apply_scaling_decision(decision);
    }

    fn apply_scaling_decision(&mut self, decision: ScalingDecision) {
        let requests = decision.provision.into_iter();
        self.actions.extend(requests.map(Action::Provision));
        for machine in &decision.cordon {
            self.send_usable(machine);
        }
        let releases = decision.deprovision.into_iter();
        self.actions.extend(releases.map(Action::Deprovision));
    }

    /// The cloud's answer to a provision request: machines, or none for no capacity. `None`: it was not carried
    /// out or its outcome stays unknown; what came of it will be listed or send heartbeats.
    pub fn provision_result(&mut self, name: &str, machines: Option<Vec<String>>, now: Secs) {
        self.autoscaler
            .provision_answered(&self.cluster, name, machines, &mut self.rng, now);
    }

    /// The cloud has carried out a release, or it has to be asked again.
    pub fn deprovision_result(&mut self, names: &[String], ok: bool) {
        for name in names {
            if ok {
                self.autoscaler.release_confirmed(name);
                self.remove_machine(name);
            } else {
                self.autoscaler.release_failed(name);
                if let Some(machine) = self.cluster.machines.get_mut(name) {
                    machine.releasing = false;
                }
            }
        }
    }

    /// A list of the cloud's machines: adopts what is not known, returns what has failed.
    pub fn on_machines_listed(&mut self, list: &[ListedMachine], now: Secs) {
        let releases = self
            .autoscaler
            .process_machine_list(&self.cluster, list, now);
        self.actions
            .extend(releases.into_iter().map(Action::Deprovision));
    }
}
