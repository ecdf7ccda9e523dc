//! A running digest of everything that crosses a component boundary of the simulated world:
//! heartbeats and responses, messages between controllers, writes, cloud requests, results for
//! users, ends of jobs and elections.
//!
//! Two worlds with equal digests made the same decisions at the same times. Everything is hashed as
//! its encoded bytes (CBOR, bitcode frames, stored records), or as numbers and length-prefixed
//! strings. Names of types and fields and debug output are not hashed, so that renaming does not
//! change the digest. Recording draws no random numbers and has no effect but on the digest.

use super::outcomes::Outcome;
use sched::leader::Action;
use sched::owner::HeartbeatResponse;
use wire::cbor::encode;
use wire::cloud::Names;
use wire::peers::{encode_frame, ToLeader, ToOwner};
use wire::store::{BindingRecord, ProgressPage};
use wire::users::Job;
use wire::workers::{Heartbeat, Order, Redirect};

/// A kind of event. The numbers are part of the digest and never change.
#[derive(Clone, Copy)]
enum Event {
    Submitted = 1,
    Cancelled = 2,
    Ended = 3,
    Reported = 4,
    Answered = 5,
    Executed = 6,
    ToLeader = 7,
    ToOwner = 8,
    Pinged = 9,
    Granted = 10,
    Requested = 11,
    CarriedOut = 12,
    Postponed = 13,
    Refused = 14,
    Provisioned = 15,
    Elected = 16,
    RuleBroken = 17,
}

/// The running digest of the events so far, and their number; the events themselves are not kept.
/// The digest is a 64-bit FNV-1a hash, with the standard offset basis and prime, of the events in
/// their order.
#[derive(Clone, Debug)]
pub struct Trace {
    hash: u64,
    events: u64,
}

impl Default for Trace {
    fn default() -> Trace {
        Trace {
            hash: 0xcbf2_9ce4_8422_2325,
            events: 0,
        }
    }
}

impl Trace {
    /// Returns the digest of everything recorded so far.
    pub fn digest(&self) -> u64 {
        self.hash
    }

    /// Returns the number of recorded events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Adds a number to the digest, as eight little-endian bytes.
    pub fn number(&mut self, number: u64) -> &mut Trace {
        self.hash_bytes(&number.to_le_bytes())
    }

