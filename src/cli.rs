//! The command line. Without a command the program serves.

use crate::config::{Config, Operator, CONFIG_VARIABLE, LISTEN_VARIABLE, NAME_VARIABLE, OPERATOR_VARIABLE};
use crate::fleet::show::{self, FleetStatus};
use crate::fleet::wire::{self, Identity, Kind, MAX_DATAGRAM_BYTES};
use crate::interface::Micros;
use crate::learning::{LearnedHub, LearnedState};
use crate::state::{self, Examined};
use crate::store::LOCK;
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
    State(State),
    /// Look at the fleet as a running program sees it
    #[command(subcommand)]
    Fleet(Fleet),
}

/// What to do with a fleet.
#[derive(Debug, Subcommand)]
pub enum Fleet {
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
pub enum State {
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

/// What a command printed, and whether all was well.
#[derive(Debug, Default)]
pub struct Printed {
    /// For standard output.
    pub text: String,
    /// The exit code is 0.
    pub good: bool,
}

/// Says what of a configuration is in force.
pub fn check(config: &Config) -> String {
    let mut text = String::new();
    let mut line = |what: &str, value: String| {
        let _ = writeln!(text, "{what:<30}{value}");
    };
    let Operator { iax2_listen, iax2_hubs, state, fleet, log, .. } = &config.operator;
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
            let lives = &state.ageing;
            line("state.folder", state.folder.display().to_string());
            line("state.intervalMs", (state.interval.0 / 1000).to_string());
            line("state.greatestAgeMs", (lives.max_age.0 / 1000).to_string());
            for (kind, life) in [
                ("wait", lives.wait),
                ("load", lives.load),
                ("rate", lives.rate),
                ("signs", lives.signs),
                ("capacity", lives.capacity),
            ] {
                line(&format!("state.halfLivesMs.{kind}"), format!("{} ({})", life.0 / 1000, seconds(life)));
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

/// An answer's page is asked for again after this,
const ASKED_AGAIN: Duration = Duration::from_millis(200);
/// ... and given up after this in all.
const ASKED_MOST: Duration = Duration::from_secs(3);

/// Asks a running program for its view of the fleet.
///
/// # Errors
/// One line that says what could not be done.
pub fn on_fleet(command: &Fleet) -> Result<Printed, String> {
    let Fleet::Show { address, json } = command;
    let text = ask(*address).map_err(|e| format!("{address}: {e}"))?;
    if *json {
        return Ok(Printed { text: text + "\n", good: true });
    }
    let shown: FleetStatus = json::from_str(&text).map_err(|_| format!("{address}: no view of a fleet"))?;
    Ok(Printed { text: show::format_table(&shown), good: true })
}

fn ask(address: SocketAddr) -> std::io::Result<String> {
    let from = if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(from)?;
    socket.connect(address)?;
    socket.set_read_timeout(Some(ASKED_AGAIN))?;
    // Pages of two askers at a time must not be mixed up.
    let nonce = u64::from(std::process::id()) << 32 | u64::from(socket.local_addr()?.port());
    let (mut text, mut page, mut pages) = (Vec::new(), 0, 1);
    let end = Instant::now() + ASKED_MOST;
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while page < pages {
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
        let asked = Instant::now();
        while asked.elapsed() < ASKED_AGAIN {
            let Ok(length) = socket.recv(&mut buffer) else { continue };
            let Ok(told) = wire::decode_datagram("", &buffer[..length]) else { continue };
            let Some(([n, p, of], part)) = show::decode_page(told.body) else { continue };
            if told.kind == Kind::StatusPage && n == nonce && p == page && of <= show::MAX_PAGES {
                text.extend_from_slice(part);
                (page, pages) = (page + 1, of);
                break;
            }
        }
    }
    String::from_utf8(text).map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidData, e))
}

#[derive(Serialize)]
struct ShownFile {
    file: String,
    used: bool,
    fault: Option<String>,
    version: Option<u16>,
    generation: Option<u64>,
    at_ms: Option<u64>,
    hubs: Option<usize>,
}

#[derive(Serialize)]
struct ShownHub {
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

#[derive(Serialize)]
struct Shown {
    file: String,
    at_ms: u64,
    age_s: f64,
    hold_s: f64,
    hubs: Vec<ShownHub>,
}

fn shown(kept: &LearnedHub) -> ShownHub {
    let (hub, b) = (&kept.hub, &kept.belief);
    ShownHub {
        uid: hub.uid.to_string(),
        endpoint: hub.endpoint.to_string(),
        place: hub.place,
        born_ms: hub.born.map(|b| b.0 / 1000),
        carried_per_s: b.carried,
        carries_per_s: b.carries,
        can_take_per_s: b.can_take,
        heard_ms: b.heard.0 / 1000,
        wait_ms: b.wait.0 as f64 / 1e3,
        delay_ms: b.delay.0 as f64 / 1e3,
        weight: b.weight,
        pass: b.pass,
        share: b.share,
        silent: b.silent,
    }
}

/// Runs a command on a state folder; `now` is the Unix clock's time.
///
/// # Errors
/// One line that says what could not be done.
pub fn on_state(command: &State, now: Micros) -> Result<Printed, String> {
    let named = |folder: &PathBuf, e: &dyn std::fmt::Display| format!("{}: {e}", folder.display());
    match command {
        State::Show { folder, json } => {
            let files = state::examine(folder).map_err(|e| named(folder, &e))?;
            let found = files.into_iter().filter(|f| f.used).find_map(|f| Some((f.file, f.read.ok()?.1)));
            let (file, picture) =
                found.ok_or_else(|| named(folder, &"nothing that can be used is kept here"))?;
            Ok(Printed { text: show(file, &picture, now, *json), good: true })
        }
        State::Verify { folder, json } => {
            let files = state::examine(folder).map_err(|e| named(folder, &e))?;
            let good = files.iter().all(|f| !f.used || f.read.is_ok());
            Ok(Printed { text: verify(files, *json), good })
        }
        State::Forget { folder } => {
            // Danger: to take a folder makes a lock in it; a slip of the hand must not do so just anywhere.
            if !folder.join(LOCK).exists() {
                return Err(named(folder, &"no state folder"));
            }
            state::forget(folder).map_err(|e| named(folder, &e))?;
            Ok(Printed { text: format!("{}: forgotten\n", folder.display()), good: true })
        }
    }
}

fn show(file: String, picture: &LearnedState, now: Micros, as_json: bool) -> String {
    let age_s = (now.0 as f64 - picture.at.0 as f64) / 1e6;
    let hubs: Vec<ShownHub> = picture.hubs.iter().map(shown).collect();
    let shown = Shown { file, at_ms: picture.at.0 / 1000, age_s, hold_s: picture.hold, hubs };
    if as_json {
        return json::to_string(&shown) + "\n";
    }
    let mut text = format!(
        "{}: {} hubs, {age_s:.1} s old; a call lasts {:.1} s\n",
        shown.file,
        shown.hubs.len(),
        shown.hold_s
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
    for h in &shown.hubs {
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

fn verify(files: Vec<Examined>, as_json: bool) -> String {
    let shown: Vec<ShownFile> = files
        .into_iter()
        .map(|f| {
            let (fault, read) = match f.read {
                Ok(read) => (None, Some(read)),
                Err(fault) => (Some(fault), None),
            };
            let (header, picture) = read.unzip();
            ShownFile {
                file: f.file,
                used: f.used,
                fault,
                version: header.map(|h| h.version),
                generation: header.map(|h| h.generation),
                at_ms: picture.as_ref().map(|p| p.at.0 / 1000),
                hubs: picture.map(|p| p.hubs.len()),
            }
        })
        .collect();
    if as_json {
        return json::to_string(&shown) + "\n";
    }
    let mut text = String::new();
    for f in &shown {
        let what = match (&f.fault, f.generation, f.version, f.hubs) {
            (Some(fault), ..) => format!("faulty: {fault}"),
            (None, Some(generation), Some(version), Some(hubs)) => {
                format!("sound: generation {generation}, version {version}, {hubs} hubs")
            }
            _ => String::new(),
        };
        let _ = writeln!(text, "{:<18} {}{what}", f.file, if f.used { "" } else { "(set aside) " });
    }
    if shown.is_empty() {
        text.push_str("nothing is kept here\n");
    }
    text
}
