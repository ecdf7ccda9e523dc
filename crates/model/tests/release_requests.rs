//! A machine whose release was requested gets no work, unless the cloud has refused the request.

use model::world::{
    config_without_deprovisioning, job, lone_leader, machine_status, machine_types, roster,
    roster_record, unlimited_teams,
};
use sched::config::SchedulerConfig;
use sched::leader::{Action, Leader, OpenJob, PriorRuns, ReleaseOutcome};
use std::collections::BTreeMap;
use std::rc::Rc;
use wire::peers::{MachineDescriptor, MachineStatus, ToLeader, ToOwner};
use wire::users::{Job, Shape};

/// The controller that leads and owns all machines.
const OWNER: &str = "rung-0";

/// The machine whose release is requested.
const RELEASED: &str = "host-1";

/// Time in which a machine of type `small` is given up, and time for a review after that, in
/// seconds.
const BOOT_TIMEOUT_S: f64 = 12.0;

/// What the leader has decided about the machine `RELEASED` in some time.
#[derive(Debug, Default, PartialEq)]
struct Decisions {
    /// Whether it was put on the roster.
    rostered: bool,
    /// Whether its owner was last told that it may place tasks there, if it was told anything.
    usable: Option<bool>,
    /// Number of requests for its release.
    releases: u32,
    /// Number of tasks that were assigned, to any machine.
    tasks: u32,
}

impl Decisions {
    fn record(&mut self, action: &Action) {
        match action {
            Action::UpdateRoster(name, Some(_)) => self.rostered |= name == RELEASED,
            Action::Deprovision(names) => {
                self.releases += u32::from(names.iter().any(|name| name == RELEASED));
            }
            Action::Send(_, message) => self.record_message(message),
            _ => {}
        }
    }

    fn record_message(&mut self, message: &ToOwner) {
        match message {
            ToOwner::SetUsable { machine, usable } if machine == RELEASED => {
                self.usable = Some(*usable);
            }
            ToOwner::Epoch { machines, .. } => {
                let descriptor = |it: &&MachineDescriptor| it.name == RELEASED;
                let usable = machines.iter().find(descriptor).map(|it| it.usable);
                self.usable = usable.or(self.usable);
            }
            ToOwner::Assign { tasks, .. } => {
                self.tasks += tasks.iter().map(|(_, count)| count).sum::<u32>();
            }
            _ => {}
        }
    }
}

struct Scenario {
    leader: Leader,
    now: f64,
    usable: bool,
}

impl Scenario {
    fn new(leader: Leader) -> Scenario {
        let mut scenario = Scenario {
            leader,
            now: 0.0,
            usable: false,
        };
        scenario.leader.tick(0.0, 0);
        scenario
    }

    /// The cloud has provisioned one machine for a job; it is not up after the longest boot time, and
    /// its release has been requested.
    fn with_late_boot() -> Scenario {
        let mut leader = lone_leader(config(), machine_types(), vec![], 0, &BTreeMap::new());
        let open = OpenJob::new(Rc::new(array(1)), 1, PriorRuns::None);
        leader.add_job(open);
        let mut scenario = Scenario::new(leader);
        let requests = scenario.provision_requests();
        assert_eq!(requests.len(), 1, "requests: {requests:?}");
        let granted = vec![RELEASED.to_string()];
        scenario
            .leader
            .on_provision_result(&requests[0], Some(granted), scenario.now);
        let decisions = scenario.advance(BOOT_TIMEOUT_S);
        assert_eq!(decisions.releases, 1, "{decisions:?}");
        scenario
    }

    /// A new leader knows two machines from the roster. One of them stays silent, and its release has
    /// been requested.
    fn with_silent_machine() -> Scenario {
        let roster = roster([RELEASED, "host-2"], &roster_record("small"));
        let open = OpenJob::new(Rc::new(array(1)), 1, PriorRuns::Anywhere);
        let leader = lone_leader(config(), machine_types(), vec![open], 1, &roster);
        let mut scenario = Scenario::new(leader);
        scenario.usable = true;
        scenario.report(machine_status("host-2", "small", Vec::new()));
        let decisions = scenario.advance(BOOT_TIMEOUT_S);
        assert_eq!(decisions.releases, 1, "{decisions:?}");
        assert_eq!(decisions.usable, Some(false), "{decisions:?}");
        scenario.usable = false;
        scenario
    }

    /// Returns the names of the provision requests of the next seconds.
    fn provision_requests(&mut self) -> Vec<String> {
        self.now += 2.0;
        self.leader.tick(self.now, 0);
        let mut requests = Vec::new();
        for action in self.leader.take_actions() {
            match action {
                Action::Provision(request) => requests.push(request.name),
                other => self.answer(other),
            }
        }
        requests
    }

