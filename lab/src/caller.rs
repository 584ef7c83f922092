//! Open-loop SIP callers: arrivals don't wait for answers, and time counts from the intended start.

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

/// Callers dial again so often, within the class's time.
const REDIALS: u32 = 2;
const DEADLINE: Duration = Duration::from_secs(9);
/// A try is given up after this.
const TRY: Duration = Duration::from_millis(3150);

/// One caller's wish, over all its tries.
#[derive(Clone, Debug)]
pub struct Wish {
    pub intended: Instant,
    pub class: usize,
    pub place: usize,
    /// When it stood, if it did.
    pub stood: Option<Instant>,
    /// It stood and was cut.
    pub cut: bool,
    /// Final answers of each try, for the audit: never more than one.
    pub finals: HashMap<u64, u32>,
}

impl Wish {
    pub fn worth(&self) -> f64 {
        CLASSES[self.class].2
    }

    pub fn in_time(&self) -> bool {
        let aim = Duration::from_secs_f64(CLASSES[self.class].1);
        !self.cut && self.stood.is_some_and(|at| at - self.intended <= aim)
    }
}

/// When calls come, drawn ahead: the same seed gives the same calls to every variant.
pub struct Arrivals {
    /// Each call's time after the start, class and place.
    pub calls: Vec<(Duration, usize, usize)>,
}

impl Arrivals {
    /// Draws calls for so long at `rate(second)` a second.
    pub fn draw(seed: u64, length: f64, places: usize, rate: impl Fn(f64) -> f64) -> Arrivals {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut at, mut calls) = (0.0, Vec::new());
        while at < length {
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
    to: SocketAddr,
    pub wishes: Rc<RefCell<Vec<Wish>>>,
    /// Which wish each call id belongs to, and the number of its try.
    tries: Rc<RefCell<HashMap<u64, (usize, u32)>>>,
    out: Rc<RefCell<Option<mpsc::UnboundedSender<Vec<u8>>>>>,
}

impl Callers {
    pub fn start(to: SocketAddr, salt: u64, start: Instant, arrivals: Arrivals) -> Callers {
        let callers = Callers { to, wishes: Rc::default(), tries: Rc::default(), out: Rc::default() };
        spawn_local(callers.clone().connect());
        let this = callers.clone();
        spawn_local(async move {
            for (after, class, place) in arrivals.calls {
                let intended = start + after;
                sleep_until(intended).await;
                let wish = Wish { intended, class, place, stood: None, cut: false, finals: HashMap::new() };
                this.wishes.borrow_mut().push(wish);
                let nth = this.wishes.borrow().len() - 1;
                this.dial(nth, salt << 40 | (nth as u64) << 4, 0);
            }
        });
        callers
    }

    /// Keeps a connection up, and takes in what comes on it.
    async fn connect(self) {
        loop {
            let Ok(stream) = TcpStream::connect(self.to).await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let (mut read, mut write) = stream.into_split();
            let (sender, mut out) = mpsc::unbounded_channel::<Vec<u8>>();
            *self.out.borrow_mut() = Some(sender);
            spawn_local(async move {
                while let Some(bytes) = out.recv().await {
                    if write.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            });
            let mut input = Vec::new();
            while read.read_buf(&mut input).await.is_ok_and(|n| n > 0) {
                while let Ok(Some(message)) = sip::parse(&input) {
                    let bytes = message.bytes;
                    self.hear(&message);
                    input.drain(..bytes);
                }
            }
            *self.out.borrow_mut() = None;
        }
    }

    fn send(&self, method: &str, call: u64, more: &str) {
        let text = format!(
            "{method} sip:{:x}@net SIP/2.0\r\nVia: SIP/2.0/TCP lab\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n{more}",
            call >> 4
        );
        let body = if method == "INVITE" { "v=0\r\n" } else { "" };
        let text = format!("{text}Content-Length: {}\r\n\r\n{body}", body.len());
        if let Some(out) = &*self.out.borrow() {
            let _ = out.send(text.into_bytes());
        }
    }

    fn dial(&self, nth: usize, call: u64, tries: u32) {
        self.tries.borrow_mut().insert(call, (nth, tries));
        let (class, place) = {
            let wish = &self.wishes.borrow()[nth];
            (wish.class, wish.place)
        };
        let mark = if tries > 0 { "Repeat-Mark: 1\r\n" } else { "" };
        self.send(
            "INVITE",
            call,
            &format!(
                "Call-Kind: {}\r\nAnswer-Within: {}\r\n{mark}Routing-Data: dest:{place};width:1;via:-1\r\n",
                CLASSES[class].0,
                TRY.as_millis()
            ),
        );
    }

    fn hear(&self, message: &sip::Message) {
        let call = message.header("Call-ID").and_then(|v| u64::from_str_radix(v, 16).ok()).unwrap_or(0);
        let Some((nth, tries)) = self.tries.borrow().get(&call).copied() else { return };
        let now = Instant::now();
        match message.start {
            StartLine::Request("BYE", _) => {
                let normal = message.header("Reason").and_then(sip::cause) == Some(16);
                self.wishes.borrow_mut()[nth].cut |= !normal;
            }
            StartLine::Response(status) if status >= 200 => {
                if message.cseq().is_none_or(|(_, method)| method != "INVITE") {
                    return;
                }
                let mut wishes = self.wishes.borrow_mut();
                let wish = &mut wishes[nth];
                *wish.finals.entry(call).or_default() += 1;
                if status == 200 {
                    wish.stood = wish.stood.or(Some(now));
                    drop(wishes);
                    return self.send("ACK", call, "");
                }
                let away = message.header("Come-Back-Ms").and_then(|v| v.parse().ok()).unwrap_or(700);
                let again = now + Duration::from_millis(away);
                if tries < REDIALS && again < wish.intended + DEADLINE {
                    let this = self.clone();
                    spawn_local(async move {
                        sleep_until(again).await;
                        this.dial(nth, call + 1, tries + 1);
                    });
                }
            }
            _ => {}
        }
    }
}
