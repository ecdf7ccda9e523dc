//! Names of the keys that the controllers keep in the state service.

/// Version by which a transaction's condition requires that a key does not exist.
pub const ABSENT: u64 = 0;

/// Prefix of all keys of the controllers.
pub const ALL_PREFIX: &str = "lr/";
/// Key whose record names the leader. It is attached to the leader's lease.
pub const LEADER: &str = "lr/leader";
/// Key of the durable term, the highest fencing token ever issued.
pub const TERM: &str = "lr/term";
/// Prefix of the job records.
pub const JOB_PREFIX: &str = "lr/job/";
/// Prefix of the progress pages, which record the tasks that are done.
pub const PROGRESS_PREFIX: &str = "lr/progress/";
/// Prefix of the roster pages, which list the machines on which tasks may have been started.
pub const ROSTER_PREFIX: &str = "lr/roster/";
/// Prefix of the gang bindings, the placements of gangs on machines, each stored in chunks.
pub const BINDING_PREFIX: &str = "lr/binding/";
/// Key of the record of the arrays whose tasks may have been started.
pub const STARTED_ARRAYS: &str = "lr/begun";

/// Returns the key of a job's record.
pub fn job(id: &str) -> String {
    format!("{JOB_PREFIX}{id}")
}

/// Returns the key of a progress page.
pub fn progress(page: u32) -> String {
    format!("{PROGRESS_PREFIX}{page}")
}

/// Returns the key of a roster page.
pub fn roster(page: u32) -> String {
    format!("{ROSTER_PREFIX}{page}")
}

/// Returns the key of a chunk of a gang's binding.
pub fn binding(id: &str, chunk: u32) -> String {
    format!("{BINDING_PREFIX}{id}/{chunk}")
}

/// Returns the id of the job whose record is stored under a key.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(JOB_PREFIX)
}

/// Returns the number of the progress page that is stored under a key.
pub fn progress_page(key: &str) -> Option<u32> {
    key.strip_prefix(PROGRESS_PREFIX)?.parse().ok()
}

/// Returns the number of the roster page that is stored under a key.
pub fn roster_page(key: &str) -> Option<u32> {
    key.strip_prefix(ROSTER_PREFIX)?.parse().ok()
}

/// Returns the job id and the chunk number of the binding record that is stored under a key.
pub fn binding_chunk(key: &str) -> Option<(&str, u32)> {
    let (job, chunk) = key.strip_prefix(BINDING_PREFIX)?.rsplit_once('/')?;
    Some((job, chunk.parse().ok()?))
}

/// Kind of record that is stored under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind {
    /// Record of the leader.
    Leader,
    /// Durable term.
    Term,
    /// Record of a job.
    Job,
    /// Progress page.
    Progress,
    /// Roster page.
    Roster,
    /// Chunk of a gang's binding.
    Binding,
    /// Record of the started arrays.
    StartedArrays,
    /// A key that this version does not know.
    Other,
}

impl KeyKind {
    /// Returns the kind of a key, which follows from its name.
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
