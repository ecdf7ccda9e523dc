//! The workers: they run tasks, send heartbeats and execute the orders in the responses.

use super::*;

/// Identifies one attempt at a task: the job, the index of the task in the job, and the attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskKey {
    pub(super) job: String,
    pub(super) index: u32,
    pub(super) attempt: u64,
}

impl TaskKey {
    /// Parses the task name used in orders.
    fn parse(task: &str, attempt: u64) -> Option<TaskKey> {
        let (job, index) = wire::split_task_name(task)?;
        Some(TaskKey {
            job: job.to_string(),
            index,
            attempt,
        })
    }
}

/// A task on a machine.
#[derive(Clone, Debug)]
pub(super) struct SimTask {
    pub(super) state: TaskState,
    pub(super) why: Option<Why>,
    /// When the machine was ordered to start it or, once it runs, when it began to run.
    pub(super) began_at: f64,
    /// The run time it had completed before it was started here, according to its checkpoints.
    pub(super) saved_s: f64,
    /// Whether it saved its state before it exited because of an order to stop.
    pub(super) saved: bool,
    /// When it finishes saving its state, after an order to stop.
    pub(super) saves_until: f64,
}

impl SimTask {
    fn starting(now: f64, saved_s: f64) -> SimTask {
        SimTask {
            state: TaskState::Fetching,
            why: None,
            began_at: now,
            saved_s,
            saved: false,
            saves_until: 0.0,
        }
    }

    /// Returns the run time of a task, including that covered by the checkpoint it resumed from.
    pub(super) fn ran_s(&self, now: f64) -> f64 {
        self.saved_s + (now - self.began_at)
    }

    fn exit(&mut self, why: Why) {
        self.state = TaskState::Exited;
        self.why = Some(why);
    }

    /// Returns whether the task counts as present in its gang, whose tasks run only while all of
    /// them are present.
    fn is_present_in_gang(&self) -> bool {
        let is_here = matches!(
            self.state,
            TaskState::Waiting | TaskState::Running | TaskState::Saving
        );
        is_here || self.why == Some(Why::Done)
    }

    /// Advances the task to `now` and returns the resulting event, if any. `can_run` is false for a
    /// task of an incomplete gang.
    fn advance(&mut self, now: f64, estimate_s: f64, can_run: bool) -> Option<TaskEvent> {
        match self.state {
            TaskState::Fetching if now - self.began_at > 0.5 => self.state = TaskState::Waiting,
            TaskState::Waiting if can_run => {
                self.state = TaskState::Running;
                self.began_at = now;
                return Some(TaskEvent::Started);
            }
            TaskState::Running if !can_run => self.exit(Why::Peers),
            TaskState::Running if self.ran_s(now) > estimate_s => {
                self.exit(Why::Done);
                return Some(TaskEvent::Completed);
            }
            _ => {}
        }
        None
    }
}

/// A change in the state of a task that comes with time, without an order.
enum TaskEvent {
    Started,
    Completed,
}

/// A heartbeat that awaits its response.
pub(super) struct InFlight {
    pub(super) sent_at: f64,
    pub(super) id: HeartbeatId,
}

/// A machine and the worker on it.
pub(super) struct Worker {
    pub(super) kind: String,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// When it has booted.
    pub(super) up_at: f64,
    /// Whether the machine has failed permanently or been preempted.
    pub(super) gone: bool,
    pub(super) hung_until: f64,
    /// All responses to its heartbeats are lost until this time. The heartbeats still arrive.
    pub(super) responses_lost_until: f64,
    /// All its heartbeats are lost until this time.
    pub(super) heartbeats_lost_until: f64,
    /// When the cloud preempts the machine, if it has given notice.
    pub(super) preempted_at: Option<f64>,
    /// Increases whenever the worker restarts without tasks.
    pub(super) incarnation: u64,
    pub(super) seq: u64,
    /// The highest fencing token received. The worker ignores responses with a lower one.
    pub(super) token: u64,
    pub(super) lease_renewed_at: f64,
    pub(super) tasks: BTreeMap<TaskKey, SimTask>,
    /// The index of the controller to which it sends its heartbeats.
    pub(super) target: usize,
    pub(super) next_heartbeat_at: f64,
    pub(super) in_flight: Option<InFlight>,
}

