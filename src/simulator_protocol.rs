//! The simulator's text protocol. Lines become events of the decision module, and its actions become lines.
//!
//! Lines come in batches from `batch` to `flush`. A batch may concern several instances, which are isolated from each
//! other. This module makes no decisions.

use crate::config::{self, JsonNode, WireNames};
use crate::interface::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Why a line could not be parsed: what was expected, and what was found.
pub type ParseError = String;

/// A parsed line: the message name and its `name=value` fields.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message name.
    pub name: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line into its fields. The values of `params` and `words` run to the end of the line.
    pub fn parse(text: &'a str) -> Result<Line<'a>, ParseError> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() {
            return Err("expected a message name".into());
        }
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let Some((key, value)) = rest.split_once('=') else {
                return Err(format!("expected name=value, found '{}'", truncated(rest)));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(format!("expected name=value, found '{}'", truncated(rest)));
            }
            if matches!(key, "params" | "words") {
                pairs.push((key, value));
                break;
            }
            let (value, next) = value.split_once(' ').unwrap_or((value, ""));
            pairs.push((key, value));
            rest = next;
        }
        Ok(Line { name, pairs })
    }

    /// Returns the value of a field, if the line has it.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// Returns the value of a required field.
    pub fn require(&self, key: &str) -> Result<&'a str, ParseError> {
        self.get(key).ok_or_else(|| format!("{}: expected a field '{key}'", self.name))
    }

    /// Returns the value of a required field that is a non-negative integer.
    pub fn number(&self, key: &str) -> Result<u64, ParseError> {
        let text = self.require(key)?;
        text.parse().map_err(|_| {
            format!("{}: expected a whole number in '{key}', found '{}'", self.name, truncated(text))
        })
    }

    fn number_or(&self, key: &str, default: u64) -> Result<u64, ParseError> {
        self.get(key).map_or(Ok(default), |_| self.number(key))
    }

    fn signed_number(&self, key: &str) -> Result<Option<i64>, ParseError> {
        let read = |t: &str| {
            t.parse().map_err(|_| {
                format!("{}: expected a whole number in '{key}', found '{}'", self.name, truncated(t))
            })
        };
        self.get(key).map(read).transpose()
    }

    fn flag(&self, key: &str) -> Result<bool, ParseError> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => {
                Err(format!("{}: expected 0 or 1 in '{key}', found '{}'", self.name, truncated(text)))
            }
        }
    }
}

fn truncated(text: &str) -> String {
    text.chars().take(40).collect()
}

/// Parses the settings of an `init` message, which are JSON.
pub fn parse_settings(params: &str) -> Result<(Settings, WireNames), ParseError> {
    let root = config::parse(params, "params").map_err(|_| "init: expected JSON in 'params'".to_string())?;
    config::read_settings(&JsonNode::root(&root, "")).map_err(|e| format!("init: {e}"))
}

/// Parses an `entry` line of a catalog.
pub fn parse_entry(line: &Line) -> Result<Entry, ParseError> {
    Ok(Entry {
        server: ServerId(line.number("switch")?),
        place: line.signed_number("placeNo")?.unwrap_or(0),
        phase: match line.require("phase")? {
            "in_service" => Phase::Up,
            "terminating" => Phase::Draining,
            "terminated" => Phase::Gone,
            other => return Err(format!("entry: expected a known phase, found '{}'", truncated(other))),
        },
        born: Some(line.number_or("born", 0)?).filter(|b| *b > 0).map(Micros),
        phase_since: None,
    })
}

/// Parses a `registry` message. Its entries come from the catalog that it refers to.
pub fn parse_registry(line: &Line, catalogs: &BTreeMap<u64, Vec<Entry>>) -> Result<Event, ParseError> {
    let kind = match line.require("kind")? {
        "INCREMENTAL" => ListKind::Changes,
        "FULL" => ListKind::Full,
        "SAVED" => ListKind::Saved,
        "FAILED" => return Ok(Event::List(ListKind::Failed, Vec::new())),
        other => return Err(format!("registry: expected a known kind, found '{}'", truncated(other))),
    };
    let id = line.number("setId")?;
    let entries = catalogs.get(&id).ok_or_else(|| format!("registry: expected a catalog {id} before it"))?;
    Ok(Event::List(kind, entries.clone()))
}

