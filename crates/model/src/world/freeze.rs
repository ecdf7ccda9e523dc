//! Controllers that stand still for a while, their clocks running on.

use super::*;

impl World {
    /// A controller decides nothing, sends nothing and reads nothing for a while. What reaches it
    /// meanwhile waits there.
    pub fn freeze(&mut self, i: usize, for_s: f64) {
        let c = &mut self.controllers[i];
        c.frozen_until = c.frozen_until.max(self.now + for_s);
    }

    /// The same right after the controller has decided its next answer to a worker, which goes out
    /// when it moves again.
    pub fn freeze_with_an_answer(&mut self, i: usize, for_s: f64) {
        self.controllers[i].freezes_for = Some(for_s);
    }

    pub(super) fn is_frozen(&self, i: usize) -> bool {
        self.now < self.controllers[i].frozen_until
    }

    /// A heartbeat has reached a controller: the answer goes out after some time, or is lost.
    pub(super) fn answer_heartbeat(&mut self, to: usize, mut heartbeat: Box<Heartbeat>) {
        let now = self.now;
        if now < self.controllers[to].down_until {
            return;
        }
        if self.is_frozen(to) {
            let again = self.controllers[to].frozen_until;
            self.messages
                .push((again, Message::Heartbeat { to, heartbeat }));
            return;
        }
        if self.defect == Defect::TrustAnyReport {
            heartbeat.token = u64::MAX;
        }
        let jobs = JobsAsRead(&self.jobs, self.known_to(to));
        let controller = &mut self.controllers[to];
        let answer = controller.owner.on_heartbeat(&heartbeat, now, &jobs);
        self.trace.answered(now, to, &heartbeat, &answer);
        let held_s = controller.freezes_for.take().unwrap_or(0.0);
        controller.frozen_until = controller.frozen_until.max(now + held_s);
        if let Some(delay) = self.delay() {
            let (incarnation, seq) = (heartbeat.incarnation, heartbeat.seq);
            let worker = heartbeat.machine;
            let answer = Message::Answer {
                worker,
                incarnation,
                seq,
                answer,
            };
            self.messages.push((now + held_s + delay, answer));
        }
    }
}
