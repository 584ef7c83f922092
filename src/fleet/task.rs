//! The Tokio task of the fleet: feeds datagrams and wakes to the view, and sends its datagrams.

use super::show;
use super::view::facts::Facts;
use super::view::{Event, MemberInfo, Notification, Output, View, ViewConfig};
use super::wire::{Identity, MAX_DATAGRAM_BYTES};
use crate::config::FleetConfig;
use crate::core::{Clock, LoadSummary};
use crate::interface::Micros;
use std::io;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Duration};

/// Maximum number of datagrams read in one go. After a pause, everything that arrived meanwhile, including
/// acknowledgements, waits in the socket and must be read before any deadline is checked. The bound keeps a flood
/// from delaying timers.
const MAX_DATAGRAMS_PER_WAKE: usize = 1_024;
/// How often the facts of this process are updated and a snapshot is published.
const FACTS_INTERVAL: Micros = Micros(500_000);
/// Minimum time between two log messages about dropped datagrams.
const DROP_LOG_INTERVAL: Micros = Micros(10_000_000);

/// The state of the fleet, as the rest of the program sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub at: Micros,
    /// Hash of the view. Equal views have equal hashes.
    pub hash: u64,
    /// All known members, sorted by name.
    pub members: Vec<MemberInfo>,
}

/// Receives the latest snapshot.
pub type Snapshots = watch::Receiver<Arc<Snapshot>>;

/// Asks the task to announce a planned shutdown to the other members and to end. The channel closes when it has
/// ended.
pub type Leave = mpsc::Sender<()>;

/// Binds the socket and starts the task.
pub async fn start(
    fleet: &FleetConfig,
    name: &str,
    seed: u64,
    clock: Clock,
    load: watch::Receiver<LoadSummary>,
) -> io::Result<(Leave, Snapshots)> {
    let socket = UdpSocket::bind(fleet.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("fleet.listen: {}: {e}", fleet.listen)))?;
    // With port 0 the system chooses a port, which the log message below states.
    let bound = socket.local_addr()?;
    let advertise = fleet.advertise.unwrap_or(bound);
    let own = Identity {
        name: name.into(),
        zone: fleet.zone.as_str().into(),
        address: advertise,
        generation: clock.now().0 / 1000,
    };
    let config = ViewConfig {
        fleet: fleet.name.clone(),
        own,
        seeds: fleet.seeds.clone(),
        prefixes: fleet.prefixes.clone(),
        detection: fleet.detection,
        seed,
    };
    tracing::info!(fleet = fleet.name, "in the fleet at {bound}, reached at {advertise}");
    let (leave, leave_requests) = mpsc::channel(1);
    let (snapshots, latest) = watch::channel(Arc::default());
    let task = FleetTask {
        socket,
        view: View::new(config, clock.now()),
        clock,
        load,
        last_load: (clock.now(), LoadSummary::default()),
        snapshots,
        next_publish: clock.now(),
        last_drop_log: (clock.now(), 0),
        outputs: Vec::new(),
    };
    tokio::spawn(task.run(leave_requests));
    Ok((leave, latest))
}

struct FleetTask {
    socket: UdpSocket,
    view: View,
    clock: Clock,
    load: watch::Receiver<LoadSummary>,
    /// When the load was last published, and its values.
    last_load: (Micros, LoadSummary),
    snapshots: watch::Sender<Arc<Snapshot>>,
    /// When facts and a snapshot are published next.
    next_publish: Micros,
    /// When dropped datagrams were last logged, and their number then.
    last_drop_log: (Micros, u64),
    outputs: Vec<Output>,
}

impl FleetTask {
    async fn run(mut self, mut leave_requests: mpsc::Receiver<()>) {
        // One byte more than allowed, so that a datagram that is too long is recognized.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let wake = self.clock.instant(self.view.next_wake().min(self.next_publish));
            tokio::select! {
                biased;
                request = leave_requests.recv() => {
                    if request.is_some() {
                        self.publish_facts(true);
                        self.view.handle(self.clock.now(), Event::Leave, &mut self.outputs);
                        self.send();
                    }
                    return;
                }
                readable = self.socket.readable() => {
                    self.receive(&mut buffer);
                    // The pause keeps a socket that fails permanently from using all the processor time.
                    if readable.is_err() {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
                _ = sleep_until(wake) => self.receive(&mut buffer),
            }
            let now = self.clock.now();
            if self.view.next_wake() <= now {
                self.view.handle(now, Event::Wake, &mut self.outputs);
            }
            if self.next_publish <= now {
                self.next_publish = now + FACTS_INTERVAL;
                self.publish_facts(false);
                self.publish_snapshot(now);
            }
            self.send();
        }
    }

    /// Passes the datagrams that wait in the socket to the view.
    fn receive(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_DATAGRAMS_PER_WAKE {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => {
                    let event = Event::Datagram(from, &buffer[..length]);
                    self.view.handle(self.clock.now(), event, &mut self.outputs);
                }
                Err(_) => return,
            }
        }
    }

    /// Sends the view's datagrams. A datagram that the socket does not accept is lost, which the protocol tolerates.
    fn send(&mut self) {
        for output in self.outputs.drain(..) {
            match output {
                Output::Send(to, bytes) => {
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Output::Notify(notification) => log_notification(&notification),
            }
        }
    }

    /// Updates the facts of this process.
    fn publish_facts(&mut self, leaving: bool) {
        let (now, load) = (self.clock.now(), *self.load.borrow());
        let span = (now - self.last_load.0).secs().max(1e-3);
        let offered = ((load.offered - self.last_load.1.offered) as f64 / span).round() as u32;
        self.last_load = (now, load);
        let facts = Facts {
            offered,
            open_calls: load.open_calls,
            change_log_seq: load.seq,
            program: env!("CARGO_PKG_VERSION").into(),
            leaving: leaving || load.stopping,
            ..Facts::default()
        };
        self.view.handle(now, Event::OwnFacts(facts), &mut self.outputs);
    }

    fn publish_snapshot(&mut self, now: Micros) {
        let snapshot = Snapshot { at: now, hash: self.view.hash(), members: self.view.members(now) };
        self.snapshots.send_replace(Arc::new(snapshot));
        let counters = self.view.counters();
        if counters.dropped() > self.last_drop_log.1 && now - self.last_drop_log.0 >= DROP_LOG_INTERVAL {
            self.last_drop_log = (now, counters.dropped());
            let reasons: Vec<String> =
                show::drop_counts(&counters).iter().map(|c| format!("{} {}", c.why, c.count)).collect();
            tracing::warn!("fleet: datagrams dropped so far: {}", reasons.join(", "));
        }
    }
}

fn log_notification(notification: &Notification) {
    match notification {
        Notification::MemberUp(identity) => {
            tracing::info!(member = %identity, zone = %identity.zone, "fleet: there")
        }
        Notification::MemberDown(identity) => tracing::info!(member = %identity, "fleet: gone"),
        Notification::Rejoined(generation) => {
            tracing::warn!(generation, "fleet: rejoined under a later generation");
        }
        Notification::VerdictsRetracted(members) => {
            tracing::warn!(
                members,
                "fleet: no member answered for a while; members declared down meanwhile count as alive again"
            );
        }
        Notification::DuplicateName(other, true) => {
            tracing::warn!(%other, "fleet: another process has the same name; this one started later and owns it");
        }
        Notification::DuplicateName(other, false) => {
            tracing::error!(%other, "fleet: another process with the same name started later and owns it");
        }
    }
}
