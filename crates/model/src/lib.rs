//! Models for tests only: a simulation of workers, controllers, the store and the cloud around the real
//! scheduler, which loses, delays and repeats messages and checks the rules of the protocol, and a
//! plain model of the placement pass.

pub mod reference;
pub mod world;
