//! A simulated table hub that can be frozen, cut off, killed and restarted at the same address.

use petreldock::net::binary::{self, code, kind};
use rand::rngs::StdRng;
use rand::RngExt;
use rand_distr::{Distribution, Exp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout, Duration, Instant};

/// Mean delay of an answer, exponentially distributed, in seconds.
const MEAN_ANSWER_DELAY_S: f64 = 0.03;
/// Mean duration of a call, exponentially distributed, in seconds.
const MEAN_CALL_DURATION_S: f64 = 3.0;
/// Share of set-ups that are refused for lack of capacity.
const REFUSED_PER_MILLE: u32 = 30;
/// Share of set-ups that are answered late.
const LATE_ANSWER_PER_MILLE: u32 = 20;
/// Share of set-ups that are never answered.
const UNANSWERED_PER_MILLE: u32 = 10;
/// Delay of a late answer.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(2_600);
/// A state report is sent on a connection after this much time without a message.
const STATE_INTERVAL: Duration = Duration::from_millis(700);
/// A release is repeated on each connection that is accepted within this time after it.
const RELEASE_REPEAT_WINDOW: Duration = Duration::from_secs(1);
/// An answer sent less than this before its connection closes may not have reached the controller.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(100);
/// If connecting takes longer than this, the accept queue is full.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(150);

/// What happened to a call at a hub.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HubEventKind {
    /// The hub received a set-up.
    SetUp,
    /// The hub refused the set-up.
    Refused,
    /// The hub answered the set-up.
    Answered,
    /// The controller gave the set-up up, or its connection closed before the answer.
    GivenUp,
    /// The controller released the established call.
    ReleasedByController,
    /// The call ended at the hub.
    Ended {
        /// Whether the release has been sent to the controller.
        release_sent: bool,
    },
    /// The process of the hub died while the call was established.
    Died,
}

/// An event of a call at a hub.
#[derive(Clone, Copy, Debug)]
pub struct HubEvent {
    /// When it happened.
    pub at: Instant,
    /// The call.
    pub call: u64,
    /// Number of the hub.
    pub hub: usize,
    /// What happened.
    pub kind: HubEventKind,
}

/// Events of all hubs in chronological order.
pub type HubRecord = Rc<RefCell<Vec<HubEvent>>>;

/// Queue of encoded messages to be written to a connection.
type MessageSender = mpsc::UnboundedSender<Vec<u8>>;

/// A call at a hub.
struct Call {
    /// Queue of the connection on which it was set up.
    out: MessageSender,
    /// Whether it has been answered.
    established: bool,
    /// When it was answered.
    answered_at: Option<Instant>,
}

/// State that is lost when the process of the hub dies.
struct Process {
    calls: HashMap<u64, Call>,
    /// Queues of the open connections.
    connections: Vec<MessageSender>,
    /// Calls that ended while there was no connection; they are released on the next one.
    unsent_releases: Vec<u64>,
    /// Recently sent releases, to be repeated on new connections.
    recent_releases: Vec<(Instant, u64)>,
    tasks: Vec<JoinHandle<()>>,
}

/// A simulated hub; its address and uid stay the same for all its processes.
pub struct Hub {
    /// Its uid in the change log.
    pub uid: String,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its place.
    pub place: usize,
    /// Reserves the address while no socket listens on it.
    _reservation: TcpSocket,
    listener: Option<Rc<TcpListener>>,
    number: usize,
    process: Rc<RefCell<Process>>,
    /// Whether the process is frozen.
    frozen: watch::Sender<bool>,
    record: HubRecord,
    rng: Rc<RefCell<StdRng>>,
    accept_task: Option<JoinHandle<()>>,
    /// Connections that fill the accept queue.
    queue_fillers: Vec<TcpStream>,
}

/// Encodes a message.
fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    binary::write(&mut bytes, kind, call, parameters);
    bytes
}

/// State shared by the tasks of a process.
#[derive(Clone)]
struct Shared {
    number: usize,
    process: Rc<RefCell<Process>>,
    frozen: watch::Receiver<bool>,
    record: HubRecord,
    rng: Rc<RefCell<StdRng>>,
}

