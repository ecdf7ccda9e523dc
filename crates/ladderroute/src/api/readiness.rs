//! Readiness: whether the load balancer should send users to this controller.

use super::responses::retry_later;
use crate::controller::{Controller, State};
use http::server::Response;

/// Time for which the store has to fail before it is treated as failing in health checks, as a
/// fraction of the time after which a worker discards a response.
const FAILING_AFTER_SHARE: f64 = 0.25;

/// Health of the store as seen by this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreHealth {
    /// The store answers, or has not been failing for long.
    Healthy,
    /// The store has been failing for some time.
    Failing,
}

/// Role of this controller among the controllers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The leader.
    Leader {
        /// Number of other controllers that are connected to it as shard owners.
        owners: usize,
        /// Number of all other controllers.
        others: usize,
    },
    /// A shard owner with authority: another controller leads and has granted it authority, which
    /// has not expired and is based on a recent read of the store.
    OwnerWithAuthority,
    /// A shard owner without authority: as far as it knows, no controller leads.
    OwnerWithoutAuthority,
}

/// Returns whether the other controllers can serve users better than this one.
///
/// If the store fails for all controllers, failing the health check would only prolong the outage
/// for users, since the load balancer is slow to take controllers back. If another controller
/// leads, the store does not fail for all. A leader assumes the same if all its owners have
/// disconnected: they stay connected through an outage of the store, so either they have joined a
/// new leader or this controller is cut off.
pub fn others_serve_better(store: StoreHealth, role: Role) -> bool {
    let others_serve = match role {
        Role::Leader { owners, others } => others > 0 && owners == 0,
        Role::OwnerWithAuthority => true,
        Role::OwnerWithoutAuthority => false,
    };
    store == StoreHealth::Failing && others_serve
}

/// Responds to a health check. The controller is ready if it has loaded the jobs and the machine
/// types, and the other controllers can't serve users better.
pub(super) fn ready(controller: &Controller) -> Response {
    if is_ready(controller) {
        Response::new(200, Vec::new())
    } else {
        retry_later(controller, "this controller is not ready to serve users")
    }
}

fn is_ready(controller: &Controller) -> bool {
    let now = controller.now();
    let state = controller.lock();
    let shared = &state.shared;
    let is_loaded = shared.view.is_complete() && shared.catalog.is_some();
    is_loaded && !others_serve_better(store_health(&state), role(controller, &state, now))
}

fn store_health(state: &State) -> StoreHealth {
    let failing_after_s = wire::HEARTBEAT_RESPONSE_TIMEOUT_S * FAILING_AFTER_SHARE;
    match state.shared.store_failing_since {
        Some(since) if since.elapsed().as_secs_f64() > failing_after_s => StoreHealth::Failing,
        _ => StoreHealth::Healthy,
    }
}

fn role(controller: &Controller, state: &State, now: f64) -> Role {
    match &state.shared.leadership {
        Some(leadership) => Role::Leader {
            owners: leadership.links.len(),
            others: controller.settings.peers.len(),
        },
        None if state.owner.has_authority(now) => Role::OwnerWithAuthority,
        None => Role::OwnerWithoutAuthority,
    }
}
