//! A short soak with many faults: controller processes that receive signals and are replaced, hubs that freeze, fail,
//! are cut off, reset connections and restart, an unresponsive change log and a burst of callers, all drawn from one
//! seed. The records are checked after the run ([`mod@audit`]).

pub mod audit;
pub mod caller;
pub mod controller;
pub mod hub;

use crate::program::{target_json, ChangeLog, Deployment};
use audit::{audit, Findings, Period, RunFacts};
use caller::{Connection, ConnectionEnd, Requests};
use controller::Controller;
use hub::{Hub, HubRecord};
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

/// Number of controllers.
const CONTROLLERS: usize = 2;
/// Number of hubs.
const HUBS: usize = 3;
/// Number of persistent connections to each controller.
const CONNECTIONS_PER_CONTROLLER: usize = 3;
/// Mean rate of calls to each controller.
const CALLS_PER_SECOND: f64 = 25.0;
/// Class of the calls.
const CLASS: &str = "seat-lookup";
/// Time from SIGTERM to SIGKILL: the longest deadline, of which at most 3 s count, plus 0.7 s.
const SIGKILL_DELAY: Duration = Duration::from_millis(3_700);
/// Callers still reconnect for this long after SIGTERM.
const RECONNECT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(400);
/// Number of callers in a burst.
const BURST_SIZE: usize = 150;
/// Messages that a hub sent before a fault may still be lost for this long after the fault ends.
const FAULT_EFFECT_TIME: Duration = Duration::from_millis(500);
/// Earliest start of faults, in seconds.
const FAULT_START_MIN_S: f64 = 2.0;
/// Latest start of faults, in seconds; early enough for the consequences to be recorded.
const FAULT_START_MAX_S: f64 = 6.0;
/// No call is placed in this many seconds before the end of a run.
const QUIET_TIME_S: f64 = 6.0;
/// Interval of the check whether the run itself stalls.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A run with a longer stall is void.
const MAX_VALID_STALL: Duration = Duration::from_millis(100);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Path of the program.
    pub binary: PathBuf,
    /// Length of the run in seconds.
    pub length_s: f64,
}

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// Log of the actions of the run, with their time in seconds.
    pub actions: Vec<String>,
    /// Findings of the audit.
    pub findings: Findings,
    /// Longest stall of the run itself.
    pub max_stall: Duration,
}

impl Report {
    /// Whether the run stalled for so long that its recorded times are not reliable.
    pub fn is_void(&self) -> bool {
        self.max_stall > MAX_VALID_STALL
    }
}

/// State of a run, shared by its tasks.
#[derive(Clone)]
struct Run {
    start: Instant,
    change_log: ChangeLog,
    facts: Rc<RefCell<RunFacts>>,
    actions: Rc<RefCell<Vec<String>>>,
    record: HubRecord,
    requests: Requests,
    connection_ends: Rc<RefCell<Vec<ConnectionEnd>>>,
    connections: Rc<RefCell<Vec<Rc<Connection>>>>,
    last_call: Rc<Cell<u64>>,
}

impl Run {
    /// Logs an action.
    fn log_action(&self, what: String) {
        let at = self.start.elapsed().as_secs_f64();
        self.actions.borrow_mut().push(format!("{at:6.2} {what}"));
    }

    /// Publishes the state of a hub in the change log.
    fn publish(&self, hub: &Hub, state: &str, boot_ms: u64) {
        self.log_action(format!("change log: {} {state}", hub.uid));
        self.change_log.append(false, &[target_json(&hub.uid, hub.address, hub.place, state, boot_ms)]);
    }

    /// Records a fault of a hub that ends now.
    fn add_fault(&self, hub: usize, from: Instant) {
        let to = Instant::now() + FAULT_EFFECT_TIME;
        self.facts.borrow_mut().hub_faults.push(Period { index: hub, from, to });
    }

