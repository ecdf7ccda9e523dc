//! Reads settings files.

use super::error::SettingsError;

/// Returns the text of a settings file.
pub(super) fn read(file: &str) -> Result<String, SettingsError> {
    std::fs::read_to_string(file).map_err(|cause| SettingsError::Read {
        file: file.into(),
        cause,
    })
}
