//! A virtual network: the fleet's real machines, up to a thousand in one process, seeded and deterministic.
//! Clocks differ and drift; datagrams are lost, late, doubled and out of order as the script has it.

use crate::script::{Act, Faults, Script, Who};
use petreldock::fleet::view::facts::Facts;
use petreldock::fleet::view::{Event, Notification, Output, View, ViewConfig};
use petreldock::fleet::wire::{checksum, Identity, MAX_DATAGRAM_BYTES};
use petreldock::interface::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The Unix time at which a run starts, in microseconds.
const START: u64 = 1_700_000_000_000_000;
/// A clock is off by up to this at the start, in microseconds.
const OFF_MOST: u64 = 30_000_000;
/// What waits in a socket that nobody reads is lost past this.
const INBOX: usize = 2_000;

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// For all that is random.
    pub seed: u64,
    /// Processes.
    pub size: usize,
    /// The first so many are seeds.
    pub seeds: usize,
    /// The detection time.
    pub detection: Micros,
    /// Clocks go wrong by up to so many millionths.
    pub drift_ppm: u64,
    /// Facts change this often, in milliseconds; nought: never.
    pub facts_ms: u64,
}

impl Plan {
    /// The usual one.
    pub fn new(seed: u64, size: usize) -> Plan {
        Plan {
            seed,
            size,
            seeds: 3.min(size),
            detection: Micros(2_500_000),
            drift_ppm: 10_000,
            facts_ms: 1_000,
        }
    }
}

struct Node {
    address: SocketAddr,
    view: Option<View>,
    /// How its clock goes: off by so much, and so many millionths too fast or slow.
    off: u64,
    ppm: i64,
    starts: u64,
    paused: bool,
    starved: u64,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// The earliest wake that is planned.
    wake: u64,
    stated: u32,
}

enum Happens {
    Arrives(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    Act(Act),
    Facts,
}

/// Something that a member said, and when.
#[derive(Clone, Debug)]
pub struct Said {
    /// Microseconds from the start.
    pub at: u64,
    /// Who said it.
    pub by: usize,
    /// What.
    pub news: Notification,
}

/// The network and its members.
pub struct Net {
    plan: Plan,
    nodes: Vec<Node>,
    faults: Faults,
    queue: BTreeMap<(u64, u64), Happens>,
    numbered: u64,
    now: u64,
    rng: StdRng,
    /// All that was said since it was last taken.
    pub said: Vec<Said>,
    /// Datagrams and bytes that were sent, all together.
    pub sent: (u64, u64),
    /// The last datagrams, for those who play them again.
    pub recorded: Vec<(usize, SocketAddr, Vec<u8>)>,
    /// So many of them are kept.
    pub record: usize,
    /// These speak a later form that this one can read.
    pub newer: Option<Who>,
}

/// The address of a member.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 7946))
}

/// Makes a datagram one of a later form: another version, and something after the body, where there is room.
pub fn later(bytes: &mut Vec<u8>) {
    bytes[2] += 1;
    if bytes.len() + 8 <= MAX_DATAGRAM_BYTES {
        bytes.extend_from_slice(b"\x09further");
    }
    let sum = checksum(bytes);
    bytes[6..10].copy_from_slice(&sum.to_be_bytes());
}

impl Net {
    /// A network on which nobody runs yet.
    pub fn new(plan: Plan, script: &Script) -> Net {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let drift = plan.drift_ppm as i64;
        let node = |n: usize, rng: &mut StdRng| Node {
            address: address(n),
            view: None,
            off: rng.random_range(0..OFF_MOST),
            ppm: rng.random_range(-drift..=drift),
            starts: 0,
            paused: false,
            starved: 0,
            inbox: Vec::new(),
            wake: u64::MAX,
            stated: 0,
        };
        let nodes = (0..plan.size).map(|n| node(n, &mut rng)).collect();
        let mut net = Net {
            nodes,
            faults: Faults::default(),
            queue: BTreeMap::new(),
            numbered: 0,
            now: 0,
            rng,
            said: Vec::new(),
            sent: (0, 0),
            recorded: Vec::new(),
            record: 0,
            newer: None,
            plan,
        };
        net.faults.take(&Act::Delay(1, 25));
        if net.plan.facts_ms > 0 {
            net.plan(0, Happens::Facts);
        }
        net.script(script);
        net
    }

