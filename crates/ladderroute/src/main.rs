//! The command line.

use clap::Parser;
use ladderroute::settings::{Settings, SettingsError, Tuning};
use ladderroute::{logging, startup};
use std::process::ExitCode;

/// Exit code for invalid settings.
const INVALID_SETTINGS: u8 = 2;

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

impl Args {
    /// Reads and checks both settings files.
    fn load(&self) -> Result<(Settings, Tuning), SettingsError> {
        let settings = Settings::load(&self.config)?;
        let tuning = match &self.operator {
            Some(file) => Tuning::load(file)?,
            None => Tuning::default(),
        };
        Ok((settings, tuning))
    }
}

fn main() -> ExitCode {
    let args = Args::parse();
    logging::start();
    let (settings, tuning) = match args.load() {
        Ok(loaded) => loaded,
        Err(e) => {
            eprintln!("ladderroute: {e}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if args.check_config {
        startup::warn_if_tight(&settings.scheduler_config(&tuning));
        println!("ladderroute: settings are valid");
        return ExitCode::SUCCESS;
    }
    match startup::run(settings, tuning) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!("event=end error=\"{e}\"");
            ExitCode::FAILURE
        }
    }
}
