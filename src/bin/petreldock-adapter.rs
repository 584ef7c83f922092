//! Runs instances of the decision module for the simulator, whose protocol it speaks on standard input and output.

#![forbid(unsafe_code)]

use petreldock::simulator_protocol::Host;
use std::io::{BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = Host::default();
    let mut bytes = Vec::new();
    let mut line_number: u64 = 0;
    loop {
        bytes.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut bytes) {
            Ok(0) if host.is_between_batches() => return ExitCode::SUCCESS,
            Ok(0) => {
                eprintln!("line {line_number}: expected 'flush' to close the batch, found the end of input");
                return ExitCode::FAILURE;
            }
            Ok(_) => {}
            Err(error) => {
                eprintln!("line {line_number}: cannot read standard input: {error}");
                return ExitCode::FAILURE;
            }
        }
        let Ok(text) = std::str::from_utf8(&bytes) else {
            eprintln!("line {line_number}: expected UTF-8 text");
            return ExitCode::FAILURE;
        };
        match host.handle_line(text.trim_end_matches(['\n', '\r'])) {
            Ok(None) => {}
            Ok(Some(reply)) => {
                if let Err(error) = output.write_all(reply.as_bytes()).and_then(|()| output.flush()) {
                    eprintln!("line {line_number}: cannot write the reply: {error}");
                    return ExitCode::FAILURE;
                }
            }
            Err(expected) => {
                eprintln!("line {line_number}: {expected}");
                return ExitCode::FAILURE;
            }
        }
    }
}