    /// Returns the configuration for a controller that starts now.
    fn document(&self, site: &Deployment, controller: usize, address: SocketAddr) -> String {
        let known = self.change_log.since(0);
        let (balancers, places, change_log) = (site.balancers, site.places, site.change_log);
        let starts = self.facts.borrow().process_ends.len() as u64;
        Deployment { balancers, places, change_log, known }.config_json(controller, address, starts)
    }

    /// Returns a new call id, distinct for each controller.
    fn next_call(&self, controller: usize) -> u64 {
        self.last_call.set(self.last_call.get() + 1);
        (controller as u64 + 1) << 40 | self.last_call.get()
    }
}

/// Returns the Unix time in milliseconds.
fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Draws a duration between two bounds in seconds.
fn random_duration(rng: &mut StdRng, from_s: f64, to_s: f64) -> Duration {
    Duration::from_secs_f64(rng.random_range(from_s..to_s))
}

/// Restarts a hub, and publishes the new start with a delay.
async fn restart_hub(run: &Run, hub: &mut Hub, rng: &mut StdRng) -> io::Result<()> {
    hub.restart().await?;
    let boot_ms = unix_ms();
    run.log_action(format!("{} has restarted", hub.uid));
    sleep(random_duration(rng, 0.3, 2.4)).await;
    run.publish(hub, "in_service", boot_ms);
    Ok(())
}

/// Subjects a hub to one randomly drawn fault, from its start to its end.
async fn inject_hub_fault(run: Run, hub: Rc<RefCell<Option<Hub>>>, mut rng: StdRng) -> io::Result<()> {
    let Some(mut hub) = hub.borrow_mut().take() else { return Ok(()) };
    sleep_until(run.start + random_duration(&mut rng, FAULT_START_MIN_S, FAULT_START_MAX_S)).await;
    let (from, number) = (Instant::now(), hub.place);
    match rng.random_range(0..9) {
        0 | 7 | 8 => {
            // A hub that was frozen before has more connections, and may be lost while all of them are open.
            if rng.random_bool(0.6) {
                run.log_action(format!("{} freezes", hub.uid));
                hub.freeze();
                sleep(random_duration(&mut rng, 2.6, 4.0)).await;
                hub.resume()?;
                run.log_action(format!("{} resumes", hub.uid));
                sleep(random_duration(&mut rng, 0.3, 3.0)).await;
            }
            run.log_action(format!("{} fails without closing connections", hub.uid));
            hub.end_all_calls();
            hub.cut_off(rng.random_range(0..3)).await;
            if rng.random_bool(0.7) {
                sleep(random_duration(&mut rng, 8.9, 11.0)).await;
                run.publish(&hub, "terminated", 0);
                sleep(random_duration(&mut rng, 0.5, 2.0)).await;
            } else {
                sleep(random_duration(&mut rng, 2.0, 6.0)).await;
            }
            restart_hub(&run, &mut hub, &mut rng).await?;
        }
        1 => {
            run.log_action(format!("{} freezes, to be killed later", hub.uid));
            hub.freeze();
            sleep(random_duration(&mut rng, 1.0, 7.0)).await;
            hub.kill().await;
            run.log_action(format!("{} is killed", hub.uid));
            sleep(random_duration(&mut rng, 0.9, 3.2)).await;
            run.publish(&hub, "terminated", 0);
            sleep(random_duration(&mut rng, 0.5, 2.0)).await;
            restart_hub(&run, &mut hub, &mut rng).await?;
        }
        2 => {
            run.log_action(format!("{} freezes", hub.uid));
            hub.freeze();
            sleep(random_duration(&mut rng, 1.0, 6.0)).await;
            hub.resume()?;
            run.log_action(format!("{} resumes", hub.uid));
        }
        3 => {
            run.log_action(format!("{} is cut off", hub.uid));
            hub.cut_off(rng.random_range(0..3)).await;
            sleep(random_duration(&mut rng, 1.0, 6.0)).await;
            hub.resume()?;
            run.log_action(format!("{} is reachable again", hub.uid));
        }
        4 => {
            run.log_action(format!("{} is killed", hub.uid));
            hub.kill().await;
            sleep(random_duration(&mut rng, 0.9, 3.2)).await;
            run.publish(&hub, "terminated", 0);
            sleep(random_duration(&mut rng, 0.5, 2.0)).await;
            restart_hub(&run, &mut hub, &mut rng).await?;
        }
        5 => {
            for _ in 0..rng.random_range(2..6) {
                run.log_action(format!("{} resets its connections", hub.uid));
                hub.close_connections();
                sleep(random_duration(&mut rng, 0.2, 1.5)).await;
            }
        }
        _ => {
            run.publish(&hub, "terminating", 0);
            let drained_at = Instant::now();
            sleep(random_duration(&mut rng, 3.0, 6.0)).await;
            run.facts.borrow_mut().hub_drains.push(Period {
                index: number,
                from: drained_at,
                to: Instant::now(),
            });
            hub.kill().await;
            run.log_action(format!("{} exits after its drain", hub.uid));
            restart_hub(&run, &mut hub, &mut rng).await?;
        }
    }
    run.add_fault(number, from);
    // Keeps the hub alive until the end of the run.
    std::future::pending().await
}

