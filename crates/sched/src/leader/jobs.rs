//! Jobs come, are stopped, and end.

use super::{Action, Job, Leader, OpenJob, Phase, PriorRuns, StartRecord, TaskLocation};
use crate::placement::Resources;
use crate::ranges::Ranges;
use crate::Secs;
use std::collections::{BTreeMap, BTreeSet};
use wire::peers::{TaskRef, ToOwner};
use wire::users::Priority;

impl Leader {
    /// Whether a job is in this leader's hands.
    pub fn knows(&self, id: &str) -> bool {
        self.cluster.jobs.contains_key(id)
    }

    /// A job that was accepted.
    pub fn add_job(&mut self, j: OpenJob) {
        // What a controller has confirmed to be cancelled may still be open in the replica here.
        if self.cluster.jobs.contains_key(&j.spec.id)
            || self.recently_terminal.contains_key(&j.spec.id)
        {
            return;
        }
        let n = j.spec.tasks;
        let mut ready = Ranges::full(n);
        j.done.iter().for_each(|i| {
            ready.remove(i);
        });
        let job = Job {
            priority: j.spec.priority,
            revision: j.revision,
            seen: self.time,
            terminal: false,
            finishing: false,
            durable: j.done.clone(),
            done: j.done,
            dirty: BTreeSet::new(),
            ready,
            active: BTreeMap::new(),
            uncertain: j.prior_runs != PriorRuns::None,
            start_record: if j.prior_runs == PriorRuns::None {
                StartRecord::None
            } else {
                StartRecord::Written
            },
            suspects: match j.prior_runs {
                PriorRuns::Bound(machines) => Some(machines),
                _ => None,
            },
            backoff_until: 0.0,
            failures: 0,
            failed_on: BTreeSet::new(),
            phase: Phase::Idle,
            clears: Vec::new(),
            within_guarantee: false,
            reclaims_until: 0.0,
            spec: j.spec,
        };
        self.autoscaler.arrived(&job.spec, self.time);
        self.cluster.learn_class(&job.spec);
        self.cluster
            .by_creation
            .insert((job.revision, job.spec.id.clone()));
        self.cluster.jobs.insert(job.spec.id.clone(), job);
        self.wake = true;
    }

    /// Treats a job with the priority of a job that needs it, or with its own again.
    pub fn set_priority(&mut self, id: &str, priority: Priority) {
        let changes = |job: &&mut Job| job.priority != priority;
        if let Some(job) = self.cluster.jobs.get_mut(id).filter(changes) {
            job.priority = priority;
            self.wake = true;
        }
    }

    /// A controller has confirmed a cancellation that the replica here may not show yet. The job may not
    /// be known here either, because it waits for others.
    pub(crate) fn cancel_confirmed(&mut self, id: &str) {
        if !self.cluster.jobs.contains_key(id) {
            self.recently_terminal.insert(id.into(), self.time);
        }
        self.on_job_terminal(id);
    }

    /// The store says that a job is over (done or cancelled).
    pub fn on_job_terminal(&mut self, id: &str) {
        // It may be told twice: by the controller that confirmed it, and by the store.
        let Some(job) = self.cluster.jobs.get_mut(id).filter(|j| !j.terminal) else {
            return;
        };
        job.terminal = true;
        job.ready = Ranges::default();
        if job.uncertain || !job.active.is_empty() {
            // Owners hold starts that no view has shown yet.
            self.recently_terminal.insert(id.into(), self.time);
            for member in self.members.clone() {
                self.send(
                    &member,
                    ToOwner::Terminal {
                        jobs: vec![id.into()],
                    },
                );
            }
        }
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        if job.uncertain {
            // Cancelled before all machines are known: what was not seen of it may still be there.
            let unseen = (job.spec.tasks - job.done.len().min(job.spec.tasks))
                .saturating_sub(job.active.len() as u32);
            let (team, resources) = (job.spec.team.clone(), job.resources().scaled(unseen));
            self.cluster
                .recently_cancelled
                .entry(team)
                .or_default()
                .add(resources);
        }
        let phase = std::mem::replace(&mut job.phase, Phase::Ending);
        let clears = std::mem::take(&mut job.clears);
        self.release_reservation(&phase);
        for (machine, task) in clears {
            self.clear(&machine, task);
        }
        self.stop_all(id, 0.0);
        self.forget_if_terminal(id);
        self.wake = true;
    }

