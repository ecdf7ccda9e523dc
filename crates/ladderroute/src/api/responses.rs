//! Responses that give a reason instead of what was asked for.

use crate::controller::Controller;
use http::server::Response;
use wire::cbor;
use wire::users::Refusal;

/// Shortest time after which a user is told to come back, in seconds.
const MIN_RETRY_AFTER_S: f64 = 1.0;
/// Longest time after which a user is told to come back, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// A response that gives the reason in words.
pub fn error_response(status: u16, error: impl Into<String>) -> Response {
    let error = error.into();
    Response::new(status, cbor::encode(&Refusal { error }))
}

/// "Not now", at once, with when to come back.
pub fn retry_later(controller: &Controller, error: &str) -> Response {
    // A read of the store is possible again after about this long.
    let retry_delay_s = controller.config.heartbeat_s / 2.0;
    // Closing lets the balancer choose again: another controller may be able to.
    Response {
        close: true,
        ..error_response(503, error).with_retry_after(retry_after_s(retry_delay_s))
    }
}

/// "Too many": the store takes no more submissions at present.
pub fn too_many_requests(retry_delay_s: f64) -> Response {
    error_response(429, "too many submissions at present")
        .with_retry_after(retry_after_s(retry_delay_s))
}

/// Whole seconds, as the protocol has them.
fn retry_after_s(retry_delay_s: f64) -> u32 {
    retry_delay_s
        .ceil()
        .clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) as u32
}
