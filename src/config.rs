//! The one place where configuration is read, checked and given defaults: the simulator's `init`,
//! the platform's environment and JSON, and the operator's file. Errors name the faulty key by its path.

use crate::fleet::wire::{MAX_LABEL_BYTES, MAX_NAME_BYTES};
use crate::interface::*;
use crate::learning::DecaySettings;
use ipnet::IpNet;
use miniserde::json::{self, Number, Value};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Names the file with the platform's configuration.
pub const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Overrides `listen` of that file.
pub const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Overrides `name` of that file.
pub const NAME_VARIABLE: &str = "ROUTER_NAME";
/// Names the operator's file, which sets up IAX2, state that is kept, the fleet, and logs; unset: all but logs is off.
pub const OPERATOR_VARIABLE: &str = "PETRELDOCK_OPERATOR";

/// What was learnt is written this often, unless the operator's file says.
const STATE_EVERY: Micros = Micros(2_000_000);
/// No half-life and no age is longer: thirty days.
const AGE_MOST_MS: u64 = 30 * 86_400_000;
/// Within about this a crash is known in the fleet, unless the operator's file says.
const DETECTION: Micros = Micros(2_500_000);
/// Seeds and prefixes that a file may name.
const NAMED_MOST: usize = 64;
const MEBIBYTE: usize = 1024 * 1024;

/// What is wrong with a configuration, and at which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key's path, as in `settings.limits.maxAttempts`.
    pub path: String,
    /// What was expected there.
    pub problem: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.path.is_empty() {
            true => write!(f, "{}", self.problem),
            false => write!(f, "{}: {}", self.path, self.problem),
        }
    }
}

impl std::error::Error for ConfigError {}

type Read<T> = Result<T, ConfigError>;

/// A place in a JSON document: its path, and its value if there is one.
#[derive(Clone, Debug)]
pub struct At<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> At<'a> {
    /// The document's root, under the name that errors shall show.
    pub fn root(value: &'a Value, path: &str) -> At<'a> {
        At { value: Some(value), path: path.into() }
    }

    /// The member `key`, there or not.
    pub fn key(&self, key: &str) -> At<'a> {
        let value = match self.value {
            Some(Value::Object(object)) => object.get(key),
            _ => None,
        };
        let path = if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) };
        At { value: value.filter(|v| !matches!(v, Value::Null)), path }
    }

    /// The error that something else was expected here.
    pub fn expected(&self, what: &str) -> ConfigError {
        ConfigError { path: self.path.clone(), problem: format!("expected {what}") }
    }

    /// Whether anything stands here.
    pub fn is_there(&self) -> bool {
        self.value.is_some()
    }

    fn or<T>(&self, other: T, read: impl FnOnce(&Self) -> Read<T>) -> Read<T> {
        if self.is_there() {
            read(self)
        } else {
            Ok(other)
        }
    }

    /// The list that must stand here.
    pub fn list(&self) -> Read<Vec<At<'a>>> {
        let Some(Value::Array(items)) = self.value else { return Err(self.expected("a list")) };
        let place = |(i, value)| At { value: Some(value), path: format!("{}[{i}]", self.path) };
        Ok(items.iter().enumerate().map(place).collect())
    }

    /// The text that must stand here.
    pub fn text(&self) -> Read<&'a str> {
        match self.value {
            Some(Value::String(text)) => Ok(text),
            _ => Err(self.expected("a text")),
        }
    }

    /// The number that must stand here.
    pub fn number(&self) -> Read<f64> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::I64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::F64(n))) if n.is_finite() => Ok(*n),
            _ => Err(self.expected("a number")),
        }
    }

    /// The whole number that must stand here.
    pub fn whole(&self) -> Read<i64> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => i64::try_from(*n).ok(),
            Some(Value::Number(Number::I64(n))) => Some(*n),
            _ => None,
        }
        .ok_or_else(|| self.expected("a whole number"))
    }

    /// The count, nought or more, that must stand here.
    pub fn count(&self) -> Read<u32> {
        self.whole().ok().and_then(|n| u32::try_from(n).ok()).ok_or_else(|| self.expected("a count"))
    }

    /// The time in microseconds that must stand here.
    pub fn micros(&self) -> Read<Micros> {
        let number = self.number().ok().filter(|n| *n >= 0.0);
        number.map(|n| Micros(n as u64)).ok_or_else(|| self.expected("a time of nought or more"))
    }

    /// The truth value that must stand here.
    pub fn flag(&self) -> Read<bool> {
        match self.value {
            Some(Value::Bool(flag)) => Ok(*flag),
            _ => Err(self.expected("true or false")),
        }
    }

    /// The address that must stand here.
    pub fn address(&self) -> Read<SocketAddr> {
        self.text()
            .ok()
            .and_then(|t| t.parse().ok())
            .ok_or_else(|| self.expected("an address, as in 10.0.0.4:5060"))
    }
}

