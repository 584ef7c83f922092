//! Open-loop SIP callers: calls arrive at their scheduled times whether or not earlier calls were answered, and
//! latency is measured from the scheduled start.

use petreldock::net::sip::{self, StartLine};
use petreldock_lab::program::CLASSES;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Duration, Instant};

/// How often a caller redials a refused call, within `CALL_DEADLINE`.
const MAX_REDIALS: u32 = 2;
/// Time from the scheduled start after which a call is not dialled again.
const CALL_DEADLINE: Duration = Duration::from_secs(9);
/// Time that a caller allows for the answer to each dial, sent as Answer-Within.
const DIAL_TIMEOUT: Duration = Duration::from_millis(3150);

/// One call as a caller sees it, over all its dials.
#[derive(Clone, Debug)]
pub struct CallerCall {
    /// The scheduled start.
    pub scheduled_at: Instant,
    /// Index of its class in `CLASSES`.
    pub class: usize,
    /// The place that it is for.
    pub place: usize,
    /// When it was first answered.
    pub answered_at: Option<Instant>,
    /// The controller ended it with a cause other than 16, normal call clearing.
    pub cut: bool,
    /// Number of final responses to each dial, by call id; more than one breaks a rule.
    pub final_responses: HashMap<u64, u32>,
}

impl CallerCall {
    /// The worth of the call's class.
    pub fn worth(&self) -> f64 {
        CLASSES[self.class].2
    }

    /// Whether it was answered within the class's objective and not cut.
    pub fn in_time(&self) -> bool {
        let objective = Duration::from_secs_f64(CLASSES[self.class].1);
        !self.cut && self.answered_at.is_some_and(|at| at - self.scheduled_at <= objective)
    }
}

/// Scheduled calls, generated ahead of the run so that the same seed gives the same calls to every variant.
pub struct Arrivals {
    /// Each call's time from the start, class and place.
    pub calls: Vec<(Duration, usize, usize)>,
}

impl Arrivals {
    /// Generates Poisson arrivals for `length_s` seconds, at `rate(second)` calls per second.
    pub fn generate(seed: u64, length_s: f64, places: usize, rate: impl Fn(f64) -> f64) -> Arrivals {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut at, mut calls) = (0.0, Vec::new());
        while at < length_s {
            at += Exp::new(rate(at).max(0.1)).map_or(0.1, |e| e.sample(&mut rng));
            let class = usize::from(rng.random::<f64>() >= CLASSES[0].3);
            calls.push((Duration::from_secs_f64(at), class, rng.random_range(0..places)));
        }
        Arrivals { calls }
    }
}

/// The callers of one controller.
#[derive(Clone)]
pub struct Callers {
    controller: SocketAddr,
    /// All calls that have started, in order.
    pub calls: Rc<RefCell<Vec<CallerCall>>>,
    /// The call that each call id belongs to, and how often it had been dialled before.
    dials: Rc<RefCell<HashMap<u64, (usize, u32)>>>,
    /// Bytes to write to the connection, while there is one.
    outbound: Rc<RefCell<Option<mpsc::UnboundedSender<Vec<u8>>>>>,
}

impl Callers {
    /// Starts to dial the calls, timed from `start`. `id_prefix` forms the upper bits of the call ids, to keep those
    /// of different callers apart.
    pub fn start(controller: SocketAddr, id_prefix: u64, start: Instant, arrivals: Arrivals) -> Callers {
        let callers =
            Callers { controller, calls: Rc::default(), dials: Rc::default(), outbound: Rc::default() };
        spawn_local(callers.clone().connect());
        let this = callers.clone();
        spawn_local(async move {
            for (after, class, place) in arrivals.calls {
                let scheduled_at = start + after;
                sleep_until(scheduled_at).await;
                let call = CallerCall {
                    scheduled_at,
                    class,
                    place,
                    answered_at: None,
                    cut: false,
                    final_responses: HashMap::new(),
                };
                this.calls.borrow_mut().push(call);
                let index = this.calls.borrow().len() - 1;
                this.dial(index, id_prefix << 40 | (index as u64) << 4, 0);
            }
        });
        callers
    }

    /// Keeps a connection to the controller open, and handles the messages received on it.
    async fn connect(self) {
        loop {
            let Ok(stream) = TcpStream::connect(self.controller).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let (sender, mut outbound) = mpsc::unbounded_channel::<Vec<u8>>();
            *self.outbound.borrow_mut() = Some(sender);
            spawn_local(async move {
                while let Some(bytes) = outbound.recv().await {
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
            let mut input = Vec::new();
            while read.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
                while let Ok(Some(message)) = sip::parse(&input) {
                    let bytes = message.bytes;
                    self.handle_message(&message);
                    input.drain(..bytes);
                }
            }
            *self.outbound.borrow_mut() = None;
        }
    }

    /// Sends a SIP request; `headers` holds further header lines.
    fn send(&self, method: &str, call: u64, headers: &str) {
        let text = format!(
            "{method} sip:{:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP lab\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n{headers}",
            call >> 4
        );
        let body = if method == "INVITE" { "v=0\r\n" } else { "" };
        let text = format!("{text}Content-Length: {}\r\n\r\n{body}", body.len());
        if let Some(outbound) = &*self.outbound.borrow() {
            let _ = outbound.send(text.into_bytes());
        }
    }

    /// Sends an INVITE for a call under a new call id, marked as a repeat when it had been dialled before.
    fn dial(&self, index: usize, call_id: u64, earlier_dials: u32) {
        self.dials.borrow_mut().insert(call_id, (index, earlier_dials));
        let (class, place) = {
            let call = &self.calls.borrow()[index];
            (call.class, call.place)
        };
        let repeat_mark = if earlier_dials > 0 { "Repeat-Mark: 1\r\n" } else { "" };
        self.send(
            "INVITE",
            call_id,
            &format!(
                "Call-Kind: {}\r\nAnswer-Within: {}\r\n{repeat_mark}Routing-Data: dest:{place};width:1;via:-1\r\n",
                CLASSES[class].0,
                DIAL_TIMEOUT.as_millis()
            ),
        );
    }

    /// Handles a message from the controller: records answers and cut calls, and redials refused calls.
    fn handle_message(&self, message: &sip::Message) {
        let call_id = message.header("Call-ID").and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
        let Some((index, earlier_dials)) = self.dials.borrow().get(&call_id).copied() else { return };
        let now = Instant::now();
        match message.start {
            StartLine::Request("BYE", _) => {
                let normal = message.header("Reason").and_then(sip::cause) == Some(16);
                self.calls.borrow_mut()[index].cut |= !normal;
            }
            StartLine::Response(status) if status >= 200 => {
                if message.cseq().is_none_or(|(_, method)| method != "INVITE") {
                    return;
                }
                let mut calls = self.calls.borrow_mut();
                let call = &mut calls[index];
                *call.final_responses.entry(call_id).or_default() += 1;
                if status == 200 {
                    call.answered_at = call.answered_at.or(Some(now));
                    drop(calls);
                    return self.send("ACK", call_id, "");
                }
                let retry_after_ms =
                    message.header("Come-Back-Ms").and_then(|v| v.parse().ok()).unwrap_or(700);
                let redial_at = now + Duration::from_millis(retry_after_ms);
                if earlier_dials < MAX_REDIALS && redial_at < call.scheduled_at + CALL_DEADLINE {
                    let this = self.clone();
                    spawn_local(async move {
                        sleep_until(redial_at).await;
                        this.dial(index, call_id + 1, earlier_dials + 1);
                    });
                }
            }
            _ => {}
        }
    }
}
