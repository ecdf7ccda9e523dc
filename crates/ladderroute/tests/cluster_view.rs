//! The cluster view (a controller's copy of the state service), checked against a reference store that
//! remembers its full history. In the random histories, the store serves only the latest few changes, the
//! pages of a reload are read at several revisions, responses are late, out of order or lost, and the
//! controller's own writes and its direct reads of records are interleaved with all this.

// Clippy allows `unwrap` in test functions, but not in their helpers.
#![allow(clippy::unwrap_used)]

use ladderroute::cluster_view::{ChangesRead, ClusterView, ViewReload};
use std::collections::BTreeMap;
use store::keys;
use store::reload::LoadState;
use wire::store::{
    to_value, Change, Changes, Item, JobRecord, Page, Recorded, RosterPage, RosterRecord, Value,
    Write,
};
use wire::users::{Job, Priority, Shape};

const STEPS: u32 = 400;
const ITEMS_PER_PAGE: usize = 3;
const RETAINED_CHANGES: usize = 6;
const ROSTER_PAGES: u32 = 3;
const CHUNK_BITS: u32 = 8;

/// How the view under test applies a reload.
#[derive(Clone, Copy, PartialEq)]
enum ReloadMode {
    /// As in production.
    Merge,
    /// Injected fault: the loaded pages replace the view, so that what was applied during the reload is lost.
    ReplaceView,
    /// Injected fault: the view claims to be complete as of the end of the reload, instead of as of the
    /// request for its first page.
    StampAtEnd,
}

struct ReferenceStore {
    now: f64,
    revision: u64,
    keys: BTreeMap<String, (Value, u64)>,
    log: Vec<Change>,
    /// All states that each job has had, with the times at which they were written.
    jobs: BTreeMap<String, Vec<(f64, Recorded)>>,
    records: BTreeMap<String, JobRecord>,
}

impl ReferenceStore {
    fn put(&mut self, key: String, value: Value) -> u64 {
        self.revision += 1;
        self.keys
            .insert(key.clone(), (value.clone(), self.revision));
        self.log.push(Change {
            written_key: Some(key),
            deleted_key: None,
            value: Some(value),
            version: self.revision,
        });
        self.revision
    }

    fn put_job(&mut self, record: JobRecord) -> (JobRecord, u64) {
        let id = record.job.id.clone();
        let states = self.jobs.entry(id.clone()).or_default();
        states.push((self.now, record.state));
        self.records.insert(id.clone(), record.clone());
        let version = self.put(keys::job(&id), to_value(&record));
        (record, version)
    }

    /// Returns the state of a job at the given time.
    fn state_at(&self, id: &str, at: f64) -> Option<Recorded> {
        let mut states = self.jobs.get(id)?.iter().rev();
        states.find(|(since, _)| *since <= at).map(|(_, s)| *s)
    }

    /// Returns whether a job or one of its direct or indirect dependencies was cancelled at the given time.
    fn is_cancelled_at(&self, id: &str, at: f64) -> bool {
        let dependencies = || self.records[id].job.dependencies.iter();
        self.state_at(id, at) == Some(Recorded::Cancelled)
            || dependencies().any(|dependency| self.is_cancelled_at(dependency, at))
    }

    fn may_start(&self, id: &str) -> bool {
        let dependencies = &self.records[id].job.dependencies;
        let is_done = |id: &String| self.state_at(id, self.now) == Some(Recorded::Done);
        dependencies.iter().all(is_done)
    }

    fn changes(&self, since: u64) -> Option<Changes> {
        let retained = &self.log[self.log.len().saturating_sub(RETAINED_CHANGES)..];
        let first_retained = retained.first().map_or(1, |change| change.version);
        if since + 1 < first_retained {
            return None;
        }
        let newer = retained.iter().filter(|change| change.version > since);
        Some(Changes {
            revision: self.revision,
            changes: newer.cloned().collect(),
        })
    }

    fn page(&self, after: Option<&str>) -> Page {
        let mut rest = self
            .keys
            .iter()
            .filter(|(key, _)| Some(key.as_str()) > after);
        let items = rest.by_ref().take(ITEMS_PER_PAGE);
        let items = items.map(|(key, (value, version))| Item {
            key: key.clone(),
            value: value.clone(),
            version: *version,
        });
        Page {
            items: items.collect(),
            more: rest.next().is_some(),
            revision: self.revision,
        }
    }
}

/// A response in transit to the controller.
enum Response {
    Changes(ChangesRead, Changes),
    RevisionTooOld(ChangesRead),
    Job(Box<JobRecord>, u64),
    OwnJobDone(String, u64),
    OwnWrite(Vec<Write>, u64),
}

struct SimulatedController {
    view: ClusterView,
    reload_mode: ReloadMode,
    reload: Option<ViewReload>,
    /// The pages that the reload in progress has read.
    pages: Vec<Page>,
    responses: Vec<Response>,
    /// The versions that the view had for its records at the last check.
    versions: BTreeMap<String, u64>,
    finished_reloads: u32,
}