impl Shared {
    /// Records an event.
    fn record_event(&self, call: u64, kind: HubEventKind) {
        self.record.borrow_mut().push(HubEvent { at: Instant::now(), call, hub: self.number, kind });
    }

    /// Waits while the hub is frozen.
    async fn wait_until_resumed(&self) {
        let _ = self.frozen.clone().wait_for(|frozen| !frozen).await;
    }

    /// Encodes a state report.
    fn state(&self) -> Vec<u8> {
        let established_count = self.process.borrow().calls.values().filter(|c| c.established).count();
        let report = format!("x0:{};x1:2000;qps:60", 2000 - established_count);
        message(kind::STATE, 0, &[(code::REPORT, report.as_bytes())])
    }

    /// Spawns a task that is aborted when the connections are closed.
    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        let handle = spawn_local(task);
        let mut process = self.process.borrow_mut();
        process.tasks.retain(|task| !task.is_finished());
        process.tasks.push(handle);
    }

    /// Starts the tasks that read from and write to a new connection.
    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (out, queue) = mpsc::unbounded_channel();
        let shared = self.clone();
        self.spawn(write_messages(write, queue, shared.clone()));
        self.spawn(async move { shared.serve(read, out).await });
    }

    /// Sends the unsent releases on a new connection and handles its messages until it is closed.
    async fn serve(self, mut read: OwnedReadHalf, out: MessageSender) {
        self.wait_until_resumed().await;
        let _ = out.send(self.state());
        let unsent_releases = std::mem::take(&mut self.process.borrow_mut().unsent_releases);
        for call in unsent_releases {
            self.release(call, &out);
        }
        let mut recent_releases = std::mem::take(&mut self.process.borrow_mut().recent_releases);
        recent_releases.retain(|(at, _)| at.elapsed() < RELEASE_REPEAT_WINDOW);
        for (_, call) in &recent_releases {
            let _ = out.send(message(kind::RELEASE, *call, &[(code::CAUSE, &[16])]));
            self.record_event(*call, HubEventKind::Ended { release_sent: true });
        }
        self.process.borrow_mut().recent_releases = recent_releases;
        self.process.borrow_mut().connections.push(out.clone());
        let mut input = Vec::new();
        while read.read_buf(&mut input).await.is_ok_and(|count| count > 0) {
            self.wait_until_resumed().await;
            let mut consumed = 0;
            while let Ok(Some(message)) = binary::parse(&input[consumed..]) {
                consumed += message.bytes;
                self.handle_message(message.kind, message.call, &out);
            }
            input.drain(..consumed);
        }
        self.wait_until_resumed().await;
        let mut process = self.process.borrow_mut();
        process.connections.retain(|connection| !connection.same_channel(&out));
        let unanswered = process.calls.iter().filter(|(_, c)| !c.established && c.out.same_channel(&out));
        let unanswered: Vec<u64> = unanswered.map(|(call, _)| *call).collect();
        for call in unanswered {
            process.calls.remove(&call);
            self.record_event(call, HubEventKind::GivenUp);
        }
        // An answer sent just before its connection closed may not have arrived: its set-up counts as given up too.
        let is_race = |c: &Call| c.answered_at.is_some_and(|at| at.elapsed() < CLOSE_RACE_WINDOW);
        for (call, _) in process.calls.iter().filter(|(_, c)| c.out.same_channel(&out) && is_race(c)) {
            self.record_event(*call, HubEventKind::GivenUp);
        }
    }

    /// Handles a message from the controller.
    fn handle_message(&self, kind: u8, call: u64, out: &MessageSender) {
        match kind {
            kind::SET_UP => self.set_up(call, out),
            kind::RELEASE => {
                if let Some(entry) = self.process.borrow_mut().calls.remove(&call) {
                    let was_established = entry.established;
                    self.record_event(
                        call,
                        if was_established {
                            HubEventKind::ReleasedByController
                        } else {
                            HubEventKind::GivenUp
                        },
                    );
                }
            }
            kind::TEST => {
                let _ = out.send(message(kind::TEST_RESULT, call, &[(code::CAUSE, &[1])]));
            }
            _ => {}
        }
    }

    /// Handles a set-up with a randomly drawn outcome.
    fn set_up(&self, call: u64, out: &MessageSender) {
        self.record_event(call, HubEventKind::SetUp);
        let (outcome, answer_delay_s, duration_s) = {
            let mut rng = self.rng.borrow_mut();
            let outcome: u32 = rng.random_range(0..1000);
            let mut draw = |mean: f64| Exp::new(1.0 / mean).map_or(mean, |e| e.sample(&mut *rng));
            (outcome, draw(MEAN_ANSWER_DELAY_S), draw(MEAN_CALL_DURATION_S))
        };
        if outcome < REFUSED_PER_MILLE {
            let _ =
                out.send(message(kind::RELEASE, call, &[(code::CAUSE, &[34]), (code::NOTE, b"throttled")]));
            return self.record_event(call, HubEventKind::Refused);
        }
        let answer_delay = match outcome {
            outcome if outcome < REFUSED_PER_MILLE + LATE_ANSWER_PER_MILLE => Some(LATE_ANSWER_DELAY),
            outcome if outcome < REFUSED_PER_MILLE + LATE_ANSWER_PER_MILLE + UNANSWERED_PER_MILLE => None,
            _ => Some(Duration::from_secs_f64(answer_delay_s)),
        };
        let entry = Call { out: out.clone(), established: false, answered_at: None };
        self.process.borrow_mut().calls.insert(call, entry);
        let Some(answer_delay) = answer_delay else { return };
        let shared = self.clone();
        self.spawn(
            async move { shared.run_call(call, answer_delay, Duration::from_secs_f64(duration_s)).await },
        );
    }

    /// Answers a call after a delay and ends it after its duration.
    async fn run_call(self, call: u64, answer_delay: Duration, duration: Duration) {
        sleep(answer_delay).await;
        self.wait_until_resumed().await;
        {
            let mut process = self.process.borrow_mut();
            let Some(entry) = process.calls.get_mut(&call) else { return };
            entry.established = true;
            entry.answered_at = Some(Instant::now());
            let _ = entry.out.send(message(kind::ANSWER, call, &[(code::DESCRIPTION, b"v=0\r\n")]));
            self.record_event(call, HubEventKind::Answered);
        }
        sleep(duration).await;
        self.wait_until_resumed().await;
        let process = self.process.borrow();
        let Some(entry) = process.calls.get(&call) else { return };
        let original = entry.out.clone();
        let sender = process
            .connections
            .iter()
            .find(|connection| connection.same_channel(&original))
            .or(process.connections.last())
            .cloned();
        drop(process);
        match sender {
            Some(out) => self.release(call, &out),
            None => {
                self.process.borrow_mut().unsent_releases.push(call);
                self.record_event(call, HubEventKind::Ended { release_sent: false });
            }
        }
    }

    /// Ends a call, if it still exists, and sends its release.
    fn release(&self, call: u64, out: &MessageSender) {
        let existed = self.process.borrow_mut().calls.remove(&call).is_some();
        if existed {
            self.process.borrow_mut().recent_releases.push((Instant::now(), call));
            let _ = out.send(message(kind::RELEASE, call, &[(code::CAUSE, &[16])]));
            self.record_event(call, HubEventKind::Ended { release_sent: true });
        }
    }
}