/// Sends a series of signals to a controller, and restarts it if they end its process.
async fn send_signals(
    run: Run,
    number: usize,
    mut controller: Controller,
    site: Rc<Deployment>,
    mut rng: StdRng,
) -> io::Result<()> {
    let offset_s = number as f64 * 1.5;
    sleep_until(
        run.start + random_duration(&mut rng, FAULT_START_MIN_S + offset_s, FAULT_START_MAX_S + offset_s),
    )
    .await;
    for _ in 0..rng.random_range(0..4) {
        run.log_action(format!("HUP to n{number}"));
        controller.signal("-HUP");
        sleep(random_duration(&mut rng, 0.1, 0.6)).await;
    }
    match rng.random_range(0..4) {
        0 => {
            run.log_action(format!("STOP and CONT to n{number}"));
            controller.signal("-STOP");
            sleep(random_duration(&mut rng, 0.1, 0.35)).await;
            controller.signal("-CONT");
        }
        1 => {
            run.log_action(format!("KILL to n{number}"));
            controller.kill();
            run.facts.borrow_mut().process_ends.push((number, Instant::now()));
            controller.start(&run.document(&site, number, controller.address)).await?;
        }
        2 | 3 => shut_down_and_restart(&run, number, &mut controller, &site).await?,
        _ => {}
    }
    loop {
        sleep(Duration::from_millis(200)).await;
        if controller.poll_exit().is_some() {
            run.facts.borrow_mut().process_ends.push((number, Instant::now()));
            run.log_action(format!("n{number} has exited by itself"));
            return Err(io::Error::other(format!("n{number} has exited by itself")));
        }
    }
}

/// Sends SIGTERM, and SIGKILL after the shortest delay allowed, while calls continue; then restarts the controller.
async fn shut_down_and_restart(
    run: &Run,
    number: usize,
    controller: &mut Controller,
    site: &Deployment,
) -> io::Result<()> {
    run.log_action(format!("TERM to n{number}"));
    let from = Instant::now();
    controller.signal("-TERM");
    let pause_reconnects = |connections: &[Rc<Connection>], paused: bool| {
        connections.iter().filter(|c| c.controller() == number).for_each(|c| c.pause_reconnects(paused));
    };
    sleep(RECONNECT_TIME_AFTER_SIGTERM).await;
    pause_reconnects(&run.connections.borrow(), true);
    let mut ended = None;
    while Instant::now() < from + SIGKILL_DELAY && ended.is_none() {
        sleep(Duration::from_millis(1)).await;
        ended = controller.poll_exit();
    }
    let to = Instant::now();
    controller.kill();
    run.log_action(format!("n{number} {}", if ended.is_some() { "has exited" } else { "is killed" }));
    run.facts.borrow_mut().process_ends.push((number, to));
    run.facts.borrow_mut().planned_shutdowns.push(Period { index: number, from, to });
    controller.start(&run.document(site, number, controller.address)).await?;
    pause_reconnects(&run.connections.borrow(), false);
    Ok(())
}

