//! Limits of the port for users, workers and health checks, derived from the quota in the settings.

use crate::settings::{Quota, Settings};
use http::server::Limits;
use std::time::Duration;

/// Share of the sockets for connections from outside that is kept free, because a closed socket
/// still counts against the quota for a short time.
const SPARE_SOCKETS_SHARE: f64 = 0.02;
/// Share of the memory that partly received requests may take.
const PARTIAL_REQUESTS_SHARE: f64 = 0.125;
/// Maximum memory of an open connection, in KiB.
pub const CONNECTION_KIB: f64 = 8.0;
/// Share of the memory that open connections may take.
const CONNECTIONS_SHARE: f64 = 0.4;
/// Number of connections that are accepted even if the quota allows fewer.
const MIN_CONNECTIONS: usize = 16;
/// Number of heartbeat intervals after which a silent worker's connection is closed.
const IDLE_HEARTBEATS: f64 = 3.0;
/// Minimum time for which an idle connection stays open, in multiples of the time for which a
/// worker waits for a response.
const IDLE_RESPONSE_TIMEOUTS: f64 = 4.0;
/// KiB in a MiB, and bytes in a KiB.
const KIB: f64 = 1024.0;

/// Sockets of the controller's listeners.
const LISTENER_SOCKETS: usize = 2;
/// Sockets for connections to the cloud.
const CLOUD_SOCKETS: usize = 2;
/// Sockets for connections to the store in addition to those that its request rate accounts for.
const EXTRA_STORE_SOCKETS: usize = 4;
/// Request rate to the store, per second, at which about one request is in flight at any time.
const STORE_RPS_PER_SOCKET: f64 = 4.0;

/// Returns the limits of the port under these settings.
pub(super) fn port_limits(settings: &Settings, heartbeat_s: f64) -> Limits {
    let params = &settings.params;
    server_limits(
        &params.quota,
        settings.peers.len(),
        params.state.rps,
        heartbeat_s,
    )
}

/// Returns the number of sockets that a controller with this many peers uses itself: for its
/// listeners, the other controllers, the cloud, and the store. For the store, this is about the
/// number of requests that may be in flight within their timeout.
pub fn reserved_sockets(others: usize, store_rps: f64) -> usize {
    let store = (store_rps / STORE_RPS_PER_SOCKET).ceil() as usize + EXTRA_STORE_SOCKETS;
    LISTENER_SOCKETS
        + crate::controller::limits::max_peer_connections(others)
        + CLOUD_SOCKETS
        + store
}

/// Returns the limits of the port of a controller that has `others` peers and a store that serves
/// `store_rps` requests a second.
pub fn server_limits(quota: &Quota, others: usize, store_rps: f64, heartbeat_s: f64) -> Limits {
    let idle_s = (heartbeat_s * IDLE_HEARTBEATS)
        .max(wire::HEARTBEAT_RESPONSE_TIMEOUT_S * IDLE_RESPONSE_TIMEOUTS);
    let bytes = (quota.memory_mb * KIB * KIB * PARTIAL_REQUESTS_SHARE) as usize;
    Limits {
        max_connections: max_connections(quota, reserved_sockets(others, store_rps)),
        max_body_bytes: wire::BODY_LIMIT,
        max_buffered_bytes: bytes.max(2 * wire::BODY_LIMIT),
        request_timeout: Duration::from_secs_f64(wire::HEARTBEAT_RESPONSE_TIMEOUT_S),
        idle_timeout: Duration::from_secs_f64(idle_s),
    }
}

/// Returns the maximum number of connections from outside, given the sockets that the controller
/// uses itself.
fn max_connections(quota: &Quota, reserved_sockets: usize) -> usize {
    let sockets = quota.max_sockets.saturating_sub(reserved_sockets);
    let by_sockets = (sockets as f64 * (1.0 - SPARE_SOCKETS_SHARE)) as usize;
    let by_memory = (quota.memory_mb * KIB * CONNECTIONS_SHARE / CONNECTION_KIB) as usize;
    by_sockets.min(by_memory).max(MIN_CONNECTIONS)
}
