//! ladderroute: a cluster scheduler for small sites. The program is this library's `startup::run`.

pub mod api;
pub mod cluster_view;
pub mod controller;
pub mod controller_links;
pub mod counters;
pub mod freshness;
pub mod job_state;
pub mod leadership;
pub mod logging;
pub mod operator;
pub mod outbox;
pub mod provisioning;
pub mod settings;
pub mod startup;
pub mod store_budget;
pub mod submission;
pub mod writer;
