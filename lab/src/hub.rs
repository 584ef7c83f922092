//! A stand-in table hub: a processor with one line, by the deployment's figures, behind the hubs' wire.

use petreldock::net::binary::{self, code, kind};
use rand::rngs::StdRng;
use rand_distr::{Distribution, Exp};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Duration, Instant};

/// Parts of a call's work: set-up, answer, release; and of a set-up that is refused or repeated.
const SET_UP: f64 = 0.6;
const ANSWER: f64 = 0.15;
const RELEASE: f64 = 0.25;
const REFUSE: f64 = 0.15;
const REPEAT: f64 = 0.2;
/// A set-up that waits is sent again after this, then at doubling gaps.
const RESEND: Duration = Duration::from_millis(500);
/// Set-ups are turned away past this wait.
const WAIT_MOST: f64 = 2.5;
/// What it can take is looked at anew this often.
const LOOK: Duration = Duration::from_millis(400);
/// A cold processor begins at this part of its capacity, and is warm after this.
pub const COLD_FROM: f64 = 0.3;
pub const WARM_UP: Duration = Duration::from_secs(14);
/// So many lines: far more than are usual.
const LINES: usize = 2000;
const MEAN_HOLD_S: f64 = 8.7;

/// What a hub saw of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    SetUp,
    Refused,
    Answered,
    GivenUp,
    Ended,
}

enum Job {
    SetUp(u64, Instant),
    Answer(u64),
    Release(u64),
    Other,
}

struct Call {
    from: mpsc::UnboundedSender<Vec<u8>>,
    stands: bool,
}

/// A hub's whole state.
pub struct State {
    /// Calls a second that it can carry, warm and at full speed.
    capacity: f64,
    /// So many times slower.
    pub slow: f64,
    born: Option<Instant>,
    queue: VecDeque<(f64, Job)>,
    queued: f64,
    calls: HashMap<u64, Call>,
    links: Vec<mpsc::UnboundedSender<Vec<u8>>>,
    told: Option<(f64, Instant)>,
    rng: StdRng,
    alive: bool,
    /// All that was seen, and the capacity then.
    pub record: Vec<(Instant, u64, Seen, f64)>,
}

pub struct Hub {
    pub address: SocketAddr,
    pub state: Rc<RefCell<State>>,
    work: Rc<Notify>,
}

impl State {
    /// Calls a second that it can carry now.
    pub fn speed(&self, now: Instant) -> f64 {
        let warm = self.born.map_or(1.0, |b| {
            (COLD_FROM + (1.0 - COLD_FROM) * (now - b).as_secs_f64() / WARM_UP.as_secs_f64()).min(1.0)
        });
        self.capacity * warm / self.slow
    }

    fn wait(&self, now: Instant) -> f64 {
        self.queued / self.speed(now)
    }

    fn push(&mut self, work: f64, job: Job) {
        self.queued += work;
        self.queue.push_back((work, job));
    }

    fn report(&mut self, now: Instant) -> String {
        let qps = match self.told {
            Some((qps, at)) if now - at < LOOK => qps,
            _ => {
                // What it carries, less while there is a queue to work off.
                let over = (self.wait(now) - 0.15).max(0.0);
                let qps = self.speed(now) * (1.05 - 0.6 * over).max(0.02);
                self.told = Some((qps, now));
                qps
            }
        };
        format!("{};qps:{qps:.1}", self.lines())
    }

    fn lines(&self) -> String {
        format!("x0:{};x1:{LINES}", LINES - self.calls.values().filter(|c| c.stands).count())
    }

    fn note(&mut self, call: u64, seen: Seen) {
        let now = Instant::now();
        self.record.push((now, call, seen, self.speed(now)));
    }
}

fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    binary::write(&mut bytes, kind, call, parameters);
    bytes
}

impl Hub {
    pub async fn start(capacity: f64, slow: f64, cold: bool, rng: StdRng) -> io::Result<Hub> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = State {
            capacity,
            slow,
            born: cold.then(Instant::now),
            queue: VecDeque::new(),
            queued: 0.0,
            calls: HashMap::new(),
            links: Vec::new(),
            told: None,
            rng,
            alive: true,
            record: Vec::new(),
        };
        let hub =
            Hub { address: listener.local_addr()?, state: Rc::new(RefCell::new(state)), work: Rc::default() };
        let (state, work) = (hub.state.clone(), hub.work.clone());
        spawn_local(process(state.clone(), work.clone()));
        spawn_local(tell_lines(state.clone()));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !state.borrow().alive {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let (read, write) = stream.into_split();
                let (sender, out) = mpsc::unbounded_channel();
                spawn_local(write_out(write, out));
                spawn_local(serve(read, sender, state.clone(), work.clone()));
            }
        });
        Ok(hub)
    }

    /// Its process ends: connections close, none comes up, and its calls are cut.
    pub fn end(&self) {
        let mut state = self.state.borrow_mut();
        state.alive = false;
        state.links.clear();
        for (call, known) in std::mem::take(&mut state.calls) {
            state.note(call, if known.stands { Seen::Ended } else { Seen::GivenUp });
        }
    }
}

