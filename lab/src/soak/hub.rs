//! A stand-in table hub that can be frozen, cut off, killed and started again at its address.

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

const MEAN_ANSWER_S: f64 = 0.03;
const MEAN_HOLD_S: f64 = 3.0;
/// Of a thousand set-ups: refused as full, answered late, never answered.
const FULL_PER_MILLE: u32 = 30;
const LATE_PER_MILLE: u32 = 20;
const LOST_PER_MILLE: u32 = 10;
const LATE: Duration = Duration::from_millis(2_600);
const STATE_INTERVAL: Duration = Duration::from_millis(700);
/// A release is repeated on connections that come up within this.
const REPEATED_FOR: Duration = Duration::from_secs(1);
/// An answer and the end of its connection cross within this.
const CROSSING: Duration = Duration::from_millis(100);
/// A dial that takes longer shows that the accept queue is full.
const QUEUE_FULL: Duration = Duration::from_millis(150);

/// What a hub saw of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    SetUp,
    Refused,
    Answered,
    /// The controller gave a set-up up, or its connection closed under it.
    GivenUp,
    /// The controller released a call that stood.
    ReleasedByController,
    /// The call came to its end; its release is written to the controller, if `told`.
    Ended {
        told: bool,
    },
    /// The process died, and the call with it.
    Died,
}

/// One thing that a hub saw, and when.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub at: Instant,
    pub call: u64,
    pub hub: usize,
    pub seen: Seen,
}

/// What all hubs saw, in the order of time.
pub type Record = Rc<RefCell<Vec<Event>>>;

type Out = mpsc::UnboundedSender<Vec<u8>>;

struct Call {
    out: Out,
    stands: bool,
    answered: Option<Instant>,
}

struct Process {
    calls: HashMap<u64, Call>,
    links: Vec<Out>,
    /// Releases that no open connection could take; the next one that is opened does.
    untold: Vec<u64>,
    /// Releases that were told lately, and are repeated on a connection that comes up soon.
    told: Vec<(Instant, u64)>,
    tasks: Vec<JoinHandle<()>>,
}

/// A hub: its address outlives its processes.
pub struct Hub {
    pub uid: String,
    pub address: SocketAddr,
    pub place: usize,
    /// Keeps the address while nobody listens there.
    _reserved: TcpSocket,
    listener: Option<Rc<TcpListener>>,
    number: usize,
    process: Rc<RefCell<Process>>,
    frozen: watch::Sender<bool>,
    record: Record,
    rng: Rc<RefCell<StdRng>>,
    accepting: Option<JoinHandle<()>>,
    filling: Vec<TcpStream>,
}

fn message(kind: u8, call: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut bytes = Vec::new();
    binary::write(&mut bytes, kind, call, parameters);
    bytes
}

/// What the tasks of one process share.
#[derive(Clone)]
struct Shared {
    number: usize,
    process: Rc<RefCell<Process>>,
    frozen: watch::Receiver<bool>,
    record: Record,
    rng: Rc<RefCell<StdRng>>,
}

impl Shared {
    fn note(&self, call: u64, seen: Seen) {
        self.record.borrow_mut().push(Event { at: Instant::now(), call, hub: self.number, seen });
    }

    async fn thawed(&self) {
        let _ = self.frozen.clone().wait_for(|frozen| !frozen).await;
    }

    fn state(&self) -> Vec<u8> {
        let standing = self.process.borrow().calls.values().filter(|c| c.stands).count();
        let report = format!("x0:{};x1:2000;qps:60", 2000 - standing);
        message(kind::STATE, 0, &[(code::REPORT, report.as_bytes())])
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        let handle = spawn_local(task);
        let mut process = self.process.borrow_mut();
        process.tasks.retain(|task| !task.is_finished());
        process.tasks.push(handle);
    }

    fn connected(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let (out, queue) = mpsc::unbounded_channel();
        let shared = self.clone();
        self.spawn(write_out(write, queue, shared.clone()));
        self.spawn(async move { shared.serve(read, out).await });
    }

