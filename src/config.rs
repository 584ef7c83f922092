//! Reads and validates all configuration and applies defaults: the simulator's `init`, the platform's environment
//! and JSON file, and the operator's file. Errors name the faulty key by its path.

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

/// Environment variable with the path of the platform's configuration file.
pub const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Environment variable that overrides `listen` of the platform's configuration file.
pub const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Environment variable that overrides `name` of the platform's configuration file.
pub const NAME_VARIABLE: &str = "ROUTER_NAME";
/// Environment variable with the path of the operator's file, which configures IAX2, saved state, the fleet and logs.
/// Without it everything but logs is off.
pub const OPERATOR_VARIABLE: &str = "PETRELDOCK_OPERATOR";

/// Default interval between writes of the learned state.
const DEFAULT_STATE_INTERVAL: Micros = Micros(2_000_000);
/// Maximum half-life and maximum age of saved state: thirty days.
const MAX_AGE_MS: u64 = 30 * 86_400_000;
/// Default approximate time until the fleet detects a crashed member.
const DEFAULT_DETECTION_TIME: Micros = Micros(2_500_000);
/// Maximum number of seeds, and of prefixes, in the operator's file.
const MAX_LIST_ENTRIES: usize = 64;
const MEBIBYTE: usize = 1024 * 1024;

/// An invalid or missing configuration value, with the path of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// The key's path, for example `settings.limits.maxAttempts`. Empty if the error has no key.
    pub path: String,
    /// What was expected, or why the value could not be read.
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

type ConfigResult<T> = Result<T, ConfigError>;

/// A node of a JSON document: its path, and its value if it is present.
#[derive(Clone, Debug)]
pub struct JsonNode<'a> {
    value: Option<&'a Value>,
    path: String,
}

impl<'a> JsonNode<'a> {
    /// Returns the root of a document. `path` is the prefix that errors show.
    pub fn root(value: &'a Value, path: &str) -> JsonNode<'a> {
        JsonNode { value: Some(value), path: path.into() }
    }

    /// Returns the member `key`, which may be absent. A null member counts as absent.
    pub fn key(&self, key: &str) -> JsonNode<'a> {
        let value = match self.value {
            Some(Value::Object(object)) => object.get(key),
            _ => None,
        };
        let path = if self.path.is_empty() { key.into() } else { format!("{}.{key}", self.path) };
        JsonNode { value: value.filter(|v| !matches!(v, Value::Null)), path }
    }

    /// Returns the error that `what` was expected at this node.
    pub fn expected(&self, what: &str) -> ConfigError {
        ConfigError { path: self.path.clone(), problem: format!("expected {what}") }
    }

    /// Whether the node has a value.
    pub fn is_present(&self) -> bool {
        self.value.is_some()
    }

    /// Reads the node, or returns `default` if it is absent.
    fn value_or<T>(&self, default: T, read: impl FnOnce(&Self) -> ConfigResult<T>) -> ConfigResult<T> {
        if self.is_present() {
            read(self)
        } else {
            Ok(default)
        }
    }

