//! A short, dense soak: a few started controllers, hubs that hang, vanish, are cut off, reset and replaced, signals
//! in series, a silent change log and a crowd of callers, all drawn from one seed. The records are judged after the
//! run ([`mod@audit`]).

pub mod audit;
pub mod caller;
pub mod controller;
pub mod hub;

use crate::program::{target_json, ChangeLog, Deployment};
use audit::{audit, Findings, Known, Span};
use caller::{Connection, Ended, Requests};
use controller::Controller;
use hub::{Hub, Record};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Duration, Instant};

const CONTROLLERS: usize = 2;
const HUBS: usize = 3;
const CONNECTIONS: usize = 3;
/// Calls a second that the callers of one controller bring.
const RATE: f64 = 25.0;
const CLASS: &str = "seat-lookup";
/// SIGKILL comes this long after SIGTERM: the longest deadline, counted as 3 s at most, and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// New connections come for so long after SIGTERM.
const CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(400);
const CROWD: usize = 150;
/// What a frozen or reset hub said before may still be lost so long after it goes on.
const FAULT_TAIL: Duration = Duration::from_millis(500);
/// Faults begin in this part of a run, in seconds, and are over early enough for their consequences to be judged.
const FAULTS_FROM_S: f64 = 2.0;
const FAULTS_TO_S: f64 = 6.0;
/// Calls come until so long before the end of a run.
const QUIET_END_S: f64 = 6.0;
/// How often the run looks whether it is held up, and how much of that makes a run void.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
const MAX_HELD_UP: Duration = Duration::from_millis(100);

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The program.
    pub binary: PathBuf,
    /// How long a run takes, in seconds.
    pub length_s: f64,
}

/// What a run showed.
#[derive(Debug)]
pub struct Report {
    /// What was done, and when.
    pub script: Vec<String>,
    pub findings: Findings,
    /// The longest that the run itself was held up.
    pub held_up: Duration,
}

impl Report {
    /// The run was held up for so long that its times prove nothing.
    pub fn is_void(&self) -> bool {
        self.held_up > MAX_HELD_UP
    }
}

/// A run's parties and what is known of them.
#[derive(Clone)]
struct Run {
    start: Instant,
    log: ChangeLog,
    known: Rc<RefCell<Known>>,
    script: Rc<RefCell<Vec<String>>>,
    record: Record,
    requests: Requests,
    ended: Rc<RefCell<Vec<Ended>>>,
    connections: Rc<RefCell<Vec<Rc<Connection>>>>,
    calls: Rc<Cell<u64>>,
}

impl Run {
    fn say(&self, what: String) {
        let at = self.start.elapsed().as_secs_f64();
        self.script.borrow_mut().push(format!("{at:6.2} {what}"));
    }

    fn tell(&self, hub: &Hub, state: &str, boot_ms: u64) {
        self.say(format!("list: {} {state}", hub.uid));
        self.log.append(false, &[target_json(&hub.uid, hub.address, hub.place, state, boot_ms)]);
    }

    fn fault(&self, hub: usize, from: Instant) {
        let to = Instant::now() + FAULT_TAIL;
        self.known.borrow_mut().faults.push(Span { whose: hub, from, to });
    }

    /// The configuration of a controller that starts now.
    fn document(&self, site: &Deployment, controller: usize, address: SocketAddr) -> String {
        let known = self.log.since(0);
        let (balancers, places, change_log) = (site.balancers, site.places, site.change_log);
        let starts = self.known.borrow().kills.len() as u64;
        Deployment { balancers, places, change_log, known }.config_json(controller, address, starts)
    }

