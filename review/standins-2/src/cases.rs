//! The cases. Each returns a line for each time that its rule was broken.

mod drain_restart;
mod early_return;
mod figures;
mod half_written;
mod long_answers;
mod long_numbers;
mod partition;
mod silent_callers;
mod turned_away;

use crate::record::Record;
use std::path::Path;

pub fn run(case: &str, trouble: bool, folder: &Path, record: &Record) -> Option<Vec<String>> {
    match case {
        "drain-restart" => Some(drain_restart::run(trouble, folder, record)),
        "early-return" => Some(early_return::run(trouble, folder, record)),
        "half-written" => Some(half_written::run(trouble, folder, record)),
        "silent-callers" => Some(silent_callers::run(trouble, folder, record)),
        "turned-away" => Some(turned_away::run(trouble, folder, record)),
        // Shown, and not among the five cases.
        "figures" => Some(figures::run(trouble, folder, record)),
        "long-answers" => Some(long_answers::run(trouble, folder, record)),
        "partition" => Some(partition::run(trouble, folder, record)),
        "long-numbers" => Some(long_numbers::run(trouble, folder, record)),
        _ => None,
    }
}