impl Worker {
    /// Creates the worker of a machine that is booting until `up_at`.
    pub(super) fn booting(request: &ProvisionRequest, up_at: f64, target: usize) -> Worker {
        Worker {
            kind: request.kind.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
            up_at,
            gone: false,
            hung_until: 0.0,
            responses_lost_until: 0.0,
            heartbeats_lost_until: 0.0,
            preempted_at: None,
            incarnation: 1,
            seq: 0,
            token: 0,
            lease_renewed_at: up_at,
            tasks: BTreeMap::new(),
            target,
            next_heartbeat_at: up_at,
            in_flight: None,
        }
    }

    /// Returns the tasks that have not exited.
    pub(super) fn live_tasks(&self) -> impl Iterator<Item = &TaskKey> {
        let live = self
            .tasks
            .iter()
            .filter(|(_, task)| task.state != TaskState::Exited);
        live.map(|(key, _)| key)
    }

    /// Restarts the worker with a new incarnation and without tasks. It no longer awaits a response
    /// to a heartbeat of the previous incarnation.
    pub(super) fn restart(&mut self, now: f64) {
        self.tasks.clear();
        self.incarnation += 1;
        self.lease_renewed_at = now;
        self.in_flight = None;
    }

    /// Makes the machine fail permanently.
    pub(super) fn die(&mut self) {
        self.gone = true;
        self.tasks.clear();
    }

    /// Advances all tasks and returns those that started to run or completed.
    fn advance_tasks(
        &mut self,
        now: f64,
        jobs: &BTreeMap<String, JobState>,
        complete_gangs: &BTreeSet<GangAttempt>,
    ) -> Vec<(TaskKey, TaskEvent)> {
        let mut events = Vec::new();
        for (key, task) in &mut self.tasks {
            let Some(job) = jobs.get(&key.job) else {
                continue;
            };
            let gang_attempt = (key.job.clone(), key.attempt);
            let can_run = job.spec.shape != Shape::Gang || complete_gangs.contains(&gang_attempt);
            if let Some(event) = task.advance(now, job.spec.estimate_s, can_run) {
                events.push((key.clone(), event));
            }
        }
        events
    }

    fn try_another_controller(&mut self, now: f64) {
        self.target = (self.target + 1) % CONTROLLERS;
        self.next_heartbeat_at = now + 1.0;
    }

    /// Gives up on a heartbeat without a response after 4 s and tries another controller.
    fn time_out_heartbeat(&mut self, now: f64) {
        let in_flight = self.in_flight.as_ref();
        if in_flight.is_some_and(|heartbeat| now - heartbeat.sent_at > 4.0) {
            self.in_flight = None;
            self.try_another_controller(now);
        }
    }

    /// Returns the next heartbeat if it is due and none is in flight.
    fn next_heartbeat(&mut self, machine: &str, now: f64, every_s: f64) -> Option<Heartbeat> {
        if self.in_flight.is_some() || now < self.next_heartbeat_at {
            return None;
        }
        self.seq += 1;
        let id = HeartbeatId {
            incarnation: self.incarnation,
            seq: self.seq,
        };
        self.in_flight = Some(InFlight { sent_at: now, id });
        self.next_heartbeat_at = now + every_s;
        Some(self.heartbeat(machine, now))
    }

    fn heartbeat(&self, machine: &str, now: f64) -> Heartbeat {
        let reported = |(key, task): (&TaskKey, &SimTask)| ReportedTask {
            task: wire::task_name(&key.job, key.index),
            attempt: key.attempt,
            state: task.state,
            why: task.why,
            saved: task.saved.then_some(true),
        };
        Heartbeat {
            machine: machine.into(),
            addr: String::new(),
            kind: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            seq: self.seq,
            token: self.token,
            notice_s: self.preempted_at.map(|at| (at - now).max(0.0)),
            tasks: self.tasks.iter().map(reported).collect(),
        }
    }

