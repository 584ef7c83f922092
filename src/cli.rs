//! The command line: its arguments and the commands other than `serve`.

use crate::config::{
    Config, OperatorConfig, CONFIG_VARIABLE, LISTEN_VARIABLE, NAME_VARIABLE, OPERATOR_VARIABLE,
};
use crate::fleet::show::{self, FleetStatus};
use crate::fleet::wire::{self, Identity, Kind, MAX_DATAGRAM_BYTES};
use crate::interface::Micros;
use crate::learning::{LearnedHub, LearnedState};
use crate::state::{self, CheckedFile};
use crate::store::LOCK_FILE;
use clap::{Parser, Subcommand};
use miniserde::{json, Serialize};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A session controller for shared table hubs.
#[derive(Debug, Parser)]
#[command(name = "petreldock", version, after_help = after_help())]
pub struct Arguments {
    /// What to do; without it, serve.
    #[command(subcommand)]
    pub command: Option<Command>,
}

fn after_help() -> String {
    format!(
        "Environment:\n  {CONFIG_VARIABLE}        the configuration, a JSON file (needed to serve and to check)\n  \
         {LISTEN_VARIABLE}        overrides its 'listen'\n  {NAME_VARIABLE}          overrides its 'name'\n  \
         {OPERATOR_VARIABLE}  the operator's file: IAX2, state, fleet, logs"
    )
}

/// The commands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve calls until SIGTERM or SIGINT
    Serve,
    /// Read all configuration; say what is in force, or which key is faulty
    Check,
    /// Look at what is kept over restarts
    #[command(subcommand)]
    State(StateCommand),
    /// Look at the fleet as a running program sees it
    #[command(subcommand)]
    Fleet(FleetCommand),
}

/// What to do with a fleet.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show the members that the program at ADDRESS knows; it answers this machine alone
    Show {
        /// Where the program takes the fleet's datagrams
        address: SocketAddr,
        /// Write JSON in place of a table
        #[arg(long)]
        json: bool,
    },
}

/// What to do with a state folder.
#[derive(Debug, Subcommand)]
pub enum StateCommand {
    /// Show what was learnt; safe beside a running program
    Show {
        /// The state folder
        folder: PathBuf,
        /// Write JSON in place of a table
        #[arg(long)]
        json: bool,
    },
    /// Check every file; exit with 1 if one that a start looks at is faulty
    Verify {
        /// The state folder
        folder: PathBuf,
        /// Write JSON in place of a table
        #[arg(long)]
        json: bool,
    },
    /// Remove what was learnt; refused while a program runs on the folder
    Forget {
        /// The state folder
        folder: PathBuf,
    },
}

/// The output of a command and whether it succeeded.
#[derive(Debug, Default)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Whether the exit code is 0.
    pub success: bool,
}

/// Lists the effective values of a configuration, one per line.
pub fn describe_config(config: &Config) -> String {
    let mut text = String::new();
    let mut line = |key: &str, value: String| {
        let _ = writeln!(text, "{key:<30}{value}");
    };
    let OperatorConfig { iax2_listen, iax2_hubs, state, fleet, log, .. } = &config.operator;
    let hubs: usize = config.known.events.iter().map(|e| e.targets.len()).sum();
    let address = |a: Option<std::net::SocketAddr>| a.map_or("off".into(), |a| a.to_string());
    line("name", config.name.clone());
    line("listen", config.listen.to_string());
    line("changelog", address(config.change_log));
    line("known", format!("{hubs} hubs up to event {}", config.known.seq));
    line("settings.classes", config.names.classes.keys().cloned().collect::<Vec<_>>().join(", "));
    line("limits.sockets", config.limits.sockets.to_string());
    line("iax2.listen", address(*iax2_listen));
    line("iax2.hubs", iax2_hubs.len().to_string());
    match state {
        None => line("state", "off".into()),
        Some(state) => {
            let seconds = |m: Micros| format!("{} s", m.secs());
            let decay = &state.decay;
            line("state.folder", state.folder.display().to_string());
            line("state.intervalMs", (state.interval.0 / 1000).to_string());
            line("state.greatestAgeMs", (decay.max_age.0 / 1000).to_string());
            for (kind, half_life) in [
                ("wait", decay.wait),
                ("load", decay.load),
                ("rate", decay.rate),
                ("signs", decay.signs),
                ("capacity", decay.capacity),
            ] {
                line(
                    &format!("state.halfLivesMs.{kind}"),
                    format!("{} ({})", half_life.0 / 1000, seconds(half_life)),
                );
            }
        }
    }
    match fleet {
        None => line("fleet", "off".into()),
        Some(fleet) => {
            let list = |items: Vec<String>| items.join(", ");
            line("fleet.name", fleet.name.clone());
            line("fleet.listen", fleet.listen.to_string());
            line("fleet.advertise", fleet.advertise.unwrap_or(fleet.listen).to_string());
            line("fleet.seeds", list(fleet.seeds.iter().map(|s| s.to_string()).collect()));
            line("fleet.zone", fleet.zone.clone());
            line("fleet.prefixes", list(fleet.prefixes.iter().map(|p| p.to_string()).collect()));
            line("fleet.detectionMs", (fleet.detection.0 / 1000).to_string());
        }
    }
    line("log.level", format!("{:?}", log.level).to_lowercase());
    line("log.form", if log.json { "json" } else { "text" }.into());
    text
}

