//! The simulator's wire: lines of text to events, actions to lines. No decisions stand here.

use crate::config::{self, At, Names};
use crate::interface::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A line that could not be read: what was expected.
pub type Malformed = String;

/// The parts of one line: its name and its `name=value` pairs.
#[derive(Debug)]
pub struct Line<'a> {
    /// The message name.
    pub name: &'a str,
    pairs: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits a line; a field of type text runs to the end of it.
    pub fn parse(text: &'a str) -> Result<Line<'a>, Malformed> {
        let (name, mut rest) = text.split_once(' ').unwrap_or((text, ""));
        if name.is_empty() {
            return Err("expected a message name".into());
        }
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let Some((key, value)) = rest.split_once('=') else {
                return Err(format!("expected name=value, found '{}'", clip(rest)));
            };
            if key.is_empty() || key.contains(' ') {
                return Err(format!("expected name=value, found '{}'", clip(rest)));
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

    /// A field's text, if it is there.
    pub fn get(&self, key: &str) -> Option<&'a str> {
        self.pairs.iter().find(|(k, _)| *k == key).map(|(_, v)| *v)
    }

    /// A field that must be there.
    pub fn need(&self, key: &str) -> Result<&'a str, Malformed> {
        self.get(key).ok_or_else(|| format!("{}: expected a field '{key}'", self.name))
    }

    /// A whole number that must be there.
    pub fn number(&self, key: &str) -> Result<u64, Malformed> {
        let text = self.need(key)?;
        text.parse()
            .map_err(|_| format!("{}: expected a whole number in '{key}', found '{}'", self.name, clip(text)))
    }

    fn number_or(&self, key: &str, other: u64) -> Result<u64, Malformed> {
        self.get(key).map_or(Ok(other), |_| self.number(key))
    }

    fn signed(&self, key: &str) -> Result<Option<i64>, Malformed> {
        let read = |t: &str| {
            t.parse().map_err(|_| {
                format!("{}: expected a whole number in '{key}', found '{}'", self.name, clip(t))
            })
        };
        self.get(key).map(read).transpose()
    }

    fn flag(&self, key: &str) -> Result<bool, Malformed> {
        match self.get(key) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(format!("{}: expected 0 or 1 in '{key}', found '{}'", self.name, clip(text))),
        }
    }
}

fn clip(text: &str) -> String {
    text.chars().take(40).collect()
}

/// Reads the settings of an `init`.
pub fn settings(params: &str) -> Result<(Settings, Names), Malformed> {
    let root = config::parse(params, "params").map_err(|_| "init: expected JSON in 'params'".to_string())?;
    config::settings(&At::root(&root, "")).map_err(|e| format!("init: {e}"))
}

/// Reads an `entry` line of a catalog.
pub fn entry(line: &Line) -> Result<Entry, Malformed> {
    Ok(Entry {
        server: ServerId(line.number("switch")?),
        place: line.signed("placeNo")?.unwrap_or(0),
        phase: match line.need("phase")? {
            "in_service" => Phase::Up,
            "terminating" => Phase::Draining,
            "terminated" => Phase::Gone,
            other => return Err(format!("entry: expected a known phase, found '{}'", clip(other))),
        },
        born: Some(line.number_or("born", 0)?).filter(|b| *b > 0).map(Micros),
        phase_since: None,
    })
}

/// Reads a list event; the entries come from the catalog it names.
pub fn list(line: &Line, catalogs: &BTreeMap<u64, Vec<Entry>>) -> Result<Event, Malformed> {
    let kind = match line.need("kind")? {
        "INCREMENTAL" => ListKind::Changes,
        "FULL" => ListKind::Full,
        "SAVED" => ListKind::Saved,
        "FAILED" => return Ok(Event::List(ListKind::Failed, Vec::new())),
        other => return Err(format!("registry: expected a known kind, found '{}'", clip(other))),
    };
    let id = line.number("setId")?;
    let entries = catalogs.get(&id).ok_or_else(|| format!("registry: expected a catalog {id} before it"))?;
    Ok(Event::List(kind, entries.clone()))
}

