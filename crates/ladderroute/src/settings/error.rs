//! Why settings are refused.

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{file}: {cause}")]
    Read {
        /// The file's path.
        file: String,
        /// What the system says.
        cause: std::io::Error,
    },
    /// The file's text can't be parsed.
    #[error("{file}: {cause}")]
    Parse {
        /// The file's path.
        file: String,
        /// What the parser says, in one line.
        cause: String,
    },
    /// A value is not allowed.
    #[error("{field}: {cause}")]
    Field {
        /// The field's path in the file.
        field: String,
        /// What the value must be.
        cause: String,
    },
}

impl SettingsError {
    /// The error for a value that is not allowed.
    pub(super) fn field(field: impl Into<String>, cause: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            cause: cause.into(),
        }
    }
}
