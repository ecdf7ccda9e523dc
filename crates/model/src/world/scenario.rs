//! The operations by which tests script faults and inspect the world.

use super::*;

impl World {
    /// Runs the world for `seconds` of simulated time.
    pub fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.step();
        }
    }

    /// Makes the store refuse one controller's requests for `duration_s`. It serves the others.
    pub fn refuse_controller(&mut self, i: usize, duration_s: f64) {
        self.controllers[i].store_refuses_until = self.now + duration_s;
    }

    /// Makes the store unavailable for `duration_s`. Leases are preserved.
    pub fn store_outage(&mut self, duration_s: f64) {
        self.store_down_until = self.store_down_until.max(self.now + duration_s);
    }

    /// Makes the cloud execute no request for `duration_s`.
    pub fn cloud_outage(&mut self, duration_s: f64) {
        self.cloud_down_until = self.cloud_down_until.max(self.now + duration_s);
    }

    /// Partitions a controller from the store and the other controllers, but not from its workers.
    pub fn partition_controller(&mut self, i: usize, duration_s: f64) {
        self.partition = Some(Partition {
            controller: i,
            until: self.now + duration_s,
        });
        self.disconnect_controller(i, duration_s);
    }

    /// Makes a controller reload all records, as it does when its view of the store is too old. The
    /// reload takes `duration_s`.
    pub fn reload_records(&mut self, i: usize, duration_s: f64) {
        let now = self.now;
        let controller = &mut self.controllers[i];
        controller.pending_read = None;
        controller.pending_reload.get_or_insert(StoreRead {
            sent_at: now,
            revision: self.revision,
            answered_at: now + duration_s,
        });
    }

    /// Returns the machines that were provisioned and not returned, ordered by name.
    pub fn machines(&self) -> Vec<String> {
        self.workers.keys().cloned().collect()
    }

    /// Returns at most `max` machines that have tasks.
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

    /// Makes machines hang for `duration_s` and then resume.
    pub fn hang_machines(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.hung_until = until);
    }

    /// Drops the responses to heartbeats of machines for `duration_s`. The heartbeats still arrive.
    pub fn drop_responses(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.responses_lost_until = until);
    }

    /// Drops the heartbeats of machines for `duration_s`.
    pub fn drop_heartbeats(&mut self, names: &[String], duration_s: f64) {
        let until = self.now + duration_s;
        self.update_workers(names, |worker| worker.heartbeats_lost_until = until);
    }

    /// Makes machines fail permanently, without notice.
    pub fn kill_machines(&mut self, names: &[String]) {
        self.update_workers(names, Worker::die);
    }

    /// Partitions a zone for `duration_s`. If `controller` is given, that controller is in the
    /// zone: it is partitioned from the store and the other controllers but keeps its workers.
    /// Otherwise, the heartbeats of all machines in the zone are lost.
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

    /// Cancels at most `max` running jobs. Returns those whose cancellation was confirmed.
    pub fn cancel_running(&mut self, max: usize) -> Vec<String> {
        let open = self.open_jobs().into_iter();
        let running = open.filter(|id| self.live_tasks(id) > 0);
        let running: Vec<String> = running.take(max).collect();
        running.into_iter().filter(|id| self.cancel(id)).collect()
    }

    /// Cancels a job whose tasks have all completed but which is not yet recorded as done. Returns
    /// its id if the cancellation was confirmed.
    pub fn cancel_completed_job(&mut self) -> Option<String> {
        let id = self.completed_unrecorded_job()?;
        self.cancel(&id).then_some(id)
    }

    /// Returns the number of a job's tasks that are on machines and have not exited.
    pub fn live_tasks(&self, id: &str) -> usize {
        self.workers
            .values()
            .flat_map(Worker::live_tasks)
            .filter(|task| task.job == id)
            .count()
    }
}
