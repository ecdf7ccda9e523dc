//! What placing a task changes in the leader's view of the cluster, for arrays and gangs alike.

use crate::leader::MAX_BACKOFF_S;
use crate::leader::{ActiveTask, Leader, TaskLocation};
use crate::placement::Resources;
use crate::Secs;
use wire::peers::TaskRequirements;

/// Most images remembered for a machine, the newest first.
const MAX_IMAGES_PER_MACHINE: usize = 8;

impl Leader {
    /// What found no capacity counts as demand. For what fails wherever it is tried nothing is
    /// provisioned at once; but should it be the machines' fault after all, it must not wait for
    /// ever.
    pub(super) fn record_unmet(&mut self, id: &str, tasks: u32, now: Secs) {
        let counts =
            self.cluster.jobs.get(id).is_some_and(|job| {
                !job.fails_everywhere() || now - job.backoff_until > MAX_BACKOFF_S
            });
        if counts {
            self.cluster.unplaced.push((id.into(), tasks));
        }
    }

    /// Takes capacity of a machine out of the index for `tasks` tasks, and expects their image there.
    pub(super) fn take_capacity(
        &mut self,
        machine: &str,
        requirements: &TaskRequirements,
        tasks: u32,
    ) {
        let resources = Resources::of(requirements);
        self.cluster
            .machines
            .take_capacity(machine, resources, tasks, &requirements.image);
        self.record_image(machine, &requirements.image);
    }

    /// Remembers an image as the newest on a machine.
    fn record_image(&mut self, machine: &str, image: &str) {
        if let Some(state) = self.cluster.machines.get_mut(machine) {
            state.images.retain(|known| known != image);
            state.images.insert(0, image.to_string());
            state.images.truncate(MAX_IMAGES_PER_MACHINE);
        }
        self.cluster.machines.mark_dirty(machine);
    }

    /// Records that a task is in an owner's hands from now on, to be started.
    pub(super) fn assign_task(
        &mut self,
        id: &str,
        index: u32,
        attempt: u64,
        location: TaskLocation,
        now: Secs,
    ) {
        self.cluster.set_active(
            id,
            index,
            ActiveTask {
                attempt,
                location,
                running: false,
                stop_sent: false,
                since: now,
            },
        );
    }
}
