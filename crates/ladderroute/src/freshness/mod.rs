//! Keeps the cluster view current, in three ways: a long-polling watch, freshness reads before
//! responses that must not be stale, and a reload of all keys when the store no longer keeps the
//! changes since the view's revision.

mod reads;
mod watch;

pub use reads::{read_once, refresh_view};
pub use watch::watch_store;