    /// Returns the elements of an array.
    ///
    /// # Errors
    /// The node is not an array.
    pub fn list(&self) -> ConfigResult<Vec<JsonNode<'a>>> {
        let Some(Value::Array(items)) = self.value else { return Err(self.expected("a list")) };
        let node = |(i, value)| JsonNode { value: Some(value), path: format!("{}[{i}]", self.path) };
        Ok(items.iter().enumerate().map(node).collect())
    }

    /// Returns a string.
    ///
    /// # Errors
    /// The node is not a string.
    pub fn text(&self) -> ConfigResult<&'a str> {
        match self.value {
            Some(Value::String(text)) => Ok(text),
            _ => Err(self.expected("a string")),
        }
    }

    /// Returns a finite number.
    ///
    /// # Errors
    /// The node is not a finite number.
    pub fn number(&self) -> ConfigResult<f64> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::I64(n))) => Ok(*n as f64),
            Some(Value::Number(Number::F64(n))) if n.is_finite() => Ok(*n),
            _ => Err(self.expected("a number")),
        }
    }

    /// Returns an integer.
    ///
    /// # Errors
    /// The node is not an integer in the range of `i64`.
    pub fn integer(&self) -> ConfigResult<i64> {
        match self.value {
            Some(Value::Number(Number::U64(n))) => i64::try_from(*n).ok(),
            Some(Value::Number(Number::I64(n))) => Some(*n),
            _ => None,
        }
        .ok_or_else(|| self.expected("a whole number"))
    }

    /// Returns a non-negative integer.
    ///
    /// # Errors
    /// The node is not an integer in the range of `u32`.
    pub fn count(&self) -> ConfigResult<u32> {
        self.integer().ok().and_then(|n| u32::try_from(n).ok()).ok_or_else(|| self.expected("a count"))
    }

    /// Returns a duration or a time in microseconds; a fraction is cut off.
    ///
    /// # Errors
    /// The node is not a number of zero or more.
    pub fn micros(&self) -> ConfigResult<Micros> {
        let number = self.number().ok().filter(|n| *n >= 0.0);
        number.map(|n| Micros(n as u64)).ok_or_else(|| self.expected("a time of zero or more"))
    }

    /// Returns a boolean.
    ///
    /// # Errors
    /// The node is not a boolean.
    pub fn boolean(&self) -> ConfigResult<bool> {
        match self.value {
            Some(Value::Bool(flag)) => Ok(*flag),
            _ => Err(self.expected("true or false")),
        }
    }

    /// Returns an IP address with its port.
    ///
    /// # Errors
    /// The node is not a string with a socket address.
    pub fn address(&self) -> ConfigResult<SocketAddr> {
        self.text()
            .ok()
            .and_then(|t| t.parse().ok())
            .ok_or_else(|| self.expected("an address, as in 10.0.0.4:5060"))
    }
}

/// The names that the protocols use for classes and report fields.
#[derive(Clone, Debug, Default)]
pub struct WireNames {
    /// The index in [`Settings::classes`] of each class name.
    pub classes: BTreeMap<String, usize>,
    /// The names of the report fields, in the order of their values.
    pub report: Vec<String>,
}

impl WireNames {
    /// Sets the field of `report` that `name` stands for. Unknown names are ignored; a negative or non-finite value
    /// clears the field.
    pub fn store(report: &mut Report, name: &str, value: f64) {
        let value = Some(value).filter(|n| n.is_finite() && *n >= 0.0);
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

/// Reads the settings object, which has the same form in the simulator's `init` and in the platform's file.
pub fn read_settings(root: &JsonNode) -> ConfigResult<(Settings, WireNames)> {
    let (info, contract, limits) = (root.key("familyInfo"), root.key("contract"), root.key("limits"));
    let mut names = WireNames::default();
    let mut classes = Vec::new();
    let allowed_places = info.key("allowedPools").value_or(Vec::new(), JsonNode::list)?;
    let hold_times = info.key("classHold").value_or(Vec::new(), JsonNode::list)?;
    for (i, class) in root.key("classes").list()?.iter().enumerate() {
        names.classes.insert(class.key("name").text()?.into(), i);
        let places = allowed_places.get(i).map_or(Ok(Vec::new()), JsonNode::list)?;
        classes.push(Class {
            objective: class.key("objective").micros()?,
            deadline: class.key("deadline").micros()?,
            worth: class.key("worth").value_or(1.0, JsonNode::number)?,
            late_worth: class.key("lateWorth").value_or(0.0, JsonNode::number)?,
            idempotency: match class.key("idempotency").value_or("free", JsonNode::text)? {
                "free" => Idempotency::Free,
                "guarded" => Idempotency::Guarded,
                // A value that this version does not know may mean that a set-up must not be repeated.
                _ => Idempotency::SingleShot,
            },
            places: places.iter().map(JsonNode::integer).collect::<ConfigResult<_>>()?,
            hold_time: hold_times.get(i).map_or(Ok(Micros(0)), JsonNode::micros)?,
        });
    }
    for name in root.key("report").key("names").value_or(Vec::new(), JsonNode::list)? {
        names.report.push(name.text()?.into());
    }
    let settings = Settings {
        balancers: root.key("balancers").value_or(1, JsonNode::count)?,
        classes,
        cold_from: contract.key("coldFrom").value_or(1.0, JsonNode::number)?,
        warm_up: contract.key("warmUp").value_or(Micros(0), JsonNode::micros)?,
        overload_factor: contract.key("overloadFactor").value_or(1.0, JsonNode::number)?,
        overload_for: contract.key("overloadFor").value_or(Micros(0), JsonNode::micros)?,
        drain_grace: contract.key("drainGrace").value_or(Micros(2_000_000), JsonNode::micros)?,
        release: info.key("release").value_or(Micros(0), JsonNode::micros)?,
        resend: info.key("resend").value_or(Micros(0), JsonNode::micros)?,
        max_attempts: limits.key("maxAttempts").value_or(1, JsonNode::count)?,
        may_cancel: limits.key("cancel").value_or(false, JsonNode::boolean)?,
        may_message_peers: limits.key("mayTell").value_or(false, JsonNode::boolean)?,
        max_retry_after: match limits.key("retryAfter").value_or(false, JsonNode::boolean)? {
            true => limits.key("maxRetryAfter").value_or(Micros(0), JsonNode::micros)?,
            false => Micros(0),
        },
        index: root.key("selfIndex").value_or(0, JsonNode::count)?,
        must_subscribe: root.key("registryMode").value_or("automatic", JsonNode::text)? == "subscribe",
        own_place: match info.key("networkForm").value_or("pools", JsonNode::text)? {
            "mesh" => Some(info.key("here").integer()?),
            _ => None,
        },
    };
    Ok((settings, names))
}

/// Limits of connections, calls and memory.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Time limit for opening a connection; after it the peer counts as unreachable.
    pub dial_timeout: Duration,
    /// Time after a drain or a removal of a hub from which no new set-up is sent to it.
    pub drain_grace: Micros,
    /// Minimum delay before a call's next attempt after one that timed out, broke or was withdrawn.
    pub release: Micros,
    /// Maximum number of calls open at once.
    pub max_open: usize,
    /// Maximum total size of the memory that open set-ups take, in bytes.
    pub max_open_bytes: usize,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Whether hubs may be probed with test messages.
    pub may_probe: bool,
}

/// An IAX2 hub of the operator's file. It counts as in service as long as the program runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Iax2Hub {
    /// Its unique name.
    pub uid: String,
    /// The address that receives its IAX2 frames.
    pub address: SocketAddr,
    /// The place that calls name as their first choice.
    pub place: i64,
}

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OperatorConfig {
    /// Address on which desk equipment reaches the IAX2 front; `None` turns the front off.
    pub iax2_listen: Option<SocketAddr>,
    /// Source address of calls to IAX2 hubs.
    pub iax2_local: Option<SocketAddr>,
    /// The configured IAX2 hubs.
    pub iax2_hubs: Vec<Iax2Hub>,
    /// Defaults for calls of IAX2 callers.
    pub iax2_calls: Iax2Calls,
    /// State saved across restarts; `None` saves nothing.
    pub state: Option<StateConfig>,
    /// Membership of a fleet; `None` turns the fleet protocol off.
    pub fleet: Option<FleetConfig>,
    /// Level and format of logs.
    pub log: LogConfig,
}

