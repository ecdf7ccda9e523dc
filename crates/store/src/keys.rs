//! Names of the keys that the controllers store.

/// The version that a condition requires of a key that must not exist.
pub const ABSENT: u64 = 0;

/// Prefix of all keys of this service.
pub const ALL_PREFIX: &str = "lr/";
/// The leader's key, attached to its lease.
pub const LEADER: &str = "lr/leader";
/// The durable term: the highest fencing token ever issued.
pub const TERM: &str = "lr/term";
/// Prefix of the jobs' records.
pub const JOB_PREFIX: &str = "lr/job/";
/// Prefix of the pages of progress.
pub const PROGRESS_PREFIX: &str = "lr/progress/";
/// Prefix of the pages of the roster.
pub const ROSTER_PREFIX: &str = "lr/roster/";
/// Prefix of the bindings of gangs.
pub const BINDING_PREFIX: &str = "lr/binding/";
/// The started arrays.
pub const STARTED_ARRAYS: &str = "lr/begun";

/// The key of a job's record.
pub fn job(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// The key of a page of progress.
pub fn progress(page: u32) -> String {
    format!("{PROGRESS_PREFIX}{page}")
}

/// The key of a page of the roster.
pub fn roster(page: u32) -> String {
    format!("{ROSTER_PREFIX}{page}")
}

/// The key of a chunk of a gang's binding.
pub fn binding(id: &str, chunk: u32) -> String {
    format!("{BINDING_PREFIX}{id}/{chunk}")
}

/// The id of the job whose record a key holds.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX)
}

/// The number of the progress page that a key holds.
pub fn progress_page(key: &str) -> Option<u32> {
    key.strip_prefix(PROGRESS_PREFIX)?.parse().ok()
}

/// The number of the roster page that a key holds.
pub fn roster_page(key: &str) -> Option<u32> {
    key.strip_prefix(ROSTER_PREFIX)?.parse().ok()
}

/// The job and the chunk of the binding record that a key holds.
pub fn binding_chunk(key: &str) -> Option<(&str, u32)> {
    let (job, chunk) = key.strip_prefix(BINDING_PREFIX)?.rsplit_once('/')?;
    Some((job, chunk.parse().ok()?))
}

/// What a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// The leader's record.
    Leader,
    /// The durable term.
    Term,
    /// The record of a job.
    Job,
    /// A page of progress.
    Progress,
    /// A page of the roster.
    Roster,
    /// A chunk of a gang's binding.
    Binding,
    /// The started arrays.
    StartedArrays,
    /// Nothing that this version knows.
    Other,
}

impl KeyKind {
    /// What a key holds, by its name.
    pub fn of(key: &str) -> KeyKind {
        match key {
            LEADER => KeyKind::Leader,
            TERM => KeyKind::Term,
            STARTED_ARRAYS => KeyKind::StartedArrays,
            _ if key.starts_with(JOB_PREFIX) => KeyKind::Job,
            _ if key.starts_with(PROGRESS_PREFIX) => KeyKind::Progress,
            _ if key.starts_with(ROSTER_PREFIX) => KeyKind::Roster,
            _ if key.starts_with(BINDING_PREFIX) => KeyKind::Binding,
            _ => KeyKind::Other,
        }
    }
}