    fn next_call(&self, controller: usize) -> u64 {
        self.calls.set(self.calls.get() + 1);
        (controller as u64 + 1) << 40 | self.calls.get()
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

fn span(rng: &mut StdRng, from_s: f64, to_s: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(from_s..to_s))
}

/// A new process at the hub's address, told a little later.
async fn comes_back(run: &Run, hub: &mut Hub, rng: &mut StdRng) -> io::Result<()> {
    hub.start_again().await?;
    let boot_ms = unix_ms();
    run.say(format!("{} is back as a new process", hub.uid));
    sleep(span(rng, 0.3, 2.4)).await;
    run.tell(hub, "in_service", boot_ms);
    Ok(())
}

/// One trouble of one hub, from its beginning to its end.
async fn trouble(run: Run, hub: Rc<RefCell<Option<Hub>>>, mut rng: StdRng) -> io::Result<()> {
    let Some(mut hub) = hub.borrow_mut().take() else { return Ok(()) };
    sleep_until(run.start + span(&mut rng, FAULTS_FROM_S, FAULTS_TO_S)).await;
    let (from, number) = (Instant::now(), hub.place);
    match rng.random_range(0..9) {
        0 | 7 | 8 => {
            // A hub that hung has more connections, and may be lost with all of them open.
            if rng.random_bool(0.6) {
                run.say(format!("{} hangs", hub.uid));
                hub.hang();
                sleep(span(&mut rng, 2.6, 4.0)).await;
                hub.resume()?;
                run.say(format!("{} goes on", hub.uid));
                sleep(span(&mut rng, 0.3, 3.0)).await;
            }
            run.say(format!("{} vanishes", hub.uid));
            hub.calls_die();
            hub.cut_off(rng.random_range(0..3)).await;
            if rng.random_bool(0.7) {
                sleep(span(&mut rng, 8.9, 11.0)).await;
                run.tell(&hub, "terminated", 0);
                sleep(span(&mut rng, 0.5, 2.0)).await;
            } else {
                sleep(span(&mut rng, 2.0, 6.0)).await;
            }
            comes_back(&run, &mut hub, &mut rng).await?;
        }
        1 => {
            run.say(format!("{} hangs, and is killed later", hub.uid));
            hub.hang();
            sleep(span(&mut rng, 1.0, 7.0)).await;
            hub.kill().await;
            run.say(format!("{} is killed", hub.uid));
            sleep(span(&mut rng, 0.9, 3.2)).await;
            run.tell(&hub, "terminated", 0);
            sleep(span(&mut rng, 0.5, 2.0)).await;
            comes_back(&run, &mut hub, &mut rng).await?;
        }
        2 => {
            run.say(format!("{} hangs", hub.uid));
            hub.hang();
            sleep(span(&mut rng, 1.0, 6.0)).await;
            hub.resume()?;
            run.say(format!("{} goes on", hub.uid));
        }
        3 => {
            run.say(format!("{} is cut off", hub.uid));
            hub.cut_off(rng.random_range(0..3)).await;
            sleep(span(&mut rng, 1.0, 6.0)).await;
            hub.resume()?;
            run.say(format!("{} is reached again", hub.uid));
        }
        4 => {
            run.say(format!("{} is killed", hub.uid));
            hub.kill().await;
            sleep(span(&mut rng, 0.9, 3.2)).await;
            run.tell(&hub, "terminated", 0);
            sleep(span(&mut rng, 0.5, 2.0)).await;
            comes_back(&run, &mut hub, &mut rng).await?;
        }
        5 => {
            for _ in 0..rng.random_range(2..6) {
                run.say(format!("{} resets its connections", hub.uid));
                hub.end_connections();
                sleep(span(&mut rng, 0.2, 1.5)).await;
            }
        }
        _ => {
            run.tell(&hub, "terminating", 0);
            let told = Instant::now();
            sleep(span(&mut rng, 3.0, 6.0)).await;
            run.known.borrow_mut().drains.push(Span { whose: number, from: told, to: Instant::now() });
            hub.kill().await;
            run.say(format!("{} ends", hub.uid));
            comes_back(&run, &mut hub, &mut rng).await?;
        }
    }
    run.fault(number, from);
    // Kept to the end of the run.
    std::future::pending().await
}

/// A series of signals to one controller.
async fn signals(
    run: Run,
    number: usize,
    mut controller: Controller,
    site: Rc<Deployment>,
    mut rng: StdRng,
) -> io::Result<()> {
    let shift = number as f64 * 1.5;
    sleep_until(run.start + span(&mut rng, FAULTS_FROM_S + shift, FAULTS_TO_S + shift)).await;
    for _ in 0..rng.random_range(0..4) {
        run.say(format!("HUP to n{number}"));
        controller.signal("-HUP");
        sleep(span(&mut rng, 0.1, 0.6)).await;
    }
    match rng.random_range(0..4) {
        0 => {
            run.say(format!("STOP and CONT to n{number}"));
            controller.signal("-STOP");
            sleep(span(&mut rng, 0.1, 0.35)).await;
            controller.signal("-CONT");
        }
        1 => {
            run.say(format!("KILL to n{number}"));
            controller.kill();
            run.known.borrow_mut().kills.push((number, Instant::now()));
            controller.start(&run.document(&site, number, controller.address)).await?;
        }
        2 | 3 => planned_end(&run, number, &mut controller, &site).await?,
        _ => {}
    }
    loop {
        sleep(Duration::from_millis(200)).await;
        if controller.has_ended().is_some() {
            run.known.borrow_mut().kills.push((number, Instant::now()));
            run.say(format!("n{number} has ended by itself"));
            return Err(io::Error::other(format!("n{number} has ended by itself")));
        }
    }
}

/// SIGTERM, and SIGKILL at the earliest moment, while callers go on.
async fn planned_end(
    run: &Run,
    number: usize,
    controller: &mut Controller,
    site: &Deployment,
) -> io::Result<()> {
    run.say(format!("TERM to n{number}"));
    let from = Instant::now();
    controller.signal("-TERM");
    let own = |connections: &[Rc<Connection>], away: bool| {
        connections.iter().filter(|c| c.controller() == number).for_each(|c| c.set_away(away));
    };
    sleep(CONNECTIONS_AFTER_TERM).await;
    own(&run.connections.borrow(), true);
    let mut ended = None;
    while Instant::now() < from + KILL_AFTER && ended.is_none() {
        sleep(Duration::from_millis(1)).await;
        ended = controller.has_ended();
    }
    let to = Instant::now();
    controller.kill();
    run.say(format!("n{number} {}", if ended.is_some() { "has ended" } else { "is killed" }));
    run.known.borrow_mut().kills.push((number, to));
    run.known.borrow_mut().planned.push(Span { whose: number, from, to });
    controller.start(&run.document(site, number, controller.address)).await?;
    own(&run.connections.borrow(), false);
    Ok(())
}

/// Open-loop callers of one controller.
async fn calls(run: Run, controller: usize, length_s: f64, mut rng: StdRng) {
    let mut at = run.start;
    loop {
        let gap = Exp::new(RATE).map_or(1.0 / RATE, |e| e.sample(&mut rng));
        at += Duration::from_secs_f64(gap);
        if at > run.start + Duration::from_secs_f64(length_s - QUIET_END_S) {
            return;
        }
        sleep_until(at).await;
        let connections: Vec<Rc<Connection>> = {
            let all = run.connections.borrow();
            all.iter().filter(|c| c.controller() == controller && c.is_open()).cloned().collect()
        };
        let (nth, within) = (rng.random_range(0..CONNECTIONS * 2), span(&mut rng, 0.8, 3.0));
        let (place, leaves) = (rng.random_range(0..HUBS), rng.random_bool(0.02));
        let Some(connection) = connections.get(nth % connections.len().max(1)).cloned() else { continue };
        let call = run.next_call(controller);
        connection.invite(call, CLASS, place, within);
        if leaves {
            let patience = span(&mut rng, 0.0, 0.1);
            spawn_local(async move {
                sleep(patience).await;
                connection.cancel(call);
            });
        }
    }
}

/// A crowd on connections of its own, all at once.
async fn crowd(run: Run, controller: usize, address: SocketAddr, mut rng: StdRng) {
    sleep_until(run.start + span(&mut rng, FAULTS_FROM_S, FAULTS_TO_S + 2.0)).await;
    run.say(format!("a crowd comes to n{controller}"));
    for number in 0..CROWD {
        let id = CONNECTIONS + number;
        let connection = Connection::start(controller, id, address, &run.requests, &run.ended);
        connection.leave_for_good();
        let (run, place) = (run.clone(), rng.random_range(0..HUBS));
        spawn_local(async move {
            let by = Instant::now() + Duration::from_secs(1);
            while !connection.is_open() && Instant::now() < by {
                sleep(Duration::from_millis(2)).await;
            }
            let call = run.next_call(controller);
            connection.invite(call, CLASS, place, Duration::from_secs(2));
            std::future::pending::<()>().await;
        });
    }
}

/// Leaves polls of the change log without an answer for a while.
async fn silence_of_the_log(run: Run, mut rng: StdRng) {
    sleep_until(run.start + span(&mut rng, FAULTS_FROM_S, FAULTS_TO_S)).await;
    run.say("the change log falls silent".into());
    run.log.set_unresponsive(true);
    let from = Instant::now();
    sleep(span(&mut rng, 1.0, 4.0)).await;
    run.log.set_unresponsive(false);
    run.known.borrow_mut().silences.push((from, Instant::now()));
    run.say("the change log answers again".into());
}

/// Watches by how much the run itself is held up.
fn watch(held_up: &Rc<Cell<Duration>>) -> JoinHandle<()> {
    let held_up = held_up.clone();
    spawn_local(async move {
        loop {
            let due = Instant::now() + WATCH_INTERVAL;
            sleep_until(due).await;
            held_up.set(held_up.get().max(Instant::now() - due));
        }
    })
}

/// Plays one seed; to be called on a local set of its own.
pub async fn play(plan: &Plan, seed: u64, folder: &Path) -> io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut split = || StdRng::seed_from_u64(rng.random());
    let log = ChangeLog::default();
    let change_log = log.start().await?;
    let record = Record::default();
    let mut hubs = Vec::new();
    for number in 0..HUBS {
        hubs.push(Hub::start(number, &record, split())?);
    }
    let up: Vec<String> =
        hubs.iter().map(|h| target_json(&h.uid, h.address, h.place, "in_service", 0)).collect();
    log.append(true, &up);
    let site = Deployment { balancers: CONTROLLERS, places: HUBS, change_log, known: log.since(0) };
    let mut controllers = Vec::new();
    for index in 0..CONTROLLERS {
        let mut controller = Controller::new(&plan.binary, folder, index)?;
        controller.start(&site.config_json(index, controller.address, seed)).await?;
        controllers.push(controller);
    }
    let site = Rc::new(site);
    let run = Run {
        start: Instant::now(),
        log,
        known: Rc::default(),
        script: Rc::default(),
        record,
        requests: Rc::default(),
        ended: Rc::default(),
        connections: Rc::default(),
        calls: Rc::default(),
    };
    let held_up = Rc::new(Cell::new(Duration::ZERO));
    let mut tasks = vec![watch(&held_up)];
    let crowded = seed.is_multiple_of(4).then_some(seed as usize / 4 % CONTROLLERS);
    let mut acting = Vec::new();
    for (index, controller) in controllers.into_iter().enumerate() {
        let address = controller.address;
        for number in 0..CONNECTIONS {
            let connection = Connection::start(index, number, address, &run.requests, &run.ended);
            run.connections.borrow_mut().push(connection);
        }
        tasks.push(spawn_local(calls(run.clone(), index, plan.length_s, split())));
        if crowded == Some(index) {
            tasks.push(spawn_local(crowd(run.clone(), index, address, split())));
        }
        acting.push(spawn_local(signals(run.clone(), index, controller, site.clone(), split())));
    }
    // At least one hub has no trouble.
    let troubled = 1 + seed as usize % (HUBS - 1);
    let hubs: Vec<Rc<RefCell<Option<Hub>>>> =
        hubs.into_iter().map(|h| Rc::new(RefCell::new(Some(h)))).collect();
    for hub in hubs.iter().take(troubled) {
        acting.push(spawn_local(trouble(run.clone(), hub.clone(), split())));
    }
    if seed % 5 < 2 {
        tasks.push(spawn_local(silence_of_the_log(run.clone(), split())));
    }
    sleep_until(run.start + Duration::from_secs_f64(plan.length_s)).await;
    run.known.borrow_mut().end = Some(Instant::now());
    run.known.borrow_mut().held_up = held_up.get();
    let mut failed = Vec::new();
    for task in acting {
        if task.is_finished() {
            if let Ok(Err(error)) = task.await {
                failed.push(error.to_string());
            }
        } else {
            task.abort();
            let _ = task.await;
        }
    }
    tasks.iter().for_each(JoinHandle::abort);
    let mut findings =
        audit(&run.requests.borrow(), &run.ended.borrow(), &run.record.borrow(), &run.known.borrow());
    findings.broken.extend(failed);
    let script = run.script.borrow().clone();
    Ok(Report { script, findings, held_up: held_up.get() })
}
