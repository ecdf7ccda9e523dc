//! Scale-in: releases machines that are idle for too long, faulty or lost, or that never came up.

use super::retention::{IdleRetention, RetentionByType};
use super::{Autoscaler, EpochContext, MIN_CHARGE_S};
use crate::cluster::{Cluster, Machine, Rostered};
use crate::Secs;
use std::collections::BTreeSet;

/// Time after which a machine that is still booting is given up, as a multiple of its nominal boot
/// time.
const MAX_BOOT_FACTOR: f64 = 3.5;

/// A machine is considered faulty once this many jobs that do not fail everywhere have failed on
/// it.
const MIN_FAILED_JOBS: usize = 2;

/// A new leader releases the machines that it has not heard from early if they are at most this
/// fraction of all machines.
const MAX_UNKNOWN_SHARE: f64 = 0.02;

/// Time within which a worker whose heartbeat was lost has retried, as a multiple of a heartbeat's
/// response timeout (`wire::HEARTBEAT_RESPONSE_TIMEOUT_S`).
const RETRY_TIMEOUT_FACTOR: f64 = 1.25;

/// Time within which a worker has twice given up on a controller that does not answer, as a
/// multiple of `wire::HEARTBEAT_RESPONSE_TIMEOUT_S`; `GIVE_UP_HEARTBEATS` heartbeat intervals are
/// added to it.
const GIVE_UP_TIMEOUT_FACTOR: f64 = 2.0;

/// Number of heartbeat intervals that a worker needs to give up twice, in addition to the response
/// timeouts.
const GIVE_UP_HEARTBEATS: f64 = 1.5;

/// The machines that a review takes out of use.
#[derive(Default)]
pub(super) struct ScaleInPlan {
    /// Machines on which nothing may be placed any more, in the order in which their owners are
    /// notified.
    pub drain: Vec<String>,
    /// Machines to release.
    pub release: Vec<String>,
}

/// The action to take on a machine.
enum MachineAction {
    /// Leave it as it is.
    Keep,
    /// Stop placing tasks on it.
    Drain,
    /// Release it: it is empty, and nothing will be placed on it.
    Release,
}

/// The properties of a machine that decide whether it is drained.
struct MachineCondition {
    /// Time for which it has been idle, in seconds.
    idle_s: f64,
    /// Whether it has been idle for longer than its retention time.
    idle_too_long: bool,
    /// Whether jobs that do not fail everywhere fail on it.
    faulty: bool,
    /// Whether its lease expired longer ago than a replacement takes to boot.
    lost: bool,
}

impl MachineCondition {
    /// Returns the condition of a machine at `now`.
    fn of(machine: &Machine, retention: &IdleRetention, now: Secs) -> MachineCondition {
        let idle_s = now - machine.idle_since;
        let silent_s = machine.lease_expired_at.map(|expired_at| now - expired_at);
        MachineCondition {
            idle_s,
            idle_too_long: idle_s > retention.retention_s(machine.spot),
            faulty: machine.failed_jobs.len() >= MIN_FAILED_JOBS,
            lost: silent_s.is_some_and(|silent_s| silent_s > retention.boot_s),
        }
    }

    /// Returns whether the machine must be drained. Idleness and faults matter only once the
    /// machine is on the roster, since nothing can be placed on it before.
    fn requires_drain(&self, rostered: Rostered) -> bool {
        self.lost || rostered == Rostered::Yes && (self.idle_too_long || self.faulty)
    }
}

impl Autoscaler {
    /// Decides which machines to drain and release, and marks them as such.
    pub(super) fn scale_in(
        &mut self,
        cluster: &mut Cluster,
        scarce: &BTreeSet<(String, bool)>,
        epoch: &EpochContext,
        now: Secs,
    ) -> ScaleInPlan {
        let work_is_blocked = epoch.waits_for_unknown_machines;
        let retention = self.retention(cluster, scarce, now);
        let mut plan = self.review_machines(cluster, &retention, work_is_blocked, now);
        if work_is_blocked && should_release_unknown(cluster, epoch, now) {
            let unknown = release_unknown(cluster);
            // A silent machine may send heartbeats again before its release, but nothing may be
            // placed on it.
            plan.drain.extend_from_slice(&unknown);
            plan.release.extend(unknown);
        }
        plan.release.extend(self.boot_timeouts(cluster, now));
        plan
    }

