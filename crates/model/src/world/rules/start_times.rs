//! Whether all groups of jobs are served.

use super::*;

const LARGEST_GANGS_GROUP: &str = "largest gangs";

/// How many jobs of a group there were, and how many of them began in time.
#[derive(Default)]
struct StartStats {
    jobs: u32,
    started_in_time: u32,
}

/// The groups of which a job is counted.
fn job_groups(spec: &Job) -> Vec<String> {
    let mut groups = vec![
        format!("{:?}", spec.shape),
        format!("{:?} of {}", spec.shape, spec.team),
    ];
    if spec.shape == Shape::Gang && spec.tasks == LARGEST_GANG_TASKS {
        groups.push(LARGEST_GANGS_GROUP.into());
    }
    groups
}

impl World {
    /// At least half of the jobs of each shape and team, and of the largest gangs, began in time. Jobs
    /// that came too late to tell do not count.
    pub(in crate::world) fn check_started_in_time(&mut self) {
        let is_starved = |(_, stats): &(String, StartStats)| stats.started_in_time * 2 < stats.jobs;
        let rule = |(group, _): (String, StartStats)| match group.as_str() {
            LARGEST_GANGS_GROUP => "late",
            _ => "unserved",
        };
        let starved = self.start_stats_by_group().into_iter().filter(is_starved);
        let violations = starved.map(rule).collect();
        self.record_violations(violations);
    }

    fn start_stats_by_group(&self) -> BTreeMap<String, StartStats> {
        let mut groups: BTreeMap<String, StartStats> = BTreeMap::new();
        for job in self.jobs.values().filter(|job| !job.cancelled) {
            // The time of a job with dependencies counts from when the last of them is done.
            let Some(ready_at) = job.ready_at.filter(|at| self.now - at > MAX_START_WAIT_S) else {
                continue;
            };
            let in_time = job
                .started_at
                .is_some_and(|at| at - ready_at <= MAX_START_WAIT_S);
            for group in job_groups(&job.spec) {
                let stats = groups.entry(group).or_default();
                stats.jobs += 1;
                stats.started_in_time += u32::from(in_time);
            }
        }
        groups
    }
}
