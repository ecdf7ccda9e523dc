//! Checks that in every group of jobs enough start in time.

use super::*;

const LARGEST_GANGS_GROUP: &str = "largest gangs";

/// The number of jobs in a group and how many of them started in time.
#[derive(Default)]
struct StartStats {
    jobs: u32,
    started_in_time: u32,
}

/// Returns the groups in which a job is counted.
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
    /// Checks that at least half of the jobs of each shape, of each shape and team, and of the
    /// largest gangs started in time. Cancelled jobs are left out, and so are jobs that still have
    /// time to start.
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
            // The time of a job with dependencies is counted from when the last of them is done.
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
