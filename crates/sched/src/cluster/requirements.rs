//! What tasks require of their machines, and which machine types are spared for jobs that fit nothing else.

use super::{Cluster, Job};
use crate::placement::Resources;
use std::collections::BTreeSet;
use wire::cloud::MachineType;
use wire::peers::{AllowedMachineType, TaskRequirements};

/// Machine types by name, as spot machines (true) or ordinary ones.
pub(crate) type ScarceTypes = BTreeSet<(String, bool)>;

impl Cluster {
    /// Machine types that are the only ones on which some class's tasks fit: kept for those.
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

    /// What tasks of a job require, on any machine type but those in `without`.
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
            // Spot machines first, so that ordinary ones become empty and can be released.
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
            kinds,
            zone: spec.zone.clone(),
        }
    }

    /// Whether a gang that fits no other machine types waits for these.
    pub(crate) fn gang_waits_for_scarce_types(&self, scarce: &ScarceTypes) -> bool {
        let unplaced = self.unplaced.iter();
        let mut gangs =
            unplaced.filter_map(|(id, _)| self.jobs.get(id).filter(|job| job.is_gang()));
        gangs.any(|job| self.requirements(job, Some(scarce)).kinds.is_empty())
    }

    /// What tasks of a job require without scarce machine types, unless the job has no other.
    pub(crate) fn requirements_avoiding_scarce(
        &self,
        job: &Job,
        scarce: &ScarceTypes,
    ) -> TaskRequirements {
        let requirements = self.requirements(job, Some(scarce));
        if requirements.kinds.is_empty() {
            return self.requirements(job, None);
        }
        requirements
    }
}

/// Whether a task of a job may run on an empty machine of a type.
fn can_run(job: &Job, machine_type: &MachineType) -> bool {
    let allowed = job.spec.types.as_ref();
    allowed.is_none_or(|allowed| allowed.contains(&machine_type.name))
        && Resources::of_type(machine_type).can_fit(job.resources())
}
