//! Errors in settings files.

/// Reason for which a settings file is rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{file}: {cause}")]
    Read {
        /// Path of the file.
        file: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The text of the file cannot be parsed.
    #[error("{file}: {cause}")]
    Parse {
        /// Path of the file.
        file: String,
        /// Error of the parser, in one line.
        cause: String,
    },
    /// A value is invalid.
    #[error("{field}: {requirement}")]
    Field {
        /// Path of the field in the file.
        field: String,
        /// Requirement that the value does not meet, or what is wrong with the value.
        requirement: String,
    },
}

impl SettingsError {
    /// Returns the error for an invalid value.
    pub(super) fn field(field: impl Into<String>, requirement: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            requirement: requirement.into(),
        }
    }
}
