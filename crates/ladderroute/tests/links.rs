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
use wire::peers::{encode_frame, ToLeader};

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
