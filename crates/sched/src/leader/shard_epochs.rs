//! Tracks which controllers own the shards, under which fencing token, and when the owners have to
//! change.
//!
//! Invariant: authority (to respond to heartbeats and start tasks) is granted only to owners of the
//! current epoch, under its token, and the authority of every previous owner ends by the latest of
//! `disconnected_granted_until` and the connections' `granted_until`. That includes the authority of
//! earlier leaders and of their owners: it may outlast the lease of such a leader if that lease was
//! revoked, but not by more than the longest authority that a renewal gives.

use crate::shard;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};

/// Number of settling periods in the owner timeout, after which an owner counts as lost.
const SETTLING_PERIODS_PER_TIMEOUT: f64 = 8.0;

/// Number of owner timeouts for which a leader waits for controllers that start together with it.
const STARTUP_WAIT_TIMEOUTS: f64 = 2.0;

/// The connection of another controller to this leader.
struct OwnerConnection {
    connected_at: Secs,
    last_heard: Secs,
    /// End of the latest authority granted to the controller.
    granted_until: Secs,
}

/// Outcome of a review of the epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochReview {
    /// The epoch remains valid, or a change is in progress.
    Unchanged,
    /// The owners have to change, which requires a new durable token first.
    NeedsToken,
    /// The first epoch begins, under the token with which this leader was created.
    Begin,
}

/// A new epoch and the one that it replaces.
pub(crate) struct EpochChange {
    pub(crate) token: u64,
    /// Token of the previous epoch; 0 if this is the first.
    pub(crate) previous_token: u64,
    pub(crate) previous_members: Vec<String>,
    /// Members whose connection was lost. They start with empty state even if they are owners again.
    pub(crate) disconnected_members: BTreeSet<String>,
    /// Time for which a previous owner may still renew workers' leases, in milliseconds.
    pub(crate) extra_ms: u64,
}

impl EpochChange {
    /// Returns whether a member keeps its state: it was an owner, and no message to it was lost.
    pub(crate) fn continues(&self, member: &String) -> bool {
        self.previous_members.contains(member) && !self.disconnected_members.contains(member)
    }
}

/// The shard owners, their epochs, and the authority granted to them.
pub(crate) struct ShardEpochs {
    member: String,
    token: u64,
    /// Token of the current epoch; 0 before the first.
    epoch_token: u64,
    started_at: Secs,
    began_at: Secs,
    has_begun: bool,
    /// Whether an owner's connection was lost. Messages to that owner may be lost, so a new epoch
    /// has to begin.
    member_disconnected: bool,
    disconnected_members: BTreeSet<String>,
    token_requested: bool,
    expects_other_controllers: bool,
    members: Vec<String>,
    connections: BTreeMap<String, OwnerConnection>,
    /// End of the latest authority of a controller that is not connected: granted by this leader,
    /// or held under an earlier one.
    disconnected_granted_until: Secs,
}

impl ShardEpochs {
    /// Creates the state before the first epoch. `token` is the fencing token of the new leader, and
    /// `earlier_authority_s` the longest time for which an earlier leader, or one of its owners, may
    /// still have authority.
    pub(crate) fn new(
        member: &str,
        token: u64,
        earlier_authority_s: Secs,
        now: Secs,
    ) -> ShardEpochs {
        ShardEpochs {
            member: member.into(),
            token,
            epoch_token: 0,
            started_at: now,
            began_at: now,
            has_begun: false,
            member_disconnected: false,
            disconnected_members: BTreeSet::new(),
            token_requested: false,
            expects_other_controllers: false,
            members: Vec::new(),
            connections: BTreeMap::new(),
            disconnected_granted_until: now + earlier_authority_s,
        }
    }

    /// Returns the newest fencing token.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// Returns the shard owners of the current epoch.
    pub(crate) fn members(&self) -> &[String] {
        &self.members
    }

    /// Returns whether the first epoch has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns when the current epoch began.
    pub(crate) fn began_at(&self) -> Secs {
        self.began_at
    }

    /// Returns the shard owners of the current epoch that may have authority and can be reached: the
    /// connected ones, and this leader.
    pub(crate) fn connected_members(&self) -> impl Iterator<Item = &String> {
        let can_be_reached =
            |member: &&String| **member == self.member || self.connections.contains_key(*member);
        self.members.iter().filter(can_be_reached)
    }

    /// Returns when the last authority of the controllers ends that are not connected.
    pub(crate) fn disconnected_granted_until(&self) -> Secs {
        self.disconnected_granted_until
    }

    /// Returns the connected controllers.
    pub(crate) fn connected(&self) -> impl Iterator<Item = &String> {
        self.connections.keys()
    }

    /// Returns the owner of a machine, or this controller if there is none.
    pub(crate) fn owner_of(&self, machine: &str) -> &str {
        shard::owner(machine, &self.members).unwrap_or(&self.member)
    }

    /// Returns whether a controller owns a machine.
    pub(crate) fn owns(&self, member: &str, machine: &str) -> bool {
        shard::owner(machine, &self.members) == Some(member)
    }

    /// Records that a controller connected or sent a message.
    pub(crate) fn on_owner_contact(&mut self, member: &str, now: Secs) {
        let connection = self
            .connections
            .entry(member.into())
            .or_insert(OwnerConnection {
                connected_at: now,
                last_heard: now,
                granted_until: f64::MIN,
            });
        connection.last_heard = now;
    }

