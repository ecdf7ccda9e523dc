//! Late boots, releases that take effect late and slow links, and the checks and deliberate defects around them.

use super::*;
use std::ops::Range;

/// The maximum time, in seconds, by which a release takes effect after it was requested, while
/// releases are late.
const MAX_RELEASE_DELAY_S: f64 = 12.0;

/// The time, in seconds, for which a leader waits for the cloud's answer to a release.
const RELEASE_TIMEOUT_S: f64 = 5.0;

/// The maximum time, in seconds, that a message takes on a link between controllers, with the
/// messages before it.
const MAX_LINK_DELAY_S: f64 = 2.0;

/// Delays of the cloud and of the links between controllers, and the releases under way.
#[derive(Default)]
pub(super) struct Delays {
    /// The cloud carries out releases late until this time.
    pub(super) releases_late_until: f64,
    late_releases: Vec<LateRelease>,
    /// The machines whose release the present leader has requested, unless all requests were refused.
    pub(super) release_requests: BTreeMap<String, ReleaseRequest>,
    /// Machines that are provisioned until this time boot late.
    boots_late_until: f64,
    /// The range from which the delay of such a boot is drawn, in seconds.
    boot_delay_s: Range<f64>,
    /// The additional transit time of messages between controllers until `links_slow_until`, in
    /// seconds.
    link_delay_s: f64,
    links_slow_until: f64,
}

/// A release that takes effect later, whether or not its leader still waits for it.
struct LateRelease {
    takes_effect_at: f64,
    machines: Vec<String>,
}

/// The requests of the present leader for the release of a machine.
pub(super) struct ReleaseRequest {
    /// When the first of them was sent.
    first_at: f64,
    /// Whether one of them got no answer, so that it may still take effect.
    is_unanswered: bool,
}

/// The tasks that a leader expects on machines, each with its owner.
type ExpectedTasks = Vec<(String, TaskRef)>;

impl World {
    /// Makes the cloud carry out releases late for `duration_s`.
    pub fn late_releases(&mut self, duration_s: f64) {
        self.delays.releases_late_until =
            self.delays.releases_late_until.max(self.now + duration_s);
    }

    /// Delays the boot of all machines that are provisioned in the next `duration_s` by a random time
    /// in `delay_s`.
    pub fn late_boots(&mut self, duration_s: f64, delay_s: Range<f64>) {
        self.delays.boots_late_until = self.now + duration_s;
        self.delays.boot_delay_s = delay_s;
    }

    /// Adds `delay_s` to the transit time of all messages between controllers for `duration_s`.
    pub fn slow_links(&mut self, delay_s: f64, duration_s: f64) {
        self.delays.link_delay_s = delay_s;
        self.delays.links_slow_until = self.now + duration_s;
    }

    /// Returns the present additional transit time of messages between controllers.
    pub(super) fn extra_link_delay_s(&self) -> f64 {
        if self.now < self.delays.links_slow_until {
            self.delays.link_delay_s
        } else {
            0.0
        }
    }

    /// Returns by how much the boot of a machine is late.
    pub(super) fn draw_boot_delay_s(&mut self) -> f64 {
        if self.now < self.delays.boots_late_until {
            let Range { start, end } = self.delays.boot_delay_s;
            start + self.rng.f64() * (end - start)
        } else {
            0.0
        }
    }

    /// Records that the leader requests the release of machines.
    pub(super) fn record_release_request(&mut self, machines: &[String]) {
        for machine in machines {
            let request = ReleaseRequest {
                first_at: self.now,
                is_unanswered: false,
            };
            let requests = self.delays.release_requests.entry(machine.clone());
            requests.or_insert(request);
        }
    }

    /// Sends a release request to the cloud while releases are late. The leader gets the answer when
    /// the release takes effect, or gives up on it before.
    pub(super) fn send_late_release(&mut self, elected_revision: u64, machines: Vec<String>) {
        let delay_s = self.rng.f64() * MAX_RELEASE_DELAY_S;
        let takes_effect_at = self.now + delay_s;
        self.writes.push(PendingWrite {
            arrives_at: self.now + delay_s.min(RELEASE_TIMEOUT_S),
            elected_revision,
            action: Action::Deprovision(machines.clone()),
            expected_version: 0,
            is_late: delay_s > RELEASE_TIMEOUT_S,
        });
        self.delays.late_releases.push(LateRelease {
            takes_effect_at,
            machines,
        });
    }

    /// Returns whether the leader expects a task on a machine whose release is late.
    pub fn expects_task_under_release(&self) -> bool {
        let Some(leading) = &self.leading else {
            return false;
        };
        let mut machines = self
            .delays
            .late_releases
            .iter()
            .flat_map(|late| &late.machines);
        machines.any(|machine| !leading.leader.expected_tasks(machine).is_empty())
    }

