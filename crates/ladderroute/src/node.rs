//! One controller: its shared state and how the pieces are started.

use crate::cluster_view::ClusterView;
use crate::counters::Counters;
use crate::outbox::Outbox;
use crate::settings::{Settings, StateLimits, Tuning};
use crate::writer::TxnLimits;
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader};
use sched::owner::{Jobs, Owner};
use sched::placement::Resources;
use smol::channel::Sender;
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};
use store::budget::Rates;
use store::client::Store;
use store::leadership::LeadershipLease;
use store::replica::Replica;
use wire::cloud::MachineType;
use wire::peers::{frame, ToOwner};
use wire::store::Recorded;

/// Part of the memory that messages waiting for one slow connection between controllers may take;
/// more ends it.
const OUTBOX_SHARE: f64 = 1.0 / 32.0;

/// A leadership of this controller.
pub struct Leadership {
    pub leader: Leader,
    pub lease: LeadershipLease,
    pub records: crate::writer::RecordPages,
    /// What its transactions may hold.
    pub limits: TxnLimits,
    /// Decisions that have to be written, and requests to the cloud.
    pub writes: VecDeque<Action>,
    pub cloud: VecDeque<Action>,
    pub links: HashMap<String, Link>,
}

/// A connection of another controller to this leader.
pub struct Link {
    pub frames: Outbox,
    /// Which process and which of its connections: an older one never replaces a newer one.
    pub start: u64,
    pub count: u64,
}

/// What the tasks of this process share beside the owner's state.
pub struct Shared {
    /// What this controller knows of the store.
    pub view: ClusterView,
    pub catalog: Option<Vec<MachineType>>,
    pub leadership: Option<Leadership>,
    /// Running tasks by job, as the leader last told.
    pub running: HashMap<String, u32>,
    /// Messages to the leader, while there is a connection.
    pub to_leader: Option<Outbox>,
    pub store_failing_since: Option<Instant>,
}

/// All that lives behind the one lock.
pub struct State {
    pub owner: Owner,
    pub shared: Shared,
}

impl Shared {
    fn new(view: ClusterView) -> Shared {
        Shared {
            view,
            catalog: None,
            leadership: None,
            running: HashMap::new(),
            to_leader: None,
            store_failing_since: None,
        }
    }
}

pub struct Node {
    pub settings: Settings,
    pub config: SchedulerConfig,
    /// The limits of the state service that this process keeps to.
    pub limits: StateLimits,
    pub store: Store,
    pub cloud: http::client::Client,
    pub executor: Rc<smol::LocalExecutor<'static>>,
    pub started_at: Instant,
    pub state: Mutex<State>,
    pub freshness_reads: crate::freshness::FreshnessReads,
    pub counters: Counters,
    pub writer_wake: (Sender<()>, smol::channel::Receiver<()>),
    pub provisioning_wake: (Sender<()>, smol::channel::Receiver<()>),
    pub seed: Cell<u64>,
}

/// What owners need to know of jobs, out of the replica.
pub struct ReplicaJobs<'a>(pub &'a Replica);

impl Jobs for ReplicaJobs<'_> {
    fn resources(&self, job: &str) -> Option<Resources> {
        let j = self.0.jobs.get(job)?.job.as_ref()?;
        Some(Resources {
            cpus: j.cpus,
            gpus: j.gpus,
            memory_gb: j.memory_gb,
        })
    }
    fn image(&self, job: &str) -> Option<String> {
        Some(self.0.jobs.get(job)?.job.as_ref()?.image.clone())
    }
    fn is_terminal(&self, job: &str) -> bool {
        self.0
            .jobs
            .get(job)
            .is_some_and(|e| e.state != Recorded::Open)
    }
}

