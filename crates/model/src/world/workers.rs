//! The workers: they run tasks, heartbeat, and carry out what answers to their heartbeats say.

use super::*;

impl World {
    pub(super) fn run_workers(&mut self) {
        let (now, lease_s, heartbeat_s) = (self.now, self.config.lease_s, self.config.heartbeat_s);
        let whole = self.whole_gangs();
        let mut began: BTreeSet<String> = BTreeSet::new();
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for machine in names {
            let Some(w) = self.workers.get_mut(&machine) else {
                continue;
            };
            if w.gone || now < w.up_at {
                continue;
            }
            if now - w.lease_from > lease_s {
                // Kills and forgets all tasks, also while it hangs: nothing of it runs on.
                self.lapses += 1;
                w.tasks.clear();
                w.incarnation += 1;
                w.lease_from = now;
                w.flight = None;
            }
            if now < w.hung_until {
                continue;
            }
            for ((job, index, attempt), t) in w.tasks.iter_mut() {
                let Some(spec) = self.jobs.get(job).map(|j| &j.spec) else {
                    continue;
                };
                let together =
                    spec.shape != Shape::Gang || whole.contains(&(job.clone(), *attempt));
                match t.state {
                    TaskState::Fetching if now - t.began > 0.5 => t.state = TaskState::Waiting,
                    TaskState::Waiting if together => {
                        t.state = TaskState::Running;
                        t.began = now;
                        began.insert(job.clone());
                    }
                    TaskState::Running if !together => {
                        t.state = TaskState::Exited;
                        t.why = Some(Why::Peers);
                    }
                    TaskState::Running if t.ran_s(now) > spec.estimate_s => {
                        t.state = TaskState::Exited;
                        t.why = Some(Why::Done);
                        self.completed.insert((job.clone(), *index));
                    }
                    _ => {}
                }
            }
            if w.flight.as_ref().is_some_and(|f| now - f.sent > 4.0) {
                w.flight = None;
                w.target = (w.target + 1) % 3;
                w.next = now + 1.0;
            }
            if w.flight.is_none() && now >= w.next {
                w.seq += 1;
                w.flight = Some(InFlight {
                    sent: now,
                    incarnation: w.incarnation,
                    seq: w.seq,
                });
                w.next = now + heartbeat_s;
                let heartbeat = heartbeat_of(&machine, w, now);
                let to = w.target;
                if now < w.outbound_cut_until {
                    continue;
                }
                self.trace.reported(now, to, &heartbeat);
                let again = self.rng.u32(0..100) < 2;
                for _ in 0..=u32::from(again) {
                    if let Some(d) = self.delay() {
                        self.messages.push((
                            now + d,
                            Message::Heartbeat {
                                to,
                                heartbeat: Box::new(heartbeat.clone()),
                            },
                        ));
                    }
                }
                // Late copies, from seconds to well over a lease.
                if self.rng.u32(0..100) < self.late_copies {
                    let d = 1.0 + self.rng.f64() * lease_s * 3.0;
                    self.messages.push((
                        now + d,
                        Message::Heartbeat {
                            to,
                            heartbeat: Box::new(heartbeat),
                        },
                    ));
                }
            }
        }
        self.note_started(began);
    }