    /// Lets all late releases take effect now, and the leader get the answers for which it waits.
    pub fn finish_late_releases(&mut self) {
        for release in &mut self.delays.late_releases {
            release.takes_effect_at = self.now;
        }
        let is_release = |write: &&mut PendingWrite| matches!(write.action, Action::Deprovision(_));
        for write in self.writes.iter_mut().filter(is_release) {
            write.arrives_at = self.now;
            write.is_late = false;
        }
    }

    /// Carries out the late releases whose time has come.
    pub(super) fn run_late_releases(&mut self) {
        let now = self.now;
        let releases = std::mem::take(&mut self.delays.late_releases).into_iter();
        let (due, later): (Vec<_>, Vec<_>) =
            releases.partition(|release| release.takes_effect_at <= now);
        self.delays.late_releases = later;
        for release in due {
            self.deprovision(&release.machines);
        }
    }

    /// Tells the leader the outcome of a release request.
    pub(super) fn report_release(
        &mut self,
        leader: &mut Leader,
        machines: &[String],
        outcome: ReleaseOutcome,
    ) {
        let expected = self.expected_tasks(leader, machines);
        for machine in machines {
            self.record_release_outcome(machine, outcome);
        }
        leader.on_deprovision_result(machines, outcome);
        if outcome == ReleaseOutcome::Released {
            self.requeue_expected_tasks(leader, expected);
        }
    }

    /// Records the outcome of a request. A refusal says nothing about an earlier request that got no
    /// answer.
    fn record_release_outcome(&mut self, machine: &str, outcome: ReleaseOutcome) {
        let Some(request) = self.delays.release_requests.get_mut(machine) else {
            return;
        };
        request.is_unanswered |= outcome == ReleaseOutcome::Unknown;
        if outcome == ReleaseOutcome::Released || !request.is_unanswered {
            self.delays.release_requests.remove(machine);
        }
    }

    /// Returns the tasks that the leader only expects on machines, if they are to be queued again by
    /// a deliberate defect.
    fn expected_tasks(&self, leader: &Leader, machines: &[String]) -> ExpectedTasks {
        if self.defect != Defect::RequeueExpectedTasks {
            return Vec::new();
        }
        let expected = machines.iter();
        let expected = expected.flat_map(|machine| leader.expected_tasks(machine));
        expected.collect()
    }

    /// Makes the leader queue tasks again as if their owners had handed them back.
    fn requeue_expected_tasks(&self, leader: &mut Leader, expected: ExpectedTasks) {
        for (owner, task) in expected {
            let message = ToLeader::HandBack {
                job: task.job,
                attempt: task.attempt,
                tasks: vec![(task.index, 1)],
            };
            leader.on_owner_message(&owner, message, self.now);
        }
    }

    /// Makes the leader forget the release of each machine whose status it has just received, if that
    /// is the defect.
    pub(super) fn damage_releases(&self, leader: &mut Leader, received: &ToLeader) {
        let forgets = matches!(
            self.defect,
            Defect::ForgetReleases | Defect::RequeueExpectedTasks
        );
        let ToLeader::MachineStatuses(statuses) = received else {
            return;
        };
        for status in statuses.iter().filter(|_| forgets) {
            if self.delays.release_requests.contains_key(&status.name) {
                let machine = std::slice::from_ref(&status.name);
                leader.on_deprovision_result(machine, ReleaseOutcome::Refused);
            }
        }
    }

    /// Checks that no task starts on a machine whose release the present leader has requested.
    /// `heartbeat_sent_at` is the time of the heartbeat to which the start responds. An owner hears
    /// that a machine is unusable, or its authority ends, some time after the request.
    pub(super) fn check_not_under_release(&mut self, machine: &str, heartbeat_sent_at: f64) {
        let notice_s = MAX_LINK_DELAY_S.max(self.config.max_leader_authority_s());
        let request = self.delays.release_requests.get(machine);
        if request.is_some_and(|request| heartbeat_sent_at > request.first_at + notice_s) {
            self.record_violation("started_under_release");
        }
    }

    /// Checks that no task that the leader may start is on a machine.
    pub(super) fn check_startable_tasks(&mut self) {
        let Some(leading) = &self.leading else {
            return;
        };
        let is_startable = |task: &TaskKey| leading.leader.is_startable(&task.job, task.index);
        let any_startable = self
            .workers
            .values()
            .any(|worker| worker.live_tasks().any(is_startable));
        if any_startable {
            self.record_violation("startable_while_running");
        }
    }
}
