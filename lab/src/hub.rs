//! A simulated table hub: a single-server queue with the deployment's service times, behind the binary protocol of
//! table hubs.

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

/// Work of a set-up, as a fraction of a whole call's work.
const SET_UP_WORK: f64 = 0.6;
/// Work of an answer, as a fraction of a whole call's work.
const ANSWER_WORK: f64 = 0.15;
/// Work of a release, as a fraction of a whole call's work.
const RELEASE_WORK: f64 = 0.25;
/// Work of refusing a set-up, as a fraction of a whole call's work.
const REFUSAL_WORK: f64 = 0.15;
/// Work of each repeat of a queued set-up, as a fraction of a whole call's work.
const REPEAT_WORK: f64 = 0.2;
/// Time after which a queued set-up is first sent again; each further interval is twice the last.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Set-ups are refused while the queueing delay, in seconds, exceeds this.
const MAX_QUEUE_DELAY_S: f64 = 2.5;
/// Interval at which the reported rate is recomputed.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Fraction of its capacity at which a cold hub starts.
pub const COLD_CAPACITY: f64 = 0.3;
/// Time in which a cold hub's capacity rises linearly to the whole.
pub const WARM_UP_TIME: Duration = Duration::from_secs(14);
/// Number of lines of a hub; far more than are used.
const LINE_COUNT: usize = 2000;
/// Mean duration of an answered call, in seconds.
const MEAN_HOLD_S: f64 = 8.7;

/// An event of a call as a hub recorded it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// A set-up arrived.
    SetUp,
    /// The set-up was refused.
    Refused,
    /// The call was answered.
    Answered,
    /// The call ended before it was answered.
    GivenUp,
    /// The answered call ended.
    Ended,
}

/// Queued work.
enum Job {
    /// A call's set-up and when it arrived.
    SetUp(u64, Instant),
    /// The answer of a call.
    Answer(u64),
    /// The release of a call by the hub.
    Release(u64),
    /// Work after which no message is sent.
    Other,
}

/// An accepted call and the connection that it was set up on.
struct Call {
    connection: mpsc::UnboundedSender<Vec<u8>>,
    answered: bool,
}

/// The state of a hub.
pub struct HubState {
    /// Calls per second that it carries when warm and not slowed down.
    capacity: f64,
    /// Factor by which it is slowed down.
    pub slowdown: f64,
    /// When it started, if it started cold.
    cold_since: Option<Instant>,
    /// Queued jobs and the work of each.
    queue: VecDeque<(f64, Job)>,
    /// Sum of the queued work.
    queued_work: f64,
    calls: HashMap<u64, Call>,
    connections: Vec<mpsc::UnboundedSender<Vec<u8>>>,
    /// The last reported rate in calls per second, and when it was computed.
    last_report: Option<(f64, Instant)>,
    rng: StdRng,
    running: bool,
    /// All call events: the time, the call, the event, and the calls per second that the hub could carry then.
    pub records: Vec<(Instant, u64, CallEvent, f64)>,
}

/// A simulated hub that serves on a port of loopback.
pub struct Hub {
    /// Where it listens for controllers.
    pub address: SocketAddr,
    /// The state that its tasks share.
    pub state: Rc<RefCell<HubState>>,
    job_queued: Rc<Notify>,
}

impl HubState {
    /// Calls per second that it can carry now.
    pub fn current_capacity(&self, now: Instant) -> f64 {
        let warmth = self.cold_since.map_or(1.0, |start| {
            let warmed = (now - start).as_secs_f64() / WARM_UP_TIME.as_secs_f64();
            (COLD_CAPACITY + (1.0 - COLD_CAPACITY) * warmed).min(1.0)
        });
        self.capacity * warmth / self.slowdown
    }

    /// The queueing delay of a new job, in seconds.
    fn queue_delay(&self, now: Instant) -> f64 {
        self.queued_work / self.current_capacity(now)
    }

    /// Queues a job.
    fn push(&mut self, work: f64, job: Job) {
        self.queued_work += work;
        self.queue.push_back((work, job));
    }

    /// The report on free lines and the rate that the hub can take; the rate is cached for `REPORT_INTERVAL`.
    fn report(&mut self, now: Instant) -> String {
        let qps = match self.last_report {
            Some((qps, at)) if now - at < REPORT_INTERVAL => qps,
            _ => {
                // The current capacity, reduced while the queueing delay exceeds 150 ms so that the queue drains.
                let excess_delay = (self.queue_delay(now) - 0.15).max(0.0);
                let qps = self.current_capacity(now) * (1.05 - 0.6 * excess_delay).max(0.02);
                self.last_report = Some((qps, now));
                qps
            }
        };
        format!("{};qps:{qps:.1}", self.line_report())
    }

