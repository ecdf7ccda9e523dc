//! Logs: single lines of `key=value` on standard error, at the level of `LOG_LEVEL`.

use std::io::Write;
use std::time::Instant;

pub fn start() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("debug") => log::LevelFilter::Debug,
        Ok("info") => log::LevelFilter::Info,
        _ => log::LevelFilter::Error,
    };
    let started_at = Instant::now();
    env_logger::Builder::new()
        .filter_level(level)
        .format(move |out, record| {
            writeln!(
                out,
                "up={:.3} level={} {}",
                started_at.elapsed().as_secs_f64(),
                record.level().as_str().to_lowercase(),
                record.args()
            )
        })
        .init();
}