    /// Adds to the script; times count from now.
    pub fn script(&mut self, script: &Script) {
        for (at, act) in &script.0 {
            self.plan(at * 1000, Happens::Act(act.clone()));
        }
    }

    /// Does something now.
    pub fn act(&mut self, act: Act) {
        if self.faults.take(&act) {
            return;
        }
        let (who, of): (&Who, &Act) = match &act {
            Act::Pause(w)
            | Act::Resume(w)
            | Act::Kill(w)
            | Act::Leave(w)
            | Act::Start(w)
            | Act::Starve(w, _) => (w, &act),
            _ => return,
        };
        let most = self.nodes.len().saturating_sub(1);
        for n in *who.0.start()..=(*who.0.end()).min(most) {
            match of {
                Act::Pause(_) => self.nodes[n].paused = true,
                Act::Resume(_) => {
                    self.nodes[n].paused = false;
                    self.serve(n);
                }
                Act::Kill(_) => self.nodes[n].view = None,
                Act::Leave(_) => {
                    self.tell(n, Event::Leave);
                    self.nodes[n].view = None;
                }
                Act::Starve(_, ms) => self.nodes[n].starved = ms * 1000,
                _ => self.start(n, &format!("n{n}")),
            }
        }
    }

    /// Starts a member under a name of its own.
    pub fn start(&mut self, n: usize, name: &str) {
        let plan = &self.plan;
        let now = self.clock(n);
        let node = &mut self.nodes[n];
        node.starts += 1;
        let own = Identity {
            name: name.into(),
            zone: ["north", "south"][n % 2].into(),
            address: node.address,
            generation: now.0 / 1000,
        };
        let setup = ViewConfig {
            fleet: "lab".into(),
            own,
            seeds: (0..plan.seeds).map(address).collect(),
            prefixes: vec!["127.0.0.0/8".parse().expect("a prefix")],
            detection: plan.detection,
            seed: plan.seed ^ (n as u64) << 20 ^ node.starts << 40,
        };
        (node.view, node.inbox) = (Some(View::new(setup, now)), Vec::new());
        (node.paused, node.wake, node.stated) = (false, u64::MAX, 0);
        self.after(n);
    }

    /// The clock of a member is set back by so many microseconds, from its next start on.
    pub fn set_back(&mut self, n: usize, by: u64) {
        self.nodes[n].off = self.nodes[n].off.saturating_sub(by);
    }

    /// Microseconds from the start.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// A member's clock.
    fn clock(&self, n: usize) -> Micros {
        let drift = self.now as i64 * self.nodes[n].ppm / 1_000_000;
        Micros(START + self.nodes[n].off + (self.now as i64 + drift) as u64)
    }

    /// A running member's view.
    pub fn view(&self, n: usize) -> Option<&View> {
        self.nodes.get(n).and_then(|n| n.view.as_ref())
    }

    /// Its view now, as an operator sees it.
    pub fn members(&self, n: usize) -> Vec<petreldock::fleet::view::MemberInfo> {
        self.view(n).map_or(Vec::new(), |v| v.members(self.clock(n)))
    }

