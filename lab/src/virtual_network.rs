//! A deterministic, seeded simulation of a fleet: the production membership state machines of up to a thousand
//! members run in one process, with clocks that differ and drift. The fault script decides which datagrams are lost,
//! delayed, duplicated or reordered.

use crate::script::{FaultAction, NetworkFaults, ProcessRange, Script};
use petreldock::fleet::view::facts::Facts;
use petreldock::fleet::view::{Event, Notification, Output, View, ViewConfig};
use petreldock::fleet::wire::{checksum, Identity, MAX_DATAGRAM_BYTES};
use petreldock::interface::Micros;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Unix time at which a run starts, in microseconds.
const START_TIME_US: u64 = 1_700_000_000_000_000;
/// Upper bound of a clock's initial offset, in microseconds.
const MAX_CLOCK_OFFSET_US: u64 = 30_000_000;
/// Datagrams that the receive buffer of a paused or starved member holds; more are dropped.
const MAX_INBOX_DATAGRAMS: usize = 2_000;

/// Parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Number of members.
    pub size: usize,
    /// How many members, counted from the first, are seeds that others join through.
    pub seeds: usize,
    /// Failure detection time of the members.
    pub detection: Micros,
    /// Upper bound of a clock's drift, in parts per million.
    pub drift_ppm: u64,
    /// Interval at which members publish new facts, in milliseconds; 0 disables it.
    pub facts_interval_ms: u64,
}

impl SimulationConfig {
    /// The default parameters for a seed and a fleet size.
    pub fn new(seed: u64, size: usize) -> SimulationConfig {
        SimulationConfig {
            seed,
            size,
            seeds: 3.min(size),
            detection: Micros(2_500_000),
            drift_ppm: 10_000,
            facts_interval_ms: 1_000,
        }
    }
}

/// A member with its clock and its receive buffer.
struct Node {
    address: SocketAddr,
    view: Option<View>,
    /// Offset of its clock, in microseconds.
    clock_offset_us: u64,
    /// Drift of its clock, in parts per million; negative when the clock is slow.
    clock_drift_ppm: i64,
    starts: u64,
    paused: bool,
    /// Interval at which a starved member is scheduled, in microseconds; 0 when it is not starved.
    starve_interval_us: u64,
    inbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Time of the earliest scheduled wake-up, in microseconds; `u64::MAX` when there is none.
    next_wake_us: u64,
    /// Number of facts published since the last start.
    facts_published: u32,
}

/// What occurs at a scheduled time.
enum ScheduledEvent {
    Deliver(usize, SocketAddr, Vec<u8>),
    Wake(usize),
    Apply(FaultAction),
    PublishFacts,
}

/// An event that a member's view reported.
#[derive(Clone, Debug)]
pub struct ReportedEvent {
    /// When, in microseconds from the start of the run.
    pub at_us: u64,
    /// The member whose view reported it.
    pub reporter: usize,
    /// What was reported.
    pub event: Notification,
}

/// The simulated network and its members.
pub struct VirtualNetwork {
    config: SimulationConfig,
    nodes: Vec<Node>,
    faults: NetworkFaults,
    /// Events that are due, by time and by the order in which they were scheduled.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    next_sequence: u64,
    now_us: u64,
    rng: StdRng,
    /// Events that the members' views reported; callers clear it.
    pub reported: Vec<ReportedEvent>,
    /// Datagrams and bytes that all members have sent.
    pub sent: (u64, u64),
    /// The first datagrams sent while recording is on, as recipient, source and bytes, for replay in tests.
    pub recorded: Vec<(usize, SocketAddr, Vec<u8>)>,
    /// Upper bound of `recorded`; 0 turns recording off.
    pub record_limit: usize,
    /// Members whose datagrams are rewritten to a newer, compatible protocol version.
    pub newer_version_members: Option<ProcessRange>,
}

/// The address of a member, by index.
pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (n >> 8) as u8, n as u8], 7946))
}

/// Rewrites a datagram to a newer protocol version: raises the version number and, where there is room, appends
/// bytes after the body.
pub fn to_newer_version(bytes: &mut Vec<u8>) {
    bytes[2] += 1;
    if bytes.len() + 8 <= MAX_DATAGRAM_BYTES {
        bytes.extend_from_slice(b"\x09further");
    }
    let sum = checksum(bytes);
    bytes[6..10].copy_from_slice(&sum.to_be_bytes());
}

