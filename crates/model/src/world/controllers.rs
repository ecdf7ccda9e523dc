//! The controllers: each owns a shard of the machines and keeps a connection to the leader.

use super::*;

/// A read of the store in progress, with the times at which it was sent and gets its response.
#[derive(Clone, Copy)]
pub(super) struct StoreRead {
    pub(super) sent_at: f64,
    /// The store's revision when it was sent.
    pub(super) revision: u64,
    pub(super) answered_at: f64,
}

/// A controller and its connection to the leader.
pub(super) struct Controller {
    pub(super) owner: Owner,
    /// When it runs again after a crash or a rolling restart. If this is in the past, it is
    /// running.
    pub(super) down_until: f64,
    /// When it can connect to the leader again. If this is in the past, it can connect now.
    pub(super) reconnects_at: f64,
    /// Whether it is connected to the leader.
    pub(super) joined: bool,
    pub(super) to_owner: Connection<ToOwner>,
    pub(super) to_leader: Connection<ToLeader>,
    /// Pings to the leader in transit, each carrying the time at which it was sent.
    pub(super) pings: Connection<f64>,
    /// Whether it has received an `Epoch` message, which assigns machines to it, since it
    /// connected.
    pub(super) has_epoch: bool,
    /// Times of the leader's last read of the store, as carried by its responses to pings. Each
    /// arrives after the messages that the leader sent before it.
    pub(super) leader_reads: Connection<f64>,
    /// The store refuses this controller's requests until this time. It serves the others
    /// meanwhile.
    pub(super) store_refuses_until: f64,
    /// It is frozen until this time.
    pub(super) frozen_until: f64,
    /// The duration of the freeze that begins once it has computed its next response to a worker;
    /// `None` if it will not freeze then.
    pub(super) freeze_after_response_s: Option<f64>,
    /// The maximum size of a value in the store, by which the controller partitions its records.
    pub(super) value_kb: f64,
    /// The dependency state that it has derived from the job records.
    pub(super) dependencies: DependencyView,
    /// When its last completed read of the store was sent.
    pub(super) read_at: f64,
    pub(super) pending_read: Option<StoreRead>,
    /// The reload of all records that is in progress, if any.
    pub(super) pending_reload: Option<StoreRead>,
    /// Which cancellations it may report to users.
    pub(super) cancellations: CancellationGate,
    /// The cancellations that it has asked the leader to confirm on the present connection.
    pub(super) asked_to_confirm: BTreeSet<String>,
}

impl Controller {
    pub(super) fn new(index: usize, config: &SchedulerConfig) -> Controller {
        Controller {
            owner: Owner::new(&controller_name(index), config.clone()),
            down_until: 0.0,
            reconnects_at: 0.0,
            joined: false,
            to_owner: Connection::default(),
            to_leader: Connection::default(),
            pings: Connection::default(),
            has_epoch: false,
            leader_reads: Connection::default(),
            store_refuses_until: 0.0,
            frozen_until: 0.0,
            freeze_after_response_s: None,
            value_kb: 4.0,
            dependencies: DependencyView::default(),
            read_at: f64::MIN,
            pending_read: None,
            pending_reload: None,
            cancellations: CancellationGate::new(config),
            asked_to_confirm: BTreeSet::new(),
        }
    }

    /// Breaks the connection to the leader until `until`; messages in transit on it are lost.
    pub(super) fn disconnect(&mut self, until: f64) {
        self.reconnects_at = self.reconnects_at.max(until);
        self.joined = false;
        self.to_owner.clear();
        self.to_leader.clear();
        self.pings.clear();
        self.leader_reads.clear();
        self.asked_to_confirm.clear();
    }

    /// Records that the leader has confirmed cancellations.
    pub(super) fn on_cancellations_confirmed(&mut self, jobs: &[String], now: f64) {
        for job in jobs {
            self.cancellations.record_confirmation(job, now);
        }
    }

    fn join(&mut self) {
        if !self.joined {
            self.joined = true;
            self.has_epoch = false;
        }
    }

