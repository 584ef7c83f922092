//! The platform: a folder for one run, the configuration, the change log, and the program that is started, signalled and ended.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The process ids of what was started and has not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The folder of this run.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

pub fn set_folder(folder: &Path) {
    *FOLDER.lock().unwrap_or_else(|e| e.into_inner()) = Some(folder.into());
}

/// Ends every program that this process started, and removes the run's folder.
pub fn end_all() {
    for pid in STARTED.lock().unwrap_or_else(|e| e.into_inner()).drain(..) {
        unsafe { kill(pid as i32, SIGKILL) };
    }
    let folder = FOLDER.lock().unwrap_or_else(|e| e.into_inner()).take();
    if let Some(folder) = folder.filter(|_| std::env::var("REVIEW_KEEP").is_err()) {
        let _ = std::fs::remove_dir_all(folder);
    }
}

/// What differs between the deployments of the cases.
#[derive(Clone)]
pub struct Site {
    pub classes: [&'static str; 2],
    pub objectives: [u64; 2],
    pub release_us: u64,
    pub max_attempts: u32,
    pub balancers: u32,
    pub memory_mb: u64,
    pub sockets: u64,
    /// Name of the third report field, as in `can_take`.
    pub figure: &'static str,
}

impl Site {
    /// Like `selam-central`.
    pub fn selam() -> Site {
        Site {
            classes: ["seat-lookup", "result-post"],
            objectives: [2_000_000, 1_500_000],
            release_us: 200_000,
            max_attempts: 6,
            balancers: 2,
            memory_mb: 192,
            sockets: 1024,
            figure: "can_take",
        }
    }

    fn settings(&self, pools: usize) -> String {
        let class = |i: usize, late: &str, worth: &str| {
            format!(
                r#"{{"deadline":9000000,"idempotency":"free","keyScope":"all","lateWorth":{late},"name":"{}","objective":{},"stream":true,"window":5000000,"worth":{worth}}}"#,
                self.classes[i], self.objectives[i]
            )
        };
        let pools = (0..pools).map(|i| i.to_string()).collect::<Vec<_>>().join(",");
        format!(
            r#"{{"accounts":[],"balancers":{},"classes":[{},{}],"clients":{{"marksRetry":true}},"contract":{{"askWithin":10000000,"coldFrom":0.3,"drainGrace":2000000,"graceToAnswer":20000,"overloadFactor":3.0,"overloadFor":1000000,"warmUp":14000000}},"family":"trunks","familyInfo":{{"allowedPools":[[{pools}],[{pools}]],"channelsNeeded":[1,1],"classHold":[8000000,12000000],"farReports":"piggyback","here":-1,"networkForm":"pools","release":{},"resend":500000,"routeAdvice":false,"saysWait":false}},"limits":{{"cancel":true,"connIdle":600000000,"cpuUsPerRequest":0.0,"cpuUsPerS":300000,"dialTimeout":500000,"maxAttempts":{},"maxOpen":20000,"maxRetryAfter":2000000,"mayProbe":true,"mayTell":false,"retryAfter":true,"secondCopies":false,"streamsPerConn":1048576}},"registryMode":"automatic","report":{{"names":["free","size","{}"],"via":"piggyback"}},"round":5000,"selfIndex":0,"shapes":["small-1c"],"stages":["table-hub"],"tier":0,"weights":"silent","worthBy":"request","zone":"addis","zones":["addis","bahir-dar"]}}"#,
            self.balancers,
            class(0, "0.1", "1.0"),
            class(1, "0.25", "3.0"),
            self.release_us,
            self.max_attempts,
            self.figure,
        )
    }
}

/// One entry of the hub list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub address: SocketAddr,
    pub place: usize,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"addis","model":"small-1c","pod_group":{},"state":"{}","capacity_hint":1,"boot_ms":{}}}"#,
            self.uid, self.address, self.place, self.state, self.boot_ms
        )
    }
}

/// The change log: events with numbers, told by long polling.
#[derive(Clone)]
pub struct ChangeLog {
    pub address: SocketAddr,
    events: Arc<(Mutex<Vec<String>>, Condvar)>,
    record: Record,
}

impl ChangeLog {
    pub fn start(record: &Record) -> ChangeLog {
        let listener = TcpListener::bind(any_port()).expect("change log");
        let log = ChangeLog {
            address: listener.local_addr().expect("address"),
            events: Arc::default(),
            record: record.clone(),
        };
        let serving = log.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let log = serving.clone();
                thread::spawn(move || log.serve(stream));
            }
        });
        log
    }

    /// Adds an event; it counts as told from now on.
    pub fn add(&self, all: bool, targets: &[Target]) {
        let mut events = self.events.0.lock().unwrap();
        let seq = events.len() + 1;
        let list = targets.iter().map(Target::json).collect::<Vec<_>>().join(",");
        events.push(format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{list}]}}}}"#));
        let names = targets.iter().map(|t| format!("{} {}", t.uid, t.state)).collect::<Vec<_>>();
        self.record.line(&format!("change log: event {seq}: {}", names.join(", ")));
        self.events.1.notify_all();
    }

    /// Numbers the events from 1 again, as at each start of a session controller: the first one holds the whole list as it
    /// is now.
    pub fn begin_again(&self, targets: &[Target]) {
        self.events.0.lock().unwrap().clear();
        self.add(true, targets);
    }

    /// The events after `since`, in the form of an answer.
    pub fn since(&self, since: usize) -> String {
        let events = self.events.0.lock().unwrap();
        let results = events.get(since..).unwrap_or_default().join(",");
        format!(r#"{{"seq":{},"results":[{results}]}}"#, events.len())
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            while let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&input[..end]).into_owned();
                input.drain(..end + 4);
                let number = |name: &str| -> Option<u64> {
                    let rest = text.split(name).nth(1)?;
                    rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
                };
                let since = number("since=").unwrap_or(0) as usize;
                let hold = Duration::from_millis(number("timeout=").unwrap_or(0).min(5000));
                let until = Instant::now() + hold;
                let mut events = self.events.0.lock().unwrap();
                while events.len() <= since && Instant::now() < until {
                    events = self.events.1.wait_timeout(events, until - Instant::now()).unwrap().0;
                }
                drop(events);
                let body = self.since(since);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            match stream.read(&mut bytes) {
                Ok(0) | Err(_) => return,
                Ok(count) => input.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

/// A loopback address of this run's own, with any free port. Connections go out from 127.0.0.1, so that none of them takes
/// the port of a program that is down for a moment.
pub fn any_port() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    SocketAddr::from(([127, 100 + high, middle, low.max(2)], 0))
}

fn free_address() -> SocketAddr {
    TcpListener::bind(any_port()).and_then(|l| l.local_addr()).expect("a free port")
}

/// The repository's root, from which the commands of the deploy file are started.
pub fn root() -> PathBuf {
    std::env::var("REVIEW_ROOT").map_or_else(|_| std::env::current_dir().expect("folder"), PathBuf::from)
}

/// The value of `run` in the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy/balancer.toml");
    let line = text.lines().find(|l| l.starts_with("run")).expect("run");
    line.split('"').nth(1).expect("the command of run").to_string()
}

