//! The session controller's program: starts its tasks, connects them and handles signals.

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

/// Prefix of an IAX2 hub's endpoint, as the core passes it on.
const IAX2_ENDPOINT_PREFIX: &str = "iax2:";
/// Minimum time from SIGTERM to the end of the process, as callers still connect for a while.
const MIN_SHUTDOWN_TIME: Duration = Duration::from_millis(800);
/// Longest deadline of a class that counts for the time of SIGKILL, which follows SIGTERM no sooner than after the
/// longest deadline and [`KILL_DELAY`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Minimum time from the longest deadline, counted from SIGTERM, to SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Calls still open this long before SIGKILL are refused.
const REFUSE_BEFORE_KILL: Duration = Duration::from_millis(500);
/// The process exits at the latest this long before SIGKILL, even if answers are not written yet.
const EXIT_BEFORE_KILL: Duration = Duration::from_millis(200);
/// The process exits this long before SIGKILL if the deadlines are too short for both [`EXIT_BEFORE_KILL`] and
/// [`MIN_SHUTDOWN_TIME`].
const MIN_EXIT_BEFORE_KILL: Duration = Duration::from_millis(100);
/// The process exits early once no work was outstanding for this long. The period lets requests arrive that are still
/// on their way, and work that is under way elsewhere.
const MIN_IDLE_TIME: Duration = Duration::from_millis(100);
/// Minimum number of consecutive checks that find no outstanding work, as a single check can take long if processor
/// time is scarce.
const MIN_IDLE_CHECKS: u32 = 4;
/// Interval between the checks for outstanding work during shutdown.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Time limit for writing the learned state at the end, as SIGKILL is near.
const STATE_SAVE_TIMEOUT: Duration = Duration::from_millis(250);

/// The steps of a shutdown, as times after SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ShutdownSchedule {
    /// When calls that are still open are refused.
    refuse_after: Duration,
    /// When the process exits at the latest.
    exit_after: Duration,
}

impl ShutdownSchedule {
    /// Returns the schedule that ends before SIGKILL, whose time depends on the longest deadline of a class.
    fn before_kill(longest_deadline: Option<Micros>) -> ShutdownSchedule {
        let deadline = Duration::from_micros(longest_deadline.unwrap_or_default().0);
        let kill_after = deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
        let min_exit = MIN_SHUTDOWN_TIME.min(kill_after.saturating_sub(MIN_EXIT_BEFORE_KILL));
        let exit_after = kill_after.saturating_sub(EXIT_BEFORE_KILL).max(min_exit);
        let refuse_after = exit_after.saturating_sub(REFUSE_BEFORE_KILL - EXIT_BEFORE_KILL);
        ShutdownSchedule { refuse_after, exit_after }
    }
}

fn read_config() -> Result<Config, ConfigError> {
    Config::from_environment(|name| std::env::var(name).ok())
}

