//! What owners show of their machines, and what the leader's cluster view takes from it.

use crate::leader::{Action, Active, Job, Leader, Phase, Rostered, TaskLocation};
use crate::shard;
use crate::Secs;
use std::collections::BTreeSet;
use wire::peers::{MachineStatus, TaskRef, TaskStatus, ToLeader, ToOwner};
use wire::store::RosterRecord;
use wire::workers::{TaskState, Why};

/// A job whose tasks fail waits no longer than this, about: no job may wait 90 s beside capacity for it (a
/// figure of the users), and the cause may have been a machine.
pub(crate) const LONGEST_BACKOFF_S: Secs = 45.0;

impl Leader {
    /// Takes a message of an owner.
    pub fn on_owner_message(&mut self, from: &str, message: ToLeader, now: Secs) {
        match message {
            ToLeader::MachineStatuses(views) => {
                for v in views {
                    self.apply_status(from, v, now);
                }
                self.reconcile();
            }
            ToLeader::HandBack {
                job,
                attempt,
                tasks,
            } => {
                for i in tasks.iter().flat_map(|(a, n)| *a..a.saturating_add(*n)) {
                    let assigned = self.cluster.jobs.get(&job).and_then(|j| j.active.get(&i));
                    if assigned.is_some_and(|a| {
                        a.attempt == attempt
                            && matches!(&a.location, TaskLocation::Assigned(o, _) if o == from)
                    }) {
                        self.requeue_task(&job, i);
                    }
                }
            }
            ToLeader::ReserveResult { attempt, reserved } => {
                self.on_reserve_result(from, attempt, reserved, now)
            }
            ToLeader::Cancelled { job } => self.cancel_confirmed(&job),
            ToLeader::Hello { .. } | ToLeader::Ping { .. } => {}
        }
    }

    pub(crate) fn apply_status(&mut self, from: &str, v: MachineStatus, now: Secs) {
        if shard::owner(&v.name, &self.members) != Some(from) {
            return;
        }
        if !self.cluster.machines.contains_key(&v.name) {
            if self.autoscaler.is_released(&v.name) {
                self.on_status_of_released(from, &v);
                return;
            }
            if v.token != self.token || v.lapsed {
                // Known by a late copy of a heartbeat only, or seen under an earlier epoch; its owner will show it again under this one.
                return;
            }
            log::info!(
                "event=machine_up machine={} kind={} zone={} spot={}",
                v.name,
                v.kind,
                v.zone,
                v.spot
            );
            let mut m = self.new_machine(&v.kind, &v.zone, v.spot, now);
            m.owner = from.to_string();
            self.cluster.machines.insert(v.name.clone(), m);
            self.autoscaler.booted(&v.name, now);
        }
        let token = self.token;
        let Some(m) = self.cluster.machines.get_mut(&v.name) else {
            return;
        };
        if m.owner != from || v.token < m.since {
            return;
        }
        m.seen_at = now;
        if v.lapsed != m.lapsed_at.is_some() {
            log::info!(
                "event=machine_{} machine={}",
                if v.lapsed { "lost" } else { "back" },
                v.name
            );
        }
        m.lapsed_at = v.lapsed.then(|| m.lapsed_at.unwrap_or(now));
        m.notice_until = v.notice_s.map(|s| m.notice_until.unwrap_or(now + s));
        m.confirmed_unusable = !v.usable;
        if v.unreachable != m.unreachable {
            log::info!(
                "event=machine_{} machine={}",
                if v.unreachable {
                    "unreachable"
                } else {
                    "reachable"
                },
                v.name
            );
            m.unreachable = v.unreachable;
        }
        m.is_idle = v.pending.is_empty() && v.tasks.iter().all(|t| t.state == TaskState::Exited);
        // Only a view of this very epoch proves that nothing else was placed there meanwhile.
        if v.token == token {
            m.reconciled = true;
            if std::mem::take(&mut m.unknown) {
                self.cluster.unknown.remove(&v.name);
                self.cluster.known_at = now;
            }
        }
        self.cluster.dirty_machines.insert(v.name.clone());
        self.roster(&v.name);
        if let Some(usable) = self
            .cluster
            .machines
            .get(&v.name)
            .map(|m| m.usable_sent)
            .filter(|u| *u != v.usable && v.token == token)
        {
            // The owner began anew after it was told.
            self.send(
                from,
                ToOwner::SetUsable {
                    machine: v.name.clone(),
                    usable,
                },
            );
        }
        self.apply_tasks(&v, now);
        self.wake = true;
    }

    /// Has a machine that is up rostered, if it is not yet.
    pub(crate) fn roster(&mut self, name: &str) {
        let Some(m) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if m.rostered == Rostered::No && m.lapsed_at.is_none() && !m.releasing {
            m.rostered = Rostered::Writing;
            let record = RosterRecord {
                kind: m.kind.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
            };
            self.actions.push(Action::Roster(name.into(), Some(record)));
        }
    }

