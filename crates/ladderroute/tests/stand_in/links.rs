//! A leader and an owner that is linked to it, each with its own endpoint of the store.

// Each test file compiles this module and uses only a part of it.
#![allow(dead_code)]

use super::{FakeStore, StoreEndpoint};
use ladderroute::controller::Controller;
use ladderroute::{controller_links, freshness, leadership, startup};
use smol::net::TcpListener;
use smol::LocalExecutor;
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);

pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
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
    let text = include_str!("settings.toml")
        .replace("MEMBER", &format!("rung-{i}"))
        .replace("OTHER", &format!("rung-{}", 1 - i))
        .replace("127.0.0.2:8081", &peer_addr.to_string())
        .replace("127.0.0.9:2379", &store_addr.to_string());
    let settings = ladderroute::settings::Settings::parse(&text, "settings").unwrap();
    let controller = startup::build_controller(settings, &Default::default(), executor.clone());
    controller.lock().shared.catalog = Some(vec![super::machine_type()]);
    let watch = freshness::watch_store(controller.clone());
    executor.spawn(watch).detach();
    controller
}

/// A leader and the owner that is connected to it.
pub struct LinkedControllers {
    pub leader: Rc<Controller>,
    pub owner: Rc<Controller>,
    /// The address at which the leader accepts links.
    pub link_addr: SocketAddr,
    /// The endpoint at which the leader reaches the store.
    pub leader_store: Rc<StoreEndpoint>,
    /// The endpoint at which the owner reaches the store.
    pub owner_store: Rc<StoreEndpoint>,
    /// The owner's task that keeps the link.
    link: Rc<Cell<Option<smol::Task<()>>>>,
}

impl LinkedControllers {
    /// Cuts the owner off from the leader, without telling the leader.
    pub fn cut_link(&self) {
        self.link.take();
    }
}

/// Runs a test with a leader and an owner that connects to it.
pub fn with_link<F: Future<Output = ()>>(test: impl FnOnce(LinkedControllers) -> F) {
    let executor = Rc::new(LocalExecutor::new());
    smol::block_on(executor.clone().run(async move {
        let store = FakeStore::new();
        let (leader_store, leader_store_addr) = store.open_endpoint(&executor).await;
        let (owner_store, owner_store_addr) = store.open_endpoint(&executor).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link_addr = listener.local_addr().unwrap();
        let leader = start_controller(&executor, 0, leader_store_addr, link_addr);
        let serve = controller_links::serve(leader.clone(), listener);
        executor.spawn(serve).detach();
        let campaign = leadership::campaign(leader.clone());
        executor.spawn(campaign).detach();
        wait_until("the controller becomes leader", || {
            leader.lock().shared.leadership.is_some()
        })
        .await;
        let owner = start_controller(&executor, 1, owner_store_addr, link_addr);
        let join = controller_links::join_leader(owner.clone());
        let link = Rc::new(Cell::new(Some(executor.spawn(join))));
        test(LinkedControllers {
            leader,
            owner,
            link_addr,
            leader_store,
            owner_store,
            link: link.clone(),
        })
        .await;
        link.take();
    }));
}

pub fn has_authority(controller: &Controller) -> bool {
    controller.lock().owner.has_authority(controller.now())
}
