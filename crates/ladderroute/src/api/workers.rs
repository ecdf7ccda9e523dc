//! Workers' heartbeats, and the checks before a response that this controller has the authority to
//! answer workers.

use super::responses::error_response;
use crate::controller::{Controller, ReplicaJobs, State};
use crate::counters::{AuthorityCheck, Counters};
use http::server::{OnWritten, Response};
use sched::owner::HeartbeatResponse;
use std::fmt;
use wire::cbor;
use wire::workers::{Heartbeat, Orders, Redirect};

/// Processes a worker's heartbeat and returns the response.
pub(super) fn heartbeat(controller: &Controller, body: &[u8]) -> Response {
    let heartbeat: Heartbeat = match cbor::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            log::error!("event=heartbeat_malformed error=\"{error}\"");
            return error_response(400, error.to_string());
        }
    };
    let check = controller.counters.start_check();
    let now = controller.now();
    let mut guard = controller.lock();
    let state = &mut *guard;
    let jobs = ReplicaJobs(state.shared.view.replica());
    let answer = state.owner.on_heartbeat(&heartbeat, now, &jobs);
    let snapshot = AuthoritySnapshot::new(state, now);
    log_heartbeat(&heartbeat, &answer, &snapshot);
    controller.exchange_messages(state);
    match answer {
        HeartbeatResponse::Orders(orders) => {
            if !still_has_authority(controller, state) {
                return unavailable_response(controller);
            }
            log_orders(&heartbeat, &orders, &snapshot);
            controller.counters.record_margin(snapshot.margin_s);
            orders_response(&orders, check)
        }
        HeartbeatResponse::Redirect(member) => redirect_response(member),
        HeartbeatResponse::Unavailable => unavailable_response(controller),
    }
}

/// Checks authority right before the response to a heartbeat is built: authority may have expired
/// since the owner chose the orders, and orders sent without authority could start a task twice.
fn still_has_authority(controller: &Controller, state: &State) -> bool {
    state.owner.has_authority(controller.now())
}

fn orders_response(orders: &Orders, check: AuthorityCheck) -> Response {
    let mut response = Response::new(200, cbor::encode(orders));
    response.on_written = Some(OnWritten::new(move || check.record_response_written()));
    response
}

fn redirect_response(member: String) -> Response {
    let member = Some(member);
    Response::new(421, cbor::encode(&Redirect { member }))
}

fn unavailable_response(controller: &Controller) -> Response {
    Counters::increment(&controller.counters.heartbeats_refused);
    error_response(
        503,
        "this controller can't answer this heartbeat with orders at present",
    )
}

/// The authority and the view that a response to a worker depends on, for the logs and counters.
struct AuthoritySnapshot {
    /// The fencing token of the owner's authority.
    token: u64,
    /// The store revision of the view.
    revision: u64,
    /// The age, in seconds, of the newest read of the store that the owner knows of, by this
    /// controller or by the leader.
    staleness_s: f64,
    /// Time until authority expires, in seconds.
    authority_s: f64,
    /// Time for which heartbeats may still be answered, in seconds. Both the authority and
    /// `staleness_s` limit it.
    margin_s: f64,
}

impl AuthoritySnapshot {
    fn new(state: &State, now: f64) -> AuthoritySnapshot {
        let authority = &state.owner.authority;
        AuthoritySnapshot {
            token: state.owner.token(),
            revision: state.shared.view.replica().revision,
            staleness_s: now - authority.read_at(),
            authority_s: authority.until() - now,
            margin_s: authority.responses_until() - now,
        }
    }
}

impl fmt::Display for AuthoritySnapshot {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "token={} revision={} staleness_s={:.2} authority_s={:.2} margin_s={:.2}",
            self.token, self.revision, self.staleness_s, self.authority_s, self.margin_s
        )
    }
}

fn log_heartbeat(heartbeat: &Heartbeat, answer: &HeartbeatResponse, snapshot: &AuthoritySnapshot) {
    log::debug!(
        "event=heartbeat machine={} incarnation={} seq={} seen_token={} tasks={} {snapshot} answer={answer:?}",
        heartbeat.machine,
        heartbeat.incarnation,
        heartbeat.seq,
        heartbeat.token,
        heartbeat.tasks.len()
    );
}

fn log_orders(heartbeat: &Heartbeat, orders: &Orders, snapshot: &AuthoritySnapshot) {
    if orders.orders.is_empty() {
        return;
    }
    log::debug!(
        "event=orders machine={} incarnation={} seq={} {snapshot} orders={:?}",
        heartbeat.machine,
        heartbeat.incarnation,
        heartbeat.seq,
        orders.orders
    );
}
