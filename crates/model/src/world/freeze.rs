//! Frozen controllers: the process is suspended for a time while its clock continues.

use super::*;

impl World {
    /// Suspends a controller for `duration_s`: it neither computes, sends nor reads anything.
    /// Messages that arrive meanwhile are queued.
    pub fn freeze_controller(&mut self, controller: usize, duration_s: f64) {
        let frozen = &mut self.controllers[controller];
        frozen.frozen_until = frozen.frozen_until.max(self.now + duration_s);
    }

    /// Suspends a controller for `duration_s` as soon as it has computed its next response to a
    /// worker. The response is sent after the controller resumes.
    pub fn freeze_before_next_response(&mut self, controller: usize, duration_s: f64) {
        self.controllers[controller].freeze_after_response_s = Some(duration_s);
    }

    pub(super) fn is_frozen(&self, controller: usize) -> bool {
        self.now < self.controllers[controller].frozen_until
    }
}
