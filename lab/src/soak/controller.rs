//! A controller process that can be signalled, killed and restarted at the same address.

use super::hub::bind_shared;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, Duration, Instant};

/// Time limit for the process to start listening.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// A controller of a run.
pub struct Controller {
    /// Address on which it serves; the same for all its processes.
    pub address: SocketAddr,
    /// Reserves the address while no process listens on it.
    _reservation: TcpSocket,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
}

impl Controller {
    /// Creates the folder and reserves an address, without starting a process.
    pub fn new(binary: &Path, folder: &Path, index: usize) -> io::Result<Controller> {
        let folder = folder.join(format!("n{index}"));
        std::fs::create_dir_all(&folder)?;
        let reservation = bind_shared(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = reservation.local_addr()?;
        Ok(Controller { address, _reservation: reservation, binary: binary.into(), folder, child: None })
    }

    /// Starts a process with a configuration and waits until it listens.
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
                return Err(io::Error::other("the controller does not listen in time; see its log"));
            }
            sleep(Duration::from_millis(5)).await;
        }
        Ok(())
    }

    /// Sends a signal, such as `-TERM`, to this process only.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").arg(name).arg(child.id().to_string()).status();
        }
    }

    /// Returns whether the process was successful if it has exited by itself, else `None`.
    pub fn poll_exit(&mut self) -> Option<bool> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.success())
    }

    /// Kills the process with SIGKILL.
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
