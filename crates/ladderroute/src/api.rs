//! The port for users, workers and health checks.

use crate::controller::{Controller as Node, ReplicaJobs, State};
use crate::counters::Counters;
use crate::submission::{cancel, query, refuse, retry_later, submit};
use http::pool::Rank;
use http::server::{Limits, OnWritten, Request, Response};
use sched::owner::HeartbeatResponse;
use std::rc::Rc;
use std::time::Duration;
use wire::cbor;
use wire::workers::{Heartbeat, Orders, Redirect};

/// Part of the sockets left for connections from outside that is not used: a socket that was
/// closed is counted a little longer.
const SPARE_SHARE: f64 = 0.02;
/// Part of the memory that requests which arrived in part may take.
const BYTES_SHARE: f64 = 0.125;
/// What an open connection takes of the memory, at most.
const CONNECTION_KB: f64 = 8.0;
/// Part of the memory that open connections may take.
const CONNECTIONS_SHARE: f64 = 0.4;
/// Heartbeat intervals after which a silent worker's connection is given up.
const IDLE_HEARTBEATS: f64 = 3.0;

/// Sockets that this controller uses itself: its listeners, the other controllers, the store (as
/// many requests as may be under way within their time limit, about) and the cloud.
fn own_sockets(others: usize, store_rps: f64) -> usize {
    2 + crate::controller::limits::max_peer_connections(others)
        + 2
        + (store_rps / 4.0).ceil() as usize
        + 4
}

/// Limits of the port, from what the settings allow.
fn limits(q: &crate::settings::Quota, others: usize, store_rps: f64, heartbeat_s: f64) -> Limits {
    let sockets = q.max_sockets.saturating_sub(own_sockets(others, store_rps));
    let by_memory = (q.memory_mb * 1024.0 * CONNECTIONS_SHARE / CONNECTION_KB) as usize;
    Limits {
        connections: ((sockets as f64 * (1.0 - SPARE_SHARE)) as usize)
            .min(by_memory)
            .max(16),
        body: wire::BODY_LIMIT,
        bytes: ((q.memory_mb * 1024.0 * 1024.0 * BYTES_SHARE) as usize).max(2 * wire::BODY_LIMIT),
        request: Duration::from_secs_f64(wire::ANSWER_DROPPED_S),
        idle: Duration::from_secs_f64(
            (heartbeat_s * IDLE_HEARTBEATS).max(wire::ANSWER_DROPPED_S * 4.0),
        ),
    }
}

pub async fn serve(node: Rc<Node>, listener: smol::net::TcpListener) {
    let p = &node.settings.settings;
    let limits = limits(
        &p.quota,
        node.settings.known.len(),
        p.state.rps,
        node.config.heartbeat_s,
    );
    let executor = node.executor.clone();
    let handler = Rc::new(move |request: Request| {
        let node = node.clone();
        async move { handle(&node, request).await }
    });
    http::server::serve(executor, listener, limits, handler).await;
}

async fn handle(node: &Rc<Node>, request: Request) -> Response {
    let path = request.path.split('?').next().unwrap_or("");
    let only =
        |wanted: &str| (request.method != wanted).then(|| refuse(405, format!("use {wanted}")));
    match path {
        "/agent/beat" => only("POST")
            .unwrap_or_else(|| heartbeat(node, &request.body))
            .of(Rank::Worker),
        "/ready" => only("GET").unwrap_or_else(|| ready(node)).of(Rank::Probe),
        "/v2/runs" => match only("POST") {
            Some(r) => r,
            None => submit(node, &request.body).await,
        },
        _ => match path.strip_prefix("/v2/runs/") {
            Some(rest) => match rest.strip_suffix("/cancel") {
                Some(id) if wire::users::valid_id(id) => match only("POST") {
                    Some(r) => r,
                    None => cancel(node, id).await,
                },
                None if wire::users::valid_id(rest) => match only("GET") {
                    Some(r) => r,
                    None => query(node, rest).await,
                },
                _ => refuse(404, "no such job"),
            },
            None => refuse(404, "no such path"),
        },
    }
}

/// What `/ready` judges by, beside what is known here.
#[derive(Clone, Copy, Debug)]
struct Readiness {
    /// The store has failed for a while, as seen from here.
    failing: bool,
    /// This controller leads, with how many owners connected, out of how many others.
    leads: Option<(usize, usize)>,
    /// An owner's authority, which shows that another one leads with fresh authority.
    authority: bool,
}

/// Whether the others can serve users better. If the store fails for all, leaving the balancer
/// would only lengthen the outage for users, since it takes nodes back slowly; it does not fail
/// for all if another one leads, nor, as far as a leader can tell, if all its owners have left it:
/// they stay through an outage of the store and leave for a new leader, or it is cut off.
fn others_fare_better(s: Readiness) -> bool {
    s.failing
        && match s.leads {
            Some((owners, others)) => others > 0 && owners == 0,
            None => s.authority,
        }
}