impl Node {
    pub fn now(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    /// An instant on the scale of `now`.
    pub fn at(&self, t: Instant) -> f64 {
        t.saturating_duration_since(self.started_at).as_secs_f64()
    }

    /// For how long the view has not been proved to hold all that the store holds, in seconds.
    pub fn view_age(&self) -> f64 {
        self.now() - self.lock().shared.view.read_at()
    }

    /// A queue for a connection to another controller.
    pub fn outbox(&self) -> Outbox {
        Outbox::new(
            (self.settings.settings.quota.memory_mb * 1024.0 * 1024.0 * OUTBOX_SHARE) as usize,
        )
    }

    /// The shared state; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The leader's store lease.
    pub fn leader_ttl(&self) -> Duration {
        Duration::from_secs_f64(self.config.leader_lease_s)
    }

    /// Notes whether the store answers, for `/ready`.
    pub fn note_store_health(&self, ok: bool) {
        let mut s = self.lock();
        match (ok, s.shared.store_failing_since) {
            (true, _) => s.shared.store_failing_since = None,
            (false, None) => s.shared.store_failing_since = Some(Instant::now()),
            _ => {}
        }
    }

    /// Moves what the owner and the leader have to say to each other and outside.
    pub fn exchange_messages(&self, state: &mut State) {
        let now = self.now();
        let State { owner, shared } = state;
        loop {
            let mut idle = true;
            for message in owner.drain() {
                match (&mut shared.leadership, &shared.to_leader) {
                    (Some(leadership), _) => {
                        leadership
                            .leader
                            .on_owner_message(&self.settings.member, message, now)
                    }
                    (None, Some(link)) => link.send(frame(&message)),
                    _ => {}
                }
                idle = false;
            }
            let Some(leadership) = &mut shared.leadership else {
                return;
            };
            for action in leadership.leader.drain() {
                idle = false;
                match action {
                    Action::Send(to, message) if to == self.settings.member => {
                        if let ToOwner::RunningCounts { running } = message {
                            shared.running = running.into_iter().collect();
                        } else {
                            owner.on_leader_message(
                                message,
                                now,
                                &ReplicaJobs(shared.view.replica()),
                            );
                        }
                    }
                    Action::Send(to, message) => {
                        if let Some(link) = leadership.links.get(&to) {
                            link.frames.send(frame(&message));
                        }
                    }
                    action @ (Action::Provision(_) | Action::Deprovision(_)) => {
                        leadership.cloud.push_back(action);
                        let _ = self.provisioning_wake.0.try_send(());
                    }
                    action => {
                        leadership.writes.push_back(action);
                        let _ = self.writer_wake.0.try_send(());
                    }
                }
            }
            if idle {
                return;
            }
        }
    }
}

/// A controller that has not begun to run.
pub fn new(
    settings: Settings,
    tuning: &Tuning,
    executor: Rc<smol::LocalExecutor<'static>>,
) -> Rc<Node> {
    let config = settings.scheduler_config(tuning);
    let p = settings.settings.clone();
    let shares = crate::leadership::store_shares(false, settings.known.len());
    let limits = p.state.limits();
    let rates = Rates {
        requests_per_s: limits.rps,
        writes_per_s: limits.write_rps,
    };
    let chunk_bits = sched::leader::chunk_bits(p.state.value_kb);
    let shared = Shared::new(ClusterView::new(chunk_bits));
    let limit = Duration::from_secs_f64((config.lease_s * 0.1).clamp(0.5, 1.5));
    Rc::new(Node {
        store: Store::new(settings.services.state, rates, shares, limit),
        cloud: http::client::Client::new(settings.services.cloud, 2, 4 << 20),
        executor,
        started_at: Instant::now(),
        state: Mutex::new(State {
            owner: Owner::new(&settings.member, config.clone()),
            shared,
        }),
        freshness_reads: crate::freshness::FreshnessReads::default(),
        counters: Counters::default(),
        writer_wake: smol::channel::bounded(1),
        provisioning_wake: smol::channel::bounded(1),
        seed: Cell::new(fastrand::u64(..)),
        config,
        limits,
        settings,
    })
}

/// Says what the settings make impossible, though the service starts with them.
pub fn warn_if_tight(config: &SchedulerConfig) {
    if !config.cancels_in_time() {
        let (lease_s, cancel_s) = (config.lease_s, config.cancel_s);
        log::error!("event=settings_tight lease_s={lease_s} cancel_s={cancel_s} error=\"a cancelled task may run on for longer than cancel_s while the state service fails\"");
    }
}

/// Runs the controller until its listeners fail.
pub fn run(settings: Settings, tuning: Tuning) -> std::io::Result<()> {
    let executor = Rc::new(smol::LocalExecutor::new());
    let node = new(settings, &tuning, executor.clone());
    log::info!(
        "event=start member={} api={} back={}",
        node.settings.member,
        node.settings.api_addr,
        node.settings.back
    );
    warn_if_tight(&node.config);
    let run = executor.clone();
    smol::block_on(run.run(async move {
        let api = smol::net::TcpListener::bind(node.settings.api_addr).await?;
        let back = smol::net::TcpListener::bind(node.settings.back).await?;
        executor
            .spawn(crate::freshness::follow(node.clone()))
            .detach();
        executor
            .spawn(crate::leadership::campaign(node.clone()))
            .detach();
        executor
            .spawn(crate::peers::serve(node.clone(), back))
            .detach();
        executor
            .spawn(crate::peers::join_leader(node.clone()))
            .detach();
        executor
            .spawn(crate::provisioning::learn_catalog(node.clone()))
            .detach();
        executor.spawn(tick(node.clone())).detach();
        crate::api::serve(node, api).await;
        Ok(())
    }))
}

/// Lets time pass for the owner's state.
async fn tick(node: Rc<Node>) {
    let step = Duration::from_secs_f64((node.config.heartbeat_s / 20.0).clamp(0.05, 0.1));
    let mut log = AuthorityLog::default();
    loop {
        smol::Timer::after(step).await;
        let now = node.now();
        let mut state = node.lock();
        state.owner.tick(now);
        log.look_at(&node, &state, now);
        node.exchange_messages(&mut state);
    }
}

/// Logs changes of authority and the running summary.
#[derive(Default)]
struct AuthorityLog {
    has_authority: bool,
    summary: String,
    summed_up_at: f64,
}

impl AuthorityLog {
    fn look_at(&mut self, node: &Node, state: &State, now: f64) {
        let has_authority = state.owner.has_authority(now);
        if std::mem::replace(&mut self.has_authority, has_authority) != has_authority {
            let authority = &state.owner.authority;
            log::info!(
                "event=authority held={has_authority} token={} lasts_s={:.2} staleness_s={:.2} view_age_s={:.2}",
                state.owner.token(),
                authority.until() - now,
                now - authority.read_at(),
                now - state.shared.view.read_at()
            );
        }
        let is_due = now - self.summed_up_at >= node.config.lease_s;
        if !is_due || !log::log_enabled!(log::Level::Info) {
            return;
        }
        self.summed_up_at = now;
        let summary = node.counters.to_string();
        if summary != self.summary {
            log::info!("event=health {summary}");
            self.summary = summary;
        }
    }
}
