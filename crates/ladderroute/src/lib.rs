//! ladderroute: a cluster scheduler for small sites. The program is this library's `node::run`.

pub mod accept;
pub mod api;
pub mod counters;
pub mod fresh;
pub mod job_changes;
pub mod job_state;
pub mod lead;
pub mod logging;
pub mod node;
pub mod operator;
pub mod outbox;
pub mod peers;
pub mod renting;
pub mod settings;
pub mod view;
pub mod writer;