impl SimulatedController {
    fn receive(&mut self, response: Response) {
        match response {
            Response::Changes(read, changes) => {
                self.view.apply(read, &changes);
            }
            Response::RevisionTooOld(read) => self.view.on_revision_too_old(read),
            Response::Job(record, version) => {
                let id = record.job.id.clone();
                self.view.apply_job_record(&id, *record, version);
            }
            Response::OwnJobDone(id, version) => {
                self.view.mark_job_done(&id, version);
            }
            Response::OwnWrite(writes, revision) => self.view.record_writes(&writes, revision),
        }
    }

    fn read_page(&mut self, store: &ReferenceStore) {
        let mut reload = match self.reload.take() {
            Some(reload) => reload,
            None => self.view.begin_reload(store.now),
        };
        let page = store.page(reload.last_key());
        let state = reload.add_page(&page);
        self.pages.push(page);
        if state == LoadState::Incomplete {
            self.reload = Some(reload);
            return;
        }
        self.finished_reloads += 1;
        let pages = std::mem::take(&mut self.pages);
        if self.reload_mode == ReloadMode::ReplaceView {
            self.view = ClusterView::new(CHUNK_BITS);
        }
        if self.reload_mode == ReloadMode::StampAtEnd {
            reload = self.view.begin_reload(store.now);
            for page in &pages {
                reload.add_page(page);
            }
        }
        self.view.finish_reload(reload);
    }

    /// Returns the first violated property of the view, if any.
    fn find_violation(&mut self, store: &ReferenceStore) -> Option<String> {
        let read_at = self.view.read_at();
        let replica = self.view.replica();
        for id in store.jobs.keys() {
            let entry = replica.jobs.get(id);
            let held = entry.map(|entry| entry.state);
            let recorded = store.state_at(id, read_at);
            if recorded.is_some() && held.is_none() {
                return Some(format!(
                    "{id} is missing in the view, which claims to be complete as of {read_at}"
                ));
            }
            let is_open = held == Some(Recorded::Open);
            if is_open && (recorded != Some(Recorded::Open) && recorded.is_some()) {
                return Some(format!(
                    "{id} is open in the view, though it had ended at {read_at}"
                ));
            }
            if is_open && store.is_cancelled_at(id, read_at) && recorded.is_some() {
                return Some(format!(
                    "{id} is open in the view, though it or a dependency was cancelled at {read_at}"
                ));
            }
            let is_blocked = self.view.dependencies().is_blocked(id);
            if is_open && !is_blocked && !store.may_start(id) {
                return Some(format!(
                    "the view lets {id} start, though one of its dependencies is not done"
                ));
            }
        }
        let jobs = replica.jobs.iter();
        let mut versions: BTreeMap<String, u64> = jobs
            .map(|(id, entry)| (id.clone(), entry.version))
            .collect();
        let ended = replica.jobs.iter();
        let ended = ended.filter(|(_, entry)| entry.state != Recorded::Open);
        versions.extend(ended.map(|(id, _)| (format!("the end of {id}"), 1)));
        for page in 0..ROSTER_PAGES {
            let key = keys::roster(page);
            versions.insert(key.clone(), replica.versions.condition(&key).version);
        }
        for (key, before) in &self.versions {
            if versions.get(key) < Some(before) {
                return Some(format!("the view's version of {key} regressed"));
            }
        }
        self.versions = versions;
        None
    }
}

fn random_job(rng: &mut fastrand::Rng, n: u32, ids: &[String]) -> JobRecord {
    let chosen = (0..rng.usize(0..3)).filter_map(|_| rng.choice(ids).cloned());
    let mut dependencies: Vec<String> = chosen.collect();
    dependencies.sort();
    dependencies.dedup();
    JobRecord {
        state: Recorded::Open,
        created_ms: 0,
        job: Job {
            // Ids do not sort in the order of creation.
            id: format!("wk-{:02}-{n}", rng.u32(0..100)),
            class: "c".into(),
            team: "t".into(),
            shape: Shape::Array,
            priority: Priority::Standard,
            tasks: 1,
            cpus: 1.0,
            gpus: 0.0,
            memory_gb: 1.0,
            image: "i".into(),
            image_gb: 1.0,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: 1.0,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            dependencies,
        },
    }
}

fn roster_page(n: u32) -> Value {
    let record = RosterRecord {
        kind: "small".into(),
        zone: "a".into(),
        spot: false,
    };
    to_value(&RosterPage {
        groups: vec![(record, vec![format!("host-{n}")])],
    })
}