/// Time after which a page of the answer is requested again.
const PAGE_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit for the complete answer of a running program.
const FLEET_QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Runs a `fleet` command, which queries a running program.
///
/// # Errors
/// A message of one line for the user.
pub fn run_fleet_command(command: &FleetCommand) -> Result<CommandOutput, String> {
    let FleetCommand::Show { address, json } = command;
    let text = query_fleet_view(*address).map_err(|e| format!("{address}: {e}"))?;
    if *json {
        return Ok(CommandOutput { text: text + "\n", success: true });
    }
    let view: FleetStatus =
        json::from_str(&text).map_err(|_| format!("{address}: the answer is not a view of a fleet"))?;
    Ok(CommandOutput { text: show::format_table(&view), success: true })
}

/// Requests the fleet view of the program at `address` page by page. Returns it as JSON.
fn query_fleet_view(address: SocketAddr) -> std::io::Result<String> {
    let local = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(local)?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(PAGE_RETRY_INTERVAL))?;
    // Identifies the answers to this request, as another client may query the program at the same time.
    let nonce = u64::from(std::process::id()) << 32 | u64::from(socket.local_addr()?.port());
    let (mut text, mut page, mut page_count) = (Vec::new(), 0, 1);
    let end = Instant::now() + FLEET_QUERY_TIMEOUT;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while page < page_count {
        if Instant::now() > end {
            return Err(std::io::Error::new(std::io::ErrorKind::TimedOut, "no answer"));
        }
        let body: Vec<u8> = [nonce, page].iter().flat_map(|n| n.to_be_bytes()).collect();
        socket.send(&wire::encode_datagram(
            "",
            &Identity::from_address(socket.local_addr()?),
            Kind::StatusRequest,
            false,
            &body,
        ))?;
        let requested = Instant::now();
        while requested.elapsed() < PAGE_RETRY_INTERVAL {
            let Ok(length) = socket.recv(&mut buffer) else { continue };
            let Ok(envelope) = wire::decode_datagram("", &buffer[..length]) else { continue };
            let Some(([n, p, total], part)) = show::decode_page(envelope.body) else { continue };
            if envelope.kind == Kind::StatusPage && n == nonce && p == page && total <= show::MAX_PAGES {
                text.extend_from_slice(part);
                (page, page_count) = (page + 1, total);
                break;
            }
        }
    }
    String::from_utf8(text).map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidData, e))
}

/// A file in the output of `state verify`.
#[derive(Serialize)]
struct FileRow {
    file: String,
    used: bool,
    fault: Option<String>,
    version: Option<u16>,
    generation: Option<u64>,
    at_ms: Option<u64>,
    hubs: Option<usize>,
}

/// A hub in the output of `state show`.
#[derive(Serialize)]
struct HubRow {
    uid: String,
    endpoint: String,
    place: i64,
    born_ms: Option<u64>,
    carried_per_s: f64,
    carries_per_s: f64,
    can_take_per_s: f64,
    heard_ms: u64,
    wait_ms: f64,
    delay_ms: f64,
    weight: f64,
    pass: f64,
    share: f64,
    silent: bool,
}

/// The output of `state show`.
#[derive(Serialize)]
struct StateView {
    file: String,
    at_ms: u64,
    age_s: f64,
    hold_s: f64,
    hubs: Vec<HubRow>,
}

fn hub_row(learned: &LearnedHub) -> HubRow {
    let (hub, estimate) = (&learned.hub, &learned.estimate);
    HubRow {
        uid: hub.uid.to_string(),
        endpoint: hub.endpoint.to_string(),
        place: hub.place,
        born_ms: hub.born.map(|b| b.0 / 1000),
        carried_per_s: estimate.carried,
        carries_per_s: estimate.carries,
        can_take_per_s: estimate.can_take,
        heard_ms: estimate.heard.0 / 1000,
        wait_ms: estimate.wait.0 as f64 / 1e3,
        delay_ms: estimate.delay.0 as f64 / 1e3,
        weight: estimate.weight,
        pass: estimate.pass,
        share: estimate.share,
        silent: estimate.silent,
    }
}