    /// Records that the connection to a controller was lost.
    pub(crate) fn on_owner_disconnected(&mut self, member: &str) {
        let Some(connection) = self.connections.remove(member) else {
            return;
        };
        self.disconnected_granted_until = self
            .disconnected_granted_until
            .max(connection.granted_until);
        if self.is_member(member) {
            self.member_disconnected = true;
            self.disconnected_members.insert(member.into());
        }
    }

    fn is_member(&self, member: &str) -> bool {
        self.members.iter().any(|m| m == member)
    }

    /// Grants an owner authority (to respond to heartbeats and start tasks) until `until`, and
    /// returns how many seconds remain until then. Returns `None` if the controller is not a
    /// connected owner in the current epoch or if `until` has passed.
    pub(crate) fn grant_authority(&mut self, member: &str, now: Secs, until: Secs) -> Option<Secs> {
        if !self.has_begun || !self.is_member(member) {
            return None;
        }
        let valid_s = until - now;
        if valid_s <= 0.0 {
            return None;
        }
        let connection = self.connections.get_mut(member)?;
        connection.granted_until = connection.granted_until.max(until);
        Some(valid_s)
    }

    /// Returns when the last authority ends that this leader has granted to others, or that others
    /// held when it was elected.
    pub(crate) fn granted_until(&self) -> Secs {
        let connections = self.connections.values();
        let granted = connections.map(|connection| connection.granted_until);
        granted.fold(self.disconnected_granted_until, f64::max)
    }

    /// Delays the first epoch briefly because the other controllers are probably starting as well.
    /// Each epoch that moves a machine to another owner costs two heartbeats of the machine before
    /// it is reconciled, and a worker that sees a new token sends its next heartbeat early only
    /// once per half lease.
    pub(crate) fn expect_other_controllers(&mut self) {
        self.expects_other_controllers = true;
    }

    /// Disconnects silent controllers and returns whether the owners have to change.
    /// `owner_timeout_s` is the time without messages after which an owner counts as lost, and
    /// `other_controllers` the number of other controllers in the settings.
    pub(crate) fn review(
        &mut self,
        now: Secs,
        other_controllers: usize,
        owner_timeout_s: Secs,
    ) -> EpochReview {
        self.disconnect_silent_members(now, owner_timeout_s);
        let wanted = self.wanted_members();
        let is_current = self.has_begun && !self.member_disconnected && wanted == self.members;
        if self.token_requested || is_current {
            return EpochReview::Unchanged;
        }
        let lacks_member = self.members.iter().any(|member| !wanted.contains(member));
        let has_lost_member = self.member_disconnected || self.has_begun && lacks_member;
        let settling_s = self.settling_s(now, owner_timeout_s);
        if !has_lost_member
            && self.connections.len() < other_controllers
            && now - self.last_connected_at() < settling_s
        {
            return EpochReview::Unchanged;
        }
        if !self.has_begun {
            return EpochReview::Begin;
        }
        self.token_requested = true;
        EpochReview::NeedsToken
    }

    fn disconnect_silent_members(&mut self, now: Secs, owner_timeout_s: Secs) {
        let silent = self.connections.iter();
        let silent = silent.filter(|(_, connection)| now - connection.last_heard > owner_timeout_s);
        let silent: Vec<String> = silent.map(|(member, _)| member.clone()).collect();
        for member in silent {
            log::info!("event=owner_silent member={member}");
            self.on_owner_disconnected(&member);
        }
    }

    /// Returns the controllers that should be owners: the connected ones, or the leader itself if
    /// there are none.
    fn wanted_members(&self) -> Vec<String> {
        let connected: Vec<String> = self.connections.keys().cloned().collect();
        if connected.is_empty() {
            return vec![self.member.clone()];
        }
        connected
    }

    /// Returns how many seconds the leader waits for further controllers. The wait runs from when
    /// the last of those now connected has connected, or from when this leader started if none is.
    fn settling_s(&self, now: Secs, owner_timeout_s: Secs) -> Secs {
        let waits_for_startup = self.expects_other_controllers
            && !self.has_begun
            && now - self.started_at < owner_timeout_s * STARTUP_WAIT_TIMEOUTS;
        if waits_for_startup {
            owner_timeout_s
        } else {
            owner_timeout_s / SETTLING_PERIODS_PER_TIMEOUT
        }
    }

    fn last_connected_at(&self) -> Secs {
        let connected_at = self
            .connections
            .values()
            .map(|connection| connection.connected_at);
        connected_at.fold(self.started_at, f64::max)
    }

    /// Records the outcome of a token request, and returns whether a new epoch can begin.
    pub(crate) fn token_result(&mut self, token: Option<u64>) -> bool {
        self.token_requested = false;
        if let Some(token) = token {
            self.token = token;
        }
        token.is_some()
    }

    /// Begins an epoch under the newest token, with the connected controllers as owners.
    pub(crate) fn begin(&mut self, now: Secs) -> EpochChange {
        let wanted = self.wanted_members();
        let previous_members = std::mem::replace(&mut self.members, wanted);
        let previous_token = std::mem::replace(&mut self.epoch_token, self.token);
        self.has_begun = true;
        self.began_at = now;
        self.member_disconnected = false;
        // Previous owners may renew leases until their authority has certainly ended.
        let granted_until = self.granted_until();
        EpochChange {
            token: self.token,
            previous_token,
            previous_members,
            disconnected_members: std::mem::take(&mut self.disconnected_members),
            extra_ms: ((granted_until - now).max(0.0) * 1000.0).ceil() as u64,
        }
    }
}
