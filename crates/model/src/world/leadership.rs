//! The leading controller: its lease, the messages of its owners, and the actions it requests.

use super::*;

/// The current leader and the controller it runs on.
pub(super) struct LeadingController {
    pub(super) controller: usize,
    pub(super) leader: Leader,
    /// The store's revision at its election. Its writes are conditional on this revision, so the
    /// store applies them only while it is the leader.
    pub(super) elected_revision: u64,
    /// The fencing token with which it was elected; that of its first epoch.
    pub(super) elected_token: u64,
}

impl World {
    /// Runs one step of the leader, after an election if there is none.
    pub(super) fn run_leader(&mut self) {
        if self.leading.is_none() {
            self.elect();
        }
        let Some(mut leading) = self.leading.take() else {
            return;
        };
        self.disconnect_owners_if_partitioned(&mut leading);
        if !self.renew_lease(leading.controller) {
            self.end_leadership();
            return;
        }
        if !self.is_frozen(leading.controller) {
            self.receive_from_owners(&mut leading);
            self.tick_leader(&mut leading.leader, leading.controller);
            self.run_actions(&mut leading);
        }
        self.leading = Some(leading);
    }

    /// Disconnects the owners of a partitioned leader at once. Its own authority ends later, and
    /// its lease after that; only then can another controller be elected.
    fn disconnect_owners_if_partitioned(&mut self, leading: &mut LeadingController) {
        if !self.is_partitioned(leading.controller) {
            return;
        }
        for i in (0..self.controllers.len()).filter(|i| *i != leading.controller) {
            leading.leader.on_owner_disconnected(&controller_name(i));
            self.controllers[i].disconnect(self.now + 0.2);
        }
    }

    /// Renews the leader's lease if the store is reachable. Returns whether the lease is valid.
    fn renew_lease(&mut self, controller: usize) -> bool {
        let now = self.now;
        if self.reaches_store(controller) {
            self.lease_end = now + LEADER_LEASE_S;
            let authority = &mut self.controllers[controller].owner.authority;
            authority.renew(now + LEADER_LEASE_S * AUTHORITY_SHARE, now);
        } else if now < self.store_down_until {
            // An outage preserves leases: they restart with their full duration when it ends.
            self.lease_end = self.store_down_until + LEADER_LEASE_S;
        } else if now > self.lease_end {
            return false;
        }
        true
    }

    fn tick_leader(&mut self, leader: &mut Leader, controller: usize) {
        let authority = &self.controllers[controller].owner.authority;
        if self.now < authority.responses_until() {
            leader.tick(self.now, 2);
        }
        if !leader.index_is_consistent() {
            self.record_violation("index");
        }
    }

    /// Processes the pings and messages of connected owners.
    fn receive_from_owners(&mut self, leading: &mut LeadingController) {
        let now = self.now;
        for i in 0..self.controllers.len() {
            let controller = &self.controllers[i];
            if i == leading.controller || now < controller.down_until || !controller.joined {
                continue;
            }
            while let Some(sent_at) = self.controllers[i].pings.receive(now) {
                self.answer_ping(leading, i, sent_at);
            }
            while let Some(message) = self.controllers[i].to_leader.receive(now) {
                let received = message.clone();
                leading
                    .leader
                    .on_owner_message(&controller_name(i), message, now);
                self.damage_releases(&mut leading.leader, &received);
            }
        }
    }

    /// Responds to an owner's ping by granting it authority to respond to workers, if the leader
    /// may grant any.
    fn answer_ping(&mut self, leading: &mut LeadingController, from: usize, sent_at: f64) {
        let now = self.now;
        let authority = &self.controllers[leading.controller].owner.authority;
        let (responses_until, read_at) = (authority.responses_until(), authority.read_at());
        leading.leader.on_owner_contact(&controller_name(from), now);
        let until = responses_until.min(now + self.config.owner_timeout_s() * 1.25);
        let granted = leading
            .leader
            .grant_authority(&controller_name(from), now, until);
        self.trace.granted(now, from, sent_at, granted);
        let Some(valid_s) = granted else {
            return;
        };
        let link_delay_s = self.extra_link_delay_s();
        let controller = &mut self.controllers[from];
        if controller.has_epoch && controller.owner.token() == leading.leader.token() {
            controller.owner.authority.set_until(sent_at + valid_s);
            // The response must not overtake earlier messages.
            let arrives_at = controller.to_owner.arrival(now + 0.02 + link_delay_s);
            let leader_read_at = sent_at - (now - read_at);
            controller.leader_reads.send(arrives_at, leader_read_at);
        }
    }

