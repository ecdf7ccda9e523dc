//! Stand-ins and the slow plain model, for tests only: a world of workers, controllers, store
//! and cloud in simulated time that loses, delays and repeats messages, and checkers for the
//! rules of the protocol.

#![warn(missing_docs)]

pub mod plain;
pub mod world;
