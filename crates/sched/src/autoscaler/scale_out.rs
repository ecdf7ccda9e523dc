//! Provisioning machines for work that finds none, beside those that are on their way already.

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

/// CPUs that a task counts for at least where CPUs that become free are counted in tasks: one that takes no CPUs
/// would be found capacity without end.
const MIN_TASK_CPUS: f64 = 0.01;

/// Capacity that running tasks of arrays free again and again while a machine boots. What one job counts on is
/// no longer there for the next.
struct ExpectedTurnover {
    /// CPUs that become free in a second.
    cpus_per_s: f64,
    /// CPUs that jobs count on already.
    claimed_cpus: f64,
}

impl ExpectedTurnover {
    /// How many of `tasks` will find capacity by the time a machine has booted. Jobs that come meanwhile take
    /// `arriving_cpus_per_s` of what becomes free.
    fn claim(&mut self, tasks: u32, cpus: f64, boot_s: Secs, arriving_cpus_per_s: f64) -> u32 {
        let net_cpus_per_s = (self.cpus_per_s - arriving_cpus_per_s).max(0.0);
        let served = ((net_cpus_per_s * boot_s - self.claimed_cpus) / cpus.max(MIN_TASK_CPUS))
            .floor()
            .clamp(0.0, f64::from(tasks));
        self.claimed_cpus += served * cpus;
        served as u32
    }
}

/// One review of the work that found no machine. It changes nothing of the cluster; what it plans counts as
/// incoming for the rest of the work.
pub(super) struct ScaleOut<'a> {
    /// What is under way, and which machines and zones are kept for gangs.
    pub autoscaler: &'a mut Autoscaler,
    /// What is decided on.
    pub cluster: &'a Cluster,
    /// Machine types that are the only ones for some class: spared for its jobs.
    scarce: &'a BTreeSet<(String, bool)>,
    /// Source of the noise on prices.
    pub rng: &'a mut fastrand::Rng,
    /// The time of the review.
    pub now: Secs,
    /// Capacity on its way that no job counts on yet.
    pub incoming: Incoming,
    /// What the review asks for.
    pub plan: Plan,
    /// Capacity that becomes free while machines boot.
    turnover: ExpectedTurnover,
    /// Whether a gang waits for scarce machine types.
    gang_waits_for_scarce: bool,
    /// When machines in use become empty; looked up for the first gang.
    busy_machines: Option<BusyMachines>,
}

impl Autoscaler {
    /// Requests for what the work lacks that found no machine, beside what is on its way.
    pub(super) fn scale_out(
        &mut self,
        cluster: &Cluster,
        scarce: &BTreeSet<(String, bool)>,
        token: u64,
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
        self.requests(plan, token)
    }
}

impl ScaleOut<'_> {
    /// Plans machines for each job that found none, in the order of the queue.
    fn run(mut self) -> Plan {
        let cluster = self.cluster;
        for (id, tasks) in &cluster.unplaced {
            let Some(job) = cluster.jobs.get(id) else {
                continue;
            };
            // Capacity is being taken back for it.
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

    /// Whether a gang gets machines that are in use early enough; it then counts on them.
    fn can_wait_for_busy_machines(&mut self, id: &str, requirements: &TaskRequirements) -> bool {
        let (cluster, now) = (self.cluster, self.now);
        let busy_machines = self
            .busy_machines
            .get_or_insert_with(|| cluster.busy_machines(requirements, now));
        cluster.claim_busy_machines(id, requirements, busy_machines, now)
    }

    /// Plans machines for tasks of an array that will find neither capacity on its way nor capacity that
    /// running tasks free.
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

    /// The cheapest offer without scarce machine types; with them while no gang waits for them and the others
    /// are used up.
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

    /// How many tasks need no machine that boots: running tasks make way for them as soon.
    fn claim_turnover(&mut self, tasks: u32, cpus: f64, boot_s: Secs) -> u32 {
        let arrivals = &self.autoscaler.arrivals;
        let arriving_cpus_per_s = arrivals.cpus_per_s(self.now, boot_s.max(MIN_CHARGE_S));
        self.turnover
            .claim(tasks, cpus, boot_s, arriving_cpus_per_s)
    }

    /// Plans machines of an offer for `left` tasks, as many as may be asked for at present but at least one; says
    /// how many tasks remain, always fewer.
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

    /// Keeps what is free for `tasks`, and plans machines for what they lack beside what is on its way.
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
