//! A minimal table hub for trials: answers every set-up and releases each call after a few seconds.
//!
//!     cargo run --example toy_hub -- 127.0.0.1:5071

use petreldock::net::binary::{self, code, kind};
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Duration of a call.
const CALL_DURATION: Duration = Duration::from_secs(5);
/// SDP description sent with each answer.
const DESCRIPTION: &[u8] = b"v=0\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n";

fn main() -> io::Result<()> {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:5071".into());
    let listener = TcpListener::bind(&address)?;
    println!("toy hub at {address}");
    for stream in listener.incoming() {
        let stream = stream?;
        thread::spawn(move || {
            if let Err(error) = serve(stream) {
                println!("connection: {error}");
            }
        });
    }
    Ok(())
}

/// Writes one message; the threads that end calls share the stream with the reader.
fn send(to: &Mutex<TcpStream>, kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> io::Result<()> {
    let mut bytes = Vec::new();
    if !binary::write(&mut bytes, kind, call, parameters) {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    to.lock().map_err(|_| io::ErrorKind::Other)?.write_all(&bytes)
}

/// Serves one connection: sends the hub's state, then handles messages until the peer closes.
fn serve(mut stream: TcpStream) -> io::Result<()> {
    let writer = Arc::new(Mutex::new(stream.try_clone()?));
    send(&writer, kind::STATE, 0, &[(code::REPORT, b"x0:100;x1:100")])?;
    let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
    loop {
        let count = stream.read(&mut bytes)?;
        if count == 0 {
            return Ok(());
        }
        input.extend_from_slice(&bytes[..count]);
        while let Some(message) = binary::parse(&input)
            .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "malformed message"))?
        {
            let call = message.call;
            match message.kind {
                kind::SET_UP => {
                    let text = |code| message.text(code).unwrap_or("?");
                    println!("{call:016x}: {} calls {}", text(code::CLASS), text(code::NUMBER));
                    let report: (u8, &[u8]) = (code::REPORT, b"x0:99;x1:100;qps:20");
                    send(&writer, kind::ANSWER, call, &[(code::DESCRIPTION, DESCRIPTION)])?;
                    let release_writer = writer.clone();
                    thread::spawn(move || {
                        thread::sleep(CALL_DURATION);
                        // The error is ignored: the connection may be closed by then.
                        let _ = send(&release_writer, kind::RELEASE, call, &[(code::CAUSE, &[16]), report]);
                    });
                }
                kind::RELEASE => println!("{call:016x}: released, cause {:?}", message.cause()),
                _ => {}
            }
            let used = message.bytes;
            input.drain(..used);
        }
    }
}
