//! What tasks need of their machines, and which machine types are spared for jobs that fit nothing else.

use super::{Cluster, Job};
use crate::placement::Resources;
use std::collections::BTreeSet;
use wire::peers::{AllowedMachineType, TaskRequirements};

impl Cluster {
    /// Machine types that are the only ones on which some class's tasks fit: kept for those.
    pub(crate) fn scarce(&self) -> BTreeSet<(String, bool)> {
        let mut out = BTreeSet::new();
        for shape in self.class_profiles.values() {
            let kinds: BTreeSet<&str> = self
                .types
                .values()
                .filter(|t| shape.fits(t))
                .map(|t| t.name.as_str())
                .collect();
            if kinds.len() == 1 && self.types.len() > 1 {
                for k in kinds {
                    out.insert((k.to_string(), false));
                    if shape.spot {
                        out.insert((k.to_string(), true));
                    }
                }
            }
        }
        out
    }

    pub(crate) fn requirements(
        &self,
        job: &Job,
        without: Option<&BTreeSet<(String, bool)>>,
    ) -> TaskRequirements {
        let s = &job.spec;
        let mut kinds = Vec::new();
        for t in self.types.values() {
            if s.types.as_ref().is_some_and(|l| !l.contains(&t.name))
                || !Resources::of_type(t).can_fit(job.resources())
            {
                continue;
            }
            for spot in [true, false] {
                let pair = (t.name.clone(), spot);
                if (!spot || s.spot) && !without.is_some_and(|w| w.contains(&pair)) {
                    // Cheap machines first, so that dear ones become empty and can be returned.
                    kinds.push(AllowedMachineType {
                        kind: pair.0,
                        spot,
                        tier: u8::from(!spot),
                    });
                }
            }
        }
        let image = s.image.clone();
        TaskRequirements {
            cpus: s.cpus,
            gpus: s.gpus,
            memory_gb: s.memory_gb,
            image,
            image_gb: s.image_gb,
            kinds,
            zone: s.zone.clone(),
        }
    }

    /// Whether a gang that fits no other machine types waits for these.
    pub(crate) fn waits_for_scarce(&self, scarce: &BTreeSet<(String, bool)>) -> bool {
        let unmet = self.unmet.iter();
        let mut gangs = unmet.filter_map(|(id, _)| self.jobs.get(id).filter(|j| j.is_gang()));
        gangs.any(|job| self.requirements(job, Some(scarce)).kinds.is_empty())
    }

    /// The same without scarce machine types, unless the job has no other.
    pub(crate) fn requirements_sparing(
        &self,
        job: &Job,
        scarce: &BTreeSet<(String, bool)>,
    ) -> TaskRequirements {
        let requirements = self.requirements(job, Some(scarce));
        if requirements.kinds.is_empty() {
            return self.requirements(job, None);
        }
        requirements
    }
}
