//! Workers' heartbeats, and what a response to one rests on.

use super::responses::refuse;
use crate::controller::{Controller, ReplicaJobs, State};
use crate::counters::{Checked, Counters};
use http::server::{OnWritten, Response};
use sched::owner::HeartbeatResponse;
use std::fmt;
use wire::cbor;
use wire::workers::{Heartbeat, Orders, Redirect};

/// Serves a worker's heartbeat.
pub(super) fn heartbeat(node: &Controller, body: &[u8]) -> Response {
    let heartbeat: Heartbeat = match cbor::decode(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            log::error!("event=heartbeat_malformed error=\"{error}\"");
            return refuse(400, error.to_string());
        }
    };
    let checked = node.counters.checked();
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    let jobs = ReplicaJobs(state.shared.view.replica());
    let answer = state.owner.on_heartbeat(&heartbeat, now, &jobs);
    let basis = Basis::of(state, now);
    log_heartbeat(&heartbeat, &answer, &basis);
    node.exchange_messages(state);
    match answer {
        HeartbeatResponse::Orders(orders) => {
            if !may_answer_orders(node, state) {
                return no_authority(node);
            }
            log_orders(&heartbeat, &orders, &basis);
            node.counters.margin(basis.margin_s);
            answer_orders(&orders, checked)
        }
        HeartbeatResponse::Redirect(member) => redirect(member),
        HeartbeatResponse::Unavailable => no_authority(node),
    }
}

/// The check of authority right before the response to a heartbeat is written: authority may have
/// ended since the owner decided, and orders without it could start a task twice.
fn may_answer_orders(node: &Controller, state: &State) -> bool {
    state.owner.has_authority(node.now())
}

fn answer_orders(orders: &Orders, checked: Checked) -> Response {
    let mut response = Response::new(200, cbor::encode(orders));
    response.on_written = Some(OnWritten::new(move || checked.written()));
    response
}

fn redirect(member: String) -> Response {
    let member = Some(member);
    Response::new(421, cbor::encode(&Redirect { member }))
}

fn no_authority(node: &Controller) -> Response {
    Counters::count(&node.counters.heartbeats_refused);
    refuse(503, "no authority at present")
}

/// What a response to a worker rests on, for the logs.
struct Basis {
    /// The fencing token of the owner's authority.
    token: u64,
    /// The store's revision that the view holds.
    revision: u64,
    /// The age of the view, or of what the leader knew when it last said so, whichever is newer.
    staleness_s: f64,
    /// For how long authority lasts.
    authority_s: f64,
    /// For how long the age of what is known allows answers.
    margin_s: f64,
}

impl Basis {
    fn of(state: &State, now: f64) -> Basis {
        let authority = &state.owner.authority;
        Basis {
            token: state.owner.token(),
            revision: state.shared.view.replica().revision,
            staleness_s: now - authority.read_at(),
            authority_s: authority.until() - now,
            margin_s: authority.responses_until() - now,
        }
    }
}

impl fmt::Display for Basis {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "token={} revision={} staleness_s={:.2} authority_s={:.2} margin_s={:.2}",
            self.token, self.revision, self.staleness_s, self.authority_s, self.margin_s
        )
    }
}

fn log_heartbeat(heartbeat: &Heartbeat, answer: &HeartbeatResponse, basis: &Basis) {
    log::debug!(
        "event=heartbeat machine={} incarnation={} seq={} seen_token={} tasks={} {basis} answer={answer:?}",
        heartbeat.machine,
        heartbeat.incarnation,
        heartbeat.seq,
        heartbeat.token,
        heartbeat.tasks.len()
    );
}

fn log_orders(heartbeat: &Heartbeat, orders: &Orders, basis: &Basis) {
    if orders.orders.is_empty() {
        return;
    }
    log::debug!(
        "event=orders machine={} incarnation={} seq={} {basis} orders={:?}",
        heartbeat.machine,
        heartbeat.incarnation,
        heartbeat.seq,
        orders.orders
    );
}
