//! Keeping the cluster view current: one long watch, freshness reads before answers that must not be stale,
//! and a reload of all keys where the store does not keep the changes any more.

mod reads;
mod watch;

pub use reads::{read_once, refresh_view};
pub use watch::watch_store;