    pub(super) fn note_started(&mut self, began: BTreeSet<String>) {
        for id in began {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.started_at.get_or_insert(self.now);
            }
        }
    }

    /// Gangs of which every task is on some machine under one attempt.
    pub(super) fn whole_gangs(&self) -> BTreeSet<(String, u64)> {
        let mut counts: BTreeMap<(String, u64), u32> = BTreeMap::new();
        for w in self.workers.values() {
            for ((job, _, attempt), t) in &w.tasks {
                let here = matches!(
                    t.state,
                    TaskState::Waiting | TaskState::Running | TaskState::Saving
                ) || t.why == Some(Why::Done);
                if here {
                    *counts.entry((job.clone(), *attempt)).or_default() += 1;
                }
            }
        }
        counts
            .into_iter()
            .filter(|((j, _), n)| self.jobs.get(j).is_some_and(|s| s.spec.tasks == *n))
            .map(|(k, _)| k)
            .collect()
    }

    pub(super) fn take_answer(
        &mut self,
        machine: &str,
        incarnation: u64,
        seq: u64,
        answer: HeartbeatResponse,
    ) {
        let now = self.now;
        let Some(w) = self.workers.get_mut(machine) else {
            return;
        };
        if now < w.hung_until {
            // It waits there until the machine goes on; by then the worker may have given it up.
            self.messages.push((
                w.hung_until + STEP,
                Message::Answer {
                    worker: machine.into(),
                    incarnation,
                    seq,
                    answer,
                },
            ));
            return;
        }
        if w.gone
            || now < w.inbound_cut_until
            || w.flight
                .as_ref()
                .is_none_or(|f| f.seq != seq || f.incarnation != incarnation)
            || w.incarnation != incarnation
        {
            return;
        }
        let Some(sent) = w.flight.take().map(|f| f.sent) else {
            return;
        };
        match answer {
            HeartbeatResponse::Orders(Orders { token, orders }) => {
                if token < w.token {
                    return;
                }
                if token > w.token {
                    w.next = w.next.min(now + 0.5);
                }
                w.token = token;
                w.lease_from = w.lease_from.max(sent);
                for order in orders {
                    self.execute(machine, order);
                }
            }
            HeartbeatResponse::Redirect(member) => {
                w.target = (0..3).find(|i| name(*i) == member).unwrap_or(0);
                w.next = now + 0.1;
            }
            HeartbeatResponse::Unavailable => {
                w.target = (w.target + 1) % 3;
                w.next = now + 1.0;
            }
        }
    }

    pub(super) fn execute(&mut self, machine: &str, order: Order) {
        let now = self.now;
        self.trace.executed(now, machine, &order);
        let split = |task: &str| wire::split_task(task).map(|(j, i)| (j.to_string(), i));
        match order {
            Order::Start { task, attempt } => {
                let Some((job, index)) = split(&task) else {
                    return;
                };
                let key = (job.clone(), index, attempt);
                if self
                    .workers
                    .get(machine)
                    .is_some_and(|w| w.tasks.contains_key(&key))
                {
                    return;
                }
                self.starts += 1;
                self.check_start(machine, &job, index);
                let saved_s = self.saved_s(&job, index);
                if let Some(w) = self.workers.get_mut(machine) {
                    w.tasks.insert(
                        key,
                        SimTask {
                            state: TaskState::Fetching,
                            why: None,
                            began: now,
                            saved_s,
                            saved: false,
                            saves_until: 0.0,
                        },
                    );
                }
            }
            Order::Stop {
                task,
                attempt,
                grace_s,
            } => {
                let Some((job, index)) = split(&task) else {
                    return;
                };
                let saves_until = self.saves_until(&job, grace_s);
                if let Some(t) = self
                    .workers
                    .get_mut(machine)
                    .and_then(|w| w.tasks.get_mut(&(job, index, attempt)))
                {
                    if let (TaskState::Running, Some(until)) = (t.state, saves_until) {
                        t.state = TaskState::Saving;
                        t.saves_until = until;
                    } else if !matches!(t.state, TaskState::Exited | TaskState::Saving) {
                        t.state = TaskState::Exited;
                        t.why = Some(Why::Stopped);
                    }
                }
            }
            Order::Clear { task, attempt } => {
                let Some((job, index)) = split(&task) else {
                    return;
                };
                if let Some(w) = self.workers.get_mut(machine) {
                    w.tasks.remove(&(job, index, attempt));
                }
            }
        }
    }
}

fn heartbeat_of(machine: &str, w: &Worker, now: f64) -> Heartbeat {
    Heartbeat {
        machine: machine.into(),
        addr: String::new(),
        kind: w.kind.clone(),
        zone: w.zone.clone(),
        spot: w.spot,
        incarnation: w.incarnation,
        seq: w.seq,
        token: w.token,
        notice_s: w.taken_at.map(|at| (at - now).max(0.0)),
        tasks: w
            .tasks
            .iter()
            .map(|((j, i, a), t)| ReportedTask {
                task: wire::task_name(j, *i),
                attempt: *a,
                state: t.state,
                why: t.why,
                saved: t.saved.then_some(true),
            })
            .collect(),
    }
}
