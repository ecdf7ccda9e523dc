//! Samples of heartbeats and orders.

use crate::sample::{body, body_with_mutations, Sample};
use wire::workers::{Heartbeat, Order, Orders, Redirect, ReportedTask, TaskState, Why};

pub const TASK_STATES: [(&str, TaskState); 5] = [
    ("fetching", TaskState::Fetching),
    ("waiting", TaskState::Waiting),
    ("running", TaskState::Running),
    ("saving", TaskState::Saving),
    ("exited", TaskState::Exited),
];

pub const EXIT_REASONS: [(&str, Why); 8] = [
    ("done", Why::Done),
    ("stopped", Why::Stopped),
    ("peers", Why::Peers),
    ("incomplete", Why::Incomplete),
    ("full", Why::Full),
    ("in_use", Why::InUse),
    ("no_such", Why::NoSuch),
    ("error", Why::Error),
];

fn reported_task(state: TaskState, why: Option<Why>, saved: Option<bool>) -> ReportedTask {
    ReportedTask {
        task: "wk-000412/3".into(),
        attempt: (41 << 24) | 9,
        state,
        why,
        saved,
    }
}

fn heartbeat(tasks: Vec<ReportedTask>, notice_s: Option<f64>) -> Heartbeat {
    Heartbeat {
        machine: "host-000231".into(),
        addr: "10.1.0.232:9000".into(),
        kind: "g8".into(),
        zone: "a".into(),
        spot: true,
        incarnation: 2,
        seq: 88,
        token: 41,
        notice_s,
        tasks,
    }
}

fn heartbeats() -> Vec<Sample> {
    let mut samples: Vec<Sample> = Vec::new();
    for (name, state) in TASK_STATES {
        let task = reported_task(state, None, None);
        samples.push(body(format!("task_{name}"), &task));
    }
    for (name, why) in EXIT_REASONS {
        let task = reported_task(TaskState::Exited, Some(why), Some(false));
        samples.push(body(format!("task_exited_{name}"), &task));
    }
    let saved = reported_task(TaskState::Exited, Some(Why::Stopped), Some(true));
    let running = reported_task(TaskState::Running, None, None);
    samples.push(body_with_mutations("task_saved", &saved));
    samples.push(body_with_mutations(
        "report",
        &heartbeat(vec![saved, running], Some(18.5)),
    ));
    samples.push(body("report_empty", &heartbeat(Vec::new(), None)));
    samples
}

fn orders() -> Vec<Sample> {
    let task = "wk-000412/4".to_string();
    let attempt = (41 << 24) | 9;
    let start = Order::Start {
        task: task.clone(),
        attempt,
    };
    let stop = Order::Stop {
        task: task.clone(),
        attempt,
        grace_s: 10.5,
    };
    let clear = Order::Clear { task, attempt };
    let all = vec![start.clone(), stop.clone(), clear.clone()];
    let none = Orders {
        token: 41,
        orders: Vec::new(),
    };
    let member = Some("rung-2".to_string());
    vec![
        body_with_mutations("order_start", &start),
        body_with_mutations("order_stop", &stop),
        body_with_mutations("order_clear", &clear),
        body_with_mutations(
            "orders",
            &Orders {
                token: 41,
                orders: all,
            },
        ),
        body("orders_none", &none),
        body_with_mutations("report_to", &Redirect { member }),
        body("report_to_nobody", &Redirect { member: None }),
    ]
}

pub fn samples() -> Vec<Sample> {
    heartbeats().into_iter().chain(orders()).collect()
}
