//! The leader's side of the links: accepts the connections of shard owners and grants them the
//! authority to answer workers in response to their pings.

use super::frames::{write_frames, FrameReader};
use crate::controller::limits::max_peer_connections;
use crate::controller::{ConnectionId, Controller, Leadership, Link, State};
use crate::outbox::Outbox;
use sched::authority::Authority;
use smol::net::{TcpListener, TcpStream};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use wire::peers::{decode_frame, encode_frame, ToLeader, ToOwner, CONFIRMING_PING};

/// Time in seconds after which a connection is closed if no message has arrived or a single write
/// has not completed. Owners ping often, so a working connection is never silent for long.
const IDLE_TIMEOUT_S: f64 = wire::HEARTBEAT_RESPONSE_TIMEOUT_S;

/// Pause after a failed accept, for example when the process is out of sockets.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum duration of the authority granted for one ping, as a multiple of the owner timeout, the
/// time after which the leader gives up on a silent owner.
const MAX_GRANT_PER_OWNER_TIMEOUT: f64 = 1.25;

/// Connection of an owner to this leader.
struct OwnerConnection {
    member: String,
    id: ConnectionId,
    outbox: Outbox,
}

/// Whether a connection continues after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Continue,
    /// This controller is no longer the leader.
    End,
}

/// Serves connections from the other controllers.
pub async fn serve(controller: Rc<Controller>, listener: TcpListener) {
    let max_connections = max_peer_connections(controller.settings.peers.len());
    let open_count = Rc::new(Cell::new(0usize));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            smol::Timer::after(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        if open_count.get() >= max_connections {
            continue;
        }
        open_count.set(open_count.get() + 1);
        let (controller, open_count) = (controller.clone(), open_count.clone());
        controller
            .executor
            .clone()
            .spawn(async move {
                serve_connection(&controller, stream).await;
                open_count.set(open_count.get() - 1);
            })
            .detach();
    }
}

async fn serve_connection(controller: &Rc<Controller>, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let timeout = Duration::from_secs_f64(IDLE_TIMEOUT_S);
    let mut frames = FrameReader::new(stream.clone(), timeout);
    let Some(ToLeader::Hello {
        member,
        process,
        sequence,
    }) = next_message(&mut frames).await
    else {
        return;
    };
    let peers = &controller.settings.peers;
    if !peers.iter().any(|peer| peer.member == member) {
        return;
    }
    let connection = OwnerConnection {
        member,
        id: ConnectionId { process, sequence },
        outbox: controller.new_outbox(),
    };
    if !admit(controller, &connection) {
        return;
    }
    let writer = controller.executor.spawn(write_frames(
        stream.clone(),
        connection.outbox.clone(),
        timeout,
    ));
    while let Some(message) = next_message(&mut frames).await {
        if connection.outbox.is_closed()
            || handle_message(controller, &connection, message) == Next::End
        {
            break;
        }
    }
    drop(writer);
    remove_link(controller, &connection);
}

/// Returns the owner's next message, or `None` if the connection has to end.
async fn next_message(frames: &mut FrameReader) -> Option<ToLeader> {
    decode_frame(&frames.next().await?)
}

/// Registers a connection as the owner's link. Returns `false` if this controller does not lead, or
/// if the owner already has a connection that this one does not replace. A connection never
/// replaces a newer one of the same process.
fn admit(controller: &Controller, connection: &OwnerConnection) -> bool {
    let mut guard = controller.lock();
    let Some(leadership) = &mut guard.shared.leadership else {
        return false;
    };
    let member = &connection.member;
    let links = &mut leadership.links;
    if links
        .get(member)
        .is_some_and(|link| !connection.id.replaces(link.id))
    {
        return false;
    }
    if let Some(old) = links.remove(member) {
        old.outbox.close();
        leadership.leader.on_owner_disconnected(member);
    }
    log::info!("event=owner_joined member={member}");
    leadership.leader.on_owner_contact(member, controller.now());
    let link = Link {
        outbox: connection.outbox.clone(),
        id: connection.id,
        confirms: false,
    };
    leadership.links.insert(member.clone(), link);
    true
}

/// Removes the link of a connection that has ended, unless a newer one has replaced it.
fn remove_link(controller: &Controller, connection: &OwnerConnection) {
    let mut guard = controller.lock();
    let Some(leadership) = &mut guard.shared.leadership else {
        return;
    };
    let member = &connection.member;
    let current = leadership.links.get(member).map(|link| link.id);
    if current == Some(connection.id) {
        log::info!("event=owner_left member={member}");
        leadership.links.remove(member);
        leadership.leader.on_owner_disconnected(member);
    }
}

/// Handles a message from an owner.
fn handle_message(
    controller: &Controller,
    connection: &OwnerConnection,
    message: ToLeader,
) -> Next {
    let now = controller.now();
    let mut guard = controller.lock();
    let state = &mut *guard;
    let State { owner, shared } = state;
    let Some(leadership) = &mut shared.leadership else {
        return Next::End;
    };
    leadership.leader.on_owner_contact(&connection.member, now);
    match message {
        ToLeader::Ping { n: CONFIRMING_PING } => {
            if let Some(link) = leadership.links.get_mut(&connection.member) {
                link.confirms = true;
            }
            leadership.leader.repeat_confirmation_request();
            controller.exchange_messages(state);
        }
        ToLeader::Ping { n } => {
            answer_ping(controller, leadership, &owner.authority, connection, n, now)
        }
        other => {
            let leader = &mut leadership.leader;
            leader.on_owner_message(&connection.member, other, now);
            controller.exchange_messages(state);
        }
    }
    Next::Continue
}

/// Grants authority to the owner that sent a ping, and reports the age of the leader's view to it.
/// This is the only place where authority is granted.
fn answer_ping(
    controller: &Controller,
    leadership: &mut Leadership,
    authority: &Authority,
    connection: &OwnerConnection,
    n: u64,
    now: f64,
) {
    // An owner's authority ends no later than the leader's own, and soon after the owner's last
    // ping.
    let grant_expires_at = now + controller.config.owner_timeout_s() * MAX_GRANT_PER_OWNER_TIMEOUT;
    let until = authority.responses_until().min(grant_expires_at);
    let leader = &mut leadership.leader;
    let Some(valid_s) = leader.grant_authority(&connection.member, now, until) else {
        return;
    };
    let grant = ToOwner::Grant {
        n,
        token: leader.token(),
        valid_ms: (valid_s * 1000.0) as u64,
    };
    connection.outbox.send_urgent(&encode_frame(&grant));
    let view_age = ToOwner::ViewAge {
        n,
        age_ms: ((now - authority.read_at()) * 1000.0).ceil() as u64,
    };
    // Queued behind all messages that result from what the leader's view contains, so that the
    // owner has these before it learns the view's age.
    connection.outbox.send(encode_frame(&view_age));
}
