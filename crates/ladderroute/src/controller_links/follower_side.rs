//! The shard owner's side of the links: keeps a connection to the current leader and applies the
//! authority to answer workers that the leader grants.

use super::frames::{write_frames, FrameReader};
use crate::controller::{ConnectionId, Controller, ReplicaJobs, State};
use crate::outbox::Outbox;
use http::with_timeout;
use sched::config::SchedulerConfig;
use sched::owner::Owner;
use smol::net::TcpStream;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::leadership::MAX_CLOCK_DRIFT;
use wire::peers::{decode_frame, encode_frame, ToLeader, ToOwner, CONFIRMING_PING};

/// Timeout for connecting to the leader, in seconds.
const CONNECT_TIMEOUT_S: f64 = wire::HEARTBEAT_RESPONSE_TIMEOUT_S / 4.0;

/// Time in seconds after which the connection is closed if no message has arrived or a single write
/// has not completed. The leader answers pings, so a working connection is never silent for long.
const IDLE_TIMEOUT_S: f64 = wire::HEARTBEAT_RESPONSE_TIMEOUT_S / 2.0;

/// Number of pings that an owner sends in the owner timeout, the time after which the leader gives
/// up on a silent owner.
const PINGS_PER_OWNER_TIMEOUT: f64 = 4.0;

/// Number of pings that an owner sends in the time for which a view is fresh enough for starts: the
/// answers tell it of the leader's reads of the store.
const PINGS_PER_START_STALENESS: f64 = 4.0;

/// Number of the newest pings whose answers are still accepted.
const MAX_PENDING_PINGS: u64 = 64;

/// Maximum relative drift between two clocks. Each may drift from true time by `MAX_CLOCK_DRIFT`,
/// possibly in opposite directions, so the two drifts add up.
const RELATIVE_DRIFT: f64 = 2.0 * MAX_CLOCK_DRIFT;

/// Keeps a connection to the current leader, if that is another controller.
pub async fn join_leader(controller: Rc<Controller>) {
    let connect_timeout = Duration::from_secs_f64(CONNECT_TIMEOUT_S);
    let process = fastrand::u64(..);
    let mut sequence = 0;
    let retry_pause = Duration::from_secs_f64(controller.config.heartbeat_s.min(1.0) / 5.0);
    loop {
        if let Some((leader, address)) = remote_leader(&controller) {
            sequence += 1;
            let connected = with_timeout(connect_timeout, TcpStream::connect(address)).await;
            if let Some(Ok(stream)) = connected {
                let id = ConnectionId { process, sequence };
                follow_leader(&controller, &leader, stream, id).await;
                log::info!("event=left_leader member={leader}");
            }
        }
        smol::Timer::after(retry_pause).await;
    }
}

/// Returns the name and the address of the leader according to the view, if it is another
/// controller.
fn remote_leader(controller: &Controller) -> Option<(String, SocketAddr)> {
    let leader = leading_member(controller)?;
    let peers = &controller.settings.peers;
    let peer = peers.iter().find(|peer| peer.member == leader)?;
    Some((leader, peer.addr))
}

/// Returns the name of the leader according to the view.
fn leading_member(controller: &Controller) -> Option<String> {
    let state = controller.lock();
    let leader = state.shared.view.replica().leader.record();
    leader.map(|record| record.member.clone())
}

/// Handles the leader's messages until it no longer leads or the connection ends.
async fn follow_leader(
    controller: &Rc<Controller>,
    leader: &str,
    stream: TcpStream,
    id: ConnectionId,
) {
    let _ = stream.set_nodelay(true);
    let timeout = Duration::from_secs_f64(IDLE_TIMEOUT_S);
    let outbox = controller.new_outbox();
    let hello = ToLeader::Hello {
        member: controller.settings.member.clone(),
        process: id.process,
        sequence: id.sequence,
    };
    outbox.send_urgent(&encode_frame(&hello));
    outbox.send_urgent(&encode_frame(&ToLeader::Ping { n: CONFIRMING_PING }));
    let writer = controller
        .executor
        .spawn(write_frames(stream.clone(), outbox.clone(), timeout));
    let mut frames = FrameReader::new(stream, timeout);
    let pings = Rc::new(Pings::new(outbox.clone()));
    let interval = ping_interval(&controller.config);
    let pinger = controller
        .executor
        .spawn(send_pings(pings.clone(), interval));
    let mut connection = LeaderConnection {
        leader,
        outbox,
        pings,
        has_joined: false,
    };
    while !connection.outbox.is_closed() && is_leader(controller, leader) {
        let Some(message) = next_message(&mut frames).await else {
            break;
        };
        connection.handle_message(controller, message);
    }
    controller.lock().shared.leader_outbox = None;
    connection.outbox.close();
    drop(pinger);
    drop(writer);
}

/// Returns the leader's next message, or `None` if the connection has to end.
async fn next_message(frames: &mut FrameReader) -> Option<ToOwner> {
    decode_frame(&frames.next().await?)
}

fn is_leader(controller: &Controller, member: &str) -> bool {
    let state = controller.lock();
    let leader = state.shared.view.replica().leader.record();
    leader.is_some_and(|record| record.member == member)
}