/// One session controller: its folder, its configuration, and its process while it runs.
pub struct Controller {
    folder: PathBuf,
    pub site: Site,
    pub address: SocketAddr,
    pools: usize,
    child: Option<Child>,
    starts: u64,
    record: Record,
}

impl Controller {
    pub fn new(folder: &Path, site: Site, pools: usize, record: &Record) -> Controller {
        let (folder, address) = (folder.to_path_buf(), free_address());
        Controller { folder, site, address, pools, child: None, starts: 0, record: record.clone() }
    }

    pub fn write_config(&self, change_log: SocketAddr, known: &str) {
        let config = format!(
            r#"{{"name":"n0","listen":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"changelog":"{change_log}","known":{known},"settings":{}}}"#,
            self.address,
            0x8c1f_30d2_7a5b_e964_u64 + self.starts,
            self.site.memory_mb,
            self.site.sockets,
            self.site.settings(self.pools),
        );
        let temporary = self.folder.join("config.new");
        std::fs::write(&temporary, config).expect("configuration");
        std::fs::rename(temporary, self.folder.join("config.json")).expect("configuration");
    }

    /// Starts the program with the command of the deploy file and waits until it passes a test.
    pub fn start(&mut self, change_log: &ChangeLog) {
        self.write_config(change_log.address, &change_log.since(0));
        self.starts += 1;
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join("log")).expect("log");
        let temporary = self.folder.join(format!("tmp-{}", self.starts));
        std::fs::create_dir_all(&temporary).expect("folder");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command()).current_dir(root()).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("log")).stderr(log);
        command.env("ROUTER_CONFIG", self.folder.join("config.json")).env("TMPDIR", temporary);
        command.env("ROUTER_NAME", "n0").env("ROUTER_LISTEN", self.address.to_string());
        if std::env::var("REVIEW_DEBUG").is_ok() {
            let file = self.folder.join("operator.json");
            std::fs::write(&file, r#"{"log":{"level":"debug"}}"#).expect("operator's file");
            command.env("PETRELDOCK_OPERATOR", file);
        } else {
            command.env_remove("PETRELDOCK_OPERATOR");
        }
        // The system ends the program with this process, however that ends: also by a signal that nothing can handle.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            })
        };
        let child = command.spawn().expect("start");
        STARTED.lock().unwrap().push(child.id());
        self.record.line(&format!("platform: start {} of the session controller", self.starts));
        self.child = Some(child);
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            if passes_test(self.address) {
                break;
            }
            if Instant::now() > until || self.has_exited() {
                crate::cannot_run("the session controller is not ready within 20 s");
            }
            thread::sleep(Duration::from_millis(20));
        }
        self.record.line("platform: the session controller has passed a test");
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_none_or(|c| !matches!(c.try_wait(), Ok(None)))
    }

    pub fn signal(&mut self, signal: i32) {
        if !self.has_exited() {
            self.record.line(&format!("platform: signal {signal} to the session controller"));
            unsafe { kill(self.pid() as i32, signal) };
        }
    }

    /// Waits until the process has ended, and kills it after `limit`.
    pub fn wait_end(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.has_exited() {
            if Instant::now() >= until {
                self.signal(SIGKILL);
                if let Some(child) = &mut self.child {
                    let _ = child.wait();
                }
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        self.record.line("platform: the session controller has ended");
        let pid = self.pid();
        STARTED.lock().unwrap().retain(|p| *p != pid);
        self.child = None;
    }

    /// The end at a planned restart: SIGTERM, and SIGKILL no sooner than 3.7 s later.
    pub fn stop(&mut self) {
        self.signal(SIGTERM);
        self.wait_end(Duration::from_millis(3700));
    }

    /// A field of /proc/PID/status in KiB, as in `VmRSS`.
    pub fn memory_kib(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with(field)).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One test by OPTIONS on a connection of its own.
pub fn passes_test(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(300)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let test = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000001\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
    if stream.write_all(test.as_bytes()).is_err() {
        return false;
    }
    let mut bytes = [0; 512];
    stream.read(&mut bytes).is_ok_and(|count| bytes[..count].starts_with(b"SIP/2.0 200"))
}