fn parse_report(line: &Line, names: &WireNames) -> Result<Report, ParseError> {
    let mut report = Report::default();
    let Some(text) = line.get("metrics") else {
        return Ok(report);
    };
    for (name, value) in names.report.iter().zip(text.split(',')) {
        let number: f64 = value.parse().map_err(|_| {
            format!("{}: expected numbers in 'metrics', found '{}'", line.name, truncated(value))
        })?;
        WireNames::store(&mut report, name, number);
    }
    Ok(report)
}

fn parse_outcome(line: &Line) -> Result<Outcome, ParseError> {
    Ok(match line.require("disposition")? {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" if line.number_or("note", 0)? % 16 == 3 => Outcome::ProcessorFull,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::Void,
        other => {
            return Err(format!("{}: expected a known disposition, found '{}'", line.name, truncated(other)))
        }
    })
}

/// Parses any other event of an instance. Returns `None` for an unknown message name.
pub fn parse_event(line: &Line, names: &WireNames) -> Result<Option<Event>, ParseError> {
    let id = || line.number("handle").map(CallId);
    let server = || line.number("switch").map(ServerId);
    let copy = || {
        let number = line.number("copy")?;
        u32::try_from(number).map_err(|_| format!("{}: expected a small number in 'copy'", line.name))
    };
    Ok(Some(match line.name {
        "accept" => {
            let grade = line.require("grade")?;
            let class = names.classes.get(grade);
            Event::Call(NewCall {
                id: id()?,
                class: *class
                    .ok_or_else(|| format!("accept: expected a known grade, found '{}'", truncated(grade)))?,
                place: line.signed_number("farEnd")?.unwrap_or(-1),
                number: line.get("affinity").map(|_| line.number("affinity")).transpose()?,
                deadline: Micros(line.number("clientDeadline")?),
                repeat: line.flag("repeat")?,
                returned: line.flag("returned")?,
                transit: line.flag("transit")?,
            })
        }
        "established" => Event::Established(id()?, server()?, copy()?, Micros(line.number("took")?)),
        "done" => Event::Ended(AttemptEnd {
            id: id()?,
            attempt: copy()?,
            server: server()?,
            outcome: parse_outcome(line)?,
            over: line.flag("terminal")?,
            number_busy: line.number_or("note", 0)? % 16 == 4,
            report: parse_report(line, names)?,
        }),
        "dropped" => Event::CallerLeft(id()?),
        "tick_due" => Event::Timer(line.number("mark")?),
        "echo" => Event::Probed(server()?, parse_outcome(line)?, parse_report(line, names)?),
        "inbox" => {
            let from = line.number("from")?;
            let from =
                u32::try_from(from).map_err(|_| "inbox: expected a small number in 'from'".to_string())?;
            Event::PeerMessage(from, parse_hex(line.require("msg")?)?)
        }
        _ => return Ok(None),
    }))
}

fn parse_hex(text: &str) -> Result<Vec<u8>, ParseError> {
    let error = || format!("inbox: expected hex digits in 'msg', found '{}'", truncated(text));
    if text == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0).ok_or_else(error)?;
    Ok(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}

/// Appends an action as a line to `out`.
pub fn write_action(action: &Action, out: &mut String) {
    let result = match action {
        Action::Send(id, server, timeout) => {
            writeln!(out, "forward handle={} switch={} timeout={}", id.0, server.0, timeout.0)
        }
        Action::Refuse(id, Micros(0)) => writeln!(out, "overload_reply handle={}", id.0),
        Action::Refuse(id, retry_after) => {
            writeln!(out, "overload_reply handle={} stayAway={}", id.0, retry_after.0)
        }
        Action::Fail(id) => writeln!(out, "end_failed handle={}", id.0),
        Action::Cancel(id, attempt) => writeln!(out, "undo_send handle={} copy={attempt}", id.0),
        Action::Timer(_, at, token) => writeln!(out, "after alarmTime={} mark={token}", at.0),
        Action::SendToPeer(peer, bytes) => {
            let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            writeln!(out, "notify whom={peer} msg={hex}")
        }
        Action::Subscribe => writeln!(out, "watch on=1"),
    };
    result.expect("writing to a string does not fail");
}

