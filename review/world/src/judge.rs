//! What users and machines saw, and the rules of PROTOCOL-ladderroute.md that it breaks.

use crate::record::Record;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug)]
pub struct Job {
    pub id: String,
    pub crew: String,
    /// An ensemble; else an array.
    pub gang: bool,
    pub tickets: u32,
    pub vcpus: f64,
    pub mem_gb: f64,
    pub kit: String,
    pub image_gb: f64,
    pub chassis_list: Option<Vec<String>>,
    pub one_zone: bool,
    pub spread: bool,
    pub loaners: bool,
    pub bookmark_s: f64,
    pub stash_s: f64,
    pub expected_s: f64,
    /// How long a task really runs.
    pub run_s: f64,
    pub awaits: Vec<String>,
    pub urgency: &'static str,
}

#[derive(Clone, Debug)]
pub struct Place {
    pub machine: String,
    pub chassis: String,
    pub yard: String,
    pub loaners: bool,
}

struct OnMachine {
    place: Place,
    attempt: u64,
}

#[derive(Default)]
struct Data {
    jobs: HashMap<String, Job>,
    on: BTreeMap<String, Vec<OnMachine>>,
    used: HashMap<String, f64>,
    results: HashSet<String>,
    saved: HashMap<String, f64>,
    starts: HashMap<String, u32>,
    cancelled_at: HashMap<String, f64>,
    cancel_asked: HashSet<String>,
    accepted: HashSet<String>,
    told: HashMap<String, String>,
    gangs: HashMap<(String, u64), BTreeSet<String>>,
    broken: BTreeMap<String, Vec<String>>,
    late_starts: u32,
}

pub struct Judge {
    data: Mutex<Data>,
    limits: HashMap<String, f64>,
    cancel_s: f64,
    pub record: Arc<Record>,
}

impl Judge {
    pub fn new(limits: &[(&str, f64)], cancel_s: f64, record: Arc<Record>) -> Arc<Judge> {
        Arc::new(Judge {
            data: Mutex::default(),
            limits: limits
                .iter()
                .map(|(name, limit)| (name.to_string(), *limit))
                .collect(),
            cancel_s,
            record,
        })
    }

    fn breaks(&self, data: &mut Data, rule: &str, what: String) {
        self.record.line(format!("BROKEN {rule}: {what}"));
        data.broken.entry(rule.to_string()).or_default().push(what);
    }

    /// The broken rules, each with what broke it.
    pub fn broken(&self) -> BTreeMap<String, Vec<String>> {
        self.data.lock().unwrap().broken.clone()
    }

    pub fn add_job(&self, job: &Job) {
        self.data
            .lock()
            .unwrap()
            .jobs
            .insert(job.id.clone(), job.clone());
    }

    pub fn job(&self, id: &str) -> Option<Job> {
        self.data.lock().unwrap().jobs.get(id).cloned()
    }

    pub fn has_result(&self, ticket: &str) -> bool {
        self.data.lock().unwrap().results.contains(ticket)
    }

    /// How many tasks of a job have completed.
    pub fn results_of(&self, job: &Job) -> u32 {
        let data = self.data.lock().unwrap();
        (0..job.tickets)
            .filter(|i| data.results.contains(&format!("{}/{i}", job.id)))
            .count() as u32
    }

    pub fn saved(&self, ticket: &str) -> f64 {
        self.data
            .lock()
            .unwrap()
            .saved
            .get(ticket)
            .copied()
            .unwrap_or(0.0)
    }

    pub fn save(&self, ticket: &str, progress: f64) {
        self.data
            .lock()
            .unwrap()
            .saved
            .insert(ticket.to_string(), progress);
    }

    pub fn is_on_any(&self, ticket: &str) -> Vec<String> {
        let data = self.data.lock().unwrap();
        data.on.get(ticket).map_or(Vec::new(), |on| {
            on.iter().map(|o| o.place.machine.clone()).collect()
        })
    }

    pub fn starts(&self, ticket: &str) -> u32 {
        self.data
            .lock()
            .unwrap()
            .starts
            .get(ticket)
            .copied()
            .unwrap_or(0)
    }

    /// Starts decided after a confirmed cancellation; counted, no broken rule before `cancel_s`.
    pub fn late_starts(&self) -> u32 {
        self.data.lock().unwrap().late_starts
    }

