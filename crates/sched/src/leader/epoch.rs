//! Starts a new epoch (a period with fixed shard owners, under one fencing token) when the owners
//! change: marks the tasks that a previous owner may have started as unresolved, reassigns every
//! machine, and sends each owner its machines under the new fencing token.

use super::shard_epochs::{EpochChange, EpochReview};
use super::{Action, GangPhase, Leader, TaskLocation};
use crate::Secs;
use wire::peers::{MachineDescriptor, ToOwner};

/// Maximum number of jobs in one [`ToOwner::TerminalJobs`] message, which bounds the size of the
/// message.
const TERMINAL_JOBS_PER_MESSAGE: usize = 1000;

impl Leader {
    /// Records that a controller connected or sent a message.
    pub fn on_owner_contact(&mut self, member: &str, now: Secs) {
        self.epochs.on_owner_contact(member, now);
    }

    /// Records that the connection to an owner was lost.
    pub fn on_owner_disconnected(&mut self, member: &str) {
        self.epochs.on_owner_disconnected(member);
        self.confirmations.on_owner_disconnected(member);
    }

    /// Grants an owner authority (to respond to heartbeats and start tasks) until `until`, and
    /// returns how many seconds remain until then. Returns `None` if the controller is not a
    /// connected owner in the current epoch or if `until` has passed.
    pub fn grant_authority(&mut self, member: &str, now: Secs, until: Secs) -> Option<Secs> {
        self.epochs.grant_authority(member, now, until)
    }

    /// Returns when the last authority ends that this leader has granted to others, or that others
    /// held when it was elected.
    pub fn granted_until(&self) -> Secs {
        self.epochs.granted_until()
    }

    /// Delays the first epoch briefly because the other controllers are probably starting as well.
    pub fn expect_other_controllers(&mut self) {
        self.epochs.expect_other_controllers();
    }

    /// Handles the outcome of [`Action::IssueToken`]: the durable token, or `None` if none was
    /// confirmed. In that case, the next review requests a token again if the owners still have to
    /// change.
    pub fn on_token_result(&mut self, token: Option<u64>, now: Secs) {
        if self.epochs.token_result(token) {
            self.begin_epoch(now);
        }
    }

    /// Starts a new epoch, or requests its token, if the shard owners have to change.
    /// `other_controllers` is the number of other controllers in the settings.
    pub(super) fn review_epoch(&mut self, now: Secs, other_controllers: usize) {
        let owner_timeout_s = self.cluster.config.owner_timeout_s();
        match self.epochs.review(now, other_controllers, owner_timeout_s) {
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
        self.repeat_confirmation_request();
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

    /// Marks as unresolved the tasks that were assigned to a previous owner and have not appeared
    /// in any machine status: they may be running on any machine of that owner.
    fn mark_unresolved(&mut self, owner: &str) {
        let mut tasks: Vec<(String, u32)> = Vec::new();
        for (id, job) in self.cluster.jobs.iter() {
            let assigned = job.active.iter();
            let assigned =
                assigned.filter(|(_, active)| active.location.unreported_owner() == Some(owner));
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
            // The machine descriptors tell owners which machines are usable, including those that
            // an earlier leader added to the roster.
            machine.usable_sent = machine.is_usable();
            machine.cleared_tasks.clear();
            machine.confirmed_unusable = false;
        }
    }

    /// Forgets which stops were sent and which clears are pending: orders sent under an earlier
    /// token may be lost, and are sent again if they are still needed.
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
                self.send(&member, ToOwner::TerminalJobs { jobs });
            }
        }
        // A leader that is not an owner also needs the list of owners, so that it can redirect
        // workers.
        let member = self.member.clone();
        if !self.epochs.members().contains(&member) {
            self.send_epoch(&member, change, 0);
        }
    }

    /// Sends the epoch to an owner, or to this leader if it is not an owner. `previous_token` is the
    /// token of the epoch whose state the owner keeps, or 0 if the owner starts with empty state.
    fn send_epoch(&mut self, member: &str, change: &EpochChange, previous_token: u64) {
        let message = ToOwner::Epoch {
            token: change.token,
            previous_token,
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