    /// Exchanges messages between the leader and the owner on its own controller until neither has
    /// any left, and sends the leader's requests.
    fn run_actions(&mut self, leading: &mut LeadingController) {
        loop {
            let messages = self.controllers[leading.controller].owner.take_messages();
            let mut is_idle = messages.is_empty();
            for message in messages {
                self.trace
                    .sent_to_leader(self.now, leading.controller, self.now, &message);
                let from = controller_name(leading.controller);
                let received = message.clone();
                leading.leader.on_owner_message(&from, message, self.now);
                self.damage_releases(&mut leading.leader, &received);
            }
            for action in leading.leader.take_actions() {
                is_idle = false;
                self.send_action(leading, action);
            }
            if is_idle {
                return;
            }
        }
    }

    /// Sends a message to an owner, or a request to the store or the cloud.
    fn send_action(&mut self, leading: &LeadingController, action: Action) {
        self.trace
            .requested(self.now, leading.elected_revision, &action);
        match action {
            Action::Send(to, mut message) => {
                self.damage_epoch(leading, &mut message);
                self.send_to_owner(leading.controller, controller_index(&to), message);
            }
            Action::ConfirmCancellations { requester, jobs } => {
                self.confirm_cancellations(leading.controller, &requester, jobs);
            }
            Action::Deprovision(machines) if self.now < self.delays.releases_late_until => {
                self.record_release_request(&machines);
                self.send_late_release(leading.elected_revision, machines);
            }
            action => {
                if let Action::Deprovision(machines) = &action {
                    self.record_release_request(machines);
                }
                let arrives_at = self.now + 0.02 + self.rng.f64() * 0.3;
                let expected_version = self.expected_version(&action);
                self.writes.push(PendingWrite {
                    arrives_at,
                    elected_revision: leading.elected_revision,
                    action,
                    expected_version,
                    is_late: false,
                });
            }
        }
    }

    /// Makes owners assume that they alone have authority from the leader's first epoch on, if that is
    /// the defect.
    fn damage_epoch(&self, leading: &LeadingController, message: &mut ToOwner) {
        if let ToOwner::Epoch {
            token, extra_ms, ..
        } = message
        {
            let is_first = *token == leading.elected_token;
            if is_first && self.defect == Defect::IgnoreEarlierAuthority {
                *extra_ms = 0;
            }
        }
    }

    pub(super) fn send_to_owner(&mut self, leading: usize, to: usize, message: ToOwner) {
        if to == leading {
            let jobs = JobReplica::new(&self.jobs, self.terminal_jobs_read_at(leading));
            let owner = &mut self.controllers[leading].owner;
            owner.on_leader_message(message, self.now, &jobs);
        } else if self.controllers[to].joined {
            let delay = self.draw_connection_delay();
            let to_owner = &mut self.controllers[to].to_owner;
            to_owner.send(to_owner.arrival(self.now + delay), message);
        }
    }

    /// Ends the leadership. The store keeps the leader's key until the lease expires.
    pub(super) fn end_leadership(&mut self) {
        self.leading = None;
        // A later leader does not know of the requests of this one.
        self.delays.release_requests.clear();
        self.no_election_before = self.no_election_before.max(self.lease_end + 0.1);
        for controller in &mut self.controllers {
            controller.disconnect(self.now + 0.2);
        }
    }

    /// Ends the leader's lease early, so that another controller can be elected at once. Neither the
    /// leader's own authority nor that of its owners ends before its time. No controller of this
    /// version does that, but its predecessors may.
    pub fn revoke_lease(&mut self) {
        if self.leading.is_some() {
            self.lease_end = self.now;
            self.end_leadership();
        }
    }

    /// Returns the index of the leading controller.
    pub fn leader_index(&self) -> Option<usize> {
        self.leading.as_ref().map(|leading| leading.controller)
    }
}