    /// Drains machines that are idle for too long, faulty or lost, and releases drained machines
    /// that are empty.
    fn review_machines(
        &self,
        cluster: &mut Cluster,
        retention: &RetentionByType,
        work_is_blocked: bool,
        now: Secs,
    ) -> ScaleInPlan {
        let mut plan = ScaleInPlan::default();
        let machines = cluster.machines.iter_mut();
        for (name, machine) in machines.filter(|(_, machine)| !machine.releasing) {
            // While work is blocked until the content of all machines is known, idle machines do
            // not indicate a lack of work.
            if is_in_use(machine) || work_is_blocked || self.retained_for_gangs.contains(name) {
                machine.idle_since = now;
            }
            match review_machine(name, machine, retention.for_type(&machine.kind), now) {
                MachineAction::Keep => {}
                MachineAction::Drain => {
                    machine.draining = true;
                    plan.drain.push(name.clone());
                }
                MachineAction::Release => {
                    machine.releasing = true;
                    plan.release.push(name.clone());
                }
            }
        }
        plan
    }

    /// Returns the booting machines that have exceeded the maximum boot time and whose release is not
    /// under way.
    fn boot_timeouts(&self, cluster: &Cluster, now: Secs) -> Vec<String> {
        let max_boot_s = |kind: &str| {
            let machine_type = cluster.machine_types.get(kind);
            MAX_BOOT_FACTOR * machine_type.map_or(MIN_CHARGE_S, |machine_type| machine_type.boot_s)
        };
        let late = self
            .booting
            .iter()
            .filter(|(name, _)| !self.is_release_requested(name))
            .filter(|(_, machine)| now - machine.requested_at > max_boot_s(&machine.offer.kind));
        let names: Vec<String> = late.map(|(name, _)| name.clone()).collect();
        for name in &names {
            log::info!("event=boot_timeout machine={name}");
        }
        names
    }
}

/// Returns whether anything runs, is reserved or is about to start on a machine, as far as the
/// leader and the machine's owner know.
fn is_in_use(machine: &Machine) -> bool {
    !machine.tasks.is_empty() || !machine.reserved.is_empty() || !machine.is_idle
}

/// Returns the action for a machine that is not being released yet.
fn review_machine(
    name: &str,
    machine: &Machine,
    retention: &IdleRetention,
    now: Secs,
) -> MachineAction {
    let condition = MachineCondition::of(machine, retention, now);
    if !machine.draining && condition.requires_drain(machine.rostered) {
        log::info!(
            "event=drain machine={name} idle_s={:.0} faulty={} lost={}",
            condition.idle_s,
            condition.faulty,
            condition.lost
        );
        return MachineAction::Drain;
    }
    // Even for a lost machine, its owner must first confirm that it places nothing there: the
    // machine may have come back meanwhile, and tasks placed on a released machine are lost.
    let drain_confirmed = machine.draining && machine.confirmed_unusable && machine.reconciled;
    if drain_confirmed && !is_in_use(machine) {
        MachineAction::Release
    } else {
        MachineAction::Keep
    }
}

/// Returns whether to give up the machines that have not been heard from since this leader started.
/// This is the case once the epoch has lasted long enough for a worker to give up twice on a
/// controller that does not answer. It is also the case if nearly all machines have been heard
/// from, and the last of these was heard from so long ago that a worker whose heartbeat was lost
/// would have retried: the remaining few are dead, and all work would wait for them.
fn should_release_unknown(cluster: &Cluster, epoch: &EpochContext, now: Secs) -> bool {
    let few_left = cluster.machines.unknown().len() as f64
        <= cluster.machines.len() as f64 * MAX_UNKNOWN_SHARE;
    let heard_recently = now
        - cluster
            .machines
            .unknown()
            .last_known_at()
            .max(epoch.began_at)
        <= wire::HEARTBEAT_RESPONSE_TIMEOUT_S * RETRY_TIMEOUT_FACTOR;
    let give_up_after_s = GIVE_UP_TIMEOUT_FACTOR * wire::HEARTBEAT_RESPONSE_TIMEOUT_S
        + GIVE_UP_HEARTBEATS * cluster.config.heartbeat_s;
    now - epoch.began_at > give_up_after_s || few_left && !heard_recently
}

/// Marks the machines that have not been heard from since this leader started as being released,
/// and returns their names. Work is blocked until the content of each machine is known, and a
/// released machine has none.
fn release_unknown(cluster: &mut Cluster) -> Vec<String> {
    let machines = cluster.machines.iter_mut();
    let silent = machines.filter(|(_, machine)| machine.content_unknown && !machine.releasing);
    let released = silent.map(|(name, machine)| {
        log::info!("event=machine_silent machine={name}");
        machine.releasing = true;
        name.clone()
    });
    released.collect()
}
