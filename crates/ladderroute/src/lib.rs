//! ladderroute: a cluster scheduler for small sites. The program runs [`startup::run`] of this
//! library.
//!
//! The modules form layers. Each module uses only what is below it, and there are no import cycles:
//!
//! - Start-up: [`startup`] builds a controller from its [`settings`] and starts its services.
//!   [`logging`] is started first.
//! - Services, each of which gets the [`controller::Controller`]: the HTTP port for users and
//!   workers ([`api`]), the links between controllers ([`controller_links`]), [`leadership`], the
//!   [`writer`] to the store, [`freshness`] reads and [`provisioning`].
//! - State without tasks of its own: the [`controller`] with the state that its services share. It
//!   is built on the [`cluster_view`] (a replica of the store), the [`outbox`] of a link, the
//!   leader's batches and pages ([`writer::batch`], [`writer::pages`]), [`counters`] and the
//!   [`store_budget`].
//!
//! Below these modules are the crates `sched` (decisions) and `store`, and below these `wire` and
//! `http`.

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
