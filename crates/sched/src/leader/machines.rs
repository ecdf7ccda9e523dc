//! Roster membership, usability and removal of machines.

use super::{Action, ActiveTask, EndOfMachine, Leader, Machine, RequeueReason, Rostered};
use crate::Secs;
use wire::peers::ToOwner;

impl Leader {
    pub(super) fn new_machine(&self, kind: &str, zone: &str, spot: bool, now: Secs) -> Machine {
        Machine::new(kind, zone, spot, self.epochs.token(), now)
    }

    /// Handles the outcome of [`Action::UpdateRoster`]. `is_put` is false for a
    /// deletion, and `written` tells whether the change is durable.
    pub fn on_roster_result(&mut self, machine: &str, is_put: bool, written: bool) {
        let Some(known) = self.cluster.machines.get_mut(machine) else {
            return;
        };
        if !is_put {
            return;
        }
        known.rostered = if written { Rostered::Yes } else { Rostered::No };
        self.cluster.machines.mark_dirty(machine);
        if written {
            self.send_usable(machine);
            self.pass_requested = true;
        }
    }

    /// Tells a machine's owner whether it may place tasks there, if that differs from what it was
    /// told last.
    pub(crate) fn send_usable(&mut self, name: &str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let usable = machine.is_usable();
        if usable == machine.usable_sent {
            return;
        }
        machine.usable_sent = usable;
        let owner = machine.owner.clone();
        self.cluster.machines.mark_dirty(name);
        let machine = name.to_string();
        self.send(&owner, ToOwner::SetUsable { machine, usable });
    }

    /// Removes a machine that certainly no longer exists. Requeues the tasks that were there; those
    /// that were only expected there stay with their owner, which may have started them elsewhere.
    pub(crate) fn remove_machine(&mut self, name: &str) {
        let Some(machine) = self.cluster.machines.get(name) else {
            return;
        };
        let tasks: Vec<(String, u32)> = machine.tasks.keys().cloned().collect();
        for (id, index) in tasks {
            self.release_task_from(name, &id, index);
        }
        self.cluster.machines.remove(name);
        self.actions.push(Action::UpdateRoster(name.into(), None));
        self.reconcile();
        self.pass_requested = true;
    }

    /// Applies the end of the machine to which a task is charged.
    fn release_task_from(&mut self, machine: &str, id: &str, index: u32) {
        let job = self.cluster.jobs.get(id);
        let Some(active) = job.and_then(|job| job.active.get(&index)) else {
            return;
        };
        match active.location.after_end_of_machine() {
            EndOfMachine::TaskEnded => {
                self.requeue_task(id, index, RequeueReason::MachineReleased);
            }
            EndOfMachine::TaskMoves(location) => {
                log::debug!(
                    "event=prediction_dropped task={id}/{index} attempt={} machine={machine}",
                    active.attempt
                );
                let moved = ActiveTask {
                    location,
                    ..active.clone()
                };
                self.cluster.set_active(id, index, moved);
            }
        }
    }
}
