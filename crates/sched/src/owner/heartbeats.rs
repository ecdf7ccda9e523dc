//! Reports of machines, and the answers to them. Tasks start in these answers only.

use super::machine::{add_starts, new_machine, orders, settle, withdraw_starts, STARTS_AT_ONCE};
use super::{Answer, Jobs, Owner};
use crate::placement::{tier, Resources};
use crate::shard;
use crate::Secs;
use std::collections::BTreeMap;
use wire::peers::{TaskRef, TaskStatus};
use wire::split_task;
use wire::workers::{Order, Orders, Report, TaskState};

impl Owner {
    /// Decides the answer to a report; `now` must be read just before.
    pub fn on_report(&mut self, report: &Report, now: Secs, jobs: &dyn Jobs) -> Answer {
        if !self.has_authority(now) || self.token == 0 {
            return Answer::NotNow;
        }
        match shard::owner(&report.machine, &self.members) {
            Some(o) if o == self.me => {}
            Some(o) => return Answer::Elsewhere(o.to_string()),
            None => return Answer::NotNow,
        }
        let (token, since) = (self.token, self.epoch_at + self.extra_s);
        if !self.machines.contains_key(&report.machine) {
            let new = new_machine(
                report.kind.clone(),
                report.zone.clone(),
                report.spot,
                token,
                since,
            );
            self.machines.insert(report.machine.clone(), new);
        }
        let Some(m) = self.machines.get_mut(&report.machine) else {
            return Answer::NotNow;
        };
        let order = (report.session, report.seq);
        if m.known && order <= (m.session, m.seq) || m.lapsed && report.session <= m.heard {
            // A copy that was held up; nobody waits for its answer any more.
            return Answer::NotNow;
        }
        m.answered = m.answered.max(now);
        if !m.lapsed {
            m.heard = m.heard.max(report.session);
        }
        let over = |job: &str| self.over.contains_key(job) || jobs.over(job);
        if report.token < m.since {
            // The answer tells the worker the token; the report that shows it will count. It prolongs
            // the lease, though, and leaders may change faster than workers report: what is over is
            // stopped all the same, for that is safe whenever the report was sent.
            let live = report.tasks.iter().filter(|t| t.state != TaskState::Exited);
            let known = live.filter(|t| split_task(&t.task).is_some_and(|(job, _)| over(job)));
            let orders = known
                .map(|t| Order::Stop {
                    task: t.task.clone(),
                    attempt: t.attempt,
                    grace_s: 0.0,
                })
                .collect();
            return Answer::Orders(Orders { token, orders });
        }
        // A worker that gets its answer stays, so that its next report comes here as well; one that
        // does not goes to the next controller first. What such a machine was to start it never
        // will: this report lacks it, and no later answer repeats it.
        let unreachable = m.is_unreachable();
        if m.asked != (0, 0) {
            m.unheard = if order == (m.asked.0, m.asked.1 + 1) {
                0
            } else {
                m.unheard + 1
            };
        }
        m.asked = order;
        m.dirty |= m.is_unreachable() != unreachable;
        m.dirty |= m.lapsed || !m.known;
        m.lapsed = false;
        m.known = true;
        m.heard = m.heard.max(report.session);
        (m.session, m.seq) = order;
        let tasks: BTreeMap<TaskRef, TaskStatus> = report
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
        if tasks != m.tasks || report.notice_s.is_some() != m.notice_s.is_some() {
            m.dirty = true;
        }
        m.tasks = tasks;
        m.notice_s = report.notice_s;
        if m.is_unreachable() {
            log::info!(
                "event=starts_lost machine={} tasks={}",
                report.machine,
                m.pending.len()
            );
            self.show |= withdraw_starts(m, &mut self.out, |_| true);
        }
        settle(m, over, &mut self.out);
        let starts = now < self.authority.starts_until();
        if starts {
            self.fill(&report.machine, jobs);
        }
        let Some(m) = self.machines.get(&report.machine) else {
            return Answer::NotNow;
        };
        // What is pending stays so until knowledge is fresh enough for starts.
        let orders = orders(m, starts);
        if m.dirty {
            self.stale.insert(report.machine.clone());
        }
        Answer::Orders(Orders { token, orders })
    }

    /// Fills what a machine's report shows to be free with tasks that wait for capacity, in the very
    /// answer: otherwise the capacity waits for the leader and then for the machine's next report.
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
                || jobs.over(&a.job)
                || self.over.contains_key(&a.job)
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