/// Runs a `state` command, which works on a state folder. `now` is the time since the Unix epoch.
///
/// # Errors
/// A message of one line for the user.
pub fn run_state_command(command: &StateCommand, now: Micros) -> Result<CommandOutput, String> {
    let error = |folder: &PathBuf, e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    match command {
        StateCommand::Show { folder, json } => {
            let files = state::check_files(folder).map_err(|e| error(folder, &e))?;
            let newest =
                files.into_iter().filter(|f| f.loadable).find_map(|f| Some((f.file, f.content.ok()?.1)));
            let (file, learned) =
                newest.ok_or_else(|| error(folder, &"nothing that can be used is kept here"))?;
            Ok(CommandOutput { text: format_state(file, &learned, now, *json), success: true })
        }
        StateCommand::Verify { folder, json } => {
            let files = state::check_files(folder).map_err(|e| error(folder, &e))?;
            let success = files.iter().all(|f| !f.loadable || f.content.is_ok());
            Ok(CommandOutput { text: format_files(files, *json), success })
        }
        StateCommand::Forget { folder } => {
            // Opening a folder creates a lock file in it. A mistyped path must not get one.
            if !folder.join(LOCK_FILE).exists() {
                return Err(error(folder, &"no state folder"));
            }
            state::forget(folder).map_err(|e| error(folder, &e))?;
            Ok(CommandOutput { text: format!("{}: forgotten\n", folder.display()), success: true })
        }
    }
}

/// Formats the learned state as a table or as JSON.
fn format_state(file: String, learned: &LearnedState, now: Micros, as_json: bool) -> String {
    let age_s = (now.0 as f64 - learned.at.0 as f64) / 1e6;
    let hubs: Vec<HubRow> = learned.hubs.iter().map(hub_row).collect();
    let view = StateView { file, at_ms: learned.at.0 / 1000, age_s, hold_s: learned.hold, hubs };
    if as_json {
        return json::to_string(&view) + "\n";
    }
    let mut text = format!(
        "{}: {} hubs, {age_s:.1} s old; a call lasts {:.1} s\n",
        view.file,
        view.hubs.len(),
        view.hold_s
    );
    let _ = writeln!(
        text,
        "{:<20} {:<21} {:>5} {:>9} {:>9} {:>8} {:>8} {:>6} {:>5} {:>5}  signs",
        "hub",
        "endpoint",
        "place",
        "carried/s",
        "carries/s",
        "wait ms",
        "delay ms",
        "weight",
        "pass",
        "share"
    );
    for h in &view.hubs {
        let _ = writeln!(
            text,
            "{:<20} {:<21} {:>5} {:>9.1} {:>9.1} {:>8.0} {:>8.0} {:>6.2} {:>5.2} {:>5.2}  {}",
            h.uid,
            h.endpoint,
            h.place,
            h.carried_per_s,
            h.carries_per_s,
            h.wait_ms,
            h.delay_ms,
            h.weight,
            h.pass,
            h.share,
            if h.silent { "silent" } else { "" }
        );
    }
    text
}

/// Formats the results of the check of each file as text or as JSON.
fn format_files(files: Vec<CheckedFile>, as_json: bool) -> String {
    let rows: Vec<FileRow> = files
        .into_iter()
        .map(|f| {
            let (fault, content) = match f.content {
                Ok(content) => (None, Some(content)),
                Err(fault) => (Some(fault), None),
            };
            let (header, learned) = content.unzip();
            FileRow {
                file: f.file,
                used: f.loadable,
                fault,
                version: header.map(|h| h.version),
                generation: header.map(|h| h.generation),
                at_ms: learned.as_ref().map(|l| l.at.0 / 1000),
                hubs: learned.map(|l| l.hubs.len()),
            }
        })
        .collect();
    if as_json {
        return json::to_string(&rows) + "\n";
    }
    let mut text = String::new();
    for f in &rows {
        let result = match (&f.fault, f.generation, f.version, f.hubs) {
            (Some(fault), ..) => format!("faulty: {fault}"),
            (None, Some(generation), Some(version), Some(hubs)) => {
                format!("sound: generation {generation}, version {version}, {hubs} hubs")
            }
            _ => String::new(),
        };
        let _ = writeln!(text, "{:<18} {}{result}", f.file, if f.used { "" } else { "(set aside) " });
    }
    if rows.is_empty() {
        text.push_str("nothing is kept here\n");
    }
    text
}