impl VirtualNetwork {
    /// Creates a network whose members are all stopped, and schedules the script.
    pub fn new(config: SimulationConfig, script: &Script) -> VirtualNetwork {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let drift = config.drift_ppm as i64;
        let node = |n: usize, rng: &mut StdRng| Node {
            address: address(n),
            view: None,
            clock_offset_us: rng.random_range(0..MAX_CLOCK_OFFSET_US),
            clock_drift_ppm: rng.random_range(-drift..=drift),
            starts: 0,
            paused: false,
            starve_interval_us: 0,
            inbox: Vec::new(),
            next_wake_us: u64::MAX,
            facts_published: 0,
        };
        let nodes = (0..config.size).map(|n| node(n, &mut rng)).collect();
        let mut network = VirtualNetwork {
            nodes,
            faults: NetworkFaults::default(),
            queue: BTreeMap::new(),
            next_sequence: 0,
            now_us: 0,
            rng,
            reported: Vec::new(),
            sent: (0, 0),
            recorded: Vec::new(),
            record_limit: 0,
            newer_version_members: None,
            config,
        };
        network.faults.apply(&FaultAction::Delay(1, 25));
        if network.config.facts_interval_ms > 0 {
            network.schedule(0, ScheduledEvent::PublishFacts);
        }
        network.schedule_script(script);
        network
    }

    /// Schedules a script; its times count from now.
    pub fn schedule_script(&mut self, script: &Script) {
        for (at, action) in &script.0 {
            self.schedule(at * 1000, ScheduledEvent::Apply(action.clone()));
        }
    }

    /// Applies a fault action now.
    pub fn apply(&mut self, action: FaultAction) {
        if self.faults.apply(&action) {
            return;
        }
        let members: &ProcessRange = match &action {
            FaultAction::Pause(range)
            | FaultAction::Resume(range)
            | FaultAction::Kill(range)
            | FaultAction::Leave(range)
            | FaultAction::Start(range)
            | FaultAction::Starve(range, _) => range,
            _ => return,
        };
        let last = self.nodes.len().saturating_sub(1);
        for n in *members.0.start()..=(*members.0.end()).min(last) {
            match &action {
                FaultAction::Pause(_) => self.nodes[n].paused = true,
                FaultAction::Resume(_) => {
                    self.nodes[n].paused = false;
                    self.run_member(n);
                }
                FaultAction::Kill(_) => self.nodes[n].view = None,
                FaultAction::Leave(_) => {
                    self.handle_event(n, Event::Leave);
                    self.nodes[n].view = None;
                }
                FaultAction::Starve(_, ms) => self.nodes[n].starve_interval_us = ms * 1000,
                _ => self.start(n, &format!("n{n}")),
            }
        }
    }

