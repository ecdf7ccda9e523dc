//! Random fault injection: the kinds of faults, their probabilities and their durations.

use super::*;

/// The time by which a random late boot is later than usual: several times as long, for some machines
/// longer than the leader waits.
const LATE_BOOT_S: std::ops::Range<f64> = 4.0..16.0;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// A controller crashes.
    Crash,
    /// The leading controller crashes.
    LeaderCrash,
    /// The leader's lease ends early, while the leader and its owners still have authority.
    LeaseRevoked,
    /// A controller crashes while there is no leader.
    CrashDuringElection,
    /// All controllers crash at once.
    AllControllersCrash,
    /// A controller briefly loses its connections to the other controllers.
    ControllerDisconnected,
    /// A controller is partitioned from the store and the other controllers, but not from workers.
    NetworkPartition,
    /// A controller freezes.
    ControllerFrozen,
    /// The leader freezes between computing a response to a worker and sending it.
    LeaderFrozenBeforeResponse,
    /// The store is unavailable to all controllers.
    StoreDown,
    /// The store refuses the leader's requests, or those of a random controller if there is no
    /// leader.
    StoreRefusesLeader,
    /// As `StoreRefusesLeader`; soon afterwards, the store is unavailable to all controllers.
    StoreRefusesThenDown,
    /// A machine hangs and then resumes.
    MachineHang,
    /// A machine fails permanently.
    MachineGone,
    /// A machine's heartbeats are lost.
    HeartbeatsLost,
    /// The responses to a machine's heartbeats are lost.
    ResponsesLost,
    /// A worker restarts immediately, with a new incarnation.
    WorkerRestart,
    /// A user cancels a job whose tasks have all completed but which is not yet recorded as done.
    CancelCompletedJob,
    /// A write gets no response and is applied later.
    LateWrite,
    /// The cloud executes no request.
    CloudDown,
    /// Machines boot late.
    LateBoots,
    /// Releases of machines take effect late.
    LateReleases,
    /// Messages between controllers are slow.
    SlowLinks,
}

impl Fault {
    /// Returns the fault for a random number from 0 to 2999; most numbers map to no fault.
    fn from_draw(number: u32, has_leader: bool) -> Option<Fault> {
        Some(match number {
            0..=9 => Fault::Crash,
            10..=14 => Fault::LeaderCrash,
            15..=24 => Fault::ControllerDisconnected,
            25..=39 => Fault::MachineHang,
            40..=44 => Fault::StoreDown,
            45..=49 => Fault::MachineGone,
            50..=61 => Fault::ResponsesLost,
            62..=66 => Fault::NetworkPartition,
            67..=74 => Fault::WorkerRestart,
            75..=79 => Fault::StoreRefusesLeader,
            80..=84 => Fault::StoreRefusesThenDown,
            85..=92 => Fault::HeartbeatsLost,
            93..=97 => Fault::AllControllersCrash,
            98..=117 => Fault::CancelCompletedJob,
            // The range is large because only about one step in ten has no leader.
            118..=168 if !has_leader => Fault::CrashDuringElection,
            169..=174 => Fault::ControllerFrozen,
            175..=178 => Fault::LeaderFrozenBeforeResponse,
            179..=183 => Fault::LeaseRevoked,
            184..=188 => Fault::CloudDown,
            189..=198 => Fault::LateBoots,
            199..=208 => Fault::LateReleases,
            209..=218 => Fault::SlowLinks,
            _ => return None,
        })
    }
}

/// The machine and the controller that a fault may affect, by index, and the fault's duration as a
/// share of the maximum.
#[derive(Clone, Copy)]
struct FaultTarget {
    machine: usize,
    controller: usize,
    duration_share: f64,
}

/// A partition of one controller from the store and the other controllers, but not from workers.
pub(super) struct Partition {
    pub(super) controller: usize,
    pub(super) until: f64,
}

/// An outage of the store that starts at a later time.
pub(super) struct PlannedOutage {
    pub(super) begins_at: f64,
    pub(super) duration_s: f64,
}

impl World {
    /// Draws whether a fault occurs in this step, and if so, its kind and target.
    pub(super) fn inject_fault(&mut self) {
        let number = self.rng.u32(0..3000);
        let Some(fault) = Fault::from_draw(number, self.leading.is_some()) else {
            return;
        };
        self.count_fault(fault);
        let machine = self.rng.usize(0..self.workers.len().max(1));
        let share = self.rng.f64();
        let controller = self.rng.usize(0..self.controllers.len());
        let target = FaultTarget {
            machine,
            controller,
            duration_share: share,
        };
        self.inject_controller_fault(fault, target);
        self.inject_store_fault(fault, target);
        self.inject_delay(fault, target.duration_share);
        self.inject_machine_fault(fault, target);
    }

