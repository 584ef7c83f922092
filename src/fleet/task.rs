//! The fleet's one socket and its time: hands datagrams and wakes to the view, and sends what it says.

use super::show;
use super::view::facts::Facts;
use super::view::{Event, News, Out, Seen, Setup, View};
use super::wire::{Identity, DATAGRAM_MOST};
use crate::config::FleetConfig;
use crate::core::{Clock, LoadSummary};
use crate::interface::Micros;
use std::io;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, Duration};

/// Datagrams that are read before anything else is done. Danger: after a pause all that came meanwhile waits in
/// the socket, acknowledgements too, and no deadline may be looked at before; but a flood must not hold time up.
const DRAINED: usize = 1_024;
/// How often the own facts are stated and the view is handed on.
const STATED: Micros = Micros(500_000);
/// What was dropped is said no more often.
const SAID: Micros = Micros(10_000_000);

/// The fleet, as the rest of the program sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// When it was taken.
    pub at: Micros,
    /// The same where views are equal.
    pub hash: u64,
    /// Everyone known, by name.
    pub members: Vec<Seen>,
}

/// Where the latest snapshot is found.
pub type Snapshots = watch::Receiver<Arc<Snapshot>>;

/// Ends the task as planned: the others are told. Answered by its end.
pub type Leave = mpsc::Sender<()>;

/// Binds the socket and starts the task.
pub async fn start(
    fleet: &FleetConfig,
    name: &str,
    seed: u64,
    clock: Clock,
    figures: watch::Receiver<LoadSummary>,
) -> io::Result<(Leave, Snapshots)> {
    let socket = UdpSocket::bind(fleet.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("fleet.listen: {}: {e}", fleet.listen)))?;
    // Port 0 takes a free one; what it is, is said in the log.
    let bound = socket.local_addr()?;
    let advertise = fleet.advertise.unwrap_or(bound);
    let own = Identity {
        name: name.into(),
        zone: fleet.zone.as_str().into(),
        address: advertise,
        generation: clock.now().0 / 1000,
    };
    let setup = Setup {
        fleet: fleet.name.clone(),
        own,
        seeds: fleet.seeds.clone(),
        prefixes: fleet.prefixes.clone(),
        detection: fleet.detection,
        seed,
    };
    tracing::info!(fleet = fleet.name, "in the fleet at {bound}, reached at {advertise}");
    let (leave, left) = mpsc::channel(1);
    let (snapshots, latest) = watch::channel(Arc::default());
    let talk = Talk {
        socket,
        view: View::new(setup, clock.now()),
        clock,
        figures,
        last: (clock.now(), LoadSummary::default()),
        snapshots,
        next: clock.now(),
        said: (clock.now(), 0),
        out: Vec::new(),
    };
    tokio::spawn(talk.run(left));
    Ok((leave, latest))
}

struct Talk {
    socket: UdpSocket,
    view: View,
    clock: Clock,
    figures: watch::Receiver<LoadSummary>,
    /// The figures stated last, and when.
    last: (Micros, LoadSummary),
    snapshots: watch::Sender<Arc<Snapshot>>,
    /// When facts are stated and the view is handed on next.
    next: Micros,
    /// When it was last said what was dropped, and how much that was.
    said: (Micros, u64),
    out: Vec<Out>,
}

impl Talk {
    async fn run(mut self, mut left: mpsc::Receiver<()>) {
        // One more than is allowed, so that a datagram that is too long is seen to be.
        let mut buffer = [0; DATAGRAM_MOST + 1];
        loop {
            let wake = self.clock.instant(self.view.next().min(self.next));
            tokio::select! {
                biased;
                asked = left.recv() => {
                    if asked.is_some() {
                        self.state(true);
                        self.view.handle(self.clock.now(), Event::Leave, &mut self.out);
                        self.send();
                    }
                    return;
                }
                readable = self.socket.readable() => {
                    self.drain(&mut buffer);
                    // Danger: a socket that fails for ever must not take the whole processor.
                    if readable.is_err() {
                        tokio::time::sleep(Duration::from_millis(50)).await;
                    }
                }
                _ = sleep_until(wake) => self.drain(&mut buffer),
            }
            let now = self.clock.now();
            if self.view.next() <= now {
                self.view.handle(now, Event::Wake, &mut self.out);
            }
            if self.next <= now {
                self.next = now + STATED;
                self.state(false);
                self.hand_on(now);
            }
            self.send();
        }
    }

    /// Hands in what waits in the socket.
    fn drain(&mut self, buffer: &mut [u8]) {
        for _ in 0..DRAINED {
            match self.socket.try_recv_from(buffer) {
                Ok((length, from)) => {
                    let event = Event::Datagram(from, &buffer[..length]);
                    self.view.handle(self.clock.now(), event, &mut self.out);
                }
                Err(_) => return,
            }
        }
    }

    /// Sends what is to be sent. A datagram that the socket does not take is lost, as any may be.
    fn send(&mut self) {
        for out in self.out.drain(..) {
            match out {
                Out::Send(to, bytes) => {
                    let _ = self.socket.try_send_to(&bytes, to);
                }
                Out::News(news) => say(&news),
            }
        }
    }

    /// States the own facts.
    fn state(&mut self, leaving: bool) {
        let (now, figures) = (self.clock.now(), *self.figures.borrow());
        let span = (now - self.last.0).secs().max(1e-3);
        let offered = ((figures.offered - self.last.1.offered) as f64 / span).round() as u32;
        self.last = (now, figures);
        let facts = Facts {
            offered,
            out: figures.open,
            seq: figures.seq,
            program: env!("CARGO_PKG_VERSION").into(),
            leaving: leaving || figures.stopping,
            ..Facts::default()
        };
        self.view.handle(now, Event::Own(facts), &mut self.out);
    }

    fn hand_on(&mut self, now: Micros) {
        let snapshot = Snapshot { at: now, hash: self.view.hash(), members: self.view.members(now) };
        self.snapshots.send_replace(Arc::new(snapshot));
        let counters = self.view.counters();
        if counters.dropped() > self.said.1 && now - self.said.0 >= SAID {
            self.said = (now, counters.dropped());
            let why: Vec<String> =
                show::dropped(&counters).iter().map(|c| format!("{} {}", c.why, c.count)).collect();
            tracing::warn!("fleet: datagrams dropped so far: {}", why.join(", "));
        }
    }
}

fn say(news: &News) {
    match news {
        News::Up(identity) => tracing::info!(member = %identity, zone = %identity.zone, "fleet: there"),
        News::Gone(identity) => tracing::info!(member = %identity, "fleet: gone"),
        News::Back(generation) => {
            tracing::warn!(generation, "fleet: this process was held to be gone, and is back");
        }
        News::Recanted(members) => {
            tracing::warn!(
                members,
                "fleet: nobody answered for a while; who seemed gone counts as there again"
            );
        }
        News::SameName(other, true) => {
            tracing::warn!(%other, "fleet: another process has this one's name; this one started later and holds it");
        }
        News::SameName(other, false) => {
            tracing::error!(%other, "fleet: another process has this one's name and started later: it is not counted on");
        }
    }
}
