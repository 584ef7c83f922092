//! The session controller: wiring and signals only.

#![forbid(unsafe_code)]

use clap::Parser;
use petreldock::cli::{self, Arguments, Command};
use petreldock::config::{Config, ConfigError, Iax2Hub, StateConfig};
use petreldock::core::{self, Clock, Core, FrontId, Hub, Input, LoadSummary, Status};
use petreldock::fleet::task;
use petreldock::iax2;
use petreldock::interface::{Micros, Phase};
use petreldock::net::connection_limit::ConnectionLimit;
use petreldock::net::shared_count::SharedCount;
use petreldock::net::{change_log_poller, hub, sip_server};
use petreldock::{metrics, state, telemetry};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use tokio::net::{TcpSocket, UdpSocket};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Duration, Instant};

/// How an IAX2 hub's endpoint begins, towards the core.
const IAX2: &str = "iax2:";
/// After SIGTERM callers still come for a while; nothing ends before this.
const STAY: Duration = Duration::from_millis(800);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline, but counted as this at most, and
const DEADLINE_MOST: Duration = Duration::from_secs(3);
/// ... this together.
const KILLED_AFTER: Duration = Duration::from_millis(700);
/// What is still open so long before SIGKILL is refused,
const REFUSED_BEFORE: Duration = Duration::from_millis(500);
/// ... and the program ends so long before it, with whatever is not written then.
const ENDED_BEFORE: Duration = Duration::from_millis(200);
/// ... and so long before it where deadlines are so short that it would not stay for [`STAY`].
const ENDED_BEFORE_SHORT: Duration = Duration::from_millis(100);
/// The program ends once nothing was owed for so long: what came meanwhile, or is under way elsewhere, counts.
const QUIET: Duration = Duration::from_millis(100);
/// ... and so many looks found nothing, however long one of them took on a short processor.
const LOOKS: u32 = 4;
/// How often it is looked whether anything is owed at the end.
const OWED_EVERY: Duration = Duration::from_millis(10);
/// What was learnt is waited for no longer at the end: SIGKILL is near.
const HAND_OVER: Duration = Duration::from_millis(250);

/// How long after SIGTERM what is left comes to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Ending {
    /// What is still open is refused.
    refused: Duration,
    /// The program ends.
    over: Duration,
}

impl Ending {
    /// In time for the SIGKILL, which comes the sooner the shorter the longest deadline is.
    fn before_kill(longest: Option<Micros>) -> Ending {
        let longest = Duration::from_micros(longest.unwrap_or_default().0);
        let killed = longest.min(DEADLINE_MOST) + KILLED_AFTER;
        let stay = STAY.min(killed.saturating_sub(ENDED_BEFORE_SHORT));
        let over = killed.saturating_sub(ENDED_BEFORE).max(stay);
        Ending { refused: over.saturating_sub(REFUSED_BEFORE - ENDED_BEFORE), over }
    }
}

fn configured() -> Result<Config, ConfigError> {
    Config::from_environment(|name| std::env::var(name).ok())
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => serve(),
        Command::Check => configured().map_err(|e| e.to_string()).map(|config| {
            print!("{}", cli::check(&config));
            true
        }),
        Command::Fleet(command) => cli::on_fleet(&command).map(|printed| {
            print!("{}", printed.text);
            printed.good
        }),
        Command::State(command) => cli::on_state(&command, Clock::system().now()).map(|printed| {
            print!("{}", printed.text);
            printed.good
        }),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("petreldock: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<bool, String> {
    let config = configured().map_err(|e| e.to_string())?;
    telemetry::start(&config.operator.log);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let ended = runtime.block_on(run(config));
    // Danger: a write that hangs on a disk would keep the program from ending.
    runtime.shutdown_background();
    ended.map(|()| true).map_err(|e| e.to_string())
}

async fn run(config: Config) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Danger: until it is handled, SIGHUP ends the program, and with it all that is open.
    let hangup = signal(SignalKind::hangup())?;
    let named = |e: io::Error| io::Error::new(e.kind(), format!("listen: {}: {e}", config.listen));
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen).map_err(named)?;
    let listener = socket.listen(1024).map_err(named)?;
    // With port 0 in the configuration the system has chosen one.
    let listen = listener.local_addr()?;

    let clock = Clock::system();
    let (inputs, queue) = mpsc::channel(core::INPUT_QUEUE_CAPACITY);
    let (answers, to_front) = mpsc::channel(core::FRONT_QUEUE_CAPACITY);
    let (status, watched) = watch::channel(Status::default());
    let operator = &config.operator;
    let owed = SharedCount::default();
    let connect = {
        let owed = owed.clone();
        let (inputs, limits, local) = (inputs.clone(), config.limits.clone(), operator.local());
        let doors = ConnectionLimit::new(limits.sockets);
        Box::new(move |link, endpoint: &str| match endpoint.strip_prefix(IAX2).map(str::parse) {
            Some(Ok(hub)) => iax2::hub::start(link, local, hub, clock, inputs.clone()),
            _ => hub::start(link, endpoint, limits.clone(), &doors, &owed, clock, inputs.clone()),
        })
    };
    let mut fronts = vec![answers];
    if let Some(listen) = operator.iax2_listen {
        let (answers, to_front) = mpsc::channel(core::FRONT_QUEUE_CAPACITY);
        fronts.push(answers);
        let named = |e: io::Error| io::Error::new(e.kind(), format!("iax2.listen: {listen}: {e}"));
        let socket = UdpSocket::bind(listen).await.map_err(named)?;
        let front = iax2::front::Front::new(FrontId(1), &operator.iax2_calls);
        tokio::spawn(iax2::front::run(front, socket, owed.clone(), clock, inputs.clone(), to_front));
        tracing::info!(name = config.name, "serving IAX2 at {listen}");
    }
    let mut core = Core::new(&config, fronts, connect, status, clock.now())
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, format!("settings: {e}")))?;
    let keeping = match &operator.state {
        Some(state) => Some(keep(state, &mut core, clock).await?),
        None => None,
    };
    let fleet = match &operator.fleet {
        Some(fleet) => {
            let (figures, latest) = watch::channel(LoadSummary::default());
            core.publish_load(figures);
            // Kept alive to the end: who stands in the fleet is for later parts.
            Some(task::start(fleet, &config.name, config.seed, clock, latest).await?)
        }
        None => None,
    };
    let mut seq = 0;
    // Danger: a drain that stood in the list of the start was told long before, to another process perhaps.
    let known = change_log_poller::core_inputs(config.known.clone(), &mut seq, Micros(0));
    known.into_iter().for_each(|input| core.handle(clock.now(), input));
    let iax2_hub = |h: &Iax2Hub| Hub {
        uid: h.uid.clone(),
        endpoint: format!("{IAX2}{}", h.address),
        place: h.place,
        phase: Phase::Up,
        born: None,
    };
    core.add_configured_hubs(clock.now(), operator.iax2_hubs.iter().map(iax2_hub).collect());
    tokio::spawn(core::run(core, queue, clock));
    let (change_log, addresses) = watch::channel(config.change_log);
    tokio::spawn(change_log_poller::run(addresses, seq, config.seed, clock, inputs.clone()));
    tokio::spawn(reload(hangup, change_log));
    tokio::spawn(metrics::report_periodically());
    let sip_config = sip_server::Config {
        id: FrontId(0),
        sockets: config.limits.sockets,
        clock,
        core: inputs.clone(),
        status: watched.clone(),
        owed: owed.clone(),
    };
    let serving = sip_server::run(sip_config, listener, to_front);
    let ending = Ending::before_kill(config.settings.classes.iter().map(|c| c.deadline).max());
    tracing::info!(name = config.name, "serving at {listen}");
    let stop = async {
        tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        wind_down(inputs.clone(), clock, watched, owed, ending).await;
        if let Some((leave, _)) = &fleet {
            let _ = leave.send(()).await;
            leave.closed().await;
        }
        if let Some(saved) = keeping {
            hand_over(inputs, clock, saved).await;
        }
        metrics::report();
    };
    tokio::select! {
        ended = serving => ended,
        () = stop => Ok(()),
    }
}

