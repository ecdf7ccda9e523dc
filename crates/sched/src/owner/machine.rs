//! An owner's record of a machine: its status by the newest heartbeat, and the outstanding orders.

use super::lease::WorkerLease;
use super::orders::{is_live, OutstandingOrders};
use super::outbox::Outbox;
use super::pending_starts::{PendingStarts, StartGroup};
use super::responses::{HeartbeatId, ResponseTracker};
use crate::placement::tier;
use crate::Secs;
use std::collections::{BTreeMap, VecDeque};
use wire::peers::{MachineStatus, TaskRef, TaskRequirements, TaskStatus};
use wire::split_task_name;
use wire::workers::{Heartbeat, Order, ReportedTask};

/// Number of images remembered for each machine.
const MAX_REMEMBERED_IMAGES: usize = 8;

/// The properties of a machine that do not change.
pub(super) struct MachineIdentity {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
}

/// A machine of this owner's shard.
///
/// Invariant: `tasks` holds the tasks in the newest current heartbeat (defined in the docs of the
/// `owner` module), and all earlier orders have been reconciled with it. `is_dirty` is true while a
/// changed status has not been sent to the leader.
pub(super) struct OwnedMachine {
    identity: MachineIdentity,
    /// Whether the leader allows tasks to be placed here.
    usable: bool,
    /// Fencing token under which this controller became the owner.
    owned_since_token: u64,
    lease: WorkerLease,
    responses: ResponseTracker,
    /// The newest current heartbeat.
    newest_heartbeat: Option<HeartbeatId>,
    /// Time until the cloud reclaims the machine, in seconds; `None` until it has given notice.
    notice_s: Option<f64>,
    tasks: BTreeMap<TaskRef, TaskStatus>,
    orders: OutstandingOrders,
    /// Images of tasks that were to be started here, the most recent first. An image is remembered
    /// as soon as the start is decided.
    images: VecDeque<String>,
    is_dirty: bool,
}

impl OwnedMachine {
    /// Creates the record of a machine that this controller owns under the token
    /// `owned_since_token`. An earlier owner may have renewed its lease as late as `renewed_at`.
    pub(super) fn new(
        identity: MachineIdentity,
        owned_since_token: u64,
        renewed_at: Secs,
    ) -> OwnedMachine {
        OwnedMachine {
            identity,
            usable: false,
            owned_since_token,
            lease: WorkerLease::new(renewed_at),
            responses: ResponseTracker::default(),
            newest_heartbeat: None,
            notice_s: None,
            tasks: BTreeMap::new(),
            orders: OutstandingOrders::default(),
            images: VecDeque::new(),
            is_dirty: false,
        }
    }

    pub(super) fn identity(&self) -> &MachineIdentity {
        &self.identity
    }

    /// Returns whether tasks may be placed here.
    pub(super) fn is_schedulable(&self) -> bool {
        self.usable
            && self.newest_heartbeat.is_some()
            && !self.lease.has_expired()
            && self.notice_s.is_none()
            && !self.responses.is_unreachable()
    }

    pub(super) fn is_allowed_by(&self, requirements: &TaskRequirements) -> bool {
        let MachineIdentity { kind, zone, spot } = &self.identity;
        tier(requirements, kind, zone, *spot).is_some()
    }

    /// Iterates over the tasks that hold resources of the machine.
    pub(super) fn live_tasks(&self) -> impl Iterator<Item = &TaskRef> {
        let live = self.tasks.values().filter(|task| is_live(task));
        live.map(|status| &status.task)
    }

    /// Returns the starts that no heartbeat has confirmed or ruled out yet.
    pub(super) fn pending(&self) -> &PendingStarts {
        self.orders.starts()
    }

    /// Returns whether no task holds resources here or is about to start, so that the machine may
    /// soon be deprovisioned.
    pub(super) fn is_empty(&self) -> bool {
        self.pending().is_empty() && self.live_tasks().next().is_none()
    }

    /// Iterates over the images of tasks that were to be started here, the most recent first.
    pub(super) fn images(&self) -> impl Iterator<Item = &String> {
        self.images.iter()
    }

    /// Iterates over the tasks in the newest heartbeat, exited ones included.
    pub(super) fn reported_tasks(&self) -> impl Iterator<Item = &TaskRef> {
        self.tasks.keys()
    }

