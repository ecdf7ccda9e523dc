//! Summaries of the leader's state for logs and test failures.

use super::{Job, Leader, Machine, TaskLocation};
use wire::peers::TaskRef;

/// CPU usage of the spot machines or of the on-demand machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuUsage {
    /// CPUs of all known machines.
    pub total: u32,
    /// CPUs of tasks that may be running on those machines.
    pub used: u32,
}

/// Counters of the leader's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Tasks that wait to be placed.
    pub queued: usize,
    /// Tasks that may be running.
    pub running: usize,
    /// Known machines.
    pub machines: usize,
    /// Provisioned machines that have not sent a heartbeat yet.
    pub booting: usize,
    /// Machines whose owner has not reported their tasks in this epoch.
    pub unreconciled: usize,
    /// CPU usage of the on-demand machines.
    pub on_demand: CpuUsage,
    /// CPU usage of the spot machines.
    pub spot: CpuUsage,
    /// CPUs of tasks that machines have reported as running.
    pub running_cpus: u32,
    /// CPUs of tasks that wait for capacity at their owners.
    pub backlog_cpus: u32,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, out: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            out,
            "queued={} running={} machines={} booting={} unreconciled={} cpus={} cpus_used={} spot_cpus={} spot_cpus_used={} running_cpus={} backlog_cpus={}",
            self.queued,
            self.running,
            self.machines,
            self.booting,
            self.unreconciled,
            self.on_demand.total,
            self.on_demand.used,
            self.spot.total,
            self.spot.used,
            self.running_cpus,
            self.backlog_cpus
        )
    }
}

impl Leader {
    /// Returns counters of the leader's current state.
    pub fn summary(&self) -> Summary {
        let jobs = self.cluster.jobs.values();
        let machines = self.cluster.machines.values();
        let running_cpus = jobs.clone().map(|job| {
            let running = job.active.values().filter(|active| active.running);
            running.count() as f64 * job.spec.cpus
        });
        Summary {
            queued: jobs.clone().map(|job| job.ready_tasks.len() as usize).sum(),
            running: jobs.clone().map(|job| job.active.len()).sum(),
            machines: self.cluster.machines.len(),
            booting: self.autoscaler.booting_count(),
            unreconciled: machines.filter(|machine| !machine.reconciled).count(),
            on_demand: self.cpu_usage(false),
            spot: self.cpu_usage(true),
            running_cpus: running_cpus.sum::<f64>() as u32,
            backlog_cpus: self.cluster.backlogs.total() as u32,
        }
    }

    fn cpu_usage(&self, spot: bool) -> CpuUsage {
        let machines = self.cluster.machines.values();
        let machines = machines.filter(|machine| machine.spot == spot);
        let capacity = |machine: &Machine| self.cluster.capacity(&machine.kind);
        let total = machines
            .clone()
            .map(|machine| capacity(machine).map_or(0.0, |capacity| capacity.cpus));
        CpuUsage {
            total: total.sum::<f64>() as u32,
            used: machines.map(|machine| machine.used.cpus).sum::<f64>() as u32,
        }
    }

    /// Returns the tasks that this leader expects on a machine and that no owner has reported, each
    /// with the owner to which it was assigned; for tests.
    pub fn expected_tasks(&self, machine: &str) -> Vec<(String, TaskRef)> {
        let mut expected = Vec::new();
        for (id, job) in self.cluster.jobs.iter() {
            for (index, active) in &job.active {
                let TaskLocation::Assigned { owner, predicted } = &active.location else {
                    continue;
                };
                if predicted.as_deref() == Some(machine) {
                    let task = TaskRef {
                        job: id.clone(),
                        index: *index,
                        attempt: active.attempt,
                    };
                    expected.push((owner.clone(), task));
                }
            }
        }
        expected
    }

    /// Returns whether this leader may start a task, so that it must not be running anywhere; for
    /// tests.
    pub fn is_startable(&self, id: &str, index: u32) -> bool {
        let job = self.cluster.jobs.get(id);
        job.is_some_and(|job| {
            !job.terminal && !job.awaits_reconciliation && job.ready_tasks.contains(index)
        })
    }

    /// Describes every job and machine in one line each, for test failures.
    pub fn describe_state(&self) -> String {
        let describe_job = |(id, job): (&String, &Job)| {
            let locations: Vec<String> = job
                .active
                .iter()
                .map(|(index, active)| format!("{index}@{}", active.location))
                .collect();
            format!(
                "{id} {:?} tasks={} cpus={} team={} ready={} done={} uncertain={} phase={:?} backoff={:.1} active=[{}]",
                job.spec.shape,
                job.spec.tasks,
                job.spec.cpus,
                job.spec.team,
                job.ready_tasks.len(),
                job.done.len(),
                job.awaits_reconciliation,
                job.phase,
                job.backoff_until,
                locations.join(" ")
            )
        };
        let describe_machine = |(name, machine): (&String, &Machine)| {
            format!(
                "{name} {} {} spot={} owner={} reconciled={} usable={} lapsed={:?} foreign={} used={} rostered={:?} drain={} closed={} quiet={} releasing={}",
                machine.kind, machine.zone, machine.spot, machine.owner, machine.reconciled, machine.usable_sent, machine.lease_expired_at, machine.has_unknown_jobs, machine.used.cpus, machine.rostered, machine.draining, machine.confirmed_unusable, machine.is_idle, machine.releasing
            )
        };
        self.cluster
            .jobs
            .iter()
            .map(describe_job)
            .chain(self.cluster.machines.iter().map(describe_machine))
            .collect::<Vec<_>>()
            .join("\n")
    }
}