    pub(crate) fn forget_if_terminal(&mut self, id: &str) {
        if let Some(j) = self
            .cluster
            .jobs
            .get(id)
            .filter(|j| j.terminal && j.active.is_empty())
        {
            self.cluster
                .by_creation
                .remove(&(j.revision, id.to_string()));
            self.autoscaler.forget_job(id);
            self.cluster.jobs.remove(id);
        }
    }

    /// Has all tasks of a job stopped that are on machines and were not told yet.
    pub(crate) fn stop_all(&mut self, id: &str, grace_s: f64) {
        let Some(job) = self.cluster.jobs.get(id) else {
            return;
        };
        let indexes: Vec<u32> = job.active.keys().copied().collect();
        for index in indexes {
            self.stop_task(id, index, grace_s);
        }
    }

    /// Has one task stopped, if it is on a machine and was not told yet.
    pub(crate) fn stop_task(&mut self, id: &str, index: u32, grace_s: f64) {
        let Some(a) = self
            .cluster
            .jobs
            .get_mut(id)
            .and_then(|j| j.active.get_mut(&index))
        else {
            return;
        };
        let TaskLocation::OnMachine(machine) = a.location.clone() else {
            return;
        };
        if std::mem::replace(&mut a.stop_sent, true) {
            return;
        }
        let task = TaskRef {
            job: id.into(),
            index,
            attempt: a.attempt,
        };
        self.send_stop(machine, task, grace_s);
    }

    /// Has the owner of a machine stop a task there.
    pub(crate) fn send_stop(&mut self, machine: String, task: TaskRef, grace_s: f64) {
        let Some(owner) = self.cluster.machines.get(&machine).map(|m| m.owner.clone()) else {
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

    pub(crate) fn clear(&mut self, machine: &str, task: TaskRef) {
        let Some(m) = self.cluster.machines.get_mut(machine) else {
            return;
        };
        if m.cleared.insert(task.clone()) {
            let owner = m.owner.clone();
            self.send(
                &owner,
                ToOwner::Clear {
                    machine: machine.into(),
                    task,
                },
            );
        }
    }

    pub(crate) fn task_done(&mut self, task: &TaskRef, now: Secs) {
        let (id, index) = (task.job.as_str(), task.index);
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        // What another attempt did says nothing of where this one is: it stays charged until it
        // is seen to be gone.
        let same = job
            .active
            .get(&index)
            .is_some_and(|a| a.attempt == task.attempt);
        let started = job
            .active
            .get(&index)
            .filter(|a| same && a.running)
            .map(|a| a.since);
        // The tasks of a gang complete together: if one is done, all are.
        let indexes: Vec<u32> = if job.is_gang() {
            (0..job.spec.tasks).collect()
        } else {
            vec![index]
        };
        for i in indexes {
            if job.done.insert(i) {
                job.ready.remove(i);
                job.dirty.insert(i / self.chunk_bits);
            }
        }
        job.failures = 0;
        job.failed_on.clear();
        if let Some(since) = started {
            let s = self
                .cluster
                .classes
                .entry(job.spec.class.clone())
                .or_default();
            s.count += 1;
            let weight = (1.0 / f64::from(s.count)).max(0.05);
            s.run_s += (now - since - s.run_s) * weight;
        }
        if same {
            self.cluster.remove_active(id, index);
        } else {
            self.stop_task(id, index, 0.0);
        }
        self.finish_if_done(id);
        self.forget_if_terminal(id);
        self.wake = true;
    }

    pub(crate) fn finish_if_done(&mut self, id: &str) {
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            if !job.terminal && !job.finishing && job.done.len() == job.spec.tasks {
                job.finishing = true;
                self.actions.push(Action::Finish { job: id.into() });
            }
        }
    }

    /// The record of a finished job is durable, or could not be written (then try again).
    pub fn finish_result(&mut self, id: &str, written: bool) {
        if written {
            self.on_job_terminal(id);
        } else if let Some(job) = self.cluster.jobs.get_mut(id) {
            job.finishing = false;
        }
    }

    /// Jobs whose tasks may be on unknown machines though they are over: id, team and capacity.
    pub fn set_recently_cancelled(
        &mut self,
        jobs: impl IntoIterator<Item = (String, String, Resources)>,
    ) {
        self.cluster.recently_cancelled.clear();
        for (id, team, resources) in jobs {
            self.cluster
                .recently_cancelled
                .entry(team)
                .or_default()
                .add(resources);
            self.recently_terminal.insert(id, self.time);
        }
    }

    /// Whether work waits for machines of unknown content.
    pub(crate) fn waits_for_unknown_machines(&self) -> bool {
        self.start_open && self.cluster.jobs.values().any(|j| j.uncertain)
    }
}