/// How the wires name classes and the fields of a report.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Each class's index in [`Settings::classes`].
    pub classes: BTreeMap<String, usize>,
    /// The fields of a report, in order.
    pub report: Vec<String>,
}

impl Names {
    /// Stores a report's figure under its name; unknown names and unlikely figures are left out.
    pub fn store(report: &mut Report, name: &str, figure: f64) {
        let value = Some(figure).filter(|n| n.is_finite() && *n >= 0.0);
        match name {
            "free" | "x0" => report.free = value,
            "size" | "x1" => report.size = value,
            "svc_ms" | "latency_ms" => report.wait = value.map(|ms| Micros((ms * 1000.0) as u64)),
            "cpu_share" | "util" => report.utilisation = value,
            "pending" | "queue" => report.queue = value,
            "can_take" | "qps" => report.can_take = value,
            "hold_back" | "eps" => report.hold_back = value,
            _ => {}
        }
    }
}

/// Reads the settings object, which the simulator and the platform give in the same form.
pub fn settings(root: &At) -> Read<(Settings, Names)> {
    let (info, contract, limits) = (root.key("familyInfo"), root.key("contract"), root.key("limits"));
    let mut names = Names::default();
    let mut classes = Vec::new();
    let allowed = info.key("allowedPools").or(Vec::new(), At::list)?;
    let holds = info.key("classHold").or(Vec::new(), At::list)?;
    for (i, class) in root.key("classes").list()?.iter().enumerate() {
        names.classes.insert(class.key("name").text()?.into(), i);
        let places = allowed.get(i).map_or(Ok(Vec::new()), At::list)?;
        classes.push(Class {
            objective: class.key("objective").micros()?,
            deadline: class.key("deadline").micros()?,
            worth: class.key("worth").or(1.0, At::number)?,
            late_worth: class.key("lateWorth").or(0.0, At::number)?,
            idempotency: match class.key("idempotency").or("free", At::text)? {
                "free" => Idempotency::Free,
                "guarded" => Idempotency::Guarded,
                // Danger: an effect that this version does not know may not bear a repeat.
                _ => Idempotency::SingleShot,
            },
            places: places.iter().map(At::whole).collect::<Read<_>>()?,
            hold_time: holds.get(i).map_or(Ok(Micros(0)), At::micros)?,
        });
    }
    for name in root.key("report").key("names").or(Vec::new(), At::list)? {
        names.report.push(name.text()?.into());
    }
    let set = Settings {
        balancers: root.key("balancers").or(1, At::count)?,
        classes,
        cold_from: contract.key("coldFrom").or(1.0, At::number)?,
        warm_up: contract.key("warmUp").or(Micros(0), At::micros)?,
        overload_factor: contract.key("overloadFactor").or(1.0, At::number)?,
        overload_for: contract.key("overloadFor").or(Micros(0), At::micros)?,
        drain_grace: contract.key("drainGrace").or(Micros(2_000_000), At::micros)?,
        release: info.key("release").or(Micros(0), At::micros)?,
        resend: info.key("resend").or(Micros(0), At::micros)?,
        max_attempts: limits.key("maxAttempts").or(1, At::count)?,
        may_cancel: limits.key("cancel").or(false, At::flag)?,
        may_message_peers: limits.key("mayTell").or(false, At::flag)?,
        max_retry_after: match limits.key("retryAfter").or(false, At::flag)? {
            true => limits.key("maxRetryAfter").or(Micros(0), At::micros)?,
            false => Micros(0),
        },
        index: root.key("selfIndex").or(0, At::count)?,
        must_subscribe: root.key("registryMode").or("automatic", At::text)? == "subscribe",
        own_place: match info.key("networkForm").or("pools", At::text)? {
            "mesh" => Some(info.key("here").whole()?),
            _ => None,
        },
    };
    Ok((set, names))
}