/// Ready: the jobs and the machine types are known, and this controller is not worse off than
/// the others.
fn ready(node: &Node) -> Response {
    let now = node.now();
    let s = node.lock();
    let standing = Readiness {
        failing: s
            .shared
            .store_failing_since
            .is_some_and(|t| t.elapsed().as_secs_f64() > wire::ANSWER_DROPPED_S / 4.0),
        leads: s
            .shared
            .leadership
            .as_ref()
            .map(|l| (l.links.len(), node.settings.known.len())),
        authority: s.owner.has_authority(now),
    };
    if s.shared.view.is_complete() && s.shared.catalog.is_some() && !others_fare_better(standing) {
        Response::new(200, Vec::new())
    } else {
        drop(s);
        retry_later(node, "not ready")
    }
}

/// A worker's heartbeat. The authority is checked here, right before the answer is written.
fn heartbeat(node: &Node, body: &[u8]) -> Response {
    let heartbeat: Heartbeat = match cbor::decode(body) {
        Ok(r) => r,
        Err(e) => {
            log::error!("event=heartbeat_malformed error=\"{e}\"");
            return refuse(400, e.to_string());
        }
    };
    let checked = node.counters.checked();
    let now = node.now();
    let mut guard = node.lock();
    let state = &mut *guard;
    let jobs = ReplicaJobs(state.shared.view.replica());
    let answer = state.owner.on_heartbeat(&heartbeat, now, &jobs);
    let margin_s = state.owner.authority.answers_until() - now;
    let basis = Basis::of(state, now);
    log_heartbeat(&heartbeat, &answer, &basis);
    node.exchange_messages(state);
    match answer {
        HeartbeatResponse::Orders(orders) => {
            if !state.owner.has_authority(node.now()) {
                return no_authority(node);
            }
            log_orders(&heartbeat, &orders, &basis);
            node.counters.margin(margin_s);
            let mut response = Response::new(200, cbor::encode(&orders));
            response.on_written = Some(OnWritten::new(move || checked.written()));
            response
        }
        HeartbeatResponse::Redirect(member) => Response::new(
            421,
            cbor::encode(&Redirect {
                member: Some(member),
            }),
        ),
        HeartbeatResponse::Unavailable => no_authority(node),
    }
}

fn no_authority(node: &Node) -> Response {
    Counters::count(&node.counters.heartbeats_refused);
    refuse(503, "no authority at present")
}

/// What an answer to a worker rests on, for the logs.
struct Basis {
    token: u64,
    revision: u64,
    /// The age of the view, and of what the leader knew when it last said so, whichever is newer.
    known_age_s: f64,
    /// For how long authority lasts, and for how long the age of what is known allows answers.
    authority_s: f64,
    margin_s: f64,
}

impl Basis {
    fn of(state: &State, now: f64) -> Basis {
        let authority = &state.owner.authority;
        Basis {
            token: state.owner.token(),
            revision: state.shared.view.replica().revision,
            known_age_s: now - authority.read_at(),
            authority_s: authority.until() - now,
            margin_s: authority.answers_until() - now,
        }
    }
}

impl std::fmt::Display for Basis {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            out,
            "token={} revision={} staleness_s={:.2} authority_s={:.2} margin_s={:.2}",
            self.token, self.revision, self.known_age_s, self.authority_s, self.margin_s
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
    if !orders.orders.is_empty() {
        log::debug!(
            "event=orders machine={} incarnation={} seq={} {basis} orders={:?}",
            heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.seq,
            orders.orders
        );
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// All workers may be at one controller, at one and a half times what was announced.
    #[test]
    fn the_port_takes_what_the_settings_allow_and_leaves_what_the_controller_needs_itself() {
        for (memory_mb, max_sockets, others, rps, machines) in [
            (188.0, 2829, 4, 70.0, 2750),
            (188.0, 2057, 2, 250.0, 890),
            (56.0, 600, 2, 60.0, 260),
            (200.0, 3500, 0, 80.0, 3300),
        ] {
            let q = crate::settings::Quota {
                memory_mb,
                max_sockets,
            };
            let l = limits(&q, others, rps, 10.0);
            assert!(l.connections + own_sockets(others, rps) <= max_sockets);
            // Each worker may lack a connection for a moment, so that nearly all is enough.
            assert!(
                l.connections as f64 > f64::from(machines) * 0.97,
                "{} for {machines}",
                l.connections
            );
            assert!(
                l.connections as f64 * CONNECTION_KB / 1024.0 + l.bytes as f64 / 1048576.0
                    < memory_mb * 0.6
            );
        }
        let tiny = limits(
            &crate::settings::Quota {
                memory_mb: 16.0,
                max_sockets: 40,
            },
            2,
            60.0,
            1.0,
        );
        assert!(tiny.connections >= 16);
    }

    /// A leader that lost the store and the others, but not its users, answered them "not now" at
    /// once and so drew ever more of them from the balancer, which prefers idle nodes.
    #[test]
    fn a_leader_that_is_alone_leaves_the_balancer_but_not_in_an_outage_for_all() {
        let judge = |failing, leads, authority| {
            others_fare_better(Readiness {
                failing,
                leads,
                authority,
            })
        };
        assert!(
            judge(true, Some((0, 2)), false),
            "cut off, or refused by the store alone"
        );
        assert!(
            !judge(true, Some((2, 2)), false),
            "an outage of the store for all"
        );
        assert!(!judge(true, Some((0, 0)), false), "there are no others");
        assert!(!judge(false, Some((0, 2)), true), "the store answers");
        assert!(judge(true, None, true), "another one leads");
        assert!(
            !judge(true, None, false),
            "nobody leads, as far as is known"
        );
    }
}
