//! What tests do to a world, one fault at a time, and what they look at.

use super::*;

impl World {
    /// Lets time pass.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.step();
        }
    }

    /// The store refuses one controller, and serves the others.
    pub fn refuse_controller(&mut self, i: usize, duration_s: f64) {
        self.controllers[i].store_refuses_until = self.now + duration_s;
    }

    /// The store refuses everybody. Its leases keep.
    pub fn store_outage(&mut self, duration_s: f64) {
        self.store_down_until = self.store_down_until.max(self.now + duration_s);
    }

    /// A controller loses the store and the others, not its workers.
    pub fn partition_controller(&mut self, i: usize, duration_s: f64) {
        self.partition = Some(Partition {
            controller: i,
            until: self.now + duration_s,
        });
        self.disconnect_controller(i, duration_s);
    }

    /// A controller finds its view too old and reloads all records, which takes `for_s`.
    pub fn reload_records(&mut self, i: usize, duration_s: f64) {
        let now = self.now;
        let controller = &mut self.controllers[i];
        controller.pending_read = None;
        controller.pending_reload.get_or_insert(StoreRead {
            sent_at: now,
            answered_at: now + duration_s,
        });
    }

    /// The machines that were provisioned and not returned, in the order of their names.
    pub fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Machines on which something is, as many as asked for at most.
    pub fn busy_machines(&self, max: usize) -> Vec<String> {
        let is_busy = |worker: &Worker| !worker.gone && worker.live_tasks().next().is_some();
        let busy = self.workers.iter().filter(|(_, worker)| is_busy(worker));
        busy.map(|(name, _)| name.clone()).take(max).collect()
    }

    fn update_workers(&mut self, names: &[String], update: impl Fn(&mut Worker)) {
        for name in names {
            self.workers.get_mut(name).into_iter().for_each(&update);
        }
    }

    /// Machines hang for a while, and then go on.
    pub fn hang_machines(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.hung_until = until);
    }

    /// Heartbeats of machines arrive, but the responses are lost.
    pub fn drop_responses(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.responses_lost_until = until);
    }

    /// No heartbeat of machines arrives.
    pub fn drop_heartbeats(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.heartbeats_lost_until = until);
    }

    /// Machines die without notice.
    pub fn kill_machines(&mut self, names: &[String]) {
        self.update_workers(names, Worker::die);
    }

    /// A zone is cut off with its machines; a controller in it keeps them.
    pub fn partition_zone(&mut self, zone: &str, controller: Option<usize>, duration_s: f64) {
        let in_zone = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.zone == zone);
        let names: Vec<String> = in_zone.map(|(name, _)| name.clone()).collect();
        match controller {
            Some(i) => self.partition_controller(i, duration_s),
            None => self.drop_heartbeats(&names, duration_s),
        }
    }

    /// Cancels jobs that run, as many as asked for; says which were confirmed.
    pub fn cancel_running(&mut self, max: usize) -> Vec<String> {
        let open = self.open_jobs().into_iter();
        let running = open.filter(|id| self.live_tasks(id) > 0);
        let running: Vec<String> = running.take(max).collect();
        running.into_iter().filter(|id| self.cancel(id)).collect()
    }

    /// Cancels a job of which every task is done, while no record says so yet.
    pub fn cancel_completed_job(&mut self) -> Option<String> {
        let id = self.completed_unrecorded_job()?;
        self.cancel(&id).then_some(id)
    }

    /// A job's tasks that are on machines now.
    pub fn live_tasks(&self, id: &str) -> usize {
        self.workers
            .values()
            .flat_map(Worker::live_tasks)
            .filter(|task| task.job == id)
            .count()
    }
}