/// Places calls to a controller at random times, regardless of how it responds (open loop).
async fn place_calls(run: Run, controller: usize, length_s: f64, mut rng: StdRng) {
    let mut at = run.start;
    loop {
        let interval_s = Exp::new(CALLS_PER_SECOND).map_or(1.0 / CALLS_PER_SECOND, |e| e.sample(&mut rng));
        at += Duration::from_secs_f64(interval_s);
        if at > run.start + Duration::from_secs_f64(length_s - QUIET_TIME_S) {
            return;
        }
        sleep_until(at).await;
        let connections: Vec<Rc<Connection>> = {
            let all = run.connections.borrow();
            all.iter().filter(|c| c.controller() == controller && c.is_open()).cloned().collect()
        };
        let (nth, answer_timeout) =
            (rng.random_range(0..CONNECTIONS_PER_CONTROLLER * 2), random_duration(&mut rng, 0.8, 3.0));
        let (place, cancels) = (rng.random_range(0..HUBS), rng.random_bool(0.02));
        let Some(connection) = connections.get(nth % connections.len().max(1)).cloned() else { continue };
        let call = run.next_call(controller);
        connection.invite(call, CLASS, place, answer_timeout);
        if cancels {
            let delay = random_duration(&mut rng, 0.0, 0.1);
            spawn_local(async move {
                sleep(delay).await;
                connection.cancel(call);
            });
        }
    }
}

/// Places a burst of calls to a controller, each on a connection of its own.
async fn place_burst(run: Run, controller: usize, address: SocketAddr, mut rng: StdRng) {
    sleep_until(run.start + random_duration(&mut rng, FAULT_START_MIN_S, FAULT_START_MAX_S + 2.0)).await;
    run.log_action(format!("burst of calls to n{controller}"));
    for number in 0..BURST_SIZE {
        let id = CONNECTIONS_PER_CONTROLLER + number;
        let connection = Connection::start(controller, id, address, &run.requests, &run.connection_ends);
        connection.disable_reconnects();
        let (run, place) = (run.clone(), rng.random_range(0..HUBS));
        spawn_local(async move {
            let deadline = Instant::now() + Duration::from_secs(1);
            while !connection.is_open() && Instant::now() < deadline {
                sleep(Duration::from_millis(2)).await;
            }
            let call = run.next_call(controller);
            connection.invite(call, CLASS, place, Duration::from_secs(2));
            std::future::pending::<()>().await;
        });
    }
}

/// Makes the change log unresponsive for a while.
async fn suspend_change_log(run: Run, mut rng: StdRng) {
    sleep_until(run.start + random_duration(&mut rng, FAULT_START_MIN_S, FAULT_START_MAX_S)).await;
    run.log_action("the change log stops responding".into());
    run.change_log.set_unresponsive(true);
    let from = Instant::now();
    sleep(random_duration(&mut rng, 1.0, 4.0)).await;
    run.change_log.set_unresponsive(false);
    run.facts.borrow_mut().change_log_outages.push((from, Instant::now()));
    run.log_action("the change log responds again".into());
}

/// Starts a task that measures the longest stall of the run itself.
fn watch_for_stalls(max_stall: &Rc<Cell<Duration>>) -> JoinHandle<()> {
    let max_stall = max_stall.clone();
    spawn_local(async move {
        loop {
            let due = Instant::now() + STALL_CHECK_INTERVAL;
            sleep_until(due).await;
            max_stall.set(max_stall.get().max(Instant::now() - due));
        }
    })
}

