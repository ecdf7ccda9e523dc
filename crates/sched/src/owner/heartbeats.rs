//! Heartbeats of machines and the responses to them. Only these responses start tasks.

use super::{HeartbeatResponse, JobLookup, Owner};
use crate::Secs;
use wire::split_task_name;
use wire::workers::{Heartbeat, Order, Orders, TaskState};

impl Owner {
    /// Processes a heartbeat and returns the response. The caller must read `now` from the clock
    /// immediately before the call.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Secs,
        jobs: &dyn JobLookup,
    ) -> HeartbeatResponse {
        if let Some(rejection) = self.rejection(heartbeat, now) {
            return rejection;
        }
        let machine = self.machines.find_or_add(heartbeat, &self.epoch);
        if machine.is_stale(heartbeat) {
            return HeartbeatResponse::Unavailable;
        }
        machine.renew_lease(heartbeat, now);
        let is_terminal = |job: &str| self.terminal_jobs.is_terminal(job, jobs);
        if !machine.is_current(heartbeat) {
            return self.respond(stop_orders_for_terminal_jobs(heartbeat, is_terminal));
        }
        machine.apply_heartbeat(heartbeat);
        if machine.withdraw_undelivered_starts(&heartbeat.machine, &mut self.outbox) {
            self.outbox.mark_statuses_due();
        }
        machine.reconcile_orders(is_terminal, &mut self.outbox);
        let may_start = now < self.authority.starts_until();
        if may_start {
            self.start_from_backlog(&heartbeat.machine, jobs);
        }
        self.respond_with_orders(&heartbeat.machine, may_start)
    }

    /// Returns the response if this controller may not give the machine orders, or `None` if it
    /// may.
    fn rejection(&self, heartbeat: &Heartbeat, now: Secs) -> Option<HeartbeatResponse> {
        if !self.has_authority(now) || self.epoch.token() == 0 {
            return Some(HeartbeatResponse::Unavailable);
        }
        match self.epoch.owner_of(&heartbeat.machine) {
            Some(owner) if owner == self.member => None,
            Some(owner) => Some(HeartbeatResponse::Redirect(owner.to_string())),
            None => Some(HeartbeatResponse::Unavailable),
        }
    }

    /// Starts tasks of the backlog on the resources that a machine's heartbeat shows to be free.
    /// The starts are part of the response to this heartbeat; otherwise the resources would stay
    /// idle until the leader assigns tasks and the machine sends its next heartbeat.
    fn start_from_backlog(&mut self, name: &str, jobs: &dyn JobLookup) {
        if self.backlog.is_empty() {
            return;
        }
        let Some(machine) = self.machines.get(name).filter(|m| m.is_schedulable()) else {
            return;
        };
        let Some(free) = self.free_resources(name, machine, jobs) else {
            return;
        };
        let is_terminal = |job: &str| self.terminal_jobs.is_terminal(job, jobs);
        if let Some(machine) = self.machines.get_mut(name) {
            self.backlog.start_on(machine, free, is_terminal);
        }
    }

    fn respond_with_orders(&mut self, name: &str, may_start: bool) -> HeartbeatResponse {
        let Some(machine) = self.machines.get(name) else {
            return HeartbeatResponse::Unavailable;
        };
        if machine.is_dirty() {
            self.dirty_machines.insert(name.to_string());
        }
        self.respond(machine.next_orders(may_start))
    }

    fn respond(&self, orders: Vec<Order>) -> HeartbeatResponse {
        let token = self.epoch.token();
        HeartbeatResponse::Orders(Orders { token, orders })
    }
}

/// Returns the orders for a heartbeat with an old fencing token. The response tells the worker the
/// new token, so that its next heartbeat is current. But the response also renews the lease, and
/// epochs may change more often than heartbeats arrive. The response therefore already contains
/// stops for tasks of terminal jobs; these are safe no matter when the heartbeat was sent.
fn stop_orders_for_terminal_jobs(
    heartbeat: &Heartbeat,
    is_terminal: impl Fn(&str) -> bool,
) -> Vec<Order> {
    let live = heartbeat
        .tasks
        .iter()
        .filter(|task| task.state != TaskState::Exited);
    live.filter(|task| split_task_name(&task.task).is_some_and(|(job, _)| is_terminal(job)))
        .map(|task| Order::Stop {
            task: task.task.clone(),
            attempt: task.attempt,
            grace_s: 0.0,
        })
        .collect()
}
