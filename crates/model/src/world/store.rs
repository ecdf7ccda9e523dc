//! The state service and the cloud, as the world's controllers see them.

use super::*;

/// A write of a leader on its way to the store.
pub(super) struct Pending {
    pub(super) at: f64,
    pub(super) by: u64,
    pub(super) action: Action,
    /// The version that its key must have.
    pub(super) expected: u64,
    pub(super) late: bool,
}

/// The key that an action replaces; none for what has a condition of its own or is no write.
pub(super) fn key(action: &Action) -> Option<String> {
    match action {
        Action::Roster(machine, _) => Some(format!("roster/{machine}")),
        Action::Bind { job, .. } => Some(format!("binding/{job}")),
        Action::RecordStartedArrays(_) => Some("begun".into()),
        Action::Progress {
            job, first_task, ..
        } => Some(format!("progress/{job}/{first_task}")),
        _ => None,
    }
}

impl World {
    /// Controllers read the changes of the store every few steps; answers take their time. What a read shows
    /// is known before anything else is done on the strength of it.
    pub(super) fn run_reads(&mut self) {
        let now = self.now;
        for i in 0..self.controllers.len() {
            if let Some((sent, until)) = self.controllers[i].reload {
                if now >= until && self.reaches_store(i) {
                    self.controllers[i].reload = None;
                    self.finish_reload(i, sent);
                }
                continue;
            }
            if let Some((sent, _)) = self.controllers[i].read.filter(|(_, at)| now >= *at) {
                self.controllers[i].read = None;
                if self.reaches_store(i) {
                    self.learn(i, sent);
                }
            }
            if self.controllers[i].read.is_none()
                && now - self.controllers[i].seen >= TTL / 5.0
                && self.reaches_store(i)
            {
                let usual = if self.rng.u32(0..100) < 2 { 1.2 } else { 0.1 };
                self.controllers[i].read =
                    Some((now, now + self.slow_reads + self.rng.f64() * usual));
            }
        }
    }

    /// Up to when a controller's replica shows what is over.
    pub(super) fn known_to(&self, i: usize) -> f64 {
        if self.sees_no_ends() {
            return f64::MIN;
        }
        self.controllers[i].seen
    }

    /// Whether, by a defect, controllers do not see by their own reads what is over.
    pub(super) fn sees_no_ends(&self) -> bool {
        matches!(
            self.defect,
            Defect::IgnoreCancel | Defect::ForgetCancelled | Defect::HalfDoneUnseen
        )
    }

    pub(super) fn learn(&mut self, i: usize, sent: f64) {
        let before = std::mem::replace(&mut self.controllers[i].seen, sent);
        self.read_jobs(i, before, sent);
        self.controllers[i].owner.authority.prove(sent);
    }

    /// The version that the leader believes the key of a write to have.
    pub(super) fn expected(&self, action: &Action) -> u64 {
        key(action)
            .and_then(|k| self.known_versions.get(&k).copied())
            .unwrap_or(0)
    }

    pub(super) fn run_writes(&mut self) {
        let now = self.now;
        let mut i = 0;
        while i < self.writes.len() {
            if self.writes[i].at > now {
                i += 1;
                continue;
            }
            let write = self.writes.remove(i);
            let Some((leading, mut leader, id)) = self.leader.take() else {
                self.trace.refused(now, write.by, &write.action);
                continue;
            };
            if self.is_frozen(leading) {
                // Its answer is read when the leader moves again.
                let at = self.controllers[leading].frozen_until;
                self.writes.push(Pending { at, ..write });
                self.leader = Some((leading, leader, id));
                continue;
            }
            // A write of an earlier leader fails on its condition.
            if id == write.by {
                if write.late {
                    self.carry_out_late(&mut leader, write);
                } else {
                    self.carry_out_now(leading, &mut leader, write);
                }
            } else {
                self.trace.refused(now, write.by, &write.action);
            }
            self.leader = Some((leading, leader, id));
        }
    }