/// Makes a random change to the store, on behalf of the simulated controller or of another one; returns the
/// store's response if the simulated controller made the change.
fn change_store(
    store: &mut ReferenceStore,
    rng: &mut fastrand::Rng,
    step: u32,
) -> Option<Response> {
    let ids: Vec<String> = store.jobs.keys().cloned().collect();
    let is_own = rng.bool();
    if rng.u32(0..3) == 0 || ids.is_empty() {
        let (record, version) = store.put_job(random_job(rng, step, &ids));
        return is_own.then_some(Response::Job(Box::new(record), version));
    }
    if rng.u32(0..3) == 0 {
        let key = keys::roster(rng.u32(0..ROSTER_PAGES));
        let value = roster_page(step);
        let revision = store.put(key.clone(), value.clone());
        let lease = None;
        return Some(Response::OwnWrite(
            vec![Write::Put { key, value, lease }],
            revision,
        ));
    }
    let id = rng.choice(&ids)?.clone();
    let is_open = store.state_at(&id, store.now) == Some(Recorded::Open);
    // Only a job that was allowed to start can be done.
    let is_done = rng.bool() && store.may_start(&id);
    if !is_open || store.is_cancelled_at(&id, store.now) {
        return None;
    }
    let state = if is_done {
        Recorded::Done
    } else {
        Recorded::Cancelled
    };
    let record = JobRecord {
        state,
        ..store.records[&id].clone()
    };
    let (record, version) = store.put_job(record);
    is_own.then_some(match state {
        Recorded::Done => Response::OwnJobDone(id, version),
        _ => Response::Job(Box::new(record), version),
    })
}

/// Runs a random history; returns the first violation, if any, and the number of finished reloads, which is 0
/// after a violation.
fn run_history(seed: u64, reload_mode: ReloadMode) -> (Option<String>, u32) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut store = ReferenceStore {
        now: 0.0,
        revision: 0,
        keys: BTreeMap::new(),
        log: Vec::new(),
        jobs: BTreeMap::new(),
        records: BTreeMap::new(),
    };
    let mut controller = SimulatedController {
        view: ClusterView::new(CHUNK_BITS),
        reload_mode,
        reload: None,
        pages: Vec::new(),
        responses: Vec::new(),
        versions: BTreeMap::new(),
        finished_reloads: 0,
    };
    for step in 0..STEPS {
        store.now += 1.0;
        if rng.u32(0..3) == 0 {
            controller
                .responses
                .extend(change_store(&mut store, &mut rng, step));
        }
        // A direct read of a record that another controller has written, or this one without getting the
        // response.
        if rng.u32(0..12) == 0 {
            let ids: Vec<&String> = store.records.keys().collect();
            if let Some(id) = rng.choice(ids) {
                let version = store.keys[&keys::job(id)].1;
                let record = store.records[id].clone();
                controller
                    .responses
                    .push(Response::Job(Box::new(record), version));
            }
        }
        match controller.view.begin_read(store.now) {
            Some(read) if rng.u32(0..8) == 0 => controller.responses.push(
                store
                    .changes(read.since)
                    .map_or(Response::RevisionTooOld(read), |c| {
                        Response::Changes(read, c)
                    }),
            ),
            None if rng.u32(0..3) == 0 => controller.read_page(&store),
            _ => {}
        }
        // Responses arrive late and out of order, or are lost.
        if !controller.responses.is_empty() && rng.u32(0..3) == 0 {
            let at = rng.usize(0..controller.responses.len());
            let response = controller.responses.swap_remove(at);
            if rng.u32(0..20) > 0 {
                controller.receive(response);
            }
        }
        if let Some(violation) = controller.find_violation(&store) {
            return (Some(format!("seed {seed}, step {step}: {violation}")), 0);
        }
    }
    (None, controller.finished_reloads)
}

/// The view holds all that the store held at `read_at`, and no record in it is replaced by an older version.
#[test]
fn view_is_complete_and_never_regresses() {
    let mut reloads = 0;
    for seed in 0..400 {
        let (violation, finished) = run_history(seed, ReloadMode::Merge);
        assert_eq!(violation, None);
        reloads += finished;
    }
    assert!(reloads > 1000, "only {reloads} reloads finished");
}

/// The check detects a reload that moves the view back to older records, and a `read_at` that is later than
/// what the reload can prove.
#[test]
fn injected_reload_faults_are_detected() {
    let violations_with = |mode| {
        let violations = (0..400).filter_map(|seed| run_history(seed, mode).0);
        violations.collect::<Vec<_>>()
    };
    let replaced = violations_with(ReloadMode::ReplaceView);
    assert!(
        replaced.len() > 20,
        "only {} histories were found faulty",
        replaced.len()
    );
    assert!(replaced
        .iter()
        .any(|violation| violation.ends_with("regressed")));
    let stamped = violations_with(ReloadMode::StampAtEnd);
    assert!(
        stamped.len() > 20,
        "only {} histories were found faulty",
        stamped.len()
    );
    assert!(!stamped
        .iter()
        .any(|violation| violation.ends_with("regressed")));
}
