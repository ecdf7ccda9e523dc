//! Decisions of ladderroute, sans I/O: time, random numbers and events are arguments.

pub mod authority;
mod autoscaler;
pub mod capacity_index;
mod cluster;
pub mod config;
pub mod dependencies;
pub mod leader;
pub mod owner;
pub mod placement;
pub mod ranges;
pub mod shard;

/// A time on the process's steady clock, in seconds.
pub type Secs = f64;
