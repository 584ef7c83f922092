//! Starts the session controller: it listens where the platform says and answers nothing yet.

use std::process::ExitCode;

fn main() -> ExitCode {
    let listen = std::env::var("ROUTER_LISTEN").unwrap_or_default();
    let listener = match std::net::TcpListener::bind(&listen) {
        Ok(listener) => listener,
        Err(error) => {
            eprintln!("petreldock: ROUTER_LISTEN: cannot listen at '{listen}': {error}");
            return ExitCode::FAILURE;
        }
    };
    for connection in listener.incoming() {
        drop(connection);
    }
    ExitCode::SUCCESS
}