/// Runs the soak with one seed. Must be called on a [`tokio::task::LocalSet`] of its own.
///
/// # Errors
/// If a socket, a process or a file of the run cannot be set up.
pub async fn run(plan: &Plan, seed: u64, folder: &Path) -> io::Result<Report> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut next_rng = || StdRng::seed_from_u64(rng.random());
    let change_log = ChangeLog::default();
    let change_log_address = change_log.start().await?;
    let record = HubRecord::default();
    let mut hubs = Vec::new();
    for number in 0..HUBS {
        hubs.push(Hub::start(number, &record, next_rng())?);
    }
    let targets: Vec<String> =
        hubs.iter().map(|h| target_json(&h.uid, h.address, h.place, "in_service", 0)).collect();
    change_log.append(true, &targets);
    let site = Deployment {
        balancers: CONTROLLERS,
        places: HUBS,
        change_log: change_log_address,
        known: change_log.since(0),
    };
    let mut controllers = Vec::new();
    for index in 0..CONTROLLERS {
        let mut controller = Controller::new(&plan.binary, folder, index)?;
        controller.start(&site.config_json(index, controller.address, seed)).await?;
        controllers.push(controller);
    }
    let site = Rc::new(site);
    let run = Run {
        start: Instant::now(),
        change_log,
        facts: Rc::default(),
        actions: Rc::default(),
        record,
        requests: Rc::default(),
        connection_ends: Rc::default(),
        connections: Rc::default(),
        last_call: Rc::default(),
    };
    let max_stall = Rc::new(Cell::new(Duration::ZERO));
    let mut tasks = vec![watch_for_stalls(&max_stall)];
    let burst_controller = seed.is_multiple_of(4).then_some(seed as usize / 4 % CONTROLLERS);
    let mut fault_tasks = Vec::new();
    for (index, controller) in controllers.into_iter().enumerate() {
        let address = controller.address;
        for number in 0..CONNECTIONS_PER_CONTROLLER {
            let connection = Connection::start(index, number, address, &run.requests, &run.connection_ends);
            run.connections.borrow_mut().push(connection);
        }
        tasks.push(spawn_local(place_calls(run.clone(), index, plan.length_s, next_rng())));
        if burst_controller == Some(index) {
            tasks.push(spawn_local(place_burst(run.clone(), index, address, next_rng())));
        }
        fault_tasks.push(spawn_local(send_signals(run.clone(), index, controller, site.clone(), next_rng())));
    }
    // At least one hub stays without faults.
    let faulty_count = 1 + seed as usize % (HUBS - 1);
    let hubs: Vec<Rc<RefCell<Option<Hub>>>> =
        hubs.into_iter().map(|h| Rc::new(RefCell::new(Some(h)))).collect();
    for hub in hubs.iter().take(faulty_count) {
        fault_tasks.push(spawn_local(inject_hub_fault(run.clone(), hub.clone(), next_rng())));
    }
    if seed % 5 < 2 {
        tasks.push(spawn_local(suspend_change_log(run.clone(), next_rng())));
    }
    sleep_until(run.start + Duration::from_secs_f64(plan.length_s)).await;
    run.facts.borrow_mut().end = Some(Instant::now());
    run.facts.borrow_mut().max_stall = max_stall.get();
    let mut failures = Vec::new();
    for task in fault_tasks {
        if task.is_finished() {
            if let Ok(Err(error)) = task.await {
                failures.push(error.to_string());
            }
        } else {
            task.abort();
            let _ = task.await;
        }
    }
    tasks.iter().for_each(JoinHandle::abort);
    let mut findings = audit(
        &run.requests.borrow(),
        &run.connection_ends.borrow(),
        &run.record.borrow(),
        &run.facts.borrow(),
    );
    findings.violations.extend(failures);
    let actions = run.actions.borrow().clone();
    Ok(Report { actions, findings, max_stall: max_stall.get() })
}