/// The fleet that this process belongs to, and how to reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetConfig {
    /// The fleet's name; datagrams of other fleets are dropped.
    pub name: String,
    /// Address that receives datagrams; port 0 chooses a free port.
    pub listen: SocketAddr,
    /// Address under which other members reach this process, if not `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses contacted at the start to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// The zone of this process; empty for none.
    pub zone: String,
    /// Networks of the members' addresses; datagrams from, and members at, other addresses are ignored.
    pub prefixes: Vec<IpNet>,
    /// Approximate time until the other members detect a crash.
    pub detection: Micros,
}

/// Learned state saved across restarts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StateConfig {
    /// The folder, which only one process may use at a time.
    pub folder: PathBuf,
    /// Interval between writes of the learned state.
    pub interval: Micros,
    /// Half-lives and maximum age of saved values.
    pub decay: DecaySettings,
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that lose calls or data.
    Error,
    /// Conditions that may lead to such a failure.
    Warn,
    /// Starts, ends and changes.
    #[default]
    Info,
    /// Individual steps.
    Debug,
}

/// Level and format of logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LogConfig {
    /// The least severe level that is written.
    pub level: LogLevel,
    /// Writes one JSON object per line instead of text.
    pub json: bool,
}

/// Defaults for values that the frames of an IAX2 caller do not carry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Iax2Calls {
    /// The name of the class; empty for the first class of the settings.
    pub class: String,
    /// Time that the caller waits for an answer.
    pub answer_within: Micros,
    /// The place of the call's first choice.
    pub place: i64,
}

impl Default for Iax2Calls {
    fn default() -> Self {
        Iax2Calls { class: String::new(), answer_within: Micros(3_000_000), place: 0 }
    }
}

