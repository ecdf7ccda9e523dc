//! Releases of machines that were requested from the cloud.
//!
//! Invariant: a machine has an entry from the first request for its release on, unless the cloud has
//! refused every request. A machine with an entry gets no work.

use std::collections::BTreeMap;

/// Maximum number of machines in one release request (defined by the cloud's protocol).
const MAX_MACHINES_PER_REQUEST: usize = 100;

/// Outcome of a release request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseOutcome {
    /// The machines and everything on them are gone.
    Released,
    /// The request was not carried out and never will be.
    Refused,
    /// There was no answer: the request may have been carried out, or may be later.
    Unknown,
}

/// State of a machine's release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Release {
    /// A request is queued or under way.
    Requested {
        /// Whether an earlier request got no answer.
        earlier_unanswered: bool,
    },
    /// The last request got no answer, or was refused after one that got none. The machine may be
    /// gone, now or later, and its release has to be requested again.
    Unanswered,
    /// The cloud has released the machine.
    Confirmed,
}

/// The releases, by machine.
#[derive(Default)]
pub(super) struct Releases {
    by_machine: BTreeMap<String, Release>,
}

impl Releases {
    /// Returns whether the cloud has confirmed the release of a machine.
    pub fn is_confirmed(&self, machine: &str) -> bool {
        self.by_machine.get(machine) == Some(&Release::Confirmed)
    }

    /// Returns whether a request for the release of a machine is queued or under way.
    pub fn is_requested(&self, machine: &str) -> bool {
        let release = self.by_machine.get(machine);
        matches!(release, Some(Release::Requested { .. }))
    }

    /// Returns whether a request for the release of a machine got no answer, so that the machine may
    /// be released at any time.
    pub fn may_take_effect(&self, machine: &str) -> bool {
        matches!(
            self.by_machine.get(machine),
            Some(
                Release::Unanswered
                    | Release::Requested {
                        earlier_unanswered: true
                    }
            )
        )
    }

    /// Records requests for the release of machines. Leaves out those whose release is under way or
    /// confirmed, and returns the rest in batches that each fit one request.
    pub fn request(&mut self, mut machines: Vec<String>) -> Vec<Vec<String>> {
        machines.retain(|machine| self.request_one(machine));
        let batches = machines.chunks(MAX_MACHINES_PER_REQUEST);
        batches.map(<[String]>::to_vec).collect()
    }

    /// Records a request for the release of a machine; returns whether it is needed.
    fn request_one(&mut self, machine: &str) -> bool {
        if self.is_requested(machine) || self.is_confirmed(machine) {
            return false;
        }
        let earlier_unanswered = self.may_take_effect(machine);
        let requested = Release::Requested { earlier_unanswered };
        self.by_machine.insert(machine.into(), requested);
        true
    }

    /// Records the outcome of a request for the release of a machine.
    pub fn record_outcome(&mut self, machine: &str, outcome: ReleaseOutcome) {
        let release = match outcome {
            ReleaseOutcome::Released => Some(Release::Confirmed),
            ReleaseOutcome::Unknown => Some(Release::Unanswered),
            ReleaseOutcome::Refused => self.may_take_effect(machine).then_some(Release::Unanswered),
        };
        match release {
            Some(release) => self.by_machine.insert(machine.into(), release),
            None => self.by_machine.remove(machine),
        };
    }
}
