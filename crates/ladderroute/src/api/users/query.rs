//! Queries of jobs.

use super::job_state::{look_up, progress};
use crate::api::responses::refuse;
use crate::controller::Controller;
use http::server::Response;
use std::rc::Rc;

/// Answers how far a job is.
pub async fn query(node: &Rc<Controller>, id: &str) -> Response {
    match look_up(node, id).await {
        Ok(Some(entry)) => progress(node, id, &entry),
        Ok(None) => refuse(404, "no such job"),
        Err(response) => response,
    }
}
