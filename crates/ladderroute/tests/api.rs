//! The port for users, workers and health checks: its limits, and when it reports the controller as ready.

use http::server::Limits;
use ladderroute::api::limits::{reserved_sockets, server_limits, CONNECTION_KIB};
use ladderroute::api::readiness::{others_serve_better, Role, StoreHealth};
use ladderroute::settings::Quota;

const KIB: f64 = 1024.0;

/// A deployment, and the number of machines that it may have.
struct Deployment {
    memory_mb: f64,
    max_sockets: usize,
    other_controllers: usize,
    store_rps: f64,
    machines: u32,
}

/// `machines` is one and a half times the announced number, and all their workers may connect to one
/// controller.
const DEPLOYMENTS: [Deployment; 4] = [
    Deployment {
        memory_mb: 188.0,
        max_sockets: 2829,
        other_controllers: 4,
        store_rps: 70.0,
        machines: 2750,
    },
    Deployment {
        memory_mb: 188.0,
        max_sockets: 2057,
        other_controllers: 2,
        store_rps: 250.0,
        machines: 890,
    },
    Deployment {
        memory_mb: 56.0,
        max_sockets: 600,
        other_controllers: 2,
        store_rps: 60.0,
        machines: 260,
    },
    Deployment {
        memory_mb: 200.0,
        max_sockets: 3500,
        other_controllers: 0,
        store_rps: 80.0,
        machines: 3300,
    },
];

impl Deployment {
    fn limits(&self) -> Limits {
        let quota = Quota {
            memory_mb: self.memory_mb,
            max_sockets: self.max_sockets,
        };
        server_limits(&quota, self.other_controllers, self.store_rps, 10.0)
    }
}

#[test]
fn server_limits_fit_quota_and_reserve_sockets() {
    for deployment in DEPLOYMENTS {
        let limits = deployment.limits();
        let reserved = reserved_sockets(deployment.other_controllers, deployment.store_rps);
        assert!(limits.max_connections + reserved <= deployment.max_sockets);
        // A worker can be without a connection for a moment, so connections for 97% of the machines are
        // enough.
        assert!(
            limits.max_connections as f64 > f64::from(deployment.machines) * 0.97,
            "{} connections for {} machines",
            limits.max_connections,
            deployment.machines
        );
        let connections_mb = limits.max_connections as f64 * CONNECTION_KIB / KIB;
        let bytes_mb = limits.max_buffered_bytes as f64 / (KIB * KIB);
        assert!(connections_mb + bytes_mb < deployment.memory_mb * 0.6);
    }
    let small_quota = Quota {
        memory_mb: 16.0,
        max_sockets: 40,
    };
    assert!(server_limits(&small_quota, 2, 60.0, 1.0).max_connections >= 16);
}

/// A leader that could reach neither the store nor the other controllers, but was reached by users, refused
/// the users' requests at once. The load balancer prefers idle controllers, so it sent more and more requests
/// to this leader. Such a leader must not be ready; in an outage that affects all controllers, the leader
/// stays ready.
#[test]
fn isolated_leader_leaves_the_load_balancer() {
    let leader = |owners, others| Role::Leader { owners, others };
    assert!(
        others_serve_better(StoreHealth::Failing, leader(0, 2)),
        "isolated, or the only one that the store refuses"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, leader(2, 2)),
        "the store is down for all controllers"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, leader(0, 0)),
        "there are no other controllers"
    );
    assert!(
        !others_serve_better(StoreHealth::Healthy, leader(0, 2)),
        "the store is healthy"
    );
    assert!(
        others_serve_better(StoreHealth::Failing, Role::OwnerWithAuthority),
        "another controller leads"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, Role::OwnerWithoutAuthority),
        "no leader is known"
    );
}
