//! Messages in transit. Between workers and controllers, each message has its own delay; between
//! controllers, connections preserve the order of messages.

use super::*;

/// A message that has been sent and has not arrived yet.
pub(super) struct InTransit<T> {
    pub(super) arrives_at: f64,
    pub(super) message: T,
}

/// One direction of a connection, in which messages arrive in the order in which they were sent.
pub(super) struct Connection<T>(VecDeque<InTransit<T>>);

impl<T> Default for Connection<T> {
    fn default() -> Connection<T> {
        Connection(VecDeque::new())
    }
}

impl<T> Connection<T> {
    pub(super) fn send(&mut self, arrives_at: f64, message: T) {
        self.0.push_back(InTransit {
            arrives_at,
            message,
        });
    }

    /// Returns the earliest arrival time that is at least `at` and does not overtake earlier
    /// messages.
    pub(super) fn arrival(&self, at: f64) -> f64 {
        self.last().map_or(0.0, |last| last.arrives_at).max(at)
    }

    pub(super) fn last(&self) -> Option<&InTransit<T>> {
        self.0.back()
    }

    /// Removes and returns the next message if it has arrived.
    pub(super) fn receive(&mut self, now: f64) -> Option<T> {
        if self.0.front()?.arrives_at > now {
            return None;
        }
        self.0.pop_front().map(|next| next.message)
    }

    pub(super) fn clear(&mut self) {
        self.0.clear();
    }
}

/// A message between a worker and a controller.
pub(super) enum Message {
    Heartbeat {
        to: usize,
        heartbeat: Box<Heartbeat>,
    },
    Response {
        worker: String,
        heartbeat: HeartbeatId,
        response: HeartbeatResponse,
    },
}

/// Identifies the heartbeat of a worker to which a response belongs.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) struct HeartbeatId {
    pub(super) incarnation: u64,
    pub(super) seq: u64,
}

impl World {
    pub(super) fn send(&mut self, arrives_at: f64, message: Message) {
        self.messages.push(InTransit {
            arrives_at,
            message,
        });
    }

    /// Delivers the messages between workers and controllers that have arrived by now.
    pub(super) fn deliver(&mut self) {
        let mut arrivals: Vec<InTransit<Message>> = Vec::new();
        let mut i = 0;
        while i < self.messages.len() {
            if self.messages[i].arrives_at <= self.now {
                arrivals.push(self.messages.swap_remove(i));
            } else {
                i += 1;
            }
        }
        arrivals.sort_by(|a, b| a.arrives_at.total_cmp(&b.arrives_at));
        for arrived in arrivals {
            match arrived.message {
                Message::Heartbeat { to, heartbeat } => self.receive_heartbeat(to, heartbeat),
                Message::Response {
                    worker,
                    heartbeat,
                    response,
                } => self.receive_response(&worker, heartbeat, response),
            }
        }
    }

    /// Draws the transit time of a message between a worker and a controller; `None` if it is lost.
    pub(super) fn draw_message_delay(&mut self) -> Option<f64> {
        match self.rng.u32(0..100) {
            n if n < self.lost_percent => None,
            // Delayed in the network, possibly for longer than the sender waits.
            n if n < self.lost_percent + self.delayed_percent => Some(2.0 + self.rng.f64() * 25.0),
            _ => Some(0.01 + self.rng.f64() * 0.2),
        }
    }

    /// Processes a heartbeat that has reached a controller and sends the response, which may be
    /// lost.
    fn receive_heartbeat(&mut self, to: usize, mut heartbeat: Box<Heartbeat>) {
        let now = self.now;
        if now < self.controllers[to].down_until {
            return;
        }
        if self.is_frozen(to) {
            let resumes_at = self.controllers[to].frozen_until;
            self.send(resumes_at, Message::Heartbeat { to, heartbeat });
            return;
        }
        if self.defect == Defect::TrustAnyHeartbeat {
            heartbeat.token = u64::MAX;
        }
        let jobs = JobReplica::new(&self.jobs, self.terminal_jobs_read_at(to));
        let controller = &mut self.controllers[to];
        let response = controller.owner.on_heartbeat(&heartbeat, now, &jobs);
        self.trace.answered(now, to, &heartbeat, &response);
        let frozen_s = controller.freeze_after_response_s.take().unwrap_or(0.0);
        controller.frozen_until = controller.frozen_until.max(now + frozen_s);
        if let Some(delay) = self.draw_message_delay() {
            let id = HeartbeatId {
                incarnation: heartbeat.incarnation,
                seq: heartbeat.seq,
            };
            let response = Message::Response {
                worker: heartbeat.machine,
                heartbeat: id,
                response,
            };
            self.send(now + frozen_s + delay, response);
        }
    }
}
