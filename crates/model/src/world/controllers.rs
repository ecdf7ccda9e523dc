//! The controllers: owners of shards, the leader, and its election.

use super::*;

impl World {
    pub(super) fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<(f64, Message)> = Vec::new();
        let mut i = 0;
        while i < self.messages.len() {
            if self.messages[i].0 <= now {
                due.push(self.messages.swap_remove(i));
            } else {
                i += 1;
            }
        }
        due.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (_, m) in due {
            match m {
                Message::Heartbeat { to, heartbeat } => self.answer_heartbeat(to, heartbeat),
                Message::Answer {
                    worker,
                    incarnation,
                    seq,
                    answer,
                } => self.take_answer(&worker, incarnation, seq, answer),
            }
        }
    }

    pub(super) fn run_controllers(&mut self) {
        let now = self.now;
        let led = self.leader.as_ref().map(|(i, _, _)| *i);
        let trusting = self.defect == Defect::TrustOldPicture;
        let ignorant = self.sees_no_ends();
        for i in 0..self.controllers.len() {
            if now < self.controllers[i].down_until || self.is_frozen(i) {
                continue;
            }
            let wait = 0.02 + self.rng.f64() * 0.15;
            let c = &mut self.controllers[i];
            c.owner.tick(now);
            if trusting {
                c.owner.authority.prove(now);
            }
            if led == Some(i) || led.is_none() || now < c.link_at {
                continue;
            }
            if !c.joined {
                c.joined = true;
                c.epoch = false;
            }
            if c.pings.back().is_none_or(|(_, sent)| now - sent > 0.35) {
                self.trace.pinged(now, i, now + wait);
                c.pings.push_back((now + wait, now));
            }
            while c.to_owner.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, message)) = c.to_owner.pop_front() else {
                    break;
                };
                if matches!(message, ToOwner::Epoch { .. }) && !c.epoch {
                    c.epoch = true;
                    c.owner.authority.set(f64::MIN);
                }
                let seen = if ignorant { f64::MIN } else { c.seen };
                c.owner
                    .on_leader_message(message, now, &JobsAsRead(&self.jobs, seen));
            }
            while c.knows.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, known)) = c.knows.pop_front() else {
                    break;
                };
                c.owner.authority.prove(known);
            }
            let mut at = c
                .to_leader
                .back()
                .map_or(0.0, |(at, _)| *at)
                .max(now + wait);
            for m in c.owner.drain() {
                at += 0.001;
                self.trace.sent_to_leader(now, i, at, &m);
                c.to_leader.push_back((at, m));
            }
        }
    }

    pub(super) fn run_leader(&mut self) {
        let now = self.now;
        if self.leader.is_none() {
            self.elect();
        }
        let Some((leading, mut leader, id)) = self.leader.take() else {
            return;
        };
        if self.is_isolated(leading) {
            // Its owners left at once; its own authority runs out, and then the key is free.
            for i in (0..self.controllers.len()).filter(|i| *i != leading) {
                leader.owner_lost(&name(i));
                disconnect(&mut self.controllers[i], now + 0.2);
            }
        }
        if self.reaches_store(leading) {
            self.lease_end = now + TTL;
            self.controllers[leading]
                .owner
                .authority
                .renew(now + TTL * 0.95, now);
        } else if now < self.store_down_until {
            // An outage preserves the leases; afterwards they get their full time again.
            self.lease_end = self.store_down_until + TTL;
        } else if now > self.lease_end {
            self.end_leader();
            return;
        }
        if self.is_frozen(leading) {
            self.leader = Some((leading, leader, id));
            return;
        }
        let (answers_until, known) = {
            let a = &self.controllers[leading].owner.authority;
            (a.answers_until(), a.read_at())
        };
        for i in 0..self.controllers.len() {
            let c = &mut self.controllers[i];
            if i == leading || now < c.down_until || !c.joined {
                continue;
            }
            while c.pings.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, sent)) = c.pings.pop_front() else {
                    break;
                };
                leader.owner_heard(&name(i), now);
                let until = answers_until.min(now + self.config.owner_silence_s() * 1.25);
                let granted = leader.grant(&name(i), now, until);
                self.trace.granted(now, i, sent, granted);
                if let Some(valid) = granted {
                    if c.epoch && c.owner.token() == leader.token() {
                        c.owner.authority.set(sent + valid);
                        // Behind all that was sent before it.
                        let at = c.to_owner.back().map_or(0.0, |(at, _)| *at).max(now + 0.02);
                        c.knows.push_back((at, sent - (now - known)));
                    }
                }
            }
            while c.to_leader.front().is_some_and(|(at, _)| *at <= now) {
                let Some((_, m)) = c.to_leader.pop_front() else {
                    break;
                };
                leader.on_owner_message(&name(i), m, now);
            }
        }
        if now < answers_until {
            leader.tick(now, 2);
        }
        if !leader.index_agrees() {
            self.break_rule("index");
        }
        loop {
            let mut idle = true;
            for m in self.controllers[leading].owner.drain() {
                idle = false;
                self.trace.sent_to_leader(now, leading, now, &m);
                leader.on_owner_message(&name(leading), m, now);
            }
            for action in leader.drain() {
                idle = false;
                self.trace.requested(now, id, &action);
                match action {
                    Action::Send(to, message) => {
                        let i = (0..3).find(|i| name(*i) == to).unwrap_or(0);
                        if i == leading {
                            let seen = self.known_to(leading);
                            self.controllers[leading].owner.on_leader_message(
                                message,
                                now,
                                &JobsAsRead(&self.jobs, seen),
                            );
                        } else if self.controllers[i].joined {
                            let wait = 0.02 + self.rng.f64() * 0.15;
                            let c = &mut self.controllers[i];
                            let at = c.to_owner.back().map_or(0.0, |(at, _)| *at).max(now + wait);
                            c.to_owner.push_back((at, message));
                        }
                    }
                    other => {
                        let at = now + 0.02 + self.rng.f64() * 0.3;
                        let expected = self.expected(&other);
                        self.writes.push(Pending {
                            at,
                            by: id,
                            action: other,
                            expected,
                            late: false,
                        });
                    }
                }
            }
            if idle {
                break;
            }
        }
        self.leader = Some((leading, leader, id));
    }

    pub(super) fn elect(&mut self) {
        let now = self.now;
        if now < self.free_at || now < self.store_down_until {
            return;
        }
        let up: Vec<usize> = (0..3).filter(|i| self.reaches_store(*i)).collect();
        let Some(leading) = (!up.is_empty()).then(|| up[self.rng.usize(0..up.len())]) else {
            return;
        };
        self.term += 1;
        self.revision += 1;
        self.leaders += 1;
        self.trace.elected(now, leading, self.term, self.revision);
        let mut chains = std::mem::take(&mut self.controllers[leading].chains);
        chains.reload(&self.jobs, now);
        let open = |j: &JobState| self.open_job(j);
        let ignore = self.defect == Defect::IgnoreCancel;
        let lost = |j: &JobState| self.defect == Defect::LoseJobs && j.revision & 1 == 0;
        let known = |j: &&JobState| {
            (j.own_end.is_none() || ignore && j.cancelled)
                && !lost(j)
                && self.is_known_to_leader(&chains, j)
        };
        let jobs: Vec<OpenJob> = self.jobs.values().filter(known).map(open).collect();
        let priorities = jobs
            .iter()
            .map(|j| (j.spec.id.clone(), chains.priority(&j.spec)));
        let priorities: Vec<(String, Priority)> = priorities.collect();
        let empty = BTreeMap::new();
        let roster = if self.defect == Defect::ForgetRoster {
            &empty
        } else {
            &self.roster
        };
        let seed = self.rng.u64(..);
        let mut leader = Leader::new(
            &name(leading),
            self.config.clone(),
            seed,
            self.term,
            self.controllers[leading].value_kb,
            jobs,
            roster,
            self.started_upto,
            now,
        );
        for (id, priority) in priorities {
            leader.set_priority(&id, priority);
        }
        let recently = |j: &&JobState| {
            j.cancelled
                && j.own_end.is_some()
                && j.terminal_at
                    .is_some_and(|at| now - at < self.config.lease_s + self.config.cancel_s)
        };
        let resources = |s: &Job| {
            Resources {
                cpus: s.cpus,
                gpus: s.gpus,
                memory_gb: 0.0,
            }
            .scaled(s.tasks)
        };
        let recently = self
            .jobs
            .values()
            .filter(recently)
            .map(|j| (j.spec.id.clone(), j.spec.team.clone(), resources(&j.spec)));
        if self.defect != Defect::ForgetCancelled {
            leader.set_recently_cancelled(recently);
        }
        leader.catalog(self.types.clone());
        self.lease_end = now + TTL;
        let c = &mut self.controllers[leading];
        c.owner = Owner::new(&name(leading), self.config.clone());
        c.owner.authority.set(now + TTL * 0.95);
        c.owner.authority.prove(now);
        self.known_versions = self.versions.clone();
        // What changes at this very instant comes with the next read.
        (c.seen, c.read, c.chains) = (now - STEP / 10.0, None, chains);
        c.reload = None;
        for c in &mut self.controllers {
            disconnect(c, now + 0.1);
        }
        self.leader = Some((leading, leader, self.revision));
    }

    /// A job as the leader gets to know it.
    pub(super) fn open_job(&self, j: &JobState) -> OpenJob {
        let mut spec = (*j.spec).clone();
        if self.defect == Defect::IgnoreTypes {
            spec.types = None;
            spec.zone = None;
        }
        OpenJob {
            spec: Rc::new(spec),
            revision: j.revision,
            done: j.done.clone(),
            prior_runs: j.prior_runs.clone(),
        }
    }
}

pub(super) fn new_controller(i: usize, config: &SchedulerConfig) -> Controller {
    Controller {
        owner: Owner::new(&name(i), config.clone()),
        down_until: 0.0,
        link_at: 0.0,
        joined: false,
        to_owner: VecDeque::new(),
        to_leader: VecDeque::new(),
        pings: VecDeque::new(),
        epoch: false,
        knows: VecDeque::new(),
        refused_until: 0.0,
        frozen_until: 0.0,
        freezes_for: None,
        value_kb: 4.0,
        chains: ChainView::default(),
        seen: f64::MIN,
        read: None,
        reload: None,
    }
}

pub(super) fn disconnect(c: &mut Controller, until: f64) {
    c.link_at = c.link_at.max(until);
    c.joined = false;
    c.to_owner.clear();
    c.to_leader.clear();
    c.pings.clear();
    c.knows.clear();
}