/// Limits of the sockets' side, from the same settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// A connection still not up by then is unreachable.
    pub dial_timeout: Duration,
    /// Nothing new goes to a hub this long after it was told to drain or to be gone.
    pub drain_grace: Micros,
    /// No attempt of a call before this long after one that timed out, broke or was withdrawn.
    pub release: Micros,
    /// Calls that may be open at once.
    pub max_open: usize,
    /// Bytes of descriptions that open set-ups may hold together.
    pub description_bytes: usize,
    /// File descriptors this process may hold.
    pub sockets: usize,
    /// Hubs may be sent test messages.
    pub may_probe: bool,
}

/// An IAX2 hub of the operator's file: always in service until the file changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Iax2Hub {
    /// Its name, apart from all others.
    pub uid: String,
    /// Where it takes IAX2 frames.
    pub address: SocketAddr,
    /// The place that calls name as first choice.
    pub place: i64,
}

/// What the operator's file sets up.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Operator {
    /// Where desk equipment reaches the IAX2 front; `None`: the front is off.
    pub iax2_listen: Option<SocketAddr>,
    /// From where calls to IAX2 hubs are placed.
    pub iax2_local: Option<SocketAddr>,
    /// The IAX2 hubs.
    pub iax2_hubs: Vec<Iax2Hub>,
    /// Class and time to answer of calls that IAX2 callers place.
    pub iax2_calls: Iax2Calls,
    /// What is kept over a restart; `None`: nothing.
    pub state: Option<State>,
    /// What this process tells others of its fleet; `None`: it talks to nobody.
    pub fleet: Option<Fleet>,
    /// How logs are written.
    pub log: Log,
}

/// The fleet that this process belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Its name; processes of other fleets are not heard.
    pub name: String,
    /// Where datagrams are taken; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where others reach it, if not at `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses that are asked for the fleet at the start.
    pub seeds: Vec<SocketAddr>,
    /// The zone of this process; empty: none.
    pub zone: String,
    /// Only addresses under these are heard and believed in.
    pub prefixes: Vec<IpNet>,
    /// Within about this a crash is known to the others.
    pub detection: Micros,
}

/// State that outlives the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct State {
    /// The folder, of this process alone.
    pub folder: PathBuf,
    /// How often what was learnt is written.
    pub interval: Micros,
    /// How fast it loses its worth.
    pub ageing: DecaySettings,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// What cost something.
    Error,
    /// What may.
    Warn,
    /// Starts, ends, changes.
    #[default]
    Info,
    /// Single steps.
    Debug,
}

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Log {
    /// How much.
    pub level: Level,
    /// One JSON object a line, in place of text.
    pub json: bool,
}

/// What a call of an IAX2 caller is taken for, where its frames do not say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Iax2Calls {
    /// The class's name; empty: the first class of the settings.
    pub class: String,
    /// The caller is taken to wait this long.
    pub answer_within: Micros,
    /// The place of first choice.
    pub place: i64,
}

impl Default for Iax2Calls {
    fn default() -> Self {
        Iax2Calls { class: String::new(), answer_within: Micros(3_000_000), place: 0 }
    }
}

/// One program's whole configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// For random numbers.
    pub seed: u64,
    /// Where the change log is served, if anywhere.
    pub change_log: Option<SocketAddr>,
    /// The change log's events up to the start.
    pub known: Changes,
    /// The module's settings.
    pub settings: Settings,
    /// Names of classes and reports.
    pub names: Names,
    /// The sockets' limits.
    pub limits: Limits,
    /// The operator's file.
    pub operator: Operator,
}