    pub(super) fn count_fault(&mut self, fault: Fault) {
        *self.faults.entry(fault).or_default() += 1;
    }

    fn inject_controller_fault(&mut self, fault: Fault, target: FaultTarget) {
        let (now, i, share) = (self.now, target.controller, target.duration_share);
        let leading = self.leader_index();
        match fault {
            Fault::Crash | Fault::CrashDuringElection => self.crash(i),
            Fault::LeaseRevoked => self.revoke_lease(),
            Fault::LeaderCrash => leading.into_iter().for_each(|leading| self.crash(leading)),
            Fault::AllControllersCrash => (0..CONTROLLERS).for_each(|i| self.crash(i)),
            Fault::ControllerDisconnected => self.disconnect_controller(i, 0.3),
            Fault::NetworkPartition => {
                self.partition = Some(Partition {
                    controller: i,
                    until: now + 1.0 + share * 12.0,
                });
                self.disconnect_controller(i, 1.0 + share * 12.0);
            }
            Fault::ControllerFrozen => self.freeze_controller(i, share * 12.0),
            Fault::LeaderFrozenBeforeResponse => {
                self.freeze_before_next_response(leading.unwrap_or(i), share * 12.0);
            }
            _ => {}
        }
    }

    fn inject_store_fault(&mut self, fault: Fault, target: FaultTarget) {
        let (now, share) = (self.now, target.duration_share);
        let refused = self.leader_index().unwrap_or(target.controller);
        match fault {
            Fault::StoreDown => self.store_down_until = now + share * 6.0,
            Fault::StoreRefusesLeader => self.refuse_controller(refused, share * 10.0),
            Fault::StoreRefusesThenDown => {
                self.refuse_controller(refused, 8.0);
                self.planned_outage = Some(PlannedOutage {
                    begins_at: now + 0.2 + share * 2.0,
                    duration_s: [5.0, 9.0, 30.0][self.rng.usize(0..3)],
                });
            }
            Fault::CloudDown => self.cloud_outage(5.0 + share * 15.0),
            Fault::CancelCompletedJob => {
                self.cancel_completed_job();
            }
            _ => {}
        }
    }

    fn inject_delay(&mut self, fault: Fault, share: f64) {
        let duration_s = 5.0 + share * 15.0;
        match fault {
            Fault::LateBoots => self.late_boots(duration_s, LATE_BOOT_S),
            Fault::LateReleases => self.late_releases(duration_s),
            Fault::SlowLinks => self.slow_links(0.2 + share * 0.4, duration_s),
            _ => {}
        }
    }

    fn inject_machine_fault(&mut self, fault: Fault, target: FaultTarget) {
        let (now, share) = (self.now, target.duration_share);
        let Some(worker) = self.workers.values_mut().nth(target.machine) else {
            return;
        };
        match fault {
            Fault::MachineHang => worker.hung_until = now + share * 14.0,
            Fault::MachineGone => worker.die(),
            Fault::HeartbeatsLost => worker.heartbeats_lost_until = now + share * 20.0,
            Fault::ResponsesLost => worker.responses_lost_until = now + share * 20.0,
            Fault::WorkerRestart => {
                worker.restart(now);
                worker.next_heartbeat_at = now + share * 0.5;
            }
            _ => {}
        }
    }

    /// Returns an open job whose tasks have all completed but which is not yet recorded as done.
    pub(super) fn completed_unrecorded_job(&self) -> Option<String> {
        let mut open = self.jobs.iter().filter(|(_, job)| job.is_open());
        let found = open.find(|(id, job)| self.completed_tasks(id) == job.spec.tasks as usize);
        found.map(|(id, _)| id.clone())
    }

    fn crash(&mut self, i: usize) {
        let duration_s = [0.1, 0.4, 4.0][self.rng.usize(0..3)];
        self.restart_controller(i, duration_s);
    }

    /// Stops a controller and restarts it with empty state after `duration_s`.
    pub fn restart_controller(&mut self, i: usize, duration_s: f64) {
        let was_leading = self.leader_index() == Some(i);
        let controller = Controller {
            value_kb: self.controllers[i].value_kb,
            down_until: self.now + duration_s,
            ..Controller::new(i, &self.config)
        };
        self.controllers[i] = controller;
        if was_leading {
            self.end_leadership();
        } else if let Some(leading) = &mut self.leading {
            leading.leader.on_owner_disconnected(&controller_name(i));
        }
    }

    /// Breaks a controller's connections to the other controllers for `duration_s`.
    pub fn disconnect_controller(&mut self, i: usize, duration_s: f64) {
        self.controllers[i].disconnect(self.now + duration_s);
        if let Some(leading) = &mut self.leading {
            leading.leader.on_owner_disconnected(&controller_name(i));
        }
    }
}
