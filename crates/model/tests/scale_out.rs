//! Which machines are provisioned for a queue, when some types are kept for gangs and the cloud refuses.

use model::world::{
    config_without_deprovisioning, job, lone_leader, machine_status, machine_types, roster,
    roster_record, unlimited_teams,
};
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::cloud::ProvisionRequest;
use wire::peers::ToLeader;
use wire::users::{Job, Shape};

/// A leader alone, and the provision requests that it asked for.
struct ScaleOutScenario {
    leader: Leader,
    now: f64,
    requests: Vec<(f64, ProvisionRequest)>,
    unreported_machines: Vec<String>,
}

impl ScaleOutScenario {
    fn new(machines: usize) -> ScaleOutScenario {
        let config = SchedulerConfig {
            teams: unlimited_teams(&["red"]),
            ..config_without_deprovisioning()
        };
        let machines: Vec<String> = (0..machines).map(|n| format!("host-{n}")).collect();
        let roster = roster(machines.clone(), &roster_record("small"));
        let leader = lone_leader(config, machine_types(), vec![], 0, &roster);
        let mut scenario = ScaleOutScenario {
            leader,
            now: 0.0,
            requests: Vec::new(),
            unreported_machines: machines,
        };
        scenario.advance(1.0);
        scenario
    }

    /// A gang that fits only on `large` is accepted and ends: that type is kept for its class.
    fn complete_large_gang(&mut self) {
        let gang = Job {
            class: "large-gang".into(),
            spot: false,
            ..job(1, "red", Shape::Gang, 2, 14.0)
        };
        let id = gang.id.clone();
        self.accept(gang);
        self.leader.on_job_terminal(&id);
    }

    fn accept(&mut self, job: Job) {
        let job = Rc::new(Job { spot: false, ..job });
        self.leader.add_job(OpenJob::new(job, 1, PriorRuns::None));
    }

    /// Time passes; the cloud has no machines at all, and the store takes what is written.
    fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.25;
            self.leader.tick(self.now, 0);
            // Each machine is shown empty once; what is given to it afterwards stays there.
            let statuses: Vec<_> = std::mem::take(&mut self.unreported_machines)
                .iter()
                .map(|machine| machine_status(machine, "small", vec![]))
                .collect();
            self.leader
                .on_owner_message("rung-0", ToLeader::MachineStatuses(statuses), self.now);
            for action in self.leader.take_actions() {
                match action {
                    Action::Provision(request) => {
                        self.requests.push((self.now, request.clone()));
                        self.leader
                            .provision_result(&request.name, Some(Vec::new()), self.now);
                    }
                    Action::IssueToken => self.leader.token_result(Some(2), self.now),
                    Action::RecordStartedArrays(record) => {
                        self.leader.start_record_result(&record, true)
                    }
                    _ => {}
                }
            }
        }
    }

    fn requests_for(&self, kind: &str) -> impl Iterator<Item = &ProvisionRequest> {
        let requests = self.requests.iter().map(|(_, request)| request);
        let kind = kind.to_string();
        requests.filter(move |request| request.kind == kind)
    }
}

/// Of several offers one was always out of its back-off and was asked for in full again, so that arrays
/// waited for a minute beside 53 machines of the type kept for gangs that the cloud had left.
#[test]
fn refused_types_are_retried_one_machine_at_a_time() {
    let mut scenario = ScaleOutScenario::new(0);
    scenario.complete_large_gang();
    scenario.accept(job(2, "red", Shape::Array, 400, 1.0));
    scenario.advance(20.0);
    let mut first_request: BTreeMap<&str, f64> = BTreeMap::new();
    let mut retries = 0;
    for (at, request) in scenario
        .requests
        .iter()
        .filter(|(_, request)| request.kind == "small")
    {
        let first = *first_request.entry(&request.zone).or_insert(*at);
        if *at > first {
            assert_eq!(request.count, 1, "asked again in full after {at} s");
            retries += 1;
        }
    }
    assert!(retries > 1, "nothing was tried again");
    let (first, _) = scenario
        .requests
        .iter()
        .find(|(_, request)| request.kind == "large")
        .expect("a large machine");
    assert!(*first < 6.0, "only after {first} s");
}

/// A small gang that fits on any machine waits. Arrays may have the type kept for large gangs all the
/// same: in pipelines some small gang waits at nearly all times.
#[test]
fn small_gang_does_not_block_arrays_from_reserved_type() {
    for (tasks, cpus, expected) in [(2, 1.0, true), (2, 14.0, false)] {
        let mut scenario = ScaleOutScenario::new(0);
        scenario.complete_large_gang();
        scenario.accept(Job {
            class: "gang".into(),
            ..job(3, "red", Shape::Gang, tasks, cpus)
        });
        scenario.accept(job(2, "red", Shape::Array, 400, 1.0));
        scenario.advance(20.0);
        // Of a gang's own two machines there is no more than a few tries.
        let for_arrays = scenario
            .requests_for("large")
            .any(|request| request.count > 2);
        assert_eq!(for_arrays, expected, "a gang of {cpus} CPUs a task waits");
    }
}

/// What running tasks free while a machine boots was counted as the queue's, though new jobs took it: the
/// queue only grew. One array alone is still left to what becomes free.
#[test]
fn machines_are_provisioned_for_growing_queue() {
    for (arrays, expected) in [(1, false), (60, true)] {
        let mut scenario = ScaleOutScenario::new(10);
        scenario.accept(job(1, "red", Shape::Array, 40, 1.0));
        scenario.advance(2.0);
        assert!(scenario.requests.is_empty(), "all of it runs");
        // Forty tasks of 3 s free some 13 CPUs a second, and 40 while a machine boots for 3 s.
        for number in 0..arrays {
            scenario.accept(job(2 + number, "red", Shape::Array, 30, 1.0));
            scenario.advance(2.0);
            scenario
                .leader
                .on_job_terminal(&job(2 + number, "red", Shape::Array, 30, 1.0).id);
        }
        assert_eq!(!scenario.requests.is_empty(), expected, "{arrays} arrays");
    }
}