/// A hub as the change log describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub uid: String,
    /// Its address, as written.
    pub endpoint: String,
    /// The place that calls name.
    pub place: i64,
    /// Its phase.
    pub phase: Phase,
    /// Its late start, if any.
    pub born: Option<Micros>,
}

/// One event of the change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its number.
    pub seq: u64,
    /// The targets are the whole list.
    pub all: bool,
    /// The hubs it names.
    pub targets: Vec<Target>,
}

/// An answer of the change log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The number of the last event.
    pub seq: u64,
    /// Later events than those that were asked after.
    pub events: Vec<Change>,
}

/// Reads an answer of the change log; a hub that cannot be read is an error at its path.
pub fn changes(at: &At) -> Read<Changes> {
    let mut events = Vec::new();
    for event in at.key("results").or(Vec::new(), At::list)? {
        let fleet = event.key("fleet");
        if !fleet.is_there() {
            continue;
        }
        let mut targets = Vec::new();
        for target in fleet.key("targets").or(Vec::new(), At::list)? {
            let boot_ms = target.key("boot_ms").or(Micros(0), At::micros)?.0;
            targets.push(Target {
                uid: target.key("uid").text()?.into(),
                endpoint: target.key("endpoint").or("", At::text)?.into(),
                place: target.key("pod_group").or(0, At::whole)?,
                phase: match target.key("state").text()? {
                    "in_service" => Phase::Up,
                    "terminating" => Phase::Draining,
                    "terminated" => Phase::Gone,
                    _ => return Err(target.key("state").expected("in_service, terminating or terminated")),
                },
                born: Some(Micros(boot_ms.saturating_mul(1000))).filter(|b| b.0 > 0),
            });
        }
        events.push(Change {
            seq: event.key("seq").micros()?.0,
            all: fleet.key("all").or(false, At::flag)?,
            targets,
        });
    }
    Ok(Changes { seq: at.key("seq").micros()?.0, events })
}

/// Reads JSON text; `what` names it in the error, which the parser gives no place for.
pub fn parse(text: &str, what: &str) -> Read<Value> {
    json::from_str(text)
        .map_err(|_| ConfigError { path: what.into(), problem: "expected a JSON document".into() })
}

impl Config {
    /// Reads all that the environment names.
    pub fn from_environment(get: impl Fn(&str) -> Option<String>) -> Read<Config> {
        let wrong = |path: &str, problem: String| ConfigError { path: path.into(), problem };
        let load = |variable: &str, file: &str| {
            std::fs::read_to_string(file).map_err(|e| wrong(variable, format!("cannot read '{file}': {e}")))
        };
        let file = get(CONFIG_VARIABLE)
            .ok_or_else(|| wrong(CONFIG_VARIABLE, "expected the configuration file's path".into()))?;
        let value = parse(&load(CONFIG_VARIABLE, &file)?, CONFIG_VARIABLE)?;
        let mut config = Config::read(&At::root(&value, ""), get(LISTEN_VARIABLE))?;
        if let Some(name) = get(NAME_VARIABLE) {
            config.name = name;
        }
        if let Some(file) = get(OPERATOR_VARIABLE) {
            let value = parse(&load(OPERATOR_VARIABLE, &file)?, OPERATOR_VARIABLE)?;
            config.operator = Operator::read(&At::root(&value, ""), &config.names)?;
            if config.operator.fleet.is_some() && !(1..=MAX_NAME_BYTES).contains(&config.name.len()) {
                return Err(wrong("name", format!("expected 1 to {MAX_NAME_BYTES} bytes, for the fleet")));
            }
        }
        Ok(config)
    }

