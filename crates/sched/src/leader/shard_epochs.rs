//! Which controllers own the shards, under which fencing token, and when that has to change.
//!
//! Invariant: an owner is granted authority only under the token of the present epoch, and no later than
//! `disconnected_granted_until` and the owners' `granted_until` any earlier owner has authority.

use crate::shard;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};

/// How many of these settling times fit into the silence after which an owner counts as lost.
const SETTLING_PERIODS_PER_TIMEOUT: f64 = 8.0;

/// For how many such silences a leader waits for controllers that start together with it.
const STARTUP_WAIT_TIMEOUTS: f64 = 2.0;

/// The connection of another controller to this leader.
struct OwnerConnection {
    connected_at: Secs,
    last_heard: Secs,
    /// The end of the latest authority that it was granted.
    granted_until: Secs,
}

/// What a review of the epoch asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EpochReview {
    /// The epoch stands, or its change is under way.
    Unchanged,
    /// The owners have to change: a new token must be durable first.
    NeedsToken,
    /// The first epoch begins with the token of the leadership.
    Begin,
}

/// A new epoch, beside what it replaces.
pub(crate) struct EpochChange {
    pub(crate) token: u64,
    /// The token of the epoch before it; 0 for the first.
    pub(crate) previous_token: u64,
    pub(crate) previous_members: Vec<String>,
    /// Members whose connection broke: they start anew even if they are owners again.
    pub(crate) disconnected_members: BTreeSet<String>,
    /// For how long an earlier owner may still prolong workers' leases, in milliseconds.
    pub(crate) extra_ms: u64,
}

impl EpochChange {
    /// Whether a member goes on with what it holds: it was an owner, and nothing sent to it was lost.
    pub(crate) fn continues(&self, member: &String) -> bool {
        self.previous_members.contains(member) && !self.disconnected_members.contains(member)
    }
}

/// The leader's owners and their epochs.
pub(crate) struct ShardEpochs {
    member: String,
    token: u64,
    /// Token of the present epoch; 0 before the first.
    epoch_token: u64,
    started_at: Secs,
    began_at: Secs,
    has_begun: bool,
    /// An owner's connection broke: what was sent to it may be lost, so a new epoch is due.
    member_disconnected: bool,
    disconnected_members: BTreeSet<String>,
    token_requested: bool,
    expects_other_controllers: bool,
    members: Vec<String>,
    connections: BTreeMap<String, OwnerConnection>,
    /// The end of the latest authority that was granted to a controller which is not connected any more.
    disconnected_granted_until: Secs,
}

impl ShardEpochs {
    /// No epoch has begun; `token` is that of the leadership.
    pub(crate) fn new(member: &str, token: u64, now: Secs) -> ShardEpochs {
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
            disconnected_granted_until: now,
        }
    }

    /// The newest fencing token.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// The shard owners of the present epoch.
    pub(crate) fn members(&self) -> &[String] {
        &self.members
    }

    /// Whether a first epoch has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// When the present epoch began.
    pub(crate) fn began_at(&self) -> Secs {
        self.began_at
    }

    /// The connected controllers.
    pub(crate) fn connected(&self) -> impl Iterator<Item = &String> {
        self.connections.keys()
    }

    /// The owner of a machine; this controller if there is none.
    pub(crate) fn owner_of(&self, machine: &str) -> &str {
        shard::owner(machine, &self.members).unwrap_or(&self.member)
    }

    /// Whether a controller is the owner of a machine.
    pub(crate) fn owns(&self, member: &str, machine: &str) -> bool {
        shard::owner(machine, &self.members) == Some(member)
    }

    /// A controller has connected, or was heard.
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

    /// The connection to a controller is lost.
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

    /// For how long an owner may be granted authority that ends before `until`, in seconds; none if it is
    /// no owner under the present token.
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

    /// The other controllers are probably starting as well: the first epoch waits for them a
    /// little. Each epoch that moves a machine to another owner costs two of its heartbeats before
    /// it is reconciled, and a worker makes haste for a new token only once in half a lease.
    pub(crate) fn expect_other_controllers(&mut self) {
        self.expects_other_controllers = true;
    }

    /// Drops silent owners, and says whether the owners have to change. `silence_timeout_s` is the time after which
    /// an owner counts as lost, `other_controllers` the number of other controllers in the settings.
    pub(crate) fn review(
        &mut self,
        now: Secs,
        other_controllers: usize,
        silence_timeout_s: Secs,
    ) -> EpochReview {
        self.disconnect_silent_members(now, silence_timeout_s);
        let wanted = self.wanted_members();
        let is_current = self.has_begun && !self.member_disconnected && wanted == self.members;
        if self.token_requested || is_current {
            return EpochReview::Unchanged;
        }
        let lacks_member = self.members.iter().any(|member| !wanted.contains(member));
        let has_lost_member = self.member_disconnected || self.has_begun && lacks_member;
        let settling_s = self.settling_s(now, silence_timeout_s);
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

    fn disconnect_silent_members(&mut self, now: Secs, silence_timeout_s: Secs) {
        let silent = self.connections.iter();
        let silent =
            silent.filter(|(_, connection)| now - connection.last_heard > silence_timeout_s);
        let silent: Vec<String> = silent.map(|(member, _)| member.clone()).collect();
        for member in silent {
            log::info!("event=owner_silent member={member}");
            self.on_owner_disconnected(&member);
        }
    }

    /// Members that are heard and should be owners; the leader itself only if there are none.
    fn wanted_members(&self) -> Vec<String> {
        let connected: Vec<String> = self.connections.keys().cloned().collect();
        if connected.is_empty() {
            return vec![self.member.clone()];
        }
        connected
    }

    /// How long the leader waits for further controllers after one has connected.
    fn settling_s(&self, now: Secs, silence_timeout_s: Secs) -> Secs {
        let waits_for_startup = self.expects_other_controllers
            && !self.has_begun
            && now - self.started_at < silence_timeout_s * STARTUP_WAIT_TIMEOUTS;
        if waits_for_startup {
            silence_timeout_s
        } else {
            silence_timeout_s / SETTLING_PERIODS_PER_TIMEOUT
        }
    }

    fn last_connected_at(&self) -> Secs {
        let connected_at = self
            .connections
            .values()
            .map(|connection| connection.connected_at);
        connected_at.fold(self.started_at, f64::max)
    }

    /// A new token is durable, or could not be had for now; says whether a new epoch begins.
    pub(crate) fn token_result(&mut self, token: Option<u64>) -> bool {
        self.token_requested = false;
        if let Some(token) = token {
            self.token = token;
        }
        token.is_some()
    }

    /// Begins an epoch with the controllers that are connected as owners, under the newest token.
    pub(crate) fn begin(&mut self, now: Secs) -> EpochChange {
        let wanted = self.wanted_members();
        let previous_members = std::mem::replace(&mut self.members, wanted);
        let previous_token = std::mem::replace(&mut self.epoch_token, self.token);
        self.has_begun = true;
        self.began_at = now;
        self.member_disconnected = false;
        // Any earlier owner may have prolonged leases until its authority ends for certain.
        let granted = self
            .connections
            .values()
            .map(|connection| connection.granted_until);
        let granted_until = granted.fold(self.disconnected_granted_until, f64::max);
        EpochChange {
            token: self.token,
            previous_token,
            previous_members,
            disconnected_members: std::mem::take(&mut self.disconnected_members),
            extra_ms: ((granted_until - now).max(0.0) * 1000.0).ceil() as u64,
        }
    }
}