    /// Returns the latest instant at which a response may have renewed the worker's lease.
    pub(super) fn last_response_at(&self) -> Secs {
        self.lease.renewed_at()
    }

    pub(super) fn is_dirty(&self) -> bool {
        self.is_dirty
    }

    pub(super) fn mark_dirty(&mut self) {
        self.is_dirty = true;
    }

    pub(super) fn set_usable(&mut self, usable: bool) {
        self.usable = usable;
    }

    /// Returns the status for the leader if the machine is marked dirty, and clears the mark.
    /// Returns `None` if there has been neither a current heartbeat nor an expiry of the lease yet.
    pub(super) fn take_changed_status(&mut self, token: u64, name: &str) -> Option<MachineStatus> {
        let changed = std::mem::take(&mut self.is_dirty);
        let is_known = self.newest_heartbeat.is_some() || self.lease.has_expired();
        (changed && is_known).then(|| self.status(token, name))
    }

    fn status(&self, token: u64, name: &str) -> MachineStatus {
        MachineStatus {
            token,
            name: name.into(),
            kind: self.identity.kind.clone(),
            zone: self.identity.zone.clone(),
            spot: self.identity.spot,
            incarnation: self.newest_heartbeat.unwrap_or_default().incarnation,
            lease_expired: self.lease.has_expired(),
            notice_s: self.notice_s,
            tasks: self.tasks.values().cloned().collect(),
            pending: self.pending().tasks().cloned().collect(),
            usable: self.usable,
            unreachable: self.responses.is_unreachable(),
        }
    }

    /// Describes the machine in one line, for logs and failed tests.
    pub(super) fn explain(&self, name: &str) -> String {
        let newest = self.newest_heartbeat.unwrap_or_default();
        format!(
            "{name} usable={} since={} known={} incarnation={} seq={} answered={:.1} lapsed={} tasks={} pending={} stops={}",
            self.usable,
            self.owned_since_token,
            self.newest_heartbeat.is_some(),
            newest.incarnation,
            newest.seq,
            self.lease.renewed_at(),
            self.lease.has_expired(),
            self.tasks.len(),
            self.pending().len(),
            self.orders.stop_count()
        )
    }
}

/// Processing of heartbeats, and the worker's lease.
impl OwnedMachine {
    /// Returns whether the heartbeat is a duplicate or was delayed, so that the worker no longer
    /// waits for the response.
    pub(super) fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        let id = HeartbeatId::of(heartbeat);
        self.newest_heartbeat.is_some_and(|newest| id <= newest)
            || self.lease.precedes_expiry(heartbeat.incarnation)
    }

    /// Records that a heartbeat is responded to at `now`, which renews the worker's lease whatever
    /// the response contains.
    pub(super) fn renew_lease(&mut self, heartbeat: &Heartbeat, now: Secs) {
        self.lease.renew(heartbeat.incarnation, now);
    }

    /// Returns whether the heartbeat was certainly sent after the worker had begun to discard the
    /// orders of earlier owners.
    pub(super) fn is_current(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.token >= self.owned_since_token
    }

    /// Updates the machine's status from a current heartbeat.
    pub(super) fn apply_heartbeat(&mut self, heartbeat: &Heartbeat) {
        let id = HeartbeatId::of(heartbeat);
        let was_unreachable = self.responses.is_unreachable();
        self.responses.record_response(id);
        self.is_dirty |= self.responses.is_unreachable() != was_unreachable;
        self.is_dirty |= self.lease.has_expired() || self.newest_heartbeat.is_none();
        self.lease.revive(heartbeat.incarnation);
        self.newest_heartbeat = Some(id);
        let tasks: BTreeMap<TaskRef, TaskStatus> =
            heartbeat.tasks.iter().filter_map(parse_task).collect();
        self.is_dirty |=
            tasks != self.tasks || heartbeat.notice_s.is_some() != self.notice_s.is_some();
        self.tasks = tasks;
        self.notice_s = heartbeat.notice_s;
    }

    /// Returns whether the worker has certainly killed its tasks, but the lease is not marked as
    /// expired yet.
    pub(super) fn has_newly_expired_lease(&self, now: Secs, expiry_s: Secs) -> bool {
        !self.lease.has_expired() && self.lease.is_past_expiry(now, expiry_s)
    }

    /// Marks the lease as expired and discards all tasks and orders. The worker has killed and
    /// removed its tasks, and only heartbeats of a later incarnation are accepted.
    pub(super) fn expire_lease(&mut self, name: &str, outbox: &mut Outbox) {
        log::info!(
            "event=machine_lease_expired machine={name} tasks={}",
            self.tasks.len()
        );
        self.lease.mark_expired();
        self.tasks.clear();
        self.withdraw_all_starts(outbox);
        self.orders.discard_stops_and_clears();
        self.images.clear();
        self.is_dirty = true;
    }

    /// Returns whether the machine's lease has expired, the leader allows no tasks here, its latest
    /// status has been sent to the leader, and it got no response for `retention_s` seconds. If it
    /// sends a heartbeat again, it is added as a new machine.
    pub(super) fn can_be_removed(&self, now: Secs, retention_s: Secs) -> bool {
        self.lease.has_expired()
            && !self.usable
            && !self.is_dirty
            && self.lease.is_past_expiry(now, retention_s)
    }
}

