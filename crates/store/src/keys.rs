//! Names of the keys that the controllers keep.

/// Prefix of all keys of this service.
pub const ALL: &str = "lr/";
/// Who leads, attached to the leader's lease.
pub const LEADER: &str = "lr/leader";
/// The highest fencing token given out.
pub const TERM: &str = "lr/term";
/// Prefix of the jobs' records.
pub const JOBS: &str = "lr/job/";
/// Prefix of the pages of progress.
pub const PROGRESS: &str = "lr/progress/";
/// Prefix of the pages of the roster.
pub const ROSTER: &str = "lr/roster/";
/// Prefix of the bindings of gangs.
pub const BINDING: &str = "lr/binding/";
/// Which arrays may have begun.
pub const STARTED_ARRAYS: &str = "lr/begun";

/// The record of a job.
pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Progress of many jobs, by page.
pub fn progress(page: u32) -> String {
    format!("{PROGRESS}{page}")
}

/// Rostered machines, by page.
pub fn roster(page: u32) -> String {
    format!("{ROSTER}{page}")
}

/// A part of a gang's binding.
pub fn binding(id: &str, chunk: u32) -> String {
    format!("{BINDING}{id}/{chunk}")
}

/// The id of the job whose record a key holds.
pub fn job_id(key: &str) -> Option<&str> {
    key.strip_prefix(JOBS)
}

/// The number of the progress page that a key holds.
pub fn progress_page(key: &str) -> Option<u32> {
    key.strip_prefix(PROGRESS)?.parse().ok()
}

/// The number of the roster page that a key holds.
pub fn roster_page(key: &str) -> Option<u32> {
    key.strip_prefix(ROSTER)?.parse().ok()
}

/// The job and the chunk of the binding record that a key holds.
pub fn binding_chunk(key: &str) -> Option<(&str, u32)> {
    let (job, chunk) = key.strip_prefix(BINDING)?.rsplit_once('/')?;
    Some((job, chunk.parse().ok()?))
}

/// What a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The leader and its token.
    Leader,
    /// The highest token.
    Term,
    /// The record of a job.
    Job,
    /// A page of progress.
    Progress,
    /// A page of the roster.
    Roster,
    /// A part of a gang's binding.
    Binding,
    /// Which arrays may have begun.
    StartRecord,
    /// Nothing of this version.
    Other,
}

impl Kind {
    /// What a key holds, by its name.
    pub fn of(key: &str) -> Kind {
        let prefixes = [
            (JOBS, Kind::Job),
            (PROGRESS, Kind::Progress),
            (ROSTER, Kind::Roster),
            (BINDING, Kind::Binding),
        ];
        match key {
            LEADER => Kind::Leader,
            TERM => Kind::Term,
            STARTED_ARRAYS => Kind::StartRecord,
            _ => {
                let found = prefixes.iter().find(|(prefix, _)| key.starts_with(prefix));
                found.map_or(Kind::Other, |(_, kind)| *kind)
            }
        }
    }
}
