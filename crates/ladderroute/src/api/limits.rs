//! How much the port for users, workers and health checks takes in, from what the settings allow.

use crate::settings::{Quota, Settings};
use http::server::Limits;
use std::time::Duration;

/// Part of the sockets left for connections from outside that is not used: a socket that was
/// closed is counted a little longer.
const SPARE_SOCKETS_SHARE: f64 = 0.02;
/// Part of the memory that requests which arrived in part may take.
const PARTIAL_REQUESTS_SHARE: f64 = 0.125;
/// What an open connection takes of the memory, at most, in KiB.
pub const CONNECTION_KIB: f64 = 8.0;
/// Part of the memory that open connections may take.
const CONNECTIONS_SHARE: f64 = 0.4;
/// Connections that are taken however little the settings allow.
const MIN_CONNECTIONS: usize = 16;
/// Heartbeat intervals after which a silent worker's connection is given up.
const IDLE_HEARTBEATS: f64 = 3.0;
/// A connection stays open for at least so many times as long as a worker waits for an answer.
const IDLE_RESPONSE_TIMEOUTS: f64 = 4.0;
/// KiB of a MiB, and bytes of a KiB.
const KIB: f64 = 1024.0;

/// Sockets of the controller's own listeners.
const LISTENER_SOCKETS: usize = 2;
/// Sockets for the cloud.
const CLOUD_SOCKETS: usize = 2;
/// Sockets for requests to the store that are not counted by its rate.
const EXTRA_STORE_SOCKETS: usize = 4;
/// The store's requests a second for each of which, about, one is under way.
const STORE_RPS_PER_SOCKET: f64 = 4.0;

/// The limits of this controller's port.
pub(super) fn port_limits(settings: &Settings, heartbeat_s: f64) -> Limits {
    let params = &settings.params;
    server_limits(
        &params.quota,
        settings.peers.len(),
        params.state.rps,
        heartbeat_s,
    )
}

/// Sockets that a controller uses itself, beside `others`: its listeners, the other controllers, the
/// store (as many requests as may be under way within their time limit, about) and the cloud.
pub fn reserved_sockets(others: usize, store_rps: f64) -> usize {
    let store = (store_rps / STORE_RPS_PER_SOCKET).ceil() as usize + EXTRA_STORE_SOCKETS;
    LISTENER_SOCKETS
        + crate::controller::limits::max_peer_connections(others)
        + CLOUD_SOCKETS
        + store
}

/// The limits of the port of a controller beside `others`, at a store that takes so many requests a
/// second.
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

/// Most connections from outside, beside the sockets that the controller uses itself.
fn max_connections(quota: &Quota, reserved_sockets: usize) -> usize {
    let sockets = quota.max_sockets.saturating_sub(reserved_sockets);
    let by_sockets = (sockets as f64 * (1.0 - SPARE_SOCKETS_SHARE)) as usize;
    let by_memory = (quota.memory_mb * KIB * CONNECTIONS_SHARE / CONNECTION_KIB) as usize;
    by_sockets.min(by_memory).max(MIN_CONNECTIONS)
}
