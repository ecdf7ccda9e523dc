//! Preemption: running tasks are stopped to make room for jobs within their team's guarantee, and
//! for jobs of higher priority.
//!
//! Only two kinds of tasks are stopped: tasks that another team runs on borrowed capacity, beyond
//! its own guarantee, and tasks of lower priority. Tasks that started last lose the least work and
//! are stopped first, and no more is taken than the guarantee lacks. For a gang of several tasks,
//! either capacity for the whole gang is reclaimed or nothing is stopped.
//!
//! The steps, of which only the last changes any state:
//!
//! 1. `eligibility`: selects the entries that the pass could not place and that may preempt others;
//! 2. `candidates`: collects the machines, each with the `victims` that may be stopped there;
//! 3. `planner`: plans for the entries one after the other. `task_plan` and `gang_plan` choose
//!    where the least work is lost, within the limits of `team_usage`;
//! 4. `stops`: stops the planned victims.

mod candidates;
mod eligibility;
mod gang_plan;
mod planner;
mod stops;
mod task_plan;
mod team_usage;
mod victims;

use crate::leader::Leader;
use crate::Secs;
use planner::Planner;
use team_usage::TeamUsage;

/// Fraction of the time allowed for a guaranteed start during which nothing is preempted for a job
/// (multi-task gangs excepted), so that capacity can first become free on its own.
const PREEMPTION_DELAY_SHARE: f64 = 0.2;

/// Number of preemption rounds within that delay, which sets the interval between rounds.
const ROUNDS_PER_DELAY: f64 = 2.0;

impl Leader {
    /// Runs a preemption round, if one is due, for the entries that the pass could not place. All
    /// tasks are examined only if there is an entry that may preempt others and something to
    /// preempt.
    pub(crate) fn preempt(&mut self, now: Secs) {
        let interval_s =
            self.cluster.config.guarantee_s * PREEMPTION_DELAY_SHARE / ROUNDS_PER_DELAY;
        if now - self.last_preemption_at < interval_s {
            return;
        }
        let entries = eligibility::eligible_entries(&self.cluster, now);
        let usage = TeamUsage::after_stops(&self.cluster);
        if !eligibility::any_preemptible(&self.cluster, &entries, &usage) {
            return;
        }
        self.last_preemption_at = now;
        let scarce = self.cluster.scarce_types();
        let cordon = self.cordon_for_gang(&scarce, now);
        let planner = Planner::new(&self.cluster, usage, &scarce, cordon.as_ref(), now);
        let preemptions = planner.plan(&entries);
        for preemption in preemptions {
            self.stop_victims(preemption);
        }
    }
}
