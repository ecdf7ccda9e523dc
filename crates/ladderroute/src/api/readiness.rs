//! Whether the balancer should send users to this controller.

use super::responses::retry_later;
use crate::controller::{Controller, State};
use http::server::Response;

/// For how long the store has to fail until the balancer may be told, as a part of the time after which
/// a worker drops an answer.
const FAILING_AFTER_SHARE: f64 = 0.25;

/// How the store answers, as seen from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreHealth {
    /// It answers, or has not failed for long.
    Healthy,
    /// It has failed for a while.
    Failing,
}

/// What this controller is to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The leader.
    Leader {
        /// Other controllers that are connected to it as shard owners.
        owners: usize,
        /// All other controllers.
        others: usize,
    },
    /// A shard owner with authority: another controller leads, with fresh authority.
    OwnerWithAuthority,
    /// A shard owner without authority: nobody leads, as far as is known.
    OwnerWithoutAuthority,
}

/// Whether the others can serve users better. If the store fails for all, leaving the balancer
/// would only lengthen the outage for users, since it takes nodes back slowly; it does not fail
/// for all if another one leads, nor, as far as a leader can tell, if all its owners have left it:
/// they stay through an outage of the store and leave for a new leader, or it is cut off.
pub fn others_serve_better(store: StoreHealth, role: Role) -> bool {
    let others_serve = match role {
        Role::Leader { owners, others } => others > 0 && owners == 0,
        Role::OwnerWithAuthority => true,
        Role::OwnerWithoutAuthority => false,
    };
    store == StoreHealth::Failing && others_serve
}

/// Ready: the jobs and the machine types are known, and this controller is not worse off than
/// the others.
pub(super) fn ready(controller: &Controller) -> Response {
    if is_ready(controller) {
        Response::new(200, Vec::new())
    } else {
        retry_later(controller, "not ready")
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