    pub(super) fn carry_out_now(&mut self, leading: usize, leader: &mut Leader, write: Pending) {
        let reached = self.reaches_store(leading);
        // No answer, and it is carried out later: after newer ones.
        if reached && key(&write.action).is_some() && self.rng.u32(0..100) < self.late_writes {
            let at = self.now + 2.0 + self.rng.f64() * 10.0;
            self.trace.postponed(self.now, at, &write.action);
            *self.faults.entry("late write").or_default() += 1;
            self.writes.push(Pending {
                at,
                late: true,
                action: write.action.clone(),
                ..write
            });
            self.carry_out(leader, write.action, false, false);
            return;
        }
        let ok = reached && self.rng.u32(0..100) >= 3 && self.admits(&write);
        // Now and then it is carried out, but the answer is lost.
        let open_job = ok && self.rng.u32(0..100) >= 2;
        if ok {
            self.moved(&write.action);
            self.note_writer(leading, &write.action);
        }
        if open_job || reached && !ok {
            // It was carried out, or refused and then looked at.
            if let Some(k) = key(&write.action) {
                let version = self.versions.get(&k).copied().unwrap_or(0);
                self.known_versions.insert(k, version);
            }
        }
        self.carry_out(leader, write.action, ok, open_job);
    }

    /// An end that a leader writes is known at its controller from then on.
    fn note_writer(&mut self, leading: usize, action: &Action) {
        let Action::Finish { job } = action else {
            return;
        };
        if let Some(job) = self
            .jobs
            .get_mut(job)
            .filter(|job| job.terminal_at.is_none())
        {
            job.ended_by = Some(leading);
        }
    }

    /// The leader has taken it for not done long ago; only the store changes.
    pub(super) fn carry_out_late(&mut self, leader: &mut Leader, write: Pending) {
        if self.now < self.store_down_until || !self.admits(&write) {
            self.trace.refused(self.now, write.by, &write.action);
            return;
        }
        self.moved(&write.action);
        let mut nobody = Leader::new(
            "nobody",
            self.config.clone(),
            0,
            leader.token(),
            4.0,
            vec![],
            &BTreeMap::new(),
            0,
            self.now,
        );
        self.carry_out(&mut nobody, write.action, true, false);
    }

    /// Whether a write's key is still as its writer knew it.
    pub(super) fn admits(&self, write: &Pending) -> bool {
        let Some(k) = key(&write.action) else {
            return true;
        };
        self.defect == Defect::NoVersions
            || self.versions.get(&k).copied().unwrap_or(0) == write.expected
    }

    pub(super) fn moved(&mut self, action: &Action) {
        if let Some(k) = key(action) {
            *self.versions.entry(k).or_default() += 1;
        }
    }