    /// Reads the platform's document; `listen` overrides its key.
    pub fn read(root: &At, listen: Option<String>) -> Read<Config> {
        let at = root.key("settings");
        let (settings, names) = settings(&at)?;
        let (limits, given) = (at.key("limits"), root.key("limits"));
        let listen = match listen {
            Some(text) => text.parse().map_err(|_| ConfigError {
                path: LISTEN_VARIABLE.into(),
                problem: format!("expected an address, found '{text}'"),
            })?,
            None => root.key("listen").address()?,
        };
        let seed = match root.key("seed").or("0", At::text) {
            Ok(text) => u64::from_str_radix(text, 16)
                .map_err(|_| root.key("seed").expected("a text of at most 16 hex digits"))?,
            Err(_) => root.key("seed").micros()?.0,
        };
        let micros = |m: Micros| Duration::from_micros(m.0);
        let config = Config {
            name: root.key("name").or("petreldock", At::text)?.into(),
            listen,
            seed,
            change_log: match root.key("changelog") {
                at if at.is_there() => Some(at.address()?),
                _ => None,
            },
            known: root.key("known").or(Changes::default(), changes)?,
            limits: Limits {
                dial_timeout: micros(limits.key("dialTimeout").or(Micros(500_000), At::micros)?),
                drain_grace: settings.drain_grace,
                release: settings.release,
                max_open: limits.key("maxOpen").or(20_000, At::count)?.max(1) as usize,
                description_bytes: given.key("memory_mb").or(192, At::count)? as usize * MEBIBYTE / 4,
                sockets: given.key("sockets").or(1024, At::count)?.max(64) as usize,
                may_probe: limits.key("mayProbe").or(false, At::flag)?,
            },
            settings,
            names,
            operator: Operator::default(),
        };
        // Here, and not when the module starts, so that a reload is refused for the same faults.
        crate::Controller::new(config.settings.clone(), seed, Micros(0))
            .map_err(|e| ConfigError { path: "settings".into(), problem: e.to_string() })?;
        Ok(config)
    }
}

impl State {
    fn read(at: &At) -> Read<State> {
        let folder = at.key("folder").text().ok().filter(|f| !f.is_empty());
        let (lives, other) = (at.key("halfLivesMs"), DecaySettings::default());
        let life = |key: &str, other| span(lives.key(key), other, (1, AGE_MOST_MS));
        Ok(State {
            folder: folder.ok_or_else(|| at.key("folder").expected("a folder's path"))?.into(),
            interval: span(at.key("intervalMs"), STATE_EVERY, (100, 600_000))?,
            ageing: DecaySettings {
                wait: life("wait", other.wait)?,
                load: life("load", other.load)?,
                rate: life("rate", other.rate)?,
                signs: life("signs", other.signs)?,
                capacity: life("capacity", other.capacity)?,
                max_age: span(at.key("greatestAgeMs"), other.max_age, (1, AGE_MOST_MS))?,
            },
        })
    }
}

/// Milliseconds within bounds, as a span.
fn span(at: At, other: Micros, (least, most): (u64, u64)) -> Read<Micros> {
    let ms = at.or(Micros(other.0 / 1000), At::micros)?;
    match (least..=most).contains(&ms.0) {
        true => Ok(Micros(ms.0 * 1000)),
        false => Err(at.expected(&format!("{least} to {most} milliseconds"))),
    }
}

