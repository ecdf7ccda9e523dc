//! The port for users, workers and health checks.
//!
//! - This module routes requests.
//! - [`users`]: submit, query and cancel jobs.
//! - `workers`: workers' heartbeats.
//! - [`readiness`]: health checks of the load balancer.
//! - [`limits`]: limits on connections and requests.
//! - [`responses`]: error responses.

pub mod limits;
pub mod readiness;
pub mod responses;
pub mod users;
mod workers;

use crate::controller::Controller;
use http::connections::ConnectionPriority;
use http::server::{Request, Response};
use responses::error_response;
use std::rc::Rc;
use wire::users::is_valid_job_id;

/// Path to which workers send heartbeats.
const HEARTBEAT_PATH: &str = "/agent/beat";
/// Path of the load balancer's health checks.
const READY_PATH: &str = "/ready";
/// Path to which users submit jobs.
const JOBS_PATH: &str = "/v2/runs";
/// Prefix of the path of a job; the job's id follows.
const JOB_PREFIX: &str = "/v2/runs/";
/// Suffix after a job's id in the path of its cancellation.
const CANCEL_SUFFIX: &str = "/cancel";

/// Serves the port until its listener fails.
pub async fn serve(controller: Rc<Controller>, listener: smol::net::TcpListener) {
    let limits = limits::port_limits(&controller.settings, controller.config.heartbeat_s);
    let executor = controller.executor.clone();
    let handler = Rc::new(move |request: Request| {
        let controller = controller.clone();
        async move { handle(&controller, request).await }
    });
    http::server::serve(executor, listener, limits, handler).await;
}

/// Operation that a request addresses.
enum Route<'a> {
    /// A worker's heartbeat.
    Heartbeat,
    /// A health check.
    Ready,
    /// Submission of a job.
    Submit,
    /// Query of the job with this id.
    Query(&'a str),
    /// Cancellation of the job with this id.
    Cancel(&'a str),
    /// A path of a job whose id is not valid.
    NoSuchJob,
    /// A path that is not served.
    NoSuchPath,
}

impl Route<'_> {
    fn parse(path: &str) -> Route<'_> {
        match path {
            HEARTBEAT_PATH => Route::Heartbeat,
            READY_PATH => Route::Ready,
            JOBS_PATH => Route::Submit,
            _ => path
                .strip_prefix(JOB_PREFIX)
                .map_or(Route::NoSuchPath, Route::parse_job),
        }
    }

    fn parse_job(id_and_suffix: &str) -> Route<'_> {
        match id_and_suffix.strip_suffix(CANCEL_SUFFIX) {
            Some(id) if is_valid_job_id(id) => Route::Cancel(id),
            None if is_valid_job_id(id_and_suffix) => Route::Query(id_and_suffix),
            _ => Route::NoSuchJob,
        }
    }

    /// Returns the only HTTP method that the route accepts; `None` for routes that do not exist.
    fn method(&self) -> Option<&'static str> {
        match self {
            Route::Heartbeat | Route::Submit | Route::Cancel(_) => Some("POST"),
            Route::Ready | Route::Query(_) => Some("GET"),
            Route::NoSuchJob | Route::NoSuchPath => None,
        }
    }

    /// Returns the priority that the response gives to its connection; when the port is full,
    /// higher priorities are served first. `None` leaves the default.
    fn priority(&self) -> Option<ConnectionPriority> {
        match self {
            Route::Heartbeat => Some(ConnectionPriority::Worker),
            Route::Ready => Some(ConnectionPriority::Probe),
            _ => None,
        }
    }
}

async fn handle(controller: &Rc<Controller>, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    let route = Route::parse(path);
    let response = match route.method() {
        Some(method) if request.method != method => {
            error_response(405, format!("this path accepts only {method} requests"))
        }
        _ => dispatch(controller, &route, &request.body).await,
    };
    match route.priority() {
        Some(priority) => response.with_priority(priority),
        None => response,
    }
}

async fn dispatch(controller: &Rc<Controller>, route: &Route<'_>, body: &[u8]) -> Response {
    match route {
        Route::Heartbeat => workers::heartbeat(controller, body),
        Route::Ready => readiness::ready(controller),
        Route::Submit => users::submit(controller, body).await,
        Route::Query(id) => users::query(controller, id).await,
        Route::Cancel(id) => users::cancel(controller, id).await,
        Route::NoSuchJob => error_response(404, "no such job"),
        Route::NoSuchPath => error_response(404, "no such path"),
    }
}
