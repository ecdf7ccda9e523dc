//! Preemption: capacity is taken back for work within its team's guarantee, and for work of higher
//! priority.
//!
//! Only two kinds of tasks are stopped: work that another team runs on borrowed capacity, beyond
//! its own guarantee, and work of lower priority. Those that began last lose least, so they go
//! first, and no more than the guarantee lacks. For a gang of several tasks either all of its
//! capacity is taken back or nothing is stopped.
//!
//! The steps, of which only the last changes anything:
//!
//! 1. `eligibility`: which of the entries that the pass could not place may have tasks stopped;
//! 2. `candidates`: the machines, and on each the `victims` that may be stopped there;
//! 3. `task_plan` and `gang_plan`: where capacity is taken back at the least loss, within what
//!    `team_usage` allows, for all entries one after the other by `planner`;
//! 4. `stops`: the planned victims are stopped.

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

/// Part of the time allowed for a guaranteed start that is left to capacity freed by itself.
const PREEMPTION_DELAY_SHARE: f64 = 0.2;

/// Rounds of preemption within that part of the time.
const ROUNDS_PER_DELAY: f64 = 2.0;

impl Leader {
    /// Stops what the protocol allows for entries that the pass could not place. All tasks are
    /// examined only when there is an entry for which others may be stopped.
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