/// Orders to the worker.
impl OwnedMachine {
    /// Adds tasks to start with the responses to the machine's heartbeats. Returns how many of them
    /// were not pending yet.
    pub(super) fn add_starts(
        &mut self,
        group: &StartGroup,
        indexes: impl Iterator<Item = u32>,
    ) -> u32 {
        let added = self.orders.add_starts(group, indexes);
        if added > 0 {
            self.remember_image(group.image);
            self.is_dirty = true;
        }
        added
    }

    /// Returns how many more starts the next response may contain.
    pub(super) fn starts_left_in_response(&self) -> usize {
        self.orders.starts().starts_left_in_response()
    }

    /// Adds an order to stop a task with a grace period in seconds; the shortest one requested
    /// applies.
    pub(super) fn add_stop(&mut self, task: TaskRef, grace_s: f64) {
        self.orders.add_stop(task, grace_s);
    }

    /// Adds an order to clear an exited task from the worker.
    pub(super) fn add_clear(&mut self, task: TaskRef) {
        self.orders.add_clear(task);
    }

    /// Withdraws all starts if responses don't reach the worker. Returns whether there were any.
    pub(super) fn withdraw_undelivered_starts(&mut self, name: &str, outbox: &mut Outbox) -> bool {
        if !self.responses.is_unreachable() {
            return false;
        }
        log::info!(
            "event=starts_lost machine={name} tasks={}",
            self.pending().len()
        );
        self.withdraw_all_starts(outbox)
    }

    fn withdraw_all_starts(&mut self, outbox: &mut Outbox) -> bool {
        let withdrawn = self.orders.withdraw_all_starts(&self.tasks, outbox);
        self.is_dirty |= withdrawn;
        withdrawn
    }

    /// Reconciles all outstanding orders with the heartbeat that was just applied.
    pub(super) fn reconcile_orders(
        &mut self,
        is_terminal: impl Fn(&str) -> bool,
        outbox: &mut Outbox,
    ) {
        let rejects_starts = !self.usable || self.notice_s.is_some();
        self.orders.stop_terminal(&self.tasks, &is_terminal);
        self.is_dirty |=
            self.orders
                .reconcile_starts(&self.tasks, rejects_starts, &is_terminal, outbox);
        self.orders.reconcile_stops_and_clears(&self.tasks);
    }

    /// Returns the orders for the response to the heartbeat that was just applied. Leaves out
    /// starts if `may_start` is false, because the controller's view of the store is too old for
    /// them.
    pub(super) fn next_orders(&self, may_start: bool) -> Vec<Order> {
        self.orders.next_orders(may_start)
    }

    fn remember_image(&mut self, image: &str) {
        self.images.retain(|known| known != image);
        self.images.push_front(image.to_string());
        self.images.truncate(MAX_REMEMBERED_IMAGES);
    }
}

/// Converts a task in a heartbeat. Returns `None` if its name is not a valid task name.
fn parse_task(reported: &ReportedTask) -> Option<(TaskRef, TaskStatus)> {
    let (job, index) = split_task_name(&reported.task)?;
    let task = TaskRef {
        job: job.into(),
        index,
        attempt: reported.attempt,
    };
    let status = TaskStatus {
        task: task.clone(),
        state: reported.state,
        why: reported.why,
        saved: reported.saved.unwrap_or(false),
    };
    Some((task, status))
}
