//! The wait until a cancellation may be reported to a user, whoever has written it: from the report on,
//! no controller may start a task of the job (see `sched::cancellation`).

use crate::api::responses::retry_after;
use crate::controller::{Controller, State};
use crate::counters::Counters;
use http::server::Response;
use http::with_timeout;
use smol::channel::Receiver;
use std::rc::Rc;
use std::time::{Duration, Instant};
use store::replica::JobEntry;
use wire::peers::{encode_frame, ToLeader};

/// How long a user waits for the response to a query, in seconds; set by the protocol. Users wait
/// longer for other responses.
const QUERY_TIMEOUT_S: f64 = 2.0;
/// Maximum fraction of that time that is spent waiting for a confirmation.
const WAIT_SHARE: f64 = 0.7;

/// Whether a cancellation may be reported.
enum Confirmation {
    /// It may be reported now.
    Reportable,
    /// It may be reported later.
    Pending(PendingConfirmation),
}

/// A cancellation that may not be reported yet.
struct PendingConfirmation {
    /// Time after which it may be reported even without a confirmation.
    remaining: Duration,
    /// Receives a message when the leader has confirmed it.
    confirmed: Receiver<()>,
    /// Whether a leader was asked to confirm it.
    has_leader: bool,
}

/// Waits until the job's state may be reported, if it is cancelled. An error is the response to send
/// instead, if that takes longer than the user waits.
pub(super) async fn wait_until_reportable(
    controller: &Rc<Controller>,
    id: &str,
    entry: &JobEntry,
) -> Result<(), Response> {
    let Some(version) = entry.cancelled_at_version() else {
        return Ok(());
    };
    let deadline = Instant::now() + Duration::from_secs_f64(QUERY_TIMEOUT_S * WAIT_SHARE);
    loop {
        let wait_left = deadline.saturating_duration_since(Instant::now());
        let pending = match request_confirmation(controller, id, version) {
            Confirmation::Reportable => return Ok(()),
            Confirmation::Pending(pending) => pending,
        };
        let is_too_long = pending.remaining > wait_left && !pending.has_leader;
        if wait_left.is_zero() || is_too_long {
            return Err(not_confirmed_response(controller, id, pending.remaining));
        }
        let max_wait = pending.remaining.min(wait_left);
        let _ = with_timeout(max_wait, pending.confirmed.recv()).await;
    }
}

/// Asks the leader to confirm a cancellation, unless it may be reported already.
fn request_confirmation(controller: &Controller, id: &str, version: u64) -> Confirmation {
    let mut guard = controller.lock();
    let state = &mut *guard;
    if remaining(controller, state, id, version).is_zero() {
        return Confirmation::Reportable;
    }
    let (confirmed, is_first) = state.shared.cancellations.wait_for_confirmation(id);
    let has_leader = ask_leader(controller, state, id, is_first);
    match remaining(controller, state, id, version) {
        Duration::ZERO => Confirmation::Reportable,
        remaining => Confirmation::Pending(PendingConfirmation {
            remaining,
            confirmed,
            has_leader,
        }),
    }
}

fn remaining(controller: &Controller, state: &State, id: &str, version: u64) -> Duration {
    let cancellations = &state.shared.cancellations;
    Duration::from_secs_f64(cancellations.remaining_s(id, version, controller.now()))
}

/// Asks the leader, in this process or over the link, to confirm a cancellation. A request to another
/// process is sent only once, for the first user's request that waits for it. Returns whether there is
/// a leader.
fn ask_leader(controller: &Controller, state: &mut State, id: &str, is_first: bool) -> bool {
    if let Some(leadership) = &mut state.shared.leadership {
        let member = &controller.settings.member;
        let leader = &mut leadership.leader;
        leader.confirm_cancellation(id, member, controller.now());
        controller.exchange_messages(state);
        return true;
    }
    let Some(leader) = &state.shared.leader_outbox else {
        return false;
    };
    if is_first {
        leader.send(encode_frame(&ToLeader::Cancelled { job: id.into() }));
    }
    true
}

fn not_confirmed_response(controller: &Controller, id: &str, remaining: Duration) -> Response {
    Counters::increment(&controller.counters.answers_refused);
    log::debug!(
        "event=cancellation_unconfirmed job={id} remaining_s={:.2}",
        remaining.as_secs_f64()
    );
    retry_after(
        remaining.as_secs_f64(),
        "the cancellation has not reached all controllers yet",
    )
}
