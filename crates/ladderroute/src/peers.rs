//! The controllers' own port: owners connect to the leader and keep one stream of frames.

use crate::controller::limits::max_peer_connections;
use crate::controller::{Controller, Link, ReplicaJobs};
use crate::outbox::Outbox;
use http::within;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::peers::{frame, unframe, ToLeader, ToOwner, FRAME_LIMIT};

/// What one read takes at most.
const READ_AT_ONCE: usize = 16 << 10;

/// The reading side of a connection: many small frames come with one read.
struct Frames {
    stream: TcpStream,
    buf: Vec<u8>,
    /// What of it was handed out already.
    used: usize,
    chunk: Vec<u8>,
}

impl Frames {
    fn new(stream: TcpStream) -> Frames {
        Frames {
            stream,
            buf: Vec::new(),
            used: 0,
            chunk: vec![0; READ_AT_ONCE],
        }
    }

    /// One frame's inside; none at the end or for anything that is not ours.
    async fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            let rest = &self.buf[self.used..];
            if let Some((head, inside)) = rest.split_first_chunk::<4>() {
                let len = u32::from_be_bytes(*head) as usize;
                if len == 0 || len > FRAME_LIMIT {
                    return None;
                }
                if inside.len() >= len {
                    let inside = inside[..len].to_vec();
                    self.used += 4 + len;
                    return Some(inside);
                }
            }
            self.buf.drain(..self.used);
            self.used = 0;
            // Grows with what arrives, so that a false length costs nothing.
            let n = self
                .stream
                .read(&mut self.chunk)
                .await
                .ok()
                .filter(|n| *n > 0)?;
            self.buf.extend_from_slice(&self.chunk[..n]);
        }
    }
}