    /// Returns whether a response to this heartbeat reaches the worker and is still awaited.
    fn expects_response(&self, to: HeartbeatId, now: f64) -> bool {
        let is_awaited = self
            .in_flight
            .as_ref()
            .is_some_and(|heartbeat| heartbeat.id == to);
        let is_reachable = !self.gone && now >= self.responses_lost_until;
        is_reachable && is_awaited && self.incarnation == to.incarnation
    }
}

/// One attempt at a gang, as the job id and the attempt.
type GangAttempt = (String, u64);

impl World {
    /// Runs the tasks of all workers and sends their heartbeats.
    pub(super) fn run_workers(&mut self) {
        let complete_gangs = self.complete_gangs();
        let mut started: BTreeSet<String> = BTreeSet::new();
        let machines: Vec<String> = self.workers.keys().cloned().collect();
        for machine in machines {
            self.run_worker(&machine, &complete_gangs, &mut started);
        }
        self.record_first_starts(started);
    }

    fn run_worker(
        &mut self,
        machine: &str,
        complete_gangs: &BTreeSet<GangAttempt>,
        started: &mut BTreeSet<String>,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.gone || now < worker.up_at {
            return;
        }
        if now - worker.lease_renewed_at > self.config.lease_s {
            // On lease expiry all tasks are killed and forgotten, even if the machine hangs.
            self.lease_expiries += 1;
            worker.restart(now);
        }
        if now < worker.hung_until {
            return;
        }
        for (key, event) in worker.advance_tasks(now, &self.jobs, complete_gangs) {
            match event {
                TaskEvent::Started => started.insert(key.job),
                TaskEvent::Completed => self.completed.insert((key.job, key.index)),
            };
        }
        worker.time_out_heartbeat(now);
        let heartbeat = worker.next_heartbeat(machine, now, self.config.heartbeat_s);
        let (to, is_lost) = (worker.target, now < worker.heartbeats_lost_until);
        if let Some(heartbeat) = heartbeat.filter(|_| !is_lost) {
            self.send_heartbeat(to, heartbeat);
        }
    }

    /// Sends a heartbeat. 2 % of all heartbeats are sent twice, and for `late_copy_percent` of them
    /// a duplicate arrives much later.
    fn send_heartbeat(&mut self, to: usize, heartbeat: Heartbeat) {
        let now = self.now;
        self.trace.reported(now, to, &heartbeat);
        let message = |heartbeat| Message::Heartbeat {
            to,
            heartbeat: Box::new(heartbeat),
        };
        let is_duplicated = self.rng.u32(0..100) < 2;
        for _ in 0..=u32::from(is_duplicated) {
            if let Some(delay) = self.draw_message_delay() {
                self.send(now + delay, message(heartbeat.clone()));
            }
        }
        // Late duplicates arrive between one second and well over a lease later.
        if self.rng.u32(0..100) < self.late_copy_percent {
            let delay = 1.0 + self.rng.f64() * self.config.lease_s * 3.0;
            self.send(now + delay, message(heartbeat));
        }
    }

    /// Returns the gang attempts whose tasks are all present on machines.
    fn complete_gangs(&self) -> BTreeSet<GangAttempt> {
        let mut present: BTreeMap<GangAttempt, u32> = BTreeMap::new();
        let tasks = self.workers.values().flat_map(|worker| &worker.tasks);
        for (key, _) in tasks.filter(|(_, task)| task.is_present_in_gang()) {
            *present.entry((key.job.clone(), key.attempt)).or_default() += 1;
        }
        let is_complete = |id: &String, tasks: u32| {
            let job = self.jobs.get(id);
            job.is_some_and(|job| job.spec.tasks == tasks)
        };
        present
            .into_iter()
            .filter(|((id, _), tasks)| is_complete(id, *tasks))
            .map(|(gang_attempt, _)| gang_attempt)
            .collect()
    }

