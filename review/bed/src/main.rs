//! Runs a case of the review: `bed CASE FOLDER ROOT`. Exit codes: 0 the rule held, 1 it was broken, 2 the
//! case could not run.

mod cases;
mod cbor;
mod http;
mod links;
mod machines;
mod soak;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// A case ends itself before the limit of 120 s.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, root] = &args[..] else {
        eprintln!("usage: bed CASE FOLDER ROOT");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder, root) = (case.clone(), PathBuf::from(folder), PathBuf::from(root));
    let (sender, result) = std::sync::mpsc::channel();
    let stop = world::StopFlag::default();
    let stopping = stop.clone();
    let runner = std::thread::spawn(move || {
        let _ = sender.send(cases::run(&case, &folder, &root, trouble, stopping));
    });
    let outcome = result.recv_timeout(LIMIT);
    stop.stop();
    if outcome.is_ok() {
        let _ = runner.join();
    } else {
        // The runner ends its processes itself unless it hangs.
        std::thread::sleep(Duration::from_secs(1));
        world::kill_all();
    }
    match outcome {
        Ok(Ok(None)) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Ok(Some(broken))) => {
            println!("the rule was broken: {broken}");
            ExitCode::from(1)
        }
        Ok(Err(why)) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
        Err(_) => {
            println!("the case could not run: it took too long, or its runner failed");
            ExitCode::from(2)
        }
    }
}