/// Runs isolated instances of the decision module and exchanges batches with the simulator.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<Entry>>,
    /// The catalog whose entries follow, and the number of entries still to come.
    open_catalog: Option<(u64, u64)>,
    /// Time and serial number of the open batch.
    batch: Option<(Micros, u64)>,
    /// The instance that the following messages of the batch go to.
    current_instance: Option<u64>,
    /// The actions of each instance in the open batch.
    replies: BTreeMap<u64, String>,
}

struct Instance {
    controller: crate::Controller,
    names: WireNames,
}

impl Host {
    /// Handles one line. Returns the reply if the line closes a batch.
    ///
    /// # Errors
    /// The line is not valid, or not allowed at this point.
    pub fn handle_line(&mut self, text: &str) -> Result<Option<String>, ParseError> {
        let line = Line::parse(text)?;
        if let Some((id, remaining)) = self.open_catalog {
            if line.name != "entry" {
                return Err(format!(
                    "expected {remaining} more 'entry' lines, found '{}'",
                    truncated(line.name)
                ));
            }
            let entry = parse_entry(&line)?;
            self.catalogs.entry(id).or_default().push(entry);
            self.open_catalog = Some((id, remaining - 1)).filter(|(_, remaining)| *remaining > 0);
            return Ok(None);
        }
        if line.name == "batch" {
            if self.batch.is_some() {
                return Err("expected 'flush' before the next 'batch'".into());
            }
            self.batch = Some((Micros(line.number("moment")?), line.number("serial")?));
            self.current_instance = None;
            return Ok(None);
        }
        let Some((now, serial)) = self.batch else {
            return Err(format!("expected 'batch', found '{}'", truncated(line.name)));
        };
        match line.name {
            "flush" => {
                self.batch = None;
                let mut reply = String::new();
                for (who, actions) in std::mem::take(&mut self.replies) {
                    let _ = writeln!(reply, "at who={who}");
                    reply.push_str(&actions);
                }
                let _ = writeln!(reply, "finished serial={serial}");
                return Ok(Some(reply));
            }
            "switch_to" => self.current_instance = Some(line.number("who")?),
            "entry" => return Err("expected a 'catalog' before 'entry'".into()),
            "catalog" => {
                let (id, members) = (line.number("setId")?, line.number("members")?);
                self.catalogs.insert(id, Vec::new());
                self.open_catalog = Some((id, members)).filter(|(_, remaining)| *remaining > 0);
            }
            _ => self.deliver(&line, now)?,
        }
        Ok(None)
    }

    /// Whether no batch is open, so that the input may end.
    pub fn is_between_batches(&self) -> bool {
        self.batch.is_none()
    }

    fn deliver(&mut self, line: &Line, now: Micros) -> Result<(), ParseError> {
        let who = self
            .current_instance
            .ok_or_else(|| format!("expected 'switch_to' before '{}'", truncated(line.name)))?;
        match line.name {
            "init" => {
                let seed = line.number("seed")?;
                let (settings, names) = parse_settings(line.require("params")?)?;
                let controller =
                    crate::Controller::new(settings, seed, now).map_err(|e| format!("init: {e}"))?;
                self.instances.insert(who, Instance { controller, names });
            }
            "shutdown" => {
                self.instances.remove(&who);
                self.replies.remove(&who);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&who) else {
                    return Err(format!(
                        "expected 'init' before '{}' for instance {who}",
                        truncated(line.name)
                    ));
                };
                let event = match line.name {
                    "registry" => Some(parse_registry(line, &self.catalogs)?),
                    _ => parse_event(line, &instance.names)?,
                };
                let Some(event) = event else {
                    return Err(format!("expected a known message, found '{}'", truncated(line.name)));
                };
                let mut actions = Vec::new();
                let controller = &mut instance.controller;
                let handled = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                    controller.handle(now, event, &mut actions);
                }));
                if handled.is_ok() && actions.is_empty() {
                    return Ok(());
                }
                let reply = self.replies.entry(who).or_default();
                actions.iter().for_each(|action| write_action(action, reply));
                if let Err(panic) = handled {
                    let message = panic.downcast_ref::<&str>().map(|s| s.to_string());
                    let message = message.or_else(|| panic.downcast_ref::<String>().cloned());
                    let message = message.unwrap_or_else(|| "panic".into()).replace('\n', " ");
                    let _ = writeln!(reply, "exception words={message}");
                }
            }
        }
        Ok(())
    }
}
