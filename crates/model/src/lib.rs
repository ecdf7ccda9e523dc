//! Models of the system, for tests only. `world` simulates workers, controllers, the store and the
//! cloud around the real scheduler, in discrete time. The simulation drops, delays and duplicates
//! messages and checks the protocol's invariants. `reference` is a reference implementation of
//! placement.

pub mod reference;
pub mod world;