/// Pings of one connection. Authority that the leader grants in response to a ping lasts from when
/// the ping was sent.
struct Pings {
    outbox: Outbox,
    next: Cell<u64>,
    sent_at: RefCell<HashMap<u64, Instant>>,
}

impl Pings {
    fn new(outbox: Outbox) -> Pings {
        Pings {
            outbox,
            next: Cell::new(0),
            sent_at: RefCell::default(),
        }
    }

    fn send(&self) {
        let n = self.next.replace(self.next.get() + 1);
        let mut sent_at = self.sent_at.borrow_mut();
        sent_at.insert(n, Instant::now());
        sent_at.retain(|k, _| k + MAX_PENDING_PINGS > n);
        self.outbox
            .send_urgent(&encode_frame(&ToLeader::Ping { n }));
    }

    /// Returns when a ping was sent, or `None` if it was never sent or is no longer remembered.
    fn sent_at(&self, n: u64) -> Option<Instant> {
        self.sent_at.borrow().get(&n).copied()
    }

    fn forget(&self, n: u64) {
        self.sent_at.borrow_mut().remove(&n);
    }
}

fn ping_interval(config: &SchedulerConfig) -> Duration {
    let for_authority_s = config.owner_timeout_s() / PINGS_PER_OWNER_TIMEOUT;
    let for_starts_s = config.max_start_staleness_s() / PINGS_PER_START_STALENESS;
    Duration::from_secs_f64(for_authority_s.min(for_starts_s))
}

async fn send_pings(pings: Rc<Pings>, interval: Duration) {
    loop {
        pings.send();
        smol::Timer::after(interval).await;
    }
}

/// Connection of this owner to the leader.
struct LeaderConnection<'a> {
    leader: &'a str,
    outbox: Outbox,
    pings: Rc<Pings>,
    /// Whether the leader has begun an epoch (a period with its own fencing token) on this
    /// connection. Until then, grants of authority are ignored.
    has_joined: bool,
}

impl LeaderConnection<'_> {
    /// Handles a message from the leader.
    fn handle_message(&mut self, controller: &Controller, message: ToOwner) {
        let now = controller.now();
        let mut guard = controller.lock();
        let state = &mut *guard;
        match message {
            ToOwner::Grant { n, token, valid_ms } => {
                self.apply_grant(controller, &mut state.owner, n, token, valid_ms)
            }
            ToOwner::ViewAge { n, age_ms } => {
                self.apply_view_age(controller, &mut state.owner, n, age_ms)
            }
            ToOwner::RunningCounts { running } => {
                state.shared.running = running.into_iter().collect()
            }
            ToOwner::CancellationsConfirmed { jobs } => {
                state.shared.cancellations.on_confirmed(&jobs, now)
            }
            message => {
                if matches!(message, ToOwner::Epoch { .. }) {
                    self.join(state);
                    self.pings.send();
                }
                let jobs = ReplicaJobs(state.shared.view.replica());
                state.owner.on_leader_message(message, now, &jobs);
                controller.exchange_messages(state);
            }
        }
    }

    /// Handles the start of an epoch. With the first epoch on this connection, this owner joins the
    /// leader.
    fn join(&mut self, state: &mut State) {
        if std::mem::replace(&mut self.has_joined, true) {
            return;
        }
        log::info!("event=joined_leader member={}", self.leader);
        // Authority granted by an earlier leader is not valid under this one.
        state.owner.authority.set_until(f64::MIN);
        state.shared.leader_outbox = Some(self.outbox.clone());
        // Requests that wait for an earlier leader's confirmation get it from this one.
        for job in state.shared.cancellations.waiting_jobs() {
            self.outbox.send(encode_frame(&ToLeader::Cancelled { job }));
        }
    }

    /// Applies the authority granted by the leader. This is the only place where an owner receives
    /// authority from another controller.
    fn apply_grant(
        &self,
        controller: &Controller,
        owner: &mut Owner,
        n: u64,
        token: u64,
        valid_ms: u64,
    ) {
        let is_current = self.has_joined && token == owner.token();
        // The authority lasts from when the ping was sent, so that delays only shorten it.
        if let Some(sent_at) = self.pings.sent_at(n).filter(|_| is_current) {
            let valid_s = valid_ms as f64 / 1000.0 * (1.0 - RELATIVE_DRIFT);
            owner
                .authority
                .set_until(controller.secs_since_start(sent_at) + valid_s);
        }
    }

    /// Applies the age of the leader's view: what this owner knows of the store is at most this
    /// stale.
    fn apply_view_age(&self, controller: &Controller, owner: &mut Owner, n: u64, age_ms: u64) {
        let sent_at = self.pings.sent_at(n);
        self.pings.forget(n);
        // The age is subtracted from when the ping was sent, so that delays only make the view
        // older.
        if let Some(sent_at) = sent_at.filter(|_| self.has_joined) {
            let age_s = age_ms as f64 / 1000.0 * (1.0 + RELATIVE_DRIFT);
            owner
                .authority
                .record_read(controller.secs_since_start(sent_at) - age_s);
        }
    }
}
