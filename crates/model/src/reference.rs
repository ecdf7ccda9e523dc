//! A simple, unoptimized reference implementation of the placement pass.

use std::collections::BTreeMap;
use wire::users::{Job, Shape};

/// A machine of the reference implementation.
#[derive(Clone, Debug)]
pub struct ReferenceMachine {
    /// The machine name, which breaks ties between equally good machines.
    pub name: String,
    /// Free CPUs.
    pub cpus: f64,
    /// Free memory in GB.
    pub memory_gb: f64,
    /// The image cached on the machine, if any.
    pub image: Option<String>,
}

/// Places the jobs in the given order and returns the number of placed tasks per job. A gang is
/// placed completely or not at all, and a job that does not fit does not block later ones.
/// `cpu_limit` is the number of CPUs that the team may use.
pub fn place(
    machines: &mut [ReferenceMachine],
    jobs: &[Job],
    mut cpu_limit: f64,
) -> BTreeMap<String, u32> {
    let mut placed_by_job = BTreeMap::new();
    for job in jobs {
        let snapshot: Vec<ReferenceMachine> = machines.to_vec();
        let mut placed = 0;
        for _ in 0..job.tasks {
            if job.cpus > cpu_limit - f64::from(placed) * job.cpus + 1e-6 {
                break;
            }
            let fits = |machine: &&mut ReferenceMachine| {
                machine.cpus + 1e-6 >= job.cpus && machine.memory_gb + 1e-6 >= job.memory_gb
            };
            let best = machines.iter_mut().filter(fits).min_by(|a, b| {
                let key = |machine: &ReferenceMachine| {
                    (
                        machine.image.is_none(),
                        machine.image.as_deref() != Some(job.image.as_str()),
                        ((machine.cpus - job.cpus).max(0.0) * 1000.0) as u64,
                    )
                };
                key(a).cmp(&key(b)).then(a.name.cmp(&b.name))
            });
            let Some(machine) = best else { break };
            machine.cpus -= job.cpus;
            machine.memory_gb -= job.memory_gb;
            machine.image = Some(job.image.clone());
            placed += 1;
        }
        if job.shape == Shape::Gang && placed < job.tasks {
            machines.clone_from_slice(&snapshot);
            placed = 0;
        }
        cpu_limit -= f64::from(placed) * job.cpus;
        if placed > 0 {
            placed_by_job.insert(job.id.clone(), placed);
        }
    }
    placed_by_job
}
