//! What tests bring about on purpose, one fault at a time.

use super::*;

impl World {
    /// The controller that leads.
    pub fn leader_at(&self) -> Option<usize> {
        self.leader.as_ref().map(|(i, _, _)| *i)
    }

    /// Lets time pass.
    pub fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.step();
        }
    }

    /// The store refuses one controller, and serves the others.
    pub fn refuse(&mut self, i: usize, for_s: f64) {
        self.controllers[i].refused_until = self.now + for_s;
    }

    /// The store refuses everybody. Its leases keep.
    pub fn outage(&mut self, for_s: f64) {
        self.store_down_until = self.store_down_until.max(self.now + for_s);
    }

    /// A controller loses the store and the others, not its workers.
    pub fn isolate(&mut self, i: usize, for_s: f64) {
        self.isolated = Some((i, self.now + for_s));
        self.cut_link(i, for_s);
    }

    /// A controller finds its view too old, and reads all records anew for so long.
    pub fn reload(&mut self, i: usize, for_s: f64) {
        let now = self.now;
        let controller = &mut self.controllers[i];
        controller.read = None;
        controller.reload.get_or_insert((now, now + for_s));
    }

    /// A controller's connections to the others break.
    pub fn cut(&mut self, i: usize, for_s: f64) {
        self.cut_link(i, for_s);
    }

    /// Machines on which something is, as many as asked for at most.
    pub fn busy_machines(&self, most: usize) -> Vec<String> {
        let busy = self
            .workers
            .iter()
            .filter(|(_, w)| !w.gone && Self::live_on(w).next().is_some());
        busy.map(|(n, _)| n.clone()).take(most).collect()
    }

    fn on_machines(&mut self, names: &[String], change: impl Fn(&mut Worker)) {
        names
            .iter()
            .for_each(|n| self.workers.get_mut(n).into_iter().for_each(&change));
    }

    /// Machines hang for a while, and then go on.
    pub fn hang(&mut self, names: &[String], for_s: f64) {
        let until = self.now + for_s;
        self.on_machines(names, |w| w.hung_until = until);
    }

    /// Heartbeats arrive, answers are lost.
    pub fn cut_inbound(&mut self, names: &[String], for_s: f64) {
        let until = self.now + for_s;
        self.on_machines(names, |w| w.inbound_cut_until = until);
    }

    /// No heartbeat arrives.
    pub fn cut_outbound(&mut self, names: &[String], for_s: f64) {
        let until = self.now + for_s;
        self.on_machines(names, |w| w.outbound_cut_until = until);
    }

    /// Machines die without a word.
    pub fn kill(&mut self, names: &[String]) {
        self.on_machines(names, |w| {
            w.gone = true;
            w.tasks.clear();
        });
    }

    /// A zone is cut off with its machines; a controller in it keeps them.
    pub fn cut_zone(&mut self, zone: &str, controller: Option<usize>, for_s: f64) {
        let names: Vec<String> = self
            .workers
            .iter()
            .filter(|(_, w)| w.zone == zone)
            .map(|(n, _)| n.clone())
            .collect();
        match controller {
            Some(i) => self.isolate(i, for_s),
            None => self.cut_outbound(&names, for_s),
        }
    }

    /// Cancels jobs that run, as many as asked for; says which were confirmed.
    pub fn cancel_running(&mut self, most: usize) -> Vec<String> {
        let runs = |id: &String| {
            self.workers
                .values()
                .any(|w| Self::live_on(w).any(|(j, _, _)| j == id))
        };
        let ids: Vec<String> = self
            .open_jobs()
            .into_iter()
            .filter(runs)
            .take(most)
            .collect();
        ids.into_iter().filter(|id| self.cancel(id)).collect()
    }

    /// Cancels a job of which every task is done, while no record says so yet.
    pub fn cancel_at_end(&mut self) -> Option<String> {
        let id = self.at_its_end()?;
        self.cancel(&id).then_some(id)
    }

    /// A job's tasks that are on machines now.
    pub fn live_tasks(&self, id: &str) -> usize {
        self.workers
            .values()
            .flat_map(Self::live_on)
            .filter(|(j, _, _)| j == id)
            .count()
    }

    /// Machines that were ever provisioned.
    pub fn provisioned(&self) -> u64 {
        self.hosts
    }

    /// What the store says of a job: done, cancelled, or neither yet.
    pub fn outcome(&self, id: &str) -> Option<&'static str> {
        let j = self.jobs.get(id)?;
        j.terminal_at
            .map(|_| if j.cancelled { "cancelled" } else { "done" })
    }

    /// Runs on without faults until all is done, for `seconds` at most.
    pub fn calm(&mut self, seconds: f64) {
        let quiet_since = self.now;
        (self.lost, self.held_up, self.late_copies, self.late_writes) = (0, 0, 0, 0);
        self.slow_reads = 0.0;
        while self.now < quiet_since + seconds && !self.open_jobs().is_empty() {
            self.step();
            if self.now - quiet_since > FORGOTTEN_S {
                self.check_known();
            }
            self.check_waiting();
        }
    }
}