    /// Carries an action out if `ok`, and tells the leader its outcome, or that it is not known.
    pub(super) fn carry_out(
        &mut self,
        leader: &mut Leader,
        action: Action,
        ok: bool,
        open_job: bool,
    ) {
        let now = self.now;
        self.trace.carried_out(now, &action, ok, open_job);
        match action {
            Action::NewToken => {
                if ok {
                    self.term += 1;
                }
                leader.token_result(open_job.then_some(self.term), now);
            }
            Action::Roster(machine, record) => {
                let put = record.is_some();
                if let (true, Some(r)) = (ok, record) {
                    self.roster.insert(machine.clone(), r);
                } else if ok {
                    self.roster.remove(&machine);
                }
                leader.roster_result(&machine, put, open_job);
            }
            Action::Progress {
                job,
                first_task,
                bits,
            } => {
                let mut written = Ranges::default();
                let bytes: Vec<u8> = (0..bits.len() / 2)
                    .filter_map(|i| u8::from_str_radix(&bits[i * 2..i * 2 + 2], 16).ok())
                    .collect();
                written.add_bits(first_task, &bytes, u32::MAX);
                if ok {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        written.iter().for_each(|i| {
                            j.done.insert(i);
                        });
                    }
                }
                leader.progress_result(&job, first_task, open_job.then_some(&written));
            }
            Action::Finish { job } => {
                let open = self.jobs.get(&job).is_some_and(|j| j.terminal_at.is_none());
                if ok && open {
                    self.finish(&job);
                }
                leader.finish_result(&job, ok && open);
            }
            Action::RecordStartedArrays(record) => {
                for j in self
                    .jobs
                    .values_mut()
                    .filter(|j| ok && j.spec.shape != Shape::Gang)
                {
                    j.prior_runs = if record.covers(j.revision) {
                        PriorRuns::Anywhere
                    } else {
                        PriorRuns::None
                    };
                }
                if ok {
                    self.started_upto = self.started_upto.max(record.upto);
                }
                leader.start_record_result(&record, open_job);
            }
            Action::Bind {
                job,
                attempt,
                places,
            } => {
                if let Some(j) = self.jobs.get_mut(&job).filter(|_| ok) {
                    j.prior_runs =
                        PriorRuns::Bound(places.into_iter().map(|(m, _, _)| m).collect());
                }
                leader.bind_result(&job, attempt, open_job, now);
            }
            Action::Provision(request) => {
                let names = ok.then(|| self.provision(&request));
                leader.provision_result(&request.name, names.filter(|_| open_job), now);
            }
            Action::Deprovision(names) => {
                if ok {
                    self.note_cloud("returned", names.len());
                    for n in &names {
                        self.workers.remove(n);
                    }
                }
                leader.deprovision_result(&names, open_job);
            }
            Action::Send(..) => {}
        }
        if matches!(self.defect, Defect::HalfDone | Defect::HalfDoneUnseen) {
            let half: Vec<String> = self
                .jobs
                .iter()
                .filter(|(_, j)| j.terminal_at.is_none() && j.done.len() * 2 >= j.spec.tasks)
                .map(|(id, _)| id.clone())
                .collect();
            half.iter().for_each(|id| self.finish(id));
        }
    }

    /// Records a job as done; the truth is what the workers have completed.
    pub(super) fn finish(&mut self, id: &str) {
        let now = self.now;
        let Some(j) = self.jobs.get_mut(id) else {
            return;
        };
        let completed = (0..j.spec.tasks)
            .filter(|i| self.completed.contains(&(id.to_string(), *i)))
            .count() as u32;
        let all = completed == j.spec.tasks || j.spec.shape == Shape::Gang && completed > 0;
        j.terminal_at = Some(now);
        j.own_end = Some(now);
        self.done += 1;
        self.trace.ended(now, id, false);
        if !all {
            self.break_rule("not_done");
        }
        self.note_ready();
    }

    pub(super) fn provision(&mut self, request: &ProvisionRequest) -> Vec<String> {
        let here = self
            .workers
            .values()
            .filter(|w| {
                !w.gone
                    && w.kind == request.kind
                    && w.zone == request.zone
                    && w.spot == request.spot
            })
            .count();
        let offer = self.rich_offer(request);
        let most = offer.map_or(3, |(most, _)| most);
        let n = (request.count as usize).min(most.saturating_sub(here));
        self.note_cloud("refused by the cloud", request.count as usize - n);
        let mut names = Vec::new();
        for _ in 0..n {
            self.hosts += 1;
            let machine = format!("host-{:06}", self.hosts);
            let boots_s = offer.map_or(0.0, |(_, boot_s)| (boot_s - 2.5).max(0.0));
            let up_at = self.now + 1.0 + self.rng.f64() * 3.0 + boots_s;
            let w = Worker {
                kind: request.kind.clone(),
                zone: request.zone.clone(),
                spot: request.spot,
                up_at,
                gone: false,
                hung_until: 0.0,
                inbound_cut_until: 0.0,
                outbound_cut_until: 0.0,
                taken_at: None,
                incarnation: 1,
                seq: 0,
                token: 0,
                lease_from: up_at,
                tasks: BTreeMap::new(),
                target: self.rng.usize(0..3),
                next: up_at,
                flight: None,
            };
            self.workers.insert(machine.clone(), w);
            names.push(machine);
        }
        self.trace.provisioned(self.now, &names);
        names
    }
}
