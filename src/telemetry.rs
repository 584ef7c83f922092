//! Installs the log subscriber of the program, which writes to standard error.

use crate::config::{LogConfig, LogLevel};
use tracing::level_filters::LevelFilter;

/// Installs the subscriber. Has no effect if one is installed already.
pub fn start(log: &LogConfig) {
    let level = match log.level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    };
    let builder =
        tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_target(false);
    // An error means that a subscriber is installed, as library tests may have done.
    let _ = match log.json {
        true => builder.json().try_init(),
        false => builder.with_ansi(false).try_init(),
    };
}
