//! Responses that give a reason instead of what was asked for.

use crate::controller::Controller;
use http::server::Response;
use wire::cbor;
use wire::users::Refusal;

/// Shortest time after which a user is told to come back, in seconds.
const RETRY_MIN_S: f64 = 1.0;
/// Longest time after which a user is told to come back, in seconds.
const RETRY_MAX_S: f64 = 30.0;

/// A response that gives the reason in words.
pub fn refuse(status: u16, error: impl Into<String>) -> Response {
    let error = error.into();
    Response::new(status, cbor::encode(&Refusal { error }))
}

/// "Not now", at once, with when to come back.
pub fn retry_later(node: &Controller, error: &str) -> Response {
    // A read of the store is possible again after about this long.
    let again_s = node.config.heartbeat_s / 2.0;
    // Closing lets the balancer choose again: another controller may be able to.
    Response {
        close: true,
        ..refuse(503, error).with_retry_after(retry_after_s(again_s))
    }
}

/// "Too many": the store takes no more submissions at present.
pub fn too_many(again_s: f64) -> Response {
    refuse(429, "too many submissions at present").with_retry_after(retry_after_s(again_s))
}

/// Whole seconds, as the protocol has them.
fn retry_after_s(again_s: f64) -> u32 {
    again_s.ceil().clamp(RETRY_MIN_S, RETRY_MAX_S) as u32
}
