//! Updates to the leader's view of the cluster when tasks are placed; shared by arrays and gangs.

use crate::leader::MAX_BACKOFF_S;
use crate::leader::{ActiveTask, Leader, TaskLocation};
use crate::placement::Resources;
use crate::Secs;
use wire::peers::TaskRequirements;

/// Maximum number of images tracked per machine; the newest are kept.
const MAX_IMAGES_PER_MACHINE: usize = 8;

impl Leader {
    /// Records tasks that found no capacity as unmet demand (`Cluster::unplaced`). Tasks of a job
    /// that fails wherever it is tried are not recorded, so that no machines are provisioned for
    /// them, until more than `MAX_BACKOFF_S` has passed since the end of the job's backoff. From
    /// then on they are recorded, because the machines may be at fault after all and the job must
    /// not wait forever.
    pub(super) fn record_unplaced(&mut self, id: &str, tasks: u32, now: Secs) {
        let is_demand =
            self.cluster.jobs.get(id).is_some_and(|job| {
                !job.fails_everywhere() || now - job.backoff_until > MAX_BACKOFF_S
            });
        if is_demand {
            self.cluster.unplaced.push((id.into(), tasks));
        }
    }

    /// Takes the capacity for `tasks` tasks on a machine out of the index, and records the tasks'
    /// image on the machine, which is about to fetch it.
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

    /// Records an image as the newest on a machine.
    fn record_image(&mut self, machine: &str, image: &str) {
        if let Some(state) = self.cluster.machines.get_mut(machine) {
            state.images.retain(|other| other != image);
            state.images.insert(0, image.to_string());
            state.images.truncate(MAX_IMAGES_PER_MACHINE);
        }
        self.cluster.machines.mark_dirty(machine);
    }

    /// Records a task as active from now on, not yet running, at the given location.
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