/// The complete configuration of a process.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the process, unchanged by restarts.
    pub name: String,
    /// Address on which SIP callers connect.
    pub listen: SocketAddr,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Address of the change log; `None` if it is not polled.
    pub change_log: Option<SocketAddr>,
    /// The events of the change log before the start.
    pub known: Changes,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of classes and report fields in the protocols.
    pub names: WireNames,
    /// Limits of connections, calls and memory.
    pub limits: Limits,
    /// The operator's file.
    pub operator: OperatorConfig,
}

/// A hub as the change log describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its unique name.
    pub uid: String,
    /// Its address, as it stands in the change log.
    pub endpoint: String,
    /// Its place, which calls name as their choice.
    pub place: i64,
    /// Its phase: in service, draining or gone.
    pub phase: Phase,
    /// Time at which it was started, if the change log gives one.
    pub born: Option<Micros>,
}

/// One event of the change log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Its sequence number.
    pub seq: u64,
    /// Whether `targets` is the complete list of hubs.
    pub all: bool,
    /// The hubs that it describes.
    pub targets: Vec<Target>,
}

/// An answer of the change log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// The sequence number of the last event.
    pub seq: u64,
    /// The events after the requested sequence number.
    pub events: Vec<Change>,
}

/// Reads an answer of the change log. Events without a `fleet` member are skipped.
///
/// # Errors
/// The path of the first value that is not valid.
pub fn read_changes(node: &JsonNode) -> ConfigResult<Changes> {
    let mut events = Vec::new();
    for event in node.key("results").value_or(Vec::new(), JsonNode::list)? {
        let fleet = event.key("fleet");
        if !fleet.is_present() {
            continue;
        }
        let mut targets = Vec::new();
        for target in fleet.key("targets").value_or(Vec::new(), JsonNode::list)? {
            let boot_ms = target.key("boot_ms").value_or(Micros(0), JsonNode::micros)?.0;
            targets.push(Target {
                uid: target.key("uid").text()?.into(),
                endpoint: target.key("endpoint").value_or("", JsonNode::text)?.into(),
                place: target.key("pod_group").value_or(0, JsonNode::integer)?,
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
            all: fleet.key("all").value_or(false, JsonNode::boolean)?,
            targets,
        });
    }
    Ok(Changes { seq: node.key("seq").micros()?.0, events })
}

/// Parses a JSON document. `what` names the document in the error, as the parser reports no position.
pub fn parse(text: &str, what: &str) -> ConfigResult<Value> {
    json::from_str(text)
        .map_err(|_| ConfigError { path: what.into(), problem: "expected a JSON document".into() })
}

impl Config {
    /// Reads the configuration that the environment variables name. `get` looks a variable up.
    pub fn from_environment(get: impl Fn(&str) -> Option<String>) -> ConfigResult<Config> {
        let error = |path: &str, problem: String| ConfigError { path: path.into(), problem };
        let load = |variable: &str, file: &str| {
            std::fs::read_to_string(file).map_err(|e| error(variable, format!("cannot read '{file}': {e}")))
        };
        let file = get(CONFIG_VARIABLE)
            .ok_or_else(|| error(CONFIG_VARIABLE, "expected the configuration file's path".into()))?;
        let value = parse(&load(CONFIG_VARIABLE, &file)?, CONFIG_VARIABLE)?;
        let mut config = Config::read(&JsonNode::root(&value, ""), get(LISTEN_VARIABLE))?;
        if let Some(name) = get(NAME_VARIABLE) {
            config.name = name;
        }
        if let Some(file) = get(OPERATOR_VARIABLE) {
            let value = parse(&load(OPERATOR_VARIABLE, &file)?, OPERATOR_VARIABLE)?;
            config.operator = OperatorConfig::read(&JsonNode::root(&value, ""), &config.names)?;
            if config.operator.fleet.is_some() && !(1..=MAX_NAME_BYTES).contains(&config.name.len()) {
                return Err(error(
                    "name",
                    format!("expected 1 to {MAX_NAME_BYTES} bytes, as the fleet is configured"),
                ));
            }
        }
        Ok(config)
    }

    /// Reads the platform's configuration file; `listen` overrides its key.
    pub fn read(root: &JsonNode, listen: Option<String>) -> ConfigResult<Config> {
        let settings_node = root.key("settings");
        let (settings, names) = read_settings(&settings_node)?;
        let (limits, process_limits) = (settings_node.key("limits"), root.key("limits"));
        let listen = match listen {
            Some(text) => text.parse().map_err(|_| ConfigError {
                path: LISTEN_VARIABLE.into(),
                problem: format!("expected an address, found '{text}'"),
            })?,
            None => root.key("listen").address()?,
        };
        let seed = match root.key("seed").value_or("0", JsonNode::text) {
            Ok(text) => u64::from_str_radix(text, 16)
                .map_err(|_| root.key("seed").expected("a string of at most 16 hex digits"))?,
            Err(_) => root.key("seed").micros()?.0,
        };
        let micros = |m: Micros| Duration::from_micros(m.0);
        let config = Config {
            name: root.key("name").value_or("petreldock", JsonNode::text)?.into(),
            listen,
            seed,
            change_log: match root.key("changelog") {
                node if node.is_present() => Some(node.address()?),
                _ => None,
            },
            known: root.key("known").value_or(Changes::default(), read_changes)?,
            limits: Limits {
                dial_timeout: micros(limits.key("dialTimeout").value_or(Micros(500_000), JsonNode::micros)?),
                drain_grace: settings.drain_grace,
                release: settings.release,
                max_open: limits.key("maxOpen").value_or(20_000, JsonNode::count)?.max(1) as usize,
                max_open_bytes: process_limits.key("memory_mb").value_or(192, JsonNode::count)? as usize
                    * MEBIBYTE
                    / 4,
                sockets: process_limits.key("sockets").value_or(1024, JsonNode::count)?.max(64) as usize,
                may_probe: limits.key("mayProbe").value_or(false, JsonNode::boolean)?,
            },
            settings,
            names,
            operator: OperatorConfig::default(),
        };
        // Validates the module's settings here as well, so that a reload rejects what a start would reject.
        crate::Controller::new(config.settings.clone(), seed, Micros(0))
            .map_err(|e| ConfigError { path: "settings".into(), problem: e.to_string() })?;
        Ok(config)
    }
}

impl StateConfig {
    fn read(node: &JsonNode) -> ConfigResult<StateConfig> {
        let folder = node.key("folder").text().ok().filter(|f| !f.is_empty());
        let (half_lives, default) = (node.key("halfLivesMs"), DecaySettings::default());
        let half_life = |key: &str, default| bounded_millis(half_lives.key(key), default, (1, MAX_AGE_MS));
        Ok(StateConfig {
            folder: folder.ok_or_else(|| node.key("folder").expected("a folder's path"))?.into(),
            interval: bounded_millis(node.key("intervalMs"), DEFAULT_STATE_INTERVAL, (100, 600_000))?,
            decay: DecaySettings {
                wait: half_life("wait", default.wait)?,
                load: half_life("load", default.load)?,
                rate: half_life("rate", default.rate)?,
                signs: half_life("signs", default.signs)?,
                capacity: half_life("capacity", default.capacity)?,
                max_age: bounded_millis(node.key("greatestAgeMs"), default.max_age, (1, MAX_AGE_MS))?,
            },
        })
    }
}

/// Reads a duration in milliseconds that must lie between `min` and `max`.
fn bounded_millis(node: JsonNode, default: Micros, (min, max): (u64, u64)) -> ConfigResult<Micros> {
    let ms = node.value_or(Micros(default.0 / 1000), JsonNode::micros)?;
    match (min..=max).contains(&ms.0) {
        true => Ok(Micros(ms.0 * 1000)),
        false => Err(node.expected(&format!("{min} to {max} milliseconds"))),
    }
}

impl FleetConfig {
    fn read(node: &JsonNode) -> ConfigResult<FleetConfig> {
        let label = |node: JsonNode, min_length: usize| match node.text()? {
            text if (min_length..=MAX_LABEL_BYTES).contains(&text.len()) => Ok(text.to_string()),
            _ => Err(node.expected(&format!("a name of {min_length} to {MAX_LABEL_BYTES} bytes"))),
        };
        fn bounded_list<'a>(node: &JsonNode<'a>) -> ConfigResult<Vec<JsonNode<'a>>> {
            match node.list()? {
                items if items.len() <= MAX_LIST_ENTRIES => Ok(items),
                _ => Err(node.expected(&format!("{MAX_LIST_ENTRIES} entries at most"))),
            }
        }
        let mut prefixes: Vec<IpNet> = Vec::new();
        for item in bounded_list(&node.key("prefixes"))? {
            let prefix = item.text()?.parse().map_err(|_| item.expected("a prefix, as in 10.0.0.0/8"))?;
            prefixes.push(prefix);
        }
        if prefixes.is_empty() {
            return Err(node.key("prefixes").expected("at least one prefix, as in 10.0.0.0/8"));
        }
        // Members ignore addresses outside the prefixes, so a process with such an address would never be seen.
        let allowed_address = |node: &JsonNode| match node.address()? {
            address if prefixes.iter().any(|p| p.contains(&address.ip())) => Ok(address),
            _ => Err(node.expected("an address under one of the prefixes")),
        };
        let listen = node.key("listen").address()?;
        let advertise = node.key("advertise").value_or(None, |node| allowed_address(node).map(Some))?;
        if advertise.is_none() {
            allowed_address(&node.key("listen"))?;
        }
        if advertise.is_some_and(|a| a.port() == 0) {
            return Err(node.key("advertise").expected("a port"));
        }
        let seeds =
            bounded_list(&node.key("seeds"))?.iter().map(allowed_address).collect::<ConfigResult<_>>()?;
        Ok(FleetConfig {
            name: label(node.key("name"), 1)?,
            listen,
            advertise,
            seeds,
            zone: node.key("zone").value_or(String::new(), |node| label(node.clone(), 0))?,
            prefixes,
            detection: bounded_millis(node.key("detectionMs"), DEFAULT_DETECTION_TIME, (500, 60_000))?,
        })
    }
}