    async fn serve(self, mut read: OwnedReadHalf, out: Out) {
        self.thawed().await;
        let _ = out.send(self.state());
        let untold = std::mem::take(&mut self.process.borrow_mut().untold);
        for call in untold {
            self.release(call, &out);
        }
        let mut told = std::mem::take(&mut self.process.borrow_mut().told);
        told.retain(|(at, _)| at.elapsed() < REPEATED_FOR);
        for (_, call) in &told {
            let _ = out.send(message(kind::RELEASE, *call, &[(code::CAUSE, &[16])]));
            self.note(*call, Seen::Ended { told: true });
        }
        self.process.borrow_mut().told = told;
        self.process.borrow_mut().links.push(out.clone());
        let mut input = Vec::new();
        while read.read_buf(&mut input).await.is_ok_and(|count| count > 0) {
            self.thawed().await;
            let mut taken = 0;
            while let Ok(Some(message)) = binary::parse(&input[taken..]) {
                taken += message.bytes;
                self.hear(message.kind, message.call, &out);
            }
            input.drain(..taken);
        }
        self.thawed().await;
        let mut process = self.process.borrow_mut();
        process.links.retain(|link| !link.same_channel(&out));
        let lost = process.calls.iter().filter(|(_, c)| !c.stands && c.out.same_channel(&out));
        let lost: Vec<u64> = lost.map(|(call, _)| *call).collect();
        for call in lost {
            process.calls.remove(&call);
            self.note(call, Seen::GivenUp);
        }
        // An answer that crosses the end of its connection may never have come: its set-up is given up too.
        let crossed = |c: &Call| c.answered.is_some_and(|at| at.elapsed() < CROSSING);
        for (call, _) in process.calls.iter().filter(|(_, c)| c.out.same_channel(&out) && crossed(c)) {
            self.note(*call, Seen::GivenUp);
        }
    }

    fn hear(&self, kind: u8, call: u64, out: &Out) {
        match kind {
            kind::SET_UP => self.set_up(call, out),
            kind::RELEASE => {
                if let Some(known) = self.process.borrow_mut().calls.remove(&call) {
                    let stood = known.stands;
                    self.note(call, if stood { Seen::ReleasedByController } else { Seen::GivenUp });
                }
            }
            kind::TEST => {
                let _ = out.send(message(kind::TESTED, call, &[(code::CAUSE, &[1])]));
            }
            _ => {}
        }
    }

    fn set_up(&self, call: u64, out: &Out) {
        self.note(call, Seen::SetUp);
        let (fate, answer_s, hold_s) = {
            let mut rng = self.rng.borrow_mut();
            let fate: u32 = rng.random_range(0..1000);
            let mut draw = |mean: f64| Exp::new(1.0 / mean).map_or(mean, |e| e.sample(&mut *rng));
            (fate, draw(MEAN_ANSWER_S), draw(MEAN_HOLD_S))
        };
        if fate < FULL_PER_MILLE {
            let _ =
                out.send(message(kind::RELEASE, call, &[(code::CAUSE, &[34]), (code::NOTE, b"throttled")]));
            return self.note(call, Seen::Refused);
        }
        let answer = match fate {
            fate if fate < FULL_PER_MILLE + LATE_PER_MILLE => Some(LATE),
            fate if fate < FULL_PER_MILLE + LATE_PER_MILLE + LOST_PER_MILLE => None,
            _ => Some(Duration::from_secs_f64(answer_s)),
        };
        let known = Call { out: out.clone(), stands: false, answered: None };
        self.process.borrow_mut().calls.insert(call, known);
        let Some(answer) = answer else { return };
        let shared = self.clone();
        self.spawn(async move { shared.carry(call, answer, Duration::from_secs_f64(hold_s)).await });
    }

    async fn carry(self, call: u64, answer: Duration, hold: Duration) {
        sleep(answer).await;
        self.thawed().await;
        {
            let mut process = self.process.borrow_mut();
            let Some(known) = process.calls.get_mut(&call) else { return };
            known.stands = true;
            known.answered = Some(Instant::now());
            let _ = known.out.send(message(kind::ANSWER, call, &[(code::DESCRIPTION, b"v=0\r\n")]));
            self.note(call, Seen::Answered);
        }
        sleep(hold).await;
        self.thawed().await;
        let process = self.process.borrow();
        let Some(known) = process.calls.get(&call) else { return };
        let own = known.out.clone();
        let open =
            process.links.iter().find(|link| link.same_channel(&own)).or(process.links.last()).cloned();
        drop(process);
        match open {
            Some(out) => self.release(call, &out),
            None => {
                self.process.borrow_mut().untold.push(call);
                self.note(call, Seen::Ended { told: false });
            }
        }
    }

