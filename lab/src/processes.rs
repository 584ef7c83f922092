//! A fleet of petreldock processes that reach one another only through the fault-injecting proxy.

use crate::proxy::Proxy;
use crate::script::FaultAction;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Time that a process may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of fleets created by this process, to tell their folders and addresses apart.
static RUN_COUNT: AtomicU16 = AtomicU16::new(0);

/// A member's folder and, while it runs, its process.
struct Member {
    folder: PathBuf,
    child: Option<Child>,
    /// Where it receives the fleet's datagrams, while it runs.
    fleet_address: Option<SocketAddr>,
}

/// Makes the configuration of a member from its index and the address at which it listens for callers.
pub type MakeConfig<'a> = Box<dyn Fn(usize, SocketAddr) -> String + 'a>;

/// A fleet of processes; dropping it kills them, by their process ids.
pub struct Processes<'a> {
    binary: PathBuf,
    folder: PathBuf,
    /// The /24 prefix of all addresses of this run.
    subnet: [u8; 3],
    detection_ms: u64,
    make_config: MakeConfig<'a>,
    /// Carries the datagrams between the processes.
    pub proxy: Proxy,
    members: Vec<Member>,
    /// The members' names, by default `n0`, `n1` and so on.
    pub names: Vec<String>,
    /// How many members, counted from the first, are seeds that others join through.
    pub seeds: usize,
    /// Whether members are started with a fleet section in the operator's file.
    pub fleet_enabled: bool,
}

impl<'a> Processes<'a> {
    /// Creates a fleet whose members are all stopped, and starts its proxy.
    pub fn new(
        binary: &Path,
        size: usize,
        seed: u64,
        detection_ms: u64,
        make_config: MakeConfig<'a>,
    ) -> io::Result<Processes<'a>> {
        let (run, pid) = (RUN_COUNT.fetch_add(1, Ordering::Relaxed), std::process::id());
        let folder = std::env::temp_dir().join(format!("petreldock-fleet-{pid}-{run}"));
        // Each run has its own addresses, so that nothing else binds those of a process that is down.
        let subnet = [127, 64 + (pid % 128) as u8, ((pid >> 7) as u8).wrapping_add(run as u8)];
        let mut members = Vec::new();
        for n in 0..size {
            let folder = folder.join(format!("n{n}"));
            std::fs::create_dir_all(&folder)?;
            members.push(Member { folder, child: None, fleet_address: None });
        }
        Ok(Processes {
            binary: binary.into(),
            subnet,
            detection_ms,
            make_config,
            proxy: Proxy::start(size, subnet, seed)?,
            members,
            names: (0..size).map(|n| format!("n{n}")).collect(),
            seeds: 2.min(size),
            fleet_enabled: true,
            folder,
        })
    }

    /// The address at which a member listens for callers.
    pub fn caller_address(&self, n: usize) -> SocketAddr {
        let [a, b, c] = self.subnet;
        SocketAddr::from(([a, b, c, 1 + n as u8], 5060))
    }

    /// Starts a member, and waits until it serves callers and, where the fleet is enabled, has bound its fleet address.
    pub fn start(&mut self, n: usize) -> io::Result<()> {
        let caller_address = self.caller_address(n);
        let member = &mut self.members[n];
        let config = member.folder.join("config.json");
        std::fs::write(&config, (self.make_config)(n, caller_address))?;
        let log = std::fs::File::options().create(true).append(true).open(member.folder.join("log"))?;
        let old_log_length = log.metadata()?.len() as usize;
        let mut command = Command::new(&self.binary);
        command.env("ROUTER_CONFIG", &config).env("ROUTER_NAME", &self.names[n]).env_remove("ROUTER_LISTEN");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).env_remove("PETRELDOCK_OPERATOR");
        if self.fleet_enabled {
            let seeds: Vec<String> =
                (0..self.seeds).map(|s| format!("\"{}\"", self.proxy.address(s))).collect();
            let text = format!(
                r#"{{"fleet":{{"name":"lab","listen":"{}:0","advertise":"{}","seeds":[{}],"zone":"z{}",
                "prefixes":["127.0.0.0/8"],"detectionMs":{}}}}}"#,
                caller_address.ip(),
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
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            let text = std::fs::read_to_string(member.folder.join("log"))?;
            let new_log = text.get(old_log_length..).unwrap_or_default();
            let fleet_address = new_log
                .split("in the fleet at ")
                .nth(1)
                .and_then(|t| t.split([',', '"']).next()?.parse().ok());
            if new_log.contains("serving at") && (fleet_address.is_some() || !self.fleet_enabled) {
                member.fleet_address = fleet_address;
                self.proxy.set_process_address(n, fleet_address);
                return Ok(());
            }
            if Instant::now() > deadline {
                return Err(io::Error::other(format!("n{n} did not start in time; its log: {new_log}")));
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Applies a fault action to the network or to processes. `Starve` has no effect here.
    pub fn apply(&mut self, action: &FaultAction) -> io::Result<()> {
        if self.proxy.apply(action) {
            return Ok(());
        }
        let (FaultAction::Pause(range)
        | FaultAction::Resume(range)
        | FaultAction::Kill(range)
        | FaultAction::Leave(range)
        | FaultAction::Start(range)
        | FaultAction::Starve(range, _)) = action
        else {
            return Ok(());
        };
        for n in range.0.clone() {
            match action {
                FaultAction::Pause(_) => self.signal(n, "-STOP"),
                FaultAction::Resume(_) => self.signal(n, "-CONT"),
                FaultAction::Leave(_) => self.signal(n, "-TERM"),
                FaultAction::Kill(_) => self.kill(n),
                FaultAction::Start(_) => self.start(n)?,
                // The scheduling of a process is not controlled here; pause and resume it repeatedly instead.
                _ => {}
            }
        }
        Ok(())
    }

    /// Kills a member with SIGKILL.
    pub fn kill(&mut self, n: usize) {
        if let Some(mut child) = self.members[n].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.members[n].fleet_address = None;
        self.proxy.set_process_address(n, None);
    }

    /// Waits until a member that was told to leave has exited; returns whether its exit code was 0.
    pub fn wait_for_exit(&mut self, n: usize) -> bool {
        let status = self.members[n].child.take().map(|mut child| child.wait());
        self.members[n].fleet_address = None;
        self.proxy.set_process_address(n, None);
        status.is_some_and(|s| s.is_ok_and(|s| s.success()))
    }

    /// Sends a signal to a member's process, if it runs.
    fn signal(&self, n: usize, signal: &str) {
        if let Some(child) = &self.members[n].child {
            let _ = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        }
    }

    /// The process id of a running member.
    pub fn pid(&self, n: usize) -> Option<u32> {
        self.members[n].child.as_ref().map(Child::id)
    }

    /// The log of a member, over all its starts.
    pub fn log(&self, n: usize) -> String {
        std::fs::read_to_string(self.members[n].folder.join("log")).unwrap_or_default()
    }

    /// The address at which a running member receives the fleet's datagrams.
    pub fn fleet_address(&self, n: usize) -> Option<SocketAddr> {
        self.members[n].fleet_address
    }

    /// The output of `petreldock fleet show` for a member's view; `None` when the command fails.
    pub fn show(&self, n: usize, json: bool) -> Option<String> {
        let mut command = Command::new(&self.binary);
        command.args(["fleet", "show", &self.members[n].fleet_address?.to_string()]);
        if json {
            command.arg("--json");
        }
        let output = command.output().ok().filter(|o| o.status.success())?;
        String::from_utf8(output.stdout).ok()
    }

    /// The members whose processes are running.
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
