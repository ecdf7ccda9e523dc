//! The change of shard owners: what an earlier owner may have started is unresolved, every machine has an
//! owner anew, and each owner is told its machines under the new fencing token.

use super::shard_epochs::{EpochChange, EpochReview};
use super::{Action, GangPhase, Leader, TaskLocation};
use crate::Secs;
use wire::peers::{MachineDescriptor, ToOwner};

/// Most jobs in one message about terminal jobs, so that it stays small.
const TERMINAL_JOBS_PER_MESSAGE: usize = 1000;

impl Leader {
    /// A controller has connected, or was heard.
    pub fn on_owner_contact(&mut self, member: &str, now: Secs) {
        self.epochs.on_owner_contact(member, now);
    }

    /// The connection to an owner is lost.
    pub fn on_owner_disconnected(&mut self, member: &str) {
        self.epochs.on_owner_disconnected(member);
    }

    /// For how long an owner may be granted authority that ends before `until`, in seconds; none if it is
    /// no owner under the present token.
    pub fn grant_authority(&mut self, member: &str, now: Secs, until: Secs) -> Option<Secs> {
        self.epochs.grant_authority(member, now, until)
    }

    /// The other controllers are probably starting as well: the first epoch waits for them a little.
    pub fn expect_other_controllers(&mut self) {
        self.epochs.expect_other_controllers();
    }

    /// A new token is durable, or could not be had for now.
    pub fn token_result(&mut self, token: Option<u64>, now: Secs) {
        if self.epochs.token_result(token) {
            self.begin_epoch(now);
        }
    }

    /// Changes the shard owners if that is due; `other_controllers` is the number of other controllers in the settings.
    pub(super) fn review_epoch(&mut self, now: Secs, other_controllers: usize) {
        let silence_timeout_s = self.cluster.config.owner_timeout_s();
        match self
            .epochs
            .review(now, other_controllers, silence_timeout_s)
        {
            EpochReview::Unchanged => {}
            EpochReview::NeedsToken => self.actions.push(Action::IssueToken),
            EpochReview::Begin => self.begin_epoch(now),
        }
    }

    fn begin_epoch(&mut self, now: Secs) {
        let change = self.epochs.begin(now);
        log::info!(
            "event=epoch token={} owners={} extra_ms={}",
            change.token,
            self.epochs.members().join(","),
            change.extra_ms
        );
        self.cancel_all_reservations(now);
        for owner in &change.previous_members {
            self.mark_unresolved(owner);
        }
        self.reassign_machines(&change);
        self.reset_sent_orders();
        self.announce_epoch(&change);
        self.reconcile();
        self.pass_requested = true;
    }

    fn cancel_all_reservations(&mut self, now: Secs) {
        let reserved = self.cluster.jobs.iter().filter(|(_, job)| {
            matches!(
                job.phase,
                GangPhase::Reserving { .. } | GangPhase::Binding { .. }
            )
        });
        let reserved: Vec<String> = reserved.map(|(id, _)| id.clone()).collect();
        for id in reserved {
            self.cancel_reservation(&id, now, false);
        }
    }

    /// Tasks that were assigned to an owner and that no status has shown may be on any machine that was
    /// its.
    fn mark_unresolved(&mut self, owner: &str) {
        let mut tasks: Vec<(String, u32)> = Vec::new();
        for (id, job) in self.cluster.jobs.iter() {
            let assigned = job.active.iter().filter(|(_, active)| {
                matches!(&active.location, TaskLocation::Assigned(to, _) if to == owner)
            });
            tasks.extend(assigned.map(|(index, _)| (id.clone(), *index)));
        }
        if tasks.is_empty() {
            return;
        }
        let owned = self.cluster.machines.iter();
        let owned = owned.filter(|(_, machine)| machine.owner == owner);
        let machines = owned.map(|(name, _)| name.clone()).collect();
        let group = self.unresolved.add(machines, tasks.clone());
        for (id, index) in &tasks {
            if let Some(mut active) = self.cluster.remove_active(id, *index) {
                active.location = TaskLocation::Unresolved(group);
                self.cluster.set_active(id, *index, active);
            }
        }
    }

    fn reassign_machines(&mut self, change: &EpochChange) {
        self.cluster.machines.mark_all_dirty();
        for (name, machine) in self.cluster.machines.iter_mut() {
            let owner = self.epochs.owner_of(name).to_string();
            if owner != machine.owner || change.disconnected_members.contains(&owner) {
                machine.owner = owner;
                machine.owner_token = change.token;
            }
            machine.reconciled = false;
            // Owners learn from the descriptors what they may use; also what an earlier leader rostered.
            machine.usable_sent = machine.is_usable();
            machine.cleared_tasks.clear();
            machine.confirmed_unusable = false;
        }
    }

    /// What was sent to owners under an earlier token may be lost, and is sent again when it is due.
    fn reset_sent_orders(&mut self) {
        for job in self.cluster.jobs.values_mut() {
            job.pending_clears.clear();
            for active in job.active.values_mut() {
                active.stop_sent = false;
            }
        }
    }

    fn announce_epoch(&mut self, change: &EpochChange) {
        let catalog = ToOwner::Catalog {
            types: self.cluster.machine_types.values().cloned().collect(),
        };
        let terminal = self.terminal_jobs.ids();
        for member in self.epochs.members().to_vec() {
            let continues = change.continues(&member);
            let previous_token = if continues { change.previous_token } else { 0 };
            self.send_epoch(&member, change, previous_token);
            self.send(&member, catalog.clone());
            for jobs in terminal.chunks(TERMINAL_JOBS_PER_MESSAGE) {
                let jobs = jobs.to_vec();
                self.send(&member, ToOwner::Terminal { jobs });
            }
        }
        // A leader that is no owner learns it too, so that it can redirect workers.
        let member = self.member.clone();
        if !self.epochs.members().contains(&member) {
            self.send_epoch(&member, change, 0);
        }
    }

    /// `previous_token` is the epoch from which the owner goes on; 0 if it starts anew.
    fn send_epoch(&mut self, member: &str, change: &EpochChange, previous_token: u64) {
        let message = ToOwner::Epoch {
            token: change.token,
            prev: previous_token,
            members: self.epochs.members().to_vec(),
            extra_ms: change.extra_ms,
            machines: self.descriptors_for(member),
        };
        self.send(member, message);
    }

    fn descriptors_for(&self, member: &str) -> Vec<MachineDescriptor> {
        let owned = self.cluster.machines.iter();
        let owned = owned.filter(|(_, machine)| machine.owner == member);
        let descriptors = owned.map(|(name, machine)| MachineDescriptor {
            name: name.clone(),
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            usable: machine.usable_sent,
        });
        descriptors.collect()
    }
}