async fn write_out(mut write: OwnedWriteHalf, mut out: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(bytes) = out.recv().await {
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Lines are told unasked, a few times a second.
async fn tell_lines(state: Rc<RefCell<State>>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(300));
    while state.borrow().alive {
        ticks.tick().await;
        let mut state = state.borrow_mut();
        let told = message(kind::STATE, 0, &[(code::REPORT, state.lines().as_bytes())]);
        state.links.retain(|l| l.send(told.clone()).is_ok());
    }
}

async fn serve(
    mut read: tokio::net::tcp::OwnedReadHalf,
    sender: mpsc::UnboundedSender<Vec<u8>>,
    state: Rc<RefCell<State>>,
    work: Rc<Notify>,
) {
    {
        let mut state = state.borrow_mut();
        let _ = sender.send(message(kind::STATE, 0, &[(code::REPORT, state.lines().as_bytes())]));
        state.links.push(sender.clone());
    }
    let mut input = Vec::new();
    while read.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
        let mut state = state.borrow_mut();
        if !state.alive {
            return;
        }
        let mut taken = 0;
        while let Ok(Some(message)) = binary::parse(&input[taken..]) {
            taken += message.bytes;
            hear(&mut state, message.kind, message.call, &sender, &work);
        }
        input.drain(..taken);
        work.notify_one();
    }
    // Set-ups open on a connection that closes are given up; what stands belongs to none.
    let mut state = state.borrow_mut();
    state.links.retain(|l| !l.same_channel(&sender));
    let lost = state.calls.iter().filter(|(_, c)| !c.stands && c.from.same_channel(&sender));
    let lost: Vec<u64> = lost.map(|(call, _)| *call).collect();
    for call in lost {
        state.calls.remove(&call);
        state.note(call, Seen::GivenUp);
    }
}

fn hear(state: &mut State, kind: u8, call: u64, from: &mpsc::UnboundedSender<Vec<u8>>, work: &Rc<Notify>) {
    match kind {
        kind::SET_UP => {
            state.note(call, Seen::SetUp);
            if state.wait(Instant::now()) > WAIT_MOST {
                state.push(REFUSE, Job::Other);
                let report = state.report(Instant::now());
                let parameters: [(u8, &[u8]); 3] =
                    [(code::CAUSE, &[34]), (code::NOTE, b"throttled"), (code::REPORT, report.as_bytes())];
                let _ = from.send(message(kind::RELEASE, call, &parameters));
                return state.note(call, Seen::Refused);
            }
            state.calls.insert(call, Call { from: from.clone(), stands: false });
            state.push(SET_UP, Job::SetUp(call, Instant::now()));
            work.notify_one();
        }
        kind::RELEASE => {
            if let Some(known) = state.calls.remove(&call) {
                let seen = if known.stands { Seen::Ended } else { Seen::GivenUp };
                state.note(call, seen);
                if known.stands {
                    state.push(RELEASE, Job::Other);
                }
            }
        }
        _ => {}
    }
}

/// Works the queue off, one job after another.
async fn process(state: Rc<RefCell<State>>, work: Rc<Notify>) {
    let mut free = Instant::now();
    while state.borrow().alive {
        let now = Instant::now();
        let Some((cost, job)) = state.borrow_mut().queue.pop_front() else {
            work.notified().await;
            free = free.max(Instant::now());
            continue;
        };
        let (dropped, cost) = {
            let state = state.borrow();
            match &job {
                Job::SetUp(call, at) if state.calls.contains_key(call) => {
                    // Each repeat that came meanwhile is work as well.
                    let waited = (now - *at).as_secs_f64() / RESEND.as_secs_f64();
                    (false, cost + REPEAT * (waited + 1.0).log2().floor())
                }
                Job::SetUp(..) => (true, 0.0),
                _ => (false, cost),
            }
        };
        if !dropped {
            free += Duration::from_secs_f64(cost / state.borrow().speed(now));
            sleep_until(free).await;
        }
        let mut this = state.borrow_mut();
        this.queued = this.queue.iter().map(|(cost, _)| cost).sum();
        match job {
            Job::SetUp(call, _) if !dropped && this.calls.contains_key(&call) => {
                this.push(ANSWER, Job::Answer(call));
            }
            Job::Answer(call) => answer(&mut this, call, &state, &work),
            Job::Release(call) => {
                if let Some(ended) = this.calls.remove(&call) {
                    this.note(call, Seen::Ended);
                    let report = this.report(Instant::now());
                    let parameters: [(u8, &[u8]); 2] =
                        [(code::CAUSE, &[16]), (code::REPORT, report.as_bytes())];
                    let bytes = message(kind::RELEASE, call, &parameters);
                    if let Err(bytes) = ended.from.send(bytes) {
                        let _ = this.links.last().map(|l| l.send(bytes.0));
                    }
                }
            }
            _ => {}
        }
    }
}

fn answer(this: &mut State, call: u64, state: &Rc<RefCell<State>>, work: &Rc<Notify>) {
    let Some(known) = this.calls.get_mut(&call) else { return };
    known.stands = true;
    let _ = known.from.send(message(kind::ANSWER, call, &[(code::DESCRIPTION, b"v=0\r\n")]));
    this.note(call, Seen::Answered);
    let hold = Exp::new(1.0 / MEAN_HOLD_S).map_or(MEAN_HOLD_S, |e| e.sample(&mut this.rng));
    let (state, work) = (state.clone(), work.clone());
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(hold)).await;
        state.borrow_mut().push(RELEASE, Job::Release(call));
        work.notify_one();
    });
}