/// Writes what is queued until the queue is closed or the connection fails.
async fn write_frames(mut stream: TcpStream, queue: Outbox, limit: Duration) {
    while let Some(bytes) = queue.next().await {
        if !matches!(within(limit, stream.write_all(&bytes)).await, Some(Ok(()))) {
            break;
        }
    }
    queue.close();
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Serves the other controllers' connections.
pub async fn serve(node: Rc<Controller>, listener: TcpListener) {
    let most = max_peer_connections(node.settings.known.len());
    let open = Rc::new(std::cell::Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        if open.get() >= most {
            continue;
        }
        open.set(open.get() + 1);
        let (node, open) = (node.clone(), open.clone());
        node.executor
            .clone()
            .spawn(async move {
                owner_connection(&node, stream).await;
                open.set(open.get() - 1);
            })
            .detach();
    }
}

async fn owner_connection(node: &Rc<Controller>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let limit = Duration::from_secs_f64(wire::ANSWER_DROPPED_S);
    let mut frames = Frames::new(stream.clone());
    let Some(Some(first)) = within(limit, frames.next()).await else {
        return;
    };
    let Some(ToLeader::Hello {
        member,
        start,
        count,
    }) = unframe(&first)
    else {
        return;
    };
    if !node.settings.known.iter().any(|p| p.member == member) {
        return;
    }
    let sender = node.outbox();
    {
        let mut guard = node.lock();
        let Some(leadership) = &mut guard.shared.leadership else {
            return;
        };
        if leadership
            .links
            .get(&member)
            .is_some_and(|l| l.start == start && l.count >= count)
        {
            return;
        }
        if let Some(old) = leadership.links.remove(&member) {
            old.frames.close();
            leadership.leader.owner_lost(&member);
        }
        log::info!("event=owner_joined member={member}");
        leadership.leader.owner_heard(&member, node.now());
        leadership.links.insert(
            member.clone(),
            Link {
                frames: sender.clone(),
                start,
                count,
            },
        );
    }
    let writer = node
        .executor
        .spawn(write_frames(stream.clone(), sender.clone(), limit));
    loop {
        // An owner pings often; long silence ends the connection.
        let Some(Some(inside)) = within(limit, frames.next()).await else {
            break;
        };
        let Some(message) = unframe::<ToLeader>(&inside) else {
            break;
        };
        if sender.is_closed() || !on_owner_message(node, &member, &sender, message) {
            break;
        }
    }
    drop(writer);
    let mut guard = node.lock();
    if let Some(leadership) = &mut guard.shared.leadership {
        if leadership
            .links
            .get(&member)
            .is_some_and(|l| l.start == start && l.count == count)
        {
            log::info!("event=owner_left member={member}");
            leadership.links.remove(&member);
            leadership.leader.owner_lost(&member);
        }
    }
}

/// Takes a message of an owner; false if this controller does not lead any more.
fn on_owner_message(node: &Rc<Controller>, member: &str, link: &Outbox, message: ToLeader) -> bool {
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    let Some(leadership) = &mut state.shared.leadership else {
        return false;
    };
    leadership.leader.owner_heard(member, now);
    match message {
        ToLeader::Ping { n } => {
            // Authority of an owner ends before the leader's own, and soon after the last ping.
            let authority = &state.owner.authority;
            let until = authority
                .answers_until()
                .min(now + node.config.owner_silence_s() * 1.25);
            if let Some(valid) = leadership.leader.grant(member, now, until) {
                let token = leadership.leader.token();
                link.send_first(&frame(&ToOwner::Grant {
                    n,
                    token,
                    valid_ms: (valid * 1000.0) as u64,
                }));
                // Behind all that the leader has made of what it knows.
                link.send(frame(&ToOwner::ViewAge {
                    n,
                    age_ms: ((now - authority.read_at()) * 1000.0).ceil() as u64,
                }));
            }
        }
        other => {
            leadership.leader.on_owner_message(member, other, now);
            node.exchange_messages(state);
        }
    }
    true
}

/// Keeps a connection to whoever leads.
pub async fn join_leader(node: Rc<Controller>) {
    let start = fastrand::u64(..);
    let mut count = 0;
    let pause = Duration::from_secs_f64(node.config.heartbeat_s.min(1.0) / 5.0);
    loop {
        let leader = node
            .lock()
            .shared
            .view
            .replica()
            .leader
            .clone()
            .map(|(l, _)| l.member);
        let addr = leader
            .as_ref()
            .and_then(|l| node.settings.known.iter().find(|p| p.member == *l))
            .map(|p| p.addr);
        if let (Some(leader), Some(addr)) = (leader, addr) {
            count += 1;
            let limit = Duration::from_secs_f64(wire::ANSWER_DROPPED_S / 4.0);
            if let Some(Ok(stream)) = within(limit, TcpStream::connect(addr)).await {
                follow_leader(&node, &leader, stream, start, count).await;
                log::info!("event=left_leader member={leader}");
            }
        }
        smol::Timer::after(pause).await;
    }
}

async fn follow_leader(
    node: &Rc<Controller>,
    leader: &str,
    stream: TcpStream,
    start: u64,
    count: u64,
) {
    let _ = stream.set_nodelay(true);
    let limit = Duration::from_secs_f64(wire::ANSWER_DROPPED_S / 2.0);
    let sender = node.outbox();
    let hello = ToLeader::Hello {
        member: node.settings.member.clone(),
        start,
        count,
    };
    sender.send_first(&frame(&hello));
    let writer = node
        .executor
        .spawn(write_frames(stream.clone(), sender.clone(), limit));
    let mut frames = Frames::new(stream);
    let pings: Rc<std::cell::RefCell<HashMap<u64, Instant>>> = Rc::default();
    let next = Rc::new(std::cell::Cell::new(0u64));
    let ping = {
        let (pings, next, sender) = (pings.clone(), next.clone(), sender.clone());
        move || {
            let n = next.get();
            next.set(n + 1);
            let mut p = pings.borrow_mut();
            p.insert(n, Instant::now());
            p.retain(|k, _| k + 64 > n);
            sender.send_first(&frame(&ToLeader::Ping { n }));
        }
    };
    let pinger = {
        let ping = ping.clone();
        let every = Duration::from_secs_f64(node.config.owner_silence_s() / 4.0);
        node.executor.spawn(async move {
            loop {
                ping();
                smol::Timer::after(every).await;
            }
        })
    };
    let mut joined = false;
    while !sender.is_closed() {
        let still = node
            .lock()
            .shared
            .view
            .replica()
            .leader
            .as_ref()
            .is_some_and(|(l, _)| l.member == leader);
        if !still {
            break;
        }
        let Some(Some(inside)) = within(limit, frames.next()).await else {
            break;
        };
        let Some(message) = unframe::<ToOwner>(&inside) else {
            break;
        };
        let now = node.now();
        let mut guard = node.lock();
        let state = &mut *guard;
        match message {
            ToOwner::Grant { n, token, valid_ms } => {
                // Counted from the ping's sending, so that delays only shorten it.
                let sent = pings.borrow().get(&n).copied();
                if let Some(sent) = sent.filter(|_| joined && token == state.owner.token()) {
                    let until = node.at(sent)
                        + valid_ms as f64 / 1000.0 * (1.0 - 2.0 * store::leadership::DRIFT);
                    state.owner.authority.set(until);
                }
            }
            ToOwner::ViewAge { n, age_ms } => {
                // Counted back from the ping's sending: delays only make it older.
                if let Some(sent) = pings.borrow_mut().remove(&n).filter(|_| joined) {
                    let age = age_ms as f64 / 1000.0 * (1.0 + 2.0 * store::leadership::DRIFT);
                    state.owner.authority.prove(node.at(sent) - age);
                }
            }
            ToOwner::RunningCounts { running } => {
                state.shared.running = running.into_iter().collect()
            }
            message => {
                if matches!(message, ToOwner::Epoch { .. }) {
                    if !joined {
                        // Authority from an earlier leader is not authority under this one.
                        joined = true;
                        log::info!("event=joined_leader member={leader}");
                        state.owner.authority.set(f64::MIN);
                        state.shared.to_leader = Some(sender.clone());
                    }
                    ping();
                }
                state.owner.on_leader_message(
                    message,
                    now,
                    &ReplicaJobs(state.shared.view.replica()),
                );
                node.exchange_messages(state);
            }
        }
    }
    node.lock().shared.to_leader = None;
    sender.close();
    drop(pinger);
    drop(writer);
}
