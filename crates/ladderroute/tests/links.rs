//! Links between controllers: the owner of a shard connects to the leader over loopback and is granted
//! authority.

// Clippy allows `unwrap` in test functions, but not in their helpers. An `unwrap` that panics makes the test
// fail at the call that failed.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod stand_in;

use ladderroute::controller::{ConnectionId, Controller};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use stand_in::links::{has_authority, wait_until, with_link, LinkedControllers};
use std::time::{Duration, Instant};
use wire::peers::{decode_frame, encode_frame, ToLeader, ToOwner, CONFIRMING_PING, LENGTH_BYTES};

/// Returns the id of the connection that the leader uses for the owner, if any.
fn owner_connection(leader: &Controller) -> Option<ConnectionId> {
    let state = leader.lock();
    let links = &state.shared.leadership.as_ref()?.links;
    links.get("rung-1").map(|link| link.id)
}

/// An owner that connects to the leader is granted authority under the fencing token of the leader.
#[test]
fn joining_owner_is_granted_authority() {
    with_link(|LinkedControllers { leader, owner, .. }| async move {
        wait_until("the owner is granted authority", || has_authority(&owner)).await;
        assert!(owner.lock().shared.leader_outbox.is_some());
        assert_eq!(owner.lock().owner.token(), leader.lock().owner.token());
        // The owner keeps its authority by sending pings: the answer to each extends the authority.
        let first = owner.lock().owner.authority.until();
        let is_renewed = || owner.lock().owner.authority.until() > first;
        wait_until("the authority is renewed", is_renewed).await;
    });
}

#[test]
fn owner_reconnects_when_its_link_ends() {
    with_link(|LinkedControllers { leader, owner, .. }| async move {
        wait_until("the owner is granted authority", || has_authority(&owner)).await;
        let first = owner_connection(&leader).unwrap();
        owner.lock().shared.leader_outbox.as_ref().unwrap().close();
        let newer = || owner_connection(&leader).is_some_and(|id| id.replaces(first));
        wait_until("the owner reconnects", newer).await;
        let second = owner_connection(&leader).unwrap();
        assert_eq!(second.process, first.process);
        assert!(second.sequence > first.sequence);
    });
}

/// A delayed connection that is no newer than the one in use must not replace it, and a controller that is
/// not in the settings is rejected.
#[test]
fn stale_and_unknown_connections_are_rejected() {
    with_link(|linked| async move {
        let LinkedControllers {
            leader,
            owner,
            link_addr,
            ..
        } = linked;
        wait_until("the owner is granted authority", || has_authority(&owner)).await;
        let current = owner_connection(&leader).unwrap();
        for (member, process, sequence) in [
            ("rung-1", current.process, current.sequence),
            ("rung-1", current.process, current.sequence - 1),
            ("rung-7", current.process.wrapping_add(1), 1),
        ] {
            let member = member.to_string();
            let mut stream = TcpStream::connect(link_addr).await.unwrap();
            let hello = encode_frame(&ToLeader::Hello {
                member,
                process,
                sequence,
            });
            stream.write_all(&hello).await.unwrap();
            let read = stream.read(&mut [0; 64]).await;
            assert!(matches!(read, Ok(0) | Err(_)), "{read:?}");
            assert_eq!(owner_connection(&leader), Some(current));
        }
    });
}

#[test]
fn connection_replaces_older_and_other_processes() {
    let id = |process, sequence| ConnectionId { process, sequence };
    assert!(id(1, 2).replaces(id(1, 1)));
    assert!(id(2, 1).replaces(id(1, 5)));
    assert!(!id(1, 1).replaces(id(1, 1)));
    assert!(!id(1, 1).replaces(id(1, 2)));
}

/// Reads the messages that arrive on a link within `duration`, keeping it alive with pings.
async fn read_messages(stream: &mut TcpStream, duration: Duration) -> Vec<ToOwner> {
    let (mut received, mut buffer) = (Vec::new(), [0; 4096]);
    let end = Instant::now() + duration;
    for n in 0.. {
        if Instant::now() > end {
            break;
        }
        let ping = encode_frame(&ToLeader::Ping { n });
        stream.write_all(&ping).await.unwrap();
        let read = http::with_timeout(Duration::from_millis(50), stream.read(&mut buffer)).await;
        if let Some(Ok(bytes)) = read {
            received.extend_from_slice(&buffer[..bytes]);
        }
    }
    decode_frames(&received)
}

fn decode_frames(mut bytes: &[u8]) -> Vec<ToOwner> {
    let mut messages = Vec::new();
    while let Some((length, rest)) = bytes.split_at_checked(LENGTH_BYTES) {
        let length = u32::from_be_bytes(length.try_into().unwrap()) as usize;
        let Some((frame, rest)) = rest.split_at_checked(length) else {
            break;
        };
        messages.push(decode_frame(frame).unwrap());
        bytes = rest;
    }
    messages
}

/// Sends a message on the leader's link to the owner.
fn send_to_owner(leader: &Controller, message: &ToOwner) {
    let state = leader.lock();
    let links = &state.shared.leadership.as_ref().unwrap().links;
    links["rung-1"].send(message);
}

/// An owner of version 0.1 would end its link on a message that it does not know, so it gets none of those that
/// confirm cancellations.
#[test]
fn owner_of_older_version_gets_no_unknown_messages() {
    with_link(|linked| async move {
        wait_until("the owner is granted authority", || {
            has_authority(&linked.owner)
        })
        .await;
        linked.cut_link();
        let mut stream = TcpStream::connect(linked.link_addr).await.unwrap();
        let hello = encode_frame(&ToLeader::Hello {
            member: "rung-1".into(),
            process: 1,
            sequence: 1,
        });
        stream.write_all(&hello).await.unwrap();
        let joined = read_messages(&mut stream, Duration::from_secs(1)).await;
        let is_epoch = |message: &ToOwner| matches!(message, ToOwner::Epoch { .. });
        assert!(joined.iter().any(is_epoch), "{joined:?}");
        let request = ToOwner::ConfirmTerminal { n: 7 };
        send_to_owner(&linked.leader, &request);
        let messages = read_messages(&mut stream, Duration::from_millis(500)).await;
        assert!(!messages.contains(&request), "{messages:?}");
        // A controller that announces that it knows them gets them.
        let announcement = encode_frame(&ToLeader::Ping { n: CONFIRMING_PING });
        stream.write_all(&announcement).await.unwrap();
        read_messages(&mut stream, Duration::from_millis(200)).await;
        send_to_owner(&linked.leader, &request);
        let messages = read_messages(&mut stream, Duration::from_millis(500)).await;
        assert!(messages.contains(&request), "{messages:?}");
    });
}
