//! ladderroute: a cluster scheduler for small sites. The program is this library's `node::run`.

pub mod api;
pub mod cluster_view;
pub mod counters;
pub mod freshness;
pub mod leader_updates;
pub mod leadership;
pub mod logging;
pub mod node;
pub mod outbox;
pub mod peers;
pub mod provisioning;
pub mod settings;
pub mod writer;