    /// A machine that was returned is gone with all that is on it. Its owner may have placed
    /// tasks there before it knew; they are nowhere.
    pub(crate) fn on_status_of_released(&mut self, from: &str, v: &MachineStatus) {
        if v.usable {
            self.send(
                from,
                ToOwner::SetUsable {
                    machine: v.name.clone(),
                    usable: false,
                },
            );
        }
        let live = v
            .tasks
            .iter()
            .filter(|t| t.state != TaskState::Exited)
            .map(|t| &t.task);
        for t in live.chain(&v.pending) {
            let here = |a: &Active| match &a.location {
                TaskLocation::Assigned(o, _) => o == from,
                TaskLocation::OnMachine(m) => *m == v.name,
                TaskLocation::Unresolved(_) => false,
            };
            if self
                .cluster
                .jobs
                .get(&t.job)
                .and_then(|j| j.active.get(&t.index))
                .is_some_and(|a| a.attempt == t.attempt && here(a))
            {
                self.requeue_task(&t.job, t.index);
            }
        }
    }

    pub(crate) fn apply_tasks(&mut self, v: &MachineStatus, now: Secs) {
        let name = v.name.as_str();
        let mut listed: BTreeSet<(String, u32)> = BTreeSet::new();
        let mut has_unknown_jobs = false;
        for t in v.tasks.iter().filter(|t| t.state != TaskState::Exited) {
            listed.insert((t.task.job.clone(), t.task.index));
            has_unknown_jobs |= !self.note_live(name, &t.task, t.state, now);
        }
        for t in &v.pending {
            listed.insert((t.job.clone(), t.index));
            has_unknown_jobs |= !self.note_live(name, t, TaskState::Fetching, now);
        }
        for t in v.tasks.iter().filter(|t| t.state == TaskState::Exited) {
            self.note_exit(name, t, now);
        }
        let Some(m) = self.cluster.machines.get_mut(name) else {
            return;
        };
        m.has_unknown_jobs = has_unknown_jobs;
        let old: Vec<(String, u32)> = m
            .tasks
            .keys()
            .filter(|k| !listed.contains(*k))
            .cloned()
            .collect();
        for (id, i) in old {
            let on = self
                .cluster
                .jobs
                .get(&id)
                .and_then(|j| j.active.get(&i))
                .is_some_and(|a| matches!(&a.location, TaskLocation::OnMachine(_)));
            if on {
                self.requeue_task(&id, i);
            }
        }
        if let Some(m) = self.cluster.machines.get_mut(name) {
            if !m.tasks.is_empty() || !m.reserved.is_empty() {
                m.idle_since = now;
            }
        }
    }