    /// Starts a member under the given name.
    pub fn start(&mut self, n: usize, name: &str) {
        let config = &self.config;
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
            seeds: (0..config.seeds).map(address).collect(),
            prefixes: vec!["127.0.0.0/8".parse().expect("valid prefix")],
            detection: config.detection,
            seed: config.seed ^ (n as u64) << 20 ^ node.starts << 40,
        };
        (node.view, node.inbox) = (Some(View::new(setup, now)), Vec::new());
        (node.paused, node.next_wake_us, node.facts_published) = (false, u64::MAX, 0);
        self.schedule_wake(n);
    }

    /// Sets the clock of a stopped member back by this many microseconds, before its next start.
    pub fn set_clock_back(&mut self, n: usize, by_us: u64) {
        self.nodes[n].clock_offset_us = self.nodes[n].clock_offset_us.saturating_sub(by_us);
    }

    /// The simulated time, in microseconds from the start of the run.
    pub fn now_us(&self) -> u64 {
        self.now_us
    }

    /// What a member's clock shows.
    fn clock(&self, n: usize) -> Micros {
        let drift = self.now_us as i64 * self.nodes[n].clock_drift_ppm / 1_000_000;
        Micros(START_TIME_US + self.nodes[n].clock_offset_us + (self.now_us as i64 + drift) as u64)
    }

    /// The view of a running member.
    pub fn view(&self, n: usize) -> Option<&View> {
        self.nodes.get(n).and_then(|n| n.view.as_ref())
    }

    /// The members in a running member's view, as an operator sees them.
    pub fn members(&self, n: usize) -> Vec<petreldock::fleet::view::MemberInfo> {
        self.view(n).map_or(Vec::new(), |v| v.members(self.clock(n)))
    }

    /// The members that are running, paused ones included.
    pub fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|n| self.nodes[*n].view.is_some())
    }

    /// Whether all running members have the same view, and it lists exactly the running members.
    pub fn converged(&self) -> bool {
        let running: Vec<usize> = self.running().collect();
        let views = running.iter().filter_map(|n| self.view(*n)).map(|v| (v.hash(), v.live().count()));
        let first = running.first().and_then(|n| self.view(*n)).map(View::hash);
        views.into_iter().all(|(hash, live)| Some(hash) == first && live == running.len())
    }

    /// Runs until a condition holds, tested every 20 ms of simulated time. Returns how long it took in microseconds,
    /// or `None` when it does not hold within the limit.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&VirtualNetwork) -> bool) -> Option<u64> {
        let start = self.now_us;
        while self.now_us < start + limit_ms * 1000 {
            if condition(self) {
                return Some(self.now_us - start);
            }
            self.run(20);
        }
        condition(self).then(|| self.now_us - start)
    }

    /// Runs for this many milliseconds of simulated time.
    pub fn run(&mut self, duration_ms: u64) {
        let end = self.now_us + duration_ms * 1000;
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now_us = self.now_us.max(at);
            match event {
                ScheduledEvent::Apply(action) => self.apply(action),
                ScheduledEvent::Deliver(to, from, bytes) => self.deliver(to, from, bytes),
                ScheduledEvent::Wake(n) => {
                    if self.nodes[n].next_wake_us <= self.now_us {
                        self.nodes[n].next_wake_us = u64::MAX;
                        self.run_member(n);
                    }
                }
                ScheduledEvent::PublishFacts => {
                    for n in 0..self.nodes.len() {
                        self.nodes[n].facts_published += 1;
                        let offered = self.nodes[n].facts_published;
                        let facts = Facts { offered, program: "0.1.0".into(), ..Facts::default() };
                        if !self.nodes[n].paused {
                            self.handle_event(n, Event::OwnFacts(facts));
                        }
                    }
                    self.schedule(self.config.facts_interval_ms * 1000, ScheduledEvent::PublishFacts);
                }
            }
        }
        self.now_us = end;
    }

    /// Delivers a datagram to a member, from any source address. It is dropped when the member does not run or its
    /// receive buffer is full.
    pub fn deliver(&mut self, to: usize, from: SocketAddr, bytes: Vec<u8>) {
        let Some(node) =
            self.nodes.get_mut(to).filter(|n| n.view.is_some() && n.inbox.len() < MAX_INBOX_DATAGRAMS)
        else {
            return;
        };
        node.inbox.push((from, bytes));
        if !node.paused && node.starve_interval_us == 0 {
            self.run_member(to);
        } else if !node.paused {
            self.wake_at(to, self.now_us);
        }
    }

    /// Runs a member that is scheduled: handles the datagrams in its receive buffer first, as the program does, and its
    /// due timers after that.
    fn run_member(&mut self, n: usize) {
        if self.nodes[n].paused {
            return;
        }
        for (from, bytes) in std::mem::take(&mut self.nodes[n].inbox) {
            self.handle_event(n, Event::Datagram(from, &bytes));
        }
        let now = self.clock(n);
        if self.view(n).is_some_and(|v| v.next_wake() <= now) {
            self.handle_event(n, Event::Wake);
        }
        self.schedule_wake(n);
    }

    /// Passes an event to a member's view and carries out the outputs.
    fn handle_event(&mut self, n: usize, event: Event) {
        let now = self.clock(n);
        let mut outputs = Vec::new();
        if let Some(view) = &mut self.nodes[n].view {
            view.handle(now, event, &mut outputs);
        }
        for output in outputs {
            match output {
                Output::Notify(event) => {
                    self.reported.push(ReportedEvent { at_us: self.now_us, reporter: n, event })
                }
                Output::Send(to, bytes) => self.send(n, to, bytes),
            }
        }
    }

    /// Schedules the delivery of a datagram under the faults in effect.
    fn send(&mut self, from: usize, to: SocketAddr, mut bytes: Vec<u8>) {
        if self.newer_version_members.as_ref().is_some_and(|members| members.contains(from)) {
            to_newer_version(&mut bytes);
        }
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let SocketAddr::V4(to) = to else { return };
        let [_, subnet, high, low] = to.ip().octets();
        let n = usize::from(high) << 8 | usize::from(low);
        if subnet != 1 || n >= self.nodes.len() {
            return;
        }
        let source = self.nodes[from].address;
        if self.recorded.len() < self.record_limit {
            self.recorded.push((n, source, bytes.clone()));
        }
        for delay_us in self.faults.delivery_delays(from, n, &mut self.rng) {
            self.schedule(delay_us.max(50), ScheduledEvent::Deliver(n, source, bytes.clone()));
        }
    }

    /// Schedules a member's next wake-up for when its view's next timer is due.
    fn schedule_wake(&mut self, n: usize) {
        let now = self.clock(n);
        let Some(next) = self.view(n).map(View::next_wake) else { return };
        let wait = (next - now).0 as i64;
        // Converted from the member's clock to simulated time: a slow clock takes longer.
        let wait = (wait - wait * self.nodes[n].clock_drift_ppm / 1_000_000).max(0) as u64 + 1;
        self.wake_at(n, self.now_us + wait);
    }

    /// Schedules a wake-up at a time, unless an earlier one is scheduled.
    fn wake_at(&mut self, n: usize, at: u64) {
        let node = &mut self.nodes[n];
        // A starved member runs at multiples of its interval only.
        let at =
            at.checked_div(node.starve_interval_us).map_or(at, |slot| (slot + 1) * node.starve_interval_us);
        if at < node.next_wake_us {
            node.next_wake_us = at;
            let delay_us = at - self.now_us.min(at);
            self.schedule(delay_us, ScheduledEvent::Wake(n));
        }
    }

    /// Queues an event to occur after a delay.
    fn schedule(&mut self, delay_us: u64, event: ScheduledEvent) {
        self.next_sequence += 1;
        self.queue.insert((self.now_us + delay_us, self.next_sequence), event);
    }
}
