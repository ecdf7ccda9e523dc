//! Which machines are provisioned for a queue when some types are reserved for gangs and the cloud
//! refuses requests.

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

/// A leader whose own controller owns all machines, and the provision requests that it has sent,
/// with their times.
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

    /// Accepts and ends a gang that fits only on `large`, so that this type is reserved for the
    /// gang's class of jobs.
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

    /// Advances the time. The cloud has no machines at all, and the store accepts all writes.
    fn advance(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.25;
            self.leader.tick(self.now, 0);
            // Each machine is reported once, as empty. Tasks that it gets afterwards never end.
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
                            .on_provision_result(&request.name, Some(Vec::new()), self.now);
                    }
                    Action::IssueToken => self.leader.on_token_result(Some(2), self.now),
                    Action::RecordStartedArrays(record) => {
                        self.leader.on_start_record_result(&record, true)
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

/// Guards against requesting the full number of machines again when the backoff of a refused offer
/// (a machine type in a zone) ends. Of several offers, there was always one to request again, so
/// that arrays waited for a minute while the cloud had 53 machines left of the type reserved for
/// gangs.
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
            assert_eq!(
                request.count, 1,
                "the full count was requested again after {at} s"
            );
            retries += 1;
        }
    }
    assert!(retries > 1, "no refused offer was retried");
    let (first, _) = scenario
        .requests
        .iter()
        .find(|(_, request)| request.kind == "large")
        .expect("no request for a large machine");
    assert!(
        *first < 6.0,
        "the first large machine was requested only after {first} s"
    );
}

/// Arrays may use the type reserved for large gangs even while a small gang waits, if that gang
/// fits on any machine: with pipelines, some small gang waits nearly all the time.
#[test]
fn small_gang_leaves_reserved_type_to_arrays() {
    for (tasks, cpus, expected) in [(2, 1.0, true), (2, 14.0, false)] {
        let mut scenario = ScaleOutScenario::new(0);
        scenario.complete_large_gang();
        scenario.accept(Job {
            class: "gang".into(),
            ..job(3, "red", Shape::Gang, tasks, cpus)
        });
        scenario.accept(job(2, "red", Shape::Array, 400, 1.0));
        scenario.advance(20.0);
        // Requests for the gang itself are for two machines at most.
        let for_arrays = scenario
            .requests_for("large")
            .any(|request| request.count > 2);
        assert_eq!(
            for_arrays, expected,
            "whether arrays get large machines beside a waiting gang of {cpus} CPUs per task"
        );
    }
}

/// Guards against counting on all capacity that running tasks free while a machine boots: new jobs
/// took that capacity, and the queue only grew. For a single array, no machine is provisioned in
/// addition to the capacity that becomes free.
#[test]
fn machines_are_provisioned_for_growing_queue() {
    for (arrays, expected) in [(1, false), (60, true)] {
        let mut scenario = ScaleOutScenario::new(10);
        scenario.accept(job(1, "red", Shape::Array, 40, 1.0));
        scenario.advance(2.0);
        assert!(
            scenario.requests.is_empty(),
            "machines were requested though all tasks run"
        );
        // Forty tasks of 3 s free some 13 CPUs a second, and 40 while a machine boots for 3 s.
        for number in 0..arrays {
            scenario.accept(job(2 + number, "red", Shape::Array, 30, 1.0));
            scenario.advance(2.0);
            scenario
                .leader
                .on_job_terminal(&job(2 + number, "red", Shape::Array, 30, 1.0).id);
        }
        assert_eq!(
            !scenario.requests.is_empty(),
            expected,
            "whether machines were requested, with {arrays} arrays"
        );
    }
}
