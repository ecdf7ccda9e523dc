//! Logging: lines of `key=value` pairs on standard error, at the level in `LOG_LEVEL`.

use log::LevelFilter;
use std::io::Write;
use std::time::Instant;

/// Starts logging. Each line contains the seconds since this call as `up`.
pub fn start() {
    let started_at = Instant::now();
    env_logger::Builder::new()
        .filter_level(level(std::env::var("LOG_LEVEL").ok().as_deref()))
        .format(move |out, record| {
            let up_s = started_at.elapsed().as_secs_f64();
            let level = record.level().as_str().to_lowercase();
            writeln!(out, "up={up_s:.3} level={level} {}", record.args())
        })
        .init();
}

/// Returns the log level with this name; for a missing or unknown name, the level that logs only
/// errors.
fn level(name: Option<&str>) -> LevelFilter {
    match name {
        Some("debug") => LevelFilter::Debug,
        Some("info") => LevelFilter::Info,
        _ => LevelFilter::Error,
    }
}