    /// A task is, or is about to be, on a machine. False if its job is not known here.
    pub(crate) fn note_live(
        &mut self,
        machine: &str,
        task: &TaskRef,
        state: TaskState,
        now: Secs,
    ) -> bool {
        let stop = |l: &mut Leader| l.send_stop(machine.into(), task.clone(), 0.0);
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            stop(self);
            return false;
        };
        // A gang that lost a task before this one was seen: what is stopped is only what was seen.
        let ending = job.is_gang() && job.phase == Phase::Ending;
        let unwanted = job.terminal || ending || job.done.contains(task.index) && !job.is_gang();
        let running = state == TaskState::Running || state == TaskState::Saving;
        match job.active.get_mut(&task.index) {
            Some(a) if a.attempt == task.attempt => {
                if running && !a.running {
                    a.running = true;
                    a.since = now;
                }
                if a.location != TaskLocation::OnMachine(machine.into()) {
                    let mut moved = a.clone();
                    moved.location = TaskLocation::OnMachine(machine.into());
                    self.cluster.set_active(&task.job, task.index, moved);
                }
            }
            Some(a) => {
                log::error!(
                    "event=conflicting_attempt task={}/{} machine={machine} attempt={} known={}",
                    task.job,
                    task.index,
                    task.attempt,
                    a.attempt
                );
                stop(self);
                return true;
            }
            None => {
                let active = Active {
                    attempt: task.attempt,
                    location: TaskLocation::OnMachine(machine.into()),
                    running,
                    stop_sent: false,
                    since: now,
                };
                self.cluster.set_active(&task.job, task.index, active);
            }
        }
        if unwanted {
            if let Some(a) = self
                .cluster
                .jobs
                .get_mut(&task.job)
                .and_then(|j| j.active.get_mut(&task.index))
            {
                if !std::mem::replace(&mut a.stop_sent, true) {
                    stop(self);
                }
            }
        }
        true
    }

    pub(crate) fn note_exit(&mut self, machine: &str, t: &TaskStatus, now: Secs) {
        let task = &t.task;
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            self.clear(machine, task.clone());
            return;
        };
        let why = t.why.unwrap_or(Why::Error);
        if why == Why::Done {
            // What completes shows that earlier errors there were their jobs' own.
            if let Some(m) = self.cluster.machines.get_mut(machine) {
                m.failed_jobs.clear();
            }
            let durable = job.terminal || job.durable.contains(task.index);
            let entry = (machine.to_string(), task.clone());
            if !durable && !job.clears.contains(&entry) {
                job.clears.push(entry);
            }
            let new = !job.done.contains(task.index)
                || job
                    .active
                    .get(&task.index)
                    .is_some_and(|a| a.attempt == task.attempt);
            if new {
                self.task_done(task, now);
            }
            if durable {
                self.clear(machine, task.clone());
            }
            return;
        }
        if job
            .active
            .get(&task.index)
            .is_some_and(|a| a.attempt == task.attempt)
        {
            log::info!(
                "event=task_exit task={}/{} machine={machine} why={why:?} saved={}",
                task.job,
                task.index,
                t.saved
            );
            let base = self.cluster.config.heartbeat_s;
            match why {
                Why::Error | Why::NoSuch => {
                    // The many tasks of an array that fail together are one failure.
                    if now >= job.backoff_until {
                        job.failures += 1;
                        let wait =
                            (base * f64::from(1u32 << job.failures.min(6))).min(LONGEST_BACKOFF_S);
                        job.backoff_until = now + wait * (0.75 + 0.5 * self.rng.f64());
                    }
                    if why == Why::Error {
                        self.blame(machine, &task.job);
                    }
                }
                Why::Full | Why::InUse => job.backoff_until = job.backoff_until.max(now + base),
                _ => {}
            }
            self.requeue_task(&task.job, task.index);
        }
        self.clear(machine, task.clone());
    }

    /// Counts a failure against the machine it happened on, until the job has failed on so many that the
    /// fault is its own: then it counts against none of them. Machines of earlier failures are not blamed
    /// again: they may have completed other work since.
    fn blame(&mut self, machine: &str, id: &str) {
        let Some(job) = self.cluster.jobs.get_mut(id).filter(|job| !job.is_broken()) else {
            return;
        };
        job.failed_on.insert(machine.into());
        if !job.is_broken() {
            if let Some(m) = self.cluster.machines.get_mut(machine) {
                m.failed_jobs.insert(id.into());
            }
            return;
        }
        for name in &job.failed_on {
            if let Some(m) = self.cluster.machines.get_mut(name) {
                m.failed_jobs.remove(id);
            }
        }
        log::info!("event=job_fails_anywhere job={id}");
    }

    /// Settles what waited for machines to be reconciled.
    pub(crate) fn reconcile(&mut self) {
        let mut ready = Vec::new();
        let machines = &self.cluster.machines;
        self.groups.retain(|id, g| {
            g.machines
                .retain(|m| machines.get(m).is_some_and(|m| !m.reconciled));
            if g.machines.is_empty() {
                ready.push((*id, std::mem::take(&mut g.tasks)));
            }
            ready.last().is_none_or(|(r, _)| r != id)
        });
        for (group, tasks) in ready {
            for (id, i) in tasks {
                let still = self
                    .cluster
                    .jobs
                    .get(&id)
                    .and_then(|j| j.active.get(&i))
                    .is_some_and(|a| a.location == TaskLocation::Unresolved(group));
                if still {
                    self.requeue_task(&id, i);
                }
            }
        }
        if !self.start_open || !self.epoch_set {
            return;
        }
        let unknown = &self.cluster.unknown;
        let all = unknown.is_empty();
        let known = |j: &Job| match &j.suspects {
            Some(machines) => machines.iter().all(|m| !unknown.contains(m)),
            None => all,
        };
        let ids: Vec<String> = self
            .cluster
            .jobs
            .iter()
            .filter(|(_, j)| j.uncertain && known(j))
            .map(|(id, _)| id.clone())
            .collect();
        if all {
            self.start_open = false;
            log::info!("event=reconciled machines={}", self.cluster.machines.len());
        }
        for id in ids {
            self.resolve_prior_runs(&id);
            self.wake = true;
        }
    }

    /// All machines are known: decides whether a gang that was found is whole.
    pub(crate) fn resolve_prior_runs(&mut self, id: &str) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.uncertain = false;
        if !job.is_gang() || job.terminal || !job.done.is_empty() {
            self.finish_if_done(id);
            return;
        }
        let first = job.active.values().next().map(|a| a.attempt);
        match first {
            None => job.phase = Phase::Idle,
            Some(attempt)
                if job.active.len() == job.spec.tasks as usize
                    && job.active.values().all(|a| a.attempt == attempt) =>
            {
                job.phase = Phase::Running { attempt };
            }
            Some(_) => {
                job.phase = Phase::Ending;
                self.stop_all(id, 0.0);
            }
        }
    }
}
