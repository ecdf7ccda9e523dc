//! The command line.

use clap::Parser;
use ladderroute::{logging, operator, settings, startup};

/// Schedules arrays and gangs on provisioned machines; one process of a group of controllers.
#[derive(Parser, Debug)]
#[command(name = "ladderroute", version, about)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: String,
    /// Operators' own settings (protobuf text format); all of them have defaults.
    #[arg(long, value_name = "FILE")]
    operator: Option<String>,
    /// Check the settings, say what is wrong, and end.
    #[arg(long)]
    check_config: bool,
}

fn main() -> std::process::ExitCode {
    let args = Args::parse();
    logging::start();
    let loaded = settings::Settings::load(&args.config).and_then(|s| {
        let tuning = args
            .operator
            .as_deref()
            .map_or_else(|| Ok(operator::Tuning::default()), operator::Tuning::load)?;
        Ok((s, tuning))
    });
    let (settings, tuning) = match loaded {
        Ok(l) => l,
        Err(e) => {
            eprintln!("ladderroute: {e}");
            return std::process::ExitCode::from(2);
        }
    };
    if args.check_config {
        startup::warn_if_tight(&settings.scheduler_config(&tuning));
        println!("ladderroute: settings are valid");
        return std::process::ExitCode::SUCCESS;
    }
    match startup::run(settings, tuning) {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=end error=\"{e}\"");
            std::process::ExitCode::FAILURE
        }
    }
}
