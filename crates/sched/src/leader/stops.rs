//! Stops tasks on their machines, and lets workers clear (forget) tasks that have exited.

use super::{Leader, TaskLocation};
use wire::peers::{TaskRef, ToOwner};

impl Leader {
    /// Stops all tasks of a job that are on machines, except those for which a stop was already
    /// sent.
    pub(crate) fn stop_all_tasks(&mut self, id: &str, grace_s: f64) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let indexes: Vec<u32> = job.active.keys().copied().collect();
        for index in indexes {
            self.stop_task(id, index, grace_s);
        }
    }

    /// Stops a task if it is on a machine and no stop was sent for it yet.
    pub(crate) fn stop_task(&mut self, id: &str, index: u32, grace_s: f64) {
        let job = self.cluster.jobs.get_mut(id);
        let Some(active) = job.and_then(|job| job.active.get_mut(&index)) else {
            return;
        };
        let TaskLocation::OnMachine(machine) = active.location.clone() else {
            return;
        };
        if std::mem::replace(&mut active.stop_sent, true) {
            return;
        }
        let task = TaskRef {
            job: id.into(),
            index,
            attempt: active.attempt,
        };
        self.send_stop(machine, task, grace_s);
    }

    /// Tells the owner of a machine to stop a task there.
    pub(crate) fn send_stop(&mut self, machine: String, task: TaskRef, grace_s: f64) {
        let Some(owner) = self
            .cluster
            .machines
            .get(&machine)
            .map(|known| known.owner.clone())
        else {
            return;
        };
        self.send(
            &owner,
            ToOwner::Stop {
                machine,
                task,
                grace_s,
            },
        );
    }

    /// Tells the owner of a machine, once per epoch and task, that the worker can clear an exited
    /// task.
    pub(crate) fn clear_task(&mut self, machine: &str, task: TaskRef) {
        let Some(known) = self.cluster.machines.get_mut(machine) else {
            return;
        };
        if known.cleared_tasks.insert(task.clone()) {
            let owner = known.owner.clone();
            self.send(
                &owner,
                ToOwner::Clear {
                    machine: machine.into(),
                    task,
                },
            );
        }
    }
}
