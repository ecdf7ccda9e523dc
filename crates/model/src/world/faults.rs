//! Troubles at random: what fails, for how long, and what ends.

use super::*;

impl World {
    pub(super) fn inject_fault(&mut self) {
        let now = self.now;
        let kind = match self.rng.u32(0..3000) {
            0..=9 => "crash",
            10..=14 => "crash of the leader",
            15..=24 => "cut between controllers",
            25..=39 => "hang",
            40..=44 => "store down",
            45..=49 => "machine gone",
            50..=61 => "answers lost",
            62..=66 => "alone with its workers",
            67..=74 => "worker back at once",
            75..=79 => "store refuses one",
            80..=84 => "refused, then store down",
            85..=92 => "machine mute",
            93..=97 => "all end",
            98..=117 => "cancel at the end",
            // No leader is there about one step in ten.
            118..=168 if self.leader.is_none() => "crash amid an election",
            169..=174 => "controller stands still",
            175..=178 => "leader stands still with an answer",
            _ => return,
        };
        *self.faults.entry(kind).or_default() += 1;
        let at = self.rng.usize(0..self.workers.len().max(1));
        let long = self.rng.f64();
        let i = self.rng.usize(0..self.controllers.len());
        let leads = self.leader.as_ref().map(|(l, _, _)| *l);
        let worker = self.workers.values_mut().nth(at);
        match (kind, worker) {
            ("crash" | "crash amid an election", _) => self.crash(i),
            ("crash of the leader", _) => leads.into_iter().for_each(|l| self.crash(l)),
            ("cut between controllers", _) => self.cut_link(i, 0.3),
            ("store down", _) => self.store_down_until = now + long * 6.0,
            ("store refuses one", _) => self.refuse(leads.unwrap_or(i), long * 10.0),
            ("refused, then store down", _) => {
                self.refuse(leads.unwrap_or(i), 8.0);
                self.outage_at = Some((
                    now + 0.2 + long * 2.0,
                    [5.0, 9.0, 30.0][self.rng.usize(0..3)],
                ));
            }
            ("controller stands still", _) => self.freeze(i, long * 12.0),
            ("leader stands still with an answer", _) => {
                self.freeze_with_an_answer(leads.unwrap_or(i), long * 12.0);
            }
            ("all end", _) => (0..3).for_each(|c| self.crash(c)),
            ("cancel at the end", _) => {
                if let Some(id) = self.at_its_end() {
                    self.cancel(&id);
                }
            }
            ("machine mute", Some(w)) => w.outbound_cut_until = now + long * 20.0,
            ("alone with its workers", _) => {
                self.isolated = Some((i, now + 1.0 + long * 12.0));
                self.cut_link(i, 1.0 + long * 12.0);
            }
            ("hang", Some(w)) => w.hung_until = now + long * 14.0,
            ("answers lost", Some(w)) => w.inbound_cut_until = now + long * 20.0,
            ("machine gone", Some(w)) => {
                w.gone = true;
                w.tasks.clear();
            }
            ("worker back at once", Some(w)) => {
                // The same name, a new incarnation, nothing left of the old one.
                w.tasks.clear();
                w.incarnation += 1;
                w.flight = None;
                w.lease_from = now;
                w.next = now + long * 0.5;
            }
            _ => {}
        }
    }

    /// A job of which every task is done, while no record says so yet.
    pub(super) fn at_its_end(&self) -> Option<String> {
        let all = |j: &JobState| {
            (0..j.spec.tasks).all(|i| self.completed.contains(&(j.spec.id.clone(), i)))
        };
        self.jobs
            .values()
            .find(|j| j.terminal_at.is_none() && all(j))
            .map(|j| j.spec.id.clone())
    }

    pub(super) fn crash(&mut self, i: usize) {
        let for_s = [0.1, 0.4, 4.0][self.rng.usize(0..3)];
        self.end(i, for_s);
    }

    /// A controller ends and is back, with nothing, after a while.
    pub fn end(&mut self, i: usize, for_s: f64) {
        let back = self.now + for_s;
        let leading = self.leader.as_ref().is_some_and(|(l, _, _)| *l == i);
        let value_kb = self.controllers[i].value_kb;
        self.controllers[i] = new_controller(i, &self.config);
        self.controllers[i].value_kb = value_kb;
        self.controllers[i].down_until = back;
        if leading {
            self.end_leader();
        } else if let Some((_, leader, _)) = &mut self.leader {
            leader.owner_lost(&name(i));
        }
    }

    /// Whether a controller reaches neither the store nor the others.
    pub(super) fn is_isolated(&self, i: usize) -> bool {
        self.isolated
            .is_some_and(|(a, until)| a == i && self.now < until)
    }

    pub(super) fn end_leader(&mut self) {
        self.leader = None;
        // The store keeps the key until the lease has run out.
        self.free_at = self.free_at.max(self.lease_end + 0.1);
        for c in &mut self.controllers {
            disconnect(c, self.now + 0.2);
        }
    }

    pub(super) fn cut_link(&mut self, i: usize, for_s: f64) {
        disconnect(&mut self.controllers[i], self.now + for_s);
        if let Some((_, leader, _)) = &mut self.leader {
            leader.owner_lost(&name(i));
        }
    }

    pub(super) fn delay(&mut self) -> Option<f64> {
        match self.rng.u32(0..100) {
            n if n < self.lost => None,
            // Held up in the network, also past the sender's patience.
            n if n < self.lost + self.held_up => Some(2.0 + self.rng.f64() * 25.0),
            _ => Some(0.01 + self.rng.f64() * 0.2),
        }
    }
}