    /// Processes a response to a heartbeat that has reached a worker.
    pub(super) fn receive_response(
        &mut self,
        machine: &str,
        heartbeat: HeartbeatId,
        response: HeartbeatResponse,
    ) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if now < worker.hung_until {
            // The response is queued until the machine resumes. The worker may have given up on it
            // by then.
            let arrives_at = worker.hung_until + STEP_S;
            let worker = machine.into();
            let response = Message::Response {
                worker,
                heartbeat,
                response,
            };
            return self.send(arrives_at, response);
        }
        if !worker.expects_response(heartbeat, now) {
            return;
        }
        let Some(sent_at) = worker.in_flight.take().map(|heartbeat| heartbeat.sent_at) else {
            return;
        };
        match response {
            HeartbeatResponse::Orders(orders) => self.accept_orders(machine, sent_at, orders),
            HeartbeatResponse::Redirect(member) => {
                worker.target = controller_index(&member);
                worker.next_heartbeat_at = now + 0.1;
            }
            HeartbeatResponse::Unavailable => worker.try_another_controller(now),
        }
    }

    /// Renews a worker's lease and executes the orders in a response, unless its token is outdated.
    fn accept_orders(&mut self, machine: &str, sent_at: f64, response: Orders) {
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if response.token < worker.token {
            return;
        }
        if response.token > worker.token {
            worker.next_heartbeat_at = worker.next_heartbeat_at.min(self.now + 0.5);
        }
        worker.token = response.token;
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent_at);
        for order in response.orders {
            self.execute(machine, order, sent_at);
        }
    }

    /// Executes an order from the response to a heartbeat that was sent at `heartbeat_sent_at`.
    fn execute(&mut self, machine: &str, order: Order, heartbeat_sent_at: f64) {
        self.trace.executed(self.now, machine, &order);
        match order {
            Order::Start { task, attempt } => {
                if let Some(key) = TaskKey::parse(&task, attempt) {
                    self.start_task(machine, key, heartbeat_sent_at);
                }
            }
            Order::Stop {
                task,
                attempt,
                grace_s,
            } => {
                if let Some(key) = TaskKey::parse(&task, attempt) {
                    self.stop_task(machine, &key, grace_s);
                }
            }
            Order::Clear { task, attempt } => {
                let worker = self.workers.get_mut(machine);
                if let (Some(worker), Some(key)) = (worker, TaskKey::parse(&task, attempt)) {
                    worker.tasks.remove(&key);
                }
            }
        }
    }

    fn start_task(&mut self, machine: &str, key: TaskKey, heartbeat_sent_at: f64) {
        let worker = self.workers.get(machine);
        if worker.is_some_and(|worker| worker.tasks.contains_key(&key)) {
            return;
        }
        self.tasks_started += 1;
        self.check_start(machine, &key.job, key.index);
        self.check_not_reported_cancelled(&key.job, heartbeat_sent_at);
        self.check_not_under_release(machine, heartbeat_sent_at);
        let task = SimTask::starting(self.now, self.saved_s(&key.job, key.index));
        if let Some(worker) = self.workers.get_mut(machine) {
            worker.tasks.insert(key, task);
        }
    }

    fn stop_task(&mut self, machine: &str, key: &TaskKey, grace_s: f64) {
        let saves_until = self.saves_until(&key.job, grace_s);
        let worker = self.workers.get_mut(machine);
        let Some(task) = worker.and_then(|worker| worker.tasks.get_mut(key)) else {
            return;
        };
        match (task.state, saves_until) {
            (TaskState::Running, Some(until)) => {
                task.state = TaskState::Saving;
                task.saves_until = until;
            }
            (TaskState::Exited | TaskState::Saving, _) => {}
            _ => task.exit(Why::Stopped),
        }
    }
}