    /// The report on free lines and all lines.
    fn line_report(&self) -> String {
        let used = self.calls.values().filter(|c| c.answered).count();
        format!("x0:{};x1:{LINE_COUNT}", LINE_COUNT - used)
    }

    /// Records a call event at the current time.
    fn record(&mut self, call: u64, event: CallEvent) {
        let now = Instant::now();
        self.records.push((now, call, event, self.current_capacity(now)));
    }
}

/// Encodes a message of the hubs' binary protocol.
fn encode(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    binary::write(&mut bytes, kind, call, parameters);
    bytes
}

impl Hub {
    /// Starts a hub on a free port of loopback. `capacity` is in calls per second, `slowdown` divides it, and a `cold`
    /// hub warms up from `COLD_CAPACITY`.
    pub async fn start(capacity: f64, slowdown: f64, cold: bool, rng: StdRng) -> io::Result<Hub> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let state = HubState {
            capacity,
            slowdown,
            cold_since: cold.then(Instant::now),
            queue: VecDeque::new(),
            queued_work: 0.0,
            calls: HashMap::new(),
            connections: Vec::new(),
            last_report: None,
            rng,
            running: true,
            records: Vec::new(),
        };
        let hub = Hub {
            address: listener.local_addr()?,
            state: Rc::new(RefCell::new(state)),
            job_queued: Rc::default(),
        };
        let (state, job_queued) = (hub.state.clone(), hub.job_queued.clone());
        spawn_local(process_jobs(state.clone(), job_queued.clone()));
        spawn_local(report_lines(state.clone()));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if !state.borrow().running {
                    return;
                }
                let _ = stream.set_nodelay(true);
                let (read, write) = stream.into_split();
                let (sender, outbound) = mpsc::unbounded_channel();
                spawn_local(write_outbound(write, outbound));
                spawn_local(serve(read, sender, state.clone(), job_queued.clone()));
            }
        });
        Ok(hub)
    }

    /// Stops the hub as if its process had ended: its connections close, new ones are refused, and its calls end.
    pub fn stop(&self) {
        let mut state = self.state.borrow_mut();
        state.running = false;
        state.connections.clear();
        for (id, call) in std::mem::take(&mut state.calls) {
            state.record(id, if call.answered { CallEvent::Ended } else { CallEvent::GivenUp });
        }
    }
}

/// Writes queued bytes to a connection until it closes.
async fn write_outbound(mut write: OwnedWriteHalf, mut outbound: mpsc::UnboundedReceiver<Vec<u8>>) {
    while let Some(bytes) = outbound.recv().await {
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

/// Reports the free lines on all connections every 300 ms, without being asked.
async fn report_lines(state: Rc<RefCell<HubState>>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(300));
    while state.borrow().running {
        ticks.tick().await;
        let mut state = state.borrow_mut();
        let report = encode(kind::STATE, 0, &[(code::REPORT, state.line_report().as_bytes())]);
        state.connections.retain(|c| c.send(report.clone()).is_ok());
    }
}

/// Serves one connection of a controller until it closes.
async fn serve(
    mut read: tokio::net::tcp::OwnedReadHalf,
    sender: mpsc::UnboundedSender<Vec<u8>>,
    state: Rc<RefCell<HubState>>,
    job_queued: Rc<Notify>,
) {
    {
        let mut state = state.borrow_mut();
        let _ = sender.send(encode(kind::STATE, 0, &[(code::REPORT, state.line_report().as_bytes())]));
        state.connections.push(sender.clone());
    }
    let mut input = Vec::new();
    while read.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
        let mut state = state.borrow_mut();
        if !state.running {
            return;
        }
        let mut consumed = 0;
        while let Ok(Some(message)) = binary::parse(&input[consumed..]) {
            consumed += message.bytes;
            handle_message(&mut state, message.kind, message.call, &sender, &job_queued);
        }
        input.drain(..consumed);
        job_queued.notify_one();
    }
    // Unanswered set-ups of a connection that closes are given up; answered calls don't depend on a connection.
    let mut state = state.borrow_mut();
    state.connections.retain(|c| !c.same_channel(&sender));
    let lost = state.calls.iter().filter(|(_, c)| !c.answered && c.connection.same_channel(&sender));
    let lost: Vec<u64> = lost.map(|(call, _)| *call).collect();
    for call in lost {
        state.calls.remove(&call);
        state.record(call, CallEvent::GivenUp);
    }
}

