//! Links between controllers: each shard owner keeps one connection to the leader, a stream of
//! frames.
//!
//! The leader's side ([`serve`]) grants authority in response to pings, only in `answer_ping`. The
//! owner's side ([`join_leader`]) applies it, only in `apply_grant`.

mod follower_side;
mod frames;
mod leader_side;

pub use follower_side::join_leader;
pub use leader_side::serve;