    /// A task has its image: from now on it is on its machine.
    pub fn task_on(&self, place: &Place, ticket: &str, attempt: u64) {
        let mut data = self.data.lock().unwrap();
        let data = &mut *data;
        let machine = &place.machine;
        self.record
            .line(format!("task {ticket} try {attempt} starts on {machine}"));
        *data.starts.entry(ticket.to_string()).or_default() += 1;
        let id = ticket.split('/').next().unwrap_or("").to_string();
        let others: Vec<String> = data.on.get(ticket).map_or(Vec::new(), |on| {
            on.iter()
                .map(|o| format!("{} (try {})", o.place.machine, o.attempt))
                .collect()
        });
        if !others.is_empty() {
            let what = format!(
                "{ticket} try {attempt} starts on {machine} while it is on {}",
                others.join(", ")
            );
            self.breaks(data, "ran_twice", what);
        }
        let Some(job) = data.jobs.get(&id).cloned() else {
            return;
        };
        let types = job.chassis_list.as_ref();
        let mut wrong = types.is_some_and(|types| !types.contains(&place.chassis));
        wrong |= place.loaners && !job.loaners;
        if job.one_zone {
            let prefix = format!("{id}/");
            wrong |= data
                .on
                .iter()
                .filter(|(other, _)| other.starts_with(&prefix) && *other != ticket)
                .any(|(_, on)| on.iter().any(|o| o.place.yard != place.yard));
        }
        if job.spread {
            let prefix = format!("{id}/");
            let others = data
                .on
                .iter()
                .filter(|(other, _)| other.starts_with(&prefix) && *other != ticket);
            let beside = others
                .filter(|(_, on)| on.iter().any(|o| o.place.yard == place.yard))
                .count();
            wrong |= beside as u32 + 1 > job.tickets.div_ceil(2);
        }
        if wrong {
            self.breaks(data, "wrong_place", format!("{ticket} starts on {place:?}"));
        }
        for before in &job.awaits {
            let all = data.jobs.get(before).is_some_and(|b| {
                (0..b.tickets).all(|i| data.results.contains(&format!("{before}/{i}")))
            });
            if !all {
                self.breaks(
                    data,
                    "too_early",
                    format!("{ticket} starts before {before} is done"),
                );
            }
        }
        if let Some(at) = data.cancelled_at.get(&id).copied() {
            let after = self.record.now() - at;
            data.late_starts += 1;
            self.record.line(format!(
                "note: {ticket} starts {after:.2} s after its cancellation was confirmed"
            ));
        }
        let on = OnMachine {
            place: place.clone(),
            attempt,
        };
        data.on.entry(ticket.to_string()).or_default().push(on);
        let used = data.used.entry(job.crew.clone()).or_default();
        *used += job.vcpus;
        let used = *used;
        if let Some(limit) = self
            .limits
            .get(&job.crew)
            .filter(|limit| used > **limit + 1e-6)
        {
            self.breaks(
                data,
                "quota",
                format!("{} uses {used} of {limit} CPUs", job.crew),
            );
        }
    }

    /// A task has exited or was killed, or its machine is gone.
    pub fn task_off(&self, machine: &str, ticket: &str, attempt: u64, why: &str) {
        let mut data = self.data.lock().unwrap();
        let data = &mut *data;
        let Some(on) = data.on.get_mut(ticket) else {
            return;
        };
        let Some(at) = on
            .iter()
            .position(|o| o.place.machine == machine && o.attempt == attempt)
        else {
            return;
        };
        on.remove(at);
        if on.is_empty() {
            data.on.remove(ticket);
        }
        self.record.line(format!(
            "task {ticket} try {attempt} ends on {machine}: {why}"
        ));
        let id = ticket.split('/').next().unwrap_or("");
        if let Some(job) = data.jobs.get(id) {
            *data.used.entry(job.crew.clone()).or_default() -= job.vcpus;
        }
        if why == "done" {
            data.results.insert(ticket.to_string());
            if data.jobs.get(id).is_some_and(|job| job.gang) {
                let all: Vec<String> = (0..data.jobs[id].tickets)
                    .map(|i| format!("{id}/{i}"))
                    .collect();
                data.results.extend(all);
            }
        }
    }

