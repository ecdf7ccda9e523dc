//! Applies machine statuses from owners to the leader's view of the cluster.

use super::{Action, ActiveTask, Leader, Machine, RequeueReason, Rostered, TaskLocation};
use crate::Secs;
use std::collections::BTreeSet;
use wire::peers::{MachineStatus, TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::store::RosterRecord;
use wire::workers::{TaskState, Why};

impl Leader {
    /// Handles a message from an owner.
    pub fn on_owner_message(&mut self, from: &str, message: ToLeader, now: Secs) {
        match message {
            ToLeader::MachineStatuses(statuses) => {
                for status in statuses {
                    self.apply_status(from, status, now);
                }
                self.reconcile();
            }
            ToLeader::HandBack {
                job,
                attempt,
                tasks,
            } => self.requeue_handed_back(from, &job, attempt, &tasks),
            ToLeader::ReserveResult { attempt, reserved } => {
                self.on_reserve_result(from, attempt, reserved, now)
            }
            ToLeader::Cancelled { job } => self.confirm_cancellation(&job, from, now),
            ToLeader::TerminalConfirmed { n } => self.on_terminal_confirmed(from, n, now),
            ToLeader::Hello { .. } | ToLeader::Ping { .. } => {}
        }
    }

    /// Requeues tasks that an owner has not started and will not start. Each run is a first task
    /// and a number of tasks.
    fn requeue_handed_back(&mut self, owner: &str, job: &str, attempt: u64, runs: &[(u32, u32)]) {
        let indexes = runs.iter();
        let indexes = indexes.flat_map(|(first, count)| *first..first.saturating_add(*count));
        for index in indexes {
            let job_state = self.cluster.jobs.get(job);
            let assigned = job_state.and_then(|state| state.active.get(&index));
            let is_assigned = |active: &ActiveTask| {
                active.attempt == attempt && active.location.unreported_owner() == Some(owner)
            };
            if assigned.is_some_and(is_assigned) {
                self.requeue_task(job, index, RequeueReason::HandedBack);
            }
        }
    }

    fn apply_status(&mut self, from: &str, status: MachineStatus, now: Secs) {
        if !self.epochs.owns(from, &status.name) {
            return;
        }
        if !self.cluster.machines.contains_key(&status.name) {
            if self.autoscaler.is_released(&status.name) {
                self.on_status_of_released(from, &status, now);
                return;
            }
            if status.token != self.epochs.token() || status.lease_expired {
                // The owner knows the machine only from a delayed copy of a heartbeat, or saw it in
                // an earlier epoch; the owner will send the machine's status again in the current
                // epoch.
                return;
            }
            self.add_machine(from, &status, now);
        }
        let is_current = status.token == self.epochs.token();
        let Some(machine) = self.cluster.machines.get_mut(&status.name) else {
            return;
        };
        if machine.owner != from || status.token < machine.owner_token {
            return;
        }
        update_machine(machine, &status, now);
        // Only a status from the current epoch proves that no other tasks have been placed on the
        // machine in the meantime.
        if is_current {
            machine.reconciled = true;
            if std::mem::take(&mut machine.content_unknown) {
                self.cluster.machines.mark_known(&status.name, now);
                self.send_usable(&status.name);
            }
        }
        self.cluster.machines.mark_dirty(&status.name);
        self.write_roster_record(&status.name);
        if is_current {
            self.resend_usable(from, &status);
        }
        self.apply_tasks(&status, now);
        self.pass_requested = true;
    }

    fn add_machine(&mut self, owner: &str, status: &MachineStatus, now: Secs) {
        log::info!(
            "event=machine_up machine={} kind={} zone={} spot={}",
            status.name,
            status.kind,
            status.zone,
            status.spot
        );
        let mut machine = self.new_machine(&status.kind, &status.zone, status.spot, now);
        machine.owner = owner.to_string();
        // It may have come up while its release was under way.
        machine.releasing = self.autoscaler.is_release_requested(&status.name);
        machine.draining = self.autoscaler.may_be_released(&status.name);
        self.cluster.machines.insert(&status.name, machine);
        self.autoscaler.record_boot(&status.name, now);
    }

    /// Requests the write of a roster record for a machine that is up and whose release was not
    /// requested, unless the record exists or is being written.
    pub(crate) fn write_roster_record(&mut self, name: &str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if machine.rostered != Rostered::No || !machine.may_join_roster() {
            return;
        }
        machine.rostered = Rostered::Writing;
        let record = RosterRecord {
            kind: machine.kind.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        self.actions
            .push(Action::UpdateRoster(name.into(), Some(record)));
    }

    /// Tells an owner again whether a machine is usable, if the owner's status shows the opposite:
    /// the owner may have reset its state after the first message.
    fn resend_usable(&mut self, owner: &str, status: &MachineStatus) {
        let machine = self.cluster.machines.get(&status.name);
        let usable = machine.map(|machine| machine.usable_sent);
        if let Some(usable) = usable.filter(|usable| *usable != status.usable) {
            let machine = status.name.clone();
            self.send(owner, ToOwner::SetUsable { machine, usable });
        }
    }

    /// Handles the status of a released machine. The machine no longer exists; tasks that its owner
    /// placed there before the owner learned of the release are not running anywhere, so they are
    /// requeued, unless they are done.
    fn on_status_of_released(&mut self, from: &str, status: &MachineStatus, now: Secs) {
        if status.usable {
            let machine = status.name.clone();
            let usable = false;
            self.send(from, ToOwner::SetUsable { machine, usable });
        }
        let is_done = |task: &&TaskStatus| task.why == Some(Why::Done);
        let (done, ended): (Vec<_>, Vec<_>) = status.tasks.iter().partition(is_done);
        for task in done {
            self.complete_if_new(&task.task, now);
        }
        for task in ended
            .into_iter()
            .map(|task| &task.task)
            .chain(&status.pending)
        {
            if self.was_on_released(from, &status.name, task) {
                self.requeue_task(&task.job, task.index, RequeueReason::MachineReleased);
            }
        }
    }

    /// Returns whether the task that an owner reports on a released machine is the attempt that the
    /// leader tracks.
    fn was_on_released(&self, from: &str, machine: &str, task: &TaskRef) -> bool {
        let job = self.cluster.jobs.get(&task.job);
        let active = job.and_then(|job| job.active.get(&task.index));
        active.is_some_and(|active| {
            let is_here = active.location.unreported_owner() == Some(from)
                || active.location == TaskLocation::OnMachine(machine.into());
            active.attempt == task.attempt && is_here
        })
    }

    fn apply_tasks(&mut self, status: &MachineStatus, now: Secs) {
        let name = status.name.as_str();
        let (exited, live): (Vec<_>, Vec<_>) = status
            .tasks
            .iter()
            .partition(|task| task.state == TaskState::Exited);
        let mut has_unknown_jobs = false;
        for task in &live {
            has_unknown_jobs |= !self.on_live_task(name, &task.task, task.state, now);
        }
        for task in &status.pending {
            has_unknown_jobs |= !self.on_live_task(name, task, TaskState::Fetching, now);
        }
        for task in exited {
            self.on_task_exit(name, task, now);
        }
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.has_unknown_jobs = has_unknown_jobs;
        }
        let shown = live.iter().map(|task| &task.task).chain(&status.pending);
        self.requeue_missing_tasks(name, shown);
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            if !machine.tasks.is_empty() || !machine.reserved.is_empty() {
                machine.idle_since = now;
            }
        }
    }

    /// Requeues tasks that were on a machine and are missing from its new status: they have ended
    /// there.
    fn requeue_missing_tasks<'a>(&mut self, name: &str, shown: impl Iterator<Item = &'a TaskRef>) {
        let shown: BTreeSet<(&str, u32)> =
            shown.map(|task| (task.job.as_str(), task.index)).collect();
        let Some(machine) = self.cluster.machines.get(name) else {
            return;
        };
        let missing = machine.tasks.keys();
        let missing = missing.filter(|(id, index)| !shown.contains(&(id.as_str(), *index)));
        let missing: Vec<(String, u32)> = missing.cloned().collect();
        for (id, index) in missing {
            let location = self.task_location(&id, index);
            if matches!(location, Some(TaskLocation::OnMachine(_))) {
                self.requeue_task(&id, index, RequeueReason::Missing);
            }
        }
    }
}

/// Applies the fields of a status that describe the machine itself.
fn update_machine(machine: &mut Machine, status: &MachineStatus, now: Secs) {
    let name = &status.name;
    machine.last_status_at = now;
    if status.lease_expired != machine.lease_expired_at.is_some() {
        let event = if status.lease_expired { "lost" } else { "back" };
        log::info!("event=machine_{event} machine={name}");
    }
    machine.lease_expired_at = status
        .lease_expired
        .then(|| machine.lease_expired_at.unwrap_or(now));
    machine.notice_expires_at = status
        .notice_s
        .map(|notice_s| machine.notice_expires_at.unwrap_or(now + notice_s));
    machine.confirmed_unusable = !status.usable;
    if status.unreachable != machine.unreachable {
        let event = if status.unreachable {
            "unreachable"
        } else {
            "reachable"
        };
        log::info!("event=machine_{event} machine={name}");
        machine.unreachable = status.unreachable;
    }
    let has_exited = |task: &TaskStatus| task.state == TaskState::Exited;
    machine.is_idle = status.pending.is_empty() && status.tasks.iter().all(has_exited);
}
