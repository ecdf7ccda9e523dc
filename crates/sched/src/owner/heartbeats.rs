//! Heartbeats of machines, and the answers to them. Tasks start in these answers only.

use super::machine::{
    add_starts, new_machine, orders, reconcile_orders, withdraw_starts, STARTS_AT_ONCE,
};
use super::{HeartbeatResponse, Jobs, Owner};
use crate::placement::{tier, Resources};
use crate::shard;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{TaskRef, TaskStatus};
use wire::split_task;
use wire::workers::{Heartbeat, Order, Orders, TaskState};

impl Owner {
    /// Decides the answer to a heartbeat; `now` must be read just before.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Secs,
        jobs: &dyn Jobs,
    ) -> HeartbeatResponse {
        if !self.has_authority(now) || self.token == 0 {
            return HeartbeatResponse::Unavailable;
        }
        match shard::owner(&heartbeat.machine, &self.members) {
            Some(o) if o == self.member => {}
            Some(o) => return HeartbeatResponse::Redirect(o.to_string()),
            None => return HeartbeatResponse::Unavailable,
        }
        let (token, since) = (self.token, self.epoch_at + self.extra_s);
        if !self.machines.contains_key(&heartbeat.machine) {
            let new = new_machine(
                heartbeat.kind.clone(),
                heartbeat.zone.clone(),
                heartbeat.spot,
                token,
                since,
            );
            self.machines.insert(heartbeat.machine.clone(), new);
        }
        let Some(m) = self.machines.get_mut(&heartbeat.machine) else {
            return HeartbeatResponse::Unavailable;
        };
        let order = (heartbeat.incarnation, heartbeat.seq);
        if m.known && order <= (m.incarnation, m.seq)
            || m.lapsed && heartbeat.incarnation <= m.last_heard
        {
            // A copy that was held up; nobody waits for its answer any more.
            return HeartbeatResponse::Unavailable;
        }
        m.answered = m.answered.max(now);
        if !m.lapsed {
            m.last_heard = m.last_heard.max(heartbeat.incarnation);
        }
        let is_terminal = |job: &str| self.terminal_jobs.contains_key(job) || jobs.is_terminal(job);
        if heartbeat.token < m.since {
            // The answer tells the worker the token; the heartbeat that shows it will count. It prolongs
            // the lease, though, and leaders may change faster than workers heartbeat: what is over is
            // stopped all the same, for that is safe whenever the heartbeat was sent.
            let live = heartbeat
                .tasks
                .iter()
                .filter(|t| t.state != TaskState::Exited);
            let known =
                live.filter(|t| split_task(&t.task).is_some_and(|(job, _)| is_terminal(job)));
            let orders = known
                .map(|t| Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                })
                .collect();
            return HeartbeatResponse::Orders(Orders { token, orders });
        }
        // A worker that gets its answer stays, so that its next heartbeat comes here as well; one that
        // does not goes to the next controller first. What such a machine was to start it never
        // will: this heartbeat lacks it, and no later answer repeats it.
        let unreachable = m.is_unreachable();
        if m.last_ordered != (0, 0) {
            m.missed_responses = if order == (m.last_ordered.0, m.last_ordered.1 + 1) {
                0
            } else {
                m.missed_responses + 1
            };
        }
        m.last_ordered = order;
        m.dirty |= m.is_unreachable() != unreachable;
        m.dirty |= m.lapsed || !m.known;
        m.lapsed = false;
        m.known = true;
        m.last_heard = m.last_heard.max(heartbeat.incarnation);
        (m.incarnation, m.seq) = order;
        let tasks: BTreeMap<TaskRef, TaskStatus> = heartbeat
            .tasks
            .iter()
            .filter_map(|t| {
                let (job, index) = split_task(&t.task)?;
                let task = TaskRef {
                    job: job.into(),
                    index,
                    attempt: t.attempt,
                };
                Some((
                    task.clone(),
                    TaskStatus {
                        task,
                        state: t.state,
                        why: t.why,
                        saved: t.saved.unwrap_or(false),
                    },
                ))
            })
            .collect();
        if tasks != m.tasks || heartbeat.notice_s.is_some() != m.notice_s.is_some() {
            m.dirty = true;
        }
        m.tasks = tasks;
        m.notice_s = heartbeat.notice_s;
        if m.is_unreachable() {
            log::info!(
                "event=starts_lost machine={} tasks={}",
                heartbeat.machine,
                m.pending.len()
            );
            self.show |= withdraw_starts(m, &mut self.out, |_| true);
        }
        reconcile_orders(m, is_terminal, &mut self.out);
        let starts = now < self.authority.starts_until();
        if starts {
            self.fill(&heartbeat.machine, jobs);
        }
        let Some(m) = self.machines.get(&heartbeat.machine) else {
            return HeartbeatResponse::Unavailable;
        };
        // What is pending stays so until knowledge is fresh enough for starts.
        let orders = orders(m, starts);
        if m.dirty {
            self.dirty_machines.insert(heartbeat.machine.clone());
        }
        HeartbeatResponse::Orders(Orders { token, orders })
    }

    /// Fills what a machine's heartbeat shows to be free with tasks that wait for capacity, in the very
    /// answer: otherwise the capacity waits for the leader and then for the machine's next heartbeat.
    fn fill(&mut self, name: &str, jobs: &dyn Jobs) {
        if self.backlog.is_empty() {
            return;
        }
        let Some(m) = self.machines.get(name).filter(|m| m.open()) else {
            return;
        };
        let Some(mut free) = self.free(name, m, jobs) else {
            return;
        };
        let Some(m) = self.machines.get_mut(name) else {
            return;
        };
        for a in self.backlog.iter_mut() {
            if tier(&a.requirements, &m.kind, &m.zone, m.spot).is_none()
                || jobs.is_terminal(&a.job)
                || self.terminal_jobs.contains_key(&a.job)
            {
                continue;
            }
            let resources = Resources::of(&a.requirements);
            let most = STARTS_AT_ONCE.saturating_sub(m.pending.len());
            let n = (free.count_fitting(resources) as usize)
                .min(a.indexes.len())
                .min(most);
            free.sub(resources.scaled(n as u32));
            add_starts(
                m,
                &a.job,
                a.attempt,
                a.indexes.drain(..n),
                resources,
                &a.requirements.image,
            );
        }
        self.backlog.retain(|a| !a.indexes.is_empty());
    }
}