/// Handles a message of a controller: queues or refuses a set-up, or ends a call that the controller releases.
fn handle_message(
    state: &mut HubState,
    kind: u8,
    call: u64,
    connection: &mpsc::UnboundedSender<Vec<u8>>,
    job_queued: &Rc<Notify>,
) {
    match kind {
        kind::SET_UP => {
            state.record(call, CallEvent::SetUp);
            if state.queue_delay(Instant::now()) > MAX_QUEUE_DELAY_S {
                state.push(REFUSAL_WORK, Job::Other);
                let report = state.report(Instant::now());
                let parameters: [(u8, &[u8]); 3] =
                    [(code::CAUSE, &[34]), (code::NOTE, b"throttled"), (code::REPORT, report.as_bytes())];
                let _ = connection.send(encode(kind::RELEASE, call, &parameters));
                return state.record(call, CallEvent::Refused);
            }
            state.calls.insert(call, Call { connection: connection.clone(), answered: false });
            state.push(SET_UP_WORK, Job::SetUp(call, Instant::now()));
            job_queued.notify_one();
        }
        kind::RELEASE => {
            if let Some(released) = state.calls.remove(&call) {
                let event = if released.answered { CallEvent::Ended } else { CallEvent::GivenUp };
                state.record(call, event);
                if released.answered {
                    state.push(RELEASE_WORK, Job::Other);
                }
            }
        }
        _ => {}
    }
}

/// Processes the queued jobs one after another, each for the time that its work takes at the current capacity.
async fn process_jobs(state: Rc<RefCell<HubState>>, job_queued: Rc<Notify>) {
    let mut free_at = Instant::now();
    while state.borrow().running {
        let now = Instant::now();
        let Some((work, job)) = state.borrow_mut().queue.pop_front() else {
            job_queued.notified().await;
            free_at = free_at.max(Instant::now());
            continue;
        };
        let (dropped, work) = {
            let state = state.borrow();
            match &job {
                Job::SetUp(call, at) if state.calls.contains_key(call) => {
                    // Repeats of the set-up that arrived while it was queued add work.
                    let waited = (now - *at).as_secs_f64() / RESEND_INTERVAL.as_secs_f64();
                    (false, work + REPEAT_WORK * (waited + 1.0).log2().floor())
                }
                Job::SetUp(..) => (true, 0.0),
                _ => (false, work),
            }
        };
        if !dropped {
            free_at += Duration::from_secs_f64(work / state.borrow().current_capacity(now));
            sleep_until(free_at).await;
        }
        let mut this = state.borrow_mut();
        this.queued_work = this.queue.iter().map(|(work, _)| work).sum();
        match job {
            Job::SetUp(call, _) if !dropped && this.calls.contains_key(&call) => {
                this.push(ANSWER_WORK, Job::Answer(call));
            }
            Job::Answer(call) => answer(&mut this, call, &state, &job_queued),
            Job::Release(call) => {
                if let Some(ended) = this.calls.remove(&call) {
                    this.record(call, CallEvent::Ended);
                    let report = this.report(Instant::now());
                    let parameters: [(u8, &[u8]); 2] =
                        [(code::CAUSE, &[16]), (code::REPORT, report.as_bytes())];
                    let bytes = encode(kind::RELEASE, call, &parameters);
                    if let Err(bytes) = ended.connection.send(bytes) {
                        let _ = this.connections.last().map(|c| c.send(bytes.0));
                    }
                }
            }
            _ => {}
        }
    }
}

/// Answers a call, and schedules its release after a random holding time.
fn answer(this: &mut HubState, id: u64, state: &Rc<RefCell<HubState>>, job_queued: &Rc<Notify>) {
    let Some(call) = this.calls.get_mut(&id) else { return };
    call.answered = true;
    let _ = call.connection.send(encode(kind::ANSWER, id, &[(code::DESCRIPTION, b"v=0\r\n")]));
    this.record(id, CallEvent::Answered);
    let hold = Exp::new(1.0 / MEAN_HOLD_S).map_or(MEAN_HOLD_S, |e| e.sample(&mut this.rng));
    let (state, job_queued) = (state.clone(), job_queued.clone());
    spawn_local(async move {
        tokio::time::sleep(Duration::from_secs_f64(hold)).await;
        state.borrow_mut().push(RELEASE_WORK, Job::Release(id));
        job_queued.notify_one();
    });
}
