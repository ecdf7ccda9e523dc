//! Summaries of the leader's state, for logs and failed tests.

use super::{Job, Leader, Machine};

/// CPUs of machines of one kind, spot or ordinary.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CpuUse {
    /// CPUs of the machines that are up.
    pub total: u32,
    /// CPUs of tasks that may be running on them.
    pub used: u32,
}

/// Counters of the leader's state.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    /// Tasks that wait for a pass to place them.
    pub queued: usize,
    /// Tasks that may be running.
    pub running: usize,
    /// Machines that are known.
    pub machines: usize,
    /// Machines that were provisioned and are not up yet.
    pub booting: usize,
    /// Machines whose owner has not shown their content in this epoch.
    pub unreconciled: usize,
    /// Use of the ordinary machines.
    pub ordinary: CpuUse,
    /// Use of the spot machines.
    pub spot: CpuUse,
    /// CPUs of tasks that are known to run.
    pub running_cpus: u32,
    /// CPUs of tasks that wait at owners for capacity.
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
            self.ordinary.total,
            self.ordinary.used,
            self.spot.total,
            self.spot.used,
            self.running_cpus,
            self.backlog_cpus
        )
    }
}

impl Leader {
    /// Counts what the leader knows now.
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
            ordinary: self.cpu_use(false),
            spot: self.cpu_use(true),
            running_cpus: running_cpus.sum::<f64>() as u32,
            backlog_cpus: self.cluster.backlogs.total() as u32,
        }
    }

    fn cpu_use(&self, spot: bool) -> CpuUse {
        let machines = self.cluster.machines.values();
        let machines = machines.filter(|machine| machine.spot == spot);
        let capacity = |machine: &Machine| self.cluster.capacity(&machine.kind);
        let total = machines
            .clone()
            .map(|machine| capacity(machine).map_or(0.0, |capacity| capacity.cpus));
        CpuUse {
            total: total.sum::<f64>() as u32,
            used: machines.map(|machine| machine.used.cpus).sum::<f64>() as u32,
        }
    }

    /// Every open job in words, for logs and failed tests.
    pub fn explain(&self) -> String {
        let job = |(id, j): (&String, &Job)| {
            let at: Vec<String> = j
                .active
                .iter()
                .map(|(i, a)| format!("{i}@{:?}", a.location))
                .collect();
            format!(
                "{id} {:?} tasks={} cpus={} team={} ready={} done={} uncertain={} phase={:?} backoff={:.1} active=[{}]",
                j.spec.shape,
                j.spec.tasks,
                j.spec.cpus,
                j.spec.team,
                j.ready_tasks.len(),
                j.done.len(),
                j.awaits_reconciliation,
                j.phase,
                j.backoff_until,
                at.join(" ")
            )
        };
        let machine = |(n, m): (&String, &Machine)| {
            format!(
                "{n} {} {} spot={} owner={} reconciled={} usable={} lapsed={:?} foreign={} used={} rostered={:?} drain={} closed={} quiet={} releasing={}",
                m.kind, m.zone, m.spot, m.owner, m.reconciled, m.usable_sent, m.lease_expired_at, m.has_unknown_jobs, m.used.cpus, m.rostered, m.draining, m.confirmed_unusable, m.is_idle, m.releasing
            )
        };
        self.cluster
            .jobs
            .iter()
            .map(job)
            .chain(self.cluster.machines.iter().map(machine))
            .collect::<Vec<_>>()
            .join("\n")
    }
}
