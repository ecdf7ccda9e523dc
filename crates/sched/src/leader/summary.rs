//! What is told of the leader's state: for logs, for failed tests, and for users.

use super::{Job, Leader, Machine};
use wire::peers::ToOwner;

/// Counters and lists for logs and the display.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Summary {
    pub queued: usize,
    pub running: usize,
    pub machines: usize,
    pub booting: usize,
    pub unreconciled: usize,
    /// CPUs of machines that are up, and what possibly runs of them: ordinary and cheap ones.
    pub cpus: [u32; 2],
    pub cpus_used: [u32; 2],
    /// CPUs of tasks that are known to run, and that wait at owners for capacity.
    pub cpus_running: u32,
    pub backlog_cpus: u32,
}

impl std::fmt::Display for Summary {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "queued={} running={} machines={} booting={} unreconciled={} cpus={} cpus_used={} spot_cpus={} spot_cpus_used={} running_cpus={} backlog_cpus={}",
            self.queued,
            self.running,
            self.machines,
            self.booting,
            self.unreconciled,
            self.cpus[0],
            self.cpus_used[0],
            self.cpus[1],
            self.cpus_used[1],
            self.cpus_running,
            self.backlog_cpus
        )
    }
}

impl Leader {
    pub fn summary(&self) -> Summary {
        Summary {
            queued: self
                .cluster
                .jobs
                .values()
                .map(|j| j.ready.len() as usize)
                .sum(),
            running: self.cluster.jobs.values().map(|j| j.active.len()).sum(),
            machines: self.cluster.machines.len(),
            booting: self.autoscaler.booting_count(),
            unreconciled: self
                .cluster
                .machines
                .values()
                .filter(|m| !m.reconciled)
                .count(),
            cpus: [false, true].map(|spot| {
                self.cluster
                    .machines
                    .values()
                    .filter(|m| m.spot == spot)
                    .map(|m| self.cluster.capacity(&m.kind).map_or(0.0, |c| c.cpus))
                    .sum::<f64>() as u32
            }),
            cpus_running: self
                .cluster
                .jobs
                .values()
                .map(|j| j.active.values().filter(|a| a.running).count() as f64 * j.spec.cpus)
                .sum::<f64>() as u32,
            backlog_cpus: self.cluster.backlog.values().sum::<f64>() as u32,
            cpus_used: [false, true].map(|spot| {
                self.cluster
                    .machines
                    .values()
                    .filter(|m| m.spot == spot)
                    .map(|m| m.used.cpus)
                    .sum::<f64>() as u32
            }),
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
                j.ready.len(),
                j.done.len(),
                j.uncertain,
                j.phase,
                j.backoff_until,
                at.join(" ")
            )
        };
        let machine = |(n, m): (&String, &Machine)| {
            format!(
                "{n} {} {} spot={} owner={} reconciled={} usable={} lapsed={:?} foreign={} used={} rostered={:?} drain={} closed={} quiet={} releasing={}",
                m.kind, m.zone, m.spot, m.owner, m.reconciled, m.usable_sent, m.lapsed_at, m.has_unknown_jobs, m.used.cpus, m.rostered, m.drain, m.confirmed_unusable, m.is_idle, m.releasing
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

    pub(crate) fn send_running_counts(&mut self) {
        let running: Vec<(String, u32)> = self
            .cluster
            .jobs
            .iter()
            .map(|(id, j)| {
                (
                    id.clone(),
                    j.active.values().filter(|a| a.running).count() as u32,
                )
            })
            .filter(|(_, n)| *n > 0)
            .collect();
        if running != self.last_running_counts {
            let member = self.member.clone();
            for m in self
                .links
                .keys()
                .cloned()
                .chain([member])
                .collect::<Vec<_>>()
            {
                self.send(
                    &m,
                    ToOwner::RunningCounts {
                        running: running.clone(),
                    },
                );
            }
            self.last_running_counts = running;
        }
    }
}