/// Recalls what was kept, and has what is learnt from now on kept.
async fn keep(state: &StateConfig, core: &mut Core, clock: Clock) -> io::Result<watch::Receiver<Micros>> {
    let kept = state::load(state, clock.now()).await;
    let mut kept = kept.map_err(|e| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("state.folder: '{}': {e}", state.folder.display()),
        )
    })?;
    if let Some(memory) = kept.memory.take() {
        core.restore(memory);
    }
    let (pictures, latest) = watch::channel(None);
    core.export_state(pictures, state.interval, clock.now());
    let (saved, last) = watch::channel(Micros(0));
    tokio::spawn(state::run(kept, latest, saved));
    Ok(last)
}

/// Has what is known at a planned end written, within a bounded time.
async fn hand_over(inputs: mpsc::Sender<Input>, clock: Clock, mut saved: watch::Receiver<Micros>) {
    let from = clock.now();
    if inputs.send(Input::ExportState).await.is_ok() {
        let written = saved.wait_for(|at| *at >= from);
        if tokio::time::timeout(HAND_OVER, written).await.is_err() {
            tracing::warn!("state: the last of what was learnt is not written in time");
        }
    }
}

/// Takes up the change log's address at each SIGHUP; all else of the configuration is read at the start
/// alone, as open calls rest on it. A configuration that cannot be used changes nothing.
async fn reload(mut hangup: Signal, change_log: watch::Sender<Option<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        match configured() {
            Ok(config) => {
                let moved = change_log.send_if_modified(|held| {
                    let other = *held != config.change_log;
                    *held = config.change_log;
                    other
                });
                let address = config.change_log.map_or("nowhere".into(), |a| a.to_string());
                let what = if moved { "now" } else { "still" };
                tracing::info!("reloaded: change log {what} at {address}");
            }
            Err(error) => tracing::warn!("not reloaded: {error}"),
        }
    }
}

/// Answers all that is open while callers still come, and ends as soon as nothing is owed.
async fn wind_down(
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    status: watch::Receiver<Status>,
    owed: SharedCount,
    ending: Ending,
) {
    tracing::info!("ending");
    let end = Instant::now() + ending.over;
    let by = clock.now() + Micros(ending.refused.as_micros() as u64);
    let _ = inputs.send(Input::Shutdown(by)).await;
    sleep(STAY.min(ending.over)).await;
    // Danger: an answer that the core has given is not one that the caller has: where the processor is short
    // it may still wait to be written, and would be lost. So would a request that waits in a socket: what is
    // there is read between two looks, and one look that finds nothing proves little.
    let (mut quiet, mut looks) = (Instant::now(), 0);
    while Instant::now() < end && (quiet.elapsed() < QUIET || looks < LOOKS) {
        sleep(OWED_EVERY).await;
        looks += 1;
        if status.borrow().unanswered > 0 || owed.count() > 0 {
            (quiet, looks) = (Instant::now(), 0);
        }
    }
    let unanswered = status.borrow().unanswered;
    tracing::info!(unanswered, outstanding = owed.count(), "ended");
}

#[cfg(test)]
#[path = "main/tests.rs"]
mod tests;
