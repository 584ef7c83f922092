//! The started program, its configuration, and the change log it polls.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, Duration, Instant};

/// The classes that the operators have, by name, aim in seconds, worth and share of the calls.
pub const CLASSES: [(&str, f64, f64, f64); 2] =
    [("seat-lookup", 2.0, 1.0, 0.78), ("result-post", 1.5, 3.0, 0.22)];

pub fn target(uid: &str, endpoint: SocketAddr, place: usize, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","pod_group":{place},"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

/// The document that a controller finds, and what its state section says, if it has one.
pub struct Site {
    pub balancers: usize,
    pub places: usize,
    pub change_log: SocketAddr,
    pub known: String,
}

impl Site {
    pub fn document(&self, index: usize, listen: SocketAddr, seed: u64) -> String {
        let places = (0..self.places).map(|p| p.to_string()).collect::<Vec<_>>().join(",");
        let class = |(name, aim, worth, _): &(&str, f64, f64, f64)| {
            let objective = aim * 1e6;
            format!(
                r#"{{"name":"{name}","objective":{objective},"deadline":9000000,"idempotency":"free","lateWorth":0.2,"worth":{worth}}}"#
            )
        };
        let classes = CLASSES.iter().map(class).collect::<Vec<_>>().join(",");
        format!(
            r#"{{"name":"n{index}","listen":"{listen}","seed":"{seed:x}","limits":{{"memory_mb":192,"sockets":1024}},
            "changelog":"{}","known":{},"settings":{{"balancers":{},"selfIndex":{index},"classes":[{classes}],
            "contract":{{"coldFrom":0.3,"warmUp":14000000,"drainGrace":2000000,"overloadFactor":3.0,"overloadFor":1000000}},
            "familyInfo":{{"networkForm":"pools","allowedPools":[[{places}],[{places}]],"classHold":[8700000,8700000],
            "release":200000,"resend":500000}},"limits":{{"cancel":true,"mayProbe":true,"dialTimeout":500000,"maxAttempts":6,
            "maxOpen":20000,"retryAfter":true,"maxRetryAfter":2000000}},
            "report":{{"names":["free","size","can_take"],"via":"piggyback"}}}}}}"#,
            self.change_log, self.known, self.balancers
        )
    }
}

/// One controller: its address outlives its processes.
pub struct Program {
    binary: PathBuf,
    folder: PathBuf,
    pub address: SocketAddr,
    child: Option<Child>,
    index: usize,
    starts: u64,
}

impl Program {
    /// The `index`th of a run; `run` sets its addresses apart from those of other runs, so that nobody takes
    /// them while it is down.
    pub fn new(binary: &Path, folder: &Path, run: u16, index: usize) -> io::Result<Program> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(&folder)?;
        let [high, low] = run.to_be_bytes();
        let address = SocketAddr::from(([127, 20 + high % 200, low, 1 + index as u8 % 250], 5060));
        Ok(Program { binary: binary.into(), folder, address, child: None, index, starts: 0 })
    }

    /// Starts it and waits until it accepts; `state` is the `state` section without its folder.
    pub async fn start(&mut self, site: &Site, seed: u64, state: Option<&str>) -> io::Result<()> {
        self.starts += 1;
        let config = self.folder.join("config.json");
        let seed = seed ^ self.starts << 32 ^ self.index as u64;
        std::fs::write(&config, site.document(self.index, self.address, seed))?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.binary);
        command.env("ROUTER_CONFIG", &config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        for name in ["ROUTER_LISTEN", "ROUTER_NAME", "PETRELDOCK_OPERATOR"] {
            command.env_remove(name);
        }
        if let Some(state) = state {
            let file = self.folder.join("operator.json");
            let folder = self.folder.join("state").display().to_string();
            // A whole file, or what is to stand in a state section beside its folder.
            let text = match state.starts_with('{') {
                true => state.to_string(),
                false => format!(r#"{{"state":{{"folder":{folder:?}{state}}}}}"#),
            };
            std::fs::write(&file, text)?;
            command.env("PETRELDOCK_OPERATOR", file);
        }
        self.child = Some(command.spawn()?);
        let end = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(self.address).await.is_err() {
            if Instant::now() > end {
                return Err(io::Error::other("the program does not start; see its log"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Serves a list of events over HTTP, as the platform does.
#[derive(Clone, Default)]
pub struct ChangeLog {
    events: Rc<RefCell<Vec<String>>>,
    silent: Rc<Cell<bool>>,
}

impl ChangeLog {
    pub async fn start(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let log = self.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(log.clone().serve(stream));
            }
        });
        Ok(address)
    }

    /// Has it leave polls without an answer, or answer again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
    }

    /// Adds an event with the next number.
    pub fn tell(&self, all: bool, targets: &[String]) {
        let mut events = self.events.borrow_mut();
        let seq = events.len() + 1;
        events.push(format!(
            r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{}]}}}}"#,
            targets.join(",")
        ));
    }

    /// All events after one, in the platform's form.
    pub fn since(&self, seq: usize) -> String {
        let events = self.events.borrow();
        let later = events.get(seq..).unwrap_or_default().join(",");
        format!(r#"{{"seq":{},"results":[{later}]}}"#, events.len())
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut input = Vec::new();
        while stream.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
            if !input.ends_with(b"\r\n\r\n") {
                continue;
            }
            let text = String::from_utf8_lossy(&std::mem::take(&mut input)).into_owned();
            let since =
                text.split("since=").nth(1).and_then(|t| t.split('&').next()?.parse().ok()).unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(500);
            while self.silent.get() || self.events.borrow().len() <= since && Instant::now() < end {
                sleep(Duration::from_millis(10)).await;
            }
            let body = self.since(since);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
