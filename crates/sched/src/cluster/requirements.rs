//! Machine requirements of tasks, and the scarce machine types that are kept for jobs that fit no
//! other type.

use super::{Cluster, Job};
use crate::placement::Resources;
use std::collections::BTreeSet;
use wire::cloud::MachineType;
use wire::peers::{AllowedMachineType, TaskRequirements};

/// Scarce machine types: the type's name, and whether its spot machines (`true`) or its on-demand
/// machines (`false`) are scarce.
pub(crate) type ScarceTypes = BTreeSet<(String, bool)>;

impl Cluster {
    /// Returns the machine types that are the only ones to fit the tasks of some job class. They
    /// are kept for jobs of such classes.
    pub(crate) fn scarce_types(&self) -> ScarceTypes {
        let mut scarce = ScarceTypes::new();
        for profile in self.class_profiles.values() {
            let types = self.machine_types.values();
            let fitting: BTreeSet<&str> = types
                .filter(|machine_type| profile.fits(machine_type))
                .map(|machine_type| machine_type.name.as_str())
                .collect();
            if fitting.len() != 1 || self.machine_types.len() <= 1 {
                continue;
            }
            for name in fitting {
                scarce.insert((name.to_string(), false));
                if profile.spot {
                    scarce.insert((name.to_string(), true));
                }
            }
        }
        scarce
    }

    /// Returns the requirements of a job's tasks, leaving out the machine types in `excluded`.
    pub(crate) fn requirements(
        &self,
        job: &Job,
        excluded: Option<&ScarceTypes>,
    ) -> TaskRequirements {
        let spec = &job.spec;
        let is_excluded =
            |kind: &(String, bool)| excluded.is_some_and(|excluded| excluded.contains(kind));
        let mut kinds = Vec::new();
        let types = self.machine_types.values();
        for machine_type in types.filter(|machine_type| can_run(job, machine_type)) {
            // Prefer spot machines, so that on-demand machines become empty and can be released.
            for spot in [true, false] {
                let kind = (machine_type.name.clone(), spot);
                if (!spot || spec.spot) && !is_excluded(&kind) {
                    kinds.push(AllowedMachineType {
                        kind: kind.0,
                        spot,
                        tier: u8::from(!spot),
                    });
                }
            }
        }
        TaskRequirements {
            cpus: spec.cpus,
            gpus: spec.gpus,
            memory_gb: spec.memory_gb,
            image: spec.image.clone(),
            image_gb: spec.image_gb,
            allowed_types: kinds,
            zone: spec.zone.clone(),
        }
    }

    /// Returns whether an unplaced gang fits only scarce machine types.
    pub(crate) fn gang_waits_for_scarce_types(&self, scarce: &ScarceTypes) -> bool {
        let unplaced = self.unplaced.iter();
        let mut gangs =
            unplaced.filter_map(|(id, _)| self.jobs.get(id).filter(|job| job.is_gang()));
        gangs.any(|job| {
            self.requirements(job, Some(scarce))
                .allowed_types
                .is_empty()
        })
    }

    /// Returns the requirements of a job's tasks without scarce machine types, or with them if the
    /// job fits no other type.
    pub(crate) fn requirements_avoiding_scarce(
        &self,
        job: &Job,
        scarce: &ScarceTypes,
    ) -> TaskRequirements {
        let requirements = self.requirements(job, Some(scarce));
        if requirements.allowed_types.is_empty() {
            return self.requirements(job, None);
        }
        requirements
    }
}

/// Returns whether a task of a job may run on an empty machine of a type.
fn can_run(job: &Job, machine_type: &MachineType) -> bool {
    let allowed = job.spec.types.as_ref();
    allowed.is_none_or(|allowed| allowed.contains(&machine_type.name))
        && Resources::of_type(machine_type).can_fit(job.resources())
}
