//! Users' requests: submit, query and cancel jobs.
//!
//! Only `job_state` tells a user the state of a job; `feasibility` says why a job can never run.

mod cancellation;
mod feasibility;
mod job_state;
mod query;
mod submission;

pub use cancellation::cancel;
pub use feasibility::Infeasible;
pub use query::query;
pub use submission::submit;
