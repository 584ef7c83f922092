//! A started petreldock process, its configuration, and the change log that it polls.

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

/// The operators' classes of calls: name, objective in seconds, worth, and share of all calls.
pub const CLASSES: [(&str, f64, f64, f64); 2] =
    [("seat-lookup", 2.0, 1.0, 0.78), ("result-post", 1.5, 3.0, 0.22)];

/// A change-log target in JSON.
pub fn target_json(uid: &str, endpoint: SocketAddr, place: usize, state: &str, boot_ms: u64) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{endpoint}","pod_group":{place},"state":"{state}","boot_ms":{boot_ms}}}"#
    )
}

/// What the configurations of all controllers of a deployment have in common.
pub struct Deployment {
    /// Number of controllers.
    pub balancers: usize,
    /// Number of places.
    pub places: usize,
    /// Where the change log is served.
    pub change_log: SocketAddr,
    /// The change-log response that a controller starts from, in JSON.
    pub known: String,
}

impl Deployment {
    /// The configuration document of one controller, in JSON.
    pub fn config_json(&self, index: usize, listen: SocketAddr, seed: u64) -> String {
        let places = (0..self.places).map(|p| p.to_string()).collect::<Vec<_>>().join(",");
        let class = |(name, objective_s, worth, _): &(&str, f64, f64, f64)| {
            let objective = objective_s * 1e6;
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

/// A controller, started and killed any number of times; its address and folder stay the same.
pub struct ControllerProcess {
    binary: PathBuf,
    folder: PathBuf,
    /// Where it listens for callers.
    pub address: SocketAddr,
    child: Option<Child>,
    index: usize,
    starts: u64,
}

impl ControllerProcess {
    /// Creates the controller with this index in a run, without starting it. Each `run` has its own addresses, so
    /// that nothing else binds them while a controller is down.
    pub fn new(binary: &Path, folder: &Path, run: u16, index: usize) -> io::Result<ControllerProcess> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(&folder)?;
        let [high, low] = run.to_be_bytes();
        let address = SocketAddr::from(([127, 20 + high % 200, low, 1 + index as u8 % 250], 5060));
        Ok(ControllerProcess { binary: binary.into(), folder, address, child: None, index, starts: 0 })
    }

    /// Starts it and waits until it accepts connections. `operator` is either the whole operator's file or further
    /// members of its `state` section, to follow the folder; without it there is no operator's file.
    pub async fn start(
        &mut self,
        deployment: &Deployment,
        seed: u64,
        operator: Option<&str>,
    ) -> io::Result<()> {
        self.starts += 1;
        let config = self.folder.join("config.json");
        let seed = seed ^ self.starts << 32 ^ self.index as u64;
        std::fs::write(&config, deployment.config_json(self.index, self.address, seed))?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.binary);
        command.env("ROUTER_CONFIG", &config).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        for name in ["ROUTER_LISTEN", "ROUTER_NAME", "PETRELDOCK_OPERATOR"] {
            command.env_remove(name);
        }
        if let Some(operator) = operator {
            let file = self.folder.join("operator.json");
            let folder = self.folder.join("state").display().to_string();
            let text = match operator.starts_with('{') {
                true => operator.to_string(),
                false => format!(r#"{{"state":{{"folder":{folder:?}{operator}}}}}"#),
            };
            std::fs::write(&file, text)?;
            command.env("PETRELDOCK_OPERATOR", file);
        }
        self.child = Some(command.spawn()?);
        let start_deadline = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect(self.address).await.is_err() {
            if Instant::now() > start_deadline {
                return Err(io::Error::other(
                    "the controller does not accept connections within 10 s of its start; see its log",
                ));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Kills it with SIGKILL, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for ControllerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A change log served over HTTP by long polling, in the platform's form.
#[derive(Clone, Default)]
pub struct ChangeLog {
    events: Rc<RefCell<Vec<String>>>,
    unresponsive: Rc<Cell<bool>>,
}

impl ChangeLog {
    /// Starts to serve, on a free port of loopback; returns the address.
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

    /// Makes it leave polls without a response, or respond again.
    pub fn set_unresponsive(&self, unresponsive: bool) {
        self.unresponsive.set(unresponsive);
    }

    /// Appends an event with the next sequence number.
    pub fn append(&self, all: bool, targets: &[String]) {
        let mut events = self.events.borrow_mut();
        let seq = events.len() + 1;
        events.push(format!(
            r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{}]}}}}"#,
            targets.join(",")
        ));
    }

    /// The response with all events after a sequence number, in JSON.
    pub fn since(&self, seq: usize) -> String {
        let events = self.events.borrow();
        let results = events.get(seq..).unwrap_or_default().join(",");
        format!(r#"{{"seq":{},"results":[{results}]}}"#, events.len())
    }

    /// Answers the polls of one connection, each when there is a newer event or after 500 ms.
    async fn serve(self, mut stream: TcpStream) {
        let mut input = Vec::new();
        while stream.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
            if !input.ends_with(b"\r\n\r\n") {
                continue;
            }
            let text = String::from_utf8_lossy(&std::mem::take(&mut input)).into_owned();
            let since =
                text.split("since=").nth(1).and_then(|t| t.split('&').next()?.parse().ok()).unwrap_or(0);
            let poll_deadline = Instant::now() + Duration::from_millis(500);
            while self.unresponsive.get()
                || self.events.borrow().len() <= since && Instant::now() < poll_deadline
            {
                sleep(Duration::from_millis(10)).await;
            }
            let body = self.since(since);
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
