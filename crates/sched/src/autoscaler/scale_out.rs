//! Scale-out: provisions machines for unplaced work, in addition to those already incoming.

use super::incoming::Incoming;
use super::plan::Plan;
use super::pricing::PricedOffer;
use super::{Autoscaler, MIN_CHARGE_S};
use crate::cluster::{BusyMachines, Cluster, Job};
use crate::placement::Resources;
use crate::Secs;
use std::collections::BTreeSet;
use wire::cloud::ProvisionRequest;
use wire::peers::TaskRequirements;

/// Minimum CPUs counted per task when freed CPUs are converted to a number of tasks. Otherwise a
/// task that requires no CPUs would find unlimited capacity.
const MIN_TASK_CPUS: f64 = 0.01;

/// Capacity that running array tasks are expected to free while a machine boots. Capacity claimed
/// by one job is not available to the next.
struct ExpectedTurnover {
    /// CPUs that are freed per second.
    cpus_per_s: f64,
    /// CPUs already claimed by jobs.
    claimed_cpus: f64,
}

impl ExpectedTurnover {
    /// Claims freed capacity for up to `tasks` tasks of `cpus` CPUs each; returns how many will
    /// find capacity by the time a machine has booted. Jobs that arrive meanwhile use
    /// `arriving_cpus_per_s` of the freed capacity.
    fn claim(&mut self, tasks: u32, cpus: f64, boot_s: Secs, arriving_cpus_per_s: f64) -> u32 {
        let net_cpus_per_s = (self.cpus_per_s - arriving_cpus_per_s).max(0.0);
        let served = ((net_cpus_per_s * boot_s - self.claimed_cpus) / cpus.max(MIN_TASK_CPUS))
            .floor()
            .clamp(0.0, f64::from(tasks));
        self.claimed_cpus += served * cpus;
        served as u32
    }
}

/// One review of the unplaced work. It does not change the cluster; machines that it plans count as
/// incoming for the rest of the work.
pub(super) struct ScaleOut<'a> {
    /// Requests in flight, and the machines and zones kept for gangs.
    pub autoscaler: &'a mut Autoscaler,
    /// The cluster state.
    pub cluster: &'a Cluster,
    /// Scarce machine types: each is the only one that fits the jobs of some class, and is kept for
    /// them.
    scarce: &'a BTreeSet<(String, bool)>,
    /// Source of the random noise on prices.
    pub rng: &'a mut fastrand::Rng,
    /// Time of the review.
    pub now: Secs,
    /// Incoming capacity that is not allocated to a job yet.
    pub incoming: Incoming,
    /// Machines to request.
    pub plan: Plan,
    /// Capacity that is expected to be freed while machines boot.
    turnover: ExpectedTurnover,
    /// Whether a gang that fits only scarce machine types is unplaced.
    gang_waits_for_scarce: bool,
    /// Busy machines by the time at which they are expected to be empty; computed for the first
    /// gang.
    busy_machines: Option<BusyMachines>,
}

impl Autoscaler {
    /// Returns the requests for the machines that unplaced work needs in addition to those
    /// incoming.
    pub(super) fn scale_out(
        &mut self,
        cluster: &Cluster,
        scarce: &BTreeSet<(String, bool)>,
        leader_token: u64,
        rng: &mut fastrand::Rng,
        now: Secs,
    ) -> Vec<ProvisionRequest> {
        self.retained_for_gangs.clear();
        let review = ScaleOut {
            incoming: self.incoming(cluster),
            autoscaler: self,
            cluster,
            scarce,
            rng,
            now,
            plan: Plan::default(),
            turnover: ExpectedTurnover {
                cpus_per_s: cluster.turnover_cpus_per_s(),
                claimed_cpus: 0.0,
            },
            gang_waits_for_scarce: cluster.gang_waits_for_scarce_types(scarce),
            busy_machines: None,
        };
        let plan = review.run();
        self.create_requests(plan, leader_token)
    }
}