    /// Advances the time. The store accepts all writes, and there are no more machines.
    fn advance(&mut self, seconds: f64) -> Decisions {
        let mut decisions = Decisions::default();
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.25;
            self.leader.tick(self.now, 0);
            for action in self.leader.take_actions() {
                decisions.record(&action);
                self.answer(action);
            }
        }
        decisions
    }

    fn answer(&mut self, action: Action) {
        match action {
            Action::UpdateRoster(name, record) => {
                let is_put = record.is_some();
                self.leader.on_roster_result(&name, is_put, true);
            }
            Action::RecordStartedArrays(record) => {
                self.leader.on_start_record_result(&record, true);
            }
            Action::Provision(request) => {
                let none = Some(Vec::new());
                self.leader
                    .on_provision_result(&request.name, none, self.now);
            }
            Action::IssueToken => {
                let token = self.leader.token() + 1;
                self.leader.on_token_result(Some(token), self.now);
            }
            _ => {}
        }
    }

    fn report(&mut self, status: MachineStatus) {
        let statuses = ToLeader::MachineStatuses(vec![status]);
        self.leader.on_owner_message(OWNER, statuses, self.now);
    }

    /// The owner reports the machine as up and empty.
    fn report_released(&mut self) {
        let status = MachineStatus {
            token: self.leader.token(),
            usable: self.usable,
            ..machine_status(RELEASED, "small", Vec::new())
        };
        self.report(status);
    }

    fn release_ends(&mut self, outcome: ReleaseOutcome) {
        let names = [RELEASED.to_string()];
        self.leader.on_deprovision_result(&names, outcome);
    }

    /// Reports the machine every second, and returns what the leader decides in that time.
    fn keep_reporting(&mut self, seconds: u32) -> Decisions {
        let mut all = Decisions::default();
        for _ in 0..seconds {
            self.report_released();
            let decisions = self.advance(1.0);
            all.rostered |= decisions.rostered;
            all.usable = decisions.usable.or(all.usable);
            all.releases += decisions.releases;
            all.tasks += decisions.tasks;
            self.usable = all.usable.unwrap_or(self.usable);
        }
        all
    }
}

fn config() -> SchedulerConfig {
    SchedulerConfig {
        teams: unlimited_teams(&["red"]),
        ..config_without_deprovisioning()
    }
}

/// An array of which each task takes a whole machine of type `small`.
fn array(tasks: u32) -> Job {
    Job {
        spot: false,
        types: Some(vec!["small".into()]),
        ..job(1, "red", Shape::Array, tasks, 4.0)
    }
}

/// Guards against lost work: a machine that came up while its release was under way was given tasks.
#[test]
fn machine_that_boots_during_its_release_gets_no_work() {
    let mut scenario = Scenario::with_late_boot();
    assert_eq!(scenario.keep_reporting(5), Decisions::default());
    scenario.release_ends(ReleaseOutcome::Released);
    assert_eq!(scenario.keep_reporting(5), Decisions::default());
}

/// The machine came up after all, and the cloud did not carry out the request: it is used.
#[test]
fn machine_is_used_after_its_release_is_refused() {
    let mut scenario = Scenario::with_late_boot();
    scenario.report_released();
    scenario.release_ends(ReleaseOutcome::Refused);
    let decisions = scenario.keep_reporting(3);
    assert!(decisions.rostered, "{decisions:?}");
    assert_eq!(decisions.usable, Some(true));
    assert_eq!(decisions.tasks, 1);
    assert_eq!(decisions.releases, 0);
}

/// Guards against lost work and against machines that cost money unused: a request without an answer
/// may take effect later, so the machine gets nothing, and its release is requested again.
#[test]
fn unanswered_release_is_requested_again_and_keeps_work_away() {
    for up_before_the_answer in [true, false] {
        let mut scenario = Scenario::with_late_boot();
        if up_before_the_answer {
            scenario.report_released();
        }
        scenario.release_ends(ReleaseOutcome::Unknown);
        let expected = Decisions {
            releases: 1,
            ..Decisions::default()
        };
        assert_eq!(
            scenario.keep_reporting(5),
            expected,
            "up before: {up_before_the_answer}"
        );
        // A refusal of the second request says nothing about the first one.
        scenario.release_ends(ReleaseOutcome::Refused);
        assert_eq!(
            scenario.keep_reporting(5),
            expected,
            "up before: {up_before_the_answer}"
        );
    }
}

/// A new epoch hands the machine to an owner that knows nothing of its release.
#[test]
fn release_outlasts_a_change_of_owners() {
    let mut scenario = Scenario::with_late_boot();
    scenario.report_released();
    scenario.advance(1.0);
    scenario.leader.on_owner_contact("rung-1", scenario.now);
    let decisions = scenario.advance(1.0);
    assert_eq!(decisions.usable, Some(false), "{decisions:?}");
    assert_eq!(decisions.tasks, 0);
}

/// Guards against lost work and against a machine that stays idle: a machine that was silent reports
/// while its release is under way.
#[test]
fn silent_machine_that_reports_during_its_release_gets_no_work() {
    for (outcome, is_used) in [
        (ReleaseOutcome::Refused, true),
        (ReleaseOutcome::Unknown, false),
    ] {
        for reports_first in [true, false] {
            let mut scenario = Scenario::with_silent_machine();
            let case = format!("{outcome:?}, reports first: {reports_first}");
            if reports_first {
                let decisions = scenario.keep_reporting(2);
                assert_ne!(decisions.usable, Some(true), "{case}: {decisions:?}");
            }
            scenario.release_ends(outcome);
            let decisions = scenario.keep_reporting(5);
            assert_eq!(decisions.usable == Some(true), is_used, "{case}");
            assert_eq!(decisions.releases > 0, !is_used, "{case}: {decisions:?}");
        }
    }
}
