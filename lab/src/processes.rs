//! A fleet of started processes, each reached through the proxy alone, with the script's faults on them.

use crate::proxy::Proxy;
use crate::script::Act;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// A start that takes longer has failed.
const START_MOST: Duration = Duration::from_secs(20);

static RUNS: AtomicU16 = AtomicU16::new(0);

struct Member {
    folder: PathBuf,
    child: Option<Child>,
    real: Option<SocketAddr>,
}

/// The configuration of a member: its number and where it listens for callers.
pub type Document<'a> = Box<dyn Fn(usize, SocketAddr) -> String + 'a>;

/// Started processes; they are killed, by their ids, when it goes out of scope.
pub struct Processes<'a> {
    binary: PathBuf,
    folder: PathBuf,
    net: [u8; 3],
    detection_ms: u64,
    document: Document<'a>,
    /// What is between them.
    pub proxy: Proxy,
    members: Vec<Member>,
    /// Names other than `nN`.
    pub names: Vec<String>,
    /// How many of the first are seeds.
    pub seeds: usize,
    /// Without it, nobody talks to anybody.
    pub talk: bool,
}

impl<'a> Processes<'a> {
    /// A fleet of which nobody runs yet.
    pub fn new(
        binary: &Path,
        size: usize,
        seed: u64,
        detection_ms: u64,
        document: Document<'a>,
    ) -> io::Result<Processes<'a>> {
        let (run, id) = (RUNS.fetch_add(1, Ordering::Relaxed), std::process::id());
        let folder = std::env::temp_dir().join(format!("petreldock-fleet-{id}-{run}"));
        // Addresses of its own for each run, so that nobody takes those of a process that is down.
        let net = [127, 64 + (id % 128) as u8, ((id >> 7) as u8).wrapping_add(run as u8)];
        let mut members = Vec::new();
        for n in 0..size {
            let folder = folder.join(format!("n{n}"));
            std::fs::create_dir_all(&folder)?;
            members.push(Member { folder, child: None, real: None });
        }
        Ok(Processes {
            binary: binary.into(),
            net,
            detection_ms,
            document,
            proxy: Proxy::start(size, net, seed)?,
            members,
            names: (0..size).map(|n| format!("n{n}")).collect(),
            seeds: 2.min(size),
            talk: true,
            folder,
        })
    }

    /// Where a member listens for callers.
    pub fn listens(&self, n: usize) -> SocketAddr {
        let [a, b, c] = self.net;
        SocketAddr::from(([a, b, c, 1 + n as u8], 5060))
    }

    /// Starts a member, and waits until it is in the fleet.
    pub fn start(&mut self, n: usize) -> io::Result<()> {
        let listens = self.listens(n);
        let member = &mut self.members[n];
        let config = member.folder.join("config.json");
        std::fs::write(&config, (self.document)(n, listens))?;
        let log = std::fs::File::options().create(true).append(true).open(member.folder.join("log"))?;
        let before = log.metadata()?.len() as usize;
        let mut command = Command::new(&self.binary);
        command.env("ROUTER_CONFIG", &config).env("ROUTER_NAME", &self.names[n]).env_remove("ROUTER_LISTEN");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).env_remove("PETRELDOCK_OPERATOR");
        if self.talk {
            let seeds: Vec<String> =
                (0..self.seeds).map(|s| format!("\"{}\"", self.proxy.address(s))).collect();
            let text = format!(
                r#"{{"fleet":{{"name":"lab","listen":"{}:0","advertise":"{}","seeds":[{}],"zone":"z{}",
                "prefixes":["127.0.0.0/8"],"detectionMs":{}}}}}"#,
                listens.ip(),
                self.proxy.address(n),
                seeds.join(","),
                n % 2,
                self.detection_ms
            );
            let operator = member.folder.join("operator.json");
            std::fs::write(&operator, text)?;
            command.env("PETRELDOCK_OPERATOR", operator);
        }
        member.child = Some(command.spawn()?);
        let end = Instant::now() + START_MOST;
        loop {
            let text = std::fs::read_to_string(member.folder.join("log"))?;
            let news = text.get(before..).unwrap_or_default();
            let said =
                news.split("in the fleet at ").nth(1).and_then(|t| t.split([',', '"']).next()?.parse().ok());
            if news.contains("serving at") && (said.is_some() || !self.talk) {
                member.real = said;
                self.proxy.is_at(n, said);
                return Ok(());
            }
            if Instant::now() > end {
                return Err(io::Error::other(format!("n{n} does not start: {news}")));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Does something to the network or to processes.
    pub fn act(&mut self, act: &Act) -> io::Result<()> {
        if self.proxy.take(act) {
            return Ok(());
        }
        let (Act::Pause(who)
        | Act::Resume(who)
        | Act::Kill(who)
        | Act::Leave(who)
        | Act::Start(who)
        | Act::Starve(who, _)) = act
        else {
            return Ok(());
        };
        for n in who.0.clone() {
            match act {
                Act::Pause(_) => self.signal(n, "-STOP"),
                Act::Resume(_) => self.signal(n, "-CONT"),
                Act::Leave(_) => self.signal(n, "-TERM"),
                Act::Kill(_) => self.kill(n),
                Act::Start(_) => self.start(n)?,
                // A processor cannot be taken away from a process here; it is paused over and over instead.
                _ => {}
            }
        }
        Ok(())
    }

    /// Kills a member outright.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.members[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.members[n].real = None;
        self.proxy.is_at(n, None);
    }

    /// Waits until a member that was told to leave has ended; whether it ended well.
    pub fn ended(&mut self, n: usize) -> bool {
        let ended = self.members[n].child.take().map(|mut child| child.wait());
        self.members[n].real = None;
        self.proxy.is_at(n, None);
        ended.is_some_and(|e| e.is_ok_and(|s| s.success()))
    }

    fn signal(&self, n: usize, signal: &str) {
        if let Some(child) = &self.members[n].child {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// Its process id.
    pub fn id(&self, n: usize) -> Option<u32> {
        self.members[n].child.as_ref().map(Child::id)
    }

    /// What a member logged, over all its starts.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.members[n].folder.join("log")).unwrap_or_default()
    }

    /// Where it takes the fleet's datagrams.
    pub fn real(&self, n: usize) -> Option<SocketAddr> {
        self.members[n].real
    }

    /// What `petreldock fleet show` prints of a member's view.
    pub fn show(&self, n: usize, json: bool) -> Option<String> {
        let mut command = Command::new(&self.binary);
        command.args(["fleet", "show", &self.members[n].real?.to_string()]);
        if json {
            command.arg("--json");
        }
        let output = command.output().ok().filter(|o| o.status.success())?;
        String::from_utf8(output.stdout).ok()
    }

    /// Members that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.members.len()).filter(|n| self.members[*n].child.is_some()).collect()
    }
}

impl Drop for Processes<'_> {
    fn drop(&mut self) {
        (0..self.members.len()).for_each(|n| self.kill(n));
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
