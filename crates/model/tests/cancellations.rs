//! When a cancellation may be reported to users: the gate of each controller, and the leader's confirmation.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

use model::world::{config, job, machine_types, EmptyJobLookup};
use sched::cancellation::CancellationGate;
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use sched::owner::Owner;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use wire::peers::{ToLeader, ToOwner};
use wire::users::Shape;

/// The gate as a list of everything it was told.
#[derive(Default)]
struct PlainGate {
    revisions: Vec<(u64, f64)>,
    confirmed: BTreeSet<String>,
}

impl PlainGate {
    fn may_report(&self, job: &str, revision: u64, now: f64) -> bool {
        let expiry_s = config().start_expiry_s();
        let is_old = |(reached, at): &(u64, f64)| *reached >= revision && now - at >= expiry_s;
        self.confirmed.contains(job) || self.revisions.iter().any(is_old)
    }
}

/// The gate allows the same reports as a plain list of all revisions, although it forgets old ones.
#[test]
fn gate_agrees_with_plain_model() {
    let mut reported = 0;
    for seed in 0..50 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut gate = CancellationGate::new(&config());
        let mut plain = PlainGate::default();
        let mut cancelled: Vec<(String, u64)> = Vec::new();
        let (mut now, mut revision) = (0.0, 0);
        for step in 0..300 {
            now += rng.f64() * 0.2;
            revision += rng.u64(0..4);
            let reached = revision.saturating_sub(rng.u64(0..6));
            gate.record_revision(reached, now);
            plain.revisions.push((reached, now));
            if rng.u32(0..5) == 0 {
                // The controller knows of the cancellation, so the store has reached its revision.
                gate.record_revision(revision, now);
                plain.revisions.push((revision, now));
                cancelled.push((format!("wk-{step}"), revision));
            }
            if rng.u32(0..20) == 0 {
                if let Some((job, _)) = cancelled.last() {
                    gate.record_confirmation(job, now);
                    plain.confirmed.insert(job.clone());
                }
            }
            // A confirmation is forgotten once the revisions suffice; older jobs have been reported by then.
            for (job, revision) in cancelled.iter().rev().take(4) {
                let may_report = gate.remaining_s(job, *revision, now) <= 0.0;
                let expected = plain.may_report(job, *revision, now);
                assert_eq!(may_report, expected, "seed {seed}, step {step}, {job}");
                reported += u32::from(may_report);
            }
        }
    }
    assert!(reported > 1000, "too few reports: {reported}");
}

/// A leader with token 1 and its owner `rung-1`, to which it has assigned the tasks of `wk-000001`.
struct Cluster {
    leader: Leader,
    now: f64,
}

const JOB: &str = "wk-000001";

impl Cluster {
    fn new() -> Cluster {
        let spec = Rc::new(job(1, "red", Shape::Array, 4, 1.0));
        let open = OpenJob {
            spec,
            revision: 1,
            done: Default::default(),
            prior_runs: PriorRuns::None,
        };
        let roster = BTreeMap::new();
        let leader = Leader::new("rung-0", config(), 1, 1, 4.0, vec![open], &roster, 0, 0.0);
        let mut cluster = Cluster { leader, now: 0.0 };
        cluster.leader.set_catalog(machine_types());
        cluster.leader.on_owner_contact("rung-1", 0.0);
        cluster.leader.on_owner_contact("rung-2", 0.0);
        // Until then an earlier leader may have authority.
        cluster.run_until(config().max_leader_authority_s() + 0.5);
        cluster
    }

    /// Runs the leader with owners that stay in contact, and confirms all its writes.
    fn run_until(&mut self, end: f64) {
        while self.now < end {
            self.now += 0.1;
            for owner in ["rung-1", "rung-2"] {
                self.leader.on_owner_contact(owner, self.now);
            }
            self.leader.tick(self.now, 2);
            self.confirm_writes();
        }
    }

    /// Confirms the leader's pending writes. Returns its messages to owners.
    fn confirm_writes(&mut self) -> Vec<(String, ToOwner)> {
        let mut messages = Vec::new();
        for action in self.leader.take_actions() {
            match action {
                Action::UpdateRoster(name, record) => {
                    self.leader.on_roster_result(&name, record.is_some(), true);
                }
                Action::RecordStartedArrays(record) => {
                    self.leader.on_start_record_result(&record, true);
                }
                Action::IssueToken => {
                    let token = self.leader.token() + 1;
                    self.leader.on_token_result(Some(token), self.now);
                }
                Action::Send(to, message) => messages.push((to, message)),
                _ => {}
            }
        }
        messages
    }

    /// Assigns the job's tasks to `rung-1`, by showing a machine of its shard that has capacity.
    fn assign_tasks(&mut self) {
        let members = self.leader.members().to_vec();
        let machine = (0..)
            .map(|i| format!("host-{i:06}"))
            .find(|name| sched::shard::owner(name, &members) == Some("rung-1"))
            .unwrap();
        let mut status = model::world::machine_status(&machine, "large", Vec::new());
        status.token = self.leader.token();
        let statuses = ToLeader::MachineStatuses(vec![status]);
        self.leader.on_owner_message("rung-1", statuses, self.now);
        for _ in 0..10 {
            self.now += 0.1;
            self.leader.tick(self.now, 2);
            let messages = self.confirm_writes();
            let is_assigned = |(to, message): &(String, ToOwner)| {
                to == "rung-1" && matches!(message, ToOwner::Assign { job, .. } if job == JOB)
            };
            if messages.iter().any(is_assigned) {
                return;
            }
        }
        panic!("the tasks were not assigned");
    }

