//! An IAX2 hub as a process of its own: PORT FIRST_CALL_NUMBER RECORD START.

use review_standins::{iax2, Record};
use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let record = Record::append(Path::new(&arguments[3]), arguments[4].parse().unwrap());
    iax2::serve(arguments[1].parse().unwrap(), arguments[2].parse().unwrap(), &record)
}
