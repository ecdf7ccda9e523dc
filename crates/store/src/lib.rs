//! The state service: client, request budget, leadership, and the replica of the jobs.

#![warn(missing_docs)]

pub mod budget;
pub mod client;
pub mod keys;
pub mod leadership;
pub mod pages;
pub mod reload;
pub mod replica;
pub mod versions;
