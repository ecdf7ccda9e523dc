//! Samples of submissions and of responses to users.

use crate::sample::{body, body_with_mutations, Sample};
use wire::users::{Accepted, Job, JobState, Priority, Progress, Refusal, Shape};

/// Returns a job with all fields, where no two numbers or texts are the same.
pub fn job() -> Job {
    Job {
        id: "wk-000412".into(),
        class: "train".into(),
        team: "vision".into(),
        shape: Shape::Gang,
        priority: Priority::High,
        tasks: 16,
        cpus: 8.0,
        gpus: 1.0,
        memory_gb: 64.0,
        image: "img-07".into(),
        image_gb: 6.2,
        types: Some(vec!["g8".into(), "c4".into()]),
        zone: Some("a".into()),
        one_zone: true,
        spread: false,
        spot: true,
        estimate_s: 240.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        deadline_s: Some(900.0),
        dependencies: vec!["wk-000001".into(), "wk-000002".into()],
    }
}

/// Returns a job without the optional fields.
pub fn bare_job() -> Job {
    Job {
        types: None,
        zone: None,
        one_zone: false,
        spread: true,
        spot: false,
        deadline_s: None,
        dependencies: Vec::new(),
        ..job()
    }
}

fn variants() -> Vec<Sample> {
    let shapes = [
        ("array", Shape::Array),
        ("gang", Shape::Gang),
        ("service", Shape::Service),
    ];
    let shapes = shapes.map(|(name, shape)| body(format!("shape_{name}"), &Job { shape, ..job() }));
    let priorities = [
        ("prod", Priority::Prod),
        ("high", Priority::High),
        ("standard", Priority::Standard),
        ("best_effort", Priority::BestEffort),
    ];
    let priorities = priorities.map(|(name, priority)| {
        let name = format!("priority_{name}");
        body(name, &Job { priority, ..job() })
    });
    shapes.into_iter().chain(priorities).collect()
}

fn responses() -> Vec<Sample> {
    let states = [
        ("queued", JobState::Queued),
        ("running", JobState::Running),
        ("done", JobState::Done),
        ("cancelled", JobState::Cancelled),
    ];
    let mut samples = Vec::new();
    for (name, state) in states {
        let id = "wk-000412".to_string();
        let accepted = Accepted {
            id: id.clone(),
            state,
        };
        let progress = Progress {
            id,
            state,
            done: 12,
            running: 3,
        };
        samples.push(body_with_mutations(format!("accepted_{name}"), &accepted));
        samples.push(body_with_mutations(format!("progress_{name}"), &progress));
    }
    let error = "no such job".to_string();
    samples.push(body_with_mutations("refusal", &Refusal { error }));
    samples
}

pub fn samples() -> Vec<Sample> {
    let jobs = vec![
        body_with_mutations("job", &job()),
        body_with_mutations("job_bare", &bare_job()),
    ];
    jobs.into_iter()
        .chain(variants())
        .chain(responses())
        .collect()
}