impl Fleet {
    fn read(at: &At) -> Read<Fleet> {
        let label = |at: At, least: usize| match at.text()? {
            text if (least..=MAX_LABEL_BYTES).contains(&text.len()) => Ok(text.to_string()),
            _ => Err(at.expected(&format!("a name of {least} to {MAX_LABEL_BYTES} bytes"))),
        };
        fn few<'a>(at: &At<'a>) -> Read<Vec<At<'a>>> {
            match at.list()? {
                items if items.len() <= NAMED_MOST => Ok(items),
                _ => Err(at.expected(&format!("{NAMED_MOST} entries at most"))),
            }
        }
        let mut prefixes: Vec<IpNet> = Vec::new();
        for item in few(&at.key("prefixes"))? {
            let prefix = item.text()?.parse().map_err(|_| item.expected("a prefix, as in 10.0.0.0/8"))?;
            prefixes.push(prefix);
        }
        if prefixes.is_empty() {
            return Err(at.key("prefixes").expected("at least one prefix, as in 10.0.0.0/8"));
        }
        // Danger: an address that no other member may believe in makes a member that nobody ever sees.
        let under = |at: &At| match at.address()? {
            address if prefixes.iter().any(|p| p.contains(&address.ip())) => Ok(address),
            _ => Err(at.expected("an address under one of the prefixes")),
        };
        let listen = at.key("listen").address()?;
        let advertise = at.key("advertise").or(None, |a| under(a).map(Some))?;
        if advertise.is_none() {
            under(&at.key("listen"))?;
        }
        if advertise.is_some_and(|a| a.port() == 0) {
            return Err(at.key("advertise").expected("a port"));
        }
        let seeds = few(&at.key("seeds"))?.iter().map(under).collect::<Read<_>>()?;
        Ok(Fleet {
            name: label(at.key("name"), 1)?,
            listen,
            advertise,
            seeds,
            zone: at.key("zone").or(String::new(), |a| label(a.clone(), 0))?,
            prefixes,
            detection: span(at.key("detectionMs"), DETECTION, (500, 60_000))?,
        })
    }
}

impl Log {
    fn read(at: &At) -> Read<Log> {
        Ok(Log {
            level: match at.key("level").or("info", At::text)? {
                "error" => Level::Error,
                "warn" => Level::Warn,
                "info" => Level::Info,
                "debug" => Level::Debug,
                _ => return Err(at.key("level").expected("error, warn, info or debug")),
            },
            json: match at.key("form").or("text", At::text)? {
                "text" => false,
                "json" => true,
                _ => return Err(at.key("form").expected("text or json")),
            },
        })
    }
}

impl Operator {
    /// Reads the operator's file; `names` are the classes that it may name.
    pub fn read(root: &At, names: &Names) -> Read<Operator> {
        let mut operator = Operator {
            state: root.key("state").or(None, |at| State::read(at).map(Some))?,
            fleet: root.key("fleet").or(None, |at| Fleet::read(at).map(Some))?,
            log: Log::read(&root.key("log"))?,
            ..Operator::default()
        };
        let iax2 = root.key("iax2");
        if !iax2.is_there() {
            return Ok(operator);
        }
        let address = |at: At<'_>| if at.is_there() { at.address().map(Some) } else { Ok(None) };
        operator.iax2_listen = address(iax2.key("listen"))?;
        operator.iax2_local = address(iax2.key("local"))?;
        for hub in iax2.key("hubs").or(Vec::new(), At::list)? {
            let uid = hub.key("uid").text()?.to_string();
            if uid.is_empty() || operator.iax2_hubs.iter().any(|h| h.uid == uid) {
                return Err(hub.key("uid").expected("a name that no other hub has"));
            }
            let (address, place) = (hub.key("address").address()?, hub.key("place").or(0, At::whole)?);
            operator.iax2_hubs.push(Iax2Hub { uid, address, place });
        }
        let (calls, other) = (iax2.key("calls"), Iax2Calls::default());
        let class = calls.key("class").or("", At::text)?;
        if !class.is_empty() && !names.classes.contains_key(class) {
            return Err(calls.key("class").expected("a class of the settings"));
        }
        // Without a class named, the first of the settings.
        let first = || names.classes.iter().find(|(_, i)| **i == 0).map(|(n, _)| n.clone());
        operator.iax2_calls = Iax2Calls {
            class: if class.is_empty() { first().unwrap_or_default() } else { class.into() },
            answer_within: calls
                .key("answerWithinMs")
                .or(Micros(other.answer_within.0 / 1000), At::micros)
                .map(|ms| Micros(ms.0 * 1000))?,
            place: calls.key("place").or(other.place, At::whole)?,
        };
        Ok(operator)
    }

    /// Where calls to IAX2 hubs are placed from: any port, unless the file says.
    pub fn local(&self) -> SocketAddr {
        self.iax2_local.unwrap_or_else(|| (Ipv4Addr::UNSPECIFIED, 0).into())
    }
}
