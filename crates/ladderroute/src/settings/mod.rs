//! Settings that are read at start-up: the platform's settings file and the operators' own file.
//!
//! - `platform`: structure of the platform's settings file.
//! - `check`: validation of that file.
//! - [`operator`]: the operators' own file.
//! - `scheduler_config`: the scheduler's configuration, derived from both files.

mod check;
mod error;
pub mod operator;
mod platform;
mod scheduler_config;
mod source;

pub use error::SettingsError;
pub use operator::Tuning;
pub use platform::{
    Cloud, Objective, Params, Peer, Quota, Services, Settings, State, StoreLimits, TeamSettings,
    Workers,
};

impl Settings {
    /// Reads and checks the settings file.
    pub fn load(file: &str) -> Result<Settings, SettingsError> {
        Settings::parse(&source::read(file)?, file)
    }

    /// Parses and checks the text of a settings file. `file` is its path in error messages.
    pub fn parse(text: &str, file: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|cause| SettingsError::Parse {
            file: file.into(),
            cause: cause.to_string().trim_end().replace('\n', " "),
        })?;
        check::check(&settings)?;
        Ok(settings)
    }
}
