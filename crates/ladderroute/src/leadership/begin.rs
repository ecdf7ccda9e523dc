//! The beginning of a leadership: the leader and the owner are built anew from the cluster view.

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

/// Begins to lead under a lease, on a view that holds all that came before it.
pub fn begin_leadership(controller: &Controller, lease: &LeadershipLease) {
    let mut guard = controller.lock();
    let state = &mut *guard;
    let mut leader = build_leader(controller, &state.shared, lease.token);
    if controller.now() < controller.config.lease_s {
        // Who leads so soon after its start is one of several that started together: else one that
        // ran on would lead.
        leader.expect_other_controllers();
    }
    // What was assigned in earlier epochs must not be answered on this leadership's authority.
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
        limits: TxnLimits {
            max_writes: controller.limits.txn_ops,
            value_kb,
        },
        pending_writes: VecDeque::new(),
        cloud_requests: VecDeque::new(),
        links: HashMap::new(),
    });
}

/// A leader that knows what the view holds.
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

/// The open jobs that wait for no other.
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

/// Where earlier leaders may have started tasks of a job.
fn prior_runs(replica: &Replica, spec: &Job, version: u64) -> PriorRuns {
    match (spec.shape, replica.bound_machines(&spec.id)) {
        (Shape::Gang, Some(machines)) => PriorRuns::Bound(machines),
        (Shape::Gang, None) => PriorRuns::None,
        _ if replica.started_arrays.covers(version) => PriorRuns::Anywhere,
        _ => PriorRuns::None,
    }
}

/// The priorities of jobs, with what they have from those that wait for them.
fn effective_priorities(view: &ClusterView, jobs: &[OpenJob]) -> Vec<(String, Priority)> {
    let of = |job: &OpenJob| {
        let spec = &job.spec;
        let priority = view.dependencies().priority(&spec.id, spec.priority);
        (spec.id.clone(), priority)
    };
    jobs.iter().map(of).collect()
}

/// Ids, teams and resources of the jobs whose tasks may still run though they are cancelled.
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
