//! Users' requests: submit, query and cancel jobs.
//!
//! Only `job_state` reports the state of a job to a user, a cancellation only once `confirmation`
//! allows it; `feasibility` rejects jobs that can never run.

mod cancellation;
mod confirmation;
mod feasibility;
mod job_state;
mod query;
mod submission;

pub use cancellation::cancel;
pub use feasibility::Infeasible;
pub use query::query;
pub use submission::submit;
