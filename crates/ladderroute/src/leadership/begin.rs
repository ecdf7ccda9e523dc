//! Start of a leadership: builds a new leader and a new owner from the cluster view.

use crate::cluster_view::ClusterView;
use crate::controller::view_updates::open_job;
use crate::controller::{Controller, Leadership, Shared};
use crate::writer::limits::TxnLimits;
use crate::writer::pages::RecordPages;
use sched::leader::{Leader, OpenJob, PriorRuns};
use sched::owner::Owner;
use sched::placement::Resources;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use store::leadership::LeadershipLease;
use store::replica::{JobEntry, Replica};
use wire::users::{Job, Priority, Shape};

/// Starts to lead under a lease. The view has to contain everything that was recorded in the store
/// before this lease.
pub fn begin_leadership(controller: &Controller, lease: &LeadershipLease) {
    let mut guard = controller.lock();
    let state = &mut *guard;
    let mut leader = build_leader(controller, &state.shared, lease.token);
    if controller.now() < controller.config.lease_s {
        // A controller that leads this soon after its start was started together with the others;
        // otherwise one that was already running would lead.
        leader.expect_other_controllers();
    }
    // The owner is replaced, because heartbeats of machines that were assigned to it in earlier
    // epochs must not be answered under the authority of this leadership.
    state.owner = Owner::new(&controller.settings.member, controller.config.clone());
    state
        .owner
        .authority
        .set_until(controller.secs_since_start(lease.valid_until));
    state
        .owner
        .authority
        .record_read(state.shared.view.read_at());
    let value_kb = controller.limits.value_kb;
    state.shared.leadership = Some(Leadership {
        leader,
        lease: lease.clone(),
        records: RecordPages::load(state.shared.view.replica(), value_kb),
        txn_limits: TxnLimits {
            max_writes: controller.limits.txn_ops,
            value_kb,
        },
        pending_writes: VecDeque::new(),
        cloud_requests: VecDeque::new(),
        links: HashMap::new(),
    });
}

/// Returns a leader with the contents of the view.
fn build_leader(controller: &Controller, shared: &Shared, token: u64) -> Leader {
    let view = &shared.view;
    let replica = view.replica();
    let jobs = open_jobs(view);
    let priorities = effective_priorities(view, &jobs);
    let mut leader = Leader::new(
        &controller.settings.member,
        controller.config.clone(),
        controller.next_seed(),
        token,
        controller.limits.value_kb,
        jobs,
        replica.roster.machines(),
        replica.started_arrays.upto,
        controller.now(),
    );
    for (id, priority) in priorities {
        leader.set_priority(&id, priority);
    }
    leader.set_recently_cancelled(recently_cancelled(controller, replica));
    if let Some(types) = shared.catalog.clone() {
        leader.set_catalog(types);
    }
    leader
}

/// Returns the open jobs that are not blocked by dependencies.
fn open_jobs(view: &ClusterView) -> Vec<OpenJob> {
    let replica = view.replica();
    let open = |entry: &JobEntry| {
        let spec = entry.job.clone()?;
        if view.dependencies().is_blocked(&spec.id) {
            return None;
        }
        let prior_runs = prior_runs(replica, &spec, entry.version);
        Some(open_job(entry, spec, prior_runs))
    };
    replica.jobs.values().filter_map(open).collect()
}

/// Returns where earlier leaders may have started tasks of a job.
fn prior_runs(replica: &Replica, spec: &Job, version: u64) -> PriorRuns {
    match (spec.shape, replica.bound_machines(&spec.id)) {
        (Shape::Gang, Some(machines)) => PriorRuns::Bound(machines),
        (Shape::Gang, None) => PriorRuns::None,
        _ if replica.started_arrays.covers(version) => PriorRuns::Anywhere,
        _ => PriorRuns::None,
    }
}

/// Returns the priorities of jobs, including those inherited from jobs that depend on them.
fn effective_priorities(view: &ClusterView, jobs: &[OpenJob]) -> Vec<(String, Priority)> {
    let of = |job: &OpenJob| {
        let spec = &job.spec;
        let priority = view.dependencies().priority(&spec.id, spec.priority);
        (spec.id.clone(), priority)
    };
    jobs.iter().map(of).collect()
}

/// Returns the ids, teams and resources of cancelled jobs whose tasks may still be running.
fn recently_cancelled(
    controller: &Controller,
    replica: &Replica,
) -> impl Iterator<Item = (String, String, Resources)> {
    let config = &controller.config;
    let span = Duration::from_secs_f64(config.lease_s + config.cancel_s);
    let cancelled = replica.recently_cancelled(span).into_iter();
    cancelled.map(|job| {
        let resources = Resources {
            cpus: job.resources.cpus,
            gpus: job.resources.gpus,
            memory_gb: 0.0,
        };
        (job.id, job.team, resources)
    })
}
