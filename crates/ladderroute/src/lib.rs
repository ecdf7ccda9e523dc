//! ladderroute: a cluster scheduler for small sites. The program is this library's [`startup::run`].
//!
//! The modules form layers; each uses only what is below it, and none imports one that imports it:
//!
//! - Wiring: [`startup`] builds a controller from its [`settings`], and starts the
//!   services. [`logging`] is started before.
//! - Services beside each other, each handed the [`controller::Controller`]: the port for users and workers
//!   ([`api`]), the links between controllers ([`controller_links`]),
//!   [`leadership`], the store [`writer`], [`freshness`] reads and [`provisioning`].
//! - State without tasks: the [`controller`] with what its services share, and what this rests on: the
//!   [`cluster_view`], the [`outbox`] of a link, the leader's batches and pages ([`writer::batch`],
//!   [`writer::pages`]), [`counters`] and the [`store_budget`].
//!
//! Below are the crates `sched` (decisions) and `store`, and below these `wire` and `http`.

pub mod api;
pub mod cluster_view;
pub mod controller;
pub mod controller_links;
pub mod counters;
pub mod freshness;
pub mod leadership;
pub mod logging;
pub mod outbox;
pub mod provisioning;
pub mod settings;
pub mod startup;
pub mod store_budget;
pub mod writer;
