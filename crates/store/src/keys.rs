//! Names of the keys that the controllers keep.

/// Prefix of all keys of this service.
pub const ALL: &str = "lr/";
pub const LEADER: &str = "lr/leader";
pub const TERM: &str = "lr/term";
pub const JOBS: &str = "lr/job/";
pub const PROGRESS: &str = "lr/progress/";
pub const ROSTER: &str = "lr/roster/";
pub const BINDING: &str = "lr/binding/";
pub const BEGUN: &str = "lr/begun/";

pub fn job(id: &str) -> String {
    format!("{JOBS}{id}")
}

/// Progress is kept in chunks, so that no value exceeds the store's limit.
pub fn progress(id: &str, chunk: u32) -> String {
    format!("{PROGRESS}{id}/{chunk}")
}

pub fn roster(machine: &str) -> String {
    format!("{ROSTER}{machine}")
}

pub fn binding(id: &str, chunk: u32) -> String {
    format!("{BINDING}{id}/{chunk}")
}

pub fn begun(id: &str) -> String {
    format!("{BEGUN}{id}")
}
