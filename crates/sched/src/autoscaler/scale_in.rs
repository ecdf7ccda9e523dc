//! Returning machines: idle ones, faulty ones, lost ones, and those that never came up.

use super::retention::{IdleRetention, RetentionByType};
use super::{Autoscaler, EpochContext, MIN_CHARGE_S};
use crate::cluster::{Cluster, Machine, Rostered};
use crate::Secs;
use std::collections::BTreeSet;

/// A machine that takes this many times its nominal boot time is given up.
const MAX_BOOT_FACTOR: f64 = 3.5;

/// A machine on which so many jobs failed that run elsewhere is taken to be faulty.
const MIN_FAILED_JOBS: usize = 2;

/// Part of all machines that a new leader returns soon if they are the only ones not heard.
const MAX_UNKNOWN_SHARE: f64 = 0.02;

/// Times that a worker waits for an answer: within that, one whose heartbeat was lost has tried again.
const RETRY_TIMEOUT_FACTOR: f64 = 1.25;

/// Times that a worker waits for an answer: within that and `HEARTBEATS_TO_GIVE_UP` it has given up twice on a
/// controller that does not answer.
const GIVE_UP_TIMEOUT_FACTOR: f64 = 2.0;

/// Heartbeat intervals that this takes beside the answers that are waited for.
const GIVE_UP_HEARTBEATS: f64 = 1.5;

/// Most names of one release (a figure of the protocol).
const MAX_MACHINES_PER_RELEASE: usize = 100;

/// What a review takes out of use.
#[derive(Default)]
pub(super) struct ScaleInPlan {
    /// Machines on which nothing may be placed any more, in the order in which their owners are told.
    pub cordon: Vec<String>,
    /// Machines to return.
    pub release: Vec<String>,
}

/// What is to be done with a machine.
enum MachineAction {
    /// It stays as it is.
    Keep,
    /// Its owner is to place nothing more there.
    Drain,
    /// Nothing is there any more, nor will be: it can be returned.
    Release,
}

/// Why a machine may have to go.
struct MachineCondition {
    /// How long it has been idle, in seconds.
    idle_s: f64,
    /// It has been idle for longer than it is worth.
    expired: bool,
    /// Jobs fail there that run elsewhere.
    faulty: bool,
    /// It has been silent for longer than another one takes to boot.
    lost: bool,
}

impl MachineCondition {
    /// What speaks against a machine at an instant.
    fn of(machine: &Machine, retention: &IdleRetention, now: Secs) -> MachineCondition {
        let idle_s = now - machine.idle_since;
        let silent_s = machine.lease_expired_at.map(|expired_at| now - expired_at);
        MachineCondition {
            idle_s,
            expired: idle_s > retention.retention_s(machine.spot),
            faulty: machine.failed_jobs.len() >= MIN_FAILED_JOBS,
            lost: silent_s.is_some_and(|silent_s| silent_s > retention.boot_s),
        }
    }

    /// Whether nothing more is to be placed on a machine. Idleness and faults count only once it is on the roster:
    /// before, nothing can be placed there.
    fn requires_drain(&self, rostered: Rostered) -> bool {
        self.lost || rostered == Rostered::Yes && (self.expired || self.faulty)
    }
}

impl Autoscaler {
    /// Takes out of use what is not worth its price or does not work.
    pub(super) fn scale_in(
        &mut self,
        cluster: &mut Cluster,
        scarce: &BTreeSet<(String, bool)>,
        epoch: &EpochContext,
        now: Secs,
    ) -> ScaleInPlan {
        let work_is_blocked = epoch.waits_for_unknown_machines;
        let retention = self.retention(cluster, scarce, now);
        let mut returns = self.review_machines(cluster, &retention, work_is_blocked, now);
        if work_is_blocked && should_release_unknown(cluster, epoch, now) {
            let unknown = release_unknown(cluster);
            // A silent machine may be heard after all before it is gone; nothing is to be placed on it.
            returns.cordon.extend_from_slice(&unknown);
            returns.release.extend(unknown);
        }
        returns.release.extend(self.boot_timeouts(cluster, now));
        returns
    }

