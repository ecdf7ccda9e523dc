//! Links between controllers: the owner of a shard connects to the leader over loopback and is granted
//! authority.

// Clippy allows `unwrap` in test functions, but not in their helpers. An `unwrap` that panics makes the test
// fail at the call that failed.
#![allow(clippy::unwrap_used)]

#[allow(dead_code)]
mod stand_in;

use ladderroute::controller::{ConnectionId, Controller};
use ladderroute::{controller_links, freshness, leadership, startup};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use smol::LocalExecutor;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use wire::peers::{encode_frame, ToLeader};

const TIMEOUT: Duration = Duration::from_secs(20);

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !holds() {
        assert!(started_at.elapsed() < TIMEOUT, "timed out before {what}");
        smol::Timer::after(Duration::from_millis(5)).await;
    }
}

/// Starts a controller that watches the store; the other controller accepts links at `peer_addr`.
fn start_controller(
    executor: &Rc<LocalExecutor<'static>>,
    i: usize,
    store_addr: SocketAddr,
    peer_addr: SocketAddr,
) -> Rc<Controller> {
    let text = include_str!("stand_in/settings.toml")
        .replace("MEMBER", &format!("rung-{i}"))
        .replace("OTHER", &format!("rung-{}", 1 - i))
        .replace("127.0.0.2:8081", &peer_addr.to_string())
        .replace("127.0.0.9:2379", &store_addr.to_string());
    let settings = ladderroute::settings::Settings::parse(&text, "settings").unwrap();
    let controller = startup::build_controller(settings, &Default::default(), executor.clone());
    let watch = freshness::watch_store(controller.clone());
    executor.spawn(watch).detach();
    controller
}

/// Runs a test with a leader, an owner that connects to it, and the address at which the leader accepts
/// links.
fn with_link<F: Future<Output = ()>>(test: impl FnOnce([Rc<Controller>; 2], SocketAddr) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let store = stand_in::FakeStore::new();
        let (_endpoint, store_addr) = store.open_endpoint(&executor).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link_addr = listener.local_addr().unwrap();
        let leader = start_controller(&executor, 0, store_addr, link_addr);
        let serve = controller_links::serve(leader.clone(), listener);
        executor.spawn(serve).detach();
        let campaign = leadership::campaign(leader.clone());
        executor.spawn(campaign).detach();
        wait_until("the controller becomes leader", || {
            leader.lock().shared.leadership.is_some()
        })
        .await;
        let owner = start_controller(&executor, 1, store_addr, link_addr);
        let join = controller_links::join_leader(owner.clone());
        executor.spawn(join).detach();
        test([leader, owner], link_addr).await;
    }));
}

/// Returns the id of the connection that the leader uses for the owner, if any.
fn owner_connection(leader: &Controller) -> Option<ConnectionId> {
    let state = leader.lock();
    let links = &state.shared.leadership.as_ref()?.links;
    links.get("rung-1").map(|link| link.id)
}

fn has_authority(controller: &Controller) -> bool {
    controller.lock().owner.has_authority(controller.now())
}

/// An owner that connects to the leader is granted authority under the fencing token of the leader.
#[test]
fn joining_owner_is_granted_authority() {
    with_link(|[leader, owner], _| async move {
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
    with_link(|[leader, owner], _| async move {
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
    with_link(|[leader, owner], link_addr| async move {
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
