//! Whether all groups of jobs are served.

use super::*;

const LARGEST_GANGS: &str = "largest gangs";

/// How many jobs of a group there were, and how many of them began in time.
#[derive(Default)]
struct Service {
    jobs: u32,
    served: u32,
}

/// The groups of which a job is counted.
fn groups_of(spec: &Job) -> Vec<String> {
    let mut groups = vec![
        format!("{:?}", spec.shape),
        format!("{:?} of {}", spec.shape, spec.team),
    ];
    if spec.shape == Shape::Gang && spec.tasks == LARGEST_GANG {
        groups.push(LARGEST_GANGS.into());
    }
    groups
}

impl World {
    /// At least half of the jobs of each shape and team, and of the largest gangs, began in time. Jobs
    /// that came too late to tell do not count.
    pub(in crate::world) fn check_served(&mut self) {
        let is_starved = |(_, service): &(String, Service)| service.served * 2 < service.jobs;
        let rule = |(group, _): (String, Service)| match group.as_str() {
            LARGEST_GANGS => "late",
            _ => "unserved",
        };
        let starved = self.service_by_group().into_iter().filter(is_starved);
        let broken = starved.map(rule).collect();
        self.break_rules(broken);
    }

    fn service_by_group(&self) -> BTreeMap<String, Service> {
        let mut groups: BTreeMap<String, Service> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.cancelled) {
            // The time of a job with dependencies counts from when the last of them is done.
            let Some(ready_at) = job.ready_at.filter(|at| self.now - at > BEGIN_S) else {
                continue;
            };
            let in_time = job.started_at.is_some_and(|at| at - ready_at <= BEGIN_S);
            for group in groups_of(&job.spec) {
                let service = groups.entry(group).or_default();
                service.jobs += 1;
                service.served += u32::from(in_time);
            }
        }
        groups
    }
}
