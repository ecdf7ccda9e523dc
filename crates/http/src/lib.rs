//! HTTP/1.1 for both sides on smol and httparse, with limits and time-outs.

#![warn(missing_docs)]

pub mod client;
pub mod connections;
pub mod parse;

pub mod server;

use std::future::Future;
use std::time::Duration;

/// Ends a future after a time; none if it was not ready by then.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    smol::future::or(async { Some(work.await) }, async {
        smol::Timer::after(limit).await;
        None
    })
    .await
}
