//! What the status of a machine says of single tasks: that they may be running there, or have exited.

use super::{ActiveTask, GangPhase, Job, Leader, TaskLocation};
use crate::Secs;
use wire::peers::{TaskRef, TaskStatus};
use wire::workers::{TaskState, Why};

/// A job whose tasks fail waits no longer than this, about: no job may wait 90 s beside capacity for it (a
/// figure of the users), and the cause may have been a machine.
pub(crate) const MAX_BACKOFF_S: Secs = 45.0;

/// The back-off of a job doubles with each failure, at most so often.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Leader {
    /// A task is running on a machine, or about to. False if its job is not known here.
    pub(super) fn on_live_task(
        &mut self,
        machine: &str,
        task: &TaskRef,
        state: TaskState,
        now: Secs,
    ) -> bool {
        let Some(job) = self.cluster.jobs.get(&task.job) else {
            self.send_stop(machine.into(), task.clone(), 0.0);
            return false;
        };
        let is_unwanted = is_unwanted(job, task.index);
        let known = job.active.get(&task.index).map(|active| active.attempt);
        if let Some(known) = known.filter(|known| *known != task.attempt) {
            log::error!(
                "event=conflicting_attempt task={}/{} machine={machine} attempt={} known={known}",
                task.job,
                task.index,
                task.attempt
            );
            self.send_stop(machine.into(), task.clone(), 0.0);
            return true;
        }
        self.record_placement(machine, task, state, now);
        if is_unwanted {
            self.stop_unwanted(machine, task);
        }
        true
    }

    /// Charges a task to the machine that shows it.
    fn record_placement(&mut self, machine: &str, task: &TaskRef, state: TaskState, now: Secs) {
        let running = matches!(state, TaskState::Running | TaskState::Saving);
        let location = TaskLocation::OnMachine(machine.into());
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let Some(active) = job.active.get_mut(&task.index) else {
            let active = ActiveTask {
                attempt: task.attempt,
                location,
                running,
                stop_sent: false,
                since: now,
            };
            self.cluster.set_active(&task.job, task.index, active);
            return;
        };
        if running && !active.running {
            active.running = true;
            active.since = now;
        }
        if active.location != location {
            let moved = ActiveTask {
                location,
                ..active.clone()
            };
            self.cluster.set_active(&task.job, task.index, moved);
        }
    }

    fn stop_unwanted(&mut self, machine: &str, task: &TaskRef) {
        let job = self.cluster.jobs.get_mut(&task.job);
        let Some(active) = job.and_then(|job| job.active.get_mut(&task.index)) else {
            return;
        };
        if !std::mem::replace(&mut active.stop_sent, true) {
            self.send_stop(machine.into(), task.clone(), 0.0);
        }
    }

    /// A task has exited on a machine.
    pub(super) fn on_task_exit(&mut self, machine: &str, status: &TaskStatus, now: Secs) {
        let task = &status.task;
        let Some(job) = self.cluster.jobs.get(&task.job) else {
            self.clear_task(machine, task.clone());
            return;
        };
        let is_current = job.is_active(task);
        let why = status.why.unwrap_or(Why::Error);
        if why == Why::Done {
            self.on_task_done(machine, task, now);
            return;
        }
        if is_current {
            log::info!(
                "event=task_exit task={}/{} machine={machine} why={why:?} saved={}",
                task.job,
                task.index,
                status.saved
            );
            self.back_off(machine, &task.job, why, now);
            self.requeue_task(&task.job, task.index);
        }
        self.clear_task(machine, task.clone());
    }

    /// A task is done. The worker keeps that until it is durable.
    fn on_task_done(&mut self, machine: &str, task: &TaskRef, now: Secs) {
        // What completes shows that earlier errors there were their jobs' own.
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            machine.failed_jobs.clear();
        }
        let Some(job) = self.cluster.jobs.get_mut(&task.job) else {
            return;
        };
        let is_durable = job.terminal || job.durable_done.contains(task.index);
        let entry = (machine.to_string(), task.clone());
        if !is_durable && !job.pending_clears.contains(&entry) {
            job.pending_clears.push(entry);
        }
        let is_new = !job.done.contains(task.index) || job.is_active(task);
        if is_new {
            self.complete_task(task, now);
        }
        if is_durable {
            self.clear_task(machine, task.clone());
        }
    }

    /// Keeps a job from being tried again at once, after a task of it did not run.
    fn back_off(&mut self, machine: &str, id: &str, why: Why, now: Secs) {
        let base_s = self.cluster.config.heartbeat_s;
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        match why {
            Why::Error | Why::NoSuch => {
                // The many tasks of an array that fail together are one failure.
                if now >= job.backoff_until {
                    job.failures += 1;
                    let doublings = job.failures.min(MAX_BACKOFF_DOUBLINGS);
                    let wait_s = (base_s * f64::from(1u32 << doublings)).min(MAX_BACKOFF_S);
                    job.backoff_until = now + wait_s * (0.75 + 0.5 * self.rng.f64());
                }
                if why == Why::Error {
                    self.record_failure(machine, id);
                }
            }
            Why::Full | Why::InUse => job.backoff_until = job.backoff_until.max(now + base_s),
            Why::Done | Why::Stopped | Why::Peers | Why::Incomplete => {}
        }
    }

    /// Counts a failure against the machine it happened on, until the job has failed on so many that the
    /// fault is its own: then it counts against none of them. Machines of earlier failures are not blamed
    /// again: they may have completed other work since.
    fn record_failure(&mut self, machine: &str, id: &str) {
        let job = self.cluster.jobs.get_mut(id);
        let Some(job) = job.filter(|job| !job.fails_everywhere()) else {
            return;
        };
        job.failed_machines.insert(machine.into());
        if !job.fails_everywhere() {
            if let Some(machine) = self.cluster.machines.get_mut(machine) {
                machine.failed_jobs.insert(id.into());
            }
            return;
        }
        for name in &job.failed_machines {
            if let Some(machine) = self.cluster.machines.get_mut(name) {
                machine.failed_jobs.remove(id);
            }
        }
        log::info!("event=job_fails_anywhere job={id}");
    }
}

/// Whether a task that is shown on a machine is to be stopped.
fn is_unwanted(job: &Job, index: u32) -> bool {
    // A gang that lost a task before this one was seen: what is stopped is only what was seen.
    let is_ending = job.is_gang() && job.phase == GangPhase::Ending;
    job.terminal || is_ending || job.done.contains(index) && !job.is_gang()
}
