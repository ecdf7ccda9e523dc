//! The port for users, workers and health checks: how much it takes in, and whether it is ready.

use http::server::Limits;
use ladderroute::api::limits::{reserved_sockets, server_limits, CONNECTION_KIB};
use ladderroute::api::readiness::{others_serve_better, Role, StoreHealth};
use ladderroute::settings::Quota;

const KIB: f64 = 1024.0;

/// A site, and how many machines it may have.
struct Site {
    memory_mb: f64,
    max_sockets: usize,
    others: usize,
    store_rps: f64,
    machines: u32,
}

/// All workers may be at one controller, at one and a half times what was announced.
const SITES: [Site; 4] = [
    Site {
        memory_mb: 188.0,
        max_sockets: 2829,
        others: 4,
        store_rps: 70.0,
        machines: 2750,
    },
    Site {
        memory_mb: 188.0,
        max_sockets: 2057,
        others: 2,
        store_rps: 250.0,
        machines: 890,
    },
    Site {
        memory_mb: 56.0,
        max_sockets: 600,
        others: 2,
        store_rps: 60.0,
        machines: 260,
    },
    Site {
        memory_mb: 200.0,
        max_sockets: 3500,
        others: 0,
        store_rps: 80.0,
        machines: 3300,
    },
];

impl Site {
    fn limits(&self) -> Limits {
        let quota = Quota {
            memory_mb: self.memory_mb,
            max_sockets: self.max_sockets,
        };
        server_limits(&quota, self.others, self.store_rps, 10.0)
    }
}

#[test]
fn the_port_takes_what_the_settings_allow_and_leaves_what_the_controller_needs_itself() {
    for site in SITES {
        let limits = site.limits();
        let own = reserved_sockets(site.others, site.store_rps);
        assert!(limits.max_connections + own <= site.max_sockets);
        // Each worker may lack a connection for a moment, so that nearly all is enough.
        assert!(
            limits.max_connections as f64 > f64::from(site.machines) * 0.97,
            "{} for {}",
            limits.max_connections,
            site.machines
        );
        let connections_mb = limits.max_connections as f64 * CONNECTION_KIB / KIB;
        let bytes_mb = limits.max_buffered_bytes as f64 / (KIB * KIB);
        assert!(connections_mb + bytes_mb < site.memory_mb * 0.6);
    }
    let tiny = Quota {
        memory_mb: 16.0,
        max_sockets: 40,
    };
    assert!(server_limits(&tiny, 2, 60.0, 1.0).max_connections >= 16);
}

/// A leader that lost the store and the others, but not its users, answered them "not now" at
/// once and so drew ever more of them from the balancer, which prefers idle nodes.
#[test]
fn a_leader_that_is_alone_leaves_the_balancer_but_not_in_an_outage_for_all() {
    let leader = |owners, others| Role::Leader { owners, others };
    assert!(
        others_serve_better(StoreHealth::Failing, leader(0, 2)),
        "cut off, or refused by the store alone"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, leader(2, 2)),
        "an outage of the store for all"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, leader(0, 0)),
        "there are no others"
    );
    assert!(
        !others_serve_better(StoreHealth::Healthy, leader(0, 2)),
        "the store answers"
    );
    assert!(
        others_serve_better(StoreHealth::Failing, Role::OwnerWithAuthority),
        "another one leads"
    );
    assert!(
        !others_serve_better(StoreHealth::Failing, Role::OwnerWithoutAuthority),
        "nobody leads, as far as is known"
    );
}
