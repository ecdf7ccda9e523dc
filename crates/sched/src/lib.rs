//! The scheduling logic of ladderroute. It does no I/O: time, random numbers and events are
//! arguments.

pub mod authority;
mod autoscaler;
pub mod cancellation;
pub mod capacity_index;
mod cluster;
pub mod config;
pub mod dependencies;
pub mod leader;
pub mod owner;
pub mod placement;
pub mod ranges;
pub mod shard;

/// An instant on the process's monotonic clock, or a duration, in seconds.
pub type Secs = f64;
