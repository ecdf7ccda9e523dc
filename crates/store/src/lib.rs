//! The state service: its client and request budget, leadership, the records that share keys, and the replica
//! of all keys.

pub mod budget;
pub mod client;
pub mod keys;
pub mod leadership;
pub mod pages;
pub mod reload;
pub mod replica;
pub mod versions;
