//! Access to the state service: the client with its request budget, leader election, the pages that
//! hold many records under one key, and the replica of all keys.

pub mod budget;
pub mod client;
pub mod keys;
pub mod leadership;
pub mod pages;
pub mod reload;
pub mod replica;
pub mod versions;