/// Writes queued messages, and a state report whenever there is none for [`STATE_INTERVAL`].
async fn write_messages(
    mut write: OwnedWriteHalf,
    mut queue: mpsc::UnboundedReceiver<Vec<u8>>,
    shared: Shared,
) {
    loop {
        let next = tokio::select! {
            next = queue.recv() => next,
            () = sleep(STATE_INTERVAL) => Some(shared.state()),
        };
        let Some(bytes) = next else { return };
        shared.wait_until_resumed().await;
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

impl Hub {
    /// Starts a hub on a free port, with its number as its place and in its uid.
    pub fn start(number: usize, record: &HubRecord, rng: StdRng) -> io::Result<Hub> {
        let reservation = bind_shared(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut hub = Hub {
            uid: format!("s-{number}"),
            address: reservation.local_addr()?,
            place: number,
            _reservation: reservation,
            listener: None,
            number,
            process: Rc::new(RefCell::new(Hub::new_process())),
            frozen: watch::Sender::new(false),
            record: record.clone(),
            rng: Rc::new(RefCell::new(rng)),
            accept_task: None,
            queue_fillers: Vec::new(),
        };
        hub.accept()?;
        Ok(hub)
    }

    fn new_process() -> Process {
        Process {
            calls: HashMap::new(),
            connections: Vec::new(),
            unsent_releases: Vec::new(),
            recent_releases: Vec::new(),
            tasks: Vec::new(),
        }
    }

    fn shared(&self) -> Shared {
        Shared {
            number: self.number,
            process: self.process.clone(),
            frozen: self.frozen.subscribe(),
            record: self.record.clone(),
            rng: self.rng.clone(),
        }
    }

    /// Listens, unless it does already, and starts to accept connections.
    fn accept(&mut self) -> io::Result<()> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => Rc::new(bind_shared(self.address)?.listen(1)?),
        };
        self.listener = Some(listener.clone());
        let shared = self.shared();
        self.accept_task = Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.serve_connection(stream);
            }
        }));
        Ok(())
    }

    /// Stops accepting connections; the socket continues to listen.
    async fn stop_accepting(&mut self) {
        if let Some(accept_task) = self.accept_task.take() {
            accept_task.abort();
            let _ = accept_task.await;
        }
    }

    /// Freezes the process. New connections are still established, as by the kernel of a suspended process.
    pub fn freeze(&mut self) {
        self.frozen.send_replace(true);
    }

    /// Simulates a network failure: the hub neither reads nor sends, and no new connection is established once the
    /// accept queue, of which `free_queue_slots` slots stay free, is full.
    pub async fn cut_off(&mut self, free_queue_slots: usize) {
        self.frozen.send_replace(true);
        self.stop_accepting().await;
        while self.queue_fillers.len() + free_queue_slots < 3 {
            let Ok(Ok(stream)) = timeout(FULL_QUEUE_TIMEOUT, TcpStream::connect(self.address)).await else {
                return;
            };
            self.queue_fillers.push(stream);
        }
    }

    /// Ends a freeze or network failure; the process continues with its state intact.
    pub fn resume(&mut self) -> io::Result<()> {
        self.queue_fillers.clear();
        self.frozen.send_replace(false);
        match self.accept_task {
            Some(_) => Ok(()),
            None => self.accept(),
        }
    }

    /// Ends all calls, as when the process has died, without closing connections.
    pub fn end_all_calls(&self) {
        let shared = self.shared();
        let mut process = self.process.borrow_mut();
        for (call, entry) in std::mem::take(&mut process.calls) {
            shared.record_event(
                call,
                if entry.established { HubEventKind::Died } else { HubEventKind::GivenUp },
            );
        }
    }

    /// Closes all connections and aborts the tasks of the calls.
    pub fn close_connections(&self) {
        let mut process = self.process.borrow_mut();
        process.tasks.drain(..).for_each(|task| task.abort());
        process.connections.clear();
    }

    /// Replaces the process by a new one without state, under the same uid and address.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.close_connections();
        self.process = Rc::new(RefCell::new(Hub::new_process()));
        self.queue_fillers.clear();
        self.stop_accepting().await;
        self.frozen = watch::Sender::new(false);
        self.accept()
    }

    /// Kills the process: its calls end, its connections are closed, and new connections are refused.
    pub async fn kill(&mut self) {
        self.end_all_calls();
        self.stop_accepting().await;
        self.listener = None;
        self.close_connections();
    }
}

/// Binds a socket with `SO_REUSEADDR`, which reserves the address but lets another such socket listen on it.
pub(super) fn bind_shared(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
