//! Names of the keys that the controllers keep.

/// Prefix of all keys of this service.
pub const ALL: &str = "lr/";
pub const LEADER: &str = "lr/leader";
pub const TERM: &str = "lr/term";
pub const JOBS: &str = "lr/job/";
pub const PROGRESS: &str = "lr/progress/";
pub const ROSTER: &str = "lr/roster/";
pub const BINDING: &str = "lr/binding/";
/// Which arrays may have begun.
pub const BEGUN: &str = "lr/begun";

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

pub fn binding(id: &str, chunk: u32) -> String {
    format!("{BINDING}{id}/{chunk}")
}
