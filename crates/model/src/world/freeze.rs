//! Frozen controllers: they do nothing for a while, though their clocks run on.

use super::*;

impl World {
    /// A controller decides nothing, sends nothing and reads nothing for a while. What reaches it
    /// meanwhile waits there.
    pub fn freeze_controller(&mut self, controller: usize, duration_s: f64) {
        let frozen = &mut self.controllers[controller];
        frozen.frozen_until = frozen.frozen_until.max(self.now + duration_s);
    }

    /// The same right after the controller has decided its next response to a worker, which goes
    /// out when it runs again.
    pub fn freeze_before_next_response(&mut self, controller: usize, duration_s: f64) {
        self.controllers[controller].freeze_after_response_s = Some(duration_s);
    }

    pub(super) fn is_frozen(&self, controller: usize) -> bool {
        self.now < self.controllers[controller].frozen_until
    }
}
