//! ladderroute: a cluster scheduler for small sites.

mod accept;
mod api;
mod fresh;
mod lead;
mod logging;
mod node;
mod operator;
mod peers;
mod renting;
mod settings;

use clap::Parser;

/// Schedules arrays and gangs on rented machines; one process of a group of controllers.
#[derive(Parser, Debug)]
#[command(name = "ladderroute", version, about)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: String,
    /// Check the settings, say what is wrong, and end.
    #[arg(long)]
    check_config: bool,
}

fn main() -> std::process::ExitCode {
    let args = Args::parse();
    logging::start();
    let tuning = operator::Tuning::default();
    let settings = match settings::Settings::load(&args.config) {
        Ok(s) => s,
        Err(e) => {
            eprintln!("ladderroute: {e}");
            return std::process::ExitCode::from(2);
        }
    };
    if args.check_config {
        println!("ladderroute: settings are valid");
        return std::process::ExitCode::SUCCESS;
    }
    match node::run(settings, tuning) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=end error=\"{e}\"");
            std::process::ExitCode::FAILURE
        }
    }
}