    /// A gang's task has its image; returns whether the whole attempt is there.
    pub fn gather(&self, id: &str, attempt: u64, ticket: &str) -> bool {
        let mut data = self.data.lock().unwrap();
        let tickets = data.jobs.get(id).map_or(1, |job| job.tickets);
        let present = data.gangs.entry((id.to_string(), attempt)).or_default();
        present.insert(ticket.to_string());
        present.len() as u32 == tickets
    }

    /// Tasks that have been cancelled for longer than `cancel_s` and are still on a machine.
    pub fn check_cancelled(&self) {
        let mut data = self.data.lock().unwrap();
        let data = &mut *data;
        let now = self.record.now();
        let mut over = Vec::new();
        for (ticket, on) in &data.on {
            let id = ticket.split('/').next().unwrap_or("");
            let at = data.cancelled_at.get(id);
            if at.is_some_and(|at| now - at > self.cancel_s) {
                over.push(format!("{ticket} is on {}", on[0].place.machine));
            }
        }
        for what in over {
            if !data
                .broken
                .get("ran_cancelled")
                .is_some_and(|b| b.contains(&what))
            {
                self.breaks(data, "ran_cancelled", what);
            }
        }
    }

    pub fn asks_cancel(&self, id: &str) {
        self.data
            .lock()
            .unwrap()
            .cancel_asked
            .insert(id.to_string());
    }

    /// What was known before a request about a job was sent: accepted, and the last terminal state.
    pub fn before(&self, id: &str) -> (bool, Option<String>) {
        let data = self.data.lock().unwrap();
        (data.accepted.contains(id), data.told.get(id).cloned())
    }

    /// A user was answered about a job. `before` was taken when the request was sent.
    pub fn told(
        &self,
        id: &str,
        status: u16,
        standing: &str,
        asked: &str,
        before: (bool, Option<String>),
    ) {
        let mut data = self.data.lock().unwrap();
        let data = &mut *data;
        let (was_accepted, was) = before;
        if status == 404 && was_accepted {
            self.breaks(
                data,
                "forgotten",
                format!("{asked} of accepted {id} gets 404"),
            );
        }
        if (status == 400 || status == 422) && was_accepted && asked == "submit" {
            self.breaks(
                data,
                "forgotten",
                format!("a repeated submission of {id} gets {status}"),
            );
        }
        if status != 200 && status != 201 {
            return;
        }
        data.accepted.insert(id.to_string());
        if let Some(was) = was.filter(|was| was != standing) {
            self.breaks(
                data,
                "went_back",
                format!("{id} was {was} and is called {standing}"),
            );
        }
        if standing == "queued" || standing == "running" {
            let mut before = data
                .jobs
                .get(id)
                .map_or(Vec::new(), |job| job.awaits.clone());
            let now = self.record.now();
            while let Some(ancestor) = before.pop() {
                let over = data
                    .cancelled_at
                    .get(&ancestor)
                    .is_some_and(|at| now - at > self.cancel_s);
                if over {
                    let what =
                        format!("{id} is called {standing}, {ancestor} before it is cancelled");
                    self.breaks(data, "orphaned", what);
                }
                before.extend(
                    data.jobs
                        .get(&ancestor)
                        .map_or(Vec::new(), |job| job.awaits.clone()),
                );
            }
        }
        if standing == "done" || standing == "aborted" {
            data.told.insert(id.to_string(), standing.to_string());
        }
        if standing == "done" {
            let missing = data.jobs.get(id).map_or(0, |job| {
                (0..job.tickets)
                    .filter(|i| !data.results.contains(&format!("{id}/{i}")))
                    .count()
            });
            if missing > 0 {
                self.breaks(
                    data,
                    "not_done",
                    format!("{id} is called done, {missing} tasks are not"),
                );
            }
        }
        if standing == "aborted" {
            let mut seen = vec![id.to_string()];
            let mut at = 0;
            while at < seen.len() {
                if let Some(job) = data.jobs.get(&seen[at]) {
                    seen.extend(job.awaits.clone());
                }
                at += 1;
            }
            if !seen.iter().any(|id| data.cancel_asked.contains(id)) {
                self.breaks(
                    data,
                    "went_back",
                    format!("{id} is called aborted, nobody cancelled it"),
                );
            }
            let now = self.record.now();
            data.cancelled_at.entry(id.to_string()).or_insert(now);
        }
    }
}
