//! Stand-ins for the review: a table hub, a change log, a SIP caller, a TCP relay, and the start of the project's
//! program with the command of the deploy file. Standard library only.

pub mod caller;
pub mod changelog;
pub mod hub;
pub mod iax2;
pub mod relay;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: each line begins with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    start: u64,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        Record {
            start: now_us(),
            file: Arc::new(Mutex::new({
                File::create(path).expect("record.txt");
                File::options().append(true).open(path).expect("record.txt")
            })),
        }
    }

    /// Opens the record of a run that another process has begun.
    pub fn append(path: &Path, start: u64) -> Record {
        let file = File::options().append(true).open(path).expect("record.txt");
        Record { start, file: Arc::new(Mutex::new(file)) }
    }

    pub fn start(&self) -> u64 {
        self.start
    }

    pub fn line(&self, text: &str) {
        self.line_at(now_us(), text);
    }

    pub fn line_at(&self, at: u64, text: &str) {
        let ms = at.saturating_sub(self.start) as f64 / 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }

    pub fn ms(&self, at: u64) -> f64 {
        at.saturating_sub(self.start) as f64 / 1000.0
    }
}

/// Whether the run has its disruption (`TROUBLE=0` leaves it out).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// Processes that this one has started and not ended yet.
pub static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the run as one that could not be carried out, and the processes that it started.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    for pid in STARTED.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
    }
    std::process::exit(2);
}

/// Ends the run if it takes longer than it may.
pub fn limit_run() {
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        cannot_run("the run takes longer than 110 s");
    });
}

/// A started session controller. It is killed when this is dropped.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

/// A port that was free a moment ago.
pub fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().port()
}

impl Program {
    /// Starts the program with the command that `RUN_COMMAND` holds (the deploy file's `run`), from the root of the
    /// repository (the current folder), and waits until it passes a test.
    pub fn start(config: &str, listen_port: u16, record: &Record) -> Program {
        Program::start_with(config, None, listen_port, record)
    }

    /// Starts the program with an operator's file.
    pub fn start_with(config: &str, operator: Option<&str>, listen_port: u16, record: &Record) -> Program {
        let command = std::env::var("RUN_COMMAND").unwrap_or_else(|_| cannot_run("RUN_COMMAND is not set"));
        let folder = std::env::temp_dir().join(format!("review-{}-{listen_port}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("config.json");
        std::fs::write(&file, config).unwrap();
        let operator_file = folder.join("operator.json");
        std::fs::write(&operator_file, operator.unwrap_or_default()).unwrap();
        let address: SocketAddr = format!("127.0.0.1:{listen_port}").parse().unwrap();
        let log = File::create(folder.join("log.txt")).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &command])
            .env("ROUTER_NAME", "n1")
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", &folder)
            .envs(operator.map(|_| ("PETRELDOCK_OPERATOR", &operator_file)))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("start: {e}")));
        STARTED.lock().unwrap().push(child.id());
        let mut program = Program { child, address, folder };
        let until = Instant::now() + Duration::from_secs(10);
        loop {
            if program.child.try_wait().unwrap().is_some() {
                cannot_run("the program ended at its start");
            }
            if caller::test_passes(address) {
                break;
            }
            if Instant::now() > until {
                cannot_run("the program is not ready within 10 s");
            }
            sleep_ms(50);
        }
        record.line(&format!("session controller ready at {address}"));
        program
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|pid| *pid != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// The configuration of a small deployment, with the settings of `ankara-main`. `idempotency` is that of both classes.
pub struct Deployment<'a> {
    pub sockets: u32,
    pub changelog: Option<SocketAddr>,
    pub known: &'a str,
    pub seq: u64,
    pub hubs: usize,
    pub idempotency: &'a str,
}

impl Deployment<'_> {
    pub fn json(&self) -> String {
        let Deployment { sockets, known, seq, idempotency, .. } = self;
        let pools: Vec<String> = (0..self.hubs).map(|n| n.to_string()).collect();
        let pools = pools.join(",");
        let log = self.changelog.map_or(String::new(), |a| format!("\"changelog\":\"{a}\","));
        format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},{log}
"known":{{"seq":{seq},"results":[{known}]}},
"settings":{{"balancers":1,"round":5000,"registryMode":"automatic","family":"trunks",
"classes":[
{{"name":"seat-check","objective":1500000,"deadline":9000000,"idempotency":"{idempotency}","keyScope":"all","stream":true,"window":5000000,"lateWorth":0.25,"worth":1.0}},
{{"name":"seat-hold","objective":1500000,"deadline":9000000,"idempotency":"{idempotency}","keyScope":"all","stream":true,"window":5000000,"lateWorth":0.1,"worth":3.0}}],
"accounts":[{{"name":"kuzey-hatti","share":0.54,"quotaPerS":40}},{{"name":"ege-seferleri","share":0.27,"quotaPerS":20}},{{"name":"toros-tur","share":0.19,"quotaPerS":15}}],"overShareWorth":0.1,
"clients":{{"marksRetry":false}},
"contract":{{"coldFrom":0.29,"warmUp":14000000,"drainGrace":2000000,"graceToAnswer":20000,"overloadFactor":3.0,"overloadFor":1000000}},
"familyInfo":{{"networkForm":"pools","here":-1,"allowedPools":[[{pools}],[{pools}]],"channelsNeeded":[1,1],"classHold":[9000000,11000000],"farReports":"piggyback","release":300000,"resend":800000,"routeAdvice":false,"saysWait":false}},
"limits":{{"cancel":true,"connIdle":600000000,"dialTimeout":500000,"maxAttempts":5,"maxOpen":20000,"maxRetryAfter":2000000,"mayProbe":true,"mayTell":false,"retryAfter":true,"secondCopies":false}},
"report":{{"names":["free","size","svc_ms"],"via":"piggyback"}},"selfIndex":0}}}}"#
        )
    }
}

/// One hub's entry in an event of the change log.
pub fn target(uid: &str, address: SocketAddr, place: usize, state: &str) -> String {
    format!(
        r#"{{"uid":"{uid}","endpoint":"{address}","az":"addis","model":"small-1c","pod_group":{place},"state":"{state}","capacity_hint":1,"boot_ms":0}}"#
    )
}

/// One event of the change log.
pub fn event(seq: u64, all: bool, targets: &[String]) -> String {
    format!(r#"{{"seq":{seq},"fleet":{{"rev":{seq},"all":{all},"targets":[{}]}}}}"#, targets.join(","))
}