    /// Processes the messages of the leader that have arrived by now.
    fn receive_from_leader(&mut self, now: f64, jobs: &JobReplica) {
        while let Some(message) = self.to_owner.receive(now) {
            if matches!(message, ToOwner::Epoch { .. }) && !self.has_epoch {
                self.has_epoch = true;
                self.owner.authority.set_until(f64::MIN);
            }
            if let ToOwner::CancellationsConfirmed { jobs } = &message {
                self.on_cancellations_confirmed(jobs, now);
            }
            self.owner.on_leader_message(message, now, jobs);
        }
        while let Some(read_at) = self.leader_reads.receive(now) {
            self.owner.authority.record_read(read_at);
        }
    }
}

impl World {
    /// Runs the owners of all running controllers and exchanges their messages with the leader.
    pub(super) fn run_controllers(&mut self) {
        let led_by = self.leader_index();
        for i in 0..self.controllers.len() {
            if self.now < self.controllers[i].down_until || self.is_frozen(i) {
                continue;
            }
            let delay = self.draw_connection_delay();
            self.tick_owner(i);
            let has_leader = led_by.is_some_and(|leading| leading != i);
            if has_leader && self.now >= self.controllers[i].reconnects_at {
                self.exchange_with_leader(i, delay);
            }
        }
    }

    fn tick_owner(&mut self, i: usize) {
        let owner = &mut self.controllers[i].owner;
        owner.tick(self.now);
        if self.defect == Defect::TrustStaleView {
            owner.authority.record_read(self.now);
        }
    }

    /// Pings the leader, processes its messages, and sends the owner's messages to it.
    fn exchange_with_leader(&mut self, i: usize, delay: f64) {
        let now = self.now;
        let terminal_read_at = self.terminal_jobs_read_at(i);
        let controller = &mut self.controllers[i];
        controller.join();
        let last_ping = controller.pings.last();
        if last_ping.is_none_or(|ping| now - ping.message > 0.35) {
            self.trace.pinged(now, i, now + delay);
            controller.pings.send(now + delay, now);
        }
        controller.receive_from_leader(now, &JobReplica::new(&self.jobs, terminal_read_at));
        let mut arrives_at = controller.to_leader.arrival(now + delay);
        for message in controller.owner.take_messages() {
            arrives_at += 0.001;
            self.trace.sent_to_leader(now, i, arrives_at, &message);
            controller.to_leader.send(arrives_at, message);
        }
    }

    /// Draws the transit time of a message between controllers.
    pub(super) fn draw_connection_delay(&mut self) -> f64 {
        0.02 + self.rng.f64() * 0.15 + self.extra_link_delay_s()
    }

    /// Returns whether a controller is partitioned from the store and the other controllers.
    pub(super) fn is_partitioned(&self, i: usize) -> bool {
        let partition = self.partition.as_ref();
        partition.is_some_and(|it| it.controller == i && self.now < it.until)
    }

    /// Returns whether a controller can use the store now.
    pub(super) fn reaches_store(&self, i: usize) -> bool {
        let up = self.now >= self.controllers[i].down_until
            && self.now >= self.controllers[i].store_refuses_until
            && !self.is_frozen(i);
        up && self.now >= self.store_down_until && !self.is_partitioned(i)
    }

    /// Draws one of the controllers that can use the store; `None` if there is none.
    pub(super) fn draw_reachable_controller(&mut self) -> Option<usize> {
        let reachable: Vec<usize> = (0..CONTROLLERS)
            .filter(|i| self.reaches_store(*i))
            .collect();
        if reachable.is_empty() {
            return None;
        }
        Some(reachable[self.rng.usize(0..reachable.len())])
    }
}

/// Returns the name of a controller.
pub(super) fn controller_name(i: usize) -> String {
    format!("rung-{i}")
}

/// Returns the index of the named controller, or 0 for an unknown name.
pub(super) fn controller_index(member: &str) -> usize {
    (0..CONTROLLERS)
        .find(|i| controller_name(*i) == member)
        .unwrap_or(0)
}