    /// Marks machines as being released, those that are not yet, and makes batches of them that each fit one
    /// release.
    pub(super) fn begin_release(&mut self, mut names: Vec<String>) -> Vec<Vec<String>> {
        names.retain(|name| self.releasing.insert(name.clone()));
        let batches = names.chunks(MAX_MACHINES_PER_RELEASE);
        batches.map(<[String]>::to_vec).collect()
    }

    /// Drains machines that were idle for too long, are faulty or lost, and releases those that were drained
    /// before and are empty.
    fn review_machines(
        &self,
        cluster: &mut Cluster,
        retention: &RetentionByType,
        work_is_blocked: bool,
        now: Secs,
    ) -> ScaleInPlan {
        let mut returns = ScaleInPlan::default();
        let machines = cluster.machines.iter_mut();
        for (name, machine) in machines.filter(|(_, machine)| !machine.releasing) {
            // While work waits until all machines are known, idle ones are not idle for lack of work.
            if is_in_use(machine) || work_is_blocked || self.retained_for_gangs.contains(name) {
                machine.idle_since = now;
            }
            match review_machine(name, machine, retention.for_type(&machine.kind), now) {
                MachineAction::Keep => {}
                MachineAction::Drain => {
                    machine.draining = true;
                    returns.cordon.push(name.clone());
                }
                MachineAction::Release => {
                    machine.releasing = true;
                    returns.release.push(name.clone());
                }
            }
        }
        returns
    }

    /// Machines that should have come up long ago.
    fn boot_timeouts(&self, cluster: &Cluster, now: Secs) -> Vec<String> {
        let max_boot_s = |kind: &str| {
            let machine_type = cluster.machine_types.get(kind);
            MAX_BOOT_FACTOR * machine_type.map_or(MIN_CHARGE_S, |machine_type| machine_type.boot_s)
        };
        let late = self
            .booting
            .iter()
            .filter(|(_, machine)| now - machine.requested_at > max_boot_s(&machine.offer.kind));
        let names: Vec<String> = late.map(|(name, _)| name.clone()).collect();
        for name in &names {
            log::info!("event=boot_timeout machine={name}");
        }
        names
    }
}

/// Whether anything runs on a machine, or is to, as far as the leader and the machine's owner know.
fn is_in_use(machine: &Machine) -> bool {
    !machine.tasks.is_empty() || !machine.reserved.is_empty() || !machine.is_idle
}

/// Decides on one machine that is not being released.
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
    // Also of a lost machine its owner must show first that it places nothing there: it may have come back
    // meanwhile, and what is placed on a returned machine is lost.
    let is_closed = machine.draining && machine.confirmed_unusable && machine.reconciled;
    if is_closed && !is_in_use(machine) {
        MachineAction::Release
    } else {
        MachineAction::Keep
    }
}

/// Whether machines that were not heard under this leader are given up. Either it is long enough for a worker to
/// give up twice on a controller that does not answer; or nearly all were heard, and the last of them a while
/// ago, long enough for a worker whose heartbeat was lost to try again: the few that are left are dead, and all
/// work would wait for them.
fn should_release_unknown(cluster: &Cluster, epoch: &EpochContext, now: Secs) -> bool {
    let few_left = cluster.machines.unknown().len() as f64
        <= cluster.machines.len() as f64 * MAX_UNKNOWN_SHARE;
    let heard_recently = now
        - cluster
            .machines
            .unknown()
            .last_known_at()
            .max(epoch.began_at)
        <= wire::ANSWER_DROPPED_S * RETRY_TIMEOUT_FACTOR;
    let give_up_after_s = GIVE_UP_TIMEOUT_FACTOR * wire::ANSWER_DROPPED_S
        + GIVE_UP_HEARTBEATS * cluster.config.heartbeat_s;
    now - epoch.began_at > give_up_after_s || few_left && !heard_recently
}

/// Releases the machines that were not heard under this leader: work waits for what they show, and once
/// returned they hold nothing.
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
