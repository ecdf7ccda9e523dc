//! HTTP/1.1 client and server on `smol` and `httparse`, with limits and timeouts.
//!
//! Both implement only what ladderroute's protocols need: bodies of known length, keep-alive
//! connections, and `Retry-After` in seconds.

pub mod client;
pub mod connections;
pub mod parse;
pub mod server;

use std::future::Future;
use std::time::Duration;

/// Runs a future for at most `timeout`. Returns `None` if it has not completed by then.
pub async fn with_timeout<T>(timeout: Duration, future: impl Future<Output = T>) -> Option<T> {
    let completed = async { Some(future.await) };
    let timed_out = async {
        smol::Timer::after(timeout).await;
        None
    };
    smol::future::or(completed, timed_out).await
}
