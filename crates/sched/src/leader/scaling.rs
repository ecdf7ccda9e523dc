//! Carries out the decisions of the autoscaler and passes the cloud's answers to it.

use super::{Action, Leader};
use crate::autoscaler::{EpochContext, ReleaseOutcome, ScalingDecision};
use crate::Secs;
use wire::cloud::ListedMachine;

impl Leader {
    /// Runs the autoscaler if it is due: provisions machines for unplaced work and releases idle machines.
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
        for machine in &decision.drain {
            self.send_usable(machine);
        }
        let releases = decision.deprovision.into_iter();
        self.actions.extend(releases.map(Action::Deprovision));
    }

    /// Handles the cloud's answer to a provision request: the machines, or an empty list if there
    /// is no capacity. `None` means that the request failed or its outcome is unknown; machines
    /// that were provisioned anyway are discovered from the cloud's list or from their heartbeats.
    pub fn on_provision_result(&mut self, name: &str, machines: Option<Vec<String>>, now: Secs) {
        self.autoscaler
            .provision_answered(&self.cluster, name, machines, &mut self.rng, now);
    }

    /// Handles the outcome of a release request. Unless the machines are gone, their release is
    /// requested again if it is still wanted.
    pub fn on_deprovision_result(&mut self, names: &[String], outcome: ReleaseOutcome) {
        for name in names {
            self.autoscaler.record_release_outcome(name, outcome);
            match outcome {
                ReleaseOutcome::Released => self.remove_machine(name),
                ReleaseOutcome::Refused | ReleaseOutcome::Unknown => self.keep_machine(name),
            }
        }
    }

    /// Keeps a machine whose release was not confirmed. It may be used again only if no request for
    /// its release may still take effect.
    fn keep_machine(&mut self, name: &str) {
        let may_be_released = self.autoscaler.may_be_released(name);
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        machine.releasing = false;
        machine.draining |= may_be_released;
        // A silent machine would be announced as usable and as unusable again with each request.
        if !machine.content_unknown {
            self.send_usable(name);
        }
        self.write_roster_record(name);
    }

    /// Handles a list of the cloud's machines: adopts unknown machines and releases failed ones.
    pub fn on_machines_listed(&mut self, list: &[ListedMachine], now: Secs) {
        let releases = self
            .autoscaler
            .process_machine_list(&self.cluster, list, now);
        self.actions
            .extend(releases.into_iter().map(Action::Deprovision));
    }
}
