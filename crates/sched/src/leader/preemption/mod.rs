//! Preemption: running tasks are stopped to make room for jobs within their team's guarantee, and
//! for jobs of higher priority.
//!
//! Only two kinds of tasks are stopped: tasks that another team runs on borrowed capacity, beyond
//! its own guarantee, and tasks of lower priority. Tasks that started last lose the least work and
//! are stopped first, and no more borrowed capacity is taken for a team than the team lacks of its
//! guarantee. For a gang of several tasks, either enough tasks are stopped to place the whole gang,
//! or none.
//!
//! The steps, of which only the last changes any state:
//!
//! 1. `eligibility`: selects the queue entries that the scheduling pass could not place and that
//!    may preempt tasks of other jobs;
//! 2. `candidates`: collects the machines and, for each, its `victims` (the tasks that may be
//!    stopped there);
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

/// Initial fraction of `guarantee_s` in which no task is preempted for a waiting job, so that
/// capacity can first become free on its own. Gangs of several tasks are exempt from this delay.
const PREEMPTION_DELAY_SHARE: f64 = 0.2;

/// Number of preemption rounds in the delay that `PREEMPTION_DELAY_SHARE` sets. The interval
/// between rounds is the delay divided by this number.
const ROUNDS_PER_DELAY: f64 = 2.0;

impl Leader {
    /// Runs a preemption round for the entries that the last scheduling pass could not place,
    /// unless the last round was too recent. All tasks are examined only if some entry may preempt
    /// tasks of other jobs and there may be tasks to preempt.
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
