//! Decisions of ladderroute, sans I/O: time, random numbers and events are arguments.

pub mod authority;
pub mod dependencies;
mod epoch;
pub mod fleet;
pub mod index;
pub mod leader;
pub mod owner;
pub mod place;
mod preempt;
mod queue;
pub mod ranges;
pub mod setup;
pub mod shard;
mod views;

/// A time on the process's steady clock, in seconds.
pub type Secs = f64;
