//! Applies the task part of machine statuses: tasks that may be running on a machine, or have exited.

use super::{ActiveTask, GangPhase, Job, Leader, RequeueReason, TaskLocation};
use crate::Secs;
use wire::peers::{TaskRef, TaskStatus};
use wire::workers::{TaskState, Why};

/// Approximate maximum backoff of a job whose tasks fail, before jitter. Users require that no job
/// waits 90 s while there is capacity for it, and the failure may be the fault of a machine.
pub(crate) const MAX_BACKOFF_S: Secs = 45.0;

/// Maximum number of times that a job's backoff doubles; it doubles with each failure.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;

impl Leader {
    /// Records a task that is running on a machine or about to start there. Returns false if its
    /// job is unknown.
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

    /// Charges a task to the machine whose status contains it.
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

    /// Handles the exit of a task on a machine.
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
            self.requeue_task(&task.job, task.index, RequeueReason::Exited);
        }
        self.clear_task(machine, task.clone());
    }

    /// Handles the completion of a task. The worker keeps the result until it is durable in the store.
    fn on_task_done(&mut self, machine: &str, task: &TaskRef, now: Secs) {
        // A completed task shows that earlier errors on this machine were caused by the jobs themselves.
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
        self.complete_if_new(task, now);
        if is_durable {
            self.clear_task(machine, task.clone());
        }
    }

    /// Marks a task as done unless this leader knows its completion already.
    pub(super) fn complete_if_new(&mut self, task: &TaskRef, now: Secs) {
        let job = self.cluster.jobs.get(&task.job);
        let is_new = |job: &Job| !job.done.contains(task.index) || job.is_active(task);
        if job.is_some_and(is_new) {
            self.complete_task(task, now);
        }
    }

    /// Delays the next attempt of a job after one of its tasks failed or could not run on its machine.
    fn back_off(&mut self, machine: &str, id: &str, why: Why, now: Secs) {
        let base_s = self.cluster.config.heartbeat_s;
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        match why {
            Why::Error | Why::NoSuch => {
                // The many tasks of an array that fail together count as one failure: during a
                // backoff, no further failure is counted.
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

    /// Counts a failure of a job against the machine (`failed_jobs`). Once the job has failed on so
    /// many machines that the job itself is assumed to be at fault, its failures no longer count
    /// against any machine. The machines of its earlier failures are not marked again, because they
    /// may have completed other work since.
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

/// Returns whether a task in a machine status is to be stopped.
fn is_unwanted(job: &Job, index: u32) -> bool {
    // The gang may have lost a task before the given task was first seen on a machine, and only
    // tasks already seen were stopped then.
    let is_ending = job.is_gang() && job.phase == GangPhase::Ending;
    job.terminal || is_ending || job.done.contains(index) && !job.is_gang()
}