impl LogConfig {
    fn read(node: &JsonNode) -> ConfigResult<LogConfig> {
        Ok(LogConfig {
            level: match node.key("level").value_or("info", JsonNode::text)? {
                "error" => LogLevel::Error,
                "warn" => LogLevel::Warn,
                "info" => LogLevel::Info,
                "debug" => LogLevel::Debug,
                _ => return Err(node.key("level").expected("error, warn, info or debug")),
            },
            json: match node.key("form").value_or("text", JsonNode::text)? {
                "text" => false,
                "json" => true,
                _ => return Err(node.key("form").expected("text or json")),
            },
        })
    }
}

impl OperatorConfig {
    /// Reads the operator's file. `names` holds the classes that it may refer to.
    pub fn read(root: &JsonNode, names: &WireNames) -> ConfigResult<OperatorConfig> {
        let mut operator = OperatorConfig {
            state: root.key("state").value_or(None, |node| StateConfig::read(node).map(Some))?,
            fleet: root.key("fleet").value_or(None, |node| FleetConfig::read(node).map(Some))?,
            log: LogConfig::read(&root.key("log"))?,
            ..OperatorConfig::default()
        };
        let iax2 = root.key("iax2");
        if !iax2.is_present() {
            return Ok(operator);
        }
        let address =
            |node: JsonNode<'_>| if node.is_present() { node.address().map(Some) } else { Ok(None) };
        operator.iax2_listen = address(iax2.key("listen"))?;
        operator.iax2_local = address(iax2.key("local"))?;
        for hub in iax2.key("hubs").value_or(Vec::new(), JsonNode::list)? {
            let uid = hub.key("uid").text()?.to_string();
            if uid.is_empty() || operator.iax2_hubs.iter().any(|h| h.uid == uid) {
                return Err(hub.key("uid").expected("a name unique among the hubs"));
            }
            let (address, place) =
                (hub.key("address").address()?, hub.key("place").value_or(0, JsonNode::integer)?);
            operator.iax2_hubs.push(Iax2Hub { uid, address, place });
        }
        let (calls, default) = (iax2.key("calls"), Iax2Calls::default());
        let class = calls.key("class").value_or("", JsonNode::text)?;
        if !class.is_empty() && !names.classes.contains_key(class) {
            return Err(calls.key("class").expected("a class of the settings"));
        }
        // Without a class the first one of the settings applies.
        let first_class = || names.classes.iter().find(|(_, i)| **i == 0).map(|(n, _)| n.clone());
        operator.iax2_calls = Iax2Calls {
            class: if class.is_empty() { first_class().unwrap_or_default() } else { class.into() },
            answer_within: calls
                .key("answerWithinMs")
                .value_or(Micros(default.answer_within.0 / 1000), JsonNode::micros)
                .map(|ms| Micros(ms.0 * 1000))?,
            place: calls.key("place").value_or(default.place, JsonNode::integer)?,
        };
        Ok(operator)
    }

    /// Returns the source address of calls to IAX2 hubs: any free port unless the file sets one.
    pub fn local(&self) -> SocketAddr {
        self.iax2_local.unwrap_or_else(|| (Ipv4Addr::UNSPECIFIED, 0).into())
    }
}