    /// Asks the leader for the confirmation, as `rung-2`, and returns the numbers of its requests to the owners.
    fn request(&mut self) -> BTreeMap<String, u64> {
        self.leader
            .on_owner_message("rung-2", ToLeader::Cancelled { job: JOB.into() }, self.now);
        let requests = self
            .leader
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                Action::Send(to, ToOwner::ConfirmTerminal { n }) => Some((to, n)),
                Action::ConfirmCancellations { .. } => {
                    panic!("confirmed although owners hold tasks")
                }
                _ => None,
            });
        requests.collect()
    }

    fn confirm(&mut self, owner: &str, n: u64) {
        self.leader
            .on_owner_message(owner, ToLeader::TerminalConfirmed { n }, self.now);
    }

    /// Returns whether the leader has confirmed the cancellation to `rung-2` since the last call.
    fn is_confirmed(&mut self) -> bool {
        let confirmed = Action::ConfirmCancellations {
            requester: "rung-2".into(),
            jobs: vec![JOB.into()],
        };
        self.leader.take_actions().contains(&confirmed)
    }
}

/// Guards against starts after a confirmed cancellation: the leader confirms it only when every owner has.
#[test]
fn leader_waits_for_all_owners() {
    let mut cluster = Cluster::new();
    cluster.assign_tasks();
    let requests = cluster.request();
    assert_eq!(requests.len(), 2);
    cluster.confirm("rung-2", requests["rung-2"]);
    assert!(!cluster.is_confirmed());
    cluster.confirm("rung-1", requests["rung-1"] - 1);
    assert!(!cluster.is_confirmed());
    cluster.confirm("rung-1", requests["rung-1"]);
    assert!(cluster.is_confirmed());
}

/// An owner whose connection is lost may start tasks until the authority ends that it was granted.
#[test]
fn leader_waits_for_granted_authority() {
    let mut cluster = Cluster::new();
    cluster.assign_tasks();
    let until = cluster.now + 0.5;
    cluster
        .leader
        .grant_authority("rung-1", cluster.now, until)
        .unwrap();
    let requests = cluster.request();
    cluster.confirm("rung-2", requests["rung-2"]);
    cluster.leader.on_owner_disconnected("rung-1");
    cluster.leader.tick(until - 0.1, 2);
    assert!(!cluster.is_confirmed());
    cluster.leader.tick(until + 0.1, 2);
    assert!(cluster.is_confirmed());
}

/// A new leader confirms nothing while an earlier one, or an owner of an earlier one, may have authority.
#[test]
fn new_leader_waits_for_earlier_authority() {
    let roster = BTreeMap::new();
    let mut leader = Leader::new("rung-0", config(), 1, 7, 4.0, Vec::new(), &roster, 0, 100.0);
    let confirmed = |leader: &mut Leader| {
        let is_confirmation =
            |action: &Action| matches!(action, Action::ConfirmCancellations { .. });
        leader.take_actions().iter().any(is_confirmation)
    };
    leader.confirm_cancellation(JOB, "rung-0", 100.0);
    assert!(!confirmed(&mut leader));
    let ends_at = 100.0 + config().max_leader_authority_s();
    leader.confirm_cancellation(JOB, "rung-0", ends_at - 0.1);
    assert!(!confirmed(&mut leader));
    leader.tick(ends_at + 0.1, 2);
    assert!(confirmed(&mut leader));
}

/// A job that the leader knows and that has no task was forgotten when its cancellation was confirmed, so that
/// a read of the store from before the cancellation added it again.
#[test]
fn older_read_does_not_return_cancelled_job() {
    let mut cluster = Cluster::new();
    cluster
        .leader
        .confirm_cancellation(JOB, "rung-0", cluster.now);
    assert!(!cluster.leader.has_job(JOB));
    cluster.leader.add_job(OpenJob {
        spec: Rc::new(job(1, "red", Shape::Array, 4, 1.0)),
        revision: 1,
        done: Default::default(),
        prior_runs: PriorRuns::None,
    });
    assert!(!cluster.leader.has_job(JOB));
}

/// An owner confirms a request after it has processed all messages before it.
#[test]
fn owner_confirms_in_order() {
    let mut owner = Owner::new("rung-1", config());
    let jobs = vec![JOB.to_string()];
    owner.on_leader_message(ToOwner::TerminalJobs { jobs }, 1.0, &EmptyJobLookup);
    owner.on_leader_message(ToOwner::ConfirmTerminal { n: 3 }, 1.0, &EmptyJobLookup);
    assert_eq!(
        owner.take_messages(),
        vec![ToLeader::TerminalConfirmed { n: 3 }]
    );
}
