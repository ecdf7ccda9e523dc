//! Error responses.

use crate::controller::Controller;
use http::server::Response;
use wire::cbor;
use wire::users::Refusal;

/// Minimum value of the `retry-after` header, in seconds.
const MIN_RETRY_AFTER_S: f64 = 1.0;
/// Maximum value of the `retry-after` header, in seconds.
const MAX_RETRY_AFTER_S: f64 = 30.0;

/// Returns a response with this status and error text.
pub fn error_response(status: u16, error: impl Into<String>) -> Response {
    let error = error.into();
    Response::new(status, cbor::encode(&Refusal { error }))
}

/// Returns a 503 response with this error text and the time after which to retry.
pub fn retry_later(controller: &Controller, error: &str) -> Response {
    // After about this long, the store can be read again.
    retry_after(controller.config.heartbeat_s / 2.0, error)
}

/// Returns a 503 response with this error text and a time in seconds after which to retry.
pub fn retry_after(retry_delay_s: f64, error: &str) -> Response {
    // Closing the connection lets the load balancer choose another controller, which may be able to
    // serve the request.
    Response {
        close: true,
        ..error_response(503, error).with_retry_after(retry_after_s(retry_delay_s))
    }
}

/// Returns a 429 response: the store accepts no more submissions at present.
pub fn too_many_requests(retry_delay_s: f64) -> Response {
    error_response(429, "too many submissions at present")
        .with_retry_after(retry_after_s(retry_delay_s))
}

/// Converts a delay to the whole seconds of the `retry-after` header.
fn retry_after_s(retry_delay_s: f64) -> u32 {
    retry_delay_s
        .ceil()
        .clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S) as u32
}
