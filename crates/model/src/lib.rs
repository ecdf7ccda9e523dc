//! Test-only models of the system: a discrete-time simulation of workers, controllers, the store
//! and the cloud around the real scheduler, which drops, delays and duplicates messages and checks
//! the protocol's invariants; and a reference implementation of placement.

pub mod reference;
pub mod world;
