//! Keeps the cluster view current, in three ways: a long-polling watch, freshness reads before
//! responses that must not be stale, and a reload of all keys when the store no longer keeps the
//! changes since the view's revision. An owner that has tasks to start makes reads of its own when it
//! does not hear of the leader's in time.

mod reads;
mod starts;
mod watch;

pub use reads::{read_once, refresh_view};
pub use starts::keep_fresh_for_starts;
pub use watch::watch_store;