fn main() -> ExitCode {
    let result = match Arguments::parse().command.unwrap_or(Command::Serve) {
        Command::Serve => serve(),
        Command::Check => read_config().map_err(|e| e.to_string()).map(|config| {
            print!("{}", cli::describe_config(&config));
            true
        }),
        Command::Fleet(command) => cli::run_fleet_command(&command).map(|output| {
            print!("{}", output.text);
            output.success
        }),
        Command::State(command) => cli::run_state_command(&command, Clock::system().now()).map(|output| {
            print!("{}", output.text);
            output.success
        }),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("petreldock: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<bool, String> {
    let config = read_config().map_err(|e| e.to_string())?;
    telemetry::start(&config.operator.log);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let result = runtime.block_on(run(config));
    // A disk write that hangs would otherwise keep the process from exiting.
    runtime.shutdown_background();
    result.map(|()| true).map_err(|e| e.to_string())
}

async fn run(config: Config) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    // Without a handler SIGHUP would end the process and every open call.
    let hangup = signal(SignalKind::hangup())?;
    let with_key = |e: io::Error| io::Error::new(e.kind(), format!("listen: {}: {e}", config.listen));
    let socket = if config.listen.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    socket.bind(config.listen).map_err(with_key)?;
    let listener = socket.listen(1024).map_err(with_key)?;
    // If the configured port is 0, the system has chosen one.
    let listen = listener.local_addr()?;

    let clock = Clock::system();
    let (inputs, queue) = mpsc::channel(core::INPUT_QUEUE_CAPACITY);
    let (to_sip_front, sip_messages) = mpsc::channel(core::FRONT_QUEUE_CAPACITY);
    let (status, status_receiver) = watch::channel(Status::default());
    let operator = &config.operator;
    let outstanding = SharedCount::default();
    let connect = {
        let outstanding = outstanding.clone();
        let (inputs, limits, local) = (inputs.clone(), config.limits.clone(), operator.local());
        let connection_limit = ConnectionLimit::new(limits.sockets);
        Box::new(move |link, endpoint: &str| {
            match endpoint.strip_prefix(IAX2_ENDPOINT_PREFIX).map(str::parse) {
                Some(Ok(hub)) => iax2::hub::start(link, local, hub, clock, inputs.clone()),
                _ => hub::start(
                    link,
                    endpoint,
                    limits.clone(),
                    &connection_limit,
                    &outstanding,
                    clock,
                    inputs.clone(),
                ),
            }
        })
    };
    let mut fronts = vec![to_sip_front];
    if let Some(listen) = operator.iax2_listen {
        let (to_iax2_front, messages) = mpsc::channel(core::FRONT_QUEUE_CAPACITY);
        fronts.push(to_iax2_front);
        let with_key = |e: io::Error| io::Error::new(e.kind(), format!("iax2.listen: {listen}: {e}"));
        let socket = UdpSocket::bind(listen).await.map_err(with_key)?;
        let front = iax2::front::Front::new(FrontId(1), &operator.iax2_calls);
        tokio::spawn(iax2::front::run(front, socket, outstanding.clone(), clock, inputs.clone(), messages));
        tracing::info!(name = config.name, "serving IAX2 at {listen}");
    }
    let mut core = Core::new(&config, fronts, connect, status, clock.now())
        .map_err(|e| io::Error::new(io::ErrorKind::InvalidInput, format!("settings: {e}")))?;
    let last_saved = match &operator.state {
        Some(state) => Some(start_saving_state(state, &mut core, clock).await?),
        None => None,
    };
    let fleet = match &operator.fleet {
        Some(fleet) => {
            let (load_sender, load) = watch::channel(LoadSummary::default());
            core.publish_load(load_sender);
            // Both channels are held until the end. The member list is not used here yet.
            Some(task::start(fleet, &config.name, config.seed, clock, load).await?)
        }
        None => None,
    };
    let mut seq = 0;
    // A drain in the initial list may have been announced long ago, before this process started. Its grace counts from
    // time zero, so it is over.
    let initial_lists = change_log_poller::core_inputs(config.known.clone(), &mut seq, Micros(0));
    initial_lists.into_iter().for_each(|input| core.handle(clock.now(), input));
    let iax2_hub = |h: &Iax2Hub| Hub {
        uid: h.uid.clone(),
        endpoint: format!("{IAX2_ENDPOINT_PREFIX}{}", h.address),
        place: h.place,
        phase: Phase::Up,
        born: None,
    };
    core.add_configured_hubs(clock.now(), operator.iax2_hubs.iter().map(iax2_hub).collect());
    tokio::spawn(core::run(core, queue, clock));
    let (change_log, addresses) = watch::channel(config.change_log);
    tokio::spawn(change_log_poller::run(addresses, seq, config.seed, clock, inputs.clone()));
    tokio::spawn(reload_on_hangup(hangup, change_log));
    tokio::spawn(metrics::report_periodically());
    let sip_config = sip_server::Config {
        id: FrontId(0),
        sockets: config.limits.sockets,
        max_open_bytes: config.limits.max_open_bytes,
        clock,
        core: inputs.clone(),
        status: status_receiver.clone(),
        outstanding: outstanding.clone(),
    };
    let serving = sip_server::run(sip_config, listener, sip_messages);
    let schedule = ShutdownSchedule::before_kill(config.settings.classes.iter().map(|c| c.deadline).max());
    tracing::info!(name = config.name, "serving at {listen}");
    let stop = async {
        tokio::select! { _ = terminate.recv() => {}, _ = interrupt.recv() => {} }
        shut_down(inputs.clone(), clock, status_receiver, outstanding, schedule).await;
        if let Some((leave, _)) = &fleet {
            let _ = leave.send(()).await;
            leave.closed().await;
        }
        if let Some(last_saved) = last_saved {
            save_final_state(inputs, clock, last_saved).await;
        }
        metrics::report();
    };
    tokio::select! {
        result = serving => result,
        () = stop => Ok(()),
    }
}

/// Restores the saved state into the core and starts the task that saves the learned state from now on. The returned
/// channel holds the time of the last state that was saved.
async fn start_saving_state(
    state: &StateConfig,
    core: &mut Core,
    clock: Clock,
) -> io::Result<watch::Receiver<Micros>> {
    let startup = state::load(state, clock.now()).await;
    let mut startup = startup.map_err(|e| {
        io::Error::new(
            io::ErrorKind::InvalidInput,
            format!("state.folder: '{}': {e}", state.folder.display()),
        )
    })?;
    if let Some(restored) = startup.restored.take() {
        core.restore(restored);
    }
    let (learned, latest) = watch::channel(None);
    core.export_state(learned, state.interval, clock.now());
    let (saved_at, last_saved) = watch::channel(Micros(0));
    tokio::spawn(state::run(startup, latest, saved_at));
    Ok(last_saved)
}

/// Saves the learned state at a planned end, within a bounded time.
async fn save_final_state(
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    mut last_saved: watch::Receiver<Micros>,
) {
    let requested_at = clock.now();
    if inputs.send(Input::ExportState).await.is_ok() {
        let written = last_saved.wait_for(|at| *at >= requested_at);
        if tokio::time::timeout(STATE_SAVE_TIMEOUT, written).await.is_err() {
            tracing::warn!("state: the final learned state was not written in time");
        }
    }
}

/// Reloads the change log's address at each SIGHUP. Everything else in the configuration is read at the start only,
/// because open calls depend on it. An invalid configuration changes nothing.
async fn reload_on_hangup(mut hangup: Signal, change_log: watch::Sender<Option<SocketAddr>>) {
    while hangup.recv().await.is_some() {
        match read_config() {
            Ok(config) => {
                let changed = change_log.send_if_modified(|current| {
                    let differs = *current != config.change_log;
                    *current = config.change_log;
                    differs
                });
                let address = config.change_log.map_or("nowhere".into(), |a| a.to_string());
                let what = if changed { "now" } else { "still" };
                tracing::info!("reloaded: change log {what} at {address}");
            }
            Err(error) => tracing::warn!("not reloaded: {error}"),
        }
    }
}

/// Lets open calls be answered while callers still connect, and returns as soon as no work is outstanding, at the
/// latest as the schedule says.
async fn shut_down(
    inputs: mpsc::Sender<Input>,
    clock: Clock,
    status: watch::Receiver<Status>,
    outstanding: SharedCount,
    schedule: ShutdownSchedule,
) {
    tracing::info!("ending");
    let end = Instant::now() + schedule.exit_after;
    let refuse_at = clock.now() + Micros(schedule.refuse_after.as_micros() as u64);
    let _ = inputs.send(Input::Shutdown(refuse_at)).await;
    sleep(MIN_SHUTDOWN_TIME.min(schedule.exit_after)).await;
    // An answer that the core has given may still wait to be written if processor time is scarce, and a request may
    // still wait in a socket; ending now would lose both. Sockets are read between two checks, so a single check that
    // finds nothing proves little.
    let (mut idle_since, mut idle_checks) = (Instant::now(), 0);
    while Instant::now() < end && (idle_since.elapsed() < MIN_IDLE_TIME || idle_checks < MIN_IDLE_CHECKS) {
        sleep(IDLE_CHECK_INTERVAL).await;
        idle_checks += 1;
        let Status { unanswered, unsent_releases, .. } = *status.borrow();
        if unanswered + unsent_releases + outstanding.count() > 0 {
            (idle_since, idle_checks) = (Instant::now(), 0);
        }
    }
    let unanswered = status.borrow().unanswered;
    tracing::info!(unanswered, outstanding = outstanding.count(), "ended");
}

#[cfg(test)]
#[path = "main/tests.rs"]
mod tests;
