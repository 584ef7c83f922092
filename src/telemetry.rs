//! Logs: one subscriber for the whole program, on standard error.

use crate::config::{LogConfig, LogLevel};
use tracing::level_filters::LevelFilter;

/// Starts logging; a second call changes nothing.
pub fn start(log: &LogConfig) {
    let level = match log.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let form =
        tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    // Tests of the library may have one of their own.
    let _ = match log.json {
        true => form.json().try_init(),
        false => form.with_ansi(false).try_init(),
    };
}
