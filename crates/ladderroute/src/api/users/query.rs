//! Queries of a job's progress.

use super::job_state::{look_up, progress_response};
use crate::api::responses::error_response;
use crate::controller::Controller;
use http::server::Response;
use std::rc::Rc;

/// Responds with the state and the progress of a job.
pub async fn query(controller: &Rc<Controller>, id: &str) -> Response {
    match look_up(controller, id).await {
        Ok(Some(entry)) => progress_response(controller, id, &entry).await,
        Ok(None) => error_response(404, "no such job"),
        Err(response) => response,
    }
}