    fn release(&self, call: u64, out: &Out) {
        let known = self.process.borrow_mut().calls.remove(&call).is_some();
        if known {
            self.process.borrow_mut().told.push((Instant::now(), call));
            let _ = out.send(message(kind::RELEASE, call, &[(code::CAUSE, &[16])]));
            self.note(call, Seen::Ended { told: true });
        }
    }
}

async fn write_out(mut write: OwnedWriteHalf, mut queue: mpsc::UnboundedReceiver<Vec<u8>>, shared: Shared) {
    loop {
        let next = tokio::select! {
            next = queue.recv() => next,
            () = sleep(STATE_INTERVAL) => Some(shared.state()),
        };
        let Some(bytes) = next else { return };
        shared.thawed().await;
        if write.write_all(&bytes).await.is_err() {
            return;
        }
    }
}

impl Hub {
    /// Starts one; its uid is made of its number and start.
    pub fn start(number: usize, record: &Record, rng: StdRng) -> io::Result<Hub> {
        let reserved = bound(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let mut hub = Hub {
            uid: format!("s-{number}"),
            address: reserved.local_addr()?,
            place: number,
            _reserved: reserved,
            listener: None,
            number,
            process: Rc::new(RefCell::new(Hub::new_process())),
            frozen: watch::Sender::new(false),
            record: record.clone(),
            rng: Rc::new(RefCell::new(rng)),
            accepting: None,
            filling: Vec::new(),
        };
        hub.accept()?;
        Ok(hub)
    }

    fn new_process() -> Process {
        Process {
            calls: HashMap::new(),
            links: Vec::new(),
            untold: Vec::new(),
            told: Vec::new(),
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

    fn accept(&mut self) -> io::Result<()> {
        let listener = match self.listener.take() {
            Some(listener) => listener,
            None => Rc::new(bound(self.address)?.listen(1)?),
        };
        self.listener = Some(listener.clone());
        let shared = self.shared();
        self.accepting = Some(spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                shared.connected(stream);
            }
        }));
        Ok(())
    }

    async fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            accepting.abort();
            let _ = accepting.await;
        }
    }

    /// The process stands still; its kernel goes on accepting connections, as many as its queue takes.
    pub fn hang(&mut self) {
        self.frozen.send_replace(true);
    }

    /// Nothing goes to it or comes from it; new connections never come up, once the accept queue is full.
    pub async fn cut_off(&mut self, queue_takes: usize) {
        self.frozen.send_replace(true);
        self.stop_accepting().await;
        while self.filling.len() + queue_takes < 3 {
            let Ok(Ok(stream)) = timeout(QUEUE_FULL, TcpStream::connect(self.address)).await else { return };
            self.filling.push(stream);
        }
    }

    /// It goes on where it stopped.
    pub fn resume(&mut self) -> io::Result<()> {
        self.filling.clear();
        self.frozen.send_replace(false);
        match self.accepting {
            Some(_) => Ok(()),
            None => self.accept(),
        }
    }

    /// The process has died, whatever the network shows of it: its calls are over.
    pub fn calls_die(&self) {
        let shared = self.shared();
        let mut process = self.process.borrow_mut();
        for (call, known) in std::mem::take(&mut process.calls) {
            shared.note(call, if known.stands { Seen::Died } else { Seen::GivenUp });
        }
    }

    /// All its connections end, with whatever was open on them.
    pub fn end_connections(&self) {
        let mut process = self.process.borrow_mut();
        process.tasks.drain(..).for_each(|task| task.abort());
        process.links.clear();
    }

    /// A new process under the same uid and address, that knows nothing.
    pub async fn start_again(&mut self) -> io::Result<()> {
        self.end_connections();
        self.process = Rc::new(RefCell::new(Hub::new_process()));
        self.filling.clear();
        self.stop_accepting().await;
        self.frozen = watch::Sender::new(false);
        self.accept()
    }

    /// Its process dies: connections end, its calls are over, and new connections are refused.
    pub async fn kill(&mut self) {
        self.calls_die();
        self.stop_accepting().await;
        self.listener = None;
        self.end_connections();
    }
}

/// A socket that keeps an address and may share it with one that listens.
pub(super) fn bound(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