fn report(line: &Line, names: &Names) -> Result<Report, Malformed> {
    let mut report = Report::default();
    let Some(text) = line.get("metrics") else {
        return Ok(report);
    };
    for (name, value) in names.report.iter().zip(text.split(',')) {
        let number: f64 = value
            .parse()
            .map_err(|_| format!("{}: expected numbers in 'metrics', found '{}'", line.name, clip(value)))?;
        Names::store(&mut report, name, number);
    }
    Ok(report)
}

fn outcome(line: &Line) -> Result<Outcome, Malformed> {
    Ok(match line.need("disposition")? {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" if line.number_or("note", 0)? % 16 == 3 => Outcome::ProcessorFull,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::Void,
        other => return Err(format!("{}: expected a known disposition, found '{}'", line.name, clip(other))),
    })
}

/// Reads any other event of an instance; `None`: a message that this version does not know.
pub fn event(line: &Line, names: &Names) -> Result<Option<Event>, Malformed> {
    let id = || line.number("handle").map(CallId);
    let server = || line.number("switch").map(ServerId);
    let copy = || {
        let number = line.number("copy")?;
        u32::try_from(number).map_err(|_| format!("{}: expected a small number in 'copy'", line.name))
    };
    Ok(Some(match line.name {
        "accept" => {
            let grade = line.need("grade")?;
            let class = names.classes.get(grade);
            Event::Call(NewCall {
                id: id()?,
                class: *class
                    .ok_or_else(|| format!("accept: expected a known grade, found '{}'", clip(grade)))?,
                place: line.signed("farEnd")?.unwrap_or(-1),
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
            outcome: outcome(line)?,
            over: line.flag("terminal")?,
            number_busy: line.number_or("note", 0)? % 16 == 4,
            report: report(line, names)?,
        }),
        "dropped" => Event::CallerLeft(id()?),
        "tick_due" => Event::Timer(line.number("mark")?),
        "echo" => Event::Probed(server()?, outcome(line)?, report(line, names)?),
        "inbox" => {
            let from = line.number("from")?;
            let from =
                u32::try_from(from).map_err(|_| "inbox: expected a small number in 'from'".to_string())?;
            Event::PeerMessage(from, hex(line.need("msg")?)?)
        }
        _ => return Ok(None),
    }))
}

fn hex(text: &str) -> Result<Vec<u8>, Malformed> {
    let wrong = || format!("inbox: expected hex digits in 'msg', found '{}'", clip(text));
    if text == "-" {
        return Ok(Vec::new());
    }
    let digits: Option<Vec<u8>> = text.chars().map(|c| c.to_digit(16).map(|d| d as u8)).collect();
    let digits = digits.filter(|d| d.len() % 2 == 0).ok_or_else(wrong)?;
    Ok(digits.chunks(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}

/// Writes one action as a line.
pub fn format(action: &Action, out: &mut String) {
    let done = match action {
        Action::Send(id, server, timeout) => {
            writeln!(out, "forward handle={} switch={} timeout={}", id.0, server.0, timeout.0)
        }
        Action::Refuse(id, Micros(0)) => writeln!(out, "overload_reply handle={}", id.0),
        Action::Refuse(id, away) => writeln!(out, "overload_reply handle={} stayAway={}", id.0, away.0),
        Action::Fail(id) => writeln!(out, "end_failed handle={}", id.0),
        Action::Cancel(id, attempt) => writeln!(out, "undo_send handle={} copy={attempt}", id.0),
        Action::Timer(at, token) => writeln!(out, "after alarmTime={} mark={token}", at.0),
        Action::SendToPeer(peer, bytes) => {
            let hex: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            writeln!(out, "notify whom={peer} msg={hex}")
        }
        Action::Subscribe => writeln!(out, "watch on=1"),
    };
    done.expect("writing to a string does not fail");
}

/// Hosts isolated instances behind the wire's batches.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<Entry>>,
    filling: Option<(u64, u64)>,
    batch: Option<(Micros, u64)>,
    at: Option<u64>,
    said: BTreeMap<u64, String>,
}

struct Instance {
    controller: crate::Controller,
    names: Names,
}

impl Host {
    /// Takes one line; gives the reply when it closes a batch.
    pub fn line(&mut self, text: &str) -> Result<Option<String>, Malformed> {
        let line = Line::parse(text)?;
        if let Some((id, left)) = self.filling {
            if line.name != "entry" {
                return Err(format!("expected {left} more 'entry' lines, found '{}'", clip(line.name)));
            }
            let read = entry(&line)?;
            self.catalogs.entry(id).or_default().push(read);
            self.filling = Some((id, left - 1)).filter(|(_, left)| *left > 0);
            return Ok(None);
        }
        if line.name == "batch" {
            if self.batch.is_some() {
                return Err("expected 'flush' before the next 'batch'".into());
            }
            self.batch = Some((Micros(line.number("moment")?), line.number("serial")?));
            self.at = None;
            return Ok(None);
        }
        let Some((now, serial)) = self.batch else {
            return Err(format!("expected 'batch', found '{}'", clip(line.name)));
        };
        match line.name {
            "flush" => {
                self.batch = None;
                let mut reply = String::new();
                for (who, said) in std::mem::take(&mut self.said) {
                    let _ = writeln!(reply, "at who={who}");
                    reply.push_str(&said);
                }
                let _ = writeln!(reply, "finished serial={serial}");
                return Ok(Some(reply));
            }
            "switch_to" => self.at = Some(line.number("who")?),
            "entry" => return Err("expected a 'catalog' before 'entry'".into()),
            "catalog" => {
                let (id, members) = (line.number("setId")?, line.number("members")?);
                self.catalogs.insert(id, Vec::new());
                self.filling = Some((id, members)).filter(|(_, left)| *left > 0);
            }
            _ => self.deliver(&line, now)?,
        }
        Ok(None)
    }

    /// Whether the input may end here.
    pub fn idle(&self) -> bool {
        self.batch.is_none()
    }

    fn deliver(&mut self, line: &Line, now: Micros) -> Result<(), Malformed> {
        let who = self.at.ok_or_else(|| format!("expected 'switch_to' before '{}'", clip(line.name)))?;
        match line.name {
            "init" => {
                let seed = line.number("seed")?;
                let (set, names) = settings(line.need("params")?)?;
                let controller = crate::Controller::new(set, seed, now).map_err(|e| format!("init: {e}"))?;
                self.instances.insert(who, Instance { controller, names });
            }
            "shutdown" => {
                self.instances.remove(&who);
                self.said.remove(&who);
            }
            _ => {
                let Some(instance) = self.instances.get_mut(&who) else {
                    return Err(format!("expected 'init' before '{}' for instance {who}", clip(line.name)));
                };
                let event = match line.name {
                    "registry" => Some(list(line, &self.catalogs)?),
                    _ => event(line, &instance.names)?,
                };
                let Some(event) = event else {
                    return Err(format!("expected a known message, found '{}'", clip(line.name)));
                };
                let mut actions = Vec::new();
                let controller = &mut instance.controller;
                let handled = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
                    controller.handle(now, event, &mut actions);
                }));
                if handled.is_ok() && actions.is_empty() {
                    return Ok(());
                }
                let said = self.said.entry(who).or_default();
                actions.iter().for_each(|action| format(action, said));
                if let Err(panic) = handled {
                    let words = panic.downcast_ref::<&str>().map(|s| s.to_string());
                    let words = words.or_else(|| panic.downcast_ref::<String>().cloned());
                    let words = words.unwrap_or_else(|| "panic".into()).replace('\n', " ");
                    let _ = writeln!(said, "exception words={words}");
                }
            }
        }
        Ok(())
    }
}