    fn hash_bytes(&mut self, bytes: &[u8]) -> &mut Trace {
        for byte in bytes {
            self.hash = (self.hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        self
    }

    /// Adds bytes to the digest, with their length as a prefix.
    fn bytes(&mut self, bytes: &[u8]) -> &mut Trace {
        self.number(bytes.len() as u64).hash_bytes(bytes)
    }

    fn text(&mut self, text: &str) -> &mut Trace {
        self.bytes(text.as_bytes())
    }

    fn float(&mut self, float: f64) -> &mut Trace {
        self.number(float.to_bits())
    }

    fn flag(&mut self, flag: bool) -> &mut Trace {
        self.hash_bytes(&[u8::from(flag)])
    }

    fn event(&mut self, now: f64, event: Event) -> &mut Trace {
        self.events += 1;
        self.hash_bytes(&[event as u8]).float(now)
    }

    /// Records the acceptance of a user's job.
    pub(super) fn submitted(&mut self, now: f64, job: &Job) {
        self.event(now, Event::Submitted).bytes(&encode(job));
    }

    /// Records a user's cancellation request and whether it was confirmed.
    pub(super) fn cancelled(&mut self, now: f64, job: &str, confirmed: bool) {
        self.event(now, Event::Cancelled).text(job).flag(confirmed);
    }

    /// Records that a job is terminal.
    pub(super) fn ended(&mut self, now: f64, job: &str, cancelled: bool) {
        self.event(now, Event::Ended).text(job).flag(cancelled);
    }

    /// Records that a worker sends a heartbeat.
    pub(super) fn reported(&mut self, now: f64, to: usize, heartbeat: &Heartbeat) {
        self.event(now, Event::Reported)
            .number(to as u64)
            .bytes(&encode(heartbeat));
    }

    /// Records a controller's response to a heartbeat when it is computed, even if it is then lost.
    pub(super) fn answered(
        &mut self,
        now: f64,
        by: usize,
        heartbeat: &Heartbeat,
        response: &HeartbeatResponse,
    ) {
        self.event(now, Event::Answered)
            .number(by as u64)
            .text(&heartbeat.machine)
            .number(heartbeat.incarnation)
            .number(heartbeat.seq);
        match response {
            HeartbeatResponse::Orders(orders) => self.hash_bytes(&[1]).bytes(&encode(orders)),
            HeartbeatResponse::Redirect(member) => {
                self.hash_bytes(&[2]).bytes(&encode(&Redirect {
                    member: Some(member.clone()),
                }))
            }
            HeartbeatResponse::Unavailable => self
                .hash_bytes(&[3])
                .bytes(&encode(&Redirect { member: None })),
        };
    }

    /// Records that a worker executes an order.
    pub(super) fn executed(&mut self, now: f64, machine: &str, order: &Order) {
        self.event(now, Event::Executed)
            .text(machine)
            .bytes(&encode(order));
    }

    /// Records a message from a controller to the leader, which arrives at `at`.
    pub(super) fn sent_to_leader(&mut self, now: f64, from: usize, at: f64, message: &ToLeader) {
        self.event(now, Event::ToLeader)
            .number(from as u64)
            .float(at)
            .bytes(&encode_frame(message));
    }

    /// Records a ping from a controller to the leader, which arrives at `at`.
    pub(super) fn pinged(&mut self, now: f64, from: usize, at: f64) {
        self.event(now, Event::Pinged).number(from as u64).float(at);
    }

    /// Records the leader's response to a ping sent at `sent_at`: authority for `valid_s` seconds,
    /// or none.
    pub(super) fn granted(&mut self, now: f64, to: usize, sent_at: f64, valid_s: Option<f64>) {
        self.event(now, Event::Granted)
            .number(to as u64)
            .float(sent_at)
            .flag(valid_s.is_some())
            .float(valid_s.unwrap_or(0.0));
    }

    /// Records a leader's action: a message to an owner, a write, or a request to the cloud.
    pub(super) fn requested(&mut self, now: f64, by: u64, action: &Action) {
        if let Action::Send(to, message) = action {
            return self.sent_to_owner(now, by, to, message);
        }
        self.event(now, Event::Requested).number(by).action(action);
    }

    fn sent_to_owner(&mut self, now: f64, by: u64, to: &str, message: &ToOwner) {
        self.event(now, Event::ToOwner)
            .number(by)
            .text(to)
            .bytes(&encode_frame(message));
    }

    /// Records the outcome of a request: whether it was applied, and whether the leader learns
    /// that.
    pub(super) fn carried_out(&mut self, now: f64, action: &Action, outcome: Outcome) {
        self.event(now, Event::CarriedOut)
            .flag(outcome.took_effect())
            .flag(outcome.is_confirmed())
            .action(action);
    }

    /// Records a write that gets no response and is applied at `at`.
    pub(super) fn postponed(&mut self, now: f64, at: f64, action: &Action) {
        self.event(now, Event::Postponed).float(at).action(action);
    }

    /// Records a write that fails because its writer is no longer the leader, its key has been
    /// written since, or the store is unavailable.
    pub(super) fn refused(&mut self, now: f64, by: u64, action: &Action) {
        self.event(now, Event::Refused).number(by).action(action);
    }

    /// Records machines that the cloud provisions.
    pub(super) fn provisioned(&mut self, now: f64, machines: &[String]) {
        self.event(now, Event::Provisioned).bytes(&encode(&Names {
            machines: machines.to_vec(),
        }));
    }

    /// Records an election with its term and the revision of the store.
    pub(super) fn elected(&mut self, now: f64, controller: usize, term: u64, revision: u64) {
        self.event(now, Event::Elected)
            .number(controller as u64)
            .number(term)
            .number(revision);
    }

    /// Records the violation of a rule.
    pub(super) fn rule_broken(&mut self, now: f64, rule: &str) {
        self.event(now, Event::RuleBroken).text(rule);
    }

    /// Adds an action to the digest, as its message, stored record or cloud request, preceded by
    /// the number of its kind and the parts of its key.
    fn action(&mut self, action: &Action) {
        match action {
            Action::Send(to, message) => {
                self.hash_bytes(&[1]).text(to).bytes(&encode_frame(message))
            }
            Action::ConfirmCancellations { requester, jobs } => {
                let jobs = jobs.clone();
                self.hash_bytes(&[10])
                    .text(requester)
                    .bytes(&encode_frame(&ToOwner::CancellationsConfirmed { jobs }))
            }
            Action::IssueToken => self.hash_bytes(&[2]),
            Action::UpdateRoster(machine, record) => self
                .hash_bytes(&[3])
                .text(machine)
                .flag(record.is_some())
                .bytes(&record.as_ref().map(encode).unwrap_or_default()),
            Action::RecordStartedArrays(record) => self.hash_bytes(&[4]).bytes(&encode(record)),
            Action::RecordProgress {
                job,
                first_task,
                bits,
            } => self
                .hash_bytes(&[5])
                .bytes(&encode(&progress(job, *first_task, bits))),
            Action::FinishJob { job } => self.hash_bytes(&[6]).text(job),
            Action::Bind {
                job,
                attempt,
                places,
            } => self
                .hash_bytes(&[7])
                .text(job)
                .bytes(&encode(&binding(*attempt, places))),
            Action::Provision(request) => self.hash_bytes(&[8]).bytes(&encode(request)),
            Action::Deprovision(machines) => self.hash_bytes(&[9]).bytes(&encode(&Names {
                machines: machines.clone(),
            })),
        };
    }
}

fn binding(attempt: u64, places: &[(String, u32, u32)]) -> BindingRecord {
    BindingRecord {
        attempt,
        places: places.to_vec(),
    }
}

/// Returns a page that holds only the progress that one action records for a job.
fn progress(job: &str, first_task: u32, bits: &str) -> ProgressPage {
    let entry = vec![(job.to_string(), first_task, bits.to_string())];
    match first_task {
        0 => ProgressPage {
            chunks: entry,
            sections: Vec::new(),
        },
        _ => ProgressPage {
            chunks: Vec::new(),
            sections: entry,
        },
    }
}
