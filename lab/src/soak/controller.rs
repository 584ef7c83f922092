//! A started controller whose address outlives its processes, and the signals that it is sent.

use super::hub::bound;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20);

/// One controller of a run.
pub struct Controller {
    pub address: SocketAddr,
    _reserved: TcpSocket,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Controller {
    /// One that does not run yet.
    pub fn new(binary: &Path, folder: &Path, index: usize) -> io::Result<Controller> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(&folder)?;
        let reserved = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reserved.local_addr()?;
        Ok(Controller { address, _reserved: reserved, binary: binary.into(), folder, child: None })
    }

    /// Starts it with a configuration, and waits until it listens.
    pub async fn start(&mut self, document: &str) -> io::Result<()> {
        let config = self.folder.join("config.json");
        std::fs::write(&config, document)?;
        let operator = self.folder.join("operator.json");
        std::fs::write(&operator, r#"{"log":{"level":"debug"}}"#)?;
        let log = std::fs::File::options().create(true).append(true).open(self.folder.join("log"))?;
        let mut command = Command::new(&self.binary);
        command.env("ROUTER_CONFIG", &config).env("PETRELDOCK_OPERATOR", operator);
        command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.child = Some(command.spawn()?);
        let end = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(self.address).await.is_err() {
            if Instant::now() > end {
                return Err(io::Error::other("a controller does not start"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Sends a signal, as `-TERM`, to this process alone.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(name).arg(child.id().to_string()).status();
        }
    }

    /// Whether its process has ended by itself, and how.
    pub fn has_ended(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.success())
    }

    /// Kills it outright.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}
