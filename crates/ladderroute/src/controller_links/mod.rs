//! Links between controllers: each shard owner keeps one stream of frames to the leader.
//!
//! The leader's side ([`serve`]) grants authority in answer to pings; the owner's side ([`join_leader`])
//! takes it. Each side does so in one place only: `answer_ping` and `apply_grant`.

mod follower_side;
mod frames;
mod leader_side;

pub use follower_side::join_leader;
pub use leader_side::serve;