impl ScaleOut<'_> {
    /// Plans machines for each unplaced job, in queue order.
    fn run(mut self) -> Plan {
        let cluster = self.cluster;
        for (id, tasks) in &cluster.unplaced {
            let Some(job) = cluster.jobs.get(id) else {
                continue;
            };
            // Other tasks are being preempted to make room for this job.
            if self.now < job.preempting_until {
                continue;
            }
            let requirements = cluster.requirements_avoiding_scarce(job, self.scarce);
            if !job.is_gang() {
                self.plan_for_array(job, &requirements, *tasks);
            } else if !self.can_wait_for_busy_machines(id, &requirements) {
                self.plan_for_gang(id, job, &requirements);
            }
        }
        self.plan
    }

    /// Returns whether a gang can wait for busy machines, and claims them if so.
    fn can_wait_for_busy_machines(&mut self, id: &str, requirements: &TaskRequirements) -> bool {
        let (cluster, now) = (self.cluster, self.now);
        let busy_machines = self
            .busy_machines
            .get_or_insert_with(|| cluster.busy_machines(requirements, now));
        cluster.claim_busy_machines(id, requirements, busy_machines, now)
    }

    /// Plans machines for the tasks of an array that fit neither incoming capacity nor capacity
    /// that running tasks are expected to free.
    fn plan_for_array(&mut self, job: &Job, avoiding_scarce: &TaskRequirements, tasks: u32) {
        let resources = job.resources();
        let unrestricted = self.cluster.requirements(job, None);
        let mut left =
            self.incoming
                .allocate(|offer| offer.is_allowed_by(&unrestricted), resources, tasks);
        while left > 0 {
            let Some(choice) = self.cheapest_avoiding_scarce(avoiding_scarce, &unrestricted, left)
            else {
                break;
            };
            left -= self.claim_turnover(left, resources.cpus, choice.boot_s);
            if left > 0 {
                left = self.provision(choice, resources, left);
            }
        }
    }

    /// Returns the cheapest offer without scarce machine types. Scarce types are included only if
    /// all other offers are exhausted and no gang waits for scarce types.
    fn cheapest_avoiding_scarce(
        &mut self,
        avoiding_scarce: &TaskRequirements,
        unrestricted: &TaskRequirements,
        tasks: u32,
    ) -> Option<PricedOffer> {
        let found = self.cheapest(avoiding_scarce, tasks);
        if found.is_none()
            && !self.gang_waits_for_scarce
            && self.has_only_exhausted_offers(avoiding_scarce)
        {
            return self.cheapest(unrestricted, tasks);
        }
        found
    }

    /// Claims expected turnover for up to `tasks` tasks; returns how many of them need no new
    /// machine, because running tasks free capacity for them before it would boot.
    fn claim_turnover(&mut self, tasks: u32, cpus: f64, boot_s: Secs) -> u32 {
        let arrivals = &self.autoscaler.arrivals;
        let arriving_cpus_per_s = arrivals.cpus_per_s(self.now, boot_s.max(MIN_CHARGE_S));
        self.turnover
            .claim(tasks, cpus, boot_s, arriving_cpus_per_s)
    }

    /// Plans machines of an offer for `left` tasks: no more than may currently be requested, but at
    /// least one. Returns the number of tasks that remain, which is always lower than `left`.
    fn provision(&mut self, choice: PricedOffer, resources: Resources, left: u32) -> u32 {
        let PricedOffer {
            offer, capacity, ..
        } = choice;
        let max_count = self.request_limit(&offer).max(1);
        let count = (left / capacity.count_fitting(resources)).clamp(1, max_count);
        self.incoming.add(offer.clone(), capacity, count);
        let left = self
            .incoming
            .allocate(|other| *other == offer, resources, left);
        self.plan.add(offer, count);
        left
    }

    /// Keeps free machines that fit `tasks` tasks from being released, and plans machines for the
    /// tasks that fit neither those nor incoming capacity.
    pub fn provision_in_zone(&mut self, requirements: &TaskRequirements, tasks: u32) {
        let resources = Resources::of(requirements);
        let mut left = tasks;
        for fit in self.cluster.machines.index().fits(requirements) {
            if left == 0 {
                break;
            }
            left -= fit.slots.min(left);
            self.autoscaler
                .retained_for_gangs
                .insert(fit.name.to_string());
        }
        left = self
            .incoming
            .allocate(|offer| offer.is_allowed_by(requirements), resources, left);
        while left > 0 {
            let Some(choice) = self.cheapest(requirements, left) else {
                break;
            };
            left = self.provision(choice, resources, left);
        }
    }
}
