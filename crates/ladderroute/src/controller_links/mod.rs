//! Links between controllers: each shard owner keeps one connection to the leader, a stream of
//! frames.
//!
//! The leader's side ([`serve`]) grants owners the authority to answer workers, in response to
//! their pings; only `answer_ping` does this. The owner's side ([`join_leader`]) applies the
//! authority that it was granted; only `apply_grant` does this.

mod follower_side;
mod frames;
mod leader_side;

pub use follower_side::join_leader;
pub use leader_side::serve;