    /// Those that run.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].view.is_some())
    }

    /// All that run show the same, and it is who runs.
    pub fn settled(&self) -> bool {
        let running: Vec<usize> = self.running().collect();
        let hashes = running.iter().filter_map(|n| self.view(*n)).map(|v| (v.hash(), v.live().count()));
        let first = running.first().and_then(|n| self.view(*n)).map(View::hash);
        hashes.into_iter().all(|(hash, live)| Some(hash) == first && live == running.len())
    }

    /// Goes on until something holds, looked at every 20 ms; how long it took, `None`: it did not come to hold.
    pub fn until(&mut self, most_ms: u64, holds: impl Fn(&Net) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now < start + most_ms * 1000 {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(20);
        }
        holds(self).then(|| self.now - start)
    }

    /// Goes on for so many milliseconds.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms * 1000;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), happens) = entry.remove_entry();
            self.now = self.now.max(at);
            match happens {
                Happens::Act(act) => self.act(act),
                Happens::Arrives(to, from, bytes) => self.arrives(to, from, bytes),
                Happens::Wake(n) => {
                    if self.nodes[n].wake <= self.now {
                        self.nodes[n].wake = u64::MAX;
                        self.serve(n);
                    }
                }
                Happens::Facts => {
                    for n in 0..self.nodes.len() {
                        self.nodes[n].stated += 1;
                        let offered = self.nodes[n].stated;
                        let facts = Facts { offered, program: "0.1.0".into(), ..Facts::default() };
                        if !self.nodes[n].paused {
                            self.tell(n, Event::OwnFacts(facts));
                        }
                    }
                    self.plan(self.plan.facts_ms * 1000, Happens::Facts);
                }
            }
        }
        self.now = end;
    }

    /// A datagram comes to a member, from whoever sent it.
    pub fn arrives(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let Some(node) = self.nodes.get_mut(to).filter(|n| n.view.is_some() && n.inbox.len() < INBOX) else {
            return;
        };
        node.inbox.push((from, bytes));
        if !node.paused && node.starved == 0 {
            self.serve(to);
        } else if !node.paused {
            self.wake_at(to, self.now);
        }
    }

    /// A member gets the processor: what waits in its socket first, as the program has it, then what is due.
    fn serve(&mut self, n: usize) {
        if self.nodes[n].paused {
            return;
        }
        for (from, bytes) in std::mem::take(&mut self.nodes[n].inbox) {
            self.tell(n, Event::Datagram(from, &bytes));
        }
        let now = self.clock(n);
        if self.view(n).is_some_and(|v| v.next_wake() <= now) {
            self.tell(n, Event::Wake);
        }
        self.after(n);
    }

    fn tell(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut out = Vec::new();
        if let Some(view) = &mut self.nodes[n].view {
            view.handle(now, event, &mut out);
        }
        for out in out {
            match out {
                Output::Notify(news) => self.said.push(Said { at: self.now, by: n, news }),
                Output::Send(to, bytes) => self.carry(n, to, bytes),
            }
        }
    }

    fn carry(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if self.newer.as_ref().is_some_and(|w| w.has(from)) {
            later(&mut bytes);
        }
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let SocketAddr::V4(ip) = to else { return };
        let [_, net, high, low] = ip.ip().octets();
        let n = usize::from(high) << 8 | usize::from(low);
        if net != 1 || n >= self.nodes.len() {
            return;
        }
        let source = self.nodes[from].address;
        if self.recorded.len() < self.record {
            self.recorded.push((n, source, bytes.clone()));
        }
        for after in self.faults.fate(from, n, &mut self.rng) {
            self.plan(after.max(50), Happens::Arrives(n, source, bytes.clone()));
        }
    }

    /// Plans the next wake.
    fn after(&mut self, n: usize) {
        let now = self.clock(n);
        let Some(next) = self.view(n).map(View::next_wake) else { return };
        let wait = (next - now).0 as i64;
        // By the true time; a slow clock needs longer.
        let wait = (wait - wait * self.nodes[n].ppm / 1_000_000).max(0) as u64 + 1;
        self.wake_at(n, self.now + wait);
    }

    fn wake_at(&mut self, n: usize, at: u64) {
        let node = &mut self.nodes[n];
        // Whoever is starved gets the processor at set times only.
        let at = at.checked_div(node.starved).map_or(at, |slot| (slot + 1) * node.starved);
        if at < node.wake {
            node.wake = at;
            let after = at - self.now.min(at);
            self.plan(after, Happens::Wake(n));
        }
    }

    fn plan(&mut self, after: u64, happens: Happens) {
        self.numbered += 1;
        self.queue.insert((self.now + after, self.numbered), happens);
    }
}
